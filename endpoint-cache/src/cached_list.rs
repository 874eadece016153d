//! What is cached of an endpoint list.

use serde::{Deserialize, Serialize};

/// All that is cached. Times are Unix milliseconds by the wall clock of the instance that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpointList {
    /// Rises by one with every save: which of two files is the newer, whatever the clocks said.
    pub generation: u64,
    /// Discovery's version of the list.
    #[serde(rename = "seq")]
    pub version: i64,
    /// When discovery last confirmed the list.
    pub confirmed_ms: i64,
    /// When it was saved.
    pub saved_ms: i64,
    /// Its endpoints.
    #[serde(rename = "stores")]
    pub endpoints: Vec<CachedEndpoint>,
}

/// An endpoint as the list had it, under discovery's own names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CachedEndpoint {
    /// Its name.
    pub host: String,
    /// Its address.
    pub dial: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its group.
    pub block: i64,
    /// Whether it may be used.
    pub health: String,
    /// Its last start, 0 if none is known.
    #[serde(default)]
    pub born_ms: f64,
    /// Its role: `off` for the primary, `on` for a replica.
    #[serde(default)]
    pub recovery: String,
    /// What it last reported.
    #[serde(default, rename = "said", skip_serializing_if = "Option::is_none")]
    pub report: Option<CachedReport>,
}

/// What an endpoint itself last reported.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedReport {
    /// It said that it is primary.
    pub primary: bool,
    /// Its position.
    #[serde(default)]
    pub position_ms: Option<i64>,
    /// The timeline of its log.
    #[serde(default)]
    pub timeline: Option<u32>,
    /// When.
    pub at_ms: i64,
}
