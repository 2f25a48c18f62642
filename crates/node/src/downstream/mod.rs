//! The downstream side: accepts client connections, reads requests, and writes the final responses.
//!
//! A [`listener`] accepts connections, the [`registry`] keeps them, and the [`server`] serves HTTP
//! on each. It passes every request to the [`handler`], which admits it to the driver.

mod connection;
mod handler;
mod listener;
mod open_calls;
mod options;
mod phase;
mod registry;
mod request_body;
mod request_error;
mod request_parser;
mod response;
mod server;

pub use options::{DownstreamOptions, RequestClass};

use crate::clock::Clock;
use crate::logging::log;
use crate::memory_budget::Budget;
use crate::message::Message;
use handler::RequestHandler;
use listener::{Acceptor, Listener};
use phase::Phase;
use registry::ConnectionRegistry;
use server::Server;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// New connections may arrive for up to 0.4 s after SIGTERM: they are accepted for a little longer
/// than that.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(450);
/// How long the connections accepted last have to send their requests before idle ones are closed,
/// and how long clients have to end their connections after the last answers.
const LAST_REQUESTS: Duration = Duration::from_millis(100);

/// The downstream side of a node.
pub struct Downstream {
    server: Rc<Server>,
    registry: Rc<ConnectionRegistry>,
    phase: Rc<Cell<Phase>>,
    driver: mpsc::Sender<Message>,
    longest_deadline: Duration,
}

impl Downstream {
    /// A downstream side that passes requests to the driver. `is_ready` says whether the node
    /// has an endpoint list.
    pub fn new(
        clock: Clock,
        options: DownstreamOptions,
        budget: Budget,
        driver: mpsc::Sender<Message>,
        is_ready: Rc<Cell<bool>>,
    ) -> Self {
        let phase = Rc::new(Cell::new(Phase::Serving));
        let registry = Rc::new(ConnectionRegistry::new(options.max_connections));
        let longest_deadline = options.longest_deadline();
        let handler = RequestHandler::new(
            clock,
            options,
            budget,
            driver.clone(),
            is_ready,
            phase.clone(),
        );
        let server = Rc::new(Server::new(handler, registry.clone(), phase.clone()));
        Downstream {
            server,
            registry,
            phase,
            driver,
            longest_deadline,
        }
    }

    /// Serves clients until `shutdown`, then drains.
    pub async fn run(self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        spawn_local(self.registry.clone().enforce_timeouts());
        let mut acceptor = Acceptor::new(listener, self.server.clone());
        tokio::select! {
            () = acceptor.run() => {}
            () = shutdown => {}
        }
        log("shutdown requested: draining");
        self.drain(acceptor).await;
    }

    /// Shuts down gracefully: whatever has been accepted is still served.
    async fn drain(&self, mut acceptor: Acceptor<impl Listener>) {
        self.phase.set(Phase::Draining);
        let _ = timeout(ACCEPT_WHILE_DRAINING, acceptor.run()).await;
        acceptor.finish().await;
        sleep(LAST_REQUESTS).await;
        self.phase.set(Phase::Shedding);
        self.registry.shut_down_idle();
        if timeout(self.longest_deadline, self.registry.wait_until_empty())
            .await
            .is_err()
        {
            self.end_overdue().await;
        }
    }

    /// Gives every admitted request its final response now, however long its client would still
    /// wait. No other connection can have sent a whole request.
    async fn end_overdue(&self) {
        // Fails only when the driver has ended.
        let _ = self.driver.send(Message::Shutdown).await;
        if timeout(LAST_REQUESTS, self.registry.wait_until_empty())
            .await
            .is_err()
        {
            log("client connections still open at the end of the drain");
        }
    }
}
