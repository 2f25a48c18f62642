//! The signals that the node acts upon: SIGHUP reloads the configuration, SIGTERM and SIGINT shut
//! the node down.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handlers of all signals. A signal that comes before its handler is installed ends the
/// process, so these are made before anything else.
pub struct Signals {
    /// Asks for a reload of the configuration.
    pub reload: ReloadSignal,
    /// Asks for a graceful shutdown.
    pub shutdown: ShutdownSignal,
}

impl Signals {
    /// Installs the handlers.
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

/// SIGHUP.
pub struct ReloadSignal {
    hangup: Signal,
}

impl ReloadSignal {
    /// Waits for the next signal; `None` if there can be none any more.
    pub async fn recv(&mut self) -> Option<()> {
        self.hangup.recv().await
    }
}

/// SIGTERM or SIGINT.
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
