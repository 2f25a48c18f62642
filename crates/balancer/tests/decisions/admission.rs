//! Admission: what is shed when there is more to do than the endpoints can.

use crate::support::{endpoints_attempted, is_shed, serve_one};
use ottertiller_balancer::{Outcome, Tenant};
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn tenant_over_quota_is_shed_first() {
    let mut settings = response_report_settings();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 30.0,
            quota_share: 0.5
        };
        2
    ];
    settings.over_quota_weight = 0.1;
    let mut node = NodeSimulation::with_endpoints(settings, 2);
    // Tenant 0 floods, tenant 1 keeps to its quota; crowded endpoints respond to nothing in time.
    let mut sheds = [0, 0];
    for step in 0..2000 {
        let tenant = usize::from(step % 23 == 0);
        let (_, actions) = node.request_with(1, tenant, ms(1000), None);
        sheds[tenant] += usize::from(is_shed(&actions));
        node.advance(ms(5));
        let in_flight = node.in_flight();
        if step % 10 == 0 && !in_flight.is_empty() {
            node.end_attempt(in_flight[0].0, in_flight[0].1, Outcome::Served, None);
        }
    }
    let [flood, modest] = [sheds[0] as f64 / 1913.0, sheds[1] as f64 / 87.0];
    assert!(
        flood > 0.3 && modest < flood,
        "shed: {flood} of the flood, {modest} of the modest tenant"
    );
}

/// A node without any history must not send dozens of requests to an endpoint before its first
/// attempt there times out.
#[test]
fn fresh_node_limits_requests_in_flight_during_overload() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    for _ in 0..300 {
        node.request(1);
        node.advance(ms(1));
    }
    assert!(
        node.in_flight().len() <= 4 * 2,
        "{} in flight at four silent endpoints",
        node.in_flight().len()
    );
}

/// Endpoints are already overloaded when nearly all responses arrive just within the latency
/// objective, so such responses must not open crowding levels.
#[test]
fn responses_near_objective_close_crowding_level() {
    let fill = |answer: u64| {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
        let mut most = 0;
        for _ in 0..2000 {
            node.request(1);
            node.advance(ms(2));
            most = most.max(node.in_flight().len());
            let due: Vec<_> = node
                .in_flight()
                .into_iter()
                .filter(|(id, _)| node.since_first_attempt(*id) >= ms(answer))
                .collect();
            due.into_iter().for_each(|(id, attempt)| {
                drop(node.end_attempt(id, attempt, Outcome::Served, Some(3.0)))
            });
        }
        most
    };
    let (quick, late) = (fill(100), fill(390));
    assert!(
        quick >= 4 * 4,
        "{quick} in flight at four endpoints: responses with time to spare open the levels"
    );
    assert!(
        late <= 4 * 2,
        "{late} in flight at four endpoints: responses at the last moment keep them closed"
    );
}

/// In an overload, the fraction of requests that is shed depends on their priority.
#[test]
fn higher_priority_is_admitted_first_in_overload() {
    let mut settings = response_report_settings();
    settings.classes[1].priority_weight = 10.0;
    let mut node = NodeSimulation::with_endpoints(settings, 4);
    let mut sent = [0, 0];
    for step in 0..600 {
        let class = step % 2;
        let (id, actions) = node.request(class);
        if !endpoints_attempted(&actions).is_empty() {
            sent[class] += 1;
            node.advance(ms(390)); // with nothing to spare
            node.end_attempt(id, 0, Outcome::Served, Some(3.0));
        }
    }
    assert!(sent[1] > 2 * sent[0] && sent[0] > 0, "{sent:?}");
}

/// Hundreds of nodes may overload the endpoints with one request each, while no endpoint looks
/// crowded to any of them. A node then sheds, and admits all again after the overload.
#[test]
fn late_responses_of_idle_endpoints_cause_shedding_and_recovery() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    let sent = |node: &mut NodeSimulation, takes: u64| {
        let mut sent = 0;
        for _ in 0..200 {
            let (id, actions) = node.request(1);
            if !endpoints_attempted(&actions).is_empty() {
                sent += 1;
                node.advance(ms(takes));
                node.end_attempt(id, 0, Outcome::Served, Some(3.0));
            }
        }
        sent
    };
    assert_eq!(sent(&mut node, 50), 200);
    let slow = sent(&mut node, 390);
    assert!((15..100).contains(&slow), "{slow}");
    sent(&mut node, 50);
    assert_eq!(sent(&mut node, 50), 200);
}

/// While endpoints are busy, a heavy request that cannot finish in time would take the place of
/// many light ones. It is sent if most endpoints are idle.
#[test]
fn request_with_cost_beyond_objective_is_shed_at_once() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 4);
    for _ in 0..60 {
        serve_one(&mut node, 3.0); // none is idle
    }
    assert!(
        is_shed(&node.request_with(1, 0, ms(1000), Some(ms(420))).1),
        "420 ms of work, 400 to the objective"
    );
    assert_eq!(
        endpoints_attempted(&node.request_with(1, 0, ms(1000), Some(ms(200))).1).len(),
        1
    );
    for _ in 0..200 {
        serve_one(&mut node, 0.0);
    }
    assert_eq!(
        endpoints_attempted(&node.request_with(1, 0, ms(1000), Some(ms(420))).1).len(),
        1,
        "most are idle: it may try"
    );
}
