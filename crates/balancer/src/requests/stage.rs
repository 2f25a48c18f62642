//! The stages of a request, up to its final response.

/// The stages of a request, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    BeforeHealthChecks,
    Routable,
    Streaming,
    Closed,
}

/// The stage of a request. It never goes back to an earlier one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestStage(Stage);

impl RequestStage {
    /// Returns the stage of a new request that may wait for health checks.
    pub(crate) fn before_health_checks() -> Self {
        RequestStage(Stage::BeforeHealthChecks)
    }

    /// Returns the stage of a new request that is routed without health checks.
    pub(crate) fn routable() -> Self {
        RequestStage(Stage::Routable)
    }

    /// Returns whether health checks may still be sent for the request.
    pub(crate) fn may_check_health(self) -> bool {
        self.0 == Stage::BeforeHealthChecks
    }

    /// Returns whether a response is being streamed and the client waits for the rest of it.
    pub(crate) fn is_streaming(self) -> bool {
        self.0 == Stage::Streaming
    }

    /// Returns whether the request no longer needs a response.
    pub(crate) fn is_closed(self) -> bool {
        self.0 == Stage::Closed
    }

    /// Records that no more health checks are sent for the request: it has waited for them, or an
    /// attempt has been sent.
    pub(crate) fn finish_health_checks(&mut self) {
        self.advance_to(Stage::Routable);
    }

    /// Records that a response is being streamed. It can no longer be replaced by another.
    pub(crate) fn start_streaming(&mut self) {
        self.advance_to(Stage::Streaming);
    }

    /// Records that the request no longer needs a response.
    pub(crate) fn close(&mut self) {
        self.advance_to(Stage::Closed);
    }

    fn advance_to(&mut self, stage: Stage) {
        self.0 = self.0.max(stage);
    }
}

#[cfg(test)]
mod tests;
