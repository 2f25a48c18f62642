//! The numbers of connections and the memory for bodies that fit into the limits of file
//! descriptors and memory.

use crate::limits::READ_BUFFER_BYTES;

/// File descriptors that are not available for client and endpoint connections, but reserved for
/// the standard streams, the listener, the async runtime, discovery and connects that fail.
const RESERVED_DESCRIPTORS: usize = 48;
/// The smallest number of connections: one to a client and one to an endpoint.
const MIN_CONNECTIONS: usize = 2;
/// The smallest valid value of `limits.sockets`.
pub(super) const MIN_SOCKETS: usize = RESERVED_DESCRIPTORS + MIN_CONNECTIONS;
/// Memory for the program's code, tables and queues: several times what they take.
const RESERVED_BYTES: usize = 8 << 20;
/// The most memory that a connection takes: hyper's buffers in both directions, the read-ahead, and
/// its tasks.
const CONNECTION_BYTES: usize = READ_BUFFER_BYTES + 16 * 1024;
/// The smallest memory for bodies, even if it exceeds the memory limit.
const MIN_BODY_MEMORY_BYTES: usize = 1 << 20;

/// The greatest numbers of connections and the memory for bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// The greatest number of client connections.
    pub max_client_connections: usize,
    /// The greatest number of connections to endpoints.
    pub max_endpoint_connections: usize,
    /// The memory for the bodies of requests and responses together, in bytes.
    pub body_memory_bytes: usize,
}

impl Capacity {
    /// Returns the capacity of a process that may open `descriptors` and use `memory_bytes`.
    pub(crate) fn from_limits(descriptors: usize, memory_bytes: usize) -> Self {
        let available_bytes = memory_bytes.saturating_sub(RESERVED_BYTES);
        let connections = connections(descriptors, available_bytes);
        let max_client_connections = connections / 2;
        Capacity {
            max_client_connections,
            max_endpoint_connections: connections - max_client_connections,
            body_memory_bytes: body_memory_bytes(connections, available_bytes),
        }
    }
}

/// Returns the greatest number of connections of both kinds together. However many clients connect,
/// this leaves descriptors for discovery and endpoints, and half of the memory for bodies.
fn connections(descriptors: usize, available_bytes: usize) -> usize {
    // The system may allow fewer descriptors than `MIN_SOCKETS`. Then half of them are reserved.
    let reserved = RESERVED_DESCRIPTORS.min(descriptors / 2);
    let by_descriptors = descriptors - reserved;
    let by_memory = available_bytes / 2 / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}

/// Returns three quarters of the memory that the connections leave; the last quarter is a safety
/// margin.
fn body_memory_bytes(connections: usize, available_bytes: usize) -> usize {
    let without_connections = available_bytes.saturating_sub(connections * CONNECTION_BYTES);
    (without_connections / 4 * 3).max(MIN_BODY_MEMORY_BYTES)
}

#[cfg(test)]
mod tests;
