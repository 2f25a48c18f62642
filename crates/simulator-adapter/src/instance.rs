//! One instance: a balancer with the names of its load report's columns.

use crate::error::RecordError;
use crate::wire::RawLoadReport;
use ottertiller_balancer::settings::{Column, SettingsFile};
use ottertiller_balancer::{Action, Balancer, Event};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// A running instance.
pub struct Instance {
    balancer: Balancer,
    columns: Vec<Column>,
}

/// The decisions of an instance panicked.
#[derive(Debug, PartialEq)]
pub struct DecisionPanic {
    /// The panic's message.
    pub message: String,
}

impl Instance {
    /// Starts an instance from the text of its settings.
    pub fn start(settings: &[u8], seed: u64) -> Result<Self, RecordError> {
        let file = SettingsFile::parse(settings)?;
        Ok(Instance {
            balancer: Balancer::new(file.settings, seed),
            columns: file.load_report_columns,
        })
    }

    /// Lets the balancer decide. The report, if any, becomes a part of the event.
    pub fn handle(
        &mut self,
        now: Duration,
        mut event: Event,
        report: Option<RawLoadReport>,
    ) -> Result<Vec<Action>, DecisionPanic> {
        let report = report.map(|raw| raw.named(&self.columns));
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

/// Runs decisions; a panic becomes an error with its message.
fn catch_panic(decide: impl FnOnce()) -> Result<(), DecisionPanic> {
    catch_unwind(AssertUnwindSafe(decide)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied());
        DecisionPanic {
            message: text.unwrap_or("the decisions panicked").to_string(),
        }
    })
}

#[cfg(test)]
mod tests;
