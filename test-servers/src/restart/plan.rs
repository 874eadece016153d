//! Plans of runs, drawn at random from a seed.

use crate::random::{choose, one_in, plan_rng};

/// A fault of one group between the time of the list and the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A replica was promoted; the old primary is isolated and continues to execute writes.
    OldPrimaryIsolated,
    /// As [`Fault::OldPrimaryIsolated`], and the new primary does not answer.
    OldPrimaryIsolatedNewSilent,
    /// As [`Fault::OldPrimaryIsolated`], and a replica has stopped on the old primary's branch.
    OldPrimaryIsolatedWithReplica,
    /// A replica was promoted, and the old primary is its replica.
    PrimarySwitched,
    /// An endpoint that is not in the list was promoted; the old primary continues to execute writes.
    NewPrimaryUnlisted,
    /// A replica was promoted, and the listed address of the old primary now belongs to the primary of another group.
    AddressReused,
    /// A replica was promoted, and connections to the listed address of the old primary are refused.
    AddressUnused,
    /// A replica does not answer.
    ReplicaSilent,
    /// Replicas lag by more than the bound on staleness.
    ReplicasLag,
    /// The group has no primary.
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
    /// With a higher version of the list.
    AtOnce,
    /// With a lower version of the list, restored from a backup.
    LowerVersion,
    /// First with an empty list.
    EmptyFirst,
    /// First with truncated lines.
    TruncatedLineFirst,
    /// Alternating between up and down.
    Flapping,
}

const RETURNS: [DiscoveryReturn; 5] = [
    DiscoveryReturn::AtOnce,
    DiscoveryReturn::LowerVersion,
    DiscoveryReturn::EmptyFirst,
    DiscoveryReturn::TruncatedLineFirst,
    DiscoveryReturn::Flapping,
];

/// Ages of the list in seconds; a negative age means a list from the future.
const AGES_S: [i64; 6] = [5, 40, 600, 7_200, 172_800, -3_600];
const GROUPS: usize = 3;
const CLIENTS: usize = 10;
const MILLIS_PER_SECOND: i64 = 1_000;
/// Numbers of instances to choose from.
const INSTANCE_COUNTS: [usize; 3] = [1, 2, 3];
/// On average in one of this many plans all endpoints have just started, so that they are in slow start.
const PLANS_PER_JUST_STARTED: usize = 2;

/// Plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The fault of each group.
    pub faults: Vec<Fault>,
    /// Age of the cached list in seconds.
    pub age_s: i64,
    /// How discovery returns.
    pub discovery_return: DiscoveryReturn,
    /// All endpoints have just started.
    pub just_started: bool,
    /// Number of clients.
    pub clients: usize,
    /// Number of instances that start at the same time, each with its own cache.
    pub instances: usize,
}

impl Plan {
    /// Draws a plan from a seed.
    pub fn random(seed: u64) -> Plan {
        let mut rng = plan_rng(seed);
        let faults = (0..GROUPS).map(|_| choose(&mut rng, &FAULTS)).collect();
        let age_s = choose(&mut rng, &AGES_S);
        let discovery_return = choose(&mut rng, &RETURNS);
        let just_started = one_in(&mut rng, PLANS_PER_JUST_STARTED);
        let instances = choose(&mut rng, &INSTANCE_COUNTS);
        Plan { seed, faults, age_s, discovery_return, just_started, clients: CLIENTS, instances }
    }

    /// Age of the cached list in milliseconds.
    pub fn age_ms(&self) -> i64 {
        self.age_s * MILLIS_PER_SECOND
    }

    /// A plan without faults.
    pub fn without_faults(seed: u64, age_s: i64) -> Plan {
        Plan {
            seed,
            faults: vec![Fault::None; GROUPS],
            age_s,
            discovery_return: DiscoveryReturn::AtOnce,
            just_started: false,
            clients: CLIENTS,
            instances: 1,
        }
    }
}
