//! Lets the requests of a client pass to hyper one at a time.
//!
//! The bytes behind a request wait outside hyper until its response has been passed to hyper. If
//! more wait than may be held, they are read and discarded, so that the end of the stream behind
//! them is noticed. A placeholder then takes the place of each discarded request, so that it still
//! gets a response.

use crate::socket::request_scanner::RequestScanner;

/// A request that takes the place of a discarded one.
const PLACEHOLDER: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// Decides which of the bytes that a peer has sent may pass to hyper.
#[derive(Default)]
pub(super) struct RequestGate {
    /// Finds the ends of requests; `None` if the peer is no client, and all bytes pass.
    scanner: Option<RequestScanner>,
    /// Whether a request has passed to its last byte and has not got its response.
    is_closed: bool,
    /// Whether the request that passed last is a placeholder.
    passed_placeholder: bool,
    /// While bytes are discarded, the number of discarded requests for which no placeholder has
    /// passed.
    discarded: Option<usize>,
}

impl RequestGate {
    /// Returns a gate for the requests of a client.
    pub(super) fn for_client() -> Self {
        RequestGate {
            scanner: Some(RequestScanner::default()),
            ..RequestGate::default()
        }
    }

    /// Returns a gate that lets everything pass.
    pub(super) fn always_open() -> Self {
        RequestGate::default()
    }

    /// Returns whether nothing may pass until [`RequestGate::open`] is called.
    pub(super) fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Lets the next request pass. Ends the discarding if every discarded request has got a response
    /// and none has been discarded in part.
    pub(super) fn open(&mut self) {
        self.is_closed = false;
        self.passed_placeholder = false;
        let is_between_requests = self
            .scanner
            .as_ref()
            .is_some_and(RequestScanner::is_between_requests);
        if self.discarded == Some(0) && is_between_requests {
            self.discarded = None;
        }
    }

    /// Returns whether the request that passed last is a placeholder.
    pub(super) fn has_passed_placeholder(&self) -> bool {
        self.passed_placeholder
    }

    /// Returns how many of the bytes, which are the next of the stream, pass to hyper. Closes the
    /// gate behind the end of a request.
    pub(super) fn pass(&mut self, bytes: &[u8]) -> usize {
        match self.find_end(bytes) {
            Some(end) => {
                self.is_closed = true;
                end
            }
            None => bytes.len(),
        }
    }

    /// Returns whether bytes are being discarded.
    pub(super) fn is_discarding(&self) -> bool {
        self.discarded.is_some()
    }

    /// Returns whether further bytes have to be discarded: to notice the end of the stream while a
    /// request is served, or to get to the end of a request that has been discarded in part. While
    /// discarded requests get their responses, further ones can wait in the stream.
    pub(super) fn needs_discarding(&self) -> bool {
        if self.is_closed {
            !self.passed_placeholder
        } else {
            self.discarded == Some(0) && !self.is_lost()
        }
    }

    /// Returns whether every discarded request has got its response, and what follows them is no
    /// request. Nothing can pass any more.
    pub(super) fn is_lost(&self) -> bool {
        let scanner = self.scanner.as_ref();
        self.discarded == Some(0) && scanner.is_some_and(RequestScanner::is_lost)
    }

    /// Returns whether a placeholder may pass.
    pub(super) fn has_placeholder(&self) -> bool {
        !self.is_closed && self.discarded.is_some_and(|count| count > 0)
    }

    /// Discards bytes, which are the next of the stream. The gate must have been closed when the
    /// first bytes were discarded.
    pub(super) fn discard(&mut self, mut bytes: &[u8]) {
        let mut ended = 0;
        while let Some(end) = self.find_end(bytes) {
            ended += 1;
            bytes = &bytes[end..];
        }
        *self.discarded.get_or_insert(0) += ended;
    }

    /// Scans bytes up to the end of the current request, and returns their number if it is among
    /// them.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        self.scanner.as_mut()?.find_end(bytes)
    }

    /// Lets the placeholder of a discarded request pass, and closes the gate behind it. Returns
    /// `None` if there is none left.
    pub(super) fn pass_placeholder(&mut self) -> Option<&'static [u8]> {
        let discarded = self.discarded.as_mut()?;
        *discarded = discarded.checked_sub(1)?;
        self.is_closed = true;
        self.passed_placeholder = true;
        Some(PLACEHOLDER)
    }
}

#[cfg(test)]
mod tests;
