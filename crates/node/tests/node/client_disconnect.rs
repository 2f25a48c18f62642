//! Clients that disconnect before their response.

use crate::sockets::*;

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let backend = Backend::start(|_| Reply::Silence);
    // Nothing else ends the attempt while the test waits.
    let (node, _watch, _discovery) = serving(&settings(500_000, ""), &[&backend]);
    let mut client = node.client();
    client.send("POST /correct/1", &common(500_000), b"sheet");
    backend.request();
    drop(client);
    backend.closed();
    assert!(node.is_ready());
}

/// What waits behind its request hides from HTTP that a client has left. The node ends the connection once it has
/// seen that; only then is there a backend to send to, and a later request shows what came there before it.
#[test]
fn a_client_that_leaves_more_behind_its_waiting_request_is_not_sent_on() {
    for behind in [1, 400] {
        let (node, mut watch, _discovery) = serving(&settings(LONG, ""), &[]);
        let mut leaving = node.client();
        leaving.send_correct();
        let more = |_| format!("GET /read/1 HTTP/1.1\r\nHost: s\r\n{}\r\n", common(LONG));
        leaving.write((0..behind).map(more).collect::<String>().as_bytes());
        leaving.leave();
        assert!(leaving.ended(), "with {behind} requests behind it, and no answer");
        let backend = Backend::start(|_| ok("served"));
        watch.line(&list(9, false, &[entry("s-0", backend.address, "in_service")]));
        let mut marker = node.client();
        assert_eq!(marker.ask("GET /read/marker", &common(LONG), b"").body, b"served");
        assert_eq!(backend.request().1.start, "GET /read/marker HTTP/1.1");
        assert_eq!(backend.count(), 1);
    }
}

#[test]
fn a_client_that_leaves_more_behind_its_request_takes_its_attempt_along() {
    let backend = Backend::start(|_| Reply::Silence);
    let (node, _watch, _discovery) = serving(&settings(500_000, ""), &[&backend]);
    let mut client = node.client();
    client.send("POST /correct/1", &common(500_000), b"sheet");
    client.send("POST /correct/2", &common(500_000), b"sheet");
    backend.request();
    client.leave();
    backend.closed();
    assert!(client.ended() && node.is_ready());
    assert_eq!(backend.count(), 1);
}
