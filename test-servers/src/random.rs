//! Random choices of the experiments. They are reproducible: equal seeds lead to the same choices in the same order.

use routing::rng::Mwc;

/// 2^64 divided by the golden ratio, rounded to an odd number: the increment of the generator `splitmix64`. As a
/// multiplier, it spreads consecutive numbers over the whole range of 64 bits.
pub const GOLDEN_RATIO_64: u64 = 0x9e37_79b9_7f4a_7c15;
/// Any number other than zero: makes the random events of a run differ from the random choices of its plan.
const EVENT_SEED_MASK: u64 = 0x5eed;
/// Distance between the client seeds of consecutive plans: more than the number of clients in a plan, so that clients
/// of different plans have different seeds.
const CLIENT_SEEDS_PER_PLAN: u64 = 31;

/// The random number generator for the choices of a plan. Generators of consecutive seeds are independent.
pub fn plan_rng(seed: u64) -> Mwc {
    Mwc::new(seed.wrapping_mul(GOLDEN_RATIO_64))
}

/// The random number generator for the events in the run of a plan, independent of that for the plan's choices.
pub fn event_rng(plan_seed: u64) -> Mwc {
    Mwc::new(plan_seed ^ EVENT_SEED_MASK)
}

/// The seed of the client with index `client` in the run of a plan.
pub fn client_seed(plan_seed: u64, client: usize) -> u64 {
    plan_seed.wrapping_mul(CLIENT_SEEDS_PER_PLAN).wrapping_add(client as u64)
}

/// Chooses one of the values, each with the same probability. `values` must not be empty.
pub fn choose<T: Copy>(rng: &mut Mwc, values: &[T]) -> T {
    values[rng.below(values.len())]
}

/// Returns true with a probability of one in `count`.
pub fn one_in(rng: &mut Mwc, count: usize) -> bool {
    rng.below(count) == 0
}

/// A duration that consists of a fixed part and a random part.
#[derive(Clone, Copy, Debug)]
pub struct JitteredMs {
    /// The fixed part in milliseconds: the shortest duration.
    pub min_ms: i64,
    /// Exclusive upper bound of the uniformly distributed random part, in milliseconds.
    pub jitter_ms: usize,
}

impl JitteredMs {
    /// Returns a random duration in milliseconds.
    pub fn sample(&self, rng: &mut Mwc) -> i64 {
        self.min_ms + rng.below(self.jitter_ms) as i64
    }
}
