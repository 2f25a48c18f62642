//! Clients that retry: how long a client has waited already, as far as its requests show.
//!
//! `NewRequest::remaining` is how long the client waits for this try, of the class's deadline in
//! all. Where a try may last the whole deadline, what is left of it tells the time spent. Where
//! tries are cut shorter, it tells only once the rest is shorter still; until then a marked retry
//! has waited at least as long as the soonest retry that did tell. Work for a client past its
//! latency objective only feeds an overload.

use crate::{NewRequest, Settings};
use std::time::Duration;

/// Waits count as equal if they differ by less than one part in this many.
const TOLERANCE_DIVISOR: u32 = 64;

/// What the requests of clients have shown about their retries.
pub(crate) struct ClientRetries {
    deadlines: Vec<Duration>,
    /// How long clients wait for their first try, by class.
    first_try: Vec<Duration>,
    /// The shortest time from a first try to its retry, where that could be seen.
    shortest_backoff: Option<Duration>,
}

impl ClientRetries {
    /// Returns a state that has seen no request.
    pub(crate) fn new(settings: &Settings) -> Self {
        ClientRetries {
            deadlines: settings
                .classes
                .iter()
                .map(|class| class.deadline)
                .collect(),
            first_try: vec![Duration::ZERO; settings.classes.len()],
            shortest_backoff: None,
        }
    }

    /// Records a new request and returns how long its client is likely to have waited already.
    pub(crate) fn time_spent(&mut self, request: &NewRequest, class: usize) -> Duration {
        let deadline = self.deadlines[class];
        if !request.client_retry {
            self.first_try[class] = request.remaining;
        }
        let first_try = self.first_try[class];
        let spent = deadline.saturating_sub(request.remaining);
        let try_lasts_deadline = first_try + deadline / TOLERANCE_DIVISOR >= deadline;
        if request.client_retry && try_lasts_deadline {
            let shortest = self
                .shortest_backoff
                .map_or(spent, |backoff| backoff.min(spent));
            self.shortest_backoff = Some(shortest);
        }
        let cut_like_first_try =
            request.remaining.abs_diff(first_try) < first_try / TOLERANCE_DIVISOR;
        if !cut_like_first_try {
            return spent;
        }
        match self.shortest_backoff {
            Some(backoff) if request.client_retry => backoff.min(spent),
            _ => Duration::ZERO,
        }
    }
}
