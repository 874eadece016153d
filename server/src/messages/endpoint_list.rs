//! The endpoint list as discovery words it.

use crate::runtime::clock;
use endpoint_cache::{CachedEndpoint, CachedEndpointList};
use recovery::staleness::CacheTimes;
use routing::time::Timestamp;
use routing::EndpointStatus;
use serde::Deserialize;
use std::net::SocketAddr;

/// A list, or changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListUpdate {
    /// Its version.
    #[serde(default, rename = "seq")]
    pub version: i64,
    /// It is the whole list.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// Its entries.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// The name of the endpoint.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// Its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Its group.
    #[serde(default, rename = "block")]
    pub group: i64,
    /// Whether it may be used.
    pub health: ListedHealth,
    /// When its process last started, in Unix milliseconds; 0 if that is not known.
    #[serde(default)]
    pub born_ms: f64,
    /// Its role: `off` for the primary, `on` for a replica.
    #[serde(default)]
    pub recovery: String,
}

/// Whether an endpoint may be used.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedHealth {
    /// It may.
    Serving,
    /// It is about to stop.
    Draining,
    /// It is removed from the list.
    Deleted,
    /// A word that is not known: no attempts start there.
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
            host: listed.name.clone(),
            dial: listed.address.clone(),
            site: listed.zone.clone(),
            block: listed.group,
            health: listed.health.as_str().to_string(),
            born_ms: listed.born_ms,
            recovery: listed.recovery.clone(),
            report: None,
        }
    }
}

impl From<&CachedEndpoint> for ListedEndpoint {
    fn from(cached: &CachedEndpoint) -> ListedEndpoint {
        ListedEndpoint {
            name: cached.host.clone(),
            address: cached.dial.clone(),
            zone: cached.site.clone(),
            group: cached.block,
            health: ListedHealth::parse(&cached.health),
            born_ms: cached.born_ms,
            recovery: cached.recovery.clone(),
        }
    }
}

impl ListedEndpoint {
    /// Whether it may be used, as the routing policy has it.
    pub fn status(&self) -> EndpointStatus {
        match self.health {
            ListedHealth::Serving => EndpointStatus::Serving,
            ListedHealth::Draining | ListedHealth::Unknown => EndpointStatus::Draining,
            ListedHealth::Deleted => EndpointStatus::Removed,
        }
    }

    /// Its address, if it is one.
    pub fn socket_addr(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }

    /// Whether it is listed as the primary.
    pub fn is_primary(&self) -> bool {
        self.recovery == "off"
    }

    /// When its process last started, if that is known.
    pub fn started_at(&self) -> Option<Timestamp> {
        clock::from_unix_ms(self.born_ms)
    }
}

/// The times of a cached list.
pub fn cache_times(list: &CachedEndpointList) -> CacheTimes {
    let from_ms = |millis: i64| Timestamp(millis.saturating_mul(1_000_000));
    CacheTimes { confirmed: from_ms(list.confirmed_ms), saved: from_ms(list.saved_ms) }
}
