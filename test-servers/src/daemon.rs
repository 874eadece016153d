//! The router daemon as a child process. Dropping a [`Daemon`] kills the process.

use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval at which the exit status and the log of the process are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of [`Daemon::wait_for_log`].
const LOG_TIMEOUT: Duration = Duration::from_secs(10);
/// Converts KiB to bytes by a shift.
const KIB_SHIFT: usize = 10;
/// The index of the user time in the fields of `/proc/PID/stat` after the name; the system time follows it.
const USER_TIME_FIELD: usize = 11;
/// The unit of the times in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Name of every instance.
const INSTANCE_NAME: &str = "f";

/// A running daemon.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<String>>,
    /// The thread that reads the standard error stream of the process until the stream ends.
    log_reader: Option<JoinHandle<()>>,
}

/// Options for the start of a daemon.
pub struct DaemonOptions<'a> {
    /// Path of the executable.
    pub program: &'a Path,
    /// Content of the bootstrap file.
    pub bootstrap: &'a str,
    /// Content of the operators' file; if `None`, the daemon is started without one.
    pub operator_file: Option<&'a str>,
    /// Existing directory to which both files are written.
    pub folder: &'a Path,
    /// Address that the daemon listens on.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Further environment variables of the process.
    pub environment: Vec<(&'static str, String)>,
}

impl Daemon {
    /// Writes the configuration files and starts a daemon, without waiting until it listens.
    ///
    /// # Errors
    /// A file cannot be written, or the process cannot be started.
    pub fn start(options: &DaemonOptions) -> io::Result<Daemon> {
        let bootstrap = options.folder.join("config.json");
        std::fs::write(&bootstrap, options.bootstrap)?;
        let mut command = Command::new(options.program);
        if let Some(text) = options.operator_file {
            let path = options.folder.join("gingerwick.conf");
            std::fs::write(&path, text)?;
            command.arg("--conf").arg(path);
        }
        command.env_clear().env("ROUTER_CONFIG", &bootstrap).env("ROUTER_NAME", INSTANCE_NAME);
        command.env("ROUTER_LISTEN", options.listen.to_string());
        command.env("ROUTER_DISCOVERY", options.discovery.to_string());
        command.envs(options.environment.iter().map(|(name, value)| (name, value)));
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(String::new()));
        let log_reader = child.stderr.take().map(|stderr| {
            let log = Arc::clone(&log);
            thread::spawn(move || read_log(stderr, &log))
        });
        Ok(Daemon { child, log, log_reader })
    }

    /// Process id of the daemon.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The most memory that the process has used so far, in bytes; `None` if it is not running.
    pub fn peak_memory_bytes(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kib: usize = line.split_whitespace().next()?.parse().ok()?;
        Some(kib << KIB_SHIFT)
    }

    /// The processor time that the process has used so far; `None` if it is not running.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).ok()?;
        let (_, fields) = stat.rsplit_once(')')?;
        let ticks = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks: u32 = ticks.filter_map(|field| field.parse::<u32>().ok()).sum();
        Some(CLOCK_TICK * ticks)
    }

    /// Sends the process a signal with the `kill` program. `name` is the signal's name without `SIG`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Waits until the process exits, for `timeout` at most. Returns its exit status, or `None` if the process is
    /// still running or was terminated by a signal.
    pub fn exit_status_within(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Waits until the log contains `text`, for ten seconds at most. Returns whether the log contains it. A test has
    /// to wait before it kills the daemon: an action can take effect before its log line is written, and a killed
    /// daemon writes no more lines.
    pub fn wait_for_log(&self, text: &str) -> bool {
        let deadline = Instant::now() + LOG_TIMEOUT;
        while !self.log.lock().expect("the log reader panicked").contains(text) {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// How the process has ended, in words; `None` while it is running.
    pub fn exit_description(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and returns its log.
    pub fn kill(mut self) -> String {
        self.kill_and_wait();
        if let Some(reader) = self.log_reader.take() {
            let _ = reader.join();
        }
        std::mem::take(&mut self.log.lock().expect("the log reader panicked"))
    }

    fn kill_and_wait(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill_and_wait();
    }
}

fn read_log(stderr: impl Read, log: &Mutex<String>) {
    let mut reader = BufReader::new(stderr);
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line).is_ok_and(|read| read > 0) {
        log.lock().expect("the log reader panicked").push_str(&String::from_utf8_lossy(&line));
        line.clear();
    }
}
