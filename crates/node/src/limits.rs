//! Limits of the protocol and of hyper that several parts of the node share.

/// The largest body of a request or a response, in bytes; the protocol's limit.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// How much each connection may buffer, in bytes. A message's head must fit into it. The least that
/// hyper allows.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;
