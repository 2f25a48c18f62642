//! The log: never a reason to block, and bounded whatever peers do.

use crate::support::endpoint::{ScriptedEndpoint, ok_with_headers};
use crate::support::setup::{NodeSetup, start_node};
use std::time::Instant;

/// The limit of lines that peers can cause.
const LINES_PER_SECOND: usize = 10;

#[test]
fn unread_log_does_not_block_node() {
    let endpoint = ScriptedEndpoint::serving("");
    let (mut node, _discovery) = NodeSetup::default().unread_log().start(&[&endpoint]);
    assert_eq!(node.client().request_read().status(), 200);
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn peer_errors_do_not_flood_log() {
    let endpoint = ScriptedEndpoint::start(|_| ok_with_headers("X-Load-Report: inflight=many\r\n"));
    let (node, _discovery) = start_node(&[&endpoint]);
    let (mut client, start) = (node.client(), Instant::now());
    (0..500).for_each(|_| assert_eq!(client.request_read().status(), 200));
    let lines = node.count_log_lines("malformed load report");
    let most = LINES_PER_SECOND * (start.elapsed().as_secs() as usize + 2);
    assert!((1..=most).contains(&lines), "{lines} lines, {most} at most");
}
