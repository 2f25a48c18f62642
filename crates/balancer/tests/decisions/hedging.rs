//! Hedged requests: what follows an attempt without a response.

use crate::support::*;
use crate::world::*;
use ottertiller_balancer::*;

#[test]
fn a_silent_attempt_is_followed_by_another_as_far_as_its_class_allows() {
    // The danger: an answer that never comes takes the request's whole time.
    for (class, further) in [(0, true), (1, false), (4, true)] {
        for parallel in [false, true] {
            let mut settings = answering();
            settings.limits.parallel_attempts = parallel;
            let mut world = World::with_servers(settings, 6);
            play(&mut world, 100, |_| Outcome::Served); // answers take 30 ms
            let (id, _) = world.request(class);
            world.pass(ms(if parallel { 200 } else { 390 }));
            let tries = world
                .log
                .iter()
                .filter(|a| matches!(a, Action::StartAttempt { id: i, .. } if *i == id))
                .count();
            assert_eq!(tries > 1, further, "class {class}, parallel {parallel}: {tries} attempts");
        }
    }
}

/// The server goes on working on what is given up: where no two attempts may be out, that is waste until the
/// next attempt would come too late.
#[test]
fn where_one_attempt_may_be_out_it_is_given_up_only_when_the_next_has_just_its_time() {
    for class in [0, 4] {
        let mut settings = answering();
        settings.limits.parallel_attempts = false;
        let mut world = World::with_servers(settings, 6);
        play(&mut world, 300, |_| Outcome::Served); // answers take 30 ms, and nearly all would within 120
        let (id, _) = world.request(class);
        // A slow answer is still waited for; repeats of class 4 are dropped for 300 ms only.
        world.pass(ms(250));
        assert_eq!(world.out(), [(id, 0)], "class {class}");
        world.pass(ms(50));
        assert_eq!(world.out(), [(id, 1)], "class {class}");
    }
}
