//! Accepts client connections up to the configured limit.

use super::server::Server;
use crate::logging::log_peer;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// How long to wait after a failed accept, and before evicting another connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Where connections are accepted.
pub trait Listener {
    /// Accepts one connection. May be cancelled, and loses none then.
    async fn accept(&mut self) -> io::Result<TcpStream>;
}

impl Listener for TcpListener {
    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        Ok(stream)
    }
}

/// Accepts connections and hands them to the server.
pub struct Acceptor<L> {
    listener: L,
    server: Rc<Server>,
    /// An accepted connection that waits until the registry is not full. It survives the cancellation of
    /// [`Self::run`], since its client may have sent a request already.
    pending: Option<TcpStream>,
}

impl<L: Listener> Acceptor<L> {
    /// An acceptor for the listener's connections.
    pub fn new(listener: L, server: Rc<Server>) -> Self {
        Acceptor { listener, server, pending: None }
    }

    /// Accepts connections forever. May be cancelled and run again.
    pub async fn run(&mut self) {
        loop {
            if self.pending.is_none() {
                self.accept().await;
            }
            if self.pending.is_some() {
                self.wait_for_capacity().await;
            }
            self.serve_pending();
        }
    }

    /// Serves the connections that are pending or in the kernel's accept queue, even if the registry is full, and
    /// closes the listener. Clients may have sent requests on queued connections, which closing would reset.
    pub async fn finish(mut self) {
        self.serve_pending();
        while let Ok(Ok(stream)) = timeout(Duration::ZERO, self.listener.accept()).await {
            self.server.serve(stream);
        }
    }

    /// Accepts one connection. Failures are temporary: no descriptor is free, or the client has disconnected already.
    async fn accept(&mut self) {
        match self.listener.accept().await {
            Ok(stream) => self.pending = Some(stream),
            Err(error) => {
                log_peer(format_args!("cannot accept: {error}"));
                self.server.registry().evict_one();
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    async fn wait_for_capacity(&self) {
        let registry = self.server.registry();
        while registry.is_full() {
            registry.evict_one();
            let _ = timeout(RETRY_INTERVAL, registry.changed()).await;
        }
    }

    fn serve_pending(&mut self) {
        if let Some(stream) = self.pending.take() {
            self.server.serve(stream);
        }
    }
}

#[cfg(test)]
#[path = "listener_tests.rs"]
mod tests;
