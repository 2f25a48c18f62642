//! Numeric types for estimates and decisions: moving averages, rates, token buckets, times and
//! random numbers.

mod decaying_rate;
mod moving_average;
mod random;
mod seconds;
mod token_bucket;

pub(crate) use decaying_rate::DecayingRate;
pub(crate) use moving_average::{SLOW_SMOOTHING, SMOOTHING, smooth};
pub use random::Random;
pub(crate) use seconds::Seconds;
pub(crate) use token_bucket::TokenBucket;
