//! Tests of single decisions, one module for each subject. The node simulation checks the
//! invariants of a node in each test.

mod admission;
mod client_retry;
mod deadline;
mod endpoint_list;
mod health_checks;
mod hedging;
mod idempotency;
mod join_up_to;
mod late_attempts;
mod late_events;
mod outlier;
mod retry;
mod slow_start;
mod subset;
mod support;
mod unusual_settings;
