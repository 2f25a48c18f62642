//! What a node remembers of servers and requests: types and their plain arithmetic, no decisions.

use crate::arithmetic::{DecayingRate, Random};
use crate::endpoint_polling::EndpointPolling;
use crate::estimates::{DeclaredWork, ResponseTimes};
use crate::pending_request::PendingRequest;
use crate::priority::Priorities;
use crate::retry::budget::RetryBudget;
use crate::retry::client_retry::ClientRetries;
use crate::retry::hedging::Hedging;
use crate::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a node knows of a server.
#[derive(Default)]
pub struct Server {
    pub entry: EndpointEntry,
    /// Join-Up-To(m)'s estimate: own sends since it last showed idle.
    pub count: u32,
    pub idle_at: Option<Duration>,
    /// Own attempts that are out.
    pub out: u32,
    /// Its reported load with own sends since, and when that was reported.
    pub load: Option<(f64, Duration)>,
    pub probing: bool,
    /// Smoothed share of failed attempts.
    pub failing: f64,
    /// Ejected until then; after that, on trial until it serves.
    pub ejected: Option<Duration>,
    /// How often in a row, halved by an answer: each time it is ejected for longer.
    pub ejections: u32,
    /// While cold: until when it may be sent a request, and when that was last drawn for.
    pub ticket: Duration,
    pub drawn: Duration,
}

/// The decisions of one node. They are made in `policy.rs`; this is what it remembers.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) now: Duration,
    /// When its first event came.
    pub(crate) started: Duration,
    pub(crate) endpoints: BTreeMap<EndpointId, Server>,
    /// The ready servers, in the order of their ring.
    pub(crate) order: Vec<EndpointId>,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests held for probes, in the order of arrival.
    pub(crate) held: Vec<RequestId>,
    pub(crate) probes_out: u32,
    pub(crate) response_times: ResponseTimes,
    pub(crate) declared_work: DeclaredWork,
    pub(crate) priorities: Priorities,
    pub(crate) hedging: Hedging,
    /// Smoothed share of failed attempts at all servers.
    pub(crate) failing: f64,
    /// Own sends, and idle signs that reset an estimate, both forgotten slowly; share of reports not idle.
    pub(crate) sends: f64,
    pub(crate) idle_signs: f64,
    pub(crate) busy: f64,
    /// Smoothed share of attempts answered in time, by how crowded the server was at the send; and the share
    /// of requests that servers not crowded at all are sent, steady at seven in eight in time; beyond 1 it is
    /// a reserve for chance misses.
    pub(crate) in_time: Vec<f64>,
    pub(crate) taken: f64,
    pub(crate) retry_budget: RetryBudget,
    /// Attempts sent, work that arrived, and work answered by warm servers.
    pub(crate) sent: DecayingRate,
    pub(crate) arrived: DecayingRate,
    pub(crate) carried: DecayingRate,
    /// The most that a warm server has carried for this node a second, forgotten slowly, and as of when.
    pub(crate) part: f64,
    pub(crate) part_at: Duration,
    pub(crate) client_retries: ClientRetries,
    pub(crate) polling: EndpointPolling,
}

/// How many entries the tables of a [`Balancer`] hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Listed servers.
    pub endpoints: usize,
    /// Requests that are owed an answer or have an attempt out.
    pub requests: usize,
    /// Those of them that are held until a probe has been answered.
    pub held: usize,
}

impl Balancer {
    /// How many entries its tables hold. Servers leave with the list, requests with their last outcome.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes { endpoints: self.endpoints.len(), requests: self.requests.len(), held: self.held.len() }
    }

    /// Nothing known yet.
    pub(crate) fn empty(settings: Settings, random: Random) -> Self {
        // Rates are taken over a few of the spans in which a cold server is judged.
        let memory = 3.0 * settings.rules.overload_window.as_secs_f64().max(1e-3);
        Balancer {
            random,
            now: Default::default(),
            started: Default::default(),
            endpoints: Default::default(),
            order: Default::default(),
            requests: Default::default(),
            held: Default::default(),
            probes_out: Default::default(),
            failing: Default::default(),
            sends: Default::default(),
            idle_signs: Default::default(),
            busy: Default::default(),
            in_time: Default::default(),
            taken: Default::default(),
            retry_budget: RetryBudget::new(),
            sent: DecayingRate::new(memory),
            arrived: DecayingRate::new(memory),
            carried: DecayingRate::new(memory),
            part: Default::default(),
            part_at: Default::default(),
            response_times: ResponseTimes::new(&settings),
            declared_work: DeclaredWork::default(),
            priorities: Priorities::new(&settings),
            hedging: Hedging::new(&settings),
            client_retries: ClientRetries::new(&settings),
            polling: EndpointPolling::new(&settings),
            settings,
        }
    }
}
