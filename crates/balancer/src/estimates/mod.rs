//! What a node has observed of response times, of the work of requests and of the load on
//! endpoints. Estimates decide nothing.

mod declared_work;
mod endpoint_share;
pub mod load_snapshot;
mod response_times;

pub use declared_work::DeclaredWork;
pub use endpoint_share::EndpointShare;
pub use response_times::ResponseTimes;
