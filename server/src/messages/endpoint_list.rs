//! The endpoint list in the format of discovery.

use crate::runtime::clock;
use endpoint_cache::{CachedEndpoint, CachedEndpointList};
use recovery::staleness::CacheTimes;
use routing::time::Timestamp;
use routing::EndpointStatus;
use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list, or changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListUpdate {
    /// The version of the list.
    #[serde(default, rename = "seq")]
    pub version: i64,
    /// The list is complete; otherwise it holds only the changed endpoints.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// The listed endpoints.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// The name of the endpoint.
    #[serde(rename = "host")]
    pub name: String,
    /// The address, as text.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// The name of the zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// The number of the group.
    #[serde(default, rename = "block")]
    pub group: i64,
    /// Whether attempts may start at the endpoint.
    pub health: ListedHealth,
    /// When the endpoint's process was last started, in Unix milliseconds; 0 if it is unknown.
    #[serde(default)]
    pub born_ms: f64,
    /// The role: `off` for the primary, `on` for a replica.
    #[serde(default)]
    pub recovery: String,
}

/// The listed state of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedHealth {
    /// Attempts may start at the endpoint.
    Serving,
    /// The endpoint is about to stop.
    Draining,
    /// The endpoint is removed from the list.
    Deleted,
    /// An unknown state, treated as draining: no attempts start at the endpoint.
    #[serde(other)]
    Unknown,
}

impl ListedHealth {
    fn as_str(self) -> &'static str {
        match self {
            ListedHealth::Serving => "SERVING",
            ListedHealth::Draining => "DRAINING",
            ListedHealth::Deleted => "DELETED",
            ListedHealth::Unknown => "UNKNOWN",
        }
    }

    fn parse(text: &str) -> ListedHealth {
        let known = [ListedHealth::Serving, ListedHealth::Draining, ListedHealth::Deleted];
        known.into_iter().find(|health| health.as_str() == text).unwrap_or(ListedHealth::Unknown)
    }
}

impl From<&ListedEndpoint> for CachedEndpoint {
    fn from(listed: &ListedEndpoint) -> CachedEndpoint {
        CachedEndpoint {
            name: listed.name.clone(),
            address: listed.address.clone(),
            zone: listed.zone.clone(),
            group: listed.group,
            health: listed.health.as_str().to_string(),
            started_ms: listed.born_ms,
            recovery: listed.recovery.clone(),
            report: None,
        }
    }
}

impl From<&CachedEndpoint> for ListedEndpoint {
    fn from(cached: &CachedEndpoint) -> ListedEndpoint {
        ListedEndpoint {
            name: cached.name.clone(),
            address: cached.address.clone(),
            zone: cached.zone.clone(),
            group: cached.group,
            health: ListedHealth::parse(&cached.health),
            born_ms: cached.started_ms,
            recovery: cached.recovery.clone(),
        }
    }
}

impl ListedEndpoint {
    /// The routing policy's view of the listed state.
    pub fn status(&self) -> EndpointStatus {
        match self.health {
            ListedHealth::Serving => EndpointStatus::Serving,
            ListedHealth::Draining | ListedHealth::Unknown => EndpointStatus::Draining,
            ListedHealth::Deleted => EndpointStatus::Removed,
        }
    }

    /// The address, if it is valid.
    pub fn socket_addr(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    /// Whether the endpoint is listed as the primary.
    pub fn is_primary(&self) -> bool {
        self.recovery == "off"
    }

    /// When the endpoint's process was last started, if it is known.
    pub fn started_at(&self) -> Option<Timestamp> {
        clock::timestamp_from_unix_ms(self.born_ms)
    }
}

/// When a cached list was last confirmed by discovery, and when it was saved.
pub fn cache_times(list: &CachedEndpointList) -> CacheTimes {
    let from_ms = |millis: i64| Timestamp(millis.saturating_mul(clock::NANOS_PER_MILLI));
    CacheTimes { confirmed: from_ms(list.confirmed_ms), saved: from_ms(list.saved_ms) }
}
