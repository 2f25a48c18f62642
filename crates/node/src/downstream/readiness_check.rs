//! The readiness check.

use super::response::{self, FullResponse};
use super::shutdown_phase::ShutdownPhase;
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;

/// The path of the readiness check.
pub const PATH: &str = "/health/ready";

/// Responds to readiness checks.
pub struct ReadinessCheck {
    has_endpoint_list: Rc<Cell<bool>>,
    phase: Rc<Cell<ShutdownPhase>>,
}

impl ReadinessCheck {
    /// Creates a readiness check. The node is ready while it has an endpoint list and is not
    /// draining.
    pub fn new(has_endpoint_list: Rc<Cell<bool>>, phase: Rc<Cell<ShutdownPhase>>) -> Self {
        ReadinessCheck {
            has_endpoint_list,
            phase,
        }
    }

    /// Returns the response to a readiness check: 200 if the node is ready, else 503.
    pub fn response(&self) -> FullResponse {
        let is_ready = self.has_endpoint_list.get() && !self.phase.get().is_draining();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        response::without_body(status)
    }
}
