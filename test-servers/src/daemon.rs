//! The router daemon as a child process with its own configuration. Dropping a [`Daemon`] kills the process.

use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval at which the process and its log are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long [`Daemon::wait_for_log`] waits for a text.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// A running daemon.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<String>>,
    /// Thread that reads the log until the process closes it.
    log_reader: Option<JoinHandle<()>>,
}

/// Options to start a daemon with.
pub struct DaemonOptions<'a> {
    /// Path of the executable.
    pub program: &'a Path,
    /// Content of the bootstrap file.
    pub bootstrap: &'a str,
    /// Content of the operators' file; `None` starts the daemon without one.
    pub operator_file: Option<&'a str>,
    /// Directory in which both files are written.
    pub folder: &'a Path,
    /// Address that the daemon listens on.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
}

impl Daemon {
    /// Starts a daemon.
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
        command.env_clear().env("ROUTER_CONFIG", &bootstrap).env("ROUTER_NAME", "f");
        command.env("ROUTER_LISTEN", options.listen.to_string());
        command.env("ROUTER_DISCOVERY", options.discovery.to_string());
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

    /// Sends a signal, by its name without `SIG`, with the `kill` program.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Waits for the process to exit. Returns its exit status, or `None` if it is still running after `timeout` or was
    /// terminated by a signal.
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

    /// Waits until the log contains `text`, for ten seconds at most. Returns whether it does. Use this instead of
    /// reading the log once: the effect of an action can be visible before its log line, and a killed daemon logs
    /// nothing more.
    pub fn wait_for_log(&self, text: &str) -> bool {
        let deadline = Instant::now() + LOG_TIMEOUT;
        while !self.log.lock().expect("no reader panicked").contains(text) {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Kills the process and returns its log.
    pub fn kill(mut self) -> String {
        self.end();
        if let Some(reader) = self.log_reader.take() {
            let _ = reader.join();
        }
        std::mem::take(&mut self.log.lock().expect("no reader panicked"))
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

fn read_log(stderr: impl Read, log: &Mutex<String>) {
    let mut reader = BufReader::new(stderr);
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line).is_ok_and(|read| read > 0) {
        log.lock().expect("no reader panicked").push_str(&String::from_utf8_lossy(&line));
        line.clear();
    }
}
