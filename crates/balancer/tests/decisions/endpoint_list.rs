//! The endpoint list: snapshots, deltas, and when it is polled.

use crate::support::*;
use crate::world::*;
use ottertiller_balancer::*;

#[test]
fn a_full_list_takes_away_what_it_omits_and_servers_may_return() {
    let mut world = World::with_servers(answering(), 3);
    world.list(ListKind::Snapshot, vec![entry(1)]);
    assert!((0..10).all(|_| sent_to(&world.request(0).1).iter().all(|s| *s == 1)));
    world.list(ListKind::Delta, vec![entry(2), EndpointEntry { state: EndpointState::Draining, ..entry(1) }]);
    assert_eq!(sent_to(&world.request(0).1), [2]);
}

#[test]
fn where_the_list_must_be_asked_for_it_is_asked_for_and_a_failed_call_is_repeated() {
    let asks = |actions: &[Action]| {
        actions.iter().filter(|a| matches!(a, Action::Subscribe { enabled: true })).count()
    };
    let mut world = World::new(Settings { poll_endpoints: true, ..answering() });
    world.list(ListKind::Cached, vec![entry(0)]);
    world.pass(ms(3000));
    assert_eq!(asks(&world.log), 1);
    for _ in 0..5 {
        let before = world.log.len();
        world.list(ListKind::Failed, Vec::new());
        world.pass(ms(6000)); // within the 10 s after which a node counts as told
        assert!(asks(&world.log[before..]) >= 1);
        assert!(asks(&world.log[before..]) <= 2, "calls jam the list's service");
    }
    world.list(ListKind::Snapshot, vec![entry(0)]);
    let before = world.log.len();
    world.pass(ms(60_000));
    assert_eq!(asks(&world.log[before..]), 0, "a subscription needs no calls");
}

/// By the time that a watch shows as silent, little is left until what it misses counts as told.
#[test]
fn a_broken_watch_is_opened_anew_soon_however_long_the_site_lets_a_node_go_without() {
    for within in [5_000, 20_000, 120_000] {
        let mut settings = Settings { poll_endpoints: true, ..answering() };
        settings.rules.poll_interval = ms(within);
        for seed in 0..10 {
            let mut world = World::seeded(settings.clone(), seed);
            world.list(ListKind::Cached, vec![entry(0)]);
            world.pass(ms(within / 2));
            world.list(ListKind::Snapshot, vec![entry(0)]);
            let asked = |world: &World| {
                world.log.iter().filter(|a| matches!(a, Action::Subscribe { enabled: true })).count()
            };
            let before = asked(&world);
            world.list(ListKind::Failed, vec![]);
            assert_eq!(asked(&world), before, "not all nodes at the same moment");
            world.pass(ms(800));
            assert_eq!(asked(&world), before + 1, "within {within} ms, seed {seed}");
        }
    }
}
