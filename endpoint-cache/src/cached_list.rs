//! The cached data: an endpoint list and its endpoints' last reports.

use serde::{Deserialize, Serialize};

/// The cached list. Times are Unix milliseconds by the wall clock of the instance that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpointList {
    /// Increases by one with every save: orders files independently of the clock.
    pub generation: u64,
    /// Discovery's version of the list.
    #[serde(rename = "seq")]
    pub version: i64,
    /// When discovery last confirmed the list.
    pub confirmed_ms: i64,
    /// When this generation was saved.
    pub saved_ms: i64,
    /// The listed endpoints.
    #[serde(rename = "stores")]
    pub endpoints: Vec<CachedEndpoint>,
}

/// A cached endpoint. The file has its fields under the names of discovery's format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoint {
    /// Name of the endpoint.
    #[serde(rename = "host")]
    pub name: String,
    /// Address of the endpoint.
    #[serde(rename = "dial")]
    pub address: String,
    /// Zone of the endpoint.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Number of its group.
    #[serde(rename = "block")]
    pub group: i64,
    /// Health status in the list, which decides whether it may be used.
    pub health: String,
    /// Time of its last start in Unix milliseconds; 0 if unknown.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
    /// Role in the list: `off` for the primary, `on` for a replica.
    #[serde(default)]
    pub recovery: String,
    /// The last report from the endpoint itself.
    #[serde(default, rename = "said", skip_serializing_if = "Option::is_none")]
    pub report: Option<CachedReport>,
}

/// The last report from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedReport {
    /// It reported to be primary.
    pub primary: bool,
    /// Its position (commit time).
    #[serde(default)]
    pub position_ms: Option<i64>,
    /// PostgreSQL timeline of its log.
    #[serde(default)]
    pub timeline: Option<u32>,
    /// When the report was received.
    pub at_ms: i64,
}
