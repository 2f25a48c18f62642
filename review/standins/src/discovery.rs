//! Discovery: answers a watch with the whole list, then with an empty line every 2 s.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

pub fn entry(name: &str, address: SocketAddr, zone: &str, kind: &str, group: u32) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{group},"status":"in_service","weight":1.0,"since_ms":0}}"#
    )
}

pub fn whole_list(index: u64, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Starts discovery with a list that never changes.
pub fn start(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || serve(stream, &list));
        }
    });
    address
}

fn serve(mut stream: TcpStream, list: &str) {
    let Ok(clone) = stream.try_clone() else { return };
    let Ok(Some(call)) = read_message(&mut BufReader::new(clone)) else { return };
    if !call.path().contains("stream=1") {
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        return;
    }
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = write!(stream, "{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
    loop {
        sleep(Duration::from_secs(2));
        if stream.write_all(b"1\r\n\n\r\n").is_err() {
            return;
        }
    }
}
