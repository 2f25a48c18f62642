//! The upstream side of the node: connections to endpoints, attempts and health checks.

pub(crate) mod attempt;
mod health_check;
mod load_report;
pub(crate) mod pool;
mod request;
mod response;

use crate::clock::Clock;
use crate::memory_budget::MemoryBudget;
use crate::message::ListedEndpoint;
use load_report::LoadReportParser;
use ottertiller_balancer::settings::LoadReportColumn;
use ottertiller_balancer::{ListKind, LoadReportSource};
use pool::Pool;
use std::rc::Rc;

/// The options of the upstream side.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamOptions {
    /// The options of the connection pool.
    pub pool: pool::PoolOptions,
    /// How endpoints report their load.
    pub load_report_source: LoadReportSource,
    /// The columns of load reports that are read; the others are ignored.
    pub load_report_columns: Vec<LoadReportColumn>,
}

/// Sends attempts and health checks to endpoints.
pub(crate) struct Upstream {
    clock: Clock,
    /// The memory budget for the bodies of requests and responses.
    budget: MemoryBudget,
    pool: Rc<Pool>,
    load_reports: LoadReportParser,
}

impl Upstream {
    /// Creates an upstream side that knows no endpoint yet, and starts its pool's background task.
    pub(crate) fn start(clock: Clock, options: UpstreamOptions, budget: MemoryBudget) -> Rc<Self> {
        Rc::new(Upstream {
            clock,
            budget,
            pool: Pool::start(clock, options.pool),
            load_reports: LoadReportParser::new(
                options.load_report_source,
                options.load_report_columns,
            ),
        })
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn update_endpoints(&self, kind: ListKind, listed: &[ListedEndpoint]) {
        self.pool.update(kind, listed);
    }

    /// Returns how much the pool holds now.
    #[cfg(test)]
    pub(crate) fn pool_usage(&self) -> pool::PoolUsage {
        self.pool.usage()
    }
}
