//! How far a request has come on its way to its final response.

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
    /// Returns the stage of a new request, for which health checks may be made.
    pub(crate) fn before_health_checks() -> Self {
        RequestStage(Stage::BeforeHealthChecks)
    }

    /// Returns the stage of a new request that is sent by what is known already.
    pub(crate) fn routable() -> Self {
        RequestStage(Stage::Routable)
    }

    /// Returns whether health checks may still be made for the request.
    pub(crate) fn may_check_health(self) -> bool {
        self.0 == Stage::BeforeHealthChecks
    }

    /// Returns whether the response is being streamed and the client still awaits the rest.
    pub(crate) fn is_streaming(self) -> bool {
        self.0 == Stage::Streaming
    }

    /// Returns whether the request needs no response any more.
    pub(crate) fn is_closed(self) -> bool {
        self.0 == Stage::Closed
    }

    /// Ends the time for health checks: the request has waited for them, or has been sent.
    pub(crate) fn finish_health_checks(&mut self) {
        self.advance_to(Stage::Routable);
    }

    /// The response is being streamed, and can no longer be replaced by another.
    pub(crate) fn start_streaming(&mut self) {
        self.advance_to(Stage::Streaming);
    }

    /// The request needs no response any more.
    pub(crate) fn close(&mut self) {
        self.advance_to(Stage::Closed);
    }

    fn advance_to(&mut self, stage: Stage) {
        self.0 = self.0.max(stage);
    }
}

#[cfg(test)]
mod tests;
