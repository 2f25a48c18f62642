//! Idempotency: a request that may have run is sent again only as its class allows (settings keys
//! `Idempotency`, `Group` and `Window`). Endpoints drop repeats of an idempotency key within a
//! scope and a time window.

use crate::requests::{Attempt, PendingRequest};
use crate::{EndpointEntry, Idempotency, IdempotencyScope};
use std::time::Duration;

/// Returns whether the request may be sent to this endpoint, given its attempts that may have run.
pub(crate) fn allows_attempt(
    request: &PendingRequest,
    endpoint: &EndpointEntry,
    now: Duration,
) -> bool {
    let Some(first) = request.first_that_may_have_run() else {
        return true;
    };
    match request.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            share_idempotency_keys(scope, &first.endpoint, endpoint) && now < first.started + window
        }
    }
}

/// Returns whether two endpoints share their idempotency keys.
fn share_idempotency_keys(
    scope: IdempotencyScope,
    one: &EndpointEntry,
    other: &EndpointEntry,
) -> bool {
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => one.zone == other.zone,
        IdempotencyScope::Cell => one.cell == other.cell,
    }
}

/// Returns for how long from `now` a retry will still be allowed, assuming that the next attempt
/// may have run, less `margin`.
pub(crate) fn retryable_for(request: &PendingRequest, now: Duration, margin: Duration) -> Duration {
    match request.idempotency {
        Idempotency::Idempotent => Duration::MAX,
        Idempotency::NotIdempotent => Duration::ZERO,
        Idempotency::Keyed { window, .. } => {
            let first = request
                .first_that_may_have_run()
                .map_or(now, |attempt| attempt.started);
            (first + window).saturating_sub(now + margin)
        }
    }
}

/// Returns whether the client may safely retry the request, so that it may be shed rather than
/// failed. A retry by the client may reach any endpoint, so a request keyed within a zone or cell
/// must never have run.
pub(crate) fn client_may_retry(request: &PendingRequest) -> bool {
    match request.idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: IdempotencyScope::All,
            ..
        } => true,
        _ => !request.attempts.iter().any(Attempt::may_have_run),
    }
}
