use super::*;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";

/// Returns a gate behind which a request has passed.
fn closed_gate() -> RequestGate {
    let mut gate = RequestGate::for_client();
    assert_eq!(gate.pass(&REQUEST.repeat(2)), REQUEST.len());
    assert!(gate.is_closed());
    gate
}

#[test]
fn each_discarded_request_is_replaced_once() {
    let mut gate = closed_gate();
    for piece in REQUEST.repeat(3).chunks(5) {
        gate.discard(piece);
    }
    assert!(gate.needs_discarding(), "the client may close");
    gate.open();
    for _ in 0..3 {
        assert!(gate.has_placeholder() && !gate.needs_discarding());
        assert_eq!(gate.pass_placeholder(), Some(PLACEHOLDER));
        assert!(!gate.needs_discarding());
        assert!(gate.is_closed() && gate.has_passed_placeholder() && gate.is_discarding());
        gate.open();
    }
    assert!(!gate.is_discarding() && !gate.has_passed_placeholder());
    assert_eq!(gate.pass(REQUEST), REQUEST.len(), "the next request passes");
}

#[test]
fn a_request_discarded_in_part_is_discarded_to_its_end() {
    let mut gate = closed_gate();
    gate.discard(&REQUEST[..REQUEST.len() - 1]);
    gate.open();
    assert!(gate.needs_discarding() && !gate.has_placeholder());
    assert_eq!(gate.pass_placeholder(), None);
    gate.discard(&REQUEST[REQUEST.len() - 1..]);
    assert_eq!(gate.pass_placeholder(), Some(PLACEHOLDER));
    gate.open();
    assert!(!gate.is_discarding());
}

#[test]
fn everything_passes_an_open_gate() {
    let mut gate = RequestGate::always_open();
    let bytes = REQUEST.repeat(2);
    assert_eq!(gate.pass(&bytes), bytes.len());
    assert!(!gate.is_closed());
}

/// Guards against: a client that sent noise behind many requests kept its connection for as long as
/// it sent more.
#[test]
fn noise_behind_requests_ends_the_stream() {
    let mut gate = closed_gate();
    gate.discard(REQUEST);
    gate.discard(b"no HTTP at all\r\n\r\n");
    gate.open();
    assert!(!gate.is_lost(), "a discarded request has no response");
    gate.pass_placeholder();
    gate.open();
    assert!(gate.is_lost() && !gate.needs_discarding());
}
