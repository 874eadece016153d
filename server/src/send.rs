//! Call-outs and probes: one coroutine each, from the connection it takes to the outcome it reports.

use crate::bell::Bell;
use crate::clock::Alarms;
use crate::news::{CallOut, End, Heard, News};
use crate::pg;
use crate::pool::{NoWire, Pool};
use crate::relay::{report, Reply};
use crate::tally::Tally;
use crate::tasks::spawn;
use crate::wire::{Stop, Wire};
use crate::writes::{Filed, Writes};
use may::sync::mpsc::{channel, Sender};
use routing::iface::{Outcome, Role, StoreIx, Told};
use routing::time::{Moment, Span};
use sessions::epochs::Epoch;
use std::net::SocketAddr;
use std::sync::Arc;

/// Ends a call-out exactly once: one that is dropped by a panic may have run.
struct Pending {
    owner: Sender<News>,
    end: Option<End>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let _ = self.owner.send(News::Ended(end));
        }
    }
}

pub fn call_out(pool: &Pool, writes: Option<&Writes>, owner: Sender<News>, job: CallOut) {
    let CallOut { rpc, number, store, sent, .. } = job;
    let end = End { outcome: Outcome::Broken, ..End::moot(rpc, number, store, sent) };
    let mut pending = Pending { owner, end: Some(end) };
    let sent = attempt(pool, writes, &pending.owner, &job);
    if let Some(end) = &mut pending.end {
        (end.outcome, end.value) = (sent.outcome, sent.value);
        (end.note, end.report, end.epoch) = (sent.note, sent.report, sent.epoch);
        end.word = sent.word;
    }
    drop(pending);
    if let Some(wire) = sent.free {
        pool.release(job.addr, wire);
    }
}

/// What came of one sending, and the connection where it may be used again.
struct Sent {
    outcome: Outcome,
    value: Vec<u8>,
    note: Told,
    report: Told,
    epoch: Option<Epoch>,
    free: Option<Wire>,
    word: Option<Filed>,
}

impl Sent {
    fn unsent(outcome: Outcome) -> Sent {
        let (note, report) = Default::default();
        let (epoch, free, word) = Default::default();
        Sent { outcome, value: Vec::new(), note, report, epoch, free, word }
    }
}

fn attempt(pool: &Pool, writes: Option<&Writes>, owner: &Sender<News>, job: &CallOut) -> Sent {
    let mut word = None;
    let sent = leave(pool, writes, owner, job, &mut word);
    Sent { word, ..sent }
}

fn leave(
    pool: &Pool,
    writes: Option<&Writes>,
    owner: &Sender<News>,
    job: &CallOut,
    word: &mut Option<Filed>,
) -> Sent {
    let CallOut { addr, by, bell, query, .. } = job;
    loop {
        let reused = pool.reuse(addr, *by, bell);
        let again = reused.is_some();
        let mut wire = match reused.map_or_else(|| pool.open(addr, *by, bell), Ok) {
            Ok(wire) => wire,
            Err(why) => return Sent::unsent(why.outcome),
        };
        wire.listen_to(*by, bell);
        if job.follows && !wire.vouched {
            wire = match first_the_epoch(wire, owner, job) {
                Ok(wire) => wire,
                // A connection from before may have ended meanwhile, and nothing of this has left.
                Err(Stop::Broken) if again => continue,
                Err(Stop::Broken) => return Sent::unsent(Outcome::Unreachable),
                Err(Stop::Late | Stop::Rung) => return Sent::unsent(Outcome::Moot),
            };
        }
        // On record first: the word that it may leave must be the last before it does.
        if let (Some(entry), Some(writes), None) = (&job.entry, writes, *word) {
            *word = Some(writes.may_leave(entry));
            if matches!(word, Some(Filed::Barred | Filed::Failed)) {
                pool.keep(*addr, wire);
                return Sent::unsent(Outcome::Moot);
            }
        }
        // Connecting took its time: what held when this was decided may hold no more.
        if !confirmed(owner, job) {
            pool.keep(*addr, wire);
            return Sent::unsent(Outcome::Moot);
        }
        // What has come by now is no answer to this: nothing of it has left. Read with the answer it would pass
        // for a part of it, or for all.
        if !wire.is_quiet() {
            drop(wire);
            if again {
                continue;
            }
            return Sent::unsent(Outcome::Unreachable);
        }
        let patience = ((*by - pool.alarms.now()).0 / 1_000_000).max(1).to_string();
        let (head, tail) = (&query.body[..query.patience.start], &query.body[query.patience.end..]);
        let length = (4 + head.len() + patience.len() + tail.len()) as u32;
        let parts: [&[u8]; 5] = [b"Q", &length.to_be_bytes(), head, patience.as_bytes(), tail];
        match wire.write(&parts, *by, bell) {
            Ok(()) => return answer(wire, *by, bell),
            // Closed by the store while it was idle here: nothing of this has run.
            Err(Stop::Broken) if again => {}
            Err(Stop::Broken) => return Sent::unsent(Outcome::Unreachable),
            Err(Stop::Late | Stop::Rung) => return Sent::unsent(Outcome::Moot),
        }
    }
}

/// Has the store tell of its epoch, for the owner to judge before the call-out leaves; the connection, where
/// it still can be used. A store that tells none is gone on with: a loss can't be seen there.
fn first_the_epoch(mut wire: Wire, owner: &Sender<News>, job: &CallOut) -> Result<Wire, Stop> {
    let mut query = Vec::new();
    pg::query(&mut query, HEALTH);
    wire.write(&[&query], job.by, &job.bell)?;
    let sent = answer(wire, job.by, &job.bell);
    if let Some(epoch) = sent.epoch {
        let _ = owner.send(News::Epoch { rpc: job.rpc, epoch });
    }
    sent.free.ok_or(match sent.outcome {
        Outcome::TimedOut => Stop::Late,
        Outcome::Withdrawn => Stop::Rung,
        _ => Stop::Broken,
    })
}

fn confirmed(owner: &Sender<News>, job: &CallOut) -> bool {
    let (reply, answer) = channel();
    let asked = owner.send(News::Confirm { rpc: job.rpc, call_out: job.number, store: job.store, reply });
    asked.is_ok() && answer.recv().unwrap_or(false)
}

/// Reads what comes back for what was written whole. Only an answer read to its end, with nothing behind it,
/// gives the connection back: late bytes would reach another RPC.
fn answer(mut wire: Wire, by: Moment, bell: &Bell) -> Sent {
    let mut reply = Reply::default();
    let outcome = loop {
        if let Some(outcome) = reply.read(&wire.buffer) {
            break outcome;
        }
        if let Err(stop) = wire.read(by, bell) {
            break reply.outcome(cut_by(stop));
        }
    };
    let frees = reply.frees(&wire.buffer);
    let buffer = wire.take_buffer();
    let value = if outcome == Outcome::Ok { reply.value(buffer) } else { Vec::new() };
    let (note, report) = reply.told();
    wire.vouched |= note.role == Some(Role::Primary) && reply.told_epoch().is_some();
    Sent {
        value,
        note,
        report,
        epoch: reply.told_epoch(),
        free: frees.then_some(wire),
        ..Sent::unsent(outcome)
    }
}

/// It was written whole, so it may have run.
fn cut_by(stop: Stop) -> Outcome {
    match stop {
        Stop::Broken => Outcome::Broken,
        Stop::Late => Outcome::TimedOut,
        Stop::Rung => Outcome::Withdrawn,
    }
}

/// Asks a store for its report. It shares the call-outs' connections.
pub fn probe(pool: &Pool, owner: Sender<News>, store: StoreIx, addr: SocketAddr, within: Span) {
    let mut sounding =
        Sounding { owner, store, told: Told::default(), outcome: Outcome::Broken, elapsed: within };
    let sent = pool.alarms.now();
    (sounding.outcome, sounding.told) =
        health(pool, addr, sent + within).unwrap_or_else(|why| (why.outcome, Told::default()));
    sounding.elapsed = pool.alarms.now() - sent;
}

/// Ends a probe exactly once: a store whose probe never ended would not be probed again.
struct Sounding {
    owner: Sender<News>,
    store: StoreIx,
    outcome: Outcome,
    elapsed: Span,
    told: Told,
}

impl Drop for Sounding {
    fn drop(&mut self) {
        let Sounding { store, outcome, elapsed, told: report, .. } = *self;
        let _ = self.owner.send(News::Probed { store, outcome, elapsed, report });
    }
}

/// Asks one statement, on a connection at hand or a new one; its one column.
fn sound(
    pool: &Pool,
    addr: SocketAddr,
    words: &str,
    by: Moment,
    bell: &Bell,
) -> Result<(Outcome, Vec<u8>), NoWire> {
    loop {
        let reused = pool.reuse(&addr, by, bell);
        let again = reused.is_some();
        let mut wire = reused.map_or_else(|| pool.open(&addr, by, bell), Ok)?;
        wire.listen_to(by, bell);
        let mut query = Vec::new();
        pg::query(&mut query, words);
        match wire.write(&[&query], by, bell) {
            Ok(()) => {}
            Err(Stop::Broken) if again => continue,
            Err(_) => return Err(Outcome::Unreachable.into()),
        }
        let sent = answer(wire, by, bell);
        if let Some(wire) = sent.free {
            pool.release(addr, wire);
        }
        return Ok((sent.outcome, pg::only_row(&sent.value).unwrap_or_default().to_vec()));
    }
}

/// What asks for the report.
const HEALTH: &str = "SHOW health";

/// Asks for the report.
fn health(pool: &Pool, addr: SocketAddr, by: Moment) -> Result<(Outcome, Told), NoWire> {
    let (outcome, column) = sound(pool, addr, HEALTH, by, &Bell::default())?;
    Ok((outcome, std::str::from_utf8(&column).map(report).unwrap_or_default()))
}

/// Who the store is and how often its log was taken over, by PostgreSQL's own functions.
const WHO: &str =
    "SELECT concat_ws(',', current_setting('cluster_name'), timeline_id) FROM pg_control_checkpoint()";

/// Asks a store what recovery wants to know of it.
pub fn ask(pool: &Pool, owner: Sender<News>, store: StoreIx, addr: SocketAddr, within: Span, who: bool) {
    let asked = pool.alarms.now();
    let mut asking = Asking { owner, store, asked, answer: Err(NoWire::from(Outcome::Broken)) };
    let by = asked + within;
    let name = if who { sound(pool, addr, WHO, by, &Bell::default()).map(Some) } else { Ok(None) };
    asking.answer = name.and_then(|name| {
        let (outcome, told) = health(pool, addr, by)?;
        // What can't be read is no name, and so nobody's.
        let name = name.map(|(_, column)| String::from_utf8(column).unwrap_or_default());
        Ok(Heard { outcome, told, name })
    });
}

/// Ends a question exactly once, however the coroutine ends.
struct Asking {
    owner: Sender<News>,
    store: StoreIx,
    asked: Moment,
    answer: Result<Heard, NoWire>,
}

impl Drop for Asking {
    fn drop(&mut self) {
        let answer = std::mem::replace(&mut self.answer, Err(NoWire::from(Outcome::Broken)));
        let _ = self.owner.send(News::Asked { store: self.store, asked: self.asked, answer });
    }
}

/// What starts call-outs and probes.
#[derive(Clone)]
pub struct Outlet {
    pub pool: Arc<Pool>,
    pub owner: Sender<News>,
    pub probe_within: Span,
    pub writes: Option<Arc<Writes>>,
    pub tally: Arc<Tally>,
}

impl Outlet {
    pub fn alarms(&self) -> &Arc<Alarms> {
        &self.pool.alarms
    }

    pub fn send(&self, job: CallOut) {
        let Outlet { pool, owner, writes, .. } = self.clone();
        spawn(move || call_out(&pool, writes.as_deref(), owner, job));
    }

    pub fn probe(&self, store: StoreIx, addr: SocketAddr) {
        let Outlet { pool, owner, probe_within, .. } = self.clone();
        spawn(move || probe(&pool, owner, store, addr, probe_within));
    }

    pub fn ask(&self, store: StoreIx, addr: SocketAddr, who: bool) {
        let Outlet { pool, owner, probe_within, .. } = self.clone();
        spawn(move || ask(&pool, owner, store, addr, probe_within, who));
    }
}
