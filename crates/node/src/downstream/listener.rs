//! Accepts client connections up to the configured limit.

mod accept_error;
mod pause_log;

use super::eviction::EvictionReason;
use super::http_server::HttpServer;
use crate::logging::log_rate_limited;
use accept_error::AcceptErrorKind;
use pause_log::PauseLog;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How long to wait after a failed accept, and how long to wait at most for a change of a full
/// registry before eviction is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The greatest number of connections that are accepted from the kernel's queue before the listener
/// is closed: as many as the queue holds. Without a limit, clients that reconnect at once could
/// keep the queue filled, and the shutdown would never end.
const MAX_QUEUED_CONNECTIONS: usize = 1024;
/// How many accepts from the queue may fail in a row before the listener is closed. Single failures
/// do not close it, since that resets the connections left in the queue.
const MAX_CONSECUTIVE_FAILURES: u32 = 16;

/// A source of new connections.
pub(super) trait Listener {
    /// Accepts one connection. Cancelling it loses no connection.
    ///
    /// # Errors
    ///
    /// Returns the error of accept(2). All errors are temporary.
    async fn accept(&mut self) -> io::Result<TcpStream>;
}

impl Listener for TcpListener {
    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        Ok(stream)
    }
}

/// Accepts connections and hands them to the server.
pub(super) struct Acceptor<L> {
    listener: L,
    server: Rc<HttpServer>,
    /// An accepted connection that waits until the registry is not full. It is kept here to survive
    /// the cancellation of [`Self::run`], since its client may have sent a request already.
    pending: Option<TcpStream>,
    pause_log: PauseLog,
}

impl<L: Listener> Acceptor<L> {
    /// Creates an acceptor for the listener's connections.
    pub(super) fn new(listener: L, server: Rc<HttpServer>) -> Self {
        Acceptor {
            listener,
            server,
            pending: None,
            pause_log: PauseLog::default(),
        }
    }

    /// Accepts and serves connections. Never returns, but may be cancelled and called again.
    pub(super) async fn run(&mut self) {
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

    /// Serves the connections that are pending or in the kernel's accept queue, even if the
    /// registry is full, and closes the listener. Clients may have sent requests on queued
    /// connections, which the close would reset.
    pub(super) async fn finish(mut self) {
        self.serve_pending();
        let mut failures = 0;
        for _ in 0..MAX_QUEUED_CONNECTIONS {
            // An accept waits only if the queue is empty. The zero timeout ends this wait.
            match timeout(Duration::ZERO, self.listener.accept()).await {
                Ok(Ok(stream)) => {
                    self.server.serve(stream);
                    failures = 0;
                }
                Ok(Err(error)) if failures < MAX_CONSECUTIVE_FAILURES => {
                    self.recover(error).await;
                    failures += 1;
                }
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    /// Accepts one connection and makes it the pending one, or recovers from a failure.
    async fn accept(&mut self) {
        match self.listener.accept().await {
            Ok(stream) => self.pending = Some(stream),
            Err(error) => self.recover(error).await,
        }
    }

    /// Logs an accept error, evicts a connection if that helps, and waits before the next accept.
    async fn recover(&self, error: io::Error) {
        log_rate_limited(format_args!("cannot accept a connection: {error}"));
        match AcceptErrorKind::from(&error) {
            // Only this accept has failed, so there is nothing to wait for. Since the next accepts
            // may fail too, this yields to the other tasks.
            AcceptErrorKind::OneConnection => return yield_now().await,
            AcceptErrorKind::OutOfDescriptors => {
                let registry = self.server.registry();
                registry.evict_one(EvictionReason::OutOfDescriptors);
            }
            AcceptErrorKind::SystemResources => {}
        }
        sleep(RETRY_INTERVAL).await;
    }

    /// Evicts connections until the registry is not full. Tries again after each change of the
    /// registry, and after [`RETRY_INTERVAL`] without one, since a connection that takes too long
    /// to close is aborted only by a later eviction.
    async fn wait_for_capacity(&mut self) {
        let registry = self.server.registry();
        while registry.is_full() {
            self.pause_log.record_wait(registry);
            registry.evict_one(EvictionReason::RegistryFull);
            let _ = timeout(RETRY_INTERVAL, registry.changed()).await;
        }
        self.pause_log.record_room();
    }

    /// Serves the pending connection, if there is one.
    fn serve_pending(&mut self) {
        if let Some(stream) = self.pending.take() {
            self.server.serve(stream);
        }
    }
}

#[cfg(test)]
mod tests;
