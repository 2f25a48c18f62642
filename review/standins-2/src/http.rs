//! Reading HTTP/1.1 messages from a blocking stream.

use std::io::{self, BufRead};

pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads a message whose body has a Content-Length or none. `Ok(None)` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
