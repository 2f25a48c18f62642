//! Properties that hold for all valid event histories, checked with random ones.

mod invariants;
mod slow_start_limit;

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Returns a configuration for this number of cases. The fixed seed makes them the same in each
/// run.
fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_128),
        ..Config::default()
    }
}
