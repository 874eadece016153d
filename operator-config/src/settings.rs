//! Settings of the operators' file and their defaults.

use admission::concurrency_limiter::ConcurrencyLimits;
use admission::{AddressPrefixes, ClientClass};
use routing::time::TimeDelta;
use std::path::PathBuf;
use std::time::Duration;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// Lines of JSON.
    Json,
}

/// How endpoints report their identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointIdentity {
    /// Endpoints do not report their identity.
    #[default]
    None,
    /// By PostgreSQL's built-in functions, see `docs/recovery.md`.
    Postgres,
}

/// Whether writes are recorded in the write journal, and how durable a record must be before its write is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JournalMode {
    /// Writes are not recorded.
    #[default]
    Off,
    /// Written to the operating system: survives a crash of the process.
    System,
    /// Synced to disk: survives a crash of the machine.
    Disk,
}

/// All settings. A setting without a line in the file is off or has its default value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// `state-dir`: directory of the endpoint cache and the write journal. Without it the endpoint list is not cached.
    pub state_dir: Option<PathBuf>,
    /// `save-gap`: minimum interval between two saves of the endpoint list. 100 ms to an hour.
    pub save_interval: Duration,
    /// `store-identity`: how endpoints report their identity.
    pub endpoint_identity: EndpointIdentity,
    /// `session-keys`: file of the keys that authenticate session tokens; `None` disables tokens.
    pub session_keys: Option<PathBuf>,
    /// `session-lasts`: lifetime of session tokens. 1 s to 30 days.
    pub session_lifetime: Duration,
    /// `write-journal`: mode of the write journal in the state directory.
    pub journal_mode: JournalMode,
    /// `write-journal-keeps`: maximum age of journal records. A minute to 30 days.
    pub journal_max_age: Duration,
    /// `write-journal-most`: maximum number of journal records. 1,000 to 100 million.
    pub journal_max_records: u64,
    /// `admit`: client classes. If empty, every connection is admitted while there is capacity.
    pub client_classes: Vec<ClientClass>,
    /// `admit-prefix-4`, `admit-prefix-6`: prefix lengths in bits by which addresses identify a client. 8 to 32 for
    /// IPv4, 16 to 64 for IPv6.
    pub address_prefixes: AddressPrefixes,
    /// `rpcs-at-once`: maximum requests in flight. 1 to 100,000; `None` means no limit.
    pub max_requests_in_flight: Option<usize>,
    /// `rpcs-waiting`: maximum waiting requests. 0 to 100,000; `None` means four times the maximum in flight.
    pub max_requests_waiting: Option<usize>,
    /// `rpcs-target`: maximum wait of a request whose client has a standing queue. 1 ms to 1 s.
    pub target_wait: Duration,
    /// `repeats`: allowed client retries as a percentage of first attempts. 0 to 100; `None` disables the retry
    /// budget.
    pub retry_percent: Option<u32>,
    /// `operators-socket`: path of the admin socket; `None` disables it.
    pub admin_socket: Option<PathBuf>,
    /// `log-format`: format of the log.
    pub log_format: LogFormat,
    /// `log-level`: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
    /// `log-buffer`: maximum size in bytes of the buffer between the log and its writer. 4 kB to 16 MB.
    pub log_buffer: usize,
}

/// Limit of requests in flight if only other limits on requests are configured: the largest allowed value.
const DEFAULT_MAX_REQUESTS_IN_FLIGHT: usize = 100_000;
/// Default ratio of the maximum of waiting requests to the maximum in flight.
const WAITING_PER_IN_FLIGHT: usize = 4;

impl Default for OperatorSettings {
    fn default() -> OperatorSettings {
        OperatorSettings {
            state_dir: None,
            save_interval: Duration::from_secs(1),
            endpoint_identity: EndpointIdentity::default(),
            session_keys: None,
            session_lifetime: Duration::from_secs(3600),
            journal_mode: JournalMode::default(),
            journal_max_age: Duration::from_secs(3600),
            journal_max_records: 1_000_000,
            client_classes: Vec::new(),
            address_prefixes: AddressPrefixes::default(),
            max_requests_in_flight: None,
            max_requests_waiting: None,
            target_wait: Duration::from_millis(10),
            retry_percent: None,
            admin_socket: None,
            log_format: LogFormat::default(),
            log_level: "info".to_string(),
            log_buffer: 64 << 10,
        }
    }
}

impl OperatorSettings {
    /// The limits on requests, if any is configured.
    pub fn concurrency_limits(&self) -> Option<ConcurrencyLimits> {
        let class_limited = self.client_classes.iter().any(|class| class.max_requests.is_some());
        if self.max_requests_in_flight.is_none() && self.retry_percent.is_none() && !class_limited {
            return None;
        }
        let max_in_flight = self.max_requests_in_flight.unwrap_or(DEFAULT_MAX_REQUESTS_IN_FLIGHT);
        Some(ConcurrencyLimits {
            max_in_flight,
            max_waiting: self.max_requests_waiting.unwrap_or(max_in_flight * WAITING_PER_IN_FLIGHT),
            target_wait: TimeDelta(self.target_wait.as_nanos() as i64),
            retry_percent: self.retry_percent,
        })
    }

    /// Keywords whose values differ in `newer` and that take effect only after a restart.
    pub fn changed_keywords(&self, newer: &OperatorSettings) -> Vec<&'static str> {
        let changes = [
            ("state-dir", self.state_dir != newer.state_dir),
            ("store-identity", self.endpoint_identity != newer.endpoint_identity),
            ("session-keys", self.session_keys != newer.session_keys),
            ("session-lasts", self.session_lifetime != newer.session_lifetime),
            ("write-journal", self.journal_mode != newer.journal_mode),
            ("write-journal-keeps", self.journal_max_age != newer.journal_max_age),
            ("write-journal-most", self.journal_max_records != newer.journal_max_records),
            // Classes can be reloaded by SIGHUP, but whether there are any determines the division of file
            // descriptors.
            ("admit", self.client_classes.is_empty() != newer.client_classes.is_empty()),
            ("operators-socket", self.admin_socket != newer.admin_socket),
            ("log-format", self.log_format != newer.log_format),
            ("log-level", self.log_level != newer.log_level),
            ("log-buffer", self.log_buffer != newer.log_buffer),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(keyword, _)| keyword).collect()
    }
}
