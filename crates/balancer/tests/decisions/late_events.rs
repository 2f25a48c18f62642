//! Events that arrive after what they concern has ended.

use crate::support::*;
use crate::world::*;
use ottertiller_balancer::*;

#[test]
fn late_events_have_no_effect() {
    let mut world = World::with_servers(answering(), 2);
    let (id, _) = world.request(1);
    world.client_leaves(id);
    assert!(world.tell(Event::ClientDisconnected { id }).is_empty());
    world.pass(ms(1));
    assert!(world.out().is_empty());
    assert!(world.tell(Event::Timer { token: id.0 }).is_empty());
    let endpoint = EndpointId(77);
    let end = HealthCheckEnd { endpoint, outcome: Outcome::Served, elapsed: ms(1), report: None };
    assert!(world.tell(Event::HealthChecked(end)).is_empty());
    let ended = AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Served,
        elapsed: ms(1),
        finished: true,
        report: None,
    };
    assert!(world.tell(Event::AttemptEnded(ended)).is_empty());
    assert!(world.tell(Event::StreamStarted { id, attempt: 0, endpoint }).is_empty());
}

/// Whatever a request waits for when its client leaves, nothing of it is sent any more.
#[test]
fn nothing_is_sent_for_a_client_that_has_gone() {
    let sends =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::StartAttempt { .. })).count();
    // Queued for want of a server, which is listed just then.
    let mut world = World::new(answering());
    world.list(ListKind::Snapshot, vec![]);
    let (queued, _) = world.request(0);
    world.client_leaves(queued);
    let before = world.log.len();
    world.list(ListKind::Snapshot, (0..4).map(entry).collect());
    world.pass(ms(2000));
    assert_eq!(sends(&world.log[before..]), 0, "queued");

    // Held for probes, which find an idle server just then.
    let mut world = World::with_servers(probing(), 4);
    let (held, actions) = world.request(0);
    assert!(probed(&actions) > 0 && sends(&actions) == 0);
    world.client_leaves(held);
    let before = world.log.len();
    world.answer_probes(&[0, 1, 2, 3]);
    world.pass(ms(2000));
    assert_eq!(sends(&world.log[before..]), 0, "held");

    // With an attempt out that is silent, or ends so that another one may follow: never sent, or in vain.
    for outcome in [None, Some(Outcome::NotSent), Some(Outcome::ConnectFailed), Some(Outcome::Error)] {
        for cancel in [true, false] {
            let mut settings = answering();
            settings.limits.cancel = cancel;
            let mut world = World::with_servers(settings, 4);
            let (waiting, actions) = world.request(0);
            assert_eq!(sends(&actions), 1);
            world.client_leaves(waiting);
            let before = world.log.len();
            if let Some(outcome) = outcome {
                world.end(waiting, 0, outcome, None);
            }
            world.pass(ms(2000));
            assert_eq!(sends(&world.log[before..]), 0, "{outcome:?}");
        }
    }
}
