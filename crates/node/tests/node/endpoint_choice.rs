//! Endpoint selection: outlier ejection after failed attempts, and routing by load reports.

use crate::support::endpoint::{
    ScriptedEndpoint, ScriptedReply, endpoint_pair_with_first_reply, ok_with_headers,
};
use crate::support::settings::NodeSettings;
use crate::support::setup::{NodeSetup, start_node};

/// Sends 20 requests and asserts that neither endpoint is ejected although the first attempt fails.
fn assert_no_ejection(one: &ScriptedEndpoint, two: &ScriptedEndpoint) {
    // An endpoint that is ejected stays so until the end of the test.
    let settings = NodeSettings {
        overload_window_ms: Some(60_000),
        ..NodeSettings::default()
    };
    let (node, _discovery) = NodeSetup::with_settings(settings).start(&[one, two]);
    let mut client = node.client();
    (0..20).for_each(|_| assert_eq!(client.request_idempotent().body, b"second"));
    assert!(
        one.request_count() >= 5 && two.request_count() >= 5,
        "requests at the endpoints: {} and {}",
        one.request_count(),
        two.request_count()
    );
}

/// Any endpoint may send a response that cannot be parsed. If each of them ejected its endpoint, no
/// endpoint would be left after a while.
#[test]
fn malformed_response_does_not_eject_endpoint() {
    let malformed: [&'static [u8]; 4] = [
        b"\x01\xf3 no HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno\r\n0\r\n\r\n",
    ];
    for bytes in malformed {
        let (one, two) = endpoint_pair_with_first_reply(move || ScriptedReply::Raw(bytes.to_vec()));
        assert_no_ejection(&one, &two);
    }
}

/// A healthy endpoint may close a connection without a response. Unlike a failed connect, that does
/// not show that the endpoint is unreachable.
#[test]
fn connection_reset_does_not_eject_endpoint() {
    let (one, two) = endpoint_pair_with_first_reply(|| ScriptedReply::CloseAfter(vec![]));
    assert_no_ejection(&one, &two);
}

/// Load reports name their fields as in the settings (`concurrent`, `depth`) or as in the protocol
/// (`inflight`, `queue`). A node that cannot parse them would send as many requests to a loaded
/// endpoint as to an idle one.
#[test]
fn endpoint_that_reports_idle_gets_more_requests() {
    for (idle_report, loaded_report) in [
        (
            "X-Load-Report: concurrent=0,depth=0\r\n",
            "X-Load-Report: concurrent=9.970,depth=5.012\r\n",
        ),
        (
            "X-Load-Report: inflight=0,queue=0\r\n",
            "X-Load-Report: inflight=10,queue=5\r\n",
        ),
    ] {
        let idle = ScriptedEndpoint::start(move |_| ok_with_headers(idle_report));
        let loaded = ScriptedEndpoint::start(move |_| ok_with_headers(loaded_report));
        let (node, _discovery) = start_node(&[&idle, &loaded]);
        let mut client = node.client();
        (0..60).for_each(|_| assert_eq!(client.request_idempotent().status(), 200));
        assert!(
            idle.request_count() > 2 * loaded.request_count(),
            "requests at the idle and the loaded endpoint: {} and {}",
            idle.request_count(),
            loaded.request_count()
        );
    }
}
