//! The records on disk, by the write's id, and in the order in which they were made. One thread owns it; many
//! inputs go in one batch, and one sync answers for them all.

use crate::fate::{fate, next, still_dropped, Fate, Input, Known, Leave, Origin, State, Token, Uptime};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::collections::HashMap;
use std::fmt;
use std::path::Path;

/// How far a record must have come before what waits for it goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sync {
    /// With the operating system: survives the process, not the machine.
    System,
    /// On the disk.
    #[default]
    Disk,
}

/// So many go in one batch at most: those in front would wait long for those behind.
pub const MOST_AT_ONCE: usize = 512;

/// Descriptors that it may hold at the most: its files and those of tables that are kept open.
pub const DESCRIPTORS: usize = 48;
const TABLES_OPEN: usize = 24;

/// How much is kept.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub most: u64,
    /// In milliseconds of the clock that `apply` is given.
    pub age_ms: i64,
}

#[derive(Clone, Debug)]
pub enum Op {
    /// With the token, where the write has one.
    Record {
        id: String,
        input: Input,
        token: Option<Token>,
    },
    Ask {
        id: String,
        origin: Option<Origin>,
        alive: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Leave(Leave),
    Fate(Fate),
}

#[derive(Debug)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<fjall::Error> for Fault {
    fn from(why: fjall::Error) -> Fault {
        Fault(format!("{why:?}"))
    }
}

/// What the clocks say as a batch is worked off.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    pub wall_ms: i64,
    /// None: it can't be told here, and no token is sent again.
    pub up: Option<Uptime>,
}

impl From<i64> for Now {
    fn from(wall_ms: i64) -> Now {
        Now { wall_ms, up: None }
    }
}

pub struct Journal {
    db: Database,
    /// id to serial, state and time.
    records: Keyspace,
    /// Serial to id.
    order: Keyspace,
    meta: Keyspace,
    name: String,
    next: u64,
    /// Of all records made from this one on none has been dropped.
    floor: u64,
    /// Places in the order. Serials have gaps, from one life to the next.
    count: u64,
    sync: Sync,
    bounds: Bounds,
}

#[derive(Clone, Copy)]
struct Record {
    serial: u64,
    state: State,
    at_ms: i64,
    /// Its token, and when it was first about to leave.
    token: Option<(Token, Uptime)>,
}

const NAME: &str = "name";
const FLOOR: &str = "floor";
const NEXT: &str = "next";
const COUNT: &str = "count";
/// Serials are set aside in blocks, so that one that was handed out is never handed out again.
const BLOCK: u64 = 1 << 16;

impl Record {
    fn bytes(&self) -> Vec<u8> {
        let (kind, commit) = match self.state {
            State::Open => (0, 0),
            State::Ran(None) => (1, 0),
            State::Ran(Some(commit)) => (2, commit),
            State::Never => (3, 0),
            State::Free => (4, 0),
        };
        let mut bytes = vec![kind];
        bytes.extend(self.serial.to_be_bytes());
        bytes.extend(self.at_ms.to_be_bytes());
        bytes.extend(commit.to_be_bytes());
        if let Some((Token { scope, memory_ms }, Uptime { boot, ms })) = self.token {
            bytes.push(u8::from(scope.is_some()));
            for number in [scope.unwrap_or(0), memory_ms, boot as i64, ms] {
                bytes.extend(number.to_be_bytes());
            }
        }
        bytes
    }

    /// What can't be read is a record all the same: the write may have run.
    fn read(bytes: &[u8]) -> Record {
        let number =
            |at: usize| bytes.get(at..at + 8).and_then(|part| part.try_into().ok()).map(i64::from_be_bytes);
        let (serial, at_ms, commit) = (number(1), number(9), number(17));
        let state = match (bytes.first(), commit) {
            (Some(1), Some(_)) => State::Ran(None),
            (Some(2), Some(commit)) => State::Ran(Some(commit)),
            (Some(3), Some(_)) => State::Never,
            (Some(4), Some(_)) => State::Free,
            _ => State::Open,
        };
        // A record without, or with half a token: it is sent again by nobody.
        let token = || {
            let scope = number(26).filter(|_| bytes[25] != 0);
            let token = Token { scope, memory_ms: number(34)? };
            Some((token, Uptime { boot: number(42)? as u64, ms: number(50)? }))
        };
        Record { serial: serial.unwrap_or(0) as u64, state, at_ms: at_ms.unwrap_or(0), token: token() }
    }
}

fn number(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}

impl Journal {
    /// Opens or begins one. `chance` names a new one: a journal that was lost and begun anew must not pass
    /// for the old.
    pub fn open(path: &Path, sync: Sync, bounds: Bounds, chance: u64) -> Result<Journal, Fault> {
        let builder = Database::builder(path).worker_threads(1).cache_size(1 << 20);
        let builder = builder.max_journaling_size(64 << 20).max_cached_files(Some(TABLES_OPEN));
        let db = builder.open()?;
        let keyspace =
            |name: &str| db.keyspace(name, || KeyspaceCreateOptions::default().max_memtable_size(2 << 20));
        let (records, order, meta) = (keyspace("records")?, keyspace("order")?, keyspace("meta")?);
        let name = match meta.get(NAME)? {
            Some(name) => String::from_utf8_lossy(&name).into_owned(),
            None => {
                let name = format!("{chance:016x}");
                meta.insert(NAME, name.as_bytes())?;
                name
            }
        };
        let kept = |key: &str| -> Result<u64, Fault> {
            Ok(meta.get(key)?.and_then(|word| number(&word)).unwrap_or(0))
        };
        let (floor, next, count) = (kept(FLOOR)?, kept(NEXT)?, kept(COUNT)?);
        let mut journal = Journal { db, records, order, meta, name, next, floor, count, sync, bounds };
        journal.set_aside()?;
        Ok(journal)
    }

    /// Where the journal stands: what a client is told at the start of a connection.
    pub fn origin(&self) -> Origin {
        Origin { journal: self.name.clone(), serial: self.next }
    }

    fn set_aside(&mut self) -> Result<(), Fault> {
        let mut batch = self.db.batch();
        batch.insert(&self.meta, NEXT, (self.next + BLOCK).to_be_bytes().as_slice());
        batch.commit()?;
        self.db.persist(PersistMode::SyncAll)?;
        Ok(())
    }

    fn find(&self, id: &str, fresh: &HashMap<String, Record>) -> Result<Option<Record>, Fault> {
        if let Some(record) = fresh.get(id) {
            return Ok(Some(*record));
        }
        Ok(self.records.get(id)?.map(|bytes| Record::read(&bytes)))
    }

    /// Works off a batch in its order, and answers once all of it has come as far as it must. Where that
    /// fails nothing is answered: what waits must not leave.
    pub fn apply(&mut self, now: impl Into<Now>, ops: &[Op]) -> Result<Vec<Reply>, Fault> {
        let Now { wall_ms: now_ms, up } = now.into();
        let (mut fresh, mut replies) = (HashMap::new(), Vec::with_capacity(ops.len()));
        let mut batch = self.db.batch();
        let (mut next_serial, mut count) = (self.next, self.count);
        for op in ops {
            let (id, input, token, reply) = match op {
                Op::Record { id, input, token } => (id, Some(*input), *token, None),
                Op::Ask { id, origin, alive } => {
                    let state = self.find(id, &fresh)?.map(|record| record.state);
                    let covered = origin
                        .as_ref()
                        .is_some_and(|origin| origin.journal == self.name && origin.serial >= self.floor);
                    let (fate, bar) = fate(Known { state, covered, alive: *alive });
                    (id, bar.then_some(Input::Bar), None, Some(Reply::Fate(fate)))
                }
            };
            let Some(input) = input else {
                replies.extend(reply);
                continue;
            };
            let before = self.find(id, &fresh)?;
            let kept = before.and_then(|record| record.token);
            let passed = up.zip(kept).and_then(|(up, (_, first))| up.since(first));
            let input = match still_dropped(kept.map(|(token, _)| token), token, passed) {
                Some(left_ms) if input == Input::Intend => Input::Rejoin { left_ms },
                _ => input,
            };
            let (state, leave) = next(before.map(|record| record.state), input);
            if let Some(state) = state.filter(|state| before.map(|record| record.state) != Some(*state)) {
                // The time of the first sending that may have run stays: memories count from there. One that is
                // free begins anew, with its place in the order: under the old one it would be dropped unseen
                // by those who sent it later.
                let first = before.filter(|record| record.state != State::Free);
                let serial = first.map_or(next_serial, |record| record.serial);
                if first.is_none() {
                    (next_serial, count) = (next_serial + 1, count + 1);
                    batch.insert(&self.order, serial.to_be_bytes().as_slice(), id.as_bytes());
                }
                let at_ms = first.map_or(now_ms, |record| record.at_ms);
                let token = first.map_or(token.zip(up), |record| record.token);
                let record = Record { serial, state, at_ms, token };
                batch.insert(&self.records, id.as_bytes(), record.bytes());
                fresh.insert(id.clone(), record);
            }
            replies.push(reply.unwrap_or(Reply::Leave(leave)));
        }
        if !fresh.is_empty() {
            batch.insert(&self.meta, COUNT, count.to_be_bytes().as_slice());
            batch.commit()?;
            self.db.persist(match self.sync {
                Sync::System => PersistMode::Buffer,
                Sync::Disk => PersistMode::SyncData,
            })?;
        }
        let (before, after) = (self.next / BLOCK, next_serial / BLOCK);
        (self.next, self.count) = (next_serial, count);
        if before != after {
            self.set_aside()?;
        }
        self.drop_old(now_ms)?;
        Ok(replies)
    }

    /// When a write was first about to leave, where it is on record.
    pub fn first_sent(&self, id: &str) -> Result<Option<i64>, Fault> {
        Ok(self.records.get(id)?.map(|bytes| Record::read(&bytes).at_ms))
    }

    /// Gives back what is beyond the bounds, a few records at a time and always the earliest. The floor goes
    /// up in the same batch: what was dropped is never taken for what never was.
    fn drop_old(&mut self, now_ms: i64) -> Result<(), Fault> {
        let mut batch = self.db.batch();
        let (mut floor, mut count) = (self.floor, self.count);
        for guard in self.order.iter().take(64) {
            let (serial, id) = guard.into_inner()?;
            let Some(serial) = number(&serial) else { continue };
            // A place that its record has left for a later one is of no use.
            let record = self.records.get(&id)?.map(|bytes| Record::read(&bytes));
            let record = record.filter(|record| record.serial == serial);
            let old = record.is_none_or(|record| now_ms - record.at_ms > self.bounds.age_ms);
            if !old && count <= self.bounds.most {
                break;
            }
            batch.remove(&self.order, serial.to_be_bytes().as_slice());
            if record.is_some() {
                batch.remove(&self.records, id);
            }
            (floor, count) = (serial + 1, count.saturating_sub(1));
        }
        if floor != self.floor {
            batch.insert(&self.meta, FLOOR, floor.to_be_bytes().as_slice());
            batch.insert(&self.meta, COUNT, count.to_be_bytes().as_slice());
            batch.commit()?;
            (self.floor, self.count) = (floor, count);
        }
        Ok(())
    }
}
