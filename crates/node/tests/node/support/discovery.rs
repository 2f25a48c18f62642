//! A scripted discovery service. The test itself replies to the calls of the node.

use super::message::read_message;
use super::wait::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

/// A discovery service that passes each call to the test, which replies to it.
pub(crate) struct DiscoveryServer {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
    /// The watch that was opened last.
    watch: Option<DiscoveryCall>,
}

/// A call of the node to discovery: a watch or a poll. Dropping it closes the connection.
pub(crate) struct DiscoveryCall {
    pub start_line: String,
    stream: TcpStream,
}

impl DiscoveryServer {
    /// Starts a discovery service on a free port.
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port should bind");
        let address = listener
            .local_addr()
            .expect("listener should have an address");
        let (call_sender, calls) = channel();
        spawn(move || accept_calls(&listener, &call_sender));
        DiscoveryServer {
            address,
            calls,
            watch: None,
        }
    }

    /// Waits for the next call.
    pub(crate) fn next_call(&self) -> DiscoveryCall {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("node should call discovery")
    }

    /// Waits for the next call and opens a watch on it.
    pub(crate) fn accept_watch(&mut self) {
        let call = self.next_call();
        self.open_watch(call);
    }

    /// Opens a watch on a call.
    pub(crate) fn open_watch(&mut self, mut call: DiscoveryCall) {
        call.start_stream();
        self.watch = Some(call);
    }

    /// Returns the start line of the call on which the current watch was opened.
    pub(crate) fn watch_start_line(&self) -> &str {
        let watch = self.watch.as_ref();
        &watch.expect("a watch should be open").start_line
    }

    /// Sends an endpoint list on the current watch.
    pub(crate) fn send_list(&mut self, list: &str) {
        let watch = self.watch.as_mut();
        watch.expect("a watch should be open").send_line(list);
    }

    /// Closes the connection of the current watch.
    pub(crate) fn break_watch(&mut self) {
        self.watch = None;
    }
}

/// Accepts connections, reads one call from each and passes it to the test. Ends when the test has
/// dropped the receiver.
fn accept_calls(listener: &TcpListener, calls: &Sender<DiscoveryCall>) {
    for stream in listener.incoming() {
        let stream = stream.expect("listener should accept a connection");
        let mut reader = BufReader::new(stream.try_clone().expect("socket should be cloned"));
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
    /// Sends the head of a chunked response, whose lists follow one per line.
    pub(crate) fn start_stream(&mut self) {
        self.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// Sends a line as one chunk.
    pub(crate) fn send_line(&mut self, line: &str) {
        self.write(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Responds with status 503.
    pub(crate) fn fail(&mut self) {
        self.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    }

    /// Sends raw text.
    pub(crate) fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("node should keep the connection to discovery open");
    }
}

/// Returns an entry with the status `in_service`.
pub(crate) fn in_service(name: &str, address: SocketAddr) -> String {
    entry_with_status(name, address, "in_service")
}

/// Returns an entry with the status `terminating`, of an endpoint that drains.
pub(crate) fn draining(name: &str, address: SocketAddr) -> String {
    entry_with_status(name, address, "terminating")
}

/// Returns an entry with the status `terminated`, of an endpoint that is removed from the list.
pub(crate) fn removed(name: &str, address: SocketAddr) -> String {
    entry_with_status(name, address, "terminated")
}

/// Returns an entry of an endpoint list. `status` is the value on the wire.
pub(crate) fn entry_with_status(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Returns an endpoint list with all endpoints.
pub(crate) fn snapshot(index: u64, entries: &[String]) -> String {
    endpoint_list(index, true, entries)
}

/// Returns an endpoint list with only the endpoints that have changed.
pub(crate) fn delta(index: u64, entries: &[String]) -> String {
    endpoint_list(index, false, entries)
}

fn endpoint_list(index: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
