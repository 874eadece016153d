//! The bootstrap file, in which the platform configures an instance. It is read at the start and on SIGHUP.

use crate::messages::endpoint_list::EndpointListUpdate;
use host_support::bootstrap_config::BootstrapConfig;
use host_support::routing_settings::{routing_settings, SettingsError};
use routing::RoutingSettings;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

/// The environment variable with the path of the bootstrap file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable that overrides the instance's name.
const NAME_VARIABLE: &str = "ROUTER_NAME";
/// The environment variable that overrides the listen address.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// The environment variable that overrides the address of discovery, at the start only.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
/// The radix of the seed, which is a hexadecimal number.
const SEED_RADIX: u32 = 16;
/// The top-level keys whose changes a reload does not report as needing a restart. The reload itself applies
/// `discovery`; `known` and `seed` are used only at a start.
const KEYS_WITHOUT_RESTART_NOTICE: [&str; 3] = ["discovery", "known", "seed"];

/// The content of the bootstrap file before its values are validated.
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

/// The default of [`ProcessLimits::sockets`].
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The default of [`ProcessLimits::memory_mb`].
const DEFAULT_MEMORY_MB: usize = 192;

/// `limits`: the resource limits of the process.
#[derive(Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// The number of file descriptors that the process may open.
    pub sockets: usize,
    /// The memory that the process may use, in MiB.
    pub memory_mb: usize,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { sockets: DEFAULT_DESCRIPTORS, memory_mb: DEFAULT_MEMORY_MB }
    }
}

/// The validated settings of the bootstrap file and of the environment variables that override them.
pub struct Bootstrap {
    /// The name of the instance, shown in the log and on the admin socket; may be empty.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the random numbers of the routing policy and the discovery watch.
    pub seed: u64,
    /// The limits on descriptors and memory.
    pub limits: ProcessLimits,
    /// `known`: an endpoint list that the platform has obtained before the start.
    pub known_endpoints: Option<EndpointListUpdate>,
    /// `settings`: the settings of the deployment, as the file has them.
    pub config: BootstrapConfig,
    /// The settings of the routing policy, derived from `config`.
    pub settings: RoutingSettings,
    /// The values of all top-level keys except [`KEYS_WITHOUT_RESTART_NOTICE`].
    restart_keys: Map<String, Value>,
}

/// When the file is read. On a reload, the file's address of discovery overrides the environment variable, which
/// cannot be changed while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAt {
    /// At the start of the process.
    Start,
    /// On SIGHUP.
    Reload,
}

/// Why the file, a key or a variable is invalid.
#[derive(Debug, Error)]
enum Problem {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Structure(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("{0:?} is not an IP address with a port, such as \"10.0.0.1:5432\"")]
    NotAnAddress(String),
    #[error("{0:?} is not a hexadecimal number of up to 64 bits")]
    NotASeed(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// An error in the bootstrap file or its environment variables.
#[derive(Debug, Error)]
pub enum BootstrapError {
    /// `ROUTER_CONFIG` is not set.
    #[error("{CONFIG_VARIABLE}: not set; it must contain the path of the bootstrap file")]
    NotSet,
    /// The file cannot be read.
    #[error("{CONFIG_VARIABLE}: {path}: {error}")]
    Io {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A variable is invalid.
    #[error("{name}: {problem}")]
    Variable {
        /// The variable, such as `ROUTER_LISTEN`.
        name: &'static str,
        /// Why its value is invalid.
        problem: String,
    },
    /// The file as a whole, or one of its keys, is invalid.
    #[error("{CONFIG_VARIABLE}: {path}: {location}{problem}")]
    Key {
        /// The path of the file.
        path: String,
        /// The line and the key, each followed by `: `; empty if the file as a whole is invalid.
        location: String,
        /// Why the file or the key is invalid.
        problem: String,
    },
}

/// Where an invalid value was found.
#[derive(Clone, Copy)]
enum Source {
    /// The file as a whole.
    File,
    /// A key of the file.
    Key(&'static str),
    /// An environment variable.
    Variable(&'static str),
}

/// A problem and where it was found.
struct LocatedProblem {
    source: Source,
    problem: Problem,
}

impl LocatedProblem {
    fn new(source: Source, problem: impl Into<Problem>) -> LocatedProblem {
        LocatedProblem { source, problem: problem.into() }
    }

    /// Converts the problem to an error with the path of the file and, if the problem is in a key, the line of the
    /// key.
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
    /// Reads the file whose path is in `ROUTER_CONFIG`; `variable` looks up environment variables.
    ///
    /// # Errors
    /// All problems of the file and of the variables.
    pub fn read(
        at: ReadAt,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Bootstrap, Vec<BootstrapError>> {
        let path = variable(CONFIG_VARIABLE).ok_or_else(|| vec![BootstrapError::NotSet])?;
        let text =
            std::fs::read(&path).map_err(|error| vec![BootstrapError::Io { path: path.clone(), error }])?;
        Bootstrap::parse(&text, at, variable)
            .map_err(|problems| problems.into_iter().map(|problem| problem.locate(&path, &text)).collect())
    }

    /// Parses and validates the content of the file.
    ///
    /// # Errors
    /// The file is not valid JSON or lacks a key; otherwise, all problems of its values and of the variables.
    fn parse(
        text: &[u8],
        at: ReadAt,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Bootstrap, Vec<LocatedProblem>> {
        let file_problem = |problem: Problem| vec![LocatedProblem::new(Source::File, problem)];
        let mut restart_keys: Map<String, Value> =
            serde_json::from_slice(text).map_err(|error| file_problem(error.into()))?;
        let file: BootstrapFile =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))
                .map_err(|error| file_problem(error.into()))?;
        let listen = parse_address(variable(LISTEN_VARIABLE), LISTEN_VARIABLE, "listen", file.listen);
        let discovery = variable(DISCOVERY_VARIABLE).filter(|_| at == ReadAt::Start);
        let discovery = parse_address(discovery, DISCOVERY_VARIABLE, "discovery", file.discovery);
        let seed = u64::from_str_radix(&file.seed, SEED_RADIX);
        let seed = seed.map_err(|_| LocatedProblem::new(Source::Key("seed"), Problem::NotASeed(file.seed)));
        let settings = routing_settings(&file.settings);
        let settings = settings.map_err(|error| LocatedProblem::new(Source::Key("settings"), error));
        match (listen, discovery, seed, settings) {
            (Ok(listen), Ok(discovery), Ok(seed), Ok(settings)) => {
                restart_keys.retain(|key, _| !KEYS_WITHOUT_RESTART_NOTICE.contains(&key.as_str()));
                Ok(Bootstrap {
                    name: variable(NAME_VARIABLE).unwrap_or(file.name),
                    listen,
                    discovery,
                    seed,
                    limits: file.limits,
                    known_endpoints: file.known,
                    settings,
                    config: file.settings,
                    restart_keys,
                })
            }
            (listen, discovery, seed, settings) => {
                let problems = [listen.err(), discovery.err(), seed.err(), settings.err()];
                Err(problems.into_iter().flatten().collect())
            }
        }
    }

    /// The top-level keys that differ in `newer` and need a restart to take effect.
    pub fn changed_keys(&self, newer: &Bootstrap) -> BTreeSet<String> {
        let keys = self.restart_keys.keys().chain(newer.restart_keys.keys());
        keys.filter(|key| self.restart_keys.get(*key) != newer.restart_keys.get(*key)).cloned().collect()
    }
}

/// Parses an address from its environment variable or, if that is not set, from its key in the file.
fn parse_address(
    variable: Option<String>,
    name: &'static str,
    key: &'static str,
    from_file: String,
) -> Result<SocketAddr, LocatedProblem> {
    let (source, text) = match variable {
        Some(text) => (Source::Variable(name), text),
        None => (Source::Key(key), from_file),
    };
    text.parse().map_err(|_| LocatedProblem::new(source, Problem::NotAnAddress(text)))
}

/// The line of the first occurrence of a key, counted from 1; `None` if the text does not contain the key.
fn line_of(text: &[u8], key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let start = text.windows(quoted.len()).position(|window| window == quoted.as_bytes())?;
    Some(text[..start].iter().filter(|&&byte| byte == b'\n').count() + 1)
}
