//! The configuration that the property tests of all packages share. A development dependency only.

use proptest::test_runner::{Config, RngSeed};

/// A run of `cases` cases that a fixed seed determines, so that every run and every machine tests the same ones.
/// A failing case is not written to a file: the seed reproduces it.
#[must_use]
pub fn seeded_cases(cases: u32, seed: u64) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
