//! The list of stores as discovery words it.

use crate::clock;
use endpoint_cache::{Kept, KeptStore};
use recovery::trust::Times;
use routing::iface::Standing;
use routing::time::Moment;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize)]
pub struct Hosts {
    #[serde(default)]
    pub seq: i64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    pub host: String,
    #[serde(default)]
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub block: i64,
    pub health: Health,
    #[serde(default)]
    pub born_ms: f64,
    #[serde(default)]
    pub recovery: String,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    Serving,
    Draining,
    Deleted,
    /// A word that is not known: nothing new is sent there.
    #[serde(other)]
    Unknown,
}

impl Health {
    fn word(self) -> &'static str {
        match self {
            Health::Serving => "SERVING",
            Health::Draining => "DRAINING",
            Health::Deleted => "DELETED",
            Health::Unknown => "UNKNOWN",
        }
    }

    fn of(word: &str) -> Health {
        let all = [Health::Serving, Health::Draining, Health::Deleted];
        all.into_iter().find(|health| health.word() == word).unwrap_or(Health::Unknown)
    }
}

impl From<&Host> for KeptStore {
    fn from(host: &Host) -> KeptStore {
        KeptStore {
            host: host.host.clone(),
            dial: host.dial.clone(),
            site: host.site.clone(),
            block: host.block,
            health: host.health.word().to_string(),
            born_ms: host.born_ms,
            recovery: host.recovery.clone(),
            said: None,
        }
    }
}

impl From<&KeptStore> for Host {
    fn from(kept: &KeptStore) -> Host {
        Host {
            host: kept.host.clone(),
            dial: kept.dial.clone(),
            site: kept.site.clone(),
            block: kept.block,
            health: Health::of(&kept.health),
            born_ms: kept.born_ms,
            recovery: kept.recovery.clone(),
        }
    }
}

impl Host {
    pub fn standing(&self) -> Standing {
        match self.health {
            Health::Serving => Standing::Open,
            Health::Draining | Health::Unknown => Standing::Draining,
            Health::Deleted => Standing::Gone,
        }
    }

    pub fn dial(&self) -> Option<SocketAddr> {
        self.dial.parse().ok()
    }

    pub fn is_primary(&self) -> bool {
        self.recovery == "off"
    }

    pub fn started(&self) -> Option<Moment> {
        clock::from_unix_ms(self.born_ms)
    }
}

/// What the kept times mean to recovery.
pub fn times(kept: &Kept) -> Times {
    let of_ms = |ms: i64| Moment(ms.saturating_mul(1_000_000));
    Times { confirmed: of_ms(kept.confirmed_ms), saved: of_ms(kept.saved_ms) }
}
