//! Slow start for a whole fleet: what all nodes together send to endpoints that have just started.

use ottertiller_balancer::{Idempotency, Rules, Settings};
use ottertiller_balancer_simulation::fixtures::{class, ms};
use ottertiller_balancer_simulation::fleet::{FleetConfig, FleetSimulation};
use std::time::Duration;

const INITIAL_CAPACITY: f64 = 0.15;
const SLOW_START_WINDOW: Duration = Duration::from_secs(20);
/// The time before endpoints are replaced.
const WARM_UP: Duration = Duration::from_secs(6);
/// The time in which nodes are restarted one after the other.
const RESTART_TIME: Duration = Duration::from_secs(8);
/// The time that is played after endpoints were replaced.
const OBSERVED_TIME: Duration = Duration::from_secs(10);

/// A fleet, and the requests that it is sent.
#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: u32,
    endpoints: u64,
    /// Requests a second that a warm endpoint can do.
    capacity: f64,
    overload_factor: f64,
    /// The fraction of the capacity of all endpoints that the requests take.
    load: f64,
    seed: u64,
}

/// Returns settings with a slow start of twenty seconds.
fn slow_start_settings(overload_factor: f64) -> Settings {
    let mut settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    settings.limits.allow_cancellation = true;
    settings.rules = Rules {
        initial_capacity: INITIAL_CAPACITY,
        slow_start_window: SLOW_START_WINDOW,
        overload_factor,
        overload_window: ms(1500),
        ..settings.rules
    };
    settings
}

/// Starts a fleet.
fn start_fleet(case: Case) -> FleetSimulation {
    let settings = slow_start_settings(case.overload_factor);
    FleetSimulation::new(FleetConfig {
        settings: &settings,
        nodes: case.nodes,
        endpoints: case.endpoints,
        capacity: case.capacity,
        rate: case.load * case.endpoints as f64 * case.capacity,
        seed: case.seed,
        faults: false,
    })
}

/// Replaces the first half of the endpoints by new ones.
fn replace_half_of_endpoints(fleet: &mut FleetSimulation, endpoints: u64) {
    fleet.replace_endpoints(0..endpoints / 2, endpoints..endpoints + endpoints / 2);
}

/// Plays a deployment: half of the endpoints are replaced, and all nodes are restarted in turn.
fn rolling_deployment(case: Case) -> FleetSimulation {
    let mut fleet = start_fleet(case);
    fleet.advance(WARM_UP);
    replace_half_of_endpoints(&mut fleet, case.endpoints);
    fleet.restart_nodes(RESTART_TIME);
    fleet.advance(OBSERVED_TIME);
    fleet
}

/// Checks what all nodes together send to an endpoint in slow start. N is what the settings allow
/// it at its present capacity; 2 x sqrt(N) + 2 requests more are the allowance for chance.
#[test]
fn fleet_stays_within_slow_start_limit_of_each_endpoint() {
    // The allowance for chance is relatively larger at a small capacity.
    for (nodes, endpoints, capacity) in [
        (1, 10, 20.0),
        (1, 10, 100.0),
        (3, 12, 20.0),
        (3, 12, 100.0),
        (30, 40, 20.0),
        (30, 24, 100.0),
        (350, 120, 20.0),
        (350, 36, 100.0),
    ] {
        for (overload_factor, load, seed) in
            [(1.5, 0.9, 1), (1.5, 0.9, 2), (1.5, 0.5, 3), (4.0, 0.9, 4)]
        {
            let case = Case {
                nodes,
                endpoints,
                capacity,
                overload_factor,
                load,
                seed,
            };
            let overload = rolling_deployment(case).max_limit_excess();
            assert!(overload <= 0.0, "{case:?}: {overload} too many");
        }
    }
}

/// In an overload the other endpoints complete few requests in time. Endpoints in slow start, which
/// alone have capacity left, must not be limited to as few.
#[test]
fn slow_start_endpoints_carry_share_while_others_overloaded() {
    const CAPACITY: f64 = 20.0;
    const ENDPOINTS: u64 = 120;
    for (overload_factor, seed) in [(1.5, 1), (1.5, 2), (2.0, 1), (2.0, 2), (4.0, 1), (4.0, 2)] {
        let fleet = rolling_deployment(Case {
            nodes: 350,
            endpoints: ENDPOINTS,
            capacity: CAPACITY,
            overload_factor,
            load: 0.9,
            seed,
        });
        let new = fleet
            .endpoints
            .values()
            .filter(|endpoint| endpoint.entry.started.is_some());
        let served: usize = new.map(|endpoint| endpoint.served).sum();
        let observed = OBSERVED_TIME.as_secs_f64();
        let progress = observed / SLOW_START_WINDOW.as_secs_f64();
        let final_capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * progress;
        let mean_capacity = (INITIAL_CAPACITY + final_capacity) / 2.0;
        let possible = mean_capacity * CAPACITY * (ENDPOINTS / 2) as f64 * observed;
        let share = served as f64 / possible;
        assert!(
            share > 0.26,
            "factor {overload_factor}: they served {share} of what they can"
        );
    }
}

/// Start times are listed by the wall clock, which may be stepped by any amount. By the clocks of
/// the nodes, the endpoints have only just started.
#[test]
fn fleet_stays_within_slow_start_limit_after_clock_step() {
    for clock_step_ms in [-60_000, -20_000, -6_000, -2_000, 3_600_000] {
        for (nodes, endpoints, capacity, overload_factor) in [
            (3, 12, 100.0, 1.5),
            (30, 24, 100.0, 1.5),
            (30, 24, 100.0, 4.0),
        ] {
            let case = Case {
                nodes,
                endpoints,
                capacity,
                overload_factor,
                load: 0.9,
                seed: 1,
            };
            let mut fleet = start_fleet(case);
            fleet.clock_step_ms = clock_step_ms;
            fleet.advance(WARM_UP);
            replace_half_of_endpoints(&mut fleet, endpoints);
            fleet.advance(OBSERVED_TIME);
            let overload = fleet.max_limit_excess();
            assert!(
                overload <= 0.0,
                "{case:?}, clock stepped by {clock_step_ms} ms: {overload} too many"
            );
        }
    }
}
