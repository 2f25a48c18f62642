//! The signals that the node handles: SIGHUP reloads the configuration, SIGTERM and SIGINT shut the
//! node down.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The receivers of all handled signals. A signal that arrives before its handler is installed
/// terminates the process, so the handlers are installed before anything else is done.
pub(crate) struct Signals {
    /// Requests a reload of the configuration.
    pub reload: ReloadSignal,
    /// Requests a graceful shutdown.
    pub shutdown: ShutdownSignal,
}

impl Signals {
    /// Installs the handlers of all handled signals.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Signals {
            reload: ReloadSignal {
                hangup: signal(SignalKind::hangup())?,
            },
            shutdown: ShutdownSignal {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
        })
    }
}

/// Receives SIGHUP.
pub(crate) struct ReloadSignal {
    hangup: Signal,
}

impl ReloadSignal {
    /// Waits for the next signal. Returns `None` if no further signal can arrive.
    pub(crate) async fn recv(&mut self) -> Option<()> {
        self.hangup.recv().await
    }
}

/// Receives SIGTERM and SIGINT.
pub(crate) struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignal {
    /// Waits for the first signal.
    pub(crate) async fn recv(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
