//! One [`Front`] an instance: a router, and the maps between the wire's ids and its indices.

use crate::wire::{self, Availability, How, In, Out, Record, Status};
use host_support::book::Book;
use host_support::doors::Doors;
use host_support::facts::{self, BootInfo};
use routing::choice::Router;
use routing::iface::{Action, Arrival, End, Entry, Event, Need, Outcome, Role, RpcId, Standing, Told};
use routing::time::{Moment, Span};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;

#[derive(Default)]
pub struct Host {
    now: Moment,
    serial: u64,
    in_frame: bool,
    lists: HashMap<usize, Vec<Record>>,
    fronts: BTreeMap<u32, Front>,
    replies: Vec<u8>,
}

/// What the book keeps of an RPC: its name, and where it is a write, its session.
struct Entered {
    id: String,
    wrote: Option<u64>,
}

struct Front {
    number: u32,
    router: Router,
    zero: Moment,
    report: Vec<String>,
    stores: Doors<String>,
    groups: Doors<i64>,
    rpcs: HashMap<String, RpcId>,
    book: Book<Entered>,
    /// Methods whose RPCs write.
    writes: Vec<bool>,
    next_rpc: RpcId,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; true where it closed a batch and the reply stands in `output`.
    pub fn take(&mut self, line: &[u8], output: &mut impl Write) -> Result<bool, String> {
        let message: In = serde_json::from_slice(line).map_err(|why| fault(line, &why))?;
        match message {
            In::Frame { now_ns, serial } => {
                if self.in_frame {
                    return Err("Frame: the batch before it was not closed".into());
                }
                (self.now, self.serial, self.in_frame) = (Moment(now_ns), serial, true);
                return Ok(false);
            }
            _ if !self.in_frame => return Err("a message outside any batch".into()),
            In::Go {} => {
                self.in_frame = false;
                put(&mut self.replies, &Out::Yield { serial: self.serial });
                output.write_all(&self.replies).map_err(|why| why.to_string())?;
                self.replies.clear();
                return Ok(true);
            }
            In::DefineList { page, records } => {
                self.lists.insert(page, records);
            }
            In::Start { front, rng_seed, boot_info } => {
                let started = Front::start(front, rng_seed, &boot_info, self.now)?;
                self.fronts.insert(front, started);
                self.settle(front);
            }
            In::Detach { front } => {
                self.fronts.remove(&front);
            }
            In::Discovery { front, how, page } => {
                let records = match how {
                    How::Error => &[][..],
                    _ => match self.lists.get(&page) {
                        Some(records) => records,
                        None => return Err(format!("Discovery: page: no list {page} was defined")),
                    },
                };
                let Some(host) = self.fronts.get_mut(&front) else { return Ok(false) };
                let event = match how {
                    How::Error => Event::ListFailed,
                    _ => Event::List { whole: how != How::Partial, entries: host.entries(records) },
                };
                self.tell(front, event);
            }
            In::Inbound(new) => self.arrive(new)?,
            In::Flowing { front, request_id } => {
                if let Some(rpc) = self.rpc(front, &request_id) {
                    self.tell(front, Event::Streaming { rpc });
                }
            }
            In::AttemptEnd(end) => self.end(end),
            In::Gone { front, request_id } => {
                if let Some(rpc) = self.rpc(front, &request_id) {
                    self.tell(front, Event::Gone { rpc });
                    if let Some(host) = self.fronts.get_mut(&front) {
                        host.close(rpc);
                    }
                }
            }
            In::Fired { front, nonce } => self.tell(front, Event::Timer { tag: nonce }),
            In::ProbeResult { front, store, status, wait_time_ns, pressure } => {
                let Some(host) = self.fronts.get(&front) else { return Ok(false) };
                let Some(store) = host.stores.find(&*store) else { return Ok(false) };
                let report = host.report(pressure.as_deref());
                let (outcome, elapsed) = (outcome(status), Span(wait_time_ns));
                self.tell(front, Event::Probed { store, outcome, elapsed, report });
            }
            In::Inbox { front, src, bytes } => {
                let bytes = unhex(&bytes).ok_or("Inbox: bytes: not hex digits")?;
                self.tell(front, Event::Peer { from: src, bytes });
            }
        }
        Ok(false)
    }

    fn rpc(&self, front: u32, id: &str) -> Option<RpcId> {
        self.fronts.get(&front)?.rpcs.get(id).copied()
    }

    fn arrive(&mut self, new: wire::Inbound) -> Result<(), String> {
        let Some(host) = self.fronts.get_mut(&new.front) else { return Ok(()) };
        let session = match &new.conn_key {
            Some(key) => {
                Some(u64::from_str_radix(key, 16).map_err(|_| format!("Inbound: connKey: {key} is no key"))?)
            }
            None => None,
        };
        let rpc = host.next_rpc;
        host.next_rpc += 1;
        host.rpcs.insert(new.request_id.to_string(), rpc);
        let wrote = session.filter(|_| host.writes.get(new.profile) == Some(&true));
        host.book.enter(rpc, Entered { id: new.request_id.into_owned(), wrote });
        let last_write = (new.last_write_ms > 0.0).then_some(Span((new.last_write_ms * 1e6) as i64));
        let event = Event::Arrived(Arrival {
            rpc,
            method: new.profile,
            group: host.groups.enter(new.db_no),
            session,
            last_write,
            seen: None,
            came: self.now,
            deadline: Moment(new.drop_dead_ns),
            repeat: new.repeat,
        });
        self.tell(new.front, event);
        Ok(())
    }

    fn end(&mut self, end: wire::AttemptEnd) {
        let Some(host) = self.fronts.get_mut(&end.front) else { return };
        let Some(&rpc) = host.rpcs.get(&*end.request_id) else { return };
        let Some(store) = host.stores.find(&*end.store) else { return };
        let note = Told {
            position: (end.progress >= 4).then(|| host.zero + Span::millis(end.progress / 4)),
            role: match end.progress % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            load: None,
        };
        let event = Event::Ended(End {
            rpc,
            call_out: end.hop,
            store,
            outcome: outcome(end.status),
            elapsed: Span(end.wait_time_ns),
            closed: end.done_flag,
            wrote: host.book.get(rpc).and_then(|entered| entered.wrote),
            note,
            report: host.report(end.pressure.as_deref()),
        });
        self.tell(end.front, event);
        if let Some(host) = self.fronts.get_mut(&end.front) {
            let gone = host.book.returned(rpc, end.done_flag);
            host.forget(gone);
        }
    }

    fn tell(&mut self, front: u32, event: Event) {
        if let Some(host) = self.fronts.get_mut(&front) {
            host.router.handle(self.now, event, &mut host.actions);
            self.settle(front);
        }
    }

    /// Writes what a front's router asks for.
    fn settle(&mut self, front: u32) {
        if let Some(host) = self.fronts.get_mut(&front) {
            for action in std::mem::take(&mut host.actions) {
                host.write(&action, &mut self.replies);
            }
        }
    }
}

impl Front {
    fn start(number: u32, seed: u64, boot: &BootInfo, now: Moment) -> Result<Front, String> {
        let facts = facts::facts(boot).map_err(|why| format!("Start: {why}"))?;
        let mut actions = Vec::new();
        let router = Router::new(seed, &facts, now, &mut actions);
        Ok(Front {
            number,
            router,
            zero: Moment(boot.family_info.counted_from_ns),
            report: boot.report.names.clone(),
            stores: Doors::default(),
            groups: Doors::default(),
            rpcs: HashMap::new(),
            book: Book::default(),
            writes: facts.methods.iter().map(|method| method.need == Need::Write).collect(),
            next_rpc: 0,
            actions,
        })
    }

    fn entries(&mut self, records: &[Record]) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(records.len());
        for record in records {
            entries.push(Entry {
                store: self.stores.enter(record.store.clone()),
                group: self.groups.enter(record.set),
                zone: record.failure_domain,
                standing: match record.availability {
                    Availability::Healthy => Standing::Open,
                    Availability::Cordoned => Standing::Draining,
                    Availability::Deregistered => Standing::Gone,
                },
                primary: record.is_primary == 1.0,
                started: (record.launched_ns > 0).then_some(Moment(record.launched_ns)),
                presumed: false,
            });
        }
        entries
    }

    fn report(&self, row: Option<&[Option<f64>]>) -> Told {
        let mut told = Told::default();
        for (name, value) in self.report.iter().zip(row.unwrap_or_default()) {
            match (name.as_str(), value) {
                ("x0", Some(secs)) => told.position = Some(self.zero + Span((secs * 1e9).floor() as i64)),
                ("load_share", Some(share)) => told.load = Some(*share),
                ("x1", Some(role)) => {
                    told.role = Some(if *role == 1.0 { Role::Primary } else { Role::Replica });
                }
                _ => {}
            }
        }
        told
    }

    fn close(&mut self, rpc: RpcId) {
        let gone = self.book.close(rpc);
        self.forget(gone);
    }

    fn forget(&mut self, entered: Option<Entered>) {
        if let Some(Entered { id, .. }) = entered {
            self.rpcs.remove(&id);
        }
    }

    fn write(&mut self, action: &Action, replies: &mut Vec<u8>) {
        let front = self.number;
        let id = |rpc: &RpcId| self.book.get(*rpc).map(|entered| &*entered.id);
        let written = match action {
            Action::Send { rpc, store, time_out } => id(rpc).map(|request_id| Out::Forward {
                front,
                request_id,
                store: self.stores.name(*store),
                limit_ns: time_out.0,
            }),
            Action::PushBack { rpc, come_back } => id(rpc).map(|request_id| Out::Shed {
                front,
                request_id,
                come_back_ns: come_back.map_or(0, |wait| wait.0),
            }),
            Action::Abort { rpc } => id(rpc).map(|request_id| Out::RespondError { front, request_id }),
            Action::Withdraw { rpc, call_out } => {
                id(rpc).map(|request_id| Out::Withdraw { front, request_id, hop: *call_out })
            }
            Action::Remind { tag, at } => Some(Out::Remind { front, nonce: *tag, time_ns: at.0 }),
            Action::Probe { store } => Some(Out::SoundOut { front, store: self.stores.name(*store) }),
            Action::Watch => Some(Out::Watch { front, enable: true }),
            Action::FetchList => Some(Out::ListAll { front }),
            Action::Remark(message) => Some(Out::Remark { front, message }),
        };
        if let Some(line) = written {
            put(replies, &line);
        }
        match action {
            Action::Send { rpc, .. } => {
                self.book.sent(*rpc);
            }
            Action::PushBack { rpc, .. } | Action::Abort { rpc } => self.close(*rpc),
            _ => {}
        }
    }
}

/// Reads a faulty line once more, for the way to the field at fault.
fn fault(line: &[u8], why: &serde_json::Error) -> String {
    let again = serde_path_to_error::deserialize::<_, In>(&mut serde_json::Deserializer::from_slice(line));
    again.err().map_or_else(|| why.to_string(), |why| why.to_string())
}

fn put(replies: &mut Vec<u8>, line: &Out) {
    serde_json::to_writer(&mut *replies, line).expect("plain values always serialise");
    replies.push(b'\n');
}

fn outcome(status: Status) -> Outcome {
    match status {
        Status::Ok => Outcome::Ok,
        Status::Internal => Outcome::Errored,
        Status::ResourceExhausted => Outcome::Full,
        Status::DeadlineExceeded => Outcome::TimedOut,
        Status::Unavailable => Outcome::Unreachable,
        Status::Aborted => Outcome::Broken,
        Status::Cancelled => Outcome::Withdrawn,
        Status::TooLate => Outcome::Moot,
        Status::NotFound => Outcome::Lagged,
    }
}

fn unhex(digits: &str) -> Option<Vec<u8>> {
    let digits = digits.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let pair = |two: &[u8]| u8::from_str_radix(std::str::from_utf8(two).ok()?, 16).ok();
    digits.chunks(2).map(pair).collect()
}
