//! The log never blocks the node, and lines that peers can cause are rate-limited.

use crate::support::endpoint::{ScriptedEndpoint, ok_with_headers};
use crate::support::setup::{NodeSetup, start_node};
use std::time::Instant;

/// The rate limit of log lines that peers can cause.
const MAX_PEER_LINES_PER_SECOND: usize = 10;

#[test]
fn unread_log_does_not_block_node() {
    let endpoint = ScriptedEndpoint::serving("");
    let (mut node, _discovery) = NodeSetup::default().unread_log().start(&[&endpoint]);
    assert_eq!(node.client().request_idempotent().status(), 200);
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn peer_errors_do_not_flood_log() {
    let endpoint = ScriptedEndpoint::start(|_| ok_with_headers("X-Load-Report: inflight=many\r\n"));
    let (node, _discovery) = start_node(&[&endpoint]);
    let (mut client, started) = (node.client(), Instant::now());
    (0..500).for_each(|_| assert_eq!(client.request_idempotent().status(), 200));
    let lines = node.count_log_lines("malformed load report");
    let max_lines = MAX_PEER_LINES_PER_SECOND * (started.elapsed().as_secs() as usize + 2);
    assert!(
        (1..=max_lines).contains(&lines),
        "{lines} lines, expected 1 to {max_lines}"
    );
}
