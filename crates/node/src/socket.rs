//! TCP streams for hyper, and handles by which the owner of a connection can still inspect it.

#[cfg(test)]
pub(crate) mod fault_injection;
mod handle;
mod read_ahead;
mod shared;
mod stream;
mod system_calls;

pub(crate) use handle::Handle;
pub(crate) use stream::Socket;
pub(crate) use system_calls::connect;

#[cfg(test)]
mod tests;
