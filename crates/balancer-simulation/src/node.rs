//! A simulation of one node and its environment. It delivers valid events, executes the actions,
//! and checks the invariants of a node against its own records.

mod endpoint_list;
mod health_checks;
mod invariants;
mod requests;

use crate::fixtures::entry;
use crate::virtual_time::{MIN_TIMER_DELAY, START};
use endpoint_list::ListedEndpoint;
use health_checks::PendingHealthCheck;
use ottertiller_balancer::{
    Action, Balancer, EndpointId, Event, ListKind, RequestId, Settings, Timer,
};
use requests::RequestState;
pub use requests::{AttemptId, RequestOptions};
use std::collections::BTreeMap;
use std::time::Duration;

/// A simulation of a single node. It panics if the node violates an invariant.
pub struct NodeSimulation {
    /// The current virtual time.
    pub now: Duration,
    /// The settings of the node.
    pub settings: Settings,
    /// All actions so far.
    pub actions: Vec<Action>,
    balancer: Balancer,
    requests: BTreeMap<RequestId, RequestState>,
    /// The timers that are set, by expiry time and then by the order in which they were set.
    timers: BTreeMap<(Duration, usize), Timer>,
    timers_set: usize,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    health_checks: Vec<PendingHealthCheck>,
    next_request_id: u64,
}

impl NodeSimulation {
    /// Starts a node without an endpoint list.
    pub fn new(settings: Settings) -> Self {
        Self::with_seed(settings, 1)
    }

    /// Starts a node with this seed for its random numbers, without an endpoint list.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        NodeSimulation {
            now: START,
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            actions: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            listed: BTreeMap::new(),
            health_checks: Vec::new(),
            next_request_id: 1,
        }
    }

    /// Starts a node whose endpoint list contains the endpoints 0, 1, ... `count - 1`.
    pub fn with_endpoints(settings: Settings, count: u64) -> Self {
        Self::with_seed_and_endpoints(settings, 1, count)
    }

    /// Starts a node with this seed whose endpoint list contains the endpoints 0, 1, ...
    /// `count - 1`.
    pub fn with_seed_and_endpoints(settings: Settings, seed: u64, count: u64) -> Self {
        let mut node = NodeSimulation::with_seed(settings, seed);
        node.update_endpoints(ListKind::Snapshot, (0..count).map(entry).collect());
        node
    }

    /// Delivers an event to the node, checks and executes the resulting actions, and returns them.
    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.execute(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Advances the virtual time by ticks. Timers fire, and attempts and health checks time out.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + self.settings.tick).min(end);
            self.fire_timers();
            self.time_out_attempts();
            self.time_out_health_checks();
            self.check_deadlines();
        }
    }

    fn fire_timers(&mut self) {
        while let Some((&due, _)) = self
            .timers
            .first_key_value()
            .filter(|((at, _), _)| *at <= self.now)
        {
            let timer = self
                .timers
                .remove(&due)
                .expect("the first timer disappeared");
            self.deliver(Event::Timer(timer));
        }
    }

    fn execute(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => {
                self.check_attempt(*id, *endpoint);
                self.start_attempt(*id, *endpoint, *timeout);
            }
            Action::Shed { id, .. } => {
                self.check_shed(*id);
                self.finish_request(*id);
            }
            Action::Fail { id } => self.finish_request(*id),
            Action::CancelAttempt { id, attempt } => {
                self.check_cancellation();
                self.cancel_attempt(AttemptId::new(*id, *attempt as usize));
            }
            Action::SetTimer { after, timer } => self.set_timer(*after, *timer),
            Action::HealthCheck { endpoint } => {
                self.check_health_check();
                self.start_health_check(*endpoint);
            }
            Action::Subscribe { .. } => {}
        }
    }

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        let due = self.now + after.max(MIN_TIMER_DELAY);
        self.timers_set += 1;
        self.timers.insert((due, self.timers_set), timer);
    }
}
