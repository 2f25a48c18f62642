//! Load shedding after late attempts.

use crate::support::*;
use crate::world::*;
use ottertiller_balancer::*;

/// Plays requests one after another, each with what its attempts meet; counts those that were refused unsent.
fn held_back(
    world: &mut World,
    requests: usize,
    mut play: impl FnMut(&mut World, usize) -> Vec<Action>,
) -> usize {
    (0..requests).filter(|n| refused(&play(world, *n))).count()
}

#[test]
fn an_attempt_given_up_for_the_next_one_was_late() {
    // The danger: in a jam most first attempts are given up before their request's time is over. A node that
    // counts only what is late at the very end goes on filling the servers up.
    let mut settings = answering();
    settings.limits.parallel_attempts = false;
    let refused = |given_up: usize| {
        let mut world = World::with_servers(settings.clone(), 12);
        for _ in 0..100 {
            serve(&mut world, 1.0);
        }
        held_back(&mut world, 300, |world, n| {
            let (id, actions) = world.request(0);
            if n % 3 < given_up && !refused(&actions) {
                while world.out() == [(id, 0)] {
                    world.pass(ms(1));
                }
            }
            for (id, attempt) in world.out() {
                world.end(id, attempt, Outcome::Served, Some(1.0));
            }
            actions
        })
    };
    assert_eq!(refused(0), 0);
    assert!(refused(1) > 15, "{} of 300", refused(1));
}

#[test]
fn what_is_late_for_its_class_counts_however_long_other_classes_take() {
    // The danger: where one class takes a second, nothing that a quick class loses within that is ever seen.
    let mut settings = answering();
    settings.limits.parallel_attempts = false;
    (settings.classes[0].latency_objective, settings.classes[0].deadline) = (ms(100), ms(100));
    (settings.classes[1].latency_objective, settings.classes[1].deadline) = (ms(4000), ms(4000));
    let mut world = World::with_servers(settings, 12);
    let held = held_back(&mut world, 400, |world, _| {
        let (slow, _) = world.request_with(1, 0, ms(4000), None);
        world.pass(ms(1000));
        for (id, attempt) in world.out().into_iter().filter(|(id, _)| *id == slow) {
            world.end(id, attempt, Outcome::Served, Some(1.0));
        }
        let (quick, actions) = world.request_with(0, 0, ms(100), None);
        world.pass(ms(100)); // no answer comes
        assert!(world.answered(quick));
        actions
    });
    assert!(held > 200, "{held} of 400");
}

#[test]
fn what_is_late_at_a_server_that_the_node_crowds_itself_holds_requests_back_too() {
    // The danger: of hundreds of nodes each has one or two requests at a server, which is in a jam by then.
    let mut settings = answering();
    settings.limits.parallel_attempts = false;
    let held = |nodes: u32| {
        let mut world = World::with_servers(Settings { node_count: nodes, ..settings.clone() }, 1);
        held_back(&mut world, 400, |world, n| {
            let (first, actions) = world.request(1);
            world.request(1);
            world.pass(ms(50));
            let answer = |world: &mut World, ready: &dyn Fn(RequestId) -> bool| {
                for (id, attempt) in world.out().into_iter().filter(|(id, _)| ready(*id)) {
                    world.end(id, attempt, Outcome::Served, Some(1.0));
                }
            };
            // Alone, so few late ones would hold nothing back.
            answer(world, &|id| id == first && n % 5 > 0);
            world.pass(ms(340));
            answer(world, &|_| true);
            actions
        })
    };
    assert!(held(300) > 50, "{} of 400", held(300));
    // A node with nobody beside it has made the crowd itself, and what it sends there is limited already.
    assert!(held(1) < 10, "{} of 400", held(1));
}

#[test]
fn in_a_jam_dear_requests_are_held_back_as_well() {
    // The danger: what is worth most is tried so often, by all nodes, that the servers never get out of the jam.
    let mut settings = answering();
    settings.limits.parallel_attempts = false;
    (settings.classes[0].priority_weight, settings.classes[1].priority_weight) = (12.0, 1.0);
    let mut world = World::with_servers(settings, 4);
    let late = |world: &mut World, n: usize| {
        let (_, actions) = world.request(usize::from(n % 4 > 0));
        world.pass(ms(390));
        for (id, attempt) in world.out() {
            world.end(id, attempt, Outcome::Served, Some(3.0));
        }
        if n % 4 == 0 { actions } else { Vec::new() }
    };
    held_back(&mut world, 400, late);
    let held = held_back(&mut world, 800, late);
    assert!(held > 120, "{held} of 200 dear requests were held back");
}
