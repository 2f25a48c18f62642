//! Digests of all actions of fleets with fixed seeds. A change that keeps the behaviour keeps every
//! digest; the commit of a change of behaviour says why digests change.

use ottertiller_balancer::{Settings, Tenant};
use ottertiller_balancer_simulation::fixtures::{
    health_check_settings, ms, response_report_settings, settings,
};
use ottertiller_balancer_simulation::fleet::{FleetConfig, FleetSimulation, RecordedActions};

const SEEDS: [u64; 2] = [1, 2];
const FLEET_SIZES: [u32; 2] = [1, 12];

/// Adds slow start and two tenants to settings, and costs if `with_costs`.
fn with_tenants(base: Settings, with_costs: bool) -> Settings {
    let mut settings = base;
    settings.rules.initial_capacity = 0.3;
    settings.rules.slow_start_window = ms(8_500);
    settings.rules.overload_factor = 4.0;
    settings.tenants = vec![
        Tenant {
            quota_per_s: 100.0,
            quota_share: 0.5,
        },
        Tenant {
            quota_per_s: 10.0,
            quota_share: 0.1,
        },
    ];
    settings.over_quota_weight = 0.1;
    settings.objective_weights.worst_class = 0.1;
    settings.limits.max_retry_after = Some(ms(2_000));
    if with_costs {
        settings.cost_weights.connections = 0.2;
        settings.weight_by_work = true;
    }
    settings
}

/// Plays twenty seconds in which endpoints are replaced twice and all nodes are restarted.
fn play(settings: &Settings, nodes: u32, seed: u64) -> RecordedActions {
    let config = FleetConfig {
        settings,
        nodes,
        endpoints: 24,
        capacity: 25.0,
        rate: 400.0,
        seed,
        faults: true,
    };
    let mut fleet = FleetSimulation::new(config);
    fleet.advance(ms(5_000));
    fleet.replace_endpoints(0..6, 24..30);
    fleet.restart_nodes(ms(4_000));
    fleet.advance(ms(5_000));
    fleet.replace_endpoints(6..12, 30..36);
    fleet.advance(ms(10_000));
    fleet.recorded_actions()
}

/// Returns the recorded actions of fleets of one and of twelve nodes, each with every seed.
fn digests(settings: &Settings) -> Vec<String> {
    FLEET_SIZES
        .into_iter()
        .flat_map(|nodes| SEEDS.map(|seed| play(settings, nodes, seed).to_string()))
        .collect()
}

#[test]
fn digests_unchanged_with_watch_and_health_check_reports() {
    assert_eq!(
        digests(&with_tenants(health_check_settings(), true)),
        [
            "36039 actions, b0e2ae34ee9de69b",
            "36896 actions, e9c709e0598e6416",
            "52139 actions, ced7b6e78462c183",
            "53950 actions, 1aeba97f97cc9164"
        ]
    );
}

#[test]
fn digests_unchanged_with_polling_and_health_check_reports() {
    let settings = Settings {
        poll_endpoints: true,
        ..with_tenants(health_check_settings(), false)
    };
    assert_eq!(
        digests(&settings),
        [
            "39216 actions, b036bf0539e3ede6",
            "36347 actions, ebb8c0b44d1b4cf0",
            "65616 actions, 6c503d12bb25a947",
            "64079 actions, 6fc45fad2a113d3c"
        ]
    );
}

#[test]
fn digests_unchanged_with_watch_and_response_reports() {
    assert_eq!(
        digests(&with_tenants(response_report_settings(), true)),
        [
            "19134 actions, 3a9d50339ec2a44c",
            "19643 actions, 1239bc3f56480273",
            "19851 actions, 5dad9159df2efef2",
            "20700 actions, def5253e64934fd3"
        ]
    );
}

#[test]
fn digests_unchanged_with_polling_and_no_load_reports() {
    let settings = Settings {
        poll_endpoints: true,
        ..with_tenants(settings(), false)
    };
    assert_eq!(
        digests(&settings),
        [
            "18710 actions, 7a6658f0f613b239",
            "18545 actions, 7a74fcb4683dbfbe",
            "22027 actions, a199f252c2be47ff",
            "21850 actions, de7a6689083fe562"
        ]
    );
}

#[test]
fn digests_unchanged_without_parallel_or_cancelled_attempts() {
    let mut settings = with_tenants(response_report_settings(), false);
    settings.limits.allow_parallel_attempts = false;
    settings.limits.allow_cancellation = false;
    for class in &mut settings.classes {
        class.late_weight = 0.3;
    }
    assert_eq!(
        digests(&settings),
        [
            "16426 actions, add8ef74c6a1b41e",
            "16564 actions, a61eb40ec7c0f5a3",
            "16975 actions, e8162106a7c7b60d",
            "17001 actions, 54c1db60237d6cf2"
        ]
    );
}
