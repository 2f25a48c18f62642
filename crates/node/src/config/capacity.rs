//! How many connections and body bytes fit into the configured limits of descriptors and memory.

use crate::limits::READ_BUFFER_BYTES;

/// Descriptors for all but connections: standard streams, listener, runtime, discovery, failing
/// connects.
const RESERVED_DESCRIPTORS: usize = 48;
/// One connection to a client and one to an endpoint.
const MIN_CONNECTIONS: usize = 2;
/// The smallest number of sockets that can be configured.
pub(super) const MIN_SOCKETS: usize = RESERVED_DESCRIPTORS + MIN_CONNECTIONS;
/// Memory for the program's code, tables and queues: several times what is measured.
const RESERVED_BYTES: usize = 8 << 20;
/// The most memory that a connection takes: hyper's buffers in both directions, the read-ahead, and
/// its tasks.
const CONNECTION_BYTES: usize = READ_BUFFER_BYTES + 16 * 1024;
/// The smallest memory for bodies, whatever the limits say.
const MIN_BODY_BYTES: usize = 1 << 20;

/// The most that the node holds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// The most client connections.
    pub client_connections: usize,
    /// The most connections to endpoints.
    pub endpoint_connections: usize,
    /// The most bytes of request and response bodies together.
    pub body_bytes: usize,
}

impl Capacity {
    /// Returns the capacity of a process that may open `descriptors` and use `memory_bytes`.
    pub(crate) fn within(descriptors: usize, memory_bytes: usize) -> Self {
        let available_bytes = memory_bytes.saturating_sub(RESERVED_BYTES);
        let connections = connections(descriptors, available_bytes);
        let client_connections = connections / 2;
        Capacity {
            client_connections,
            endpoint_connections: connections - client_connections,
            body_bytes: body_bytes(connections, available_bytes),
        }
    }
}

/// Returns the most connections of both kinds. Whatever clients do, this leaves descriptors for
/// discovery and endpoints, and half of the memory for bodies.
fn connections(descriptors: usize, available_bytes: usize) -> usize {
    // The system may allow fewer descriptors than `MIN_SOCKETS`: then half of them are reserved.
    let reserved = RESERVED_DESCRIPTORS.min(descriptors / 2);
    let by_descriptors = descriptors - reserved;
    let by_memory = available_bytes / 2 / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}

/// Returns three quarters of the memory that the connections leave; the last quarter is a safety
/// margin.
fn body_bytes(connections: usize, available_bytes: usize) -> usize {
    let without_connections = available_bytes.saturating_sub(connections * CONNECTION_BYTES);
    (without_connections / 4 * 3).max(MIN_BODY_BYTES)
}

#[cfg(test)]
mod tests;
