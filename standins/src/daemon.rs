//! The daemon as a child process on start facts of its own. Dropping it kills it.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub struct Daemon {
    child: Child,
    log: Option<JoinHandle<String>>,
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
        let log = child.stderr.take().map(|mut stderr| {
            thread::spawn(move || {
                let mut text = String::new();
                let _ = stderr.read_to_string(&mut text);
                text
            })
        });
        Ok(Daemon { child, log })
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

    /// Ends it at once; what it has logged.
    pub fn kill(mut self) -> String {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.log.take().and_then(|log| log.join().ok()).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
