//! When a listed endpoint has started, on this node's own clock (settings keys `ColdFrom`,
//! `RampTime` and `OverloadFactor`).
//!
//! A start is listed by the wall clock. That may be stepped at any time, against the reading that
//! this node took at its own start, and then an endpoint that has just started looks old, or as if
//! it had yet to start. What the node is sure of without a wall clock bounds the age from both
//! sides: an endpoint is no younger than the time since this node has heard of it, and, if it was
//! not in the list before, hardly older.

use crate::EndpointEntry;
use crate::routing::slow_start::load_factor;
use crate::settings::Rules;
use std::time::Duration;

/// The part of the rule's overload factor that may be used by an endpoint whose age is
/// overestimated.
const USABLE_OVERLOAD: f64 = 0.8;
/// The least growth of the capacity over the slow start window, as a fraction of the whole.
const MIN_GROWTH: f64 = 1e-6;

/// Resolves listed starts against the node's own clock.
pub(crate) struct StartTimes {
    /// How long before the node hears of it an endpoint may have started.
    max_delay: Duration,
}

impl StartTimes {
    /// Returns a resolver with the longest delay that is harmless to believe in. If there was no
    /// delay and the clock was stepped, the endpoint has only its initial capacity and is sent what
    /// it could do after the delay; this stays within the overload factor.
    pub(crate) fn new(rules: &Rules) -> Self {
        let forgiven = USABLE_OVERLOAD * rules.overload_factor / load_factor(rules) - 1.0;
        let growth_per_window = (1.0 - rules.initial_capacity).max(MIN_GROWTH);
        let windows = (rules.initial_capacity * forgiven / growth_per_window).clamp(0.0, 1.0);
        StartTimes {
            max_delay: rules.slow_start_window.mul_f64(windows),
        }
    }

    /// Returns when an endpoint started that the node hears of at `now`, or that is listed with
    /// another start than before; `None` if long ago.
    ///
    /// `is_new_to_list` says that an earlier list did not have it with this start: then a start
    /// long before `now` is implausible. Where there was no such list, the wall clock is all there
    /// is.
    pub(crate) fn resolve(
        &self,
        entry: &EndpointEntry,
        is_new_to_list: bool,
        now: Duration,
    ) -> Option<Duration> {
        let listed = entry.started?;
        let is_in_future = listed > now;
        let is_too_old = is_new_to_list && listed + self.max_delay < now;
        let is_implausible = is_in_future || is_too_old;
        Some(if is_implausible { now } else { listed })
    }
}
