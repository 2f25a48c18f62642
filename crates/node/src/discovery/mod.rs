//! Discovery: the list of endpoints, and how it is kept up to date.

mod backoff;
mod client;
mod endpoint_list;
mod error;
mod framing;
mod list_deadline;
mod poll;
mod readiness;
mod watch;

use crate::logging::log;
use crate::message::{DiscoveryCommand, EndpointListUpdate, ListedEndpoint, Message};
use backoff::{ReconnectBackoff, longest_wait};
use client::Client;
use endpoint_list::{EndpointList, EntryParser};
use ottertiller_balancer::ListKind;
use readiness::Readiness;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch as watch_channel};

/// The options of discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryOptions {
    /// Where discovery listens at first.
    pub address: SocketAddr,
    /// The endpoint list as this node last had it, in discovery's format; perhaps out of date.
    pub cached_list: Option<String>,
    /// Seeds the jitter of pauses between calls.
    pub seed: u64,
    /// Whether the list must be polled; otherwise changes are pushed.
    pub poll: bool,
    /// How long an endpoint that drains may still be sent requests.
    pub drain_grace: Duration,
    /// The names of zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// The names of machine kinds, in the order of their numbers.
    pub machine_type_names: Vec<String>,
}

/// Keeps the endpoint list up to date, and sends each change to the driver.
pub struct Discovery {
    client: Client,
    backoff: ReconnectBackoff,
    parser: EntryParser,
    messages: mpsc::Sender<Message>,
    readiness: Readiness,
    cached_list: Option<String>,
    poll: bool,
    /// The version of the list that the driver has.
    version: u64,
}

/// Where a list comes from.
#[derive(Clone, Copy)]
enum ListSource {
    Cached,
    Watched,
}

impl ListSource {
    fn kind(self, is_snapshot: bool) -> ListKind {
        match self {
            ListSource::Cached => ListKind::Cached,
            ListSource::Watched if is_snapshot => ListKind::Snapshot,
            ListSource::Watched => ListKind::Delta,
        }
    }
}

impl Discovery {
    /// Discovery that has not been called yet; lists go to `messages`.
    pub fn new(options: DiscoveryOptions, messages: mpsc::Sender<Message>) -> Self {
        let longest_wait = longest_wait(options.drain_grace);
        Discovery {
            client: Client::new(options.address, 2 * longest_wait),
            // Not the balancer's own random numbers.
            backoff: ReconnectBackoff::new(longest_wait, !options.seed),
            parser: EntryParser::new(options.zone_names, options.machine_type_names),
            messages,
            readiness: Readiness::default(),
            cached_list: options.cached_list,
            poll: options.poll,
            version: 0,
        }
    }

    /// Whether the node knows enough endpoints to serve.
    pub fn ready(&self) -> Rc<Cell<bool>> {
        self.readiness.flag()
    }

    /// Keeps the list up to date, from the last of `addresses` whenever that changes.
    pub async fn run(
        mut self,
        commands: mpsc::Receiver<DiscoveryCommand>,
        addresses: watch_channel::Receiver<SocketAddr>,
    ) {
        self.start_from_cached_list().await;
        if self.poll {
            self.poll_on_command(commands, addresses).await;
        } else {
            self.watch_forever(addresses).await;
        }
    }

    async fn start_from_cached_list(&mut self) {
        let cached_list = self.cached_list.take().unwrap_or_default();
        if !self
            .apply_list(cached_list.as_bytes(), ListSource::Cached)
            .await
        {
            // The balancer has to know that the node has started, or it would never ask for a list.
            self.publish(ListKind::Cached, Vec::new()).await;
        } else if self.version > 0 {
            self.readiness.set_after_first_call();
        }
    }

    /// Discovery is elsewhere from now on. The list stays until that has sent a complete one, whose
    /// versions need not be comparable with the old one's.
    fn move_to(&mut self, address: SocketAddr) {
        self.client.set_address(address);
        self.backoff.reset();
        self.version = 0;
    }

    /// Applies a list; false if there is none. What is malformed is dropped: an entry alone where
    /// the others can be parsed.
    async fn apply_list(&mut self, text: &[u8], source: ListSource) -> bool {
        if text.is_empty() {
            return false;
        }
        let mut list = match EndpointList::parse(text) {
            Ok(list) => list,
            Err(error) => {
                log(error);
                return false;
            }
        };
        let kind = source.kind(list.snapshot);
        let version = list.index.unwrap_or(self.version);
        if kind == ListKind::Delta && version < self.version {
            // They would take back what is known since, such as that an endpoint drains.
            log(format_args!(
                "stale changes of version {version} dropped: the endpoint list is at {}",
                self.version
            ));
            list.entries.clear();
        }
        let endpoints = self.parse_entries(list.entries);
        self.publish(kind, endpoints).await;
        // Only now: a watch that is dropped before has not published the list, and the next one has
        // to.
        self.version = if kind == ListKind::Delta {
            version.max(self.version)
        } else {
            version
        };
        if kind != ListKind::Cached || self.poll {
            self.readiness.set();
        }
        true
    }

    fn parse_entries(&self, entries: Vec<Value>) -> Vec<ListedEndpoint> {
        let mut endpoints = Vec::new();
        for entry in entries {
            match self.parser.parse(entry) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => log(error),
            }
        }
        endpoints
    }

    async fn publish(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        let update = Message::EndpointList(EndpointListUpdate { kind, endpoints });
        let _ = self.messages.send(update).await; // fails only when the node has ended
    }
}

/// The next address that discovery moves to.
async fn next_address(addresses: &mut watch_channel::Receiver<SocketAddr>) -> SocketAddr {
    match addresses.changed().await {
        Ok(()) => *addresses.borrow_and_update(),
        Err(_) => std::future::pending().await, // nobody is left to move it
    }
}

#[cfg(test)]
mod tests;
