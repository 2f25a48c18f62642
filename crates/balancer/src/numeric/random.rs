//! The source of random numbers.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// The seeded source of all random draws.
pub struct Random(Pcg32);

impl Random {
    /// Returns a source of which the same seed gives the same draws.
    pub fn new(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// Returns a random number from 0 up to, but not including, 1.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}
