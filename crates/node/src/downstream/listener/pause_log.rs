//! Logs when new client connections have to wait for room.

use crate::downstream::connection_registry::ConnectionRegistry;
use crate::logging::log_rate_limited;
use std::time::Duration;
use tokio::time::Instant;

/// Waits for room that take less than this are not logged.
const LOGGED_WAIT: Duration = Duration::from_millis(100);

/// Follows how long new connections wait for room, for the log.
#[derive(Default)]
pub(super) struct PauseLog {
    /// Since when connections have been waiting, if any are.
    waiting_since: Option<Instant>,
    is_logged: bool,
}

impl PauseLog {
    /// Records that a connection waits because the registry is full.
    pub(super) fn record_wait(&mut self, registry: &ConnectionRegistry) {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        if !self.is_logged && since.elapsed() >= LOGGED_WAIT {
            self.is_logged = true;
            let counts = registry.state_counts();
            log_rate_limited(format_args!("no room for new client connections: {counts}"));
        }
    }

    /// Records that no connection has to wait.
    pub(super) fn record_room(&mut self) {
        let Some(since) = self.waiting_since.take() else {
            return;
        };
        if std::mem::take(&mut self.is_logged) {
            log_rate_limited(format_args!(
                "room for new client connections again, after {} ms",
                since.elapsed().as_millis()
            ));
        }
    }
}
