//! Rule 4 for the whole fleet: what all nodes together send to servers that have just started.

mod world;

use ottertiller_balancer::*;
use world::fleet::Fleet;
use world::{class, ms};

fn settings(factor: f64) -> Settings {
    let mut settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    settings.limits.cancel = true;
    settings.rules = Rules {
        initial_capacity: 0.15,
        slow_start_window: ms(20_000),
        overload_factor: factor,
        overload_window: ms(1500),
        ..settings.rules
    };
    settings
}

/// A fleet at that load, half of whose servers have just been replaced while all nodes are restarted in turn.
/// A warm server can do `capacity` requests a second.
fn rolled(nodes: u32, endpoints: u64, capacity: f64, factor: f64, load: f64, seed: u64) -> Fleet {
    let rate = load * endpoints as f64 * capacity;
    let mut fleet = Fleet::new(&settings(factor), nodes, endpoints, capacity, rate, seed);
    fleet.pass(ms(6000));
    fleet.replace(0..endpoints / 2, endpoints..endpoints + endpoints / 2);
    fleet.restart_all(ms(8000));
    fleet.pass(ms(10_000));
    fleet
}

/// N is what the settings allow a server at its present capacity; beyond that, 2 x root of N + 2 are left to chance.
#[test]
fn all_nodes_together_stay_within_what_a_cold_server_is_allowed() {
    // The less a server can do, the more is left to chance; the more, the less.
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
            let excess = rolled(nodes, endpoints, capacity, factor, load, seed).excess();
            let case = format!("{nodes} nodes, capacity {capacity}, factor {factor}, load {load}");
            assert!(excess <= 0.0, "{case}: {excess} too many");
        }
    }
}

/// The danger: in a jam the warm servers answer little, and the cold ones, which alone have room, are sent as little.
#[test]
fn cold_servers_carry_their_part_while_warm_ones_are_in_a_jam() {
    for (factor, seed) in [(1.5, 1), (1.5, 2), (2.0, 1), (2.0, 2), (4.0, 1), (4.0, 2)] {
        let fleet = rolled(350, 120, 20.0, factor, 0.9, seed);
        let new = fleet.endpoints.values().filter(|endpoint| endpoint.entry.started.is_some());
        let served: usize = new.map(|endpoint| endpoint.served).sum();
        // From 0.15 of a warm server's to 0.575, 60 of them, for 10 s.
        let could = (0.15 + 0.575) / 2.0 * 20.0 * 60.0 * 10.0;
        let share = served as f64 / could;
        assert!(share > 0.26, "factor {factor}: they served {share} of what they can");
    }
}
