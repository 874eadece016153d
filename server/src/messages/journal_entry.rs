//! What must be recorded before a write is sent, and what the journal says to that.

use std::sync::Arc;
use write_journal::record_state::{Deduplication, RecordEvent};

/// What must be recorded before an attempt is sent.
#[derive(Clone)]
pub struct JournalEntry {
    /// The id of the write.
    pub id: Arc<str>,
    /// What happens to it.
    pub event: RecordEvent,
    /// If it has an idempotency key: where and for how long its duplicates are dropped.
    pub deduplication: Option<Deduplication>,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalVerdict {
    /// It may.
    Granted,
    /// It may, as a duplicate of one that may have run.
    GrantedAsDuplicate,
    /// Its id is recorded already.
    IdInUse,
    /// It could not be recorded: it must not be sent.
    NotRecorded,
}

impl JournalVerdict {
    /// Whether the attempt may be sent.
    pub fn allows_sending(self) -> bool {
        matches!(self, JournalVerdict::Granted | JournalVerdict::GrantedAsDuplicate)
    }
}
