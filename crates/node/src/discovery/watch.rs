//! Where changes of the list are pushed: a watch for good.

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
    /// Watches the list, and opens the watch anew whenever it fails. The list stays as it is
    /// meanwhile.
    pub(super) async fn watch_forever(&mut self, mut addresses: watch::Receiver<SocketAddr>) {
        loop {
            let opened = Instant::now();
            tokio::select! {
                error = self.watch() => {
                    let wait = self.backoff.next_wait(opened.elapsed());
                    log_watch_failure(&error);
                    self.wait_to_watch_again(wait, &mut addresses).await;
                }
                address = next_address(&mut addresses) => self.move_to(address),
            }
        }
    }

    /// Waits before the next watch, unless discovery moves meanwhile.
    async fn wait_to_watch_again(
        &mut self,
        wait: Duration,
        addresses: &mut watch::Receiver<SocketAddr>,
    ) {
        tokio::select! {
            () = sleep(wait) => {}
            address = next_address(addresses) => self.move_to(address),
        }
    }

    /// Watches the list until that fails, and returns why.
    pub(super) async fn watch(&mut self) -> DiscoveryError {
        let Err(error) = self.apply_watched_lists().await;
        error
    }

    /// Applies each list that a watch brings.
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

/// Logs why a watch has failed.
pub(super) fn log_watch_failure(error: &DiscoveryError) {
    let cause = ErrorChain(error);
    log(format_args!("endpoint list watch failed: {cause}"));
}
