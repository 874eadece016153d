//! What is drawn from a seed.

use routing::rng::Mwc;

/// What happened to one group between the list and the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Another took over; the old primary was cut off and goes on taking writes.
    OldPrimaryIsolated,
    /// The same, and the new primary does not answer.
    OldPrimaryIsolatedNewSilent,
    /// The same, and a replica has stopped on the old primary's log.
    OldPrimaryIsolatedWithReplica,
    /// Another took over and the old primary follows it.
    PrimarySwitched,
    /// The new primary is an endpoint that the list does not know, and the old one goes on.
    NewPrimaryUnlisted,
    /// The listed primary's address belongs to a primary of another group now.
    AddressReused,
    /// Nothing listens at the listed primary's address, another took over.
    AddressUnused,
    /// A replica does not answer.
    ReplicaSilent,
    /// Replicas lag by more than the bound.
    ReplicasLag,
    /// There is no primary at all.
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

/// How discovery comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryReturn {
    /// At once, with the version that it had, and more.
    AtOnce,
    /// Restored from a backup: with a lower version.
    LowerVersion,
    /// First with an empty list.
    EmptyFirst,
    /// First with half a line.
    TruncatedLineFirst,
    /// Up and down in turn.
    Flapping,
}

const RETURNS: [DiscoveryReturn; 5] = [
    DiscoveryReturn::AtOnce,
    DiscoveryReturn::LowerVersion,
    DiscoveryReturn::EmptyFirst,
    DiscoveryReturn::TruncatedLineFirst,
    DiscoveryReturn::Flapping,
];

/// Ages of the list in seconds; a negative one is in the future.
const AGES_S: [i64; 6] = [5, 40, 600, 7_200, 172_800, -3_600];
const GROUPS: usize = 3;
const CLIENTS: usize = 10;
/// Seeds that follow each other must not draw alike.
const SEED_MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// A plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// What happened to each group.
    pub faults: Vec<Fault>,
    /// The age of the list in seconds.
    pub age_s: i64,
    /// How discovery comes back.
    pub discovery_return: DiscoveryReturn,
    /// All endpoints have just started.
    pub just_started: bool,
    /// Clients.
    pub clients: usize,
    /// Instances that start at the same time, each with a list of its own.
    pub instances: usize,
}

impl Plan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = Mwc::new(seed.wrapping_mul(SEED_MIX));
        let faults = (0..GROUPS).map(|_| FAULTS[rng.below(FAULTS.len())]).collect();
        let age_s = AGES_S[rng.below(AGES_S.len())];
        let discovery_return = RETURNS[rng.below(RETURNS.len())];
        let just_started = rng.below(2) == 0;
        let instances = 1 + rng.below(3);
        Plan { seed, faults, age_s, discovery_return, just_started, clients: CLIENTS, instances }
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
