//! Random numbers.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// A seeded random number generator.
pub struct Random(Pcg32);

impl Random {
    /// Returns a generator. The same seed always gives the same sequence.
    pub fn new(seed: u64) -> Self {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// Returns a uniformly distributed number from 0 up to, but not including, 1.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 2f64.powi(32)
    }
}
