//! Where changes of the list are pushed: a watch for good.

use crate::discovery::error::ClientError;
use crate::discovery::{Discovery, ListSource, next_address};
use crate::logging::log;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

impl Discovery {
    /// Watches for good. While a watch is broken, the list stays as it is.
    pub(super) async fn watch_forever(&mut self, mut addresses: watch::Receiver<SocketAddr>) {
        loop {
            let opened = Instant::now();
            tokio::select! {
                error = self.watch() => {
                    let wait = self.backoff.next_wait(opened.elapsed());
                    log(format_args!("endpoint list watch failed: {error}"));
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

    /// Watches until that breaks; returns why.
    pub(super) async fn watch(&mut self) -> ClientError {
        let Err(error) = self.apply_watched_lists().await;
        error
    }

    async fn apply_watched_lists(&mut self) -> Result<Infallible, ClientError> {
        let mut watch = self.client.watch(self.version).await?;
        loop {
            let list = watch.next_list().await?;
            self.apply_list(&list, ListSource::Watched).await;
        }
    }
}
