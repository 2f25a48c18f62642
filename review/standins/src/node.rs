//! The process of a node, started with the command `run` of the deploy file.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Node {
    child: Child,
    pub address: SocketAddr,
}

impl Node {
    /// Starts a node and waits until it is ready. The environment gives the command (RUN), the root
    /// of the repository (ROOT) and a temporary folder (WORK).
    pub fn start(name: &str, discovery: SocketAddr, sockets: u32, memory_mb: u32, known: &str, settings: &str) -> Self {
        let variable = |name| std::env::var(name).unwrap_or_else(|_| panic!("{name} should be set"));
        let address = free_address();
        let work = PathBuf::from(variable("WORK"));
        let path = work.join(format!("{name}.json"));
        let config = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(&path, config).expect("the configuration should be written");
        let log = std::fs::File::create(work.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(variable("RUN"))
            .current_dir(variable("ROOT"))
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.to_string())
            .env("PROXY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the node should start");
        std::fs::write(work.join(format!("{name}.pid")), child.id().to_string()).expect("a pid file");
        let node = Node { child, address };
        node.wait_until_ready();
        node
    }

    fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if let Ok(mut client) = crate::client::Connection::open(self.address, Duration::from_secs(1)) {
                let head = "GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
                if client.send(head.as_bytes()).is_ok()
                    && client.receive().is_ok_and(|answer| answer.status() == 200)
                {
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        eprintln!("the node is not ready within 15 s");
        std::process::exit(2);
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the anonymous memory of the process in KiB: without the pages of files.
    pub fn anonymous_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let _ = TcpStream::connect_timeout(&address, Duration::from_millis(10));
    address
}
