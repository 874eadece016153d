//! What operators can set, and the defaults.

use admission::concurrency_limiter::ConcurrencyLimits;
use admission::{AddressPrefixes, ClientClass};
use routing::time::TimeDelta;
use std::path::PathBuf;
use std::time::Duration;

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    #[default]
    Text,
    /// Lines of JSON.
    Json,
}

/// How an endpoint says who it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointIdentity {
    /// It cannot.
    #[default]
    None,
    /// By PostgreSQL's own functions, see `docs/recovery.md`.
    Postgres,
}

/// Whether writes are recorded, and how far a record must have come before a write is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JournalMode {
    /// They are not.
    #[default]
    Off,
    /// With the operating system: it survives the process.
    System,
    /// On the disk: it survives the machine.
    Disk,
}

/// All settings. Each is off or at its default if no line names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// `state-dir`: where the endpoint list is cached over a restart; none: it is not.
    pub state_dir: Option<PathBuf>,
    /// `save-gap`: between two saves of the list, at least. 100 ms to an hour.
    pub save_interval: Duration,
    /// `store-identity`.
    pub endpoint_identity: EndpointIdentity,
    /// `session-keys`: the keys that authenticate session tokens; none: there are no tokens.
    pub session_keys: Option<PathBuf>,
    /// `session-lasts`: how long a token is valid. 1 s to 30 days.
    pub session_lifetime: Duration,
    /// `write-journal`: it is in the state directory.
    pub journal_mode: JournalMode,
    /// `write-journal-keeps`: how long a record is kept. A minute to 30 days.
    pub journal_max_age: Duration,
    /// `write-journal-most`: records that are kept. 1,000 to 100 million.
    pub journal_max_records: u64,
    /// `admit`: classes of clients, by which connections are admitted; none: whoever comes is, while there is capacity.
    pub client_classes: Vec<ClientClass>,
    /// `admit-prefix-4`, `admit-prefix-6`: how many bits of an address identify a client. 8 to 32, and 16 to 64.
    pub address_prefixes: AddressPrefixes,
    /// `rpcs-at-once`: requests in flight. 1 to 100,000; none: there is no limit.
    pub max_requests_in_flight: Option<usize>,
    /// `rpcs-waiting`: requests that wait at most. 0 to 100,000; none: four times those in flight.
    pub max_requests_waiting: Option<usize>,
    /// `rpcs-target`: how long a request may wait whose client's requests have waited without a break. 1 ms to 1 s.
    pub target_wait: Duration,
    /// `repeats`: clients' retries per hundred first attempts. 0 to 100; none: they have no budget.
    pub retry_percent: Option<u32>,
    /// `operators-socket`: where operators ask what the server does; none: they cannot.
    pub admin_socket: Option<PathBuf>,
    /// `log-format`.
    pub log_format: LogFormat,
    /// `log-level`: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
    /// `log-buffer`: bytes of the log that wait for the writer at most. 4 kB to 16 MB.
    pub log_buffer: usize,
}

const DEFAULT_MAX_REQUESTS_IN_FLIGHT: usize = 100_000;
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
    /// The limits on requests, if there are any.
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

    /// The keywords in which newer settings differ and which only a start can apply.
    pub fn changed_keywords(&self, newer: &OperatorSettings) -> Vec<&'static str> {
        let changes = [
            ("state-dir", self.state_dir != newer.state_dir),
            ("store-identity", self.endpoint_identity != newer.endpoint_identity),
            ("session-keys", self.session_keys != newer.session_keys),
            ("session-lasts", self.session_lifetime != newer.session_lifetime),
            ("write-journal", self.journal_mode != newer.journal_mode),
            ("write-journal-keeps", self.journal_max_age != newer.journal_max_age),
            ("write-journal-most", self.journal_max_records != newer.journal_max_records),
            // Classes apply from a SIGHUP on; whether there are any decides how descriptors are divided.
            ("admit", self.client_classes.is_empty() != newer.client_classes.is_empty()),
            ("operators-socket", self.admin_socket != newer.admin_socket),
            ("log-format", self.log_format != newer.log_format),
            ("log-level", self.log_level != newer.log_level),
            ("log-buffer", self.log_buffer != newer.log_buffer),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(keyword, _)| keyword).collect()
    }
}
