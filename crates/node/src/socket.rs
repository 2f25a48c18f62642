//! TCP streams for hyper, each with a handle through which the owner of the connection inspects the
//! stream while hyper reads and writes it.

#[cfg(test)]
pub(crate) mod fault_injection;
mod handle;
mod read_ahead;
mod request_gate;
mod request_scanner;
mod shared;
mod stream;
mod system_calls;

pub(crate) use handle::SocketHandle;
pub(crate) use stream::Socket;
pub(crate) use system_calls::{Unread, connect, unread, unread_after_event};

#[cfg(test)]
mod tests;
