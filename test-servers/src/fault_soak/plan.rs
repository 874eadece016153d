//! The plan of a run: which faults there are, when the instances are told to end, and how clients behave.

use crate::flood::kind::FloodKind;
use crate::random::{choose, client_seed, event_rng, one_in, plan_rng};
use routing::rng::Mwc;
use std::time::Duration;

/// How long the clients of a run send requests, unless their instance is ended earlier.
pub const RUN_TIME: Duration = Duration::from_millis(4_500);
/// The earliest time of the first signal that ends an instance, in milliseconds.
const MIN_TERM_MS: u64 = 1_000;
/// The range of that time, in milliseconds.
const TERM_RANGE_MS: usize = 2_000;
/// By the operators' terms, an instance is killed this long plus the longest deadline after it was told to end.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The usual longest service time of a statement that is not disturbed, in milliseconds.
pub const MAX_SERVICE_MS: usize = 30;
/// The longest deadlines of a deployment, in milliseconds.
const LONGEST_DEADLINES_MS: [u64; 3] = [600, 1_500, 3_000];
/// The maximum number of kinds of system call faults in one instance.
const MAX_FAULT_KINDS: usize = 4;

/// Kinds of system call faults, in the form of the fault library's plans. Each has one kind of cause.
const FAULT_KINDS: [&str; 19] = [
    "accept:ECONNABORTED:0.1;accept:EPROTO:0.05;accept:EINTR:0.1",
    "accept:ENFILE:0.9:1200-2600",
    "accept:ENOBUFS:0.3;accept:ENOMEM:0.1",
    "socket:ENFILE:0.1;socket:ENOBUFS:0.1",
    "connect:EADDRNOTAVAIL:0.1;connect:ENETUNREACH:0.1",
    "connect:EINTR:0.2;connect:ETIMEDOUT:0.05;connect:ECONNREFUSED:0.05",
    "epoll_wait:EINTR:0.3",
    "poll:EINTR:0.5",
    "client_recv:EINTR:0.2;client_send:EINTR:0.2",
    "client_recv:SHORT:0.5;client_send:SHORT:0.5",
    "client_recv:ENOMEM:0.02;client_send:ENOBUFS:0.02;client_send:ENOMEM:0.02",
    "peer_recv:EINTR:0.2;peer_send:EINTR:0.2",
    "peer_recv:SHORT:0.5;peer_send:SHORT:0.5",
    "peer_recv:ECONNRESET:0.02;peer_recv:ETIMEDOUT:0.02;peer_recv:EHOSTUNREACH:0.02;peer_send:ECONNRESET:0.02",
    "unix_send:EINTR:0.9",
    "event_send:EINTR:0.2",
    "wall_clock:STEP+3600:1:1500-9000",
    "wall_clock:STEP-3600:1:1500-9000",
    "wall_clock:STEP+5:1:800-2000;wall_clock:STEP-5:1:2000-9000",
];

/// Faults of the disk, for instances that have a state directory.
const DISK_FAULTS: [&str; 2] =
    ["file_write:ENOSPC:0.8:1000-2500", "file_write:EIO:0.3:800-3000;file_sync:EIO:0.5:800-3000"];

/// The numbers of clients in a flood.
const FLOOD_CLIENTS: [usize; 3] = [1, 6, 64];
/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_millis(2_500);
/// The memory limits of instances that may be flooded, in MB.
const MEMORY_LIMITS_MB: [usize; 3] = [64, 128, 192];
/// The memory limit of an instance without a planned one, in MB.
pub const DEFAULT_MEMORY_MB: usize = 128;
/// The limit on descriptors of an instance without a planned one.
const DEFAULT_DESCRIPTORS: usize = 512;
/// The least memory that the operators name, in MB.
const LEAST_MEMORY_MB: usize = 32;
/// The limits on descriptors of an instance with the least memory.
const LEAST_MEMORY_DESCRIPTORS: [usize; 3] = [256, 512, 1_024];
/// The numbers of clients that hold memory.
const MEMORY_HOLDERS: [usize; 3] = [100, 250, 500];
/// The numbers of further endpoints in the list of an instance with the least memory.
const OTHER_ENDPOINTS: [usize; 3] = [0, 0, 3_200];
/// Distinguishes the random numbers of floods that hold memory from those of other floods.
const MEMORY_SEED: u64 = 0x3e3;
/// The limit on descriptors of an instance that is flooded by hundreds of clients.
pub const FLOOD_DESCRIPTORS: usize = 1_024;
/// When an instance without faults is told to end.
const UNDISTURBED_TERM: Duration = Duration::from_millis(3_500);
/// When a flood against an instance without faults begins.
const UNDISTURBED_FLOOD_START: Duration = Duration::from_millis(500);

/// A flood against an instance.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFlood {
    /// What its clients do.
    pub kind: FloodKind,
    /// The number of its clients.
    pub clients: usize,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The seed of the run.
    pub seed: u64,
    /// The longest time that a client waits for an answer, in milliseconds.
    pub longest_deadline_ms: u64,
    /// Whether endpoints fail.
    pub endpoints_fail: bool,
    /// The longest service time of a statement that is not disturbed, in milliseconds.
    pub max_service_ms: usize,
    /// Whether proxies disturb the connections to endpoints.
    pub has_proxies: bool,
    /// The number of further listed endpoints, in groups of their own to which nothing is sent.
    pub other_endpoints: usize,
    /// The instances.
    pub instances: Vec<InstancePlan>,
}

/// What happens to an instance.
#[derive(Clone, Debug)]
pub struct InstancePlan {
    /// The plan of the fault library; empty if no system call fails.
    pub faults: String,
    /// Whether the instance has a state directory with a write journal.
    pub has_state_dir: bool,
    /// When the instance is told to reload its configuration, since the start of the run.
    pub reload_at: Vec<Duration>,
    /// When the instance is told to end.
    pub term_at: Duration,
    /// When the instance is killed, if it still runs.
    pub kill_at: Duration,
    /// Whether a crowd of clients arrives shortly before the instance is told to end.
    pub has_crowd: bool,
    /// The floods against the instance.
    pub floods: Vec<PlannedFlood>,
    /// Whether there are clients that leave many requests behind and send some of their ids again.
    pub has_leavers: bool,
    /// The memory limit of the instance, in MB.
    pub memory_mb: usize,
    /// The limit on descriptors of the instance.
    pub descriptors: usize,
}

impl RunPlan {
    /// Plans a run with a number of instances.
    pub fn new(seed: u64, instances: usize) -> RunPlan {
        let mut rng = plan_rng(seed);
        let longest_deadline_ms = choose(&mut rng, &LONGEST_DEADLINES_MS);
        RunPlan {
            seed,
            longest_deadline_ms,
            endpoints_fail: !one_in(&mut rng, 3),
            max_service_ms: MAX_SERVICE_MS,
            has_proxies: !one_in(&mut rng, 3),
            other_endpoints: 0,
            instances: (0..instances)
                .map(|index| {
                    let mut flood_rng = event_rng(client_seed(seed, index));
                    InstancePlan::new(&mut rng, longest_deadline_ms).with_flood(&mut flood_rng)
                })
                .collect(),
        }
    }

    /// Plans a run whose instances have the least memory, each under a flood of any kind or of clients that hold memory, in
    /// addition to everything else in [`RunPlan::new`].
    pub fn with_least_memory(seed: u64, instances: usize) -> RunPlan {
        let mut plan = RunPlan::new(seed, instances);
        let mut rng = event_rng(client_seed(seed ^ MEMORY_SEED, 0));
        plan.other_endpoints = choose(&mut rng, &OTHER_ENDPOINTS);
        for instance in &mut plan.instances {
            instance.limit_memory(&mut rng);
        }
        plan
    }

    /// Plans a run of one instance without faults, under a flood.
    pub fn flood(seed: u64, longest_deadline_ms: u64, kind: FloodKind, clients: usize) -> RunPlan {
        let flood = PlannedFlood {
            kind,
            clients,
            from: UNDISTURBED_FLOOD_START,
            until: UNDISTURBED_FLOOD_START + FLOOD_TIME,
        };
        let instance = InstancePlan {
            floods: vec![flood],
            descriptors: FLOOD_DESCRIPTORS,
            ..InstancePlan::undisturbed(UNDISTURBED_TERM, longest_deadline_ms)
        };
        let instances = vec![instance];
        RunPlan {
            seed,
            longest_deadline_ms,
            endpoints_fail: false,
            max_service_ms: MAX_SERVICE_MS,
            has_proxies: false,
            other_endpoints: 0,
            instances,
        }
    }
}

impl InstancePlan {
    fn new(rng: &mut Mwc, longest_deadline_ms: u64) -> InstancePlan {
        let has_state_dir = one_in(rng, 3);
        let term_at = Duration::from_millis(MIN_TERM_MS + rng.below(TERM_RANGE_MS) as u64);
        let kinds = 1 + rng.below(MAX_FAULT_KINDS);
        let mut faults: Vec<&str> = (0..kinds).map(|_| choose(rng, &FAULT_KINDS)).collect();
        if has_state_dir {
            faults.push(choose(rng, &DISK_FAULTS));
        }
        let reloads = rng.below(4);
        let reload_at = (0..reloads).map(|_| term_at.mul_f64(rng.below(120) as f64 / 100.0)).collect();
        InstancePlan {
            faults: faults.join(";"),
            has_state_dir,
            reload_at,
            term_at,
            has_crowd: one_in(rng, 3),
            ..InstancePlan::undisturbed(term_at, longest_deadline_ms)
        }
    }

    /// An instance without faults, which is told to end at `term_at`.
    pub fn undisturbed(term_at: Duration, longest_deadline_ms: u64) -> InstancePlan {
        InstancePlan {
            faults: String::new(),
            has_state_dir: false,
            reload_at: Vec::new(),
            term_at,
            kill_at: term_at + Duration::from_millis(longest_deadline_ms) + KILL_MARGIN,
            has_crowd: false,
            floods: Vec::new(),
            has_leavers: false,
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }

    /// Lets the planned floods last until the instance is killed.
    pub fn flood_until_kill(&mut self) {
        for flood in &mut self.floods {
            flood.until = self.kill_at;
        }
    }

    /// Gives the instance the least memory, and a flood of clients that hold memory unless it has one of another kind.
    fn limit_memory(&mut self, rng: &mut Mwc) {
        self.memory_mb = LEAST_MEMORY_MB;
        self.descriptors = choose(rng, &LEAST_MEMORY_DESCRIPTORS);
        let kinds = FloodKind::MEMORY_HOLDERS;
        let kind = if one_in(rng, 3) { FloodKind::MemoryMix } else { choose(rng, &kinds) };
        let clients = choose(rng, &MEMORY_HOLDERS);
        let from = self.term_at.mul_f64(rng.below(80) as f64 / 100.0);
        if self.floods.is_empty() {
            self.floods.push(PlannedFlood { kind, clients, from, until: from + FLOOD_TIME });
        }
        if one_in(rng, 2) {
            self.flood_until_kill();
        }
    }

    /// Adds a flood to every second instance on average, and leaving clients to every third. A flood may last until
    /// the instance is killed.
    fn with_flood(mut self, rng: &mut Mwc) -> InstancePlan {
        let kind = choose(rng, &FloodKind::SOAK);
        let clients = choose(rng, &FLOOD_CLIENTS);
        let from = self.term_at.mul_f64(rng.below(100) as f64 / 100.0);
        let flood = PlannedFlood { kind, clients, from, until: from + FLOOD_TIME };
        let lasts_until_kill = one_in(rng, 2);
        self.floods = one_in(rng, 2).then_some(flood).into_iter().collect();
        if lasts_until_kill {
            self.flood_until_kill();
        }
        self.has_leavers = one_in(rng, 3);
        self.memory_mb = choose(rng, &MEMORY_LIMITS_MB);
        self
    }
}
