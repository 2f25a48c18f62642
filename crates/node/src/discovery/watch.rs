//! Keeping the list up to date by push: a watch is always open, on which discovery sends changes.

use crate::discovery::error::DiscoveryError;
use crate::discovery::{Discovery, ListSource, next_address, parse_list};
use crate::logging::log;
use ottertiller_error_chain::ErrorChain;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

impl Discovery {
    /// Watches the list, and opens a new watch whenever one fails. The current list stays in use
    /// meanwhile.
    pub(super) async fn watch_forever(&mut self, mut addresses: watch::Receiver<SocketAddr>) {
        loop {
            let opened_at = Instant::now();
            tokio::select! {
                error = self.watch() => {
                    let wait = self.backoff.next_wait(opened_at.elapsed());
                    log_watch_failure(&error);
                    self.wait_before_watch(wait, &mut addresses).await;
                }
                address = next_address(&mut addresses) => self.change_address(address),
            }
        }
    }

    /// Waits before the next watch. Returns early if the address of discovery changes.
    async fn wait_before_watch(
        &mut self,
        wait: Duration,
        addresses: &mut watch::Receiver<SocketAddr>,
    ) {
        tokio::select! {
            () = sleep(wait) => {}
            address = next_address(addresses) => self.change_address(address),
        }
    }

    /// Watches the list until the watch fails, and returns the error.
    pub(super) async fn watch(&mut self) -> DiscoveryError {
        let Err(error) = self.apply_watched_lists().await;
        error
    }

    /// Opens a watch, and applies each list or delta that arrives on it.
    async fn apply_watched_lists(&mut self) -> Result<Infallible, DiscoveryError> {
        let mut watch = self.client.watch(self.version.number()).await?;
        loop {
            let text = watch.next_list().await?;
            if let Some(list) = parse_list(&text) {
                self.apply_list(list, ListSource::Watched).await;
            }
        }
    }
}

/// Logs the failure of a watch.
pub(super) fn log_watch_failure(error: &DiscoveryError) {
    let cause = ErrorChain(error);
    log(format_args!("endpoint list watch failed: {cause}"));
}
