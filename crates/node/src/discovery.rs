//! Discovery: the list of endpoints, and how it is kept up to date.

mod backoff;
mod client;
mod endpoint_list;
mod error;
mod framing;
mod list_deadline;
mod list_version;
mod poll;
mod readiness;
mod watch;

use crate::logging::log;
use crate::message::{DiscoveryCommand, DriverMessage, EndpointListUpdate, ListedEndpoint};
use backoff::{ReconnectBackoff, longest_wait};
use client::DiscoveryClient;
use endpoint_list::{EndpointList, EntryParser};
use list_version::ListVersion;
use ottertiller_balancer::ListKind;
use ottertiller_error_chain::ErrorChain;
use readiness::Readiness;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch as watch_channel};

/// The options of discovery.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryOptions {
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
    /// The names of machine types, in the order of their numbers.
    pub machine_type_names: Vec<String>,
}

/// Keeps the endpoint list up to date, and sends each change to the driver.
pub(crate) struct Discovery {
    client: DiscoveryClient,
    backoff: ReconnectBackoff,
    parser: EntryParser,
    messages: mpsc::Sender<DriverMessage>,
    readiness: Readiness,
    /// The cached list, until it has been applied.
    cached_list: Option<String>,
    /// Whether the list must be polled.
    poll: bool,
    /// The version of the list that the driver has.
    version: ListVersion,
}

/// Where a list comes from.
#[derive(Clone, Copy)]
enum ListSource {
    /// The configuration.
    Cached,
    /// A watch.
    Watched,
}

impl ListSource {
    /// Returns the kind of a list from this source.
    fn kind(self, is_snapshot: bool) -> ListKind {
        match self {
            ListSource::Cached => ListKind::Cached,
            ListSource::Watched if is_snapshot => ListKind::Snapshot,
            ListSource::Watched => ListKind::Delta,
        }
    }
}

impl Discovery {
    /// Returns a discovery that has made no call yet, and sends lists to `messages`.
    pub(crate) fn new(options: DiscoveryOptions, messages: mpsc::Sender<DriverMessage>) -> Self {
        let longest_wait = longest_wait(options.drain_grace);
        Discovery {
            client: DiscoveryClient::new(options.address, 2 * longest_wait),
            // Not the balancer's own random numbers.
            backoff: ReconnectBackoff::new(longest_wait, !options.seed),
            parser: EntryParser::new(options.zone_names, options.machine_type_names),
            messages,
            readiness: Readiness::default(),
            cached_list: options.cached_list,
            poll: options.poll,
            version: ListVersion::default(),
        }
    }

    /// Returns the flag that says whether the node knows enough endpoints to serve.
    pub(crate) fn ready_flag(&self) -> Rc<Cell<bool>> {
        self.readiness.flag()
    }

    /// Keeps the list up to date. Moves to the last of `addresses` whenever that changes.
    pub(crate) async fn run(
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

    /// Applies the cached list of the configuration.
    async fn start_from_cached_list(&mut self) {
        let cached_list = self.cached_list.take().unwrap_or_default();
        let Some(list) = parse_list(cached_list.as_bytes()) else {
            // The balancer has to know that the node has started, or it would never ask for a list.
            self.publish(ListKind::Cached, Vec::new()).await;
            return;
        };
        self.apply_list(list, ListSource::Cached).await;
        if self.version.is_known() {
            self.readiness.set_after_max_wait();
        }
    }

    /// Makes calls to another address from now on.
    ///
    /// The list stays until discovery has sent a complete one from there, whose versions need not
    /// be comparable with the old one's.
    fn move_to(&mut self, address: SocketAddr) {
        self.client.set_address(address);
        self.backoff.reset();
        self.version = ListVersion::default();
    }

    /// Applies a list, and publishes what it changes. Malformed entries are dropped alone.
    async fn apply_list(&mut self, list: EndpointList, source: ListSource) {
        let kind = source.kind(list.snapshot);
        let version = self.version.of_update(list.index);
        let endpoints = self.parse_entries(self.current_entries(kind, version, list.entries));
        self.publish(kind, endpoints).await;
        // Only now: a watch that is dropped before has not published the list, and the next one has
        // to.
        self.version.advance(kind, version);
        if kind != ListKind::Cached || self.poll {
            self.readiness.set();
        }
    }

    /// Returns the entries of an update; none if it is stale.
    ///
    /// A stale delta would take back what is known since, such as that an endpoint drains.
    fn current_entries(
        &self,
        kind: ListKind,
        version: ListVersion,
        entries: Vec<Value>,
    ) -> Vec<Value> {
        if !self.version.makes_stale(kind, version) {
            return entries;
        }
        log(format_args!(
            "stale endpoint list changes dropped: version {}: the endpoint list is at {}",
            version.number(),
            self.version.number()
        ));
        Vec::new()
    }

    /// Parses entries; those that are malformed are logged and dropped.
    fn parse_entries(&self, entries: Vec<Value>) -> Vec<ListedEndpoint> {
        let mut endpoints = Vec::new();
        for entry in entries {
            match self.parser.parse(entry) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => log(ErrorChain(&error)),
            }
        }
        endpoints
    }

    /// Sends an update to the driver.
    async fn publish(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        let update = DriverMessage::EndpointList(EndpointListUpdate { kind, endpoints });
        let _ = self.messages.send(update).await; // fails only when the node has ended
    }
}

/// Parses a list, but not its entries; returns `None` if the text is empty, or malformed and
/// dropped.
fn parse_list(text: &[u8]) -> Option<EndpointList> {
    if text.is_empty() {
        return None;
    }
    match EndpointList::parse(text) {
        Ok(list) => Some(list),
        Err(error) => {
            log(ErrorChain(&error));
            None
        }
    }
}

/// Waits until discovery moves, and returns its new address.
async fn next_address(addresses: &mut watch_channel::Receiver<SocketAddr>) -> SocketAddr {
    match addresses.changed().await {
        Ok(()) => *addresses.borrow_and_update(),
        Err(_) => std::future::pending().await, // nobody is left to move it
    }
}

#[cfg(test)]
mod tests;
