//! A write journal that is opened again after it has failed. The store under the journal refuses all further writes once
//! a write or a sync has failed, even if the disk works again.

use crate::log;
use std::collections::VecDeque;
use std::path::PathBuf;
use write_journal::journal::{
    ClockReading, Durability, Journal, JournalError, Operation, Reply, Retention, MAX_BATCH_OPERATIONS,
};
use write_journal::record_state::{Origin, RecordEvent};

/// The maximum number of outcomes that are kept while the journal fails. A write whose outcome is dropped counts as one
/// that may have been executed.
const MAX_OWED_OUTCOMES: usize = 1 << 16;

/// Where the journal is, and how it is opened.
pub struct JournalLocation {
    /// The directory of the journal.
    pub path: PathBuf,
    /// How durable a record must be before it counts as written.
    pub durability: Durability,
    /// How long records are kept.
    pub retention: Retention,
    /// The random number from which a new journal gets its name.
    pub random_id: u64,
}

impl JournalLocation {
    fn open(&self) -> Result<Journal, JournalError> {
        Journal::open(&self.path, self.durability, self.retention, self.random_id)
    }
}

/// The journal, and what is to be written once it works again.
pub struct ReopenedJournal {
    location: JournalLocation,
    /// The open journal; `None` after a failure.
    journal: Option<Journal>,
    /// The journal's origin when it worked last.
    origin: Origin,
    /// The outcomes that could not be recorded, in their order.
    owed: VecDeque<Operation>,
}

impl ReopenedJournal {
    /// Opens the journal.
    ///
    /// # Errors
    /// The journal cannot be opened.
    pub fn open(location: JournalLocation) -> Result<ReopenedJournal, JournalError> {
        let journal = location.open()?;
        let origin = journal.origin();
        Ok(ReopenedJournal { location, journal: Some(journal), origin, owed: VecDeque::new() })
    }

    /// The journal's origin, as of the last time that it worked.
    pub fn origin(&self) -> Origin {
        self.origin.clone()
    }

    /// Applies operations after the outcomes that are owed. After a failure the journal is closed, and opened again at
    /// the next call.
    ///
    /// # Errors
    /// The journal cannot be opened or written; none of the operations may be relied on. Outcomes are kept.
    pub fn apply(
        &mut self,
        clock: ClockReading,
        operations: &[Operation],
    ) -> Result<Vec<Reply>, JournalError> {
        let result = self.try_apply(clock, operations);
        if result.is_err() {
            self.journal = None;
            self.keep_outcomes(operations);
        }
        result
    }

    fn try_apply(
        &mut self,
        clock: ClockReading,
        operations: &[Operation],
    ) -> Result<Vec<Reply>, JournalError> {
        if self.journal.is_none() {
            self.journal = Some(self.location.open()?);
        }
        let Some(journal) = &mut self.journal else { return Ok(Vec::new()) };
        while !self.owed.is_empty() {
            let count = self.owed.len().min(MAX_BATCH_OPERATIONS);
            let batch: Vec<Operation> = self.owed.iter().take(count).cloned().collect();
            journal.apply(clock, &batch)?;
            self.owed.drain(..count);
        }
        let replies = journal.apply(clock, operations)?;
        self.origin = journal.origin();
        Ok(replies)
    }

    /// Keeps the outcomes among operations that were not recorded. An attempt that was not recorded is not sent, so it
    /// is not owed.
    fn keep_outcomes(&mut self, operations: &[Operation]) {
        let outcomes = operations.iter().filter(|operation| is_outcome(operation));
        self.owed.extend(outcomes.cloned());
        let excess = self.owed.len().saturating_sub(MAX_OWED_OUTCOMES);
        if excess > 0 {
            log!(WARN, dropped = excess; "outcomes of writes dropped, because the write journal fails for long");
            self.owed.drain(..excess);
        }
    }
}

/// Whether an operation records the outcome of an attempt.
fn is_outcome(operation: &Operation) -> bool {
    matches!(operation, Operation::Record { event: RecordEvent::Executed(_) | RecordEvent::NotExecuted, .. })
}
