//! The example configuration of the README: the node starts with it, and its settings are read.

use ottertiller_balancer::settings::SettingsFile;
use ottertiller_balancer::{Idempotency, LoadReportSource};
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Stdio};

const EXAMPLE: &str = include_str!("../../../docs/example-config.json");

/// The example with other addresses in place of its fixed ones.
fn with_addresses(listen: &str, discovery: &str) -> String {
    assert!(EXAMPLE.contains("\"127.0.0.1:8080\"") && EXAMPLE.contains("\"127.0.0.1:8081\""));
    let config = EXAMPLE.replace("127.0.0.1:8080", listen);
    config.replace("127.0.0.1:8081", discovery)
}

#[test]
fn the_node_starts_with_the_example_configuration() {
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery_address = discovery.local_addr().expect("its address").to_string();
    let name = format!("example-config-{}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, with_addresses("127.0.0.1:0", &discovery_address)).expect("a file");

    let mut node = Command::new(env!("CARGO_BIN_EXE_ottertiller"))
        .env("PROXY_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the node starts");
    let mut first_line = String::new();
    let read = BufReader::new(node.stderr.take().expect("its log")).read_line(&mut first_line);
    let _ = node.kill(); // it may have ended by itself
    node.wait().expect("its end");
    fs::remove_file(&path).expect("the file is there");

    read.expect("a line of the log");
    let expected = "node-0 listens on 127.0.0.1:";
    assert!(first_line.contains(expected), "{first_line}");
}

#[test]
fn the_settings_of_the_example_are_read() {
    let config: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
    let text = config["settings"].to_string();
    let file = SettingsFile::parse(text.as_bytes()).expect("settings");
    assert_eq!(file.class_names, ["read", "submit", "correct"]);
    assert_eq!(file.tenant_names, ["acme", "globex"]);
    assert_eq!(file.zone_names, ["east", "west"]);
    assert_eq!(file.machine_type_names, ["small", "large"]);
    assert_eq!(file.load_report_columns.len(), 2);
    let settings = file.settings;
    assert_eq!(settings.node_count, 2);
    assert_eq!(settings.load_reports, LoadReportSource::Responses);
    assert_eq!(settings.limits.max_attempts, 3);
    assert!(settings.limits.allow_parallel_attempts && settings.limits.max_retry_after.is_some());
    let classes = settings.classes.iter();
    let idempotency: Vec<Idempotency> = classes.map(|class| class.idempotency).collect();
    assert_eq!(idempotency[0], Idempotency::Idempotent);
    assert!(matches!(idempotency[1], Idempotency::Keyed { .. }));
    assert_eq!(idempotency[2], Idempotency::NotIdempotent);
}
