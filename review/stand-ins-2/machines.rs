//! Database machines: groups with a primary and replicas, each with its log. A machine listens at one address for each
//! router (a door), so that the link to one router can be cut.

use crate::record::{self, unix_ms};
use crate::wire;
use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How far a connected replica is behind its primary, in milliseconds.
const LAG_MS: i64 = 10;
/// The time that a statement takes.
const WORK: Duration = Duration::from_millis(3);

#[derive(Clone, Debug)]
pub struct LogEntry {
    pub commit_ms: i64,
    pub key: String,
    pub value: String,
}

pub struct Machine {
    pub name: String,
    pub group: i64,
    pub is_primary: bool,
    /// The log that the machine has, by its index among all logs.
    pub log: usize,
    /// The epoch, and the position at which it began.
    pub epoch: (u32, Option<i64>),
    /// The position of a replica that gets no log; `None` while it gets the log.
    pub frozen_at: Option<i64>,
    /// How long a write takes, beyond the usual.
    pub write_delay: Duration,
    /// After the answer to a load report is whole, the same answer is sent again this much later.
    pub repeats_report_after: Option<Duration>,
    pub doors: Vec<SocketAddr>,
    /// The writes that this machine has run, by id.
    pub ran: Vec<String>,
    connections: Vec<TcpStream>,
}

#[derive(Default)]
pub struct World {
    pub machines: Vec<Machine>,
    pub logs: Vec<Vec<LogEntry>>,
    /// The cut links: machine and door.
    pub cut: HashSet<(usize, usize)>,
}

#[derive(Clone, Default)]
pub struct Machines(Arc<Mutex<World>>);

impl World {
    pub fn position(&self, index: usize) -> i64 {
        let machine = &self.machines[index];
        match machine.frozen_at {
            _ if machine.is_primary => unix_ms(),
            Some(position) => position,
            None => unix_ms() - LAG_MS,
        }
    }

    /// The entries that a machine has applied.
    pub fn applied(&self, index: usize) -> impl Iterator<Item = &LogEntry> {
        let (position, is_primary) = (self.position(index), self.machines[index].is_primary);
        let log = &self.logs[self.machines[index].log];
        log.iter().filter(move |entry| is_primary || entry.commit_ms <= position)
    }

    fn append_status(&self, index: usize, lsn_ms: i64, out: &mut Vec<u8>) {
        let machine = &self.machines[index];
        wire::parameter(out, "recovery", if machine.is_primary { "off" } else { "on" });
        wire::parameter(out, "lsn_ms", &lsn_ms.to_string());
        let (number, start) = machine.epoch;
        let start = start.map_or(String::new(), |start| format!("@{start}"));
        wire::parameter(out, "epoch", &format!("{number}{start}"));
    }
}

impl Machines {
    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a group whose first machine is the primary. Returns the indices of its machines.
    pub fn add_group(&self, group: i64, names: &[&str], doors: usize) -> Vec<usize> {
        let log = {
            let mut world = self.lock();
            world.logs.push(Vec::new());
            world.logs.len() - 1
        };
        names.iter().enumerate().map(|(place, name)| self.add(name, group, place == 0, log, doors)).collect()
    }

    fn add(&self, name: &str, group: i64, is_primary: bool, log: usize, doors: usize) -> usize {
        let listeners: Vec<TcpListener> =
            (0..doors).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let mut world = self.lock();
        let index = world.machines.len();
        world.machines.push(Machine {
            name: name.to_string(),
            group,
            is_primary,
            log,
            epoch: (1, None),
            frozen_at: None,
            write_delay: Duration::ZERO,
            repeats_report_after: None,
            doors: listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect(),
            ran: Vec::new(),
            connections: Vec::new(),
        });
        drop(world);
        for (door, listener) in listeners.into_iter().enumerate() {
            let this = self.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let this = this.clone();
                    std::thread::spawn(move || this.serve(stream, index, door));
                }
            });
        }
        index
    }

    /// Closes all connections of a machine, as a database does that stops being the primary.
    pub fn close_connections(&self, index: usize) {
        for stream in std::mem::take(&mut self.lock().machines[index].connections) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Promotes a replica at its position; the others in `followers` follow it. Returns where the epoch begins.
    pub fn promote(&self, index: usize, followers: &[usize], number: u32) -> i64 {
        let mut world = self.lock();
        let start = world.position(index);
        let entries: Vec<LogEntry> = world.applied(index).cloned().collect();
        world.logs.push(entries);
        let log = world.logs.len() - 1;
        for &machine in [index].iter().chain(followers) {
            let machine = &mut world.machines[machine];
            (machine.log, machine.epoch, machine.frozen_at) = (log, (number, Some(start)), None);
            machine.is_primary = false;
        }
        world.machines[index].is_primary = true;
        record::line(&format!(
            "{} is promoted: epoch {number} begins at {start}",
            world.machines[index].name
        ));
        start
    }

    fn is_cut(&self, index: usize, door: usize) -> bool {
        self.lock().cut.contains(&(index, door))
    }

    /// Waits for as long as the link is cut. What crossed it meanwhile is lost, as the connection is reset.
    fn wait_while_cut(&self, index: usize, door: usize) -> bool {
        let was_cut = self.is_cut(index, door);
        while self.is_cut(index, door) {
            std::thread::sleep(Duration::from_millis(20));
        }
        was_cut
    }

    fn serve(&self, mut stream: TcpStream, index: usize, door: usize) -> Option<()> {
        let _ = stream.set_nodelay(true);
        wire::read_startup(&mut stream)?;
        if self.wait_while_cut(index, door) {
            return None;
        }
        self.lock().machines[index].connections.push(stream.try_clone().ok()?);
        let mut out = Vec::new();
        wire::message(&mut out, b'R', &[0; 4]);
        wire::ready(&mut out);
        stream.write_all(&out).ok()?;
        while let Some(message) = wire::read_message(&mut stream).filter(|message| message.tag == b'Q') {
            if self.wait_while_cut(index, door) {
                return None;
            }
            let text = String::from_utf8_lossy(&message.body);
            let (out, again_after) = self.answer(index, text.trim_end_matches('\0'));
            if self.wait_while_cut(index, door) {
                return None;
            }
            stream.write_all(&out).ok()?;
            if let Some(delay) = again_after {
                std::thread::sleep(delay);
                record::line(&format!(
                    "{} sends the same report a second time",
                    self.lock().machines[index].name
                ));
                stream.write_all(&out).ok()?;
            }
        }
        None
    }

    /// The answer to a statement, and after which time it is sent again.
    fn answer(&self, index: usize, text: &str) -> (Vec<u8>, Option<Duration>) {
        let mut out = Vec::new();
        let mut again_after = None;
        if text.is_empty() {
            wire::message(&mut out, b'I', b"");
        } else if text == "SHOW health" {
            let world = self.lock();
            let (machine, position) = (&world.machines[index], world.position(index));
            let report =
                format!("x0={:.3},x1={},load_share=0.1", position as f64 / 1e3, u8::from(machine.is_primary));
            wire::row(&mut out, &report, "SHOW");
            world.append_status(index, position, &mut out);
            again_after = machine.repeats_report_after;
        } else {
            self.execute(index, text, &mut out);
        }
        wire::ready(&mut out);
        (out, again_after)
    }

    fn execute(&self, index: usize, text: &str, out: &mut Vec<u8>) {
        let is_write = text.contains("INSERT");
        let id = field(text, "id");
        if is_write && !self.lock().machines[index].is_primary {
            wire::error(out, "25006", "not the primary");
            wire::parameter(out, "recovery", "on");
            return;
        }
        let delay = self.lock().machines[index].write_delay;
        let mut quoted = text.split('\'').skip(1).step_by(2);
        let key = quoted.next().unwrap_or("").to_string();
        if is_write {
            let value = unhex(quoted.next().unwrap_or("").trim_start_matches("\\x"));
            let mut world = self.lock();
            let (commit_ms, log) = (unix_ms() + 1, world.machines[index].log);
            world.logs[log].push(LogEntry { commit_ms, key, value: value.clone() });
            world.machines[index].ran.push(id.clone());
            let (name, group) = (world.machines[index].name.clone(), world.machines[index].group);
            record::line(&format!("{name} (group {group}) runs write {id}, commit {commit_ms}"));
            drop(world);
            std::thread::sleep(WORK + delay);
            wire::row(out, &value, "INSERT 0 1");
            self.lock().append_status(index, commit_ms, out);
        } else {
            let world = self.lock();
            let position = world.position(index);
            let value =
                world.applied(index).filter(|entry| entry.key == key).last().map(|entry| entry.value.clone());
            let value = value.unwrap_or_else(|| "nothing".to_string());
            let (name, group) = (world.machines[index].name.clone(), world.machines[index].group);
            record::line(&format!("{name} (group {group}) runs read {id} at position {position}: '{value}'"));
            drop(world);
            std::thread::sleep(WORK);
            wire::row(out, &value, "SELECT 1");
            self.lock().append_status(index, position, out);
        }
    }
}

/// The value of a name in the comment of a statement.
fn field(text: &str, name: &str) -> String {
    let comment = text.trim_start_matches("/*").split("*/").next().unwrap_or("");
    let mut pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(known, _)| *known == name).map_or(String::new(), |(_, value)| value.trim().to_string())
}

fn unhex(text: &str) -> String {
    let bytes =
        (0..text.len() / 2).filter_map(|at| u8::from_str_radix(text.get(2 * at..2 * at + 2)?, 16).ok());
    String::from_utf8_lossy(&bytes.collect::<Vec<u8>>()).into_owned()
}
