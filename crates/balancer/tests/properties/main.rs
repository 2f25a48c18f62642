//! Properties that hold in random legal histories.

mod invariants;
mod slow_start_limit;

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Returns a configuration for that many cases, which are the same in each run.
fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_128),
        ..Config::default()
    }
}
