//! A store on a socket of its own: it answers as the world says that it stands, and enters what it runs.

use crate::message::{self, error, parameter, ready, row};
use crate::world::{unix_ms, EndpointIndex, Reach, Truth, World};
use history_checker::{Rule, Run};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A listening store. Dropping it ends the listener; connections end with the first statement after that.
pub struct Served {
    pub addr: SocketAddr,
    over: Arc<AtomicBool>,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100));
    }
}

/// An address that nobody listens on: taken for a moment and given back. It has an address of loopback's for
/// itself, so that nobody else is given the port while what is to listen there is not up, or up no more.
pub fn free_address() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let (nth, process) = (GIVEN.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = Ipv4Addr::new(127, 1 + (process % 250) as u8, (nth >> 8) as u8, nth as u8);
    let listener = TcpListener::bind((host, 0)).expect("loopback has a free port");
    listener.local_addr().expect("a bound listener has an address")
}

pub fn serve(world: &Arc<World>, ix: EndpointIndex) -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let (over, world) = (Arc::new(AtomicBool::new(false)), world.clone());
    let served = Served { addr, over: over.clone() };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if over.load(Ordering::Acquire) {
                return;
            }
            let (world, over) = (world.clone(), over.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                session(&world, ix, stream, &over)
            });
        }
    });
    served
}

fn session(world: &World, ix: EndpointIndex, mut stream: TcpStream, over: &AtomicBool) -> Option<()> {
    message::start_up(&mut stream)?;
    if world.lock().machines[ix].reach == Reach::Silent {
        // Open for as long as the other side holds it, without a word.
        let _ = message::next(&mut stream);
        return None;
    }
    let mut out = Vec::new();
    message::message(&mut out, b'R', &[0; 4]);
    ready(&mut out);
    stream.write_all(&out).ok()?;
    while let Some((b'Q', body)) = message::next(&mut stream) {
        if over.load(Ordering::Acquire) {
            return None;
        }
        let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
        let mut out = Vec::new();
        match text.as_str() {
            "" => message::message(&mut out, b'I', b""),
            "SHOW health" => health(world, ix, &mut out),
            who if who.contains("pg_control_checkpoint") => identity(world, ix, &mut out),
            _ => statement(world, ix, &text, &mut out)?,
        }
        ready(&mut out);
        stream.write_all(&out).ok()?;
    }
    None
}

fn health(world: &World, ix: EndpointIndex, out: &mut Vec<u8>) {
    let truth = world.lock();
    let position = truth.position(ix, unix_ms()) as f64 / 1e3;
    let primary = u8::from(truth.machines[ix].primary);
    row(out, format!("x0={position:.3},x1={primary},load_share=0.1").as_bytes());
    epoch(out, &truth, ix);
}

/// Its epoch, and where that began.
fn epoch(out: &mut Vec<u8>, truth: &Truth, ix: EndpointIndex) {
    let machine = &truth.machines[ix];
    let began = truth.forks(machine.group).get(machine.branch).copied().filter(|began| *began > 0);
    let began = began.map_or(String::new(), |began| format!("@{began}"));
    parameter(out, "epoch", &format!("{}{began}", machine.timeline));
}

fn identity(world: &World, ix: EndpointIndex, out: &mut Vec<u8>) {
    let truth = world.lock();
    let machine = &truth.machines[ix];
    if machine.says_who {
        row(out, format!("{},{}", machine.name, machine.timeline).as_bytes());
    } else {
        error(out, "42501");
    }
}

/// For so long a group drops repeats of a tokened write.
pub const MEMORY_MS: i64 = 1_500;

/// A value in a statement's comment.
fn word<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.strip_prefix("/*")?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}

fn statement(world: &World, ix: EndpointIndex, text: &str, out: &mut Vec<u8>) -> Option<()> {
    let id = word(text, "id")?.to_string();
    let group: i64 = word(text, "cluster")?.parse().ok()?;
    let (write, tokened, now) = (text.contains("INSERT"), word(text, "c") == Some("deposit"), unix_ms());
    // What it answers is as it stands now, however long it takes.
    let (takes, machine, epoch_told, at, point, true_to) = {
        let mut truth = world.lock();
        let takes = truth.offer(ix, now, &world.cold);
        let machine = truth.machines[ix].clone();
        if let Some(late) =
            machine.draining_since.map(|since| now - since).filter(|&late| late > world.grace_ms)
        {
            truth.see(ix, Rule::Drains, format!("got {id} {late} ms after its drain"));
        }
        if write && !machine.primary {
            error(out, "25006");
            parameter(out, "recovery", "on");
            return Some(());
        }
        let (at, true_to) = (truth.point(ix, now), truth.true_to(ix, now));
        let before = tokened.then(|| truth.remembered(&id, at, MEMORY_MS)).flatten();
        if write && before.is_none() {
            let by_primary = truth.is_true_primary(ix, group);
            let run = Run { id: id.clone(), group, point: at, by_primary };
            truth.runs.entry(id.clone()).or_default().push(run);
        }
        let mut epoch_told = Vec::new();
        epoch(&mut epoch_told, &truth, ix);
        (takes, machine, epoch_told, at, before.unwrap_or(at), true_to)
    };
    thread::sleep(takes);
    // A store of another group has nothing of what is asked here.
    let true_to = if machine.group == group { true_to } else { 0 };
    row(out, format!("{id} {true_to} {} {}", point.branch, point.at_ms).as_bytes());
    parameter(out, "recovery", if machine.primary { "off" } else { "on" });
    parameter(out, "lsn_ms", &at.at_ms.to_string());
    out.extend(epoch_told);
    Some(())
}
