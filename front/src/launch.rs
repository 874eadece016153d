//! The configuration file: read, checked and given defaults here, at the start and again on SIGHUP.

use crate::hosts::Hosts;
use gingerwick::iface::Facts;
use hosting::facts::{self, BootInfo};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The file as it is worded.
#[derive(Deserialize)]
struct Page {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Hosts>,
    settings: BootInfo,
}

#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// What a front is told, checked.
pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub known: Option<Hosts>,
    pub settings: BootInfo,
    pub facts: Facts,
    /// The keys that hold for the life of the process, as the file words them.
    fixed: Map<String, Value>,
}

/// Which goes first where both a variable and the file name the address of discovery: a variable can't be set anew
/// while the process runs, the file can.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum When {
    Start,
    Reload,
}

impl Launch {
    /// Reads what ROUTER_CONFIG names; the variables are asked for by `variable`. A fault names its key.
    pub fn read(when: When, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG: not set")?;
        let text = std::fs::read(&path).map_err(|why| format!("ROUTER_CONFIG: {path}: {why}"))?;
        Launch::check(&text, when, variable).map_err(|why| {
            // The variables' names speak for themselves.
            if why.starts_with("ROUTER_") {
                why
            } else {
                format!("ROUTER_CONFIG: {why}")
            }
        })
    }

    fn check(text: &[u8], when: When, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let mut fixed: Map<String, Value> = serde_json::from_slice(text).map_err(|why| why.to_string())?;
        let page = serde_path_to_error::deserialize(Value::Object(fixed.clone()));
        let page: Page = page.map_err(|why| why.to_string())?;
        let address = |name: &str, key: &str, word: String| {
            let variable = variable(name).filter(|_| when == When::Start || key != "discovery");
            let (key, word) = variable.map_or((key, word), |word| (name, word));
            word.parse().map_err(|_| format!("{key}: {word:?} is no address with a port"))
        };
        // A start's own facts are no settings: that they differ from the file's says nothing.
        fixed.retain(|key, _| !["discovery", "known", "seed"].contains(&key.as_str()));
        Ok(Launch {
            name: variable("ROUTER_NAME").unwrap_or(page.name),
            listen: address("ROUTER_LISTEN", "listen", page.listen)?,
            discovery: address("ROUTER_DISCOVERY", "discovery", page.discovery)?,
            seed: u64::from_str_radix(&page.seed, 16).map_err(|_| "seed: not hex digits")?,
            limits: page.limits,
            known: page.known,
            facts: facts::facts(&page.settings).map_err(|why| format!("settings.{why}"))?,
            settings: page.settings,
            fixed,
        })
    }

    /// The keys in which a newer file differs and which only a start can take up.
    pub fn differs(&self, newer: &Launch) -> BTreeSet<String> {
        let keys = self.fixed.keys().chain(newer.fixed.keys());
        keys.filter(|key| self.fixed.get(*key) != newer.fixed.get(*key)).cloned().collect()
    }
}
