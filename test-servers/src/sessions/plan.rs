//! Plans of runs. A plan consists of random choices that depend only on a seed.

use crate::random::{choose, plan_rng, JitteredMs};

const CLIENT_COUNT: usize = 6;
/// Numbers of instances to choose from: at least two, so that clients can move from one to another.
const INSTANCE_COUNTS: [usize; 2] = [2, 3];
/// Lag of the replica that is promoted by the failover: short, so that the failover loses only the end of the log.
const SHORT_LAG: JitteredMs = JitteredMs { min_ms: 10, jitter_ms: 60 };
/// Lag of the other replica: long enough that the replica often lacks data that a session has observed, but below the
/// staleness bound, so that it may serve reads.
const LONG_LAG: JitteredMs = JitteredMs { min_ms: 150, jitter_ms: 550 };
/// Time from the failover until discovery lists the new primary: at most about as long as the pause between two kills.
const DISCOVERY_DELAY: JitteredMs = JitteredMs { min_ms: 0, jitter_ms: 300 };

/// Numbers of the groups of every run.
pub(super) const GROUPS: [i64; 2] = [1, 2];

/// Plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the random choices depend on.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Replication lag of the two replicas of each group, in milliseconds. The first one is promoted by the failover.
    pub lags_ms: [i64; 2],
    /// Number of kills of instances.
    pub kills: usize,
    /// Number of clients.
    pub clients: usize,
    /// Time from the failover until discovery lists the new primary, in milliseconds.
    pub discovery_delay_ms: u64,
}

impl Plan {
    /// Creates the plan of a seed. `kills` is the number of kills of instances.
    pub fn random(seed: u64, kills: usize) -> Plan {
        let mut rng = plan_rng(seed);
        let lags_ms = [SHORT_LAG.sample(&mut rng), LONG_LAG.sample(&mut rng)];
        let instances = choose(&mut rng, &INSTANCE_COUNTS);
        let discovery_delay_ms = DISCOVERY_DELAY.sample(&mut rng) as u64;
        Plan { seed, instances, lags_ms, kills, clients: CLIENT_COUNT, discovery_delay_ms }
    }
}
