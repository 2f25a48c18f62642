//! Accepts client connections up to the configured limit.

mod accept_error;
mod pause_log;
mod waiting_connections;

use super::connection_registry::ConnectionRegistry;
use super::eviction::EvictionReason;
use super::http_server::{AcceptedConnection, HttpServer, ServiceMode};
use super::timeouts::READ_TIMEOUT;
use crate::logging::log_rate_limited;
use accept_error::AcceptErrorKind;
use pause_log::PauseLog;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use waiting_connections::WaitingConnections;

/// How long to wait after a failed accept, and how long to wait at most for a change of a full
/// registry before eviction is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How long a client that has sent something may wait for room before its request is shed. Every
/// request is due a final response half a second after its deadline, however short that is.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// How long a client that has sent something may wait for room while no further connection is
/// accepted because too many wait.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// The smallest limit of accepted connections that wait for room.
const MIN_WAITING: usize = 4;
/// The greatest limit of accepted connections that wait for room.
const MAX_WAITING: usize = 16;
/// The number of connections in the registry for each one that may wait.
const WAITING_DIVISOR: usize = 16;
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
    /// The accepted connections that wait until the registry is not full. They are kept here to
    /// survive the cancellation of [`Self::run`], since their clients may have sent requests.
    waiting: WaitingConnections,
    /// The number of places in the registry that are kept for clients that have sent something.
    places_for_senders: usize,
    pause_log: PauseLog,
}

impl<L: Listener> Acceptor<L> {
    /// Creates an acceptor for the listener's connections.
    pub(super) fn new(listener: L, server: Rc<HttpServer>) -> Self {
        let max_connections = server.registry().max_connections();
        let places_for_senders = (max_connections / WAITING_DIVISOR).min(MAX_WAITING);
        let max_waiting = places_for_senders.max(MIN_WAITING);
        Acceptor {
            listener,
            server,
            waiting: WaitingConnections::new(max_waiting),
            places_for_senders,
            pause_log: PauseLog::default(),
        }
    }

    /// Accepts and serves connections. Never returns, but may be cancelled and called again.
    pub(super) async fn run(&mut self) {
        loop {
            // Biased, so that a client that has sent a request is found behind silent ones.
            tokio::select! {
                biased;
                result = self.listener.accept(), if !self.waiting.exceeds_limit() => {
                    match result {
                        Ok(stream) => self.waiting.push(stream),
                        Err(error) => self.recover(error).await,
                    }
                }
                () = room_or_request(self.server.registry(), &self.waiting),
                    if !self.waiting.is_empty() => {}
            }
            self.serve_waiting();
        }
    }

    /// Serves the connections that wait or are in the kernel's accept queue, even if the registry
    /// is full, and closes the listener. Clients may have sent requests on queued connections,
    /// which the close would reset.
    pub(super) async fn finish(mut self) {
        while let Some(accepted) = self.waiting.take_next() {
            self.server.serve(accepted, ServiceMode::Serve);
        }
        let mut failures = 0;
        for _ in 0..MAX_QUEUED_CONNECTIONS {
            // An accept waits only if the queue is empty. The zero timeout ends this wait.
            match timeout(Duration::ZERO, self.listener.accept()).await {
                Ok(Ok(stream)) => {
                    let accepted = AcceptedConnection::now(stream);
                    self.server.serve(accepted, ServiceMode::Serve);
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

    /// Serves the connections that wait, as far as there is room, and makes room for the first other
    /// one whose client has sent something.
    fn serve_waiting(&mut self) {
        let server = &self.server;
        let registry = server.registry();
        self.waiting.update();
        while !registry.is_full() {
            let has_room_for_silent = registry.free_places() > self.places_for_senders;
            let next = if has_room_for_silent {
                self.waiting.take_next()
            } else {
                self.waiting.take_sender()
            };
            match next {
                Some(accepted) => server.serve(accepted, ServiceMode::Serve),
                None => break,
            }
        }
        self.waiting.close_silent(READ_TIMEOUT);
        if self.waiting.has_sender() {
            self.pause_log.record_wait(registry);
            registry.evict_one(EvictionReason::RegistryFull);
        } else {
            self.pause_log.record_room();
        }
        self.shorten_queue();
    }

    /// Closes the first connection that waits if too many do and its client has sent nothing, and
    /// sheds requests that have waited for too long.
    fn shorten_queue(&mut self) {
        if self.waiting.exceeds_limit() {
            self.waiting.close_first_if_silent();
        }
        let max_excess = self.waiting.max_length();
        while self.waiting.sender_has_waited(self.max_wait())
            && !self.server.registry().exceeds_limit_by(max_excess)
        {
            self.shed_first_sender();
        }
    }

    /// Returns how long a client that has sent something may wait for room now.
    fn max_wait(&self) -> Duration {
        if self.waiting.exceeds_limit() {
            MIN_WAIT
        } else {
            MAX_WAIT
        }
    }

    /// Serves the first connection whose client has sent something, and sheds its request.
    fn shed_first_sender(&mut self) {
        if let Some(accepted) = self.waiting.take_sender() {
            self.server.serve(accepted, ServiceMode::Shed);
        }
    }
}

/// Waits until a connection that waits may be served: after a change of the registry, if its client
/// sends something, or after [`RETRY_INTERVAL`], since a connection that takes too long to close is
/// aborted only by a later eviction.
async fn room_or_request(registry: &ConnectionRegistry, waiting: &WaitingConnections) {
    tokio::select! {
        () = registry.changed() => {}
        () = waiting.client_sends() => {}
        () = sleep(RETRY_INTERVAL) => {}
    }
}

#[cfg(test)]
mod tests;
