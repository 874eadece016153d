//! An instance of the daemon that runs with the fault library, and what the library has traced.

use crate::daemon::{Daemon, DaemonOptions};
use crate::endpoint::free_address;
use crate::fault_soak::closed_connections::ClosedConnections;
use crate::fault_soak::plan::InstancePlan;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// How often an instance is looked at. Its peak memory does not fall in between.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The executables of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct Programs<'a> {
    /// The daemon.
    pub daemon: &'a Path,
    /// The fault library.
    pub fault_shim: &'a Path,
}

/// How an instance has ended.
#[derive(Clone, Debug)]
pub struct InstanceEnd {
    /// When it was told to end.
    pub term_at: Instant,
    /// When it was killed; `None` if it has exited before.
    pub killed_at: Option<Instant>,
    /// Its log.
    pub log: String,
    /// The connections of clients that it has closed.
    pub closed: ClosedConnections,
    /// The number of faults that were injected.
    pub faults: usize,
    /// The most memory that it has used, in bytes; 0 if unknown.
    pub peak_memory_bytes: usize,
    /// How it has ended if it has exited or was killed for its use of memory before it was told to end.
    pub early_end: Option<String>,
    /// The processor time that it has used before it was told to end.
    pub cpu_time: Duration,
    /// The plan of its faults.
    pub plan: InstancePlan,
}

/// A running instance.
pub struct Instance {
    /// The address that it listens on.
    pub listen: SocketAddr,
    daemon: Daemon,
    plan: InstancePlan,
    trace: PathBuf,
    peak_memory_bytes: usize,
}

/// Converts MiB to bytes by a shift.
const MIB_SHIFT: usize = 20;

/// The settings of a deployment whose longest deadline is `deadline_ms`.
fn settings(deadline_ms: u64) -> String {
    let (deadline, objective) = (deadline_ms * NANOS_PER_MILLI, deadline_ms * NANOS_PER_MILLI / 2);
    format!(
        r#"{{"nInstances":2,"zone":0,"azs":["a"],"resolutionNs":5000000,"membershipMode":"push",
        "classes":[{{"name":"read","aimNs":{objective},"deadlineNs":{deadline},"effect":"read_like"}},
            {{"name":"order","aimNs":{objective},"deadlineNs":{deadline},"effect":"non_idempotent","lateValue":0.5}}],
        "familyInfo":{{"classRead":["recent","update"],"guards":"off","lagAllowedNs":[800000000,0],
            "sessionMarks":"client"}},
        "allowed":{{"maxAttempts":6,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfterNs":500000000}},
        "report":{{"names":["x0","x1","load_share"]}},"rules":{{}}}}"#
    )
}

impl Instance {
    /// Starts an instance in the existing directory `folder`.
    ///
    /// # Errors
    /// A file cannot be written, or the process cannot be started.
    pub fn start(
        programs: Programs,
        folder: &Path,
        plan: &InstancePlan,
        seed: u64,
        deadline_ms: u64,
        discovery: SocketAddr,
        endpoints: &[Value],
    ) -> io::Result<Instance> {
        let listen = free_address();
        let hosts = Value::from(endpoints.to_vec());
        let settings = settings(deadline_ms);
        let bootstrap = format!(
            r#"{{"seed":"{seed:016x}","limits":{{"sockets":{},"memory_mb":{}}},
            "known":{{"seq":4,"whole":true,"hosts":{hosts}}},"settings":{settings}}}"#,
            plan.descriptors, plan.memory_mb
        );
        let state_dir = folder.join("state");
        std::fs::create_dir_all(&state_dir)?;
        let operator_file = format!("state-dir {}\nwrite-journal system\n", state_dir.display());
        let trace = folder.join("trace");
        let daemon = Daemon::start(&DaemonOptions {
            program: programs.daemon,
            bootstrap: &bootstrap,
            operator_file: plan.has_state_dir.then_some(&operator_file),
            folder,
            listen,
            discovery,
            environment: vec![
                ("LD_PRELOAD", programs.fault_shim.display().to_string()),
                ("FAULT_PLAN", plan.faults.clone()),
                ("FAULT_SEED", seed.to_string()),
                ("FAULT_TRACE", trace.display().to_string()),
            ],
        })?;
        Ok(Instance { listen, daemon, plan: plan.clone(), trace, peak_memory_bytes: 0 })
    }

    /// Sends the planned signals, and waits until the instance has ended. As the operators' platform does, kills the
    /// instance once it has used more memory than its limit.
    pub fn run_signals(mut self, started: Instant) -> InstanceEnd {
        let plan = self.plan.clone();
        let mut reloads = plan.reload_at.clone();
        reloads.sort();
        for reload_at in reloads.iter().filter(|reload_at| **reload_at < plan.term_at) {
            self.watch_until(started + *reload_at);
            self.daemon.signal("HUP");
        }
        self.watch_until(started + plan.term_at);
        let early_end = self.daemon.exit_description();
        let cpu_time = self.daemon.cpu_time().unwrap_or_default();
        let term_at = Instant::now();
        self.daemon.signal("TERM");
        for reload_at in reloads.iter().filter(|reload_at| **reload_at >= plan.term_at) {
            self.watch_until(started + *reload_at);
            self.daemon.signal("HUP");
        }
        self.watch_until(term_at + (plan.kill_at - plan.term_at));
        let killed_at = (!self.daemon.has_exited()).then(Instant::now);
        let peak_memory_bytes = self.peak_memory_bytes;
        let log = self.daemon.kill();
        let trace = std::fs::read_to_string(&self.trace).unwrap_or_default();
        let closed = ClosedConnections::from_trace(&trace);
        let faults = trace.lines().filter(|line| line.contains("descriptor=")).count();
        InstanceEnd { term_at, killed_at, log, closed, faults, peak_memory_bytes, early_end, cpu_time, plan }
    }

    /// Waits until `at`, or until the instance has exited. Kills it once it has used more memory than its limit.
    fn watch_until(&mut self, at: Instant) {
        while Instant::now() < at && !self.daemon.has_exited() {
            let peak_memory_bytes = self.daemon.peak_memory_bytes().unwrap_or(0);
            self.peak_memory_bytes = self.peak_memory_bytes.max(peak_memory_bytes);
            if self.peak_memory_bytes > self.plan.memory_mb << MIB_SHIFT {
                self.daemon.signal("KILL");
            }
            thread::sleep(POLL_INTERVAL.min(at.saturating_duration_since(Instant::now())));
        }
    }
}
