//! A scripted discovery service: the test replies to the node's calls.

use super::message::read_message;
use super::wait::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

/// A discovery service that leaves the replies to the test.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
    /// The watch that was accepted last.
    watch: Option<DiscoveryCall>,
}

/// A call of the node to discovery: a watch or a poll. Its connection closes when it is dropped.
pub struct DiscoveryCall {
    pub start_line: String,
    stream: TcpStream,
}

impl DiscoveryServer {
    /// Starts a discovery service at a port of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (call_sender, calls) = channel();
        spawn(move || accept_calls(&listener, &call_sender));
        DiscoveryServer {
            address,
            calls,
            watch: None,
        }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> DiscoveryCall {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a call to discovery")
    }

    /// Waits for the next call, and opens the watch on it.
    pub fn accept_watch(&mut self) {
        let call = self.next_call();
        self.open_watch(call);
    }

    /// Opens the watch on a call.
    pub fn open_watch(&mut self, mut call: DiscoveryCall) {
        call.start_stream();
        self.watch = Some(call);
    }

    /// Returns the start line of the call on which the watch was opened.
    pub fn watch_start_line(&self) -> &str {
        &self.watch.as_ref().expect("a watch").start_line
    }

    /// Sends an endpoint list on the watch.
    pub fn send_list(&mut self, list: &str) {
        self.watch.as_mut().expect("a watch").send_line(list);
    }

    /// Closes the connection of the watch.
    pub fn break_watch(&mut self) {
        self.watch = None;
    }
}

/// Reads the head of each call. Ends when the test has ended.
fn accept_calls(listener: &TcpListener, calls: &Sender<DiscoveryCall>) {
    for stream in listener.incoming() {
        let stream = stream.expect("a connection");
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let Some(message) = read_message(&mut reader) else {
            continue;
        };
        let call = DiscoveryCall {
            start_line: message.start_line,
            stream,
        };
        if calls.send(call).is_err() {
            return;
        }
    }
}

impl DiscoveryCall {
    /// Sends the head of a reply whose lists follow line by line.
    pub fn start_stream(&mut self) {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// Sends a line in a chunk of its own.
    pub fn send_line(&mut self, line: &str) {
        self.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Replies with an error.
    pub fn fail(&mut self) {
        self.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    }

    /// Sends these bytes.
    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the node listens to discovery");
    }
}

/// Returns the entry of an endpoint that serves.
pub fn in_service(name: &str, address: SocketAddr) -> String {
    entry_with_status(name, address, "in_service")
}

/// Returns the entry of an endpoint that drains.
pub fn draining(name: &str, address: SocketAddr) -> String {
    entry_with_status(name, address, "terminating")
}

/// Returns the entry of an endpoint that was removed.
pub fn removed(name: &str, address: SocketAddr) -> String {
    entry_with_status(name, address, "terminated")
}

/// Returns an entry of the endpoint list with a status as it stands on the wire.
pub fn entry_with_status(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Returns a list that holds all endpoints.
pub fn snapshot(index: u64, entries: &[String]) -> String {
    endpoint_list(index, true, entries)
}

/// Returns a list of the endpoints that have changed.
pub fn delta(index: u64, entries: &[String]) -> String {
    endpoint_list(index, false, entries)
}

fn endpoint_list(index: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
