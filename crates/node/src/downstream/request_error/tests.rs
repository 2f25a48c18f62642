use super::RequestError;

/// What clients read is part of the protocol.
#[test]
fn statuses_and_texts_are_those_of_the_protocol() {
    let published: [(RequestError, u16, &str); 15] = [
        (
            RequestError::TransferEncoding,
            411,
            "no Transfer-Encoding, please",
        ),
        (RequestError::UnknownLength, 400, "no length"),
        (RequestError::BodyTooLarge, 413, "body over 64 KiB"),
        (RequestError::NoPath, 400, "no path"),
        (RequestError::UnknownClass, 404, "unknown class"),
        (RequestError::RepeatedHeader, 400, "a header stands twice"),
        (
            RequestError::WrongMethod,
            405,
            "wrong method for this class",
        ),
        (
            RequestError::UnexpectedBody,
            400,
            "a body where none belongs",
        ),
        (
            RequestError::MissingIdempotencyKey,
            400,
            "no Idempotency-Key",
        ),
        (RequestError::InvalidCallId, 400, "no X-Call-Id"),
        (
            RequestError::InvalidBudget,
            400,
            "no X-MemoryBudget-Ms that makes sense",
        ),
        (RequestError::UnknownTenant, 403, "unknown tenant"),
        (RequestError::ReadTimeout, 408, "too slow"),
        (RequestError::IncompleteBody, 400, "broken body"),
        (
            RequestError::CallInFlight,
            409,
            "a request with this X-Call-Id is open",
        ),
    ];
    for (error, status, text) in published {
        assert_eq!(
            (error.status().as_u16(), error.to_string().as_str()),
            (status, text)
        );
    }
}
