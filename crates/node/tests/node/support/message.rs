//! Reads HTTP messages from the node.

use std::collections::BTreeMap;
use std::io::BufRead;

/// A request or a response. Header names are in lower case.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status of a response.
    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("start line should hold a status")
    }

    /// Returns the value of a header. `name` must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads a message. Its body, if any, must have a Content-Length. Returns `None` if the connection
/// ends before the end of the message.
pub(crate) fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let start_line = read_line(stream)?;
    let mut headers = BTreeMap::new();
    loop {
        let header = read_line(stream)?;
        let Some((name, value)) = header.split_once(": ") else {
            break;
        };
        headers.insert(name.to_lowercase(), value.to_owned());
    }
    let length = headers.get("content-length").map_or(0, |length| {
        length.parse().expect("Content-Length should be a number")
    });
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message {
        start_line,
        headers,
        body,
    })
}

/// Reads a line and strips its end. Returns `None` at the end of the connection.
fn read_line(stream: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = stream.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}
