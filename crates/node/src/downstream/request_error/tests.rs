use super::RequestError::{self, *};

/// What clients read is part of the protocol.
#[test]
fn statuses_and_texts_are_as_published() {
    let published: [(RequestError, u16, &str); 15] = [
        (TransferEncoding, 411, "no Transfer-Encoding, please"),
        (UnknownLength, 400, "no length"),
        (BodyTooLarge, 413, "body over 64 KiB"),
        (NoPath, 400, "no path"),
        (UnknownClass, 404, "unknown class"),
        (RepeatedHeader, 400, "a header stands twice"),
        (WrongMethod, 405, "wrong method for this class"),
        (UnexpectedBody, 400, "a body where none belongs"),
        (MissingIdempotencyKey, 400, "no Idempotency-Key"),
        (InvalidCallId, 400, "no X-Call-Id"),
        (InvalidBudget, 400, "no X-Budget-Ms that makes sense"),
        (UnknownTenant, 403, "unknown tenant"),
        (ReadTimeout, 408, "too slow"),
        (IncompleteBody, 400, "broken body"),
        (CallInFlight, 409, "a request with this X-Call-Id is open"),
    ];
    for (error, status, text) in published {
        assert_eq!(
            (error.status().as_u16(), error.to_string().as_str()),
            (status, text)
        );
    }
}
