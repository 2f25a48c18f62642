//! Finds the ends of the requests in the bytes that a client sends.

use crate::limits::{MAX_HEADERS, READ_BUFFER_BYTES};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// The greatest number of bytes that are scanned for the end of a head: hyper accepts no more than
/// its read buffer and one further read.
const MAX_HEAD_BYTES: usize = 2 * READ_BUFFER_BYTES;

/// Finds the end of one request after the other. It parses heads as hyper does, with the same
/// library.
#[derive(Default)]
pub(super) struct RequestScanner(ScannerState);

/// What the next bytes belong to.
enum ScannerState {
    /// The head of a request, of which these bytes have been scanned.
    Head(Vec<u8>),
    /// The body of a request, of which this many bytes are missing.
    Body(u64),
    /// Unknown: the end of the request cannot be found. Hyper or the request parser rejects such a
    /// request, and the connection ends with it.
    Unknown,
}

/// The head of a request.
enum Head {
    /// Its end has not been scanned.
    Incomplete,
    /// It ends behind this many of the bytes that were scanned last.
    Complete {
        end: usize,
        /// The length of the body that follows it.
        body_length: u64,
    },
    /// The end of the request cannot be found.
    Unknown,
}

impl Default for ScannerState {
    fn default() -> Self {
        ScannerState::Head(Vec::new())
    }
}

impl RequestScanner {
    /// Returns whether no byte of the next request has been scanned.
    pub(super) fn is_between_requests(&self) -> bool {
        matches!(&self.0, ScannerState::Head(scanned) if scanned.is_empty())
    }

    /// Returns whether the end of the current request cannot be found.
    pub(super) fn is_lost(&self) -> bool {
        matches!(self.0, ScannerState::Unknown)
    }

    /// Scans bytes up to the end of the current request. Returns their number if its end is among
    /// them, so that the bytes that follow belong to the next request. Otherwise all bytes have been
    /// scanned.
    pub(super) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        match &mut self.0 {
            ScannerState::Head(scanned) => {
                let head = scan_head(scanned, bytes);
                self.find_end_after_head(&head, bytes)
            }
            ScannerState::Body(_) => self.find_body_end(bytes),
            ScannerState::Unknown => None,
        }
    }

    /// Scans bytes, which begin with `head` or its end, up to the end of the request.
    fn find_end_after_head(&mut self, head: &Head, bytes: &[u8]) -> Option<usize> {
        match *head {
            Head::Incomplete => None,
            Head::Complete { end, body_length } => {
                self.0 = ScannerState::Body(body_length);
                let body_end = self.find_body_end(bytes.get(end..)?)?;
                Some(end + body_end)
            }
            Head::Unknown => {
                self.0 = ScannerState::Unknown;
                None
            }
        }
    }

    /// Scans bytes up to the end of the current request's body.
    fn find_body_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let ScannerState::Body(missing) = &mut self.0 else {
            return None;
        };
        if *missing > bytes.len() as u64 {
            *missing -= bytes.len() as u64;
            return None;
        }
        let end = *missing as usize;
        self.0 = ScannerState::default();
        Some(end)
    }
}

/// Scans bytes that follow the bytes of the head that have been scanned before, and adds them to
/// those if the head is incomplete.
fn scan_head(scanned: &mut Vec<u8>, bytes: &[u8]) -> Head {
    let earlier = scanned.len();
    // Most heads arrive at once, and are not copied.
    if earlier > 0 {
        scanned.extend_from_slice(bytes);
        return parse_head(scanned, earlier);
    }
    let head = parse_head(bytes, earlier);
    if matches!(head, Head::Incomplete) {
        scanned.extend_from_slice(bytes);
    }
    head
}

/// Parses the head at the start of `bytes`. No head ends within the first `earlier` bytes.
fn parse_head(bytes: &[u8], earlier: usize) -> Head {
    if earlier > 0 && bytes.len() <= MAX_HEAD_BYTES && !may_end_head(bytes, earlier) {
        return Head::Incomplete;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {
            match body_length(request.headers) {
                Some(body_length) => Head::Complete {
                    end: length.saturating_sub(earlier),
                    body_length,
                },
                None => Head::Unknown,
            }
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Head::Incomplete,
        Ok(_) | Err(_) => Head::Unknown,
    }
}

/// Returns whether an empty line ends among the bytes that follow the first `earlier` ones. Parsing
/// only then keeps the cost of a head that arrives byte by byte low.
fn may_end_head(bytes: &[u8], earlier: usize) -> bool {
    (earlier..bytes.len()).any(|index| {
        let line_end = bytes[..index]
            .strip_suffix(b"\r")
            .unwrap_or(&bytes[..index]);
        bytes[index] == b'\n' && line_end.ends_with(b"\n")
    })
}

/// Returns the length of the body; `None` if it is unknown or the headers are invalid.
fn body_length(headers: &[httparse::Header<'_>]) -> Option<u64> {
    let mut length = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case(TRANSFER_ENCODING.as_str()) {
            return None;
        }
        if header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()) {
            let stated = parse_content_length(header.value)?;
            if length.is_some_and(|length| length != stated) {
                return None;
            }
            length = Some(stated);
        }
    }
    Some(length.unwrap_or(0))
}

/// Parses a Content-Length, which consists of digits alone.
fn parse_content_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?;
    let has_digits_only = digits.bytes().all(|byte| byte.is_ascii_digit());
    has_digits_only.then(|| digits.parse().ok()).flatten()
}

#[cfg(test)]
mod tests;
