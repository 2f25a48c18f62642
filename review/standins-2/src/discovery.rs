//! A discovery service: lists, and watches on which it tells changes and an empty line every 2 s.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::Duration;

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"std-a\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.group, self.status, self.since_ms
        )
    }
}

struct State {
    index: u64,
    /// The entries with the version of their last change.
    entries: Vec<(u64, Entry)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let discovery = Discovery {
            address: listener.local_addr().expect("its address"),
            state: Arc::new((Mutex::new(State { index: 40, entries }), Condvar::new())),
        };
        let shared = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        discovery
    }

    /// The whole list, as a new node knows it.
    pub fn whole_list(&self) -> String {
        list(&self.state.0.lock().unwrap(), 0, true)
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(request) = read_message(&mut reader)? else {
            return Ok(());
        };
        let path = request.word(1).to_owned();
        if !path.contains("stream=1") {
            let text = self.whole_list();
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
        }
        let after = path
            .split("index=")
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = u64::MAX;
        loop {
            let line = {
                let mut state = self.state.0.lock().unwrap();
                if told == state.index {
                    state = self
                        .state
                        .1
                        .wait_timeout(state, Duration::from_secs(2))
                        .unwrap()
                        .0;
                }
                let from = if told == u64::MAX { after } else { told };
                let line = if told != state.index {
                    list(&state, from, from == 0) + "\n"
                } else {
                    "\n".into()
                };
                told = state.index;
                line
            };
            write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
        }
    }
}

fn list(state: &State, after: u64, whole: bool) -> String {
    let entries: Vec<String> = state
        .entries
        .iter()
        .filter(|(version, entry)| {
            if whole {
                entry.status != "terminated"
            } else {
                *version > after
            }
        })
        .map(|(_, entry)| entry.json())
        .collect();
    format!(
        "{{\"index\":{},\"snapshot\":{whole},\"endpoints\":[{}]}}",
        state.index,
        entries.join(",")
    )
}
