//! What operators can set, and the defaults.

use admission::concurrency_limiter::ConcurrencyLimits;
use admission::ClassSettings;
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

const DEFAULT_MAX_REQUESTS_IN_FLIGHT: usize = 100_000;
const WAITING_PER_IN_FLIGHT: usize = 4;

/// The journal of writes; it is in the state directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSettings {
    /// `write-journal`.
    pub mode: JournalMode,
    /// `write-journal-keeps`: how long a record is kept. A minute to 30 days.
    pub max_age: Duration,
    /// `write-journal-most`: records that are kept. 1,000 to 100 million.
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

/// What is kept on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageSettings {
    /// `state-dir`: where the endpoint list is cached over a restart; none: it is not.
    pub state_dir: Option<PathBuf>,
    /// `save-gap`: between two saves of the list, at least. 100 ms to an hour.
    pub save_interval: Duration,
    /// The records of writes.
    pub journal: JournalSettings,
}

impl Default for StorageSettings {
    fn default() -> StorageSettings {
        StorageSettings {
            state_dir: None,
            save_interval: Duration::from_secs(1),
            journal: JournalSettings::default(),
        }
    }
}

/// The tokens that carry what a session has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// `session-keys`: the keys that authenticate session tokens; none: there are no tokens.
    pub keys: Option<PathBuf>,
    /// `session-lasts`: how long a token is valid. 1 s to 30 days.
    pub lifetime: Duration,
}

impl Default for SessionSettings {
    fn default() -> SessionSettings {
        SessionSettings { keys: None, lifetime: Duration::from_secs(3600) }
    }
}

/// How many requests are worked on, and how many wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// `rpcs-at-once`: requests in flight. 1 to 100,000; none: there is no limit.
    pub max_in_flight: Option<usize>,
    /// `rpcs-waiting`: requests that wait at most. 0 to 100,000; none: four times those in flight.
    pub max_waiting: Option<usize>,
    /// `rpcs-target`: how long a request may wait whose client's requests have waited without a break. 1 ms to 1 s.
    pub target_wait: Duration,
    /// `repeats`: clients' retries per hundred first attempts. 0 to 100; none: they have no budget.
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

/// Which connections are admitted, and which requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// `admit`, `admit-prefix-4`, `admit-prefix-6`: classes of clients, by which connections are admitted. Without any,
    /// whoever comes is, while there is capacity. A prefix has 8 to 32 bits, and 16 to 64.
    pub clients: ClassSettings,
    /// The limits on requests.
    pub requests: RequestSettings,
}

impl AdmissionSettings {
    /// The limits on requests, if there are any.
    fn concurrency_limits(&self) -> Option<ConcurrencyLimits> {
        let requests = &self.requests;
        let class_limited = self.clients.classes.iter().any(|class| class.max_requests.is_some());
        if requests.max_in_flight.is_none() && requests.retry_percent.is_none() && !class_limited {
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

/// The log of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// `log-format`.
    pub format: LogFormat,
    /// `log-level`: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// `log-buffer`: bytes of the log that wait for the writer at most. 4 kB to 16 MB.
    pub max_queued_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::default(), level: "info".to_string(), max_queued_bytes: 64 << 10 }
    }
}

/// All settings. Each is off or at its default if no line names it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// What is kept on disk.
    pub storage: StorageSettings,
    /// `store-identity`.
    pub endpoint_identity: EndpointIdentity,
    /// The tokens of sessions.
    pub sessions: SessionSettings,
    /// Which connections are admitted, and which requests.
    pub admission: AdmissionSettings,
    /// `operators-socket`: where operators ask what the server does; none: they cannot.
    pub admin_socket: Option<PathBuf>,
    /// The log.
    pub log: LogSettings,
}

impl OperatorSettings {
    /// The limits on requests, if there are any.
    pub fn concurrency_limits(&self) -> Option<ConcurrencyLimits> {
        self.admission.concurrency_limits()
    }

    /// The keywords in which newer settings differ and which only a start can apply.
    pub fn changed_keywords(&self, newer: &OperatorSettings) -> Vec<&'static str> {
        let (storage, newer_storage) = (&self.storage, &newer.storage);
        let (journal, newer_journal) = (&storage.journal, &newer_storage.journal);
        let (clients, newer_clients) = (&self.admission.clients, &newer.admission.clients);
        let changes = [
            ("state-dir", storage.state_dir != newer_storage.state_dir),
            ("store-identity", self.endpoint_identity != newer.endpoint_identity),
            ("session-keys", self.sessions.keys != newer.sessions.keys),
            ("session-lasts", self.sessions.lifetime != newer.sessions.lifetime),
            ("write-journal", journal.mode != newer_journal.mode),
            ("write-journal-keeps", journal.max_age != newer_journal.max_age),
            ("write-journal-most", journal.max_records != newer_journal.max_records),
            // Classes apply from a SIGHUP on; whether there are any decides how descriptors are divided.
            ("admit", clients.classes.is_empty() != newer_clients.classes.is_empty()),
            ("operators-socket", self.admin_socket != newer.admin_socket),
            ("log-format", self.log.format != newer.log.format),
            ("log-level", self.log.level != newer.log.level),
            ("log-buffer", self.log.max_queued_bytes != newer.log.max_queued_bytes),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(keyword, _)| keyword).collect()
    }
}
