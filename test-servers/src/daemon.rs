//! The daemon as a child process with a configuration of its own. Dropping it kills it.

use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a line of the log is waited for.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<String>>,
    /// Ends with the log.
    log_reader: Option<JoinHandle<()>>,
}

/// What a daemon is started with.
pub struct DaemonOptions<'a> {
    /// The program.
    pub program: &'a Path,
    /// The bootstrap file's text.
    pub bootstrap: &'a str,
    /// The operators' file's text; none: the daemon is started without one.
    pub operator_file: Option<&'a str>,
    /// A folder of its own for both.
    pub folder: &'a Path,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// A file cannot be written, or the process not started.
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

    /// The id of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name; `kill` is a program of every Unix.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Waits for its end; its exit status, or none if it does not end.
    pub fn exit_status_within(&mut self, timeout: Duration) -> Option<i32> {
        let give_up_at = Instant::now() + timeout;
        while Instant::now() < give_up_at {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Waits until its log has this text, for ten seconds at most; whether it came. What a daemon has done shows before the
    /// line about it does, and one that is killed logs nothing more.
    pub fn has_logged(&self, text: &str) -> bool {
        let give_up_at = Instant::now() + LOG_TIMEOUT;
        while !self.log.lock().expect("no reader panicked").contains(text) {
            if Instant::now() > give_up_at {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Ends it at once; what it has logged.
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
