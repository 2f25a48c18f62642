//! What a node has observed of response times, of the work of requests and of the load on
//! endpoints. Estimates decide nothing.

mod declared_work;
mod endpoint_share;
pub(crate) mod load_snapshot;
mod response_times;

pub(crate) use declared_work::DeclaredWork;
pub(crate) use endpoint_share::WarmEndpointRate;
pub(crate) use response_times::ResponseTimes;
