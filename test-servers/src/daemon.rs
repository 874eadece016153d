//! The daemon as a child process on start facts of its own. Dropping it kills it.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub struct Daemon {
    child: Child,
    log: Arc<Mutex<String>>,
    /// Ends with the log.
    reader: Option<JoinHandle<()>>,
}

/// What a daemon is started with.
pub struct Start<'a> {
    pub program: &'a Path,
    /// The start facts, JSON.
    pub facts: &'a str,
    /// The operators' file's text; none: the daemon is started without one.
    pub conf: Option<&'a str>,
    /// A folder of its own for both.
    pub folder: &'a Path,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
}

impl Daemon {
    pub fn start(start: &Start) -> std::io::Result<Daemon> {
        let config: PathBuf = start.folder.join("config.json");
        std::fs::write(&config, start.facts)?;
        let mut command = Command::new(start.program);
        if let Some(text) = start.conf {
            let conf = start.folder.join("gingerwick.conf");
            std::fs::write(&conf, text)?;
            command.arg("--conf").arg(conf);
        }
        command.env_clear().env("ROUTER_CONFIG", &config).env("ROUTER_NAME", "f");
        command.env("ROUTER_LISTEN", start.listen.to_string());
        command.env("ROUTER_DISCOVERY", start.discovery.to_string());
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(String::new()));
        let reader = child.stderr.take().map(|stderr| {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                let mut lines = BufReader::new(stderr);
                let mut line = Vec::new();
                while lines.read_until(b'\n', &mut line).is_ok_and(|read| read > 0) {
                    log.lock().expect("no reader panicked").push_str(&String::from_utf8_lossy(&line));
                    line.clear();
                }
            })
        });
        Ok(Daemon { child, log, reader })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name; `kill` is a program of every Unix.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Waits for its end; none where it does not come.
    pub fn ends_within(&mut self, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Waits until its log has these words, for ten seconds at most; whether they came. What a daemon has
    /// done shows before the line about it does, and one that is killed says nothing more.
    pub fn says(&self, words: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.log.lock().expect("no reader panicked").contains(words) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Ends it at once; what it has logged.
    pub fn kill(mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        std::mem::take(&mut self.log.lock().expect("no reader panicked"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
