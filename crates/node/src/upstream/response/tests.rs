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
