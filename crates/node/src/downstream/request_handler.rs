//! Handles requests: checks the head, admits the request, and waits for its final response.

use super::admission::Admission;
use super::driver_handle::DriverHandle;
use super::options::DownstreamOptions;
use super::readiness_check::{self, ReadinessCheck};
use super::rejection::Rejection;
use super::request_body::{self, BodyReader};
use super::request_error::RequestError;
use super::request_parser::{self, ParsedRequest};
use super::response::{self, FullResponse};
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;

/// Handles the requests of all connections.
pub(super) struct RequestHandler {
    options: DownstreamOptions,
    readiness_check: ReadinessCheck,
    admission: Admission,
    driver: DriverHandle,
}

/// Where a request is routed, by its head.
enum Route {
    /// To the node's readiness check.
    ReadinessCheck,
    /// To the driver, which forwards it to an endpoint.
    Forward(Box<ParsedRequest>),
}

impl RequestHandler {
    /// Creates a handler that passes admitted requests to the driver.
    pub(super) fn new(
        options: DownstreamOptions,
        readiness_check: ReadinessCheck,
        admission: Admission,
        driver: DriverHandle,
    ) -> Self {
        RequestHandler {
            options,
            readiness_check,
            admission,
            driver,
        }
    }

    /// Handles a request, and returns its response.
    ///
    /// # Errors
    ///
    /// Returns why the request is rejected without being passed to the driver.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        body_reader: BodyReader<'_>,
    ) -> Result<FullResponse, Rejection> {
        let (head, body) = request.into_parts();
        match self.route(head, &body) {
            Ok(Route::ReadinessCheck) => Ok(self.readiness_check.response()),
            Ok(Route::Forward(request)) => self.forward(*request, body, body_reader).await,
            Err(error) => {
                request_body::discard_in_background(body);
                Err(Rejection::Invalid(error))
            }
        }
    }

    /// Sheds a request, unless it is a readiness check.
    ///
    /// # Errors
    ///
    /// Returns the rejection of the request.
    pub(super) fn shed(&self, request: Request<Incoming>) -> Result<FullResponse, Rejection> {
        let (head, body) = request.into_parts();
        request_body::discard_in_background(body);
        if head.uri.path() == readiness_check::PATH {
            return Ok(self.readiness_check.response());
        }
        Err(self.admission.shed())
    }

    /// Returns the response to a request that is not served, and that its client may safely retry.
    pub(super) fn shed_response(&self) -> FullResponse {
        self.admission.shed().into_response()
    }

    /// Checks the head of a request, and returns its route. Reads nothing of the body.
    fn route(&self, head: Parts, body: &Incoming) -> Result<Route, RequestError> {
        let body_length = request_parser::body_length(&head, body)?;
        if head.uri.path() == readiness_check::PATH {
            return Ok(Route::ReadinessCheck);
        }
        let request = request_parser::parse(&self.options, head, body_length)?;
        Ok(Route::Forward(Box::new(request)))
    }

    /// Admits a request, passes it to the driver, and returns its final response.
    async fn forward(
        &self,
        request: ParsedRequest,
        body: Incoming,
        body_reader: BodyReader<'_>,
    ) -> Result<FullResponse, Rejection> {
        let admitted = self.admission.admit(request, body, body_reader).await?;
        let final_response = self.driver.submit(admitted).await;
        Ok(response::from_final_response(final_response))
    }
}
