//! Unusual settings: a single node, free health checks, no load reports, no slow start.

use ottertiller_balancer::{CostWeights, ListKind, Outcome, Rules, Settings};
use ottertiller_balancer_simulation::fixtures::classes::NOT_IDEMPOTENT;
use ottertiller_balancer_simulation::fixtures::{
    health_check_settings, ms, response_report_settings, settings, started_entry,
};
use ottertiller_balancer_simulation::node::NodeSimulation;

#[test]
fn node_serves_and_keeps_invariants_with_unusual_settings() {
    let one_node = Settings {
        node_count: 1,
        ..health_check_settings()
    };
    let free_health_checks = Settings {
        cost_weights: CostWeights::default(),
        ..health_check_settings()
    };
    let mut no_load_reports = health_check_settings();
    no_load_reports.limits.allow_health_checks = false;
    let no_reports_at_all = settings();
    let mut no_slow_start = response_report_settings();
    no_slow_start.rules = Rules {
        initial_capacity: 1.0,
        slow_start_window: ms(0),
        ..no_slow_start.rules
    };
    for settings in [
        one_node,
        free_health_checks,
        no_load_reports,
        no_reports_at_all,
        no_slow_start,
    ] {
        let mut node = NodeSimulation::new(settings);
        let started = (0..4).map(|number| started_entry(number, node.now));
        node.update_endpoints(ListKind::Snapshot, started.collect());
        let mut served = 0;
        for _ in 0..100 {
            node.request(NOT_IDEMPOTENT);
            node.advance(ms(15));
            node.end_health_checks(&[0, 1, 2, 3]);
            node.advance(ms(15));
            for attempt in node.attempts_in_flight() {
                node.end_attempt(attempt, Outcome::Served, None);
                served += 1;
            }
        }
        assert!(
            served >= 90,
            "{served} of 100 served with {:?}",
            node.settings
        );
    }
}
