//! A scripted discovery service: the test answers the node's calls.

use super::TEST_TIMEOUT;
use super::message::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;

/// A discovery service that leaves the answers to the test.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A call of the node to discovery: a watch or a poll.
pub struct DiscoveryCall {
    pub start_line: String,
    stream: TcpStream,
}

impl DiscoveryServer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (call_sender, calls) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                let Some(message) = read_message(&mut reader) else {
                    continue;
                };
                if call_sender
                    .send(DiscoveryCall {
                        start_line: message.start_line,
                        stream,
                    })
                    .is_err()
                {
                    return;
                }
            }
        });
        DiscoveryServer { address, calls }
    }

    pub fn next_call(&self) -> DiscoveryCall {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a call to discovery")
    }
}

impl DiscoveryCall {
    pub fn start_stream(&mut self) {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    pub fn send_line(&mut self, line: &str) {
        self.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the node listens to discovery");
    }
}

/// An entry of the endpoint list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An endpoint list: a snapshot or a delta.
pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
