//! Accepts client connections up to the configured limit.

use super::eviction::EvictionReason;
use super::server::Server;
use crate::logging::log_peer;
use rustix::io::Errno;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// How long to wait after a failed accept, and before evicting another connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What a failed accept means for the connections that there are. Linux documents the errors in
/// accept(2).
enum AcceptFailure {
    /// This process has no descriptor left: closing a connection helps.
    OutOfDescriptors,
    /// The system is short of something that is not this process's to free.
    SystemResources,
    /// The connection to be accepted has failed, or the call was interrupted. The next one may
    /// succeed.
    OneConnection,
}

impl AcceptFailure {
    fn of(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
            Some(
                Errno::CONNABORTED
                | Errno::INTR
                | Errno::PROTO
                | Errno::NETDOWN
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
                | Errno::TIMEDOUT,
            ) => AcceptFailure::OneConnection,
            // ENFILE, ENOBUFS, ENOMEM, and what is not documented.
            _ => AcceptFailure::SystemResources,
        }
    }
}

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

/// As many connections as the kernel's queue holds. Clients that come again at once would otherwise
/// keep it filled, and the shutdown waiting, for good.
const MAX_QUEUED_CONNECTIONS: usize = 1024;
/// How often in a row accepting the last connections may fail: closing the listener resets those
/// that are left.
const MAX_LAST_FAILURES: u32 = 16;

/// Accepts connections and hands them to the server.
pub struct Acceptor<L> {
    listener: L,
    server: Rc<Server>,
    /// An accepted connection that waits until the registry is not full. It survives the
    /// cancellation of [`Self::run`], since its client may have sent a request already.
    pending: Option<TcpStream>,
}

impl<L: Listener> Acceptor<L> {
    /// An acceptor for the listener's connections.
    pub fn new(listener: L, server: Rc<Server>) -> Self {
        Acceptor {
            listener,
            server,
            pending: None,
        }
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

    /// Serves the connections that are pending or in the kernel's accept queue, even if the
    /// registry is full, and closes the listener. Clients may have sent requests on queued
    /// connections, which closing would reset.
    pub async fn finish(mut self) {
        self.serve_pending();
        let mut failures = 0;
        for _ in 0..MAX_QUEUED_CONNECTIONS {
            match timeout(Duration::ZERO, self.listener.accept()).await {
                Ok(Ok(stream)) => {
                    self.server.serve(stream);
                    failures = 0;
                }
                Ok(Err(error)) if failures < MAX_LAST_FAILURES => {
                    self.recover(error).await;
                    failures += 1;
                }
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    /// Accepts one connection. All failures are temporary.
    async fn accept(&mut self) {
        match self.listener.accept().await {
            Ok(stream) => self.pending = Some(stream),
            Err(error) => self.recover(error).await,
        }
    }

    /// Does what helps against a failure, and waits as long as it needs.
    async fn recover(&self, error: io::Error) {
        log_peer(format_args!("cannot accept: {error}"));
        match AcceptFailure::of(&error) {
            // A turn of the loop for the others, should the next ones have failed as well.
            AcceptFailure::OneConnection => return yield_now().await,
            AcceptFailure::OutOfDescriptors => self
                .server
                .registry()
                .evict_one(EvictionReason::OutOfDescriptors),
            AcceptFailure::SystemResources => {}
        }
        sleep(RETRY_INTERVAL).await;
    }

    async fn wait_for_capacity(&self) {
        let registry = self.server.registry();
        while registry.is_full() {
            registry.evict_one(EvictionReason::RegistryFull);
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
mod tests;
