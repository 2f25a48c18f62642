//! Which endpoints the node uses after malformed responses, resets and load reports.

use crate::support::endpoint::{
    ScriptedEndpoint, ScriptedReply, endpoint_pair_with_first_reply, ok_with_headers,
};
use crate::support::settings::NodeSettings;
use crate::support::setup::{NodeSetup, start_node};

/// Sends 20 requests, and asserts that both endpoints are used though the first attempt failed.
fn assert_both_stay_in_use(one: &ScriptedEndpoint, two: &ScriptedEndpoint) {
    // An ejected endpoint stays ejected for the length of the test.
    let settings = NodeSettings {
        overload_window_ms: Some(60_000),
        ..NodeSettings::default()
    };
    let (node, _discovery) = NodeSetup::with_settings(settings).start(&[one, two]);
    let mut client = node.client();
    (0..20).for_each(|_| assert_eq!(client.request_read().body, b"second"));
    assert!(
        one.request_count() >= 5 && two.request_count() >= 5,
        "{} and {}",
        one.request_count(),
        two.request_count()
    );
}

/// Any endpoint may send a response that cannot be parsed. If each ejected its endpoint, soon none
/// would be left.
#[test]
fn malformed_response_does_not_eject_endpoint() {
    let nonsense: [&'static [u8]; 4] = [
        b"\x01\xf3 no HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno\r\n0\r\n\r\n",
    ];
    for bytes in nonsense {
        let (one, two) = endpoint_pair_with_first_reply(move || ScriptedReply::Raw(bytes));
        assert_both_stay_in_use(&one, &two);
    }
}

/// Healthy endpoints have connection resets too, unlike unreachable ones.
#[test]
fn connection_reset_does_not_eject_endpoint() {
    let (one, two) = endpoint_pair_with_first_reply(|| ScriptedReply::CloseAfter(vec![]));
    assert_both_stay_in_use(&one, &two);
}

/// Load reports name their fields as the settings or as the protocol does. A node that cannot read
/// them would send as much to a crowded endpoint as to an idle one.
#[test]
fn endpoint_that_reports_idle_gets_more_requests() {
    for (idle, crowded) in [
        (
            "X-Load-Report: concurrent=0,depth=0\r\n",
            "X-Load-Report: concurrent=9.970,depth=5.012\r\n",
        ),
        (
            "X-Load-Report: inflight=0,queue=0\r\n",
            "X-Load-Report: inflight=10,queue=5\r\n",
        ),
    ] {
        let idle = ScriptedEndpoint::start(move |_| ok_with_headers(idle));
        let crowded = ScriptedEndpoint::start(move |_| ok_with_headers(crowded));
        let (node, _discovery) = start_node(&[&idle, &crowded]);
        let mut client = node.client();
        (0..60).for_each(|_| assert_eq!(client.request_read().status(), 200));
        assert!(
            idle.request_count() > 2 * crowded.request_count(),
            "{} and {}",
            idle.request_count(),
            crowded.request_count()
        );
    }
}
