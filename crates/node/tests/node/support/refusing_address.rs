//! Reserves addresses at which connections are refused.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;

/// An address at which connections are refused. Its port is bound, so that no other process can
/// listen there, but nothing listens on it.
pub(crate) struct RefusingAddress {
    pub address: SocketAddr,
    _socket: Socket,
}

impl RefusingAddress {
    /// Binds a free port without listening on it.
    pub(crate) fn reserve() -> Self {
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket should be created");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket
            .bind(&any_port.into())
            .expect("loopback port should bind");
        let address = socket
            .local_addr()
            .expect("socket should have an address")
            .as_socket()
            .expect("address should be an IP address");
        RefusingAddress {
            address,
            _socket: socket,
        }
    }
}
