//! The node as a process, run as its users run it.

use super::client::Client;
use super::wait_until;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

static CONFIG_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The node's command, with its configuration in a file. `shell` goes before it.
pub fn node_command(config: &str, shell: &str) -> (Command, PathBuf) {
    let number = CONFIG_NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("a place for the configuration");
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(format!("{shell}exec \"$0\""))
        .arg(env!("CARGO_BIN_EXE_ottertiller"));
    command
        .env("PROXY_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    (command, path)
}

/// A running node; it is killed when this is dropped.
pub struct NodeProcess {
    child: Child,
    path: PathBuf,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _log_reader: Option<UnixStream>,
}

impl NodeProcess {
    pub fn start(config: &str, shell: &str) -> Self {
        let (mut command, path) = node_command(config, shell);
        let mut child = command.spawn().expect("the node starts");
        let mut lines = BufReader::new(child.stderr.take().expect("its log"))
            .lines()
            .map_while(Result::ok);
        let first = lines.next().expect("a first line");
        let address = first
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address: {first}"));
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        spawn(move || lines.for_each(|line| kept.lock().expect("the log").push(line)));
        NodeProcess {
            child,
            path,
            address,
            log,
            _log_reader: None,
        }
    }

    /// A node whose log nobody reads; the pipe is full, so that it can write none of it.
    pub fn start_without_log_reader(config: &str) -> Self {
        let (mut full, read) = UnixStream::pair().expect("a pair");
        full.set_nonblocking(true).expect("its mode");
        while full.write(&[b'.'; 4096]).is_ok() {}
        full.set_nonblocking(false).expect("its mode");
        // Nothing says where it listens, so that is chosen here.
        let free = TcpListener::bind("127.0.0.1:0")
            .and_then(|free| free.local_addr())
            .expect("a port");
        let (mut command, path) =
            node_command(&config.replace("127.0.0.1:0", &free.to_string()), "");
        let child = command
            .stderr(OwnedFd::from(full))
            .spawn()
            .expect("the node starts");
        wait_until(|| TcpStream::connect(free).is_ok(), "a node that listens");
        NodeProcess {
            child,
            path,
            address: free,
            log: Arc::default(),
            _log_reader: Some(read),
        }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn is_ready(&self) -> bool {
        self.client().request("GET /health/ready", "", b"").status() == 200
    }

    /// Waits until a line of the log holds this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(
            || {
                self.log
                    .lock()
                    .expect("the log")
                    .iter()
                    .any(|line| line.contains(text))
            },
            text,
        );
    }

    /// How many lines of the log hold this text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        self.log
            .lock()
            .expect("the log")
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Its resident memory.
    pub fn memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("its state");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("its memory");
        line.trim_end_matches("kB")
            .trim()
            .parse()
            .expect("a number")
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces its configuration, and has it read again.
    pub fn reload(&self, config: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, config)
            .and_then(|()| std::fs::rename(&new, &self.path))
            .expect("a new file");
        self.signal("-HUP");
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_some()
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill(); // it may have ended by itself
        let _ = self.child.wait();
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(
            || {
                status = self.child.try_wait().expect("its state");
                status.is_some()
            },
            "the node's end",
        );
        status.expect("just seen")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
