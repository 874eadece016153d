//! Stand-ins for endpoints. They follow the operators' protocol page; an endpoint has an address of its own for each
//! instance, so that a cut of the network can be between an endpoint and one instance.

use crate::wire;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long an endpoint takes to answer a statement.
const WORK: Duration = Duration::from_millis(5);

pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

/// A statement that an endpoint has executed.
#[derive(Clone, Debug)]
pub struct Executed {
    pub at_ms: i64,
    pub endpoint: &'static str,
    pub epoch: u32,
    pub id: String,
}

impl Executed {
    /// A line of the record.
    pub fn text(&self) -> String {
        format!("run: {} at {}, epoch {}, at {}", self.id, self.endpoint, self.epoch, self.at_ms)
    }
}

/// The address of an endpoint for one instance.
#[derive(Clone, Debug)]
struct Door {
    addr: String,
    /// The network between the instance and the endpoint is cut: nothing is read or sent, nothing is closed.
    cut: bool,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: &'static str,
    doors: Vec<Door>,
    pub primary: bool,
    /// The role that discovery lists; it follows late.
    pub listed_primary: bool,
    /// The number of the log's epoch (PostgreSQL's timeline), and where it began.
    pub epoch: u32,
    pub epoch_began_ms: Option<i64>,
    /// How far a replica is behind its primary.
    pub lag_ms: i64,
    /// The process is dead: its connections have ended, and new ones are refused.
    pub dead: bool,
}

/// An open connection of an endpoint.
struct Open {
    endpoint: usize,
    stream: TcpStream,
}

#[derive(Default)]
pub struct State {
    pub endpoints: Vec<Endpoint>,
    pub executed: Vec<Executed>,
    open: Vec<Open>,
}

/// The endpoints of a case, all of group 1.
#[derive(Clone, Default)]
pub struct Cluster(Arc<Mutex<State>>);

impl Cluster {
    /// Starts a primary, `s-1`, and two replicas with this lag, each with an address for `instances` instances.
    pub fn start(instances: usize, lag_ms: i64) -> Cluster {
        let cluster = Cluster::default();
        for (index, name) in ["s-1", "s-2", "s-3"].into_iter().enumerate() {
            let primary = index == 0;
            let listeners: Vec<TcpListener> =
                (0..instances).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
            let door = |listener: &TcpListener| Door {
                addr: listener.local_addr().expect("an address").to_string(),
                cut: false,
            };
            cluster.state().endpoints.push(Endpoint {
                name,
                doors: listeners.iter().map(door).collect(),
                primary,
                listed_primary: primary,
                epoch: 1,
                epoch_began_ms: None,
                lag_ms: if primary { 0 } else { lag_ms },
                dead: false,
            });
            for (instance, listener) in listeners.into_iter().enumerate() {
                let cluster = cluster.clone();
                thread::spawn(move || cluster.listen(&listener, index, instance));
            }
        }
        cluster
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Kills an endpoint's process.
    pub fn kill(&self, endpoint: usize) {
        let mut state = self.state();
        state.endpoints[endpoint].dead = true;
        for open in state.open.iter().filter(|open| open.endpoint == endpoint) {
            let _ = open.stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // The listeners look at the state every millisecond.
        thread::sleep(Duration::from_millis(50));
    }

    /// Cuts the network between an endpoint and an instance.
    pub fn cut(&self, endpoint: usize, instance: usize) {
        self.state().endpoints[endpoint].doors[instance].cut = true;
    }

    /// Makes the endpoint `successor` the primary of a new epoch that begins at `began_ms`. The endpoint `follower` is
    /// its replica.
    pub fn promote(&self, successor: usize, follower: usize, began_ms: i64) {
        let mut state = self.state();
        for index in [successor, follower] {
            state.endpoints[index].epoch += 1;
            state.endpoints[index].epoch_began_ms = Some(began_ms);
        }
        state.endpoints[successor].primary = true;
        state.endpoints[successor].lag_ms = 0;
    }

    /// The executions of the write or read with this id.
    pub fn executions(&self, id: &str) -> Vec<Executed> {
        self.state().executed.iter().filter(|executed| executed.id == id).cloned().collect()
    }

    fn listen(&self, listener: &TcpListener, endpoint: usize, instance: usize) {
        listener.set_nonblocking(true).expect("a listener that does not block");
        while !self.state().endpoints[endpoint].dead {
            match listener.accept() {
                Ok((stream, _)) => {
                    let cluster = self.clone();
                    thread::spawn(move || cluster.serve(stream, endpoint, instance));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Waits while the network between an endpoint and an instance is cut.
    fn wait_while_cut(&self, endpoint: usize, instance: usize) {
        while self.state().endpoints[endpoint].doors[instance].cut {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Serves one connection until it ends or the endpoint's process is dead.
    fn serve(&self, mut stream: TcpStream, endpoint: usize, instance: usize) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        self.state().open.push(Open { endpoint, stream: stream.try_clone().ok()? });
        self.wait_while_cut(endpoint, instance);
        wire::read_startup(&mut stream)?;
        let mut out = Vec::new();
        wire::append_message(&mut out, b'R', &[0; 4]);
        wire::append_ready(&mut out);
        stream.write_all(&out).ok()?;
        loop {
            let message = wire::read_message(&mut stream).filter(|message| message.tag == b'Q')?;
            self.wait_while_cut(endpoint, instance);
            let text = String::from_utf8_lossy(&message.body).trim_end_matches('\0').to_string();
            let mut out = Vec::new();
            match text.as_str() {
                "" => wire::append_message(&mut out, b'I', b""),
                "SHOW health" => self.append_health(endpoint, &mut out),
                text => self.execute(endpoint, text, &mut out)?,
            }
            wire::append_ready(&mut out);
            self.wait_while_cut(endpoint, instance);
            stream.write_all(&out).ok()?;
        }
    }

    fn append_health(&self, endpoint: usize, out: &mut Vec<u8>) {
        let endpoint = self.state().endpoints[endpoint].clone();
        let (position_s, role) = (endpoint.position_ms() as f64 / 1e3, u8::from(endpoint.primary));
        wire::append_value(out, format!("x0={position_s:.3},x1={role},load_share=0.1").as_bytes());
        endpoint.append_statuses(out);
    }

    /// Executes a statement; `None` if the process dies before.
    fn execute(&self, endpoint: usize, text: &str, out: &mut Vec<u8>) -> Option<()> {
        let id = comment_value(text, "id")?.to_string();
        thread::sleep(WORK);
        let mut state = self.state();
        let endpoint = state.endpoints[endpoint].clone();
        if endpoint.dead {
            return None;
        }
        if text.contains("INSERT") && !endpoint.primary {
            wire::append_error(out, "25006", "this is no primary");
        } else {
            let value = format!("{id} {} epoch {}", endpoint.name, endpoint.epoch);
            wire::append_value(out, value.as_bytes());
            let (endpoint, epoch) = (endpoint.name, endpoint.epoch);
            state.executed.push(Executed { at_ms: unix_ms(), endpoint, epoch, id });
        }
        endpoint.append_statuses(out);
        Some(())
    }
}

impl Endpoint {
    /// A primary stands at the present, a replica behind it.
    fn position_ms(&self) -> i64 {
        unix_ms() - self.lag_ms
    }

    fn append_statuses(&self, out: &mut Vec<u8>) {
        wire::append_status(out, "recovery", if self.primary { "off" } else { "on" });
        wire::append_status(out, "lsn_ms", &self.position_ms().to_string());
        let began = self.epoch_began_ms.map_or(String::new(), |began| format!("@{began}"));
        wire::append_status(out, "epoch", &format!("{}{began}", self.epoch));
    }

    /// The endpoint's entry in the list of an instance's discovery.
    pub fn entry(&self, instance: usize) -> String {
        let recovery = if self.listed_primary { "off" } else { "on" };
        format!(
            r#"{{"host":"{}","dial":"{}","site":"a","class":"m","block":1,"health":"SERVING","share":1.0,"born_ms":0,"recovery":"{recovery}"}}"#,
            self.name, self.doors[instance].addr
        )
    }
}

/// The value of a key in the comment at the head of a statement.
fn comment_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.strip_prefix("/*")?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}
