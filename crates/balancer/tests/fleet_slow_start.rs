//! Slow start for a whole fleet: what all nodes together send to endpoints that have just started.

use ottertiller_balancer::{Idempotency, Rules, Settings};
use ottertiller_balancer_simulation::fixtures::{class, ms};
use ottertiller_balancer_simulation::fleet::{FleetConfig, FleetSimulation};

fn settings(overload_factor: f64) -> Settings {
    let mut settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    settings.limits.cancel = true;
    settings.rules = Rules {
        initial_capacity: 0.15,
        slow_start_window: ms(20_000),
        overload_factor,
        overload_window: ms(1500),
        ..settings.rules
    };
    settings
}

/// A fleet at that part of its capacity, half of whose endpoints have just been replaced while all
/// nodes are restarted in turn.
fn rolling_deployment(
    nodes: u32,
    endpoints: u64,
    capacity: f64,
    overload_factor: f64,
    load: f64,
    seed: u64,
) -> FleetSimulation {
    let settings = settings(overload_factor);
    let rate = load * endpoints as f64 * capacity;
    let config = FleetConfig {
        settings: &settings,
        nodes,
        endpoints,
        capacity,
        rate,
        seed,
        faults: false,
    };
    let mut fleet = FleetSimulation::new(config);
    fleet.advance(ms(6000));
    fleet.replace_endpoints(0..endpoints / 2, endpoints..endpoints + endpoints / 2);
    fleet.restart_nodes(ms(8000));
    fleet.advance(ms(10_000));
    fleet
}

/// Checks what all nodes together send to an endpoint in slow start. N is what the settings allow
/// it at its present capacity; 2 x sqrt(N) + 2 requests more are the allowance for chance.
#[test]
fn fleet_stays_within_slow_start_limit_of_each_endpoint() {
    // The less an endpoint can do, the more is left to chance; the more, the less.
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
        for (factor, load, seed) in [(1.5, 0.9, 1), (1.5, 0.9, 2), (1.5, 0.5, 3), (4.0, 0.9, 4)] {
            let overload =
                rolling_deployment(nodes, endpoints, capacity, factor, load, seed).worst_overload();
            let case = format!("{nodes} nodes, capacity {capacity}, factor {factor}, load {load}");
            assert!(overload <= 0.0, "{case}: {overload} too many");
        }
    }
}

/// In an overload the other endpoints complete few requests in time. Endpoints in slow start, which
/// alone have capacity left, must not be limited to as few.
#[test]
fn slow_start_endpoints_carry_share_while_others_overloaded() {
    for (factor, seed) in [(1.5, 1), (1.5, 2), (2.0, 1), (2.0, 2), (4.0, 1), (4.0, 2)] {
        let fleet = rolling_deployment(350, 120, 20.0, factor, 0.9, seed);
        let new = fleet
            .endpoints
            .values()
            .filter(|endpoint| endpoint.entry.started.is_some());
        let served: usize = new.map(|endpoint| endpoint.served).sum();
        // From 0.15 of the full capacity to 0.575, 60 of them, for 10 s.
        let capacity = (0.15 + 0.575) / 2.0 * 20.0 * 60.0 * 10.0;
        let share = served as f64 / capacity;
        assert!(
            share > 0.26,
            "factor {factor}: they served {share} of what they can"
        );
    }
}

/// Start times are listed by the wall clock, which may be stepped by any amount. By the clocks of
/// the nodes, the endpoints have only just started.
#[test]
fn fleet_stays_within_slow_start_limit_after_clock_step() {
    for clock_step_ms in [-60_000, -20_000, -6_000, -2_000, 3_600_000] {
        for (nodes, endpoints, capacity, factor) in [
            (3, 12, 100.0, 1.5),
            (30, 24, 100.0, 1.5),
            (30, 24, 100.0, 4.0),
        ] {
            let settings = settings(factor);
            let rate = 0.9 * endpoints as f64 * capacity;
            let config = FleetConfig {
                settings: &settings,
                nodes,
                endpoints,
                capacity,
                rate,
                seed: 1,
                faults: false,
            };
            let mut fleet = FleetSimulation::new(config);
            fleet.clock_step_ms = clock_step_ms;
            fleet.advance(ms(6000));
            fleet.replace_endpoints(0..endpoints / 2, endpoints..endpoints + endpoints / 2);
            fleet.advance(ms(10_000));
            let overload = fleet.worst_overload();
            let case =
                format!("{nodes} nodes, factor {factor}, clock stepped by {clock_step_ms} ms");
            assert!(overload <= 0.0, "{case}: {overload} too many");
        }
    }
}
