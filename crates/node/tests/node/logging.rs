//! The log: never a reason to block, and bounded whatever peers do.

use crate::support::*;
use std::time::Instant;

#[test]
fn unread_log_does_not_block_node() {
    let endpoint = ScriptedEndpoint::start(|_| ok(""));
    let (mut node, _watch, _discovery) =
        start_node_without_log_reader(&settings(LONG_MS, ""), &[&endpoint]);
    assert_eq!(node.client().request_read().status(), 200);
    node.terminate();
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

#[test]
fn peer_errors_do_not_flood_log() {
    let endpoint = ScriptedEndpoint::start(|_| {
        ScriptedReply::Response("200 OK", "X-Load-Report: inflight=many\r\n", vec![])
    });
    let (node, _watch, _discovery) = start_node(&settings(LONG_MS, ""), &[&endpoint]);
    let (mut client, start) = (node.client(), Instant::now());
    (0..500).for_each(|_| assert_eq!(client.request_read().status(), 200));
    let lines = node.count_log_lines("malformed load report");
    let most = 10 * (start.elapsed().as_secs() as usize + 2);
    assert!((1..=most).contains(&lines), "{lines} lines, {most} at most");
}
