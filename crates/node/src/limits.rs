//! Limits of the protocol and of hyper that several parts of the node share.

/// The largest body of a request or response, in bytes, as the protocol limits it.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The size of each connection's read buffer, in bytes. It is the smallest that hyper allows. A
/// message's head must fit into it.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;
