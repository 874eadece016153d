//! Discovery, the instances of the router, and the record of a case.

use crate::cluster::{unix_ms, Cluster};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The list that discovery gives out.
#[derive(Clone, Default)]
pub struct Discovery {
    pub addr: String,
    list: Arc<Mutex<(i64, String)>>,
}

impl Discovery {
    /// Starts the discovery of the instance with this number, with the list of the cluster's present endpoints.
    pub fn start(cluster: &Cluster, instance: usize) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address").to_string();
        let discovery = Discovery { addr, list: Arc::default() };
        discovery.publish(cluster, instance);
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    /// Gives out the cluster's endpoints as a new version of the list. Dead ones are not in it.
    pub fn publish(&self, cluster: &Cluster, instance: usize) {
        let state = cluster.state();
        let alive = state.endpoints.iter().filter(|endpoint| !endpoint.dead);
        let entries: Vec<String> = alive.map(|endpoint| endpoint.entry(instance)).collect();
        let mut list = self.list.lock().expect("the list");
        list.0 += 1;
        list.1 = format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, list.0, entries.join(","));
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut request = String::new();
        reader.read_line(&mut request).ok()?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? <= 2 {
                break;
            }
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let (mut sent, mut quiet_since) = (0, Instant::now());
        loop {
            let (version, text) = self.list.lock().expect("the list").clone();
            if version != sent {
                write_chunk(&mut stream, &format!("{text}\n"))?;
                (sent, quiet_since) = (version, Instant::now());
            } else if quiet_since.elapsed() > Duration::from_secs(2) {
                write_chunk(&mut stream, "\n")?;
                quiet_since = Instant::now();
            }
            if !request.contains("watch=1") {
                return stream.write_all(b"0\r\n\r\n").ok();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:>6} ms  {text}");
    }
}

/// The temporary folder of the case, if there is one.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Removes the temporary folder of the case.
fn remove_folder() {
    let folder = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
    if let Some(folder) = folder {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Ends the case as one that could not run. The instances end with this process.
pub fn cannot_run(reason: &str) -> ! {
    remove_folder();
    eprintln!("the case could not run: {reason}");
    std::process::exit(2)
}

/// Ends the case as one that could not run if it takes longer than `seconds`.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        cannot_run("it took too long")
    });
}

/// A folder of its own below the system's temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&format!("{error}")));
        *FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(path.clone());
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        remove_folder();
    }
}

extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Has the kernel kill the calling process when its parent ends, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: this option of `prctl` takes one number and no pointer.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// An instance of the router, as a process of its own.
pub struct Instance {
    child: Child,
    pub listen: String,
    log: Arc<Mutex<String>>,
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"').map(str::to_string));
    line.unwrap_or_else(|| cannot_run("deploy/balancer.toml has no command `run`"))
}

impl Instance {
    /// Starts an instance, with an operators' file if there is one, and waits until it serves.
    pub fn start(root: &Path, folder: &Path, name: &str, discovery: &str, conf: Option<&str>) -> Instance {
        let listen = TcpListener::bind("127.0.0.1:0").and_then(|port| port.local_addr());
        let listen = listen.unwrap_or_else(|error| cannot_run(&format!("{error}"))).to_string();
        let settings = crate::settings();
        let config = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
        );
        std::fs::write(&config, text).unwrap_or_else(|error| cannot_run(&format!("{error}")));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(root)).current_dir(root).env("ROUTER_CONFIG", &config);
        command.env("ROUTER_NAME", name).env("ROUTER_LISTEN", &listen).env("ROUTER_DISCOVERY", discovery);
        if let Some(conf) = conf {
            let path = folder.join(format!("{name}.conf"));
            std::fs::write(&path, conf).unwrap_or_else(|error| cannot_run(&format!("{error}")));
            command.env("GINGERWICK_CONF", &path);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        // SAFETY: `prctl` is a system call that allocates nothing, so it may be called between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let mut child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("{error}")));
        let log = Arc::new(Mutex::new(String::new()));
        if let Some(mut stderr) = child.stderr.take() {
            let log = log.clone();
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(count @ 1..) = stderr.read(&mut bytes) {
                    log.lock().expect("the log").push_str(&String::from_utf8_lossy(&bytes[..count]));
                }
            });
        }
        let mut instance = Instance { child, listen, log };
        instance.wait_until_serving();
        instance
    }

    fn wait_until_serving(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.log.lock().expect("the log").contains("serving") {
            let ended = !matches!(self.child.try_wait(), Ok(None));
            if ended || Instant::now() > deadline {
                let log = self.log.lock().expect("the log").clone();
                let _ = self.child.kill();
                cannot_run(&format!("the instance does not serve: {log}"));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Writes the instance's log to the record.
    pub fn record_log(&self, record: &Record) {
        for line in self.log.lock().expect("the log").lines() {
            record.line(&format!("log: {line}"));
        }
    }
}

/// An operators' file that lets clients carry sessions.
pub fn session_file(folder: &Path) -> String {
    let keys = folder.join("keys");
    let written = std::fs::write(&keys, "1 000102030405060708090a0b0c0d0e0f\n");
    written.unwrap_or_else(|error| cannot_run(&format!("{error}")));
    format!("session-keys {}\n", keys.display())
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
