//! Estimates of response times, of the work of requests and of the load of endpoints, from what a
//! node has observed.

mod declared_work;
pub(crate) mod load_snapshot;
mod response_times;
mod warm_endpoint_rate;

pub(crate) use declared_work::DeclaredWork;
pub(crate) use response_times::ResponseTimes;
pub(crate) use warm_endpoint_rate::WarmEndpointRate;
