//! The journal on disk: records by the id of the write, and their ids in the order of creation. The journal is owned
//! by one thread, which applies operations in batches so that one sync covers many operations.

use crate::encoding::{DeduplicationWindow, Record};
use crate::record_state::{
    decide_fate, remaining_window_ms, transition, Deduplication, Fate, FateEvidence, Origin, RecordEvent,
    RecordState, SendPermission, Uptime,
};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, OwnedWriteBatch, PersistMode};
use std::collections::HashMap;
use std::path::Path;
use thiserror::Error;

/// How durable a record must be before [`Journal::apply`] returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// The record is written to the operating system. It survives a crash of the process, but not of the machine.
    System,
    /// The record is synced to disk. It survives a crash of the machine.
    #[default]
    Disk,
}

/// Maximum number of operations per batch. The maximum bounds the latency of the first operation in the batch.
pub const MAX_BATCH_OPERATIONS: usize = 512;
/// Maximum number of file descriptors that a journal uses: its own files and the open table files.
pub const MAX_DESCRIPTORS: usize = 48;
/// Maximum number of table files that the store keeps open.
const MAX_OPEN_TABLES: usize = 24;
/// Size of the store's block cache.
const CACHE_BYTES: u64 = 1 << 20;
/// Maximum size of the store's write-ahead log on disk.
const MAX_LOG_BYTES: u64 = 64 << 20;
/// The memory that a journal takes at most, in bytes: its caches, and what is not yet in table files.
pub const MAX_MEMORY_BYTES: usize = 6 << 20;
/// Size at which the memtable of a keyspace is flushed to disk.
const MEMTABLE_BYTES: u64 = 512 << 10;
/// Number of serials that are reserved on disk at a time, so that no serial is reused after a crash.
const SERIAL_BLOCK: u64 = 1 << 16;
/// Maximum number of records dropped after a batch. The maximum bounds the time that dropping adds to the batch.
const MAX_DROPPED_PER_BATCH: usize = 64;

// Keys of the `meta` keyspace.
const NAME_KEY: &str = "name";
const OLDEST_SERIAL_KEY: &str = "floor";
const NEXT_SERIAL_KEY: &str = "next";
const COUNT_KEY: &str = "count";

/// Retention of records. The oldest records are dropped first.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Maximum number of records.
    pub max_records: u64,
    /// Maximum age of a record, in milliseconds of the wall clock passed to [`Journal::apply`].
    pub max_age_ms: i64,
}

/// An operation on the journal.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Records an event of a write.
    Record {
        /// Id of the write.
        id: String,
        /// The event.
        event: RecordEvent,
        /// Where and for how long duplicates are dropped, if the write has an idempotency key.
        deduplication: Option<Deduplication>,
    },
    /// Queries the fate of a write for a client.
    QueryFate {
        /// Id of the write.
        id: String,
        /// The origin of the connection on which the client sent the write, if the client provided it.
        origin: Option<Origin>,
        /// Whether the request of the write is still open in this process.
        request_open: bool,
    },
}

/// Result of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Result of [`Operation::Record`].
    Permission(SendPermission),
    /// Result of [`Operation::QueryFate`].
    Fate(Fate),
}

/// Failure of the key-value store under the journal.
#[derive(Debug, Error)]
#[error("key-value store: {0:?}")]
pub struct JournalError(#[from] fjall::Error);

/// Clock readings at the time a batch is applied.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The wall clock, in Unix milliseconds.
    pub wall_ms: i64,
    /// The machine's uptime. If it is unknown, no duplicate of a recorded write is sent.
    pub uptime: Option<Uptime>,
}

impl From<i64> for ClockReading {
    fn from(wall_ms: i64) -> ClockReading {
        ClockReading { wall_ms, uptime: None }
    }
}

/// The write journal of one instance.
pub struct Journal {
    database: Database,
    /// Records by id of the write.
    records: Keyspace,
    /// Ids of the writes by the serials of their records.
    order: Keyspace,
    meta: Keyspace,
    /// Identifies this journal; chosen when the journal is created.
    name: String,
    next_serial: u64,
    /// No record with this serial or a later one has been dropped.
    oldest_serial: u64,
    /// Number of entries in `order`. It cannot be computed from the serials, which have gaps after a restart.
    count: u64,
    durability: Durability,
    retention: Retention,
}

/// A batch of operations that is being applied.
struct Batch {
    writes: OwnedWriteBatch,
    /// Records that the batch has changed so far.
    changed: HashMap<String, Record>,
    next_serial: u64,
    count: u64,
    clock: ClockReading,
}

impl Journal {
    /// Opens or creates a journal. A new journal gets a name from the random number `name_seed`, so that the new
    /// journal cannot be mistaken for an earlier one that was lost.
    ///
    /// # Errors
    /// The store cannot be opened or written.
    pub fn open(
        path: &Path,
        durability: Durability,
        retention: Retention,
        name_seed: u64,
    ) -> Result<Journal, JournalError> {
        let builder = Database::builder(path).worker_threads(1).cache_size(CACHE_BYTES);
        let builder = builder.max_journaling_size(MAX_LOG_BYTES).max_cached_files(Some(MAX_OPEN_TABLES));
        let database = builder.open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let records = database.keyspace("records", options)?;
        let order = database.keyspace("order", options)?;
        let meta = database.keyspace("meta", options)?;
        let mut journal = Journal {
            name: read_or_create_name(&meta, name_seed)?,
            next_serial: read_number(&meta, NEXT_SERIAL_KEY)?,
            oldest_serial: read_number(&meta, OLDEST_SERIAL_KEY)?,
            count: read_number(&meta, COUNT_KEY)?,
            database,
            records,
            order,
            meta,
            durability,
            retention,
        };
        journal.reserve_serials()?;
        Ok(journal)
    }

    /// Returns the origin of a connection that is opened now: the journal's name and its next serial.
    pub fn origin(&self) -> Origin {
        Origin { journal: self.name.clone(), serial: self.next_serial }
    }

    /// Reserves the next block of serials on disk.
    fn reserve_serials(&mut self) -> Result<(), JournalError> {
        let reserved = self.next_serial + SERIAL_BLOCK;
        let mut writes = self.database.batch();
        writes.insert(&self.meta, NEXT_SERIAL_KEY, reserved.to_be_bytes().as_slice());
        writes.commit()?;
        self.database.persist(PersistMode::SyncAll)?;
        Ok(())
    }

    /// Applies a batch of operations in order. Returns once all of them are as durable as required, with one reply
    /// per operation.
    ///
    /// # Errors
    /// The store failed. The writes of the batch must then not be sent.
    pub fn apply(
        &mut self,
        clock: impl Into<ClockReading>,
        operations: &[Operation],
    ) -> Result<Vec<Reply>, JournalError> {
        let mut batch = Batch {
            writes: self.database.batch(),
            changed: HashMap::new(),
            next_serial: self.next_serial,
            count: self.count,
            clock: clock.into(),
        };
        let wall_ms = batch.clock.wall_ms;
        let replies: Result<Vec<Reply>, JournalError> =
            operations.iter().map(|operation| self.apply_operation(&mut batch, operation)).collect();
        let replies = replies?;
        self.commit(batch)?;
        self.drop_expired(wall_ms)?;
        Ok(replies)
    }

    fn apply_operation(&self, batch: &mut Batch, operation: &Operation) -> Result<Reply, JournalError> {
        match operation {
            Operation::Record { id, event, deduplication } => {
                let permission = self.record_event(batch, id, *event, *deduplication)?;
                Ok(Reply::Permission(permission))
            }
            Operation::QueryFate { id, origin, request_open } => {
                let state = self.find_record(id, batch)?.map(|record| record.state);
                let covered = origin.as_ref().is_some_and(|origin| self.covers(origin));
                let decision = decide_fate(FateEvidence { state, covered, request_open: *request_open });
                if decision.must_bar {
                    self.record_event(batch, id, RecordEvent::Bar, None)?;
                }
                Ok(Reply::Fate(decision.fate))
            }
        }
    }

    /// Whether this journal has dropped no record that was created since a connection with this origin was opened.
    fn covers(&self, origin: &Origin) -> bool {
        origin.journal == self.name && origin.serial >= self.oldest_serial
    }

    /// Returns the record of a write, including changes that the batch has made so far.
    fn find_record(&self, id: &str, batch: &Batch) -> Result<Option<Record>, JournalError> {
        match batch.changed.get(id) {
            Some(record) => Ok(Some(*record)),
            None => self.read_record(id),
        }
    }

    fn read_record(&self, id: &str) -> Result<Option<Record>, JournalError> {
        Ok(self.records.get(id)?.map(|bytes| Record::decode(&bytes)))
    }

    /// Records an event of a write, and returns whether the attempt may be sent.
    fn record_event(
        &self,
        batch: &mut Batch,
        id: &str,
        event: RecordEvent,
        deduplication: Option<Deduplication>,
    ) -> Result<SendPermission, JournalError> {
        let before = self.find_record(id, batch)?;
        let event = as_duplicate_attempt(before, event, deduplication, batch.clock.uptime);
        let state_before = before.map(|record| record.state);
        let transition = transition(state_before, event);
        if let Some(state) = transition.state.filter(|state| state_before != Some(*state)) {
            self.write_record(batch, id, before, state, deduplication);
        }
        Ok(transition.permission)
    }

    /// Writes a record in its new state. The time of the first attempt that may have been executed is preserved,
    /// because deduplication windows start at that time. A write that was not executed before gets a new record with
    /// a new serial: a record under the old serial could be dropped while the origins of later connections are still
    /// covered.
    fn write_record(
        &self,
        batch: &mut Batch,
        id: &str,
        before: Option<Record>,
        state: RecordState,
        deduplication: Option<Deduplication>,
    ) {
        let record = match before.filter(|record| record.state != RecordState::NotExecuted) {
            Some(earlier) => Record { state, ..earlier },
            None => {
                let serial = batch.next_serial;
                batch.next_serial += 1;
                batch.count += 1;
                batch.writes.insert(&self.order, serial.to_be_bytes().as_slice(), id.as_bytes());
                let window = deduplication.zip(batch.clock.uptime);
                let window = window
                    .map(|(deduplication, first_sent)| DeduplicationWindow { deduplication, first_sent });
                Record { serial, state, first_sent_ms: batch.clock.wall_ms, window }
            }
        };
        batch.writes.insert(&self.records, id.as_bytes(), record.encode());
        batch.changed.insert(id.to_string(), record);
    }

    fn commit(&mut self, mut batch: Batch) -> Result<(), JournalError> {
        if !batch.changed.is_empty() {
            batch.writes.insert(&self.meta, COUNT_KEY, batch.count.to_be_bytes().as_slice());
            batch.writes.commit()?;
            self.database.persist(match self.durability {
                Durability::System => PersistMode::Buffer,
                Durability::Disk => PersistMode::SyncData,
            })?;
        }
        let block_before = self.next_serial / SERIAL_BLOCK;
        self.next_serial = batch.next_serial;
        self.count = batch.count;
        if block_before != self.next_serial / SERIAL_BLOCK {
            self.reserve_serials()?;
        }
        Ok(())
    }

    /// When the first attempt of a write was recorded, in Unix milliseconds; `None` if there is no record.
    ///
    /// # Errors
    /// The store failed.
    pub fn first_sent_ms(&self, id: &str) -> Result<Option<i64>, JournalError> {
        Ok(self.read_record(id)?.map(|record| record.first_sent_ms))
    }

    /// Drops records beyond the retention, the oldest first, up to [`MAX_DROPPED_PER_BATCH`] entries. The oldest
    /// serial is raised in the same batch, so that a dropped record is never mistaken for a write that was not sent.
    fn drop_expired(&mut self, wall_ms: i64) -> Result<(), JournalError> {
        let mut writes = self.database.batch();
        let (mut oldest_serial, mut count) = (self.oldest_serial, self.count);
        for entry in self.order.iter().take(MAX_DROPPED_PER_BATCH) {
            let (serial, id) = entry.into_inner()?;
            let Some(serial) = decode_number(&serial) else { continue };
            // An entry is obsolete if the write has a newer record with a later serial.
            let record = self.records.get(&id)?.map(|bytes| Record::decode(&bytes));
            let record = record.filter(|record| record.serial == serial);
            let expired =
                record.is_none_or(|record| wall_ms - record.first_sent_ms > self.retention.max_age_ms);
            if !expired && count <= self.retention.max_records {
                break;
            }
            writes.remove(&self.order, serial.to_be_bytes().as_slice());
            if record.is_some() {
                writes.remove(&self.records, id);
            }
            oldest_serial = serial + 1;
            count = count.saturating_sub(1);
        }
        if oldest_serial != self.oldest_serial {
            writes.insert(&self.meta, OLDEST_SERIAL_KEY, oldest_serial.to_be_bytes().as_slice());
            writes.insert(&self.meta, COUNT_KEY, count.to_be_bytes().as_slice());
            writes.commit()?;
            self.oldest_serial = oldest_serial;
            self.count = count;
        }
        Ok(())
    }
}

/// Converts the first attempt of a request to a duplicate attempt if a write with the same id is recorded and the
/// group still drops duplicates of that write. Other events are returned unchanged.
fn as_duplicate_attempt(
    before: Option<Record>,
    event: RecordEvent,
    deduplication: Option<Deduplication>,
    uptime: Option<Uptime>,
) -> RecordEvent {
    let window = before.and_then(|record| record.window);
    let elapsed_ms = uptime.zip(window).and_then(|(uptime, window)| uptime.since(window.first_sent));
    let recorded = window.map(|window| window.deduplication);
    match remaining_window_ms(recorded, deduplication, elapsed_ms) {
        Some(remaining_ms) if event == RecordEvent::FirstAttempt => {
            RecordEvent::DuplicateAttempt { remaining_ms }
        }
        _ => event,
    }
}

fn read_or_create_name(meta: &Keyspace, name_seed: u64) -> Result<String, JournalError> {
    if let Some(name) = meta.get(NAME_KEY)? {
        return Ok(String::from_utf8_lossy(&name).into_owned());
    }
    let name = format!("{name_seed:016x}");
    meta.insert(NAME_KEY, name.as_bytes())?;
    Ok(name)
}

fn read_number(meta: &Keyspace, key: &str) -> Result<u64, JournalError> {
    Ok(meta.get(key)?.and_then(|bytes| decode_number(&bytes)).unwrap_or(0))
}

/// Decodes a big-endian number; `None` if its length is not 8 bytes.
fn decode_number(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}
