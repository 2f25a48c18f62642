//! Where the list must be polled: the balancer commands when, and every call that fails is reported
//! to it.

use crate::discovery::error::ClientError;
use crate::discovery::{Discovery, next_address};
use crate::logging::log;
use crate::message::DiscoveryCommand;
use ottertiller_balancer::ListKind;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

/// Whether the balancer wants a watch, and whether there is one: it learns of a broken one and
/// decides anew.
#[derive(Clone, Copy, Default)]
struct Subscription {
    wanted: bool,
    watching: bool,
}

enum PollEvent {
    /// The balancer's next command; `None` once the node has ended.
    Command(Option<DiscoveryCommand>),
    DiscoveryMoved(SocketAddr),
    WatchBroken(ClientError),
}

impl Discovery {
    /// Carries out the balancer's commands.
    pub(super) async fn poll_on_command(
        &mut self,
        mut commands: mpsc::Receiver<DiscoveryCommand>,
        mut addresses: watch::Receiver<SocketAddr>,
    ) {
        let mut subscription = Subscription::default();
        loop {
            match self
                .next_poll_event(subscription, &mut commands, &mut addresses)
                .await
            {
                PollEvent::Command(Some(DiscoveryCommand::Subscribe)) => {
                    subscription = Subscription {
                        wanted: true,
                        watching: true,
                    };
                }
                PollEvent::Command(Some(DiscoveryCommand::Unsubscribe)) => {
                    subscription = Subscription::default();
                }
                PollEvent::Command(None) => return,
                PollEvent::DiscoveryMoved(address) => {
                    self.move_to(address);
                    subscription.watching = subscription.wanted;
                }
                PollEvent::WatchBroken(error) => {
                    log(format_args!("endpoint list watch failed: {error}"));
                    subscription.watching = false;
                    self.publish(ListKind::Failed, Vec::new()).await;
                }
            }
        }
    }

    /// The next event; a watch is open meanwhile if there is to be one.
    async fn next_poll_event(
        &mut self,
        subscription: Subscription,
        commands: &mut mpsc::Receiver<DiscoveryCommand>,
        addresses: &mut watch::Receiver<SocketAddr>,
    ) -> PollEvent {
        tokio::select! {
            command = commands.recv() => PollEvent::Command(command),
            address = next_address(addresses) => PollEvent::DiscoveryMoved(address),
            error = self.watch(), if subscription.watching => PollEvent::WatchBroken(error),
        }
    }
}
