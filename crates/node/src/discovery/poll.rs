//! Keeping the list up to date by polling: the balancer commands when a watch is open, and each
//! failed call is reported to it.

use crate::discovery::error::DiscoveryError;
use crate::discovery::watch::log_watch_failure;
use crate::discovery::{Discovery, next_address};
use crate::message::DiscoveryCommand;
use ottertiller_balancer::ListKind;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

/// The state of the watch that the balancer commands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Subscription {
    /// The balancer wants no watch.
    Unsubscribed,
    /// A watch is open or being opened.
    Watching,
    /// The watch has failed. The failure was reported to the balancer, which sends a new command.
    Failed,
}

impl Subscription {
    /// Returns the state after the address of discovery has changed: a watch that had failed is
    /// opened at the new address.
    fn after_address_change(self) -> Self {
        match self {
            Subscription::Unsubscribed => Subscription::Unsubscribed,
            Subscription::Watching | Subscription::Failed => Subscription::Watching,
        }
    }
}

/// An event of the poll loop.
enum PollEvent {
    /// The balancer's next command; `None` once the node has ended.
    Command(Option<DiscoveryCommand>),
    /// The address of discovery has changed.
    AddressChanged(SocketAddr),
    /// The watch has failed.
    WatchFailed(DiscoveryError),
}

impl Discovery {
    /// Carries out the balancer's commands until the node has ended.
    pub(super) async fn poll_on_command(
        &mut self,
        mut commands: mpsc::Receiver<DiscoveryCommand>,
        mut addresses: watch::Receiver<SocketAddr>,
    ) {
        let mut subscription = Subscription::Unsubscribed;
        loop {
            let event = self
                .next_poll_event(subscription, &mut commands, &mut addresses)
                .await;
            match event {
                PollEvent::Command(Some(DiscoveryCommand::Subscribe)) => {
                    subscription = Subscription::Watching;
                }
                PollEvent::Command(Some(DiscoveryCommand::Unsubscribe)) => {
                    subscription = Subscription::Unsubscribed;
                }
                PollEvent::Command(None) => return,
                PollEvent::AddressChanged(address) => {
                    self.change_address(address);
                    subscription = subscription.after_address_change();
                }
                PollEvent::WatchFailed(error) => {
                    log_watch_failure(&error);
                    subscription = Subscription::Failed;
                    self.publish(ListKind::Failed, Vec::new()).await;
                }
            }
        }
    }

    /// Waits for the next event. Meanwhile, a watch is open if the balancer has commanded one.
    async fn next_poll_event(
        &mut self,
        subscription: Subscription,
        commands: &mut mpsc::Receiver<DiscoveryCommand>,
        addresses: &mut watch::Receiver<SocketAddr>,
    ) -> PollEvent {
        let is_watching = subscription == Subscription::Watching;
        tokio::select! {
            command = commands.recv() => PollEvent::Command(command),
            address = next_address(addresses) => PollEvent::AddressChanged(address),
            error = self.watch(), if is_watching => PollEvent::WatchFailed(error),
        }
    }
}
