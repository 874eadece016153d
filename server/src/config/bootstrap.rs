//! The bootstrap file: what the platform tells an instance at its start, and again on SIGHUP.

use crate::messages::endpoint_list::EndpointListUpdate;
use host_support::bootstrap_config::BootstrapConfig;
use host_support::routing_settings::{routing_settings, SettingsError};
use routing::RoutingSettings;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const NAME_VARIABLE: &str = "ROUTER_NAME";
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
/// Keys that belong to one start: that they differ in a newer file changes no setting.
const KEYS_OF_ONE_START: [&str; 3] = ["discovery", "known", "seed"];

/// The file as it is written.
#[derive(Deserialize)]
struct BootstrapFile {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: ProcessLimits,
    known: Option<EndpointListUpdate>,
    settings: BootstrapConfig,
}

/// What the process may use.
#[derive(Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Descriptors.
    pub sockets: usize,
    /// Memory, in MiB.
    pub memory_mb: usize,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { sockets: 1024, memory_mb: 192 }
    }
}

/// What an instance is told, checked.
pub struct Bootstrap {
    /// The name of the instance.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For randomness.
    pub seed: u64,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// An endpoint list from before the start.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// The deployment.
    pub config: BootstrapConfig,
    /// The settings of the routing policy that follow from it.
    pub settings: RoutingSettings,
    /// The keys that hold for the life of the process, as they are written.
    fixed: Map<String, Value>,
}

/// When the file is read. A variable cannot be changed while the process runs, the file can: at a reload the file's address of
/// discovery goes before the variable's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAt {
    /// At the start.
    Start,
    /// On SIGHUP.
    Reload,
}

/// What is wrong with one key or variable.
#[derive(Debug, Error)]
enum Problem {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Shape(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("{0:?} is no address with a port")]
    NoAddress(String),
    #[error("not hex digits")]
    BadSeed(#[from] ParseIntError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// What is wrong with a bootstrap file, or with the variables beside it.
#[derive(Debug, Error)]
pub enum BootstrapError {
    /// No variable names the file.
    #[error("{CONFIG_VARIABLE}: not set")]
    NotSet,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: {path}: {error}")]
    Io {
        /// The file.
        path: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// A variable is wrong.
    #[error("{name}: {problem}")]
    Variable {
        /// The variable.
        name: &'static str,
        /// What is wrong.
        problem: String,
    },
    /// The file is wrong.
    #[error("{CONFIG_VARIABLE}: {path}: {location}{problem}")]
    Key {
        /// The file.
        path: String,
        /// The line and the key, each with a colon behind it, where they are known.
        location: String,
        /// What is wrong.
        problem: String,
    },
}

/// Where a value comes from.
#[derive(Clone, Copy)]
enum Source {
    File,
    Key(&'static str),
    Variable(&'static str),
}

struct Fault {
    source: Source,
    problem: Problem,
}

impl Fault {
    fn new(source: Source, problem: impl Into<Problem>) -> Fault {
        Fault { source, problem: problem.into() }
    }

    fn locate(self, path: &str, text: &[u8]) -> BootstrapError {
        let problem = self.problem.to_string();
        let key = match self.source {
            Source::Variable(name) => return BootstrapError::Variable { name, problem },
            Source::File => None,
            Source::Key(key) => Some(key),
        };
        let line = key.and_then(|key| line_of(text, key)).map(|line| format!("{line}: "));
        let key = key.map(|key| format!("{key}: "));
        let location = line.unwrap_or_default() + &key.unwrap_or_default();
        BootstrapError::Key { path: path.to_string(), location, problem }
    }
}

impl Bootstrap {
    /// Reads the file that `ROUTER_CONFIG` names; `variable` looks up environment variables.
    ///
    /// # Errors
    /// All that is wrong with the file and the variables.
    pub fn read(
        at: ReadAt,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Bootstrap, Vec<BootstrapError>> {
        let path = variable(CONFIG_VARIABLE).ok_or_else(|| vec![BootstrapError::NotSet])?;
        let text =
            std::fs::read(&path).map_err(|error| vec![BootstrapError::Io { path: path.clone(), error }])?;
        Bootstrap::parse(&text, at, variable)
            .map_err(|faults| faults.into_iter().map(|fault| fault.locate(&path, &text)).collect())
    }

    fn parse(
        text: &[u8],
        at: ReadAt,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Bootstrap, Vec<Fault>> {
        let whole_file = |problem: Problem| vec![Fault::new(Source::File, problem)];
        let mut fixed: Map<String, Value> =
            serde_json::from_slice(text).map_err(|error| whole_file(error.into()))?;
        let file: BootstrapFile =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))
                .map_err(|error| whole_file(error.into()))?;
        let listen = address(variable(LISTEN_VARIABLE), LISTEN_VARIABLE, "listen", file.listen);
        let discovery = variable(DISCOVERY_VARIABLE).filter(|_| at == ReadAt::Start);
        let discovery = address(discovery, DISCOVERY_VARIABLE, "discovery", file.discovery);
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.map_err(|error| Fault::new(Source::Key("seed"), error));
        let settings = routing_settings(&file.settings);
        let settings = settings.map_err(|error| Fault::new(Source::Key("settings"), error));
        match (listen, discovery, seed, settings) {
            (Ok(listen), Ok(discovery), Ok(seed), Ok(settings)) => {
                fixed.retain(|key, _| !KEYS_OF_ONE_START.contains(&key.as_str()));
                Ok(Bootstrap {
                    name: variable(NAME_VARIABLE).unwrap_or(file.name),
                    listen,
                    discovery,
                    seed,
                    limits: file.limits,
                    known_endpoints: file.known,
                    settings,
                    config: file.settings,
                    fixed,
                })
            }
            (listen, discovery, seed, settings) => {
                let faults = [listen.err(), discovery.err(), seed.err(), settings.err()];
                Err(faults.into_iter().flatten().collect())
            }
        }
    }

    /// The keys in which a newer file differs and which only a start can apply.
    pub fn changed_keys(&self, newer: &Bootstrap) -> BTreeSet<String> {
        let keys = self.fixed.keys().chain(newer.fixed.keys());
        keys.filter(|key| self.fixed.get(*key) != newer.fixed.get(*key)).cloned().collect()
    }
}

/// An address from its variable, or from its key if the variable is not set.
fn address(
    variable: Option<String>,
    name: &'static str,
    key: &'static str,
    from_file: String,
) -> Result<SocketAddr, Fault> {
    let (source, text) = match variable {
        Some(text) => (Source::Variable(name), text),
        None => (Source::Key(key), from_file),
    };
    text.parse().map_err(|_| Fault::new(source, Problem::NoAddress(text)))
}

/// The line on which a key stands first, from 1.
fn line_of(text: &[u8], key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let start = text.windows(quoted.len()).position(|window| window == quoted.as_bytes())?;
    Some(text[..start].iter().filter(|&&byte| byte == b'\n').count() + 1)
}
