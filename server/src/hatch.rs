//! The operators' socket: a word on a line of its own, and lines in answer. One thread serves one after the
//! other, each with an end in time and bytes, so that whoever looks after the front holds up nobody.

use crate::gate::Gate;
use crate::ledger::{Ledger, Share};
use crate::log;
use crate::look::{Look, MOST_CLIENTS, MOST_RPCS};
use crate::news::News;
use crate::shutdown::Leave;
use crate::tally;
use may::sync::mpsc::Sender;
use metrics_exporter_prometheus::PrometheusHandle;
use routing::time::{Moment, Span};
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

/// So long may one ask and read.
const WITHIN: Duration = Duration::from_secs(1);
/// More is no question.
const MOST_ASKED: u64 = 1 << 10;
/// Samples of histograms are folded together so often, whether or not anybody asks.
const UPKEEP: Duration = Duration::from_secs(5);
/// Listener, who asks, and who is next.
pub const DESCRIPTORS: usize = 4;

/// What is shown.
pub struct Hatch {
    pub name: String,
    pub owner: Sender<News>,
    pub ledger: Arc<Ledger>,
    pub gate: Option<Arc<Gate>>,
    pub leave: Arc<Leave>,
    pub methods: Vec<String>,
}

type Page = fn(&Hatch) -> Result<String, String>;

/// What can be asked for.
pub const WORDS: [(&str, &str); 4] = [
    ("clients", "who holds connections and RPCs, who holds most, who was turned away and why"),
    ("limits", "what there is of each resource, and what of it is taken"),
    ("stores", "the stores as the decisions see them"),
    ("rpcs", "open RPCs, the oldest first"),
];

const PAGES: [(&str, Page); 4] = [
    ("clients", Hatch::clients),
    ("limits", Hatch::limits),
    ("stores", Hatch::stores),
    ("rpcs", Hatch::rpcs),
];

/// Takes the socket at a path and serves it from a thread of its own.
///
/// # Errors
/// The path is in use by a front that answers, or can't be taken.
pub fn open(path: &Path, metrics: PrometheusHandle, hatch: Hatch) -> Result<(), String> {
    let fault = |why: std::io::Error| format!("{}: {why}", path.display());
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => return Err(format!("{}: no socket", path.display())),
        // One that nobody listens on was left by a front that was killed.
        Ok(_) if UnixStream::connect(path).is_ok() => {
            return Err(format!("{}: another front listens there", path.display()));
        }
        Ok(_) => fs::remove_file(path).map_err(fault)?,
        Err(why) if why.kind() == ErrorKind::NotFound => {}
        Err(why) => return Err(fault(why)),
    }
    let listener = UnixListener::bind(path).map_err(fault)?;
    // Whoever may read and write it may look; by default that is this user alone.
    fs::set_permissions(path, fs::Permissions::from_mode(0o600)).map_err(fault)?;
    let upkeep = metrics.clone();
    let named = |name: &str| thread::Builder::new().name(name.into());
    let keeping = move || loop {
        thread::sleep(UPKEEP);
        upkeep.run_upkeep();
    };
    named("upkeep").spawn(keeping).map_err(fault)?;
    let serving = move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => _ = hatch.serve(&metrics, stream),
                Err(why) => {
                    log!(WARN; "operators-socket: {why}");
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    };
    named("hatch").spawn(serving).map_err(fault)?;
    Ok(())
}

impl Hatch {
    fn serve(&self, metrics: &PrometheusHandle, mut stream: UnixStream) -> std::io::Result<()> {
        stream.set_write_timeout(Some(WITHIN))?;
        let asked = line(&mut stream)?;
        let words: Vec<&str> = asked.split_ascii_whitespace().collect();
        let text = match words[..] {
            ["metrics"] => self.metrics(metrics),
            // As those who gather metrics ask, by way of the same socket.
            ["GET", "/metrics", ..] => {
                let body = self.metrics(metrics);
                let length = body.len();
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {length}\r\n\
                     Connection: close\r\n\r\n{body}"
                )
            }
            ["GET", ..] => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".into(),
            [word] => match PAGES.iter().find(|page| page.0 == word) {
                Some((_, page)) => page(self).unwrap_or_else(|why| format!("error: {why}\n")),
                None => unknown(word),
            },
            _ => unknown(&words.join(" ")),
        };
        stream.write_all(text.as_bytes())
    }

    /// What the owner shows of itself.
    fn look(&self) -> Result<Look, String> {
        let (reply, look) = mpsc::channel();
        let asked = self.owner.send(News::Look { reply });
        asked.map_err(|_| "the owner is gone".to_string())?;
        look.recv_timeout(WITHIN).map_err(|_| "the owner did not answer within a second".to_string())
    }

    fn metrics(&self, metrics: &PrometheusHandle) -> String {
        for (name, share) in SHARES {
            metrics::gauge!("gingerwick_descriptors", "share" => name).set(self.ledger.taken(share) as f64);
        }
        metrics::gauge!("gingerwick_buffer_bytes").set(self.ledger.weighs() as f64);
        metrics::gauge!("gingerwick_sessions").set(self.leave.members() as f64);
        if let Some(gate) = &self.gate {
            for (class, held) in gate.look(0).held {
                metrics::gauge!("gingerwick_connections", "class" => class).set(held as f64);
            }
        }
        if let Ok(look) = self.look() {
            metrics::gauge!("gingerwick_rpcs_open").set(look.open as f64);
            for (class, here, waiting) in look.turns.into_iter().flat_map(|turns| turns.classes) {
                metrics::gauge!("gingerwick_rpcs_under_way", "class" => class.clone()).set(here as f64);
                metrics::gauge!("gingerwick_rpcs_waiting", "class" => class).set(waiting as f64);
            }
        }
        metrics.render()
    }

    fn clients(&self) -> Result<String, String> {
        let look = self.look()?;
        let mut out = Table::new(&["class", "connections", "kept", "most", "rpcs under way", "waiting"]);
        let gate = self.gate.as_ref().map(|gate| gate.look(MOST_CLIENTS));
        let turns = look.turns.as_ref();
        let held = |name: &str| {
            let held = gate.iter().flat_map(|gate| &gate.held).find(|(class, _)| class == name);
            held.map_or(0, |(_, held)| *held)
        };
        let here = |name: &str| {
            let here = turns.iter().flat_map(|turns| &turns.classes).find(|(class, ..)| class == name);
            here.map_or((0, 0), |(_, here, waiting)| (*here, *waiting))
        };
        let set =
            gate.iter().flat_map(|gate| &gate.classes).map(|class| (&*class.name, class.keep, class.most));
        let mut named: Vec<(&str, usize, Option<usize>)> = set.collect();
        let held_by = gate.iter().flat_map(|gate| &gate.held).map(|(class, _)| class.as_str());
        let others = held_by.chain(turns.iter().flat_map(|turns| &turns.classes).map(|row| row.0.as_str()));
        for name in others {
            if !named.iter().any(|(known, ..)| *known == name) {
                named.push((name, 0, None));
            }
        }
        for (name, keep, most) in named {
            let ((under_way, waiting), most) = (here(name), most.map_or("-".into(), |most| most.to_string()));
            let numbers = [held(name), keep].map(|number| number.to_string());
            let [connections, kept] = numbers;
            out.row([name.into(), connections, kept, most, under_way.to_string(), waiting.to_string()]);
        }
        let mut text = format!("{} sessions\n\n{out}", self.leave.members());
        if let Some(gate) = &gate {
            text += &format!("\n{} in the lobby, {} addresses remembered\n\n", gate.lobby, gate.remembered);
            let mut most = Table::new(&["address", "connections"]);
            gate.top.iter().for_each(|(from, held)| most.row([from.to_string(), held.to_string()]));
            text += &most.to_string();
            let mut refused = Table::new(&["class", "connections turned away", "why"]);
            let rows = gate.refused.iter();
            rows.for_each(|(class, why, many)| refused.row([class.clone(), many.to_string(), (*why).into()]));
            text += &format!("\n{refused}");
        }
        if let Some(turns) = turns {
            let mut most = Table::new(&["class", "address", "rpcs under way", "waiting"]);
            for (class, from, here, waiting) in &turns.top {
                most.row([class.clone(), from.to_string(), here.to_string(), waiting.to_string()]);
            }
            let mut shed = Table::new(&["class", "rpcs turned away", "why"]);
            let rows = turns.shed.iter();
            rows.for_each(|(class, why, many)| {
                shed.row([class.clone(), many.to_string(), why.word().into()])
            });
            text += &format!("\n{most}\n{shed}");
        }
        Ok(text)
    }

    fn limits(&self) -> Result<String, String> {
        let look = self.look()?;
        let mut out = Table::new(&["resource", "taken", "most"]);
        for (name, share) in SHARES {
            let (taken, most) = (self.ledger.taken(share), self.ledger.most(share));
            out.row([format!("descriptors: {name}"), taken.to_string(), most.to_string()]);
        }
        let heavy = self.ledger.heavy_from();
        out.row(["bytes in buffers".into(), self.ledger.weighs().to_string(), heavy.to_string()]);
        out.row(["open RPCs".into(), look.open.to_string(), "-".into()]);
        if let Some(turns) = &look.turns {
            let (here, waiting) =
                turns.classes.iter().fold((0, 0), |(here, waiting), row| (here + row.1, waiting + row.2));
            let set = turns.turns;
            out.row(["RPCs worked on".into(), here.to_string(), set.at_once.to_string()]);
            out.row(["RPCs that wait".into(), waiting.to_string(), set.waiting.to_string()]);
            let target = span(set.target);
            out.row(["wait where a queue stands".into(), "-".into(), target]);
            let repeats = set.repeats.map_or("-".into(), |percent| format!("{percent}% of first tries"));
            out.row(["repeats".into(), "-".into(), repeats]);
        }
        Ok(format!("{}{out}", if self.leave.begun() { "leaving\n" } else { "" }))
    }

    fn stores(&self) -> Result<String, String> {
        let look = self.look()?;
        let columns =
            ["store", "address", "state", "role", "in flight", "room", "rests", "behind", "told", "load"];
        let mut out = Table::new(&columns);
        for store in &look.stores {
            let name = store.name.clone();
            let addr = store.addr.map_or("-".into(), |addr| addr.to_string());
            let Some(seen) = &store.look else {
                let none = || "-".to_string();
                out.row([
                    name,
                    addr,
                    "unknown".into(),
                    none(),
                    none(),
                    none(),
                    none(),
                    none(),
                    none(),
                    none(),
                ]);
                continue;
            };
            let state = match (seen.open, seen.warmth) {
                (false, _) => "closed".to_string(),
                (true, Some(part)) => format!("cold, {:.0}%", part * 100.0),
                (true, None) => "open".to_string(),
            };
            let role = if seen.primary { "primary" } else { "replica" };
            let [rests, behind, told] =
                [seen.rests, seen.behind, seen.told].map(|at| at.map_or("-".into(), span));
            let load = seen.load.map_or("-".into(), |load| format!("{load:.2}"));
            let (in_flight, room) = (seen.in_flight.to_string(), format!("{:.2}", seen.room));
            out.row([name, addr, state, role.into(), in_flight, room, rests, behind, told, load]);
        }
        Ok(format!("{}: {} stores, {} groups\n\n{out}", self.name, look.stores.len(), look.groups))
    }

    fn rpcs(&self) -> Result<String, String> {
        let look = self.look()?;
        let ago = |at: Moment| span(look.now - at);
        let mut out = Table::new(&["id", "method", "group", "age", "call-outs", "where"]);
        let parked = look.turns.iter().flat_map(|turns| &turns.parked);
        for (id, came) in parked.clone().take(MOST_RPCS) {
            let none = || "-".to_string();
            out.row([id.clone(), none(), none(), ago(*came), "0".into(), "waits its turn".into()]);
        }
        for rpc in &look.rpcs {
            let place = match &rpc.out {
                Some((store, since)) => format!("at {store} for {}", ago(*since)),
                None => "held".to_string(),
            };
            let place = if rpc.closed { format!("answered, still {place}") } else { place };
            let method = self.methods.get(rpc.method).cloned().unwrap_or_default();
            let (id, call_outs) = (rpc.id.to_string(), rpc.call_outs.to_string());
            out.row([id, method, rpc.group.to_string(), ago(rpc.came), call_outs, place]);
        }
        Ok(format!("{} open, {} wait their turn\n\n{out}", look.open, parked.count()))
    }
}

const SHARES: [(&str, Share); 4] = [
    ("clients", Share::Clients),
    ("stores", Share::Stores),
    ("discovery", Share::Discovery),
    ("turned away", Share::TurnedAway),
];

/// A line, or what there is of it once its time is over.
fn line(stream: &mut UnixStream) -> std::io::Result<String> {
    let (until, mut bytes) = (Instant::now() + WITHIN, Vec::new());
    while !bytes.contains(&b'\n') {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let mut part = [0; 256];
        let many = stream.read(&mut part)?;
        bytes.extend_from_slice(&part[..many]);
        if many == 0 {
            break;
        }
        if bytes.len() as u64 > MOST_ASKED {
            return Err(ErrorKind::InvalidData.into());
        }
    }
    let end = bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len());
    Ok(String::from_utf8_lossy(&bytes[..end]).trim().to_string())
}

fn unknown(word: &str) -> String {
    let known: Vec<&str> = WORDS.iter().map(|(name, _)| *name).collect();
    let word: String = word.chars().take(40).collect();
    format!("error: {word:?} is none of {}, metrics\n", known.join(", "))
}

fn span(span: Span) -> String {
    let ms = span.0 as f64 / 1e6;
    match ms.abs() {
        ..10.0 => format!("{ms:.1}ms"),
        ..10_000.0 => format!("{ms:.0}ms"),
        _ => format!("{:.0}s", ms / 1e3),
    }
}

/// Rows under their titles, each column as wide as it must be.
struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new(titles: &[&str]) -> Table {
        Table { rows: vec![titles.iter().map(|title| title.to_string()).collect()] }
    }

    fn row<const N: usize>(&mut self, cells: [String; N]) {
        // What a client has worded must not pass for a line of ours.
        self.rows.push(cells.map(|cell| cell.replace(char::is_control, "?")).into());
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let wide =
            |nth: usize| self.rows.iter().map(|row| row[nth].chars().count()).max().unwrap_or_default();
        let widths: Vec<usize> = (0..columns).map(wide).collect();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, wide)| format!("{cell:<wide$}")).collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}

/// Asks a front by its socket.
///
/// # Errors
/// Nobody listens there, or what listens does not answer in time.
pub fn ask(path: &PathBuf, word: &str) -> Result<String, String> {
    let fault = |why: std::io::Error| format!("{}: {why}", path.display());
    let mut stream = UnixStream::connect(path).map_err(fault)?;
    stream.set_read_timeout(Some(WITHIN * 3)).map_err(fault)?;
    stream.write_all(format!("{word}\n").as_bytes()).map_err(fault)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(fault)?;
    match text.strip_prefix("error: ") {
        Some(why) => Err(why.trim_end().to_string()),
        None => Ok(text),
    }
}

/// Starts to count, for whoever will ask.
///
/// # Errors
/// As [`tally::install`].
pub fn counts() -> Result<PrometheusHandle, String> {
    tally::install().map_err(|why| why.to_string())
}
