//! Limits of the protocol and of hyper that several parts of the node share.

/// The largest body of a request or a response, in bytes (protocol).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What a connection may buffer, in bytes; no message head is longer. The least that hyper allows.
pub const READ_BUFFER_BYTES: usize = 8 * 1024;
