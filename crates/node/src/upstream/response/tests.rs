use super::*;
use hyper::header::HeaderValue;

#[test]
fn only_a_marked_rejection_promises_that_the_request_never_ran() {
    let marked = HeaderMap::from_iter([(REJECTED, HeaderValue::from_static("1"))]);
    let marked_otherwise = HeaderMap::from_iter([(REJECTED, HeaderValue::from_static("true"))]);
    let unmarked = HeaderMap::new();
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT] {
        assert_eq!(
            outcome_of_status(status, &marked),
            Outcome::Rejected,
            "{status}"
        );
        assert_eq!(
            outcome_of_status(status, &marked_otherwise),
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
