//! Subsetting: how many of the listed endpoints a node uses.

use crate::support::serve_one;
use ottertiller_balancer::Settings;
use ottertiller_balancer_simulation::fixtures::{ms, response_report_settings};
use ottertiller_balancer_simulation::node::NodeSimulation;
use std::collections::{BTreeMap, BTreeSet};

/// If each node connected to each endpoint, most connection attempts would fail.
#[test]
fn costly_connections_lead_to_small_and_balanced_subsets() {
    let mut settings = response_report_settings();
    settings.node_count = 40;
    settings.cost_weights.connections = 0.1;
    let mut nodes_of = BTreeMap::new();
    for node_index in 0..settings.node_count {
        let settings = Settings {
            node_index,
            ..settings.clone()
        };
        let seed = node_index.into();
        let mut node = NodeSimulation::with_seed_and_endpoints(settings, seed, 20);
        let used: BTreeSet<u64> = (0..100).map(|_| serve_one(&mut node, 1.0)).collect();
        assert!((2..=5).contains(&used.len()), "{used:?}");
        for endpoint in used {
            *nodes_of.entry(endpoint).or_insert(0) += 1;
        }
    }
    let (fewest, most) = (nodes_of.values().min(), nodes_of.values().max());
    assert!(nodes_of.len() == 20 && fewest == most, "{nodes_of:?}");
}

/// With dozens of endpoints, a quiet node would send to each too rarely to learn which are slow.
#[test]
fn quiet_node_uses_only_endpoints_it_can_observe() {
    let endpoints_used = |pause: u64| {
        let mut node = NodeSimulation::with_endpoints(response_report_settings(), 40);
        let mut used = BTreeSet::new();
        for step in 0..200 {
            let to = serve_one(&mut node, 1.0);
            node.advance(ms(pause));
            if step >= 50 {
                used.insert(to);
            }
        }
        used.len()
    };
    let (quiet, busy) = (endpoints_used(400), endpoints_used(20));
    assert!(
        (6..=10).contains(&quiet) && busy > 30,
        "{quiet} by a quiet node, {busy} by a busy one"
    );
}

/// Each event iterates over the endpoints of the subset several times. With hundreds of endpoints
/// in the subset, this would take all the CPU time.
#[test]
fn subset_size_does_not_grow_with_endpoint_list() {
    let mut node = NodeSimulation::with_endpoints(response_report_settings(), 500);
    let used: BTreeSet<u64> = (0..2000).map(|_| serve_one(&mut node, 1.0)).collect();
    assert!((32..=64).contains(&used.len()), "{}", used.len());
}
