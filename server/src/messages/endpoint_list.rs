//! The endpoint list in the JSON format of discovery, and its conversion to the format of the cached list.

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
    /// The version of the list. Within one incarnation of discovery, it increases with each change.
    #[serde(default, rename = "seq")]
    pub version: i64,
    /// Whether the list is complete; otherwise it contains only the endpoints that have changed.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// The entries of the list.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// The name by which all lists identify the endpoint.
    #[serde(rename = "host")]
    pub name: String,
    /// The IP address and port, as text.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// The name of the zone in which the endpoint runs.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// The number of the group to which the endpoint belongs.
    #[serde(default, rename = "block")]
    pub group: i64,
    /// Whether the endpoint accepts new attempts.
    pub health: ListedHealth,
    /// When the endpoint's process was last started, in Unix milliseconds; 0 if it is unknown.
    #[serde(default)]
    pub born_ms: f64,
    /// The role: `off` for the primary, `on` for a replica.
    #[serde(default)]
    pub recovery: String,
}

/// Whether an endpoint accepts new attempts, according to the endpoint list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedHealth {
    /// The endpoint accepts new attempts.
    Serving,
    /// The endpoint is about to stop and accepts no new attempts.
    Draining,
    /// The endpoint was removed from the list.
    Deleted,
    /// A state that this version of the server does not know. It is treated as draining.
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
    /// Converts the listed health to the routing policy's type.
    pub fn status(&self) -> EndpointStatus {
        match self.health {
            ListedHealth::Serving => EndpointStatus::Serving,
            ListedHealth::Draining | ListedHealth::Unknown => EndpointStatus::Draining,
            ListedHealth::Deleted => EndpointStatus::Removed,
        }
    }

    /// The parsed address; `None` if it is invalid.
    pub fn socket_addr(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    /// Whether the endpoint is listed as the primary.
    pub fn is_primary(&self) -> bool {
        self.recovery == "off"
    }

    /// When the endpoint's process was last started; `None` if it is unknown.
    pub fn started_at(&self) -> Option<Timestamp> {
        clock::timestamp_from_unix_ms(self.born_ms)
    }
}

/// When a cached list was last confirmed by discovery, and when it was saved.
pub fn cache_times(list: &CachedEndpointList) -> CacheTimes {
    let from_ms = |millis: i64| Timestamp(millis.saturating_mul(clock::NANOS_PER_MILLI));
    CacheTimes { confirmed: from_ms(list.confirmed_ms), saved: from_ms(list.saved_ms) }
}
