//! What the tests of decisions share: what is in a list of actions, and requests played one after another.

use crate::world::*;
use ottertiller_balancer::*;
use std::collections::BTreeMap;

pub fn sent_to(actions: &[Action]) -> Vec<u64> {
    let send = |action: &Action| match action {
        Action::StartAttempt { endpoint, .. } => Some(endpoint.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn probed(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::HealthCheck { .. })).count()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Sends a request and has it served at once, with a report of that many requests in flight.
pub fn serve(world: &mut World, load: f32) -> u64 {
    let (id, actions) = world.request(0);
    let to = sent_to(&actions);
    assert_eq!(to.len(), 1, "a free fleet takes a request at once: {actions:?}");
    world.pass(ms(20));
    world.end(id, 0, Outcome::Served, Some(load));
    to[0]
}

/// Plays requests of 30 ms for a while; `ends` says how an attempt at a server ends.
pub fn play(world: &mut World, count: usize, ends: impl Fn(u64) -> Outcome) -> BTreeMap<u64, usize> {
    let mut met = BTreeMap::new();
    for _ in 0..count {
        world.request(1);
        world.pass(ms(30));
        for (id, attempt) in world.out() {
            let endpoint = world.server_of(id, attempt).0;
            *met.entry(endpoint).or_insert(0) += 1;
            world.end(id, attempt, ends(endpoint), Some(0.0));
        }
    }
    met
}
