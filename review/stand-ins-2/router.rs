//! Routers, started as processes of their own with the command of the deploy file.

use crate::client::Client;
use crate::record;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Kills all routers that are still running.
pub fn kill_all() {
    for child in CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Removes the temporary folders.
pub fn remove_folders() {
    for folder in FOLDERS.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// A new temporary folder.
pub fn folder(name: &str) -> PathBuf {
    let nanos =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |t| t.as_nanos());
    let path = std::env::temp_dir().join(format!("review-{name}-{}-{nanos}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    FOLDERS.lock().expect("folders").push(path.clone());
    path
}

pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("a listener has an address")
}

pub struct Router {
    pub listen: SocketAddr,
    name: String,
    folder: PathBuf,
    discovery: SocketAddr,
    pid: u32,
}

/// The root of the project: the folder above `review`.
fn root() -> PathBuf {
    let program = std::env::current_exe().expect("the program has a path");
    program.ancestors().nth(3).expect("ROOT/target/review-2/cases").to_path_buf()
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|line| line.starts_with("run ="))?;
    Some(line.split('"').nth(1)?.to_string())
}

impl Router {
    /// Starts a router and waits until it answers an empty query.
    pub fn start(
        name: &str,
        settings: &str,
        discovery: SocketAddr,
        conf: impl Fn(&Path) -> String,
    ) -> Option<Router> {
        let (folder, listen) = (folder(name), free_addr());
        let bootstrap = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"settings\":{settings}}}"
        );
        std::fs::write(folder.join("config.json"), bootstrap).ok()?;
        std::fs::write(folder.join("gingerwick.conf"), conf(&folder)).ok()?;
        let mut router = Router { listen, name: name.to_string(), folder, discovery, pid: 0 };
        router.spawn().then_some(router)
    }

    fn spawn(&mut self) -> bool {
        let root = root();
        let Some(run) = run_command(&root) else { return false };
        let log = std::fs::File::create(self.folder.join("log")).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&root)
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("GINGERWICK_CONF", self.folder.join("gingerwick.conf"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn();
        let Ok(child) = child else { return false };
        self.pid = child.id();
        CHILDREN.lock().expect("children").push(child);
        record::line(&format!("router {} started, listens on {}", self.name, self.listen));
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if let Some(mut client) = Client::connect(self.listen, "-", None) {
                client.send("");
                if client.read_answer().is_complete {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record::line(&format!("router {} is not ready: {}", self.name, self.log()));
        false
    }

    /// Kills the router with SIGKILL.
    pub fn kill(&self) {
        record::line(&format!("router {} is killed (SIGKILL)", self.name));
        let mut children = CHILDREN.lock().expect("children");
        for child in children.iter_mut().filter(|child| child.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.retain(|child| child.id() != self.pid);
    }

    /// Starts a router that was killed again, under its name and address.
    pub fn restart(&mut self) -> bool {
        self.spawn()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// A class of requests: name, what it must see, its effect, its times.
pub struct Class {
    pub name: &'static str,
    pub access: &'static str,
    pub effect: &'static str,
    pub aim_ms: i64,
    pub deadline_ms: i64,
    pub lag_allowed_ms: i64,
    pub memory_ms: i64,
}

/// The figures of a deployment that concern the rules.
pub struct Site {
    pub zones: &'static [&'static str],
    pub classes: &'static [Class],
    /// What a machine does with a read for which it is too far behind, and for how long it holds it.
    pub guards: (&'static str, i64),
    pub max_attempts: u32,
    pub drain_grace_ms: i64,
    /// The share of its capacity with which a machine starts, when it is warm, and what pushes it over.
    pub cold: (f64, i64, f64, i64),
    pub synchronous: bool,
}

/// Pamplemousses canal, by its brief.
pub const PAMPLEMOUSSES: Site = Site {
    zones: &["port-louis-office", "boatyard-shed"],
    classes: &[
        Class {
            name: "availability-read",
            access: "recent",
            effect: "read_like",
            aim_ms: 600,
            deadline_ms: 1_500,
            lag_allowed_ms: 800,
            memory_ms: 5_000,
        },
        Class {
            name: "booking-write",
            access: "update",
            effect: "non_idempotent",
            aim_ms: 500,
            deadline_ms: 3_000,
            lag_allowed_ms: 0,
            memory_ms: 5_000,
        },
    ],
    guards: ("off", 0),
    max_attempts: 6,
    drain_grace_ms: 250,
    cold: (0.23, 16_000, 2.5, 2_000),
    synchronous: true,
};

/// Mahebourg locks, by its brief.
pub const MAHEBOURG: Site = Site {
    zones: &["grand-port-lock", "riviere-lock"],
    classes: &[
        Class {
            name: "queue-view",
            access: "recent",
            effect: "read_like",
            aim_ms: 300,
            deadline_ms: 1_000,
            lag_allowed_ms: 1_500,
            memory_ms: 3_000,
        },
        Class {
            name: "log-passage",
            access: "update",
            effect: "idempotency_key",
            aim_ms: 500,
            deadline_ms: 5_000,
            lag_allowed_ms: 0,
            memory_ms: 3_000,
        },
    ],
    guards: ("hold", 100),
    max_attempts: 6,
    drain_grace_ms: 2_000,
    cold: (0.17, 17_000, 2.0, 1_500),
    synchronous: false,
};

/// Flacq rota, by its brief.
pub const FLACQ: Site = Site {
    zones: &["centre-de-flacq"],
    classes: &[
        Class {
            name: "lock-log-browse",
            access: "loose",
            effect: "read_like",
            aim_ms: 500,
            deadline_ms: 2_000,
            lag_allowed_ms: 0,
            memory_ms: 5_000,
        },
        Class {
            name: "shift-update",
            access: "update",
            effect: "idempotency_key",
            aim_ms: 750,
            deadline_ms: 5_000,
            lag_allowed_ms: 0,
            memory_ms: 5_000,
        },
    ],
    guards: ("off", 0),
    max_attempts: 10,
    drain_grace_ms: 250,
    cold: (0.15, 16_000, 2.5, 2_000),
    synchronous: true,
};

/// The settings of a router of a small deployment, in the form of the operators' pages.
pub fn settings(site: &Site, instances: usize, zone: usize) -> String {
    let list = |each: &dyn Fn(&Class) -> String| site.classes.iter().map(each).collect::<Vec<_>>().join(",");
    let methods = list(&|class| {
        format!(
            "{{\"aimNs\":{},\"deadlineNs\":{},\"effect\":\"{}\",\"gain\":1.0,\"keyScope\":\"cell\",\
             \"lateValue\":0.5,\"memorySpanNs\":{},\"name\":\"{}\",\"streaming\":false}}",
            nanos(class.aim_ms),
            nanos(class.deadline_ms),
            class.effect,
            nanos(class.memory_ms),
            class.name
        )
    });
    let access = list(&|class| format!("\"{}\"", class.access));
    let lags = list(&|class| nanos(class.lag_allowed_ms).to_string());
    let zones = site.zones.iter().map(|zone| format!("\"{zone}\"")).collect::<Vec<_>>().join(",");
    let (cold_from, cold_ms, multiple, overload_ms) = site.cold;
    format!(
        "{{\"allowed\":{{\"connIdleNs\":30000000000,\"dialTimeoutNs\":250000000,\"maxAttempts\":{},\
         \"maxRetryAfterNs\":2000000000,\"mayCancel\":true,\"mostHeld\":20000,\"multiplex\":1,\"peers\":false,\
         \"probes\":true,\"retryAfter\":true,\"secondCopies\":false}},\
         \"azs\":[{zones}],\"classes\":[{methods}],\"clients\":{{\"marksRetry\":true}},\
         \"family\":\"replicas\",\"familyInfo\":{{\"classRead\":[{access}],\"countedFromNs\":0,\"guards\":\"{}\",\
         \"lagAllowedNs\":[{lags}],\"patienceNs\":{},\"positions\":true,\"roleInList\":\"off\",\
         \"sessionMarks\":\"client\",\"synchronous\":{}}},\"layer\":0,\"me\":0,\"membershipMode\":\"push\",\
         \"nInstances\":{instances},\"report\":{{\"how\":\"on_probe\",\"names\":[\"x0\",\"x1\",\"load_share\"]}},\
         \"resolutionNs\":5000000,\"rules\":{{\"askWithinNs\":10000000000,\"coldFrom\":{cold_from},\
         \"coldNs\":{},\"fallMultiple\":{multiple},\"graceToAnswerNs\":20000000,\"overloadForNs\":{},\
         \"stopSendingWithinNs\":{}}},\"weights\":\"off\",\"zone\":{zone}}}",
        site.max_attempts,
        site.guards.0,
        nanos(site.guards.1),
        site.synchronous,
        nanos(cold_ms),
        nanos(overload_ms),
        nanos(site.drain_grace_ms),
    )
}

fn nanos(millis: i64) -> i64 {
    millis * 1_000_000
}
