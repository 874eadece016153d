//! State machine of a record, and the decision on the fate of a write that is reported to its client. No I/O.

use std::fmt;

/// State of the record of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The write may have been sent and executed.
    Pending,
    /// The write was executed, at this commit time in Unix milliseconds if the endpoint reported it.
    Executed(Option<i64>),
    /// No attempt was executed. The write has not been reported as never executed, so it may be sent again.
    NotExecuted,
    /// The write was not executed and will never be sent by this instance.
    Barred,
}

/// Events that affect the state of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEvent {
    /// The first attempt of a request is about to be sent.
    FirstAttempt,
    /// Another attempt of the same request is about to be sent. The previous attempt is proved not to have been
    /// executed.
    RetryAttempt,
    /// An attempt of another request with the idempotency key of a recorded write is about to be sent, while the
    /// group still drops duplicates.
    DuplicateAttempt {
        /// Remaining deduplication window in milliseconds.
        remaining_ms: i64,
    },
    /// The write was executed, at this commit time in Unix milliseconds if known.
    Executed(Option<i64>),
    /// All attempts are proved not to have been executed, and no further attempt of this request will be sent.
    NotExecuted,
    /// The write is about to be reported as never executed: no attempt may be sent from now on.
    Bar,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// The attempt may be sent.
    Granted,
    /// The attempt may be sent as a duplicate of an attempt that may have been executed.
    GrantedAsDuplicate {
        /// Time within which the attempt may be sent, in milliseconds.
        remaining_ms: i64,
    },
    /// The attempt must not be sent, or the event was not about an attempt.
    Denied,
}

/// Number of clock ticks by which a deduplication window is shortened.
const CLOCK_TICKS_MARGIN: i64 = 2;

/// Where and for how long duplicates of a write with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deduplication {
    /// The group whose endpoints drop duplicates; `None` if the endpoints of all groups do.
    pub group: Option<i64>,
    /// Deduplication window in milliseconds, from the first attempt that may have been executed.
    pub window_ms: i64,
}

impl Deduplication {
    /// Creates a deduplication with the configured window, shortened by two clock ticks as a margin for the time that
    /// a duplicate takes to reach its endpoint.
    pub fn new(group: Option<i64>, window_ms: i64, clock_resolution_ms: i64) -> Deduplication {
        Deduplication { group, window_ms: window_ms - CLOCK_TICKS_MARGIN * clock_resolution_ms }
    }
}

/// Uptime of the machine. Deduplication windows are measured by it because, unlike the wall clock, it cannot be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// Random identifier of the boot from which the uptime is counted.
    pub boot_id: u64,
    /// Milliseconds since that boot.
    pub ms: i64,
}

/// Resolution of [`Uptime`] in milliseconds. The operating system provides the uptime in hundredths of a second.
const UPTIME_RESOLUTION_MS: i64 = 10;

impl Uptime {
    /// Upper bound on the time since `earlier` in milliseconds. `None` if the machine was rebooted in between or the
    /// uptime went backwards.
    pub fn since(self, earlier: Uptime) -> Option<i64> {
        let elapsed_ms = self.ms - earlier.ms;
        (self.boot_id == earlier.boot_id && elapsed_ms >= 0).then_some(elapsed_ms + UPTIME_RESOLUTION_MS)
    }
}

/// Returns the remaining time in milliseconds during which duplicates of a write are dropped. `recorded` is the
/// deduplication of the first attempt, which was sent at most `elapsed_ms` ago; `requested` is the deduplication of
/// the new request. Returns `None` if duplicates are no longer dropped, or if this is not known.
pub fn remaining_window_ms(
    recorded: Option<Deduplication>,
    requested: Option<Deduplication>,
    elapsed_ms: Option<i64>,
) -> Option<i64> {
    let (recorded, requested, elapsed_ms) = (recorded?, requested?, elapsed_ms?);
    let remaining_ms = recorded.window_ms.min(requested.window_ms) - elapsed_ms;
    (recorded.group == requested.group && remaining_ms > 0).then_some(remaining_ms)
}

/// New state of a record after an event, and whether the attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The new state; `None` if there is still no record.
    pub state: Option<RecordState>,
    /// Whether the attempt may be sent, if the event was about one.
    pub permission: SendPermission,
}

/// Returns the transition of a record that an event causes. `Executed` and `Barred` are final, and no attempt is sent
/// in these states. In the state `Pending`, another request with the same id is sent only if the group drops
/// duplicates.
pub fn transition(state: Option<RecordState>, event: RecordEvent) -> Transition {
    let unchanged = |permission| Transition { state, permission };
    let becomes = |state, permission| Transition { state: Some(state), permission };
    match (state, event) {
        (
            None | Some(RecordState::NotExecuted),
            RecordEvent::FirstAttempt | RecordEvent::RetryAttempt | RecordEvent::DuplicateAttempt { .. },
        ) => becomes(RecordState::Pending, SendPermission::Granted),
        (Some(RecordState::Pending), RecordEvent::RetryAttempt) => unchanged(SendPermission::Granted),
        (Some(RecordState::Pending), RecordEvent::DuplicateAttempt { remaining_ms }) => {
            unchanged(SendPermission::GrantedAsDuplicate { remaining_ms })
        }
        (Some(RecordState::Pending), RecordEvent::Executed(commit_ms)) => {
            becomes(RecordState::Executed(commit_ms), SendPermission::Denied)
        }
        (Some(RecordState::Pending), RecordEvent::NotExecuted) => {
            becomes(RecordState::NotExecuted, SendPermission::Denied)
        }
        (None | Some(RecordState::NotExecuted), RecordEvent::Bar) => {
            becomes(RecordState::Barred, SendPermission::Denied)
        }
        _ => unchanged(SendPermission::Denied),
    }
}

/// Origin of a connection: the journal of its instance, and the journal's next serial when the connection was opened.
/// The origin is reported to the client, which passes it back to query the fate of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Name of the journal.
    pub journal: String,
    /// Serial of the journal's next record when the connection was opened.
    pub serial: u64,
}

impl Origin {
    /// Parses the text form, such as `9f3c01aa52e87d14.4711`. Returns `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<Origin> {
        let (journal, serial) = text.split_once('.')?;
        let is_alphanumeric =
            |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric());
        // The check of the serial's characters rejects a sign, which `parse` would accept.
        let serial = serial.parse().ok().filter(|_| is_alphanumeric(serial))?;
        is_alphanumeric(journal).then(|| Origin { journal: journal.to_string(), serial })
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.journal, self.serial)
    }
}

/// Fate of a write as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The write was executed, at this commit time in Unix milliseconds if known.
    Executed(Option<i64>),
    /// The write was not executed and will never be sent by this instance.
    NeverExecuted,
    /// The write is in flight.
    InFlight,
    /// The fate is not known to this instance: the write may have been executed.
    Unknown,
}

/// Input of the decision on the fate of a write.
#[derive(Clone, Copy, Debug)]
pub struct FateEvidence {
    /// State of the write's record, if there is one.
    pub state: Option<RecordState>,
    /// Whether the client sent the write to this journal's instance, and no record created since the client's
    /// connection was opened has been dropped.
    pub covered: bool,
    /// Whether the request of the write is still open in this process.
    pub request_open: bool,
}

/// The fate to report, and whether the write must be barred first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FateDecision {
    /// The fate to report.
    pub fate: Fate,
    /// Whether the write must be barred before the report, so that the reported fate remains true.
    pub must_bar: bool,
}

/// Decides which fate of a write to report.
pub fn decide_fate(evidence: FateEvidence) -> FateDecision {
    let report_only = |fate| FateDecision { fate, must_bar: false };
    let bar_and_report_never = FateDecision { fate: Fate::NeverExecuted, must_bar: true };
    match evidence.state {
        Some(RecordState::Executed(commit_ms)) => report_only(Fate::Executed(commit_ms)),
        Some(RecordState::Barred) => report_only(Fate::NeverExecuted),
        _ if evidence.request_open => report_only(Fate::InFlight),
        Some(RecordState::Pending) => report_only(Fate::Unknown),
        Some(RecordState::NotExecuted) => bar_and_report_never,
        // No write is sent without a record, so this write was not sent. It must be barred, because the request may
        // still be on its way to this instance.
        None if evidence.covered => bar_and_report_never,
        None => report_only(Fate::Unknown),
    }
}
