//! A stand-in for an endpoint: it speaks enough of PostgreSQL's protocol, and answers each statement as its key says.

use server::protocol::encode::{error_fields, Severity};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Appends one message of the protocol: its tag, its length and its body.
pub fn message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// The next message on a stream; none where it ended.
pub fn next(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// An endpoint that does what the key of a statement says.
#[derive(Clone)]
pub struct StubEndpoint {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it is the primary; otherwise a replica.
    pub primary: bool,
    /// Every statement that it was sent, other than health checks.
    pub statements: Arc<Mutex<Vec<String>>>,
    /// Where set, a start-up is answered only after a message from the test.
    pub startup_gate: Arc<Mutex<Option<Receiver<()>>>>,
    /// Notified when a start-up waits at the gate, and when a slow statement arrives.
    pub arrived: Sender<()>,
    /// Connections that have sent their start-up.
    pub connections: Arc<AtomicUsize>,
}

impl StubEndpoint {
    /// Listens on a free port of loopback; the receiver gets what `arrived` is sent.
    pub fn start(primary: bool) -> (StubEndpoint, Receiver<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (arrived, arrivals) = channel();
        let addr = listener.local_addr().expect("its address");
        let (statements, startup_gate, connections) = Default::default();
        let stub = StubEndpoint { addr, primary, statements, startup_gate, arrived, connections };
        let serving = stub.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let stub = serving.clone();
                thread::spawn(move || stub.serve(stream));
            }
        });
        (stub, arrivals)
    }

    /// Serves one connection: its start-up, then queries answered by their keys; none where the stream failed or
    /// the key asked for a reset.
    pub fn serve(&self, mut stream: TcpStream) -> Option<()> {
        self.accept_startup(&mut stream)?;
        let mut mute = false;
        while let Some((b'Q', body)) = next(&mut stream) {
            let text = String::from_utf8(body).expect("text").trim_end_matches('\0').to_string();
            if text.is_empty() && mute {
                continue;
            }
            if text.is_empty() {
                // A network's round trip: long enough for another attempt to want the connection.
                thread::sleep(Duration::from_millis(5));
                stream.write_all(b"I\0\0\0\x04Z\0\0\0\x05I").ok()?;
                continue;
            }
            let value = self.value_for(&text);
            let key = text.split('\'').nth(1).unwrap_or_default().to_string();
            mute = key == "mute";
            self.answer(&mut stream, &key, value)?;
        }
        Some(())
    }

    /// Reads the start-up message, waits at the gate where the test set one, and greets.
    fn accept_startup(&self, stream: &mut TcpStream) -> Option<()> {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
        self.connections.fetch_add(1, Ordering::AcqRel);
        let startup_gate = self.startup_gate.lock().expect("no panic").take();
        if let Some(startup_gate) = startup_gate {
            self.arrived.send(()).ok()?;
            startup_gate.recv().ok()?;
        }
        let mut out = Vec::new();
        message(&mut out, b'R', &[0; 4]);
        message(&mut out, b'Z', b"I");
        stream.write_all(&out).ok()
    }

    /// The load report of a health check; any other statement is recorded and has the usual value.
    fn value_for(&self, text: &str) -> Vec<u8> {
        if text == "SHOW health" {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
            let role = u8::from(self.primary);
            // A tenth of a second behind: a machine that sets its clock forward must not make it the
            // future.
            format!("x0={:.3},x1={role},load_share=0.1", unix.as_secs_f64() - 0.1).into_bytes()
        } else {
            self.statements.lock().expect("no panic").push(text.to_string());
            vec![0, 255, b'\n', 7]
        }
    }

    /// Answers one query as its key says; none where the connection is to be reset.
    fn answer(&self, stream: &mut TcpStream, key: &str, mut value: Vec<u8>) -> Option<()> {
        let mut out = Vec::new();
        match key {
            "silent" => return Some(()),
            "reset" => return None,
            "full" => error_fields(&mut out, Severity::Error, "53300", "full", None),
            "error" => error_fields(&mut out, Severity::Error, "XX000", "broken", None),
            "malformed" => out.extend([b'T', 127, 255, 255, 255]),
            _ => {
                match key {
                    "twice" => value.push(2),
                    "long" => value = vec![9; 400_000],
                    _ => {}
                }
                if key == "slow" {
                    self.arrived.send(()).ok()?;
                    thread::sleep(Duration::from_millis(700));
                }
                one_row(&mut out, &value);
            }
        }
        message(&mut out, b'S', if self.primary { b"recovery\0off\0" } else { b"recovery\0on\0" });
        message(&mut out, b'Z', b"I");
        stream.write_all(&out).ok()?;
        if key == "twice" {
            // What another request on this connection would take for its own value.
            thread::sleep(Duration::from_millis(20));
            stream.write_all(&out).ok()?;
        }
        Some(())
    }
}

/// Appends a result of one row with `value` in its one column, and the completion of its command.
fn one_row(out: &mut Vec<u8>, value: &[u8]) {
    let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes()[..], value].concat();
    message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    message(out, b'D', &row);
    message(out, b'C', b"SELECT 1\0");
}
