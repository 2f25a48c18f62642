//! One simulated node: a balancer and the columns of its load reports.

use crate::error::RecordError;
use crate::wire::RawLoadReport;
use ottertiller_balancer::settings::{LoadReportColumn, SettingsFile};
use ottertiller_balancer::{Action, Balancer, Event};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// A running simulated node.
pub(crate) struct SimulatedNode {
    /// Makes the decisions of the node.
    balancer: Balancer,
    /// The meaning of each value of a load report, in order.
    load_report_columns: Vec<LoadReportColumn>,
}

/// A panic of the balancer while it handled an event.
#[derive(Debug, PartialEq)]
pub(crate) struct BalancerPanic {
    /// The panic message.
    pub message: String,
}

impl SimulatedNode {
    /// Starts a node from the text of its settings file and the seed of its random number
    /// generator.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Settings`] if the settings are invalid.
    pub(crate) fn start(settings: &[u8], seed: u64) -> Result<Self, RecordError> {
        let file = SettingsFile::parse(settings)?;
        Ok(SimulatedNode {
            balancer: Balancer::new(file.settings, seed),
            load_report_columns: file.load_report_columns,
        })
    }

    /// Passes an event to the balancer and returns its actions. The load report, if any, is decoded
    /// and added to the event first.
    ///
    /// # Errors
    ///
    /// Returns the panic message if the balancer panicked. Its state may then be inconsistent, so it
    /// must not be used again.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        report: Option<RawLoadReport>,
    ) -> Result<Vec<Action>, BalancerPanic> {
        let report = report.map(|raw| raw.to_load_report(&self.load_report_columns));
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

/// Calls a function and returns its panic, if any, as an error.
fn catch_panic(function: impl FnOnce()) -> Result<(), BalancerPanic> {
    catch_unwind(AssertUnwindSafe(function)).map_err(|payload| BalancerPanic {
        message: panic_message(payload.as_ref()).to_string(),
    })
}

/// Returns the message of a panic. The payload of `panic!` is a `&str` for a literal message and a
/// `String` for a formatted one.
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
