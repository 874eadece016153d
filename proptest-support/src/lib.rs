//! The proptest configuration that the property tests of all packages share. Used as a development dependency only.

use proptest::test_runner::{Config, RngSeed};

/// A configuration with `cases` test cases, generated from a fixed seed: each run tests the same cases on every
/// machine. Failing cases are not saved to a file, since the seed reproduces them.
#[must_use]
pub fn seeded_cases(cases: u32, seed: u64) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
