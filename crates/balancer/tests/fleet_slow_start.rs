//! Slow start in a fleet: the number of requests that all nodes together send to endpoints that
//! have just started.

use ottertiller_balancer::{Idempotency, Rules, Settings};
use ottertiller_balancer_simulation::fixtures::{class, ms};
use ottertiller_balancer_simulation::fleet::{FleetConfig, FleetSimulation};
use std::time::Duration;

const INITIAL_CAPACITY: f64 = 0.15;
const SLOW_START_WINDOW: Duration = Duration::from_secs(20);
/// The time until endpoints are replaced.
const WARM_UP: Duration = Duration::from_secs(6);
/// The time over which the restarts of all nodes are spread.
const RESTART_TIME: Duration = Duration::from_secs(8);
/// The time that is simulated after endpoints were replaced.
const OBSERVED_TIME: Duration = Duration::from_secs(10);

/// The parameters of a fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: u32,
    endpoints: u64,
    /// The capacity of a warm endpoint, in requests per second.
    capacity: f64,
    overload_factor: f64,
    /// The rate of requests, as a fraction of the total capacity of all endpoints.
    load: f64,
    seed: u64,
}

/// Returns settings with a slow start window of 20 s.
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

/// Simulates a rolling deployment: half of the endpoints are replaced, and all nodes restart in
/// turn.
fn rolling_deployment(case: Case) -> FleetSimulation {
    let mut fleet = start_fleet(case);
    fleet.advance(WARM_UP);
    replace_half_of_endpoints(&mut fleet, case.endpoints);
    fleet.restart_nodes(RESTART_TIME);
    fleet.advance(OBSERVED_TIME);
    fleet
}

/// Checks the number of requests that all nodes together send to an endpoint in slow start. The
/// limit is N + 2 x sqrt(N) + 2. N is the number that the settings allow at the endpoint's current
/// capacity; the rest is an allowance for random variation.
#[test]
fn fleet_stays_within_slow_start_limit_of_each_endpoint() {
    // At a small capacity, the allowance for random variation is relatively larger.
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
            let excess = rolling_deployment(case).max_limit_excess();
            assert!(excess <= 0.0, "{case:?}: {excess} requests above the limit");
        }
    }
}

/// If the warm endpoints are overloaded, they serve few requests in time, and only endpoints in
/// slow start have capacity left. The limit of these must not fall with what warm endpoints serve.
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
            "overload factor {overload_factor}: new endpoints served only {share} of capacity"
        );
    }
}

/// Endpoint lists give start times by the wall clock, which may be stepped by any amount. Endpoints
/// that have just started then appear older, or seem to start in the future. Their limit must hold
/// all the same. The fleet simulates the step by a constant offset of all start times.
#[test]
fn fleet_stays_within_slow_start_limit_after_clock_step() {
    for wall_clock_offset_ms in [-60_000, -20_000, -6_000, -2_000, 3_600_000] {
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
            fleet.wall_clock_offset_ms = wall_clock_offset_ms;
            fleet.advance(WARM_UP);
            replace_half_of_endpoints(&mut fleet, endpoints);
            fleet.advance(OBSERVED_TIME);
            let excess = fleet.max_limit_excess();
            assert!(
                excess <= 0.0,
                "{case:?}, wall clock ahead by {wall_clock_offset_ms} ms: {excess} requests above \
                 the limit"
            );
        }
    }
}
