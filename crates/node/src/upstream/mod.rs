//! The upstream side: connections to endpoints, attempts of requests and health checks.

pub mod attempt;
pub mod pool;
