//! One node of a simulation: a balancer, with the columns of its endpoints' load reports.

use crate::error::RecordError;
use crate::wire::RawLoadReport;
use ottertiller_balancer::settings::{LoadReportColumn, SettingsFile};
use ottertiller_balancer::{Action, Balancer, Event};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// A running node.
pub(crate) struct SimulatedNode {
    /// What decides for the node.
    balancer: Balancer,
    /// What the values of a load report mean, in their order.
    load_report_columns: Vec<LoadReportColumn>,
}

/// A panic in the decisions of a node.
#[derive(Debug, PartialEq)]
pub(crate) struct DecisionPanic {
    /// The panic's message.
    pub message: String,
}

impl SimulatedNode {
    /// Starts a node from the text of its settings file and the seed of its random numbers.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Settings`] if the settings cannot be used.
    pub(crate) fn start(settings: &[u8], seed: u64) -> Result<Self, RecordError> {
        let file = SettingsFile::parse(settings)?;
        Ok(SimulatedNode {
            balancer: Balancer::new(file.settings, seed),
            load_report_columns: file.load_report_columns,
        })
    }

    /// Passes an event to the balancer and returns its actions. The load report, if any, becomes a
    /// part of the event.
    ///
    /// # Errors
    ///
    /// Returns the message of a panic. The balancer must not be used after that.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        report: Option<RawLoadReport>,
    ) -> Result<Vec<Action>, DecisionPanic> {
        let report = report.map(|raw| raw.named(&self.load_report_columns));
        match &mut event {
            Event::AttemptEnded(end) => end.report = report,
            Event::HealthCheckEnded(end) => end.report = report,
            _ => {}
        }
        let mut actions = Vec::new();
        catch_panic(|| self.balancer.handle(now, event, &mut actions))?;
        Ok(actions)
    }
}

/// Runs decisions, and turns a panic into an error.
fn catch_panic(decide: impl FnOnce()) -> Result<(), DecisionPanic> {
    catch_unwind(AssertUnwindSafe(decide)).map_err(|payload| DecisionPanic {
        message: panic_message(payload.as_ref()).to_string(),
    })
}

/// Returns the message of a panic: `panic!` gives a `&str` for a plain text and a `String` for a
/// formatted one.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<String>() {
        text
    } else if let Some(text) = payload.downcast_ref::<&str>() {
        text
    } else {
        "the decisions panicked"
    }
}

#[cfg(test)]
mod tests;
