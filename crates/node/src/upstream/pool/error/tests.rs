use super::*;

#[test]
fn only_a_failed_connect_counts_as_failure_of_the_endpoint() {
    for error in [
        CheckoutError::EndpointUnavailable,
        CheckoutError::ConnectionLimit,
        CheckoutError::LocalResources,
        CheckoutError::ConnectionClosed,
    ] {
        assert_eq!(error.outcome(), Outcome::NotSent, "{error}");
    }
    let failed = CheckoutError::ConnectFailed;
    assert_eq!(failed.outcome(), Outcome::ConnectFailed);
}
