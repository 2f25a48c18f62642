//! Configurations and settings of the node under test.

use std::net::SocketAddr;

/// A latency objective and deadline that no test reaches, in milliseconds.
pub const LONG_MS: u64 = 20_000;

/// Classes `read` (idempotent), `submit` (keyed) and `correct` (not idempotent), all with the same
/// times.
pub fn settings(objective_ms: u64, permissions: &str) -> String {
    let class = |name: &str, kind: &str| {
        format!(
            r#"{{"Name":"{name}","Target":{objective_ms},"GiveUp":{objective_ms},"Idempotency":"{kind}","Group":"zone","Window":60000}}"#
        )
    };
    let classes = [
        class("read", "free"),
        class("submit", "guarded"),
        class("correct", "single_shot"),
    ]
    .join(",");
    format!(
        r#"{{"Classes":[{classes}],"Projects":[{{"Name":"acme","AllowancePerS":1000,"Share":1}}],
        "Localities":["a","b"],"HostTypes":["m"],"Quantum":5,"OverShareWorth":1,"Rules":{{"DrainGrace":2000}},
        "ObjectiveWeights":{{"Whole":1}},"LoadReport":{{"Columns":["concurrent","depth"],"Via":"piggyback"}},
        "Permissions":{{"AttemptsCap":3,"Cancel":true,"ConnectTimeout":2000,"MaxRetryAfter":1500,
        "RetryAfter":true{permissions}}}}}"#
    )
}

/// Settings of a site where the endpoint list must be polled.
pub fn polling_settings() -> String {
    let settings = settings(LONG_MS, "").replacen('{', r#"{"RegistryMode":"ask","#, 1);
    settings.replace(
        r#""DrainGrace":2000"#,
        r#""DrainGrace":2000,"MustAskIn":1000"#,
    )
}

/// A configuration with that many descriptors for sockets.
pub fn config(discovery: SocketAddr, settings: &str, sockets: usize) -> String {
    config_with(
        discovery,
        settings,
        &format!(r#""memory_mb":192,"sockets":{sockets}"#),
    )
}

/// A configuration with these limits.
pub fn config_with(discovery: SocketAddr, settings: &str, limits: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,{limits}}},
        "known":{{"index":7,"snapshot":true,"endpoints":[]}},"settings":{settings}}}"#
    )
}
