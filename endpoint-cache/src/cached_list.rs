//! The cached data: an endpoint list, and the last report of each endpoint.

use serde::{Deserialize, Serialize};

/// The cached list. Times are Unix milliseconds by the wall clock of the instance that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpointList {
    /// Number of the save that wrote the list. It increases by one with each save, so that files can be ordered
    /// independently of the clock.
    pub generation: u64,
    /// Version that discovery gave the list.
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

/// A cached endpoint. In the file, the fields have the names that discovery's format uses.
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
    /// Number of the endpoint's group.
    #[serde(rename = "block")]
    pub group: i64,
    /// Health status in the list, which determines whether the endpoint may be used.
    pub health: String,
    /// When the endpoint last started, in Unix milliseconds; 0 if unknown.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
    /// Role in the list: `off` for the primary, `on` for a replica.
    #[serde(default)]
    pub recovery: String,
    /// The last report from the endpoint itself; `None` if the endpoint has not reported yet.
    #[serde(default, rename = "said", skip_serializing_if = "Option::is_none")]
    pub report: Option<CachedReport>,
}

/// The last report from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedReport {
    /// Whether the endpoint reported that it was the primary.
    pub primary: bool,
    /// Reported position, as a commit time in Unix milliseconds.
    #[serde(default)]
    pub position_ms: Option<i64>,
    /// Reported PostgreSQL timeline of the endpoint's log.
    #[serde(default)]
    pub timeline: Option<u32>,
    /// When the report was received, in Unix milliseconds.
    #[serde(rename = "at_ms")]
    pub received_ms: i64,
}
