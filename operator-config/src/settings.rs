//! Settings of the operators' file and their defaults.

use admission::concurrency_limiter::ConcurrencyLimits;
use admission::ClassSettings;
use routing::time::TimeDelta;
use std::path::PathBuf;
use std::time::Duration;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// A JSON object per line.
    Json,
}

/// How endpoints report their identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointIdentity {
    /// Endpoints do not report their identity.
    #[default]
    None,
    /// The instance queries the identity of an endpoint with built-in functions of PostgreSQL, see `docs/recovery.md`.
    Postgres,
}

/// How durable the record of a write in the write journal must be before the write is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JournalMode {
    /// Writes are not recorded.
    #[default]
    Off,
    /// The record is written to the operating system: it survives a crash of the process.
    System,
    /// The record is synced to disk: it survives a crash of the machine.
    Disk,
}

/// Maximum requests in flight if only other limits on requests are configured: the largest value that operators may
/// set.
const DEFAULT_MAX_REQUESTS_IN_FLIGHT: usize = 100_000;
/// Ratio of the default maximum of waiting requests to the maximum of requests in flight.
const WAITING_PER_IN_FLIGHT: usize = 4;

/// Settings of the write journal, which is in the state directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSettings {
    /// `write-journal`: durability of records; `Off` disables the journal.
    pub mode: JournalMode,
    /// `write-journal-keeps`: maximum age of records, 1 minute to 30 days.
    pub max_age: Duration,
    /// `write-journal-most`: maximum number of records, 1,000 to 100 million.
    pub max_records: u64,
}

impl Default for JournalSettings {
    fn default() -> JournalSettings {
        JournalSettings {
            mode: JournalMode::default(),
            max_age: Duration::from_secs(3600),
            max_records: 1_000_000,
        }
    }
}

/// Settings of the data on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageSettings {
    /// `state-dir`: directory of the cached endpoint list and the write journal. If `None`, the list is not cached, and
    /// the write journal cannot be used.
    pub state_dir: Option<PathBuf>,
    /// `save-gap`: minimum time between two saves of the endpoint list, 100 ms to 1 hour.
    pub min_save_interval: Duration,
    /// Settings of the write journal.
    pub journal: JournalSettings,
}

impl Default for StorageSettings {
    fn default() -> StorageSettings {
        StorageSettings {
            state_dir: None,
            min_save_interval: Duration::from_secs(1),
            journal: JournalSettings::default(),
        }
    }
}

/// Settings of session tokens, in which clients carry the positions of their sessions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// `session-keys`: path of the file with the keys that authenticate session tokens. `None` disables tokens.
    pub keys_path: Option<PathBuf>,
    /// `session-lasts`: lifetime of session tokens, 1 s to 30 days.
    pub lifetime: Duration,
}

impl Default for SessionSettings {
    fn default() -> SessionSettings {
        SessionSettings { keys_path: None, lifetime: Duration::from_secs(3600) }
    }
}

/// Limits on requests in flight and waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// `rpcs-at-once`: maximum requests in flight, 1 to 100,000. `None` means no limit.
    pub max_in_flight: Option<usize>,
    /// `rpcs-waiting`: maximum waiting requests, 0 to 100,000. `None` means four times the maximum in flight.
    pub max_waiting: Option<usize>,
    /// `rpcs-target`: maximum wait of a request whose client has a standing queue, 1 ms to 1 s.
    pub target_wait: Duration,
    /// `repeats`: allowed client retries as a percentage of first attempts, 0 to 100. `None` disables the retry budget.
    pub retry_percent: Option<u32>,
}

impl Default for RequestSettings {
    fn default() -> RequestSettings {
        RequestSettings {
            max_in_flight: None,
            max_waiting: None,
            target_wait: Duration::from_millis(10),
            retry_percent: None,
        }
    }
}

/// Settings of the admission of connections and requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// `admit`: client classes. `admit-prefix-4` and `admit-prefix-6`: prefix lengths in bits, 8 to 32 for IPv4 and 16
    /// to 64 for IPv6; addresses with the same prefix count as one client.
    pub clients: ClassSettings,
    /// Limits on requests in flight and waiting.
    pub requests: RequestSettings,
}

impl AdmissionSettings {
    /// The limits on requests, if any is configured.
    fn concurrency_limits(&self) -> Option<ConcurrencyLimits> {
        let requests = &self.requests;
        let has_class_limit = self.clients.classes.iter().any(|class| class.max_requests.is_some());
        if requests.max_in_flight.is_none() && requests.retry_percent.is_none() && !has_class_limit {
            return None;
        }
        let max_in_flight = requests.max_in_flight.unwrap_or(DEFAULT_MAX_REQUESTS_IN_FLIGHT);
        Some(ConcurrencyLimits {
            max_in_flight,
            max_waiting: requests.max_waiting.unwrap_or(max_in_flight * WAITING_PER_IN_FLIGHT),
            target_wait: TimeDelta(requests.target_wait.as_nanos() as i64),
            retry_percent: requests.retry_percent,
        })
    }
}

/// Settings of the log of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// `log-format`: format of log lines.
    pub format: LogFormat,
    /// `log-level`: least severe level that is logged: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// `log-buffer`: maximum size in bytes of the lines that wait to be written, 4 kB to 16 MB.
    pub max_queued_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::default(), level: "info".to_string(), max_queued_bytes: 64 << 10 }
    }
}

/// All settings of the operators' file. A setting that the file does not contain is off or has its default value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Settings of the data on disk.
    pub storage: StorageSettings,
    /// `store-identity`: how endpoints report their identity.
    pub endpoint_identity: EndpointIdentity,
    /// Settings of session tokens.
    pub sessions: SessionSettings,
    /// Settings of the admission of connections and requests.
    pub admission: AdmissionSettings,
    /// `operators-socket`: path of the admin socket. `None` disables the socket.
    pub admin_socket: Option<PathBuf>,
    /// Settings of the log.
    pub log: LogSettings,
}

impl OperatorSettings {
    /// The limits on requests, if any is configured.
    pub fn concurrency_limits(&self) -> Option<ConcurrencyLimits> {
        self.admission.concurrency_limits()
    }

    /// The keywords whose value differs in `newer` and whose new value takes effect only at the next start.
    pub fn changed_start_keywords(&self, newer: &OperatorSettings) -> Vec<&'static str> {
        let (storage, newer_storage) = (&self.storage, &newer.storage);
        let (journal, newer_journal) = (&storage.journal, &newer_storage.journal);
        let (clients, newer_clients) = (&self.admission.clients, &newer.admission.clients);
        let changes = [
            ("state-dir", storage.state_dir != newer_storage.state_dir),
            ("store-identity", self.endpoint_identity != newer.endpoint_identity),
            ("session-keys", self.sessions.keys_path != newer.sessions.keys_path),
            ("session-lasts", self.sessions.lifetime != newer.sessions.lifetime),
            ("write-journal", journal.mode != newer_journal.mode),
            ("write-journal-keeps", journal.max_age != newer_journal.max_age),
            ("write-journal-most", journal.max_records != newer_journal.max_records),
            // SIGHUP reloads the classes, but whether there are any determines how file descriptors are divided at the
            // start.
            ("admit", clients.classes.is_empty() != newer_clients.classes.is_empty()),
            ("operators-socket", self.admin_socket != newer.admin_socket),
            ("log-format", self.log.format != newer.log.format),
            ("log-level", self.log.level != newer.log.level),
            ("log-buffer", self.log.max_queued_bytes != newer.log.max_queued_bytes),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(keyword, _)| keyword).collect()
    }
}
