//! An address at which connections are refused.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;

/// An address at which connections are refused. Its port is bound, so that nobody else listens
/// there, but it does not listen itself.
pub struct RefusingAddress {
    pub address: SocketAddr,
    _socket: Socket,
}

impl RefusingAddress {
    /// Reserves such an address.
    pub fn reserve() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).expect("a port");
        let address = socket
            .local_addr()
            .expect("its address")
            .as_socket()
            .expect("an IP address");
        RefusingAddress {
            address,
            _socket: socket,
        }
    }
}
