use super::*;
use hyper::header::HeaderValue;

#[test]
fn only_503_and_504_with_the_rejected_header_are_rejections() {
    let marked = HeaderMap::from_iter([(REJECTED, HeaderValue::from_static("1"))]);
    let marked_with_other_value =
        HeaderMap::from_iter([(REJECTED, HeaderValue::from_static("true"))]);
    let unmarked = HeaderMap::new();
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT] {
        assert_eq!(
            outcome_of_status(status, &marked),
            Outcome::Rejected,
            "{status}"
        );
        assert_eq!(
            outcome_of_status(status, &marked_with_other_value),
            Outcome::Error,
            "{status}"
        );
        assert_eq!(
            outcome_of_status(status, &unmarked),
            Outcome::Error,
            "{status}"
        );
    }
    assert_eq!(
        outcome_of_status(StatusCode::INTERNAL_SERVER_ERROR, &marked),
        Outcome::Error
    );
    assert_eq!(
        outcome_of_status(StatusCode::NO_CONTENT, &unmarked),
        Outcome::Error
    );
    assert_eq!(outcome_of_status(StatusCode::OK, &marked), Outcome::Served);
}

/// Guards against: a response whose Content-Length is below the length of its body was served
/// without the body's end.
#[test]
fn only_a_duplicate_behind_a_body_cannot_continue_it() {
    let duplicate = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    let read = |bytes: &[u8]| Trailing::Read(Bytes::copy_from_slice(bytes));
    for (trailing, may_continue) in [
        (Trailing::Nothing, false),
        (Trailing::Unread, true),
        (read(duplicate), false),
        // The body of the duplicate has arrived in part, or more follows it.
        (read(&duplicate[..duplicate.len() - 3]), false),
        (read(&[duplicate.as_slice(), b"more"].concat()), false),
        // Its head has arrived only in part.
        (read(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"), true),
        (
            read(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ngoo"),
            true,
        ),
        (
            read(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nelse"),
            true,
        ),
        (
            read(b"HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\ngood"),
            true,
        ),
        (read(b"\r\n"), true),
    ] {
        assert_eq!(
            may_continue_body(&trailing, b"good"),
            may_continue,
            "{trailing:?}"
        );
    }
}
