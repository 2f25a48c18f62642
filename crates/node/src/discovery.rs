//! Discovery: gets the endpoint list from the discovery service and keeps it up to date.

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
use backoff::ReconnectBackoff;
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
    /// The initial address of the discovery service.
    pub address: SocketAddr,
    /// The endpoint list that was cached before this node started, in discovery's format. It may be
    /// out of date.
    pub cached_list: Option<String>,
    /// Seeds the jitter of the waits between calls.
    pub seed: u64,
    /// Whether the balancer commands when to call discovery. Otherwise a watch is always open, on
    /// which discovery pushes changes.
    pub poll: bool,
    /// How long requests may still reach an endpoint after its drain began. It bounds the waits
    /// between calls.
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
    /// Whether the balancer commands when to call discovery.
    poll: bool,
    /// The version of the list that was last sent to the driver.
    version: ListVersion,
}

/// Where a list comes from.
#[derive(Clone, Copy)]
enum ListSource {
    /// The configuration.
    Cached,
    /// A watch, whether it is always open or was opened on the balancer's command.
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
    /// Creates a discovery that has made no call yet, and sends updates of the list to `messages`.
    pub(crate) fn new(options: DiscoveryOptions, messages: mpsc::Sender<DriverMessage>) -> Self {
        let max_backoff_wait = backoff::max_wait(options.drain_grace);
        let connect_timeout = 2 * max_backoff_wait;
        Discovery {
            client: DiscoveryClient::new(options.address, connect_timeout),
            // The seed is inverted, so that the jitter does not repeat the balancer's random
            // numbers.
            backoff: ReconnectBackoff::new(max_backoff_wait, !options.seed),
            parser: EntryParser::new(options.zone_names, options.machine_type_names),
            messages,
            readiness: Readiness::default(),
            cached_list: options.cached_list,
            poll: options.poll,
            version: ListVersion::default(),
        }
    }

    /// Returns the flag that is set once the node knows enough endpoints to serve requests.
    pub(crate) fn ready_flag(&self) -> Rc<Cell<bool>> {
        self.readiness.flag()
    }

    /// Keeps the list up to date. Whenever `addresses` changes, calls go to the new address.
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

    /// Applies the cached list of the configuration, if there is a well-formed one.
    async fn start_from_cached_list(&mut self) {
        let cached_list = self.cached_list.take().unwrap_or_default();
        let Some(list) = parse_list(cached_list.as_bytes()) else {
            // Without an update, the balancer would not learn that the node has started, and would
            // never ask for a list.
            self.publish(ListKind::Cached, Vec::new()).await;
            return;
        };
        self.apply_list(list, ListSource::Cached).await;
        // Version 0 stands for the time before the first list. A cached list without an index, or
        // with index 0, therefore does not make the node ready after a delay.
        if self.version.is_known() {
            self.readiness.set_after_max_wait();
        }
    }

    /// Sends further calls to another address.
    ///
    /// The current list stays in use until a complete list arrives from the new address. The
    /// version is reset, because the versions of the two addresses need not be comparable.
    fn change_address(&mut self, address: SocketAddr) {
        self.client.set_address(address);
        self.backoff.reset();
        self.version = ListVersion::default();
    }

    /// Applies a list or delta, and publishes it. A malformed entry is dropped; the others are
    /// kept.
    ///
    /// A stale delta is published without entries: it still shows a balancer that polls that its
    /// call has succeeded, so that no further call is due.
    async fn apply_list(&mut self, list: EndpointList, source: ListSource) {
        let kind = source.kind(list.snapshot);
        let version = self.version.of_update(list.index);
        let endpoints = self.parse_entries(self.entries_unless_stale(kind, version, list.entries));
        self.publish(kind, endpoints).await;
        // The version advances only after the list was published: if the watch is dropped before,
        // the next watch has to get the same changes again.
        self.version.advance(kind, version);
        // A cached list suffices at once only if the balancer polls. Otherwise the node waits for a
        // list from discovery; the delay of `Readiness::set_after_max_wait` bounds this wait if the
        // version of the cached list is known. That delay is not the maximum wait of the backoff.
        if kind != ListKind::Cached || self.poll {
            self.readiness.set();
        }
    }

    /// Returns the entries of an update, or no entries if the update is stale.
    ///
    /// Only a delta can be stale. Its entries would revert later changes, for example the start of
    /// an endpoint's drain.
    fn entries_unless_stale(
        &self,
        kind: ListKind,
        version: ListVersion,
        entries: Vec<Value>,
    ) -> Vec<Value> {
        if !self.version.supersedes(kind, version) {
            return entries;
        }
        log(format_args!(
            "stale endpoint list update dropped: version {}: the current list has version {}",
            version.number(),
            self.version.number()
        ));
        Vec::new()
    }

    /// Parses entries. Logs and drops malformed ones.
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
        let _ = self.messages.send(update).await; // fails only if the driver has ended
    }
}

/// Parses a list, but not its entries. Returns `None` if the text is empty or malformed; a
/// malformed one is logged and dropped.
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

/// Waits until the address of discovery changes, and returns the new one.
async fn next_address(addresses: &mut watch_channel::Receiver<SocketAddr>) -> SocketAddr {
    match addresses.changed().await {
        Ok(()) => *addresses.borrow_and_update(),
        Err(_) => std::future::pending().await, // without a sender, it never changes
    }
}

#[cfg(test)]
mod tests;
