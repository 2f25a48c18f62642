//! The downstream side: accepts client connections, reads requests, and writes the final responses.
//!
//! The [`listener`] accepts connections, the [`connection_registry`] tracks them, and the
//! [`http_server`] serves HTTP on each [`connection`]. [`timeouts`] and [`eviction`] close
//! connections, and the [`graceful_shutdown`] drains them.
//!
//! The [`request_handler`] passes each request through the [`request_parser`] and [`admission`],
//! either of which may end it with a [`rejection`], and then through the [`driver_handle`] to the
//! driver.

mod admission;
mod call_ids;
mod connection;
mod connection_registry;
mod disconnect_guard;
mod driver_handle;
mod eviction;
mod graceful_shutdown;
mod http_server;
mod listener;
mod options;
mod readiness_check;
mod recent_call_ids;
mod rejection;
mod request_body;
mod request_error;
mod request_handler;
mod request_headers;
mod request_parser;
mod response;
mod shutdown_phase;
mod state_counts;
mod timeouts;

pub(crate) use options::{ClassOptions, DownstreamOptions};

use crate::clock::Clock;
use crate::logging::log;
use crate::memory_budget::MemoryBudget;
use crate::message::DriverMessage;
use admission::Admission;
use connection_registry::ConnectionRegistry;
use driver_handle::DriverHandle;
use graceful_shutdown::GracefulShutdown;
use http_server::HttpServer;
use listener::Acceptor;
use readiness_check::ReadinessCheck;
use request_handler::RequestHandler;
use shutdown_phase::ShutdownPhase;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The downstream side of a node.
pub(crate) struct Downstream {
    server: Rc<HttpServer>,
    registry: Rc<ConnectionRegistry>,
    graceful_shutdown: GracefulShutdown,
}

impl Downstream {
    /// Creates a downstream side that passes requests to the driver. `has_endpoint_list` says
    /// whether the node knows enough endpoints to be ready.
    pub(crate) fn new(
        clock: Clock,
        options: DownstreamOptions,
        budget: MemoryBudget,
        driver: mpsc::Sender<DriverMessage>,
        has_endpoint_list: Rc<Cell<bool>>,
    ) -> Self {
        let phase = Rc::new(Cell::new(ShutdownPhase::Serving));
        let registry = Rc::new(ConnectionRegistry::new(options.max_connections));
        let graceful_shutdown = GracefulShutdown {
            phase: phase.clone(),
            registry: registry.clone(),
            driver: driver.clone(),
            drain_timeout: options.longest_deadline(),
        };
        let readiness_check = ReadinessCheck::new(has_endpoint_list, phase.clone());
        let admission = Admission::new(clock, budget, phase.clone(), options.max_retry_after);
        let driver = DriverHandle::new(driver);
        let handler = RequestHandler::new(options, readiness_check, admission, driver);
        let server = Rc::new(HttpServer::new(handler, registry.clone(), phase));
        Downstream {
            server,
            registry,
            graceful_shutdown,
        }
    }

    /// Serves clients until `shutdown` completes, then drains the connections.
    pub(crate) async fn run(self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        spawn_local(self.registry.clone().enforce_timeouts());
        let mut acceptor = Acceptor::new(listener, self.server.clone());
        tokio::select! {
            () = acceptor.run() => {}
            () = shutdown => {}
        }
        log("shutdown requested: draining");
        self.graceful_shutdown.drain(acceptor).await;
    }
}
