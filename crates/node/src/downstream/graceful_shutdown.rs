//! The graceful shutdown of the downstream side, which drains it in phases.
//!
//! ```text
//! Serving --shutdown signal--> Draining --0.55 s--> Shedding --no connection left--> end
//!                                                           --drain timeout-------> end
//! ```

use super::connection_registry::ConnectionRegistry;
use super::listener::{Acceptor, Listener};
use super::shutdown_phase::ShutdownPhase;
use crate::logging::log;
use crate::message::DriverMessage;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// How long new connections are accepted after the shutdown signal. Clients may still open
/// connections for up to 0.4 s after it; the remaining 50 ms are a margin.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// How long the clients that were accepted last have to send their requests. After that, idle
/// connections are closed and further requests are shed.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// How long clients have to end their connections once every request has been given its final
/// response.
const FINAL_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Shuts the downstream side down without losing an accepted request.
pub(super) struct GracefulShutdown {
    /// The current phase, which the other parts of the downstream side read.
    pub phase: Rc<Cell<ShutdownPhase>>,
    /// The client connections.
    pub registry: Rc<ConnectionRegistry>,
    /// The driver, which is told to end the requests that are still in flight after the drain
    /// timeout.
    pub driver: mpsc::Sender<DriverMessage>,
    /// How long the requests in flight may take once no further ones are served: the longest
    /// deadline of any request class.
    pub drain_timeout: Duration,
}

impl GracefulShutdown {
    /// Drains: accepts the last connections, serves every request on them, and waits until all
    /// connections have ended.
    pub(super) async fn drain(&self, mut acceptor: Acceptor<impl Listener>) {
        self.phase.set(ShutdownPhase::Draining);
        let _ = timeout(DRAIN_ACCEPT_PERIOD, acceptor.run()).await;
        acceptor.finish().await;
        sleep(LAST_REQUEST_GRACE).await;
        self.phase.set(ShutdownPhase::Shedding);
        self.registry.shut_down_idle();
        if !self.connections_end_within(self.drain_timeout).await {
            self.end_overdue_requests().await;
        }
    }

    /// Makes the driver send the final response to every admitted request now, even if its client
    /// would wait longer. All requests that became complete later have been shed.
    async fn end_overdue_requests(&self) {
        // Fails only when the driver has ended.
        let _ = self.driver.send(DriverMessage::Shutdown).await;
        if !self.connections_end_within(FINAL_CLOSE_TIMEOUT).await {
            log("drain incomplete: client connections still open");
        }
    }

    /// Waits until all connections have ended. Returns false if they have not within `limit`.
    async fn connections_end_within(&self, limit: Duration) -> bool {
        timeout(limit, self.registry.wait_until_empty())
            .await
            .is_ok()
    }
}
