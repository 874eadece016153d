//! Plans of runs. A plan consists of random choices that depend only on a seed.

use crate::random::{choose, one_in, plan_rng};

/// A fault that a group has after the time of the cached list and before the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A replica was promoted; the old primary is isolated and continues to execute writes.
    OldPrimaryIsolated,
    /// As [`Fault::OldPrimaryIsolated`], and the new primary does not answer.
    OldPrimaryIsolatedNewSilent,
    /// As [`Fault::OldPrimaryIsolated`], and the replication of a replica has stopped on the old primary's branch.
    OldPrimaryIsolatedWithReplica,
    /// A replica was promoted, and the old primary became a replica of it.
    PrimarySwitched,
    /// An endpoint that is not in the list was promoted; the old primary is isolated and continues to execute writes.
    NewPrimaryUnlisted,
    /// A replica was promoted, and the listed address of the old primary now belongs to the primary of another group.
    AddressReused,
    /// A replica was promoted, and connections to the listed address of the old primary are refused.
    AddressUnused,
    /// One replica does not answer.
    ReplicaSilent,
    /// All listed replicas lag by more than the staleness bound.
    ReplicasLag,
    /// The primary is unreachable, and no replica was promoted.
    NoPrimary,
}

const FAULTS: [Fault; 11] = [
    Fault::None,
    Fault::OldPrimaryIsolated,
    Fault::OldPrimaryIsolatedNewSilent,
    Fault::OldPrimaryIsolatedWithReplica,
    Fault::PrimarySwitched,
    Fault::NewPrimaryUnlisted,
    Fault::AddressReused,
    Fault::AddressUnused,
    Fault::ReplicaSilent,
    Fault::ReplicasLag,
    Fault::NoPrimary,
];

/// How discovery returns after its outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryReturn {
    /// With a higher version of the list than the cached one.
    AtOnce,
    /// With a lower version of the list, as after a restore from a backup.
    LowerVersion,
    /// With an empty list for a short time, then with the current list.
    EmptyFirst,
    /// With truncated lines for a short time, then with the current list.
    TruncatedLineFirst,
    /// Alternating between up and down until the end of the run.
    Flapping,
}

const DISCOVERY_RETURNS: [DiscoveryReturn; 5] = [
    DiscoveryReturn::AtOnce,
    DiscoveryReturn::LowerVersion,
    DiscoveryReturn::EmptyFirst,
    DiscoveryReturn::TruncatedLineFirst,
    DiscoveryReturn::Flapping,
];

/// Ages of the cached list to choose from, in seconds. A negative age means that the list is dated in the future, as
/// after the clock was set back.
const AGES_S: [i64; 6] = [5, 40, 600, 7_200, 172_800, -3_600];
const GROUP_COUNT: usize = 3;
const CLIENT_COUNT: usize = 10;
const MILLIS_PER_SECOND: i64 = 1_000;
/// Numbers of instances to choose from.
const INSTANCE_COUNTS: [usize; 3] = [1, 2, 3];
/// All endpoints have just started, and thus are in slow start, with a probability of one in this number.
const PLANS_PER_JUST_STARTED: usize = 2;

/// Plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that the random choices depend on.
    pub seed: u64,
    /// The fault of each group.
    pub faults: Vec<Fault>,
    /// Age of the cached list in seconds.
    pub age_s: i64,
    /// How discovery returns.
    pub discovery_return: DiscoveryReturn,
    /// Whether all endpoints have just started, so that they are in slow start.
    pub just_started: bool,
    /// Number of clients.
    pub clients: usize,
    /// Number of instances that start at the same time, each with its own cached list.
    pub instances: usize,
}

impl Plan {
    /// Creates the plan of a seed.
    pub fn random(seed: u64) -> Plan {
        let mut rng = plan_rng(seed);
        let faults = (0..GROUP_COUNT).map(|_| choose(&mut rng, &FAULTS)).collect();
        let age_s = choose(&mut rng, &AGES_S);
        let discovery_return = choose(&mut rng, &DISCOVERY_RETURNS);
        let just_started = one_in(&mut rng, PLANS_PER_JUST_STARTED);
        let instances = choose(&mut rng, &INSTANCE_COUNTS);
        Plan { seed, faults, age_s, discovery_return, just_started, clients: CLIENT_COUNT, instances }
    }

    /// Age of the cached list in milliseconds.
    pub fn age_ms(&self) -> i64 {
        self.age_s * MILLIS_PER_SECOND
    }

    /// Creates a plan without faults, for one instance.
    pub fn without_faults(seed: u64, age_s: i64) -> Plan {
        Plan {
            seed,
            faults: vec![Fault::None; GROUP_COUNT],
            age_s,
            discovery_return: DiscoveryReturn::AtOnce,
            just_started: false,
            clients: CLIENT_COUNT,
            instances: 1,
        }
    }
}
