//! Limits of the protocol and of hyper that several modules share.

/// The largest request or response body that the protocol allows, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// The size of each connection's read buffer, in bytes: the smallest that hyper allows. The head of
/// a request or response must fit into it.
pub(crate) const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The greatest number of headers that hyper accepts in a request or response.
pub(crate) const MAX_HEADERS: usize = 100;
