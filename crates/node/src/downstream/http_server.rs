//! Serves HTTP/1.1 on accepted connections.

pub(super) use super::connection::ServiceMode;
use super::connection::{Connection, RequestPart};
use super::connection_registry::ConnectionRegistry;
use super::rejection::Rejection;
use super::request_body::BodyReader;
use super::request_handler::RequestHandler;
use super::response::{self, FullResponse};
use super::shutdown_phase::ShutdownPhase;
use super::timeouts::READ_TIMEOUT;
use crate::limits::READ_BUFFER_BYTES;
use crate::socket::Socket;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A connection that has been accepted.
pub(super) struct AcceptedConnection {
    /// The stream.
    pub stream: TcpStream,
    /// When the connection was accepted. Its client's first request has to be read by a deadline
    /// that is counted from then.
    pub accepted_at: Instant,
}

impl AcceptedConnection {
    /// Returns a connection that was accepted now.
    pub(super) fn now(stream: TcpStream) -> Self {
        AcceptedConnection {
            stream,
            accepted_at: Instant::now(),
        }
    }
}

/// Serves connections with one request handler.
pub(super) struct HttpServer {
    handler: RequestHandler,
    registry: Rc<ConnectionRegistry>,
    phase: Rc<Cell<ShutdownPhase>>,
}

impl HttpServer {
    /// Creates a server that registers its connections in `registry`.
    pub(super) fn new(
        handler: RequestHandler,
        registry: Rc<ConnectionRegistry>,
        phase: Rc<Cell<ShutdownPhase>>,
    ) -> Self {
        HttpServer {
            handler,
            registry,
            phase,
        }
    }

    /// Returns the registry of the connections.
    pub(super) fn registry(&self) -> &ConnectionRegistry {
        &self.registry
    }

    /// Serves a connection in a task of its own, until it ends.
    pub(super) fn serve(self: &Rc<Self>, accepted: AcceptedConnection, mode: ServiceMode) {
        let (socket, handle) = Socket::for_client(accepted.stream);
        let connection = Rc::new(Connection::new(handle, mode, accepted.accepted_at));
        let registration = self.registry.register(connection.clone());
        let server = self.clone();
        spawn_local(async move {
            server.serve_until_ended(socket, &connection).await;
            drop(registration);
        });
    }

    /// Serves a connection until it ends, is aborted, or its client disconnects.
    async fn serve_until_ended(&self, socket: Socket, connection: &Connection) {
        // Biased, so that data from the client is handled before its disconnect.
        tokio::select! {
            biased;
            () = self.serve_http(socket, connection) => {}
            () = self.reject_evicted_head(connection) => {}
            () = connection.abort_requested() => {}
            () = connection.client_disconnected() => {}
        }
    }

    /// Serves HTTP until the connection ends, gracefully if that is requested.
    async fn serve_http(&self, socket: Socket, connection: &Connection) {
        let service = service_fn(|request| self.respond(connection, request));
        let http = http1::Builder::new()
            // Hyper's timeout would apply to idle connections too; `timeouts` distinguishes them.
            .header_read_timeout(None)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(socket, service);
        let mut http = pin!(http);
        // Biased, so that a request that has arrived is read before the connection is shut down.
        tokio::select! {
            biased;
            _ = http.as_mut() => return,
            () = connection.shutdown_requested() => {}
        }
        http.as_mut().graceful_shutdown();
        // An error means a disconnect or a malformed head, which hyper has handled.
        let _ = http.await;
    }

    /// Waits until the connection is evicted while a request's head is being read, and rejects the
    /// request. The HTTP layer cannot respond, since it has not read the whole head.
    async fn reject_evicted_head(&self, connection: &Connection) {
        connection.evicted_while_reading(RequestPart::Head).await;
        let response = self.handler.shed_response();
        connection.send_final_response(&response::last_response_bytes(&response));
    }

    /// Handles one request, and returns the response that is written to the client.
    async fn respond(
        &self,
        connection: &Connection,
        request: Request<Incoming>,
    ) -> Result<FullResponse, Infallible> {
        // The rest of the request, which is its body, has to be read by this deadline.
        let read_deadline = connection.begin_request() + READ_TIMEOUT;
        let body_reader = BodyReader::new(connection, read_deadline);
        let result = match connection.mode() {
            ServiceMode::Serve if connection.has_discarded_request() => self.handler.shed(request),
            ServiceMode::Serve => self.handler.handle(request, body_reader).await,
            ServiceMode::Shed => self.handler.shed(request),
        };
        let keeps_connection = result
            .as_ref()
            .err()
            .is_none_or(Rejection::keeps_connection);
        let is_ending =
            connection.closing_since().is_some() || connection.mode() == ServiceMode::Shed;
        let is_last = !keeps_connection || is_ending || self.phase.get().is_draining();
        let mut response = result.unwrap_or_else(Rejection::into_response);
        if is_last {
            connection.end_last_request();
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        } else {
            connection.end_request();
        }
        self.registry.notify_evictable();
        Ok(response)
    }
}
