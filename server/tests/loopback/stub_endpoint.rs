//! A stub endpoint. It implements the part of the PostgreSQL protocol that the tests need, and answers each statement
//! according to its key.

use server::protocol::encode::{error_response_with_code, Severity};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Appends a protocol message with its tag, length and body.
pub fn append_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Reads the next message. Returns `None` if the stream has ended or failed.
pub fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// An endpoint that answers each statement according to its key:
/// - `silent`: no answer
/// - `reset`: closes the connection
/// - `full`, `error`: an error with SQLSTATE 53300 or XX000
/// - `malformed`: a message with an invalid length
/// - `slow`: the default value after 700 ms
/// - `twice`: a value, and the same answer again after 20 ms
/// - `long`: a value of 400,000 bytes
/// - `mute`: the default value; an empty query that follows gets no answer
/// - any other key: the default value
#[derive(Clone)]
pub struct StubEndpoint {
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Whether the endpoint is the primary of its group.
    pub primary: bool,
    /// All statements received, except health checks.
    pub statements: Arc<Mutex<Vec<String>>>,
    /// If set, the next startup message is answered only after the test has sent a message here.
    pub startup_gate: Arc<Mutex<Option<Receiver<()>>>>,
    /// Notifies the test when a startup message waits for the gate, and when a statement with the key `slow` arrives.
    pub arrived: Sender<()>,
    /// Number of connections that have sent their startup message.
    pub connections: Arc<AtomicUsize>,
}

impl StubEndpoint {
    /// Starts an endpoint on a free loopback port. The receiver gets the notifications of `arrived`.
    pub fn start(primary: bool) -> (StubEndpoint, Receiver<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let (arrived, arrivals) = channel();
        let addr = listener.local_addr().expect("the listener has no address");
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

    /// Serves one connection. Returns `None` if the stream failed or the key `reset` arrived.
    pub fn serve(&self, mut stream: TcpStream) -> Option<()> {
        self.complete_startup(&mut stream)?;
        let mut mute = false;
        while let Some((b'Q', body)) = read_message(&mut stream) {
            let text = String::from_utf8(body).expect("not UTF-8").trim_end_matches('\0').to_string();
            if text.is_empty() && mute {
                continue;
            }
            if text.is_empty() {
                // Simulates a network round trip that is long enough for another attempt to need the connection.
                thread::sleep(Duration::from_millis(5));
                stream.write_all(b"I\0\0\0\x04Z\0\0\0\x05I").ok()?;
                continue;
            }
            let value = self.record_and_get_value(&text);
            let key = text.split('\'').nth(1).unwrap_or_default().to_string();
            mute = key == "mute";
            self.answer(&mut stream, &key, value)?;
        }
        Some(())
    }

    /// Reads the startup message, waits for the gate if the test has set one, and completes the startup.
    fn complete_startup(&self, stream: &mut TcpStream) -> Option<()> {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
        self.connections.fetch_add(1, Ordering::AcqRel);
        let startup_gate = self.startup_gate.lock().expect("a stub thread panicked").take();
        if let Some(startup_gate) = startup_gate {
            self.arrived.send(()).ok()?;
            startup_gate.recv().ok()?;
        }
        let mut out = Vec::new();
        append_message(&mut out, b'R', &[0; 4]);
        append_message(&mut out, b'Z', b"I");
        stream.write_all(&out).ok()
    }

    /// Returns a load report for a health check. Records any other statement and returns the default value.
    fn record_and_get_value(&self, text: &str) -> Vec<u8> {
        if text == "SHOW health" {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970");
            let role = u8::from(self.primary);
            // The position is 0.1 s in the past, so that a clock adjustment does not move it into the future.
            format!("x0={:.3},x1={role},load_share=0.1", unix.as_secs_f64() - 0.1).into_bytes()
        } else {
            self.statements.lock().expect("a stub thread panicked").push(text.to_string());
            vec![0, 255, b'\n', 7]
        }
    }

    /// Answers a query according to its key. Returns `None` if the connection must be closed or has failed.
    fn answer(&self, stream: &mut TcpStream, key: &str, mut value: Vec<u8>) -> Option<()> {
        let mut out = Vec::new();
        match key {
            "silent" => return Some(()),
            "reset" => return None,
            "full" => error_response_with_code(&mut out, Severity::Error, "53300", "full", None),
            "error" => error_response_with_code(&mut out, Severity::Error, "XX000", "broken", None),
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
                append_one_row(&mut out, &value);
            }
        }
        append_message(&mut out, b'S', if self.primary { b"recovery\0off\0" } else { b"recovery\0on\0" });
        append_message(&mut out, b'Z', b"I");
        stream.write_all(&out).ok()?;
        if key == "twice" {
            // If the connection were reused, the next request would take this for its own answer.
            thread::sleep(Duration::from_millis(20));
            stream.write_all(&out).ok()?;
        }
        Some(())
    }
}

/// Appends a result of one row with one column.
fn append_one_row(out: &mut Vec<u8>, value: &[u8]) {
    let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes()[..], value].concat();
    append_message(out, b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    append_message(out, b'D', &row);
    append_message(out, b'C', b"SELECT 1\0");
}
