//! The start times of listed endpoints on this node's monotonic clock (settings keys `ColdFrom`,
//! `RampTime` and `OverloadFactor`).
//!
//! Discovery lists start times by the wall clock, and they are converted with a reading of the wall
//! clock at this node's own start. If the wall clock is stepped after that, an endpoint that has
//! just started seems to have started long ago, or in the future. The age of an endpoint is
//! therefore bounded by what the node observes without a wall clock: an endpoint is at least as old
//! as the time since this node first saw it in the list, and hardly older if an earlier list did
//! not contain it.

use crate::EndpointEntry;
use crate::routing::slow_start::load_factor;
use crate::settings::Rules;
use std::time::Duration;

/// The fraction of the rules' overload factor that may be used at an endpoint whose age is
/// overestimated.
const USABLE_FRACTION_OF_OVERLOAD_FACTOR: f64 = 0.8;
/// The least growth of the capacity over the slow start window, as a fraction of the whole
/// capacity; it keeps a divisor above zero.
const MIN_GROWTH: f64 = 1e-6;

/// Checks listed start times for plausibility, and replaces implausible ones.
pub(crate) struct StartTimes {
    /// The longest plausible time from the start of an endpoint until this node sees it in the
    /// list.
    max_listing_delay: Duration,
}

impl StartTimes {
    /// Returns a resolver that accepts the longest listing delay that causes no overload.
    ///
    /// If an endpoint is listed without delay but the wall clock was stepped, it has only its
    /// initial capacity and is sent the load for the capacity that it would have after the delay.
    /// This load stays within the overload factor.
    pub(crate) fn new(rules: &Rules) -> Self {
        let usable_overload = USABLE_FRACTION_OF_OVERLOAD_FACTOR * rules.overload_factor;
        let tolerated_excess = usable_overload / load_factor(rules) - 1.0;
        let growth_per_window = (1.0 - rules.initial_capacity).max(MIN_GROWTH);
        let delay_in_windows = rules.initial_capacity * tolerated_excess / growth_per_window;
        StartTimes {
            max_listing_delay: rules
                .slow_start_window
                .mul_f64(delay_in_windows.clamp(0.0, 1.0)),
        }
    }

    /// Returns the start time of an endpoint that the node sees at `now` for the first time, or
    /// with another start time than before; `None` if it started long ago. An implausible start
    /// time is replaced by `now`.
    ///
    /// `is_new_to_list` is true if there was an earlier list, which did not contain the endpoint
    /// with this start time; a start long before `now` is then implausible. Without an earlier
    /// list, the node has only the wall clock to go by.
    pub(crate) fn resolve(
        &self,
        entry: &EndpointEntry,
        is_new_to_list: bool,
        now: Duration,
    ) -> Option<Duration> {
        let listed = entry.started?;
        let is_in_future = listed > now;
        let is_too_old = is_new_to_list && listed + self.max_listing_delay < now;
        let is_implausible = is_in_future || is_too_old;
        Some(if is_implausible { now } else { listed })
    }
}
