//! The configuration file: read, checked and given defaults here, at the start and again on SIGHUP.

use crate::hosts::Hosts;
use host_support::facts::{self, BootInfo};
use routing::iface::Facts;
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

/// Which goes first where both a variable and the file name the address of discovery: a variable can't be set
/// anew while the process runs, the file can.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum When {
    Start,
    Reload,
}

impl Launch {
    /// Reads what ROUTER_CONFIG names; the variables are asked for by `variable`. Each fault names file, line
    /// and key, where they have one.
    pub fn read(when: When, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, Vec<String>> {
        let path = variable("ROUTER_CONFIG").ok_or_else(|| vec!["ROUTER_CONFIG: not set".to_string()])?;
        let text = std::fs::read(&path).map_err(|why| vec![format!("ROUTER_CONFIG: {path}: {why}")])?;
        Launch::check(&text, when, variable).map_err(|faults| {
            let whole = |Fault { key, why }: Fault| {
                // The variables' names speak for themselves.
                if key.starts_with("ROUTER_") {
                    return format!("{key}: {why}");
                }
                let line = line_of(&text, &key).map_or(String::new(), |line| format!("{line}: "));
                let key = if key.is_empty() { key } else { format!("{key}: ") };
                format!("ROUTER_CONFIG: {path}: {line}{key}{why}")
            };
            faults.into_iter().map(whole).collect()
        })
    }

    fn check(
        text: &[u8],
        when: When,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Launch, Vec<Fault>> {
        let alone = |key: &str, why: String| vec![Fault { key: key.to_string(), why }];
        let mut fixed: Map<String, Value> =
            serde_json::from_slice(text).map_err(|why| alone("", why.to_string()))?;
        let page = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text));
        let page: Page = page.map_err(|why| alone("", why.to_string()))?;
        let mut faults = Vec::new();
        let mut address = |name: &str, key: &str, word: String| {
            let variable = variable(name).filter(|_| when == When::Start || key != "discovery");
            let (key, word) = variable.map_or((key, word), |word| (name, word));
            word.parse().unwrap_or_else(|_| {
                faults.push(Fault { key: key.into(), why: format!("{word:?} is no address with a port") });
                SocketAddr::from(([0, 0, 0, 0], 0))
            })
        };
        let listen = address("ROUTER_LISTEN", "listen", page.listen);
        let discovery = address("ROUTER_DISCOVERY", "discovery", page.discovery);
        let seed = u64::from_str_radix(&page.seed, 16).unwrap_or_else(|_| {
            faults.push(Fault { key: "seed".into(), why: "not hex digits".into() });
            0
        });
        let facts = match facts::facts(&page.settings) {
            Ok(facts) => facts,
            Err(why) => {
                faults.push(Fault { key: "settings".into(), why });
                return Err(faults);
            }
        };
        if !faults.is_empty() {
            return Err(faults);
        }
        // A start's own facts are no settings: that they differ from the file's says nothing.
        fixed.retain(|key, _| !["discovery", "known", "seed"].contains(&key.as_str()));
        Ok(Launch {
            name: variable("ROUTER_NAME").unwrap_or(page.name),
            listen,
            discovery,
            seed,
            limits: page.limits,
            known: page.known,
            facts,
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

/// What is wrong with the value of a key.
struct Fault {
    key: String,
    why: String,
}

/// The line on which a key stands first, from 1.
fn line_of(text: &[u8], key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let at = text.windows(quoted.len()).position(|part| part == quoted.as_bytes())?;
    (!key.is_empty()).then(|| text[..at].iter().filter(|&&byte| byte == b'\n').count() + 1)
}
