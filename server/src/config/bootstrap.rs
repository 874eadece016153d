//! The bootstrap file, by which the platform configures an instance at its start, and again on SIGHUP.

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

/// The environment variable with the path of the bootstrap file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable that overrides the instance's name.
const NAME_VARIABLE: &str = "ROUTER_NAME";
/// The environment variable that overrides the listen address.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// The environment variable that overrides the address of discovery at the start.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
/// The base of the seed's digits.
const HEXADECIMAL: u32 = 16;
/// Keys that may differ in a newer file without a warning: `discovery` is applied, `known` and `seed` are of use
/// only at a start.
const KEYS_OF_ONE_START: [&str; 3] = ["discovery", "known", "seed"];

/// The content of the file.
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

/// The number of descriptors that the process may open, unless the file sets one.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The memory in MiB that the process may use, unless the file sets one.
const DEFAULT_MEMORY_MB: usize = 192;

/// The resource limits of the process.
#[derive(Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// The number of descriptors.
    pub sockets: usize,
    /// The memory in MiB.
    pub memory_mb: usize,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { sockets: DEFAULT_DESCRIPTORS, memory_mb: DEFAULT_MEMORY_MB }
    }
}

/// The validated settings of the bootstrap file and its environment variables.
pub struct Bootstrap {
    /// The name of the instance.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: ProcessLimits,
    /// An endpoint list from before the start.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// The settings of the deployment.
    pub config: BootstrapConfig,
    /// The settings of the routing policy, derived from `config`.
    pub settings: RoutingSettings,
    /// The keys that cannot be changed at run time, with their values.
    fixed: Map<String, Value>,
}

/// The occasion on which the file is read. On a reload, the file's address of discovery takes precedence over the
/// environment variable, which cannot be changed while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAt {
    /// At the start.
    Start,
    /// On SIGHUP.
    Reload,
}

/// The fault of one key or variable.
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

/// An error in the bootstrap file or its environment variables.
#[derive(Debug, Error)]
pub enum BootstrapError {
    /// The variable with the file's path is not set.
    #[error("{CONFIG_VARIABLE}: not set")]
    NotSet,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: {path}: {error}")]
    Io {
        /// The path of the file.
        path: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// A variable is invalid.
    #[error("{name}: {problem}")]
    Variable {
        /// The name of the variable.
        name: &'static str,
        /// The fault.
        problem: String,
    },
    /// The file is invalid.
    #[error("{CONFIG_VARIABLE}: {path}: {location}{problem}")]
    Key {
        /// The path of the file.
        path: String,
        /// The line and the key, each followed by a colon, as far as they are known.
        location: String,
        /// The fault.
        problem: String,
    },
}

/// The source of a value.
#[derive(Clone, Copy)]
enum Source {
    /// The file as a whole.
    File,
    /// A key of the file.
    Key(&'static str),
    /// An environment variable.
    Variable(&'static str),
}

/// A fault and its source.
struct Fault {
    source: Source,
    problem: Problem,
}

impl Fault {
    fn new(source: Source, problem: impl Into<Problem>) -> Fault {
        Fault { source, problem: problem.into() }
    }

    /// Adds the path of the file, and the line of the key.
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
    /// Reads the file whose path `ROUTER_CONFIG` holds; `variable` looks up environment variables.
    ///
    /// # Errors
    /// Every fault of the file and the variables.
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

    /// Parses and validates the content of the file.
    ///
    /// # Errors
    /// A file that is not valid JSON, or every fault of its values and of the variables.
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
        let seed = u64::from_str_radix(&file.seed, HEXADECIMAL);
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

    /// The keys that differ in a newer file and take effect only at a start.
    pub fn changed_keys(&self, newer: &Bootstrap) -> BTreeSet<String> {
        let keys = self.fixed.keys().chain(newer.fixed.keys());
        keys.filter(|key| self.fixed.get(*key) != newer.fixed.get(*key)).cloned().collect()
    }
}

/// Parses an address from its variable, or from its key if the variable is not set.
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

/// The line of the first occurrence of a key, counted from 1.
fn line_of(text: &[u8], key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let start = text.windows(quoted.len()).position(|window| window == quoted.as_bytes())?;
    Some(text[..start].iter().filter(|&&byte| byte == b'\n').count() + 1)
}
