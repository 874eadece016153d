//! Random choices of the experiments. They are reproducible: equal seeds give equal choices in the same order.

use routing::rng::Mwc;

/// 2^64 divided by the golden ratio, rounded to an odd number: the increment of the generator `splitmix64`. As a
/// multiplier it spreads consecutive numbers over all 64 bits.
pub const GOLDEN_RATIO_64: u64 = 0x9e37_79b9_7f4a_7c15;
/// Differs from zero, so that the events of a run are independent of the draw of its plan. Otherwise arbitrary.
const EVENT_SEED_MASK: u64 = 0x5eed;
/// Seeds of the clients of consecutive plans are this far apart, more than a plan has clients, so that they differ.
const CLIENT_SEEDS_PER_PLAN: u64 = 31;

/// The random numbers from which the plan of a seed is drawn. Those of consecutive seeds are independent.
pub fn plan_rng(seed: u64) -> Mwc {
    Mwc::new(seed.wrapping_mul(GOLDEN_RATIO_64))
}

/// The random numbers for the events in the run of a plan, independent of those that the plan was drawn from.
pub fn event_rng(plan_seed: u64) -> Mwc {
    Mwc::new(plan_seed ^ EVENT_SEED_MASK)
}

/// The seed of a client in the run of a plan.
pub fn client_seed(plan_seed: u64, client: usize) -> u64 {
    plan_seed.wrapping_mul(CLIENT_SEEDS_PER_PLAN).wrapping_add(client as u64)
}

/// Chooses one of several values, each with the same probability.
pub fn choose<T: Copy>(rng: &mut Mwc, values: &[T]) -> T {
    values[rng.below(values.len())]
}

/// Returns true on average once in `count` calls.
pub fn one_in(rng: &mut Mwc, count: usize) -> bool {
    rng.below(count) == 0
}

/// A duration in milliseconds with a random part.
#[derive(Clone, Copy, Debug)]
pub struct JitteredMs {
    /// The fixed part.
    pub min_ms: i64,
    /// Exclusive upper bound of the random part, which is distributed uniformly.
    pub jitter_ms: usize,
}

impl JitteredMs {
    /// Draws a duration in milliseconds.
    pub fn draw(&self, rng: &mut Mwc) -> i64 {
        self.min_ms + rng.below(self.jitter_ms) as i64
    }
}
