//! The entry that the write journal records before an attempt of a write is sent, and the journal's verdict on the
//! attempt.

use std::sync::Arc;
use write_journal::record_state::{Deduplication, RecordEvent};

/// An entry to record before an attempt is sent.
#[derive(Clone)]
pub struct JournalEntry {
    /// The client's id of the write, which is the key of its record.
    pub id: Arc<str>,
    /// The event to record: `FirstAttempt` or `RetryAttempt`.
    pub event: RecordEvent,
    /// The scope and window in which endpoints drop duplicates of the write; `None` without an idempotency key.
    pub deduplication: Option<Deduplication>,
}

/// The write journal's verdict on an attempt: whether it may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalVerdict {
    /// The attempt was recorded and may be sent.
    Granted,
    /// The attempt may be sent as a duplicate of a write that may have been executed.
    GrantedAsDuplicate,
    /// The journal has recorded the id for another write, so the attempt must not be sent.
    IdInUse,
    /// The attempt could not be recorded, so it must not be sent.
    NotRecorded,
}

impl JournalVerdict {
    /// Whether the attempt may be sent.
    pub fn allows_sending(self) -> bool {
        matches!(self, JournalVerdict::Granted | JournalVerdict::GrantedAsDuplicate)
    }
}
