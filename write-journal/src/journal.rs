//! The records on disk, by the write's id, and in the order in which they were made. One thread owns it; many operations
//! go in one batch, and one sync answers for them all.

use crate::encoding::{KeyedSend, Record};
use crate::record_state::{
    fate, next, remaining_window_ms, Deduplication, Evidence, Fate, Origin, RecordEvent, RecordState,
    SendPermission, Uptime,
};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, OwnedWriteBatch, PersistMode};
use std::collections::HashMap;
use std::path::Path;
use thiserror::Error;

/// How far a record must have come before what waits for it goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// With the operating system: it survives the process, not the machine.
    System,
    /// On the disk.
    #[default]
    Disk,
}

/// Operations in one batch at most: the first would wait long for the last.
pub const MAX_BATCH: usize = 512;
/// Descriptors that a journal holds at most: its files, and those of tables that are kept open.
pub const DESCRIPTORS: usize = 48;
const MAX_OPEN_TABLES: usize = 24;
const CACHE_BYTES: u64 = 1 << 20;
const MAX_LOG_BYTES: u64 = 64 << 20;
const MEMTABLE_BYTES: u64 = 2 << 20;
/// Serials are reserved in blocks, so that one that was given out is never given out again.
const SERIAL_BLOCK: u64 = 1 << 16;
/// Records that one batch drops at most.
const MAX_DROPPED_PER_BATCH: usize = 64;

const NAME_KEY: &str = "name";
const OLDEST_SERIAL_KEY: &str = "floor";
const NEXT_KEY: &str = "next";
const COUNT_KEY: &str = "count";

/// How much is kept.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Records at most.
    pub max_records: u64,
    /// Age of a record at most, in milliseconds of the clock that [`Journal::apply`] is given.
    pub max_age_ms: i64,
}

/// Something that is asked of the journal.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Something happens to a write.
    Record {
        /// Its id.
        id: String,
        /// What happens.
        event: RecordEvent,
        /// If it has an idempotency key: where and for how long its duplicates are dropped.
        deduplication: Option<Deduplication>,
    },
    /// A client asks what became of a write.
    QueryFate {
        /// Its id.
        id: String,
        /// Where the client sent it.
        origin: Option<Origin>,
        /// Its request is still open in this process.
        request_open: bool,
    },
}

/// The answer to an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Operation::Record`].
    Permission(SendPermission),
    /// To [`Operation::QueryFate`].
    Fate(Fate),
}

/// The store under the journal failed.
#[derive(Debug, Error)]
#[error("{0:?}")]
pub struct JournalError(#[from] fjall::Error);

/// What the clocks show when a batch is applied.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The wall clock, in Unix milliseconds.
    pub wall_ms: i64,
    /// None: it is not known here, and no write is sent again by its idempotency key.
    pub uptime: Option<Uptime>,
}

impl From<i64> for ClockReading {
    fn from(wall_ms: i64) -> ClockReading {
        ClockReading { wall_ms, uptime: None }
    }
}

/// The journal of writes of one instance.
pub struct Journal {
    database: Database,
    /// Id to record.
    records: Keyspace,
    /// Serial to id.
    order: Keyspace,
    meta: Keyspace,
    name: String,
    next_serial: u64,
    /// None of the records made from this serial on has been dropped.
    oldest_serial: u64,
    /// Entries in `order`. Serials have gaps between two processes.
    count: u64,
    durability: Durability,
    retention: Retention,
}

/// A batch of operations that is being applied.
struct Batch {
    writes: OwnedWriteBatch,
    /// Records that were changed in it.
    changed: HashMap<String, Record>,
    next_serial: u64,
    count: u64,
    clock: ClockReading,
}

impl Journal {
    /// Opens a journal or creates one. `chance` names a new one: a journal that was lost and created anew must not be
    /// taken for the old one.
    ///
    /// # Errors
    /// The store cannot be opened.
    pub fn open(
        path: &Path,
        durability: Durability,
        retention: Retention,
        chance: u64,
    ) -> Result<Journal, JournalError> {
        let builder = Database::builder(path).worker_threads(1).cache_size(CACHE_BYTES);
        let builder = builder.max_journaling_size(MAX_LOG_BYTES).max_cached_files(Some(MAX_OPEN_TABLES));
        let database = builder.open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let records = database.keyspace("records", options)?;
        let order = database.keyspace("order", options)?;
        let meta = database.keyspace("meta", options)?;
        let mut journal = Journal {
            name: read_or_create_name(&meta, chance)?,
            next_serial: read_number(&meta, NEXT_KEY)?,
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

    /// Where the journal stands: what a client is told when its connection begins.
    pub fn origin(&self) -> Origin {
        Origin { journal: self.name.clone(), serial: self.next_serial }
    }

    fn reserve_serials(&mut self) -> Result<(), JournalError> {
        let reserved = self.next_serial + SERIAL_BLOCK;
        let mut writes = self.database.batch();
        writes.insert(&self.meta, NEXT_KEY, reserved.to_be_bytes().as_slice());
        writes.commit()?;
        self.database.persist(PersistMode::SyncAll)?;
        Ok(())
    }

    /// Applies a batch in its order, and answers once all of it has come as far as it must.
    ///
    /// # Errors
    /// The store fails. Nothing is answered then: what waits for it must not be sent.
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
            operations.iter().map(|operation| self.apply_one(&mut batch, operation)).collect();
        let replies = replies?;
        self.commit(batch)?;
        self.drop_expired(wall_ms)?;
        Ok(replies)
    }

    fn apply_one(&self, batch: &mut Batch, operation: &Operation) -> Result<Reply, JournalError> {
        match operation {
            Operation::Record { id, event, deduplication } => {
                let permission = self.record(batch, id, *event, *deduplication)?;
                Ok(Reply::Permission(permission))
            }
            Operation::QueryFate { id, origin, request_open } => {
                let state = self.find(id, batch)?.map(|record| record.state);
                let covered = origin.as_ref().is_some_and(|origin| self.covers(origin));
                let decision = fate(Evidence { state, covered, request_open: *request_open });
                if decision.must_bar {
                    self.record(batch, id, RecordEvent::Bar, None)?;
                }
                Ok(Reply::Fate(decision.fate))
            }
        }
    }

    /// Whether no record made since a connection with this origin began was dropped.
    fn covers(&self, origin: &Origin) -> bool {
        origin.journal == self.name && origin.serial >= self.oldest_serial
    }

    fn find(&self, id: &str, batch: &Batch) -> Result<Option<Record>, JournalError> {
        match batch.changed.get(id) {
            Some(record) => Ok(Some(*record)),
            None => self.read(id),
        }
    }

    fn read(&self, id: &str) -> Result<Option<Record>, JournalError> {
        Ok(self.records.get(id)?.map(|bytes| Record::decode(&bytes)))
    }

    fn record(
        &self,
        batch: &mut Batch,
        id: &str,
        event: RecordEvent,
        deduplication: Option<Deduplication>,
    ) -> Result<SendPermission, JournalError> {
        let before = self.find(id, batch)?;
        let event = rejoin(before, event, deduplication, batch.clock.uptime);
        let state_before = before.map(|record| record.state);
        let transition = next(state_before, event);
        if let Some(state) = transition.state.filter(|state| state_before != Some(*state)) {
            self.write(batch, id, before, state, deduplication);
        }
        Ok(transition.permission)
    }

    /// The time of the first attempt that may have run stays: windows count from there. A record of a write that did not
    /// run begins anew, with its place in the order: at the old one it would be dropped unnoticed by those who sent it
    /// later.
    fn write(
        &self,
        batch: &mut Batch,
        id: &str,
        before: Option<Record>,
        state: RecordState,
        deduplication: Option<Deduplication>,
    ) {
        let record = match before.filter(|record| record.state != RecordState::NotExecuted) {
            Some(first) => Record { state, ..first },
            None => {
                let serial = batch.next_serial;
                batch.next_serial += 1;
                batch.count += 1;
                batch.writes.insert(&self.order, serial.to_be_bytes().as_slice(), id.as_bytes());
                let keyed = deduplication.zip(batch.clock.uptime);
                let keyed = keyed.map(|(deduplication, first_sent)| KeyedSend { deduplication, first_sent });
                Record { serial, state, first_sent_ms: batch.clock.wall_ms, keyed }
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

    /// When a write was first about to be sent, in Unix milliseconds, if it is recorded.
    ///
    /// # Errors
    /// The store fails.
    pub fn first_sent_ms(&self, id: &str) -> Result<Option<i64>, JournalError> {
        Ok(self.read(id)?.map(|record| record.first_sent_ms))
    }

    /// Drops what is beyond the retention, a few records at a time and always the earliest. The floor rises in the same
    /// batch: what was dropped is never taken for what never was.
    fn drop_expired(&mut self, wall_ms: i64) -> Result<(), JournalError> {
        let mut writes = self.database.batch();
        let (mut oldest_serial, mut count) = (self.oldest_serial, self.count);
        for entry in self.order.iter().take(MAX_DROPPED_PER_BATCH) {
            let (serial, id) = entry.into_inner()?;
            let Some(serial) = number(&serial) else { continue };
            // An entry that its record has left for a later one is of no use.
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

/// A request that starts with the idempotency key of a recorded one is its duplicate while those are dropped.
fn rejoin(
    before: Option<Record>,
    event: RecordEvent,
    deduplication: Option<Deduplication>,
    uptime: Option<Uptime>,
) -> RecordEvent {
    let keyed = before.and_then(|record| record.keyed);
    let passed_ms = uptime.zip(keyed).and_then(|(uptime, keyed)| uptime.since(keyed.first_sent));
    let recorded = keyed.map(|keyed| keyed.deduplication);
    match remaining_window_ms(recorded, deduplication, passed_ms) {
        Some(remaining_ms) if event == RecordEvent::Starting => RecordEvent::Rejoining { remaining_ms },
        _ => event,
    }
}

fn read_or_create_name(meta: &Keyspace, chance: u64) -> Result<String, JournalError> {
    if let Some(name) = meta.get(NAME_KEY)? {
        return Ok(String::from_utf8_lossy(&name).into_owned());
    }
    let name = format!("{chance:016x}");
    meta.insert(NAME_KEY, name.as_bytes())?;
    Ok(name)
}

fn read_number(meta: &Keyspace, key: &str) -> Result<u64, JournalError> {
    Ok(meta.get(key)?.and_then(|bytes| number(&bytes)).unwrap_or(0))
}

fn number(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}
