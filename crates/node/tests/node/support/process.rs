//! The node as a process, run as its users run it.

use super::client::Client;
use super::config::NodeConfig;
use super::wait::wait_until;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// Counts the configurations, for the names of their files.
static CONFIG_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The command of a node, and the file of its configuration.
pub struct NodeCommand {
    pub command: Command,
    config_path: PathBuf,
}

/// Returns the command of a node with this configuration. The system allows it `open_file_limit`
/// descriptors; without a limit, as many as the test.
pub fn node_command(config: &str, open_file_limit: Option<u32>) -> NodeCommand {
    let set_limit = match open_file_limit {
        Some(descriptors) => format!("ulimit -n {descriptors}; "),
        None => String::new(),
    };
    let number = CONFIG_NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("a place for the configuration");
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(format!("{set_limit}exec \"$0\""))
        .arg(env!("CARGO_BIN_EXE_ottertiller"));
    command
        .env("PROXY_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    NodeCommand {
        command,
        config_path: path,
    }
}

/// A node that runs. It is killed when this is dropped.
pub struct NodeProcess {
    child: Child,
    config_path: PathBuf,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    /// Keeps the pipe of an unread log open.
    _log_reader: Option<UnixStream>,
}

impl NodeProcess {
    /// Starts a node with this configuration.
    pub fn start(config: &NodeConfig) -> Self {
        Self::start_with_open_file_limit(&config.to_json(), None)
    }

    /// Starts a node with this configuration, to which the system allows `open_file_limit`
    /// descriptors.
    pub fn start_with_open_file_limit(config: &str, open_file_limit: Option<u32>) -> Self {
        let NodeCommand {
            mut command,
            config_path,
        } = node_command(config, open_file_limit);
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
            config_path,
            address,
            log,
            _log_reader: None,
        }
    }

    /// Starts a node whose log nobody reads. The pipe is full, so that it can write none of it.
    pub fn start_with_unread_log(config: &str) -> Self {
        let (mut full, read) = UnixStream::pair().expect("a pair");
        full.set_nonblocking(true).expect("its mode");
        while full.write(&[b'.'; 4096]).is_ok() {}
        full.set_nonblocking(false).expect("its mode");
        // The log cannot say where the node listens, so the port is chosen here.
        let free = TcpListener::bind("127.0.0.1:0")
            .and_then(|free| free.local_addr())
            .expect("a port");
        let config = config.replace("127.0.0.1:0", &free.to_string());
        let NodeCommand {
            mut command,
            config_path,
        } = node_command(&config, None);
        let child = command
            .stderr(OwnedFd::from(full))
            .spawn()
            .expect("the node starts");
        wait_until(|| TcpStream::connect(free).is_ok(), "a node that listens");
        NodeProcess {
            child,
            config_path,
            address: free,
            log: Arc::default(),
            _log_reader: Some(read),
        }
    }

    /// Connects a client to the node.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.client().request("GET /health/ready", "", b"").status() == 200
    }

    /// Waits until a line of the log contains this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(|| self.count_log_lines(text) > 0, text);
    }

    /// Counts the lines of the log that contain this text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        self.log
            .lock()
            .expect("the log")
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Returns the resident memory of the node in KiB.
    pub fn resident_memory_kib(&self) -> usize {
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

    /// Sends the node a signal, which `kill` knows by this name.
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

    /// Sends the node SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration, and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, config)
            .and_then(|()| std::fs::rename(&new, &self.config_path))
            .expect("a new file");
        self.signal("-HUP");
    }

    /// Returns whether the node has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_some()
    }

    /// Sends the node SIGKILL, and waits until it has exited.
    pub fn kill(&mut self) {
        // The node may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the node has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(
            || {
                status = self.child.try_wait().expect("its state");
                status.is_some()
            },
            "the exit of the node",
        );
        status.expect("just seen")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
