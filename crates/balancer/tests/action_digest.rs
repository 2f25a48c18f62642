//! The decisions of fixed seeds, action by action: a change of the code that is to leave behaviour
//! as it is leaves every digest as it is. A change of behaviour changes some, and its commit says
//! why.

use ottertiller_balancer::{Settings, Tenant};
use ottertiller_balancer_simulation::fixtures::{
    health_check_settings, ms, response_report_settings, settings,
};
use ottertiller_balancer_simulation::fleet::{FleetConfig, FleetSimulation};

const SEEDS: [u64; 2] = [1, 2];

/// The settings of one kind of site, with slow start and two tenants.
fn site(base: Settings, with_prices: bool) -> Settings {
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
    if with_prices {
        settings.cost_weights.connections = 0.2;
        settings.weight_by_work = true;
    }
    settings
}

/// Twenty seconds with a rolling replacement of endpoints, and all nodes restarted meanwhile.
fn play(settings: &Settings, nodes: u32, seed: u64) -> (usize, String) {
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
    fleet.digest()
}

/// What fleets of one and of twelve nodes do with these settings, for each seed.
fn digests(settings: &Settings) -> Vec<String> {
    let fleets = [1, 12]
        .into_iter()
        .flat_map(|nodes| SEEDS.map(|seed| (nodes, seed)));
    let played = fleets.map(|(nodes, seed)| play(settings, nodes, seed));
    played
        .map(|(actions, digest)| format!("{actions} actions, {digest}"))
        .collect()
}

#[test]
fn digests_unchanged_with_watch_and_health_check_reports() {
    assert_eq!(
        digests(&site(health_check_settings(), true)),
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
        ..site(health_check_settings(), false)
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
        digests(&site(response_report_settings(), true)),
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
        ..site(settings(), false)
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
    let mut settings = site(response_report_settings(), false);
    settings.limits.parallel_attempts = false;
    settings.limits.cancel = false;
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.late_weight = 0.3);
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
