use super::RequestError;
use crate::header_names::{BUDGET_MS, CALL_ID, IDEMPOTENCY_KEY};
use hyper::header::TRANSFER_ENCODING;

/// Returns each error with the status and the text that the protocol gives it.
fn published_errors() -> [(RequestError, u16, &'static str); 16] {
    [
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
            "no X-Budget-Ms that makes sense",
        ),
        (RequestError::UnknownTenant, 403, "unknown tenant"),
        (RequestError::ReadTimeout, 408, "too slow"),
        (RequestError::IncompleteBody, 400, "broken body"),
        (
            RequestError::CallInFlight,
            409,
            "a request with this X-Call-Id is open",
        ),
        (
            RequestError::CallMayHaveRun,
            409,
            "a request with this X-Call-Id may have run",
        ),
    ]
}

/// What clients read is part of the protocol.
#[test]
fn statuses_and_texts_are_those_of_the_protocol() {
    for (error, status, text) in published_errors() {
        assert_eq!(
            (error.status().as_u16(), error.to_string().as_str()),
            (status, text)
        );
    }
}

/// A client can act on a text only if the header that it names exists. Header names are the words
/// with a hyphen and an initial capital.
#[test]
fn each_header_that_a_text_names_exists() {
    let known = [CALL_ID, BUDGET_MS, IDEMPOTENCY_KEY, TRANSFER_ENCODING];
    let mut named_headers = 0;
    for (error, _, _) in published_errors() {
        let text = error.to_string();
        let words = text.split([' ', ',']);
        let headers =
            words.filter(|word| word.contains('-') && word.starts_with(char::is_uppercase));
        for header in headers {
            named_headers += 1;
            assert!(
                known
                    .iter()
                    .any(|name| name.as_str() == header.to_lowercase()),
                "{header} in {text:?}"
            );
        }
    }
    assert_eq!(named_headers, 6);
}
