//! Numeric building blocks of estimates and decisions: moving averages, rates, token buckets, times
//! and random numbers.

mod decaying_rate;
mod moving_average;
mod random;
mod seconds;
mod token_bucket;

pub use decaying_rate::DecayingRate;
pub use moving_average::{SMOOTHING, smooth};
pub use random::Random;
pub use seconds::Seconds;
pub use token_bucket::TokenBucket;
