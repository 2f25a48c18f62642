//! Tests of single decisions, one module for each concern. The simulation checks the invariants of
//! a node meanwhile.

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
