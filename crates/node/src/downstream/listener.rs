//! Accepts client connections, as far as there is a place for them.

use super::server::Server;
use crate::logging::log_peer;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// How soon an accept that failed is tried again, and how soon another connection is evicted.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections and hands them to the server.
pub struct Acceptor {
    listener: TcpListener,
    server: Rc<Server>,
    /// A connection that is accepted and waits for a place. It outlives a cancelled [`Self::run`], since it may hold a
    /// request already.
    pending: Option<TcpStream>,
}

impl Acceptor {
    /// An acceptor for the listener's connections.
    pub fn new(listener: TcpListener, server: Rc<Server>) -> Self {
        Acceptor { listener, server, pending: None }
    }

    /// Accepts connections forever. May be cancelled and run again.
    pub async fn run(&mut self) {
        loop {
            if self.pending.is_none() {
                self.accept().await;
            }
            if self.pending.is_some() {
                self.wait_for_place().await;
            }
            self.serve_pending();
        }
    }

    /// Serves what has been accepted or waits to be, whether there is a place or not, and closes the listener. A
    /// connection that waits in the queue may hold a request already: closing the listener would reset it.
    pub async fn finish(mut self) {
        self.serve_pending();
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, self.listener.accept()).await {
            self.server.serve(stream);
        }
    }

    /// Accepts one connection. A failure, for want of descriptors or since the client has left already, is no reason
    /// to end.
    async fn accept(&mut self) {
        match self.listener.accept().await {
            Ok((stream, _)) => self.pending = Some(stream),
            Err(error) => {
                log_peer(format_args!("cannot accept: {error}"));
                self.server.registry().evict_one();
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    async fn wait_for_place(&self) {
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
