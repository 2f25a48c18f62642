//! TCP streams for hyper, and handles by which the owner of a connection can still inspect it.

#[cfg(test)]
pub mod fault_injection;
mod handle;
mod read_ahead;
mod shared;
mod stream;
mod system_calls;

pub use handle::Handle;
pub use stream::Socket;
pub use system_calls::connect;

#[cfg(test)]
mod tests;
