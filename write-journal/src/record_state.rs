//! What becomes of a record, and what a client is told that asks about a write. Two tables, free of I/O.

use std::fmt;

/// What is known of a write, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It was about to be sent: it may have run.
    Pending,
    /// It ran; its commit time in Unix milliseconds, if the endpoint reported it.
    Executed(Option<i64>),
    /// Nothing that was sent of it ran, and nobody was told that it never will: its client may send it again.
    NotExecuted,
    /// It did not run, and never will from here.
    Barred,
}

/// What happens to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordEvent {
    /// The first attempt of its request is about to be sent.
    Starting,
    /// The same request is sent again, since the attempt before is proved not to have run.
    Retrying,
    /// Another request carries the idempotency key of a recorded one, while its duplicates are still dropped.
    Rejoining {
        /// For how long they still are, in milliseconds.
        remaining_ms: i64,
    },
    /// It ran.
    Executed(Option<i64>),
    /// All its attempts are proved not to have run, and no more will be made.
    NotExecuted,
    /// A client was told that it never ran: it must not from now on.
    Bar,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    /// It may.
    Granted,
    /// It may, as a duplicate of one that may have run.
    GrantedAsDuplicate {
        /// For how long it may, in milliseconds.
        remaining_ms: i64,
    },
    /// It may not, or was not asked for.
    Denied,
}

/// Where and for how long duplicates of a write with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deduplication {
    /// The group whose endpoints drop them; all groups' if none.
    pub group: Option<i64>,
    /// For how long, in milliseconds from the first attempt that may have run.
    pub window_ms: i64,
}

impl Deduplication {
    /// For a window less two ticks of the clock: a duplicate needs some time to its endpoint.
    pub fn new(group: Option<i64>, window_ms: i64, clock_resolution_ms: i64) -> Deduplication {
        Deduplication { group, window_ms: window_ms - 2 * clock_resolution_ms }
    }
}

/// How long a machine has been up, by a clock that nobody sets: only this one measures windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// Which start of the machine it counts from, by an identifier drawn then.
    pub boot: u64,
    /// Milliseconds since that start.
    pub ms: i64,
}

/// The resolution of [`Uptime`]: it is read in hundredths of a second.
const UPTIME_RESOLUTION_MS: i64 = 10;

impl Uptime {
    /// The most that has passed since `earlier`; none if the machine was restarted in between, or time went back.
    pub fn since(self, earlier: Uptime) -> Option<i64> {
        let passed = self.ms - earlier.ms;
        (self.boot == earlier.boot && passed >= 0).then_some(passed + UPTIME_RESOLUTION_MS)
    }
}

/// For how long duplicates are still dropped of a write that was first sent with `recorded`, `passed_ms` ago at the most;
/// none if they are not, or it is not known.
pub fn remaining_window_ms(
    recorded: Option<Deduplication>,
    asked: Option<Deduplication>,
    passed_ms: Option<i64>,
) -> Option<i64> {
    let (recorded, asked, passed) = (recorded?, asked?, passed_ms?);
    let remaining = recorded.window_ms.min(asked.window_ms) - passed;
    (recorded.group == asked.group && remaining > 0).then_some(remaining)
}

/// What follows from an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The state afterwards; none: there is no record.
    pub state: Option<RecordState>,
    /// Whether the attempt may be sent, if the event asked for that.
    pub permission: SendPermission,
}

/// The state of a record after an event. What is settled stays settled, and nothing is sent under an id that was settled;
/// nor under another request's, unless duplicates are dropped.
pub fn next(state: Option<RecordState>, event: RecordEvent) -> Transition {
    let unchanged = |permission| Transition { state, permission };
    let becomes = |state, permission| Transition { state: Some(state), permission };
    match (state, event) {
        (
            None | Some(RecordState::NotExecuted),
            RecordEvent::Starting | RecordEvent::Retrying | RecordEvent::Rejoining { .. },
        ) => becomes(RecordState::Pending, SendPermission::Granted),
        (Some(RecordState::Pending), RecordEvent::Retrying) => unchanged(SendPermission::Granted),
        (Some(RecordState::Pending), RecordEvent::Rejoining { remaining_ms }) => {
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

/// Where a client sent a write, as it was told when that connection began: which journal, and how far that had come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The name of the journal.
    pub journal: String,
    /// The serial of its next record.
    pub serial: u64,
}

impl Origin {
    /// Reads `9f3c01aa52e87d14.4711`.
    pub fn parse(text: &str) -> Option<Origin> {
        let (journal, serial) = text.split_once('.')?;
        let is_plain = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric());
        let serial = serial.parse().ok().filter(|_| is_plain(serial))?;
        is_plain(journal).then(|| Origin { journal: journal.to_string(), serial })
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.journal, self.serial)
    }
}

/// What a client is told that asks about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It ran; its commit time in Unix milliseconds, if that is known.
    Executed(Option<i64>),
    /// It did not run and never will from here.
    NeverExecuted,
    /// It is in flight.
    InFlight,
    /// That is not known here: it may have run.
    Unknown,
}

/// What the journal knows of a write, for one client that asks.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Its record.
    pub state: Option<RecordState>,
    /// The write was sent to this journal's instance, and no record made since that connection began was dropped.
    pub covered: bool,
    /// Its request is still open in this process.
    pub request_open: bool,
}

/// What a client is told, and what that takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FateDecision {
    /// What it is told.
    pub fate: Fate,
    /// The id has to be barred first, for that to stay true.
    pub must_bar: bool,
}

/// The fate of a write.
pub fn fate(evidence: Evidence) -> FateDecision {
    let without_bar = |fate| FateDecision { fate, must_bar: false };
    let never = FateDecision { fate: Fate::NeverExecuted, must_bar: true };
    match evidence.state {
        Some(RecordState::Executed(commit_ms)) => without_bar(Fate::Executed(commit_ms)),
        Some(RecordState::Barred) => without_bar(Fate::NeverExecuted),
        _ if evidence.request_open => without_bar(Fate::InFlight),
        Some(RecordState::Pending) => without_bar(Fate::Unknown),
        Some(RecordState::NotExecuted) => never,
        // Nothing is sent without a record: none was made, so it was not sent. It may still be on its way to us.
        None if evidence.covered => never,
        None => without_bar(Fate::Unknown),
    }
}
