//! Retries by clients.

use crate::support::*;
use crate::world::*;
use ottertiller_balancer::*;

#[test]
fn a_repeat_whose_aim_has_passed_is_refused_and_costs_no_server_anything() {
    // The danger: clients that gave up come again, and work for answers worth nothing keeps a jam alive.
    let mut world = World::with_servers(answering(), 4);
    let idempotency = |world: &mut World, left: u64| {
        let mut new = NewRequest {
            id: RequestId(1_000_000 + left),
            class: 0,
            remaining: ms(left),
            ..Default::default()
        };
        new.client_retry = true;
        world.take(new)
    };
    world.request_with(0, 0, ms(450), None); // a first try waits for 450 of the 1000 ms
    assert!(refused(&idempotency(&mut world, 550)), "450 ms have gone by, the aim is 400");
    assert_eq!(sent_to(&idempotency(&mut world, 650)).len(), 1, "350 ms have gone by");
    assert_eq!(
        sent_to(&idempotency(&mut world, 449)).len(),
        1,
        "like a first try: it may have been refused at once"
    );
}

#[test]
fn repeats_that_show_how_late_they_come_tell_of_those_that_do_not() {
    // The danger: where clients wait before they ask again, every repeat comes too late, but one whose try is
    // cut short looks like a first try, and each quiet node serves a few of them for nothing.
    let mut world = World::with_servers(answering(), 6);
    let (cut, whole) = (0, 4);
    let mut next = 1_000_000;
    let mut take = |world: &mut World, class: usize, left: u64, client_retry: bool| {
        next += 1;
        let new = NewRequest { id: RequestId(next), class, remaining: ms(left), ..Default::default() };
        let actions = world.take(NewRequest { client_retry, ..new });
        world.pass(ms(20));
        world.out().into_iter().for_each(|(id, i)| drop(world.end(id, i, Outcome::Served, Some(0.0))));
        sent_to(&actions).len()
    };
    assert_eq!(take(&mut world, cut, 450, false), 1, "its clients wait for 450 of the 1000 ms a try");
    assert_eq!(take(&mut world, whole, 1000, false), 1, "theirs wait to the end");
    assert_eq!(take(&mut world, whole, 590, true), 0, "410 ms have gone by, the aim is 400");
    assert_eq!(take(&mut world, cut, 450, true), 0, "it has waited as long as that at least");
    assert_eq!(take(&mut world, cut, 450, false), 1, "a first try has not");
    assert_eq!(take(&mut world, whole, 990, true), 1, "10 ms have gone by");
    assert_eq!(take(&mut world, cut, 450, true), 1, "nor need it have waited for longer");
}
