//! The signals that the node acts upon: SIGHUP reloads the configuration, SIGTERM and SIGINT shut
//! the node down.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The receivers of all signals. A signal that arrives before its handler is installed ends the
/// process, so they are created before anything else.
pub struct Signals {
    /// Requests a reload of the configuration.
    pub reload: ReloadSignal,
    /// Requests a graceful shutdown.
    pub shutdown: ShutdownSignal,
}

impl Signals {
    /// Installs the handlers of all signals.
    pub fn install() -> io::Result<Self> {
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
pub struct ReloadSignal {
    hangup: Signal,
}

impl ReloadSignal {
    /// Waits for the next signal. Returns `None` if no further signal can arrive.
    pub async fn recv(&mut self) -> Option<()> {
        self.hangup.recv().await
    }
}

/// Receives SIGTERM and SIGINT.
pub struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignal {
    /// Waits for the first signal.
    pub async fn recv(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
