//! Runs the node as a process, with a configuration file as in production.

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

/// The number of the next configuration file, which is part of its name.
static NEXT_CONFIG_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// The command that starts a node, and the path of its configuration file.
pub(crate) struct NodeCommand {
    pub command: Command,
    config_path: PathBuf,
}

/// Writes a configuration file and returns the command that starts a node with it. The process may
/// open `open_file_limit` descriptors; if `None`, it inherits the limit of the test.
pub(crate) fn node_command(config: &str, open_file_limit: Option<u32>) -> NodeCommand {
    let set_limit = match open_file_limit {
        Some(descriptors) => format!("ulimit -n {descriptors}; "),
        None => String::new(),
    };
    let number = NEXT_CONFIG_NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("configuration should be written");
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

/// A running node. Dropping it kills the process.
pub(crate) struct NodeProcess {
    child: Child,
    config_path: PathBuf,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    /// The reading side of an unread log, which must stay open.
    _log_reader: Option<UnixStream>,
}

impl NodeProcess {
    /// Starts a node.
    pub(crate) fn start(config: &NodeConfig) -> Self {
        Self::start_with_open_file_limit(&config.to_json(), None)
    }

    /// Starts a node that may open `open_file_limit` descriptors.
    pub(crate) fn start_with_open_file_limit(config: &str, open_file_limit: Option<u32>) -> Self {
        let NodeCommand {
            mut command,
            config_path,
        } = node_command(config, open_file_limit);
        let mut child = command.spawn().expect("node should start");
        let stderr = child.stderr.take().expect("stderr should be piped");
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let first_line = lines.next().expect("log should have a first line");
        let address = first_line
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok());
        let address = address
            .unwrap_or_else(|| panic!("no address at the end of the first log line: {first_line}"));
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_writer = log.clone();
        spawn(move || {
            for line in lines {
                let mut log = log_writer.lock().expect("log should not be poisoned");
                log.push(line);
            }
        });
        NodeProcess {
            child,
            config_path,
            address,
            log,
            _log_reader: None,
        }
    }

    /// Starts a node whose log nobody reads. The socket for its standard error is already full, so
    /// that the node cannot write a single line.
    pub(crate) fn start_with_unread_log(config: &str) -> Self {
        let (mut log_writer, log_reader) =
            UnixStream::pair().expect("socket pair should be created");
        log_writer
            .set_nonblocking(true)
            .expect("blocking mode should be set");
        while log_writer.write(&[b'.'; 4096]).is_ok() {}
        log_writer
            .set_nonblocking(false)
            .expect("blocking mode should be set");
        // The log does not tell the test where the node listens, so the test chooses a free port.
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .expect("loopback port should bind");
        let config = config.replace("127.0.0.1:0", &address.to_string());
        let NodeCommand {
            mut command,
            config_path,
        } = node_command(&config, None);
        let child = command
            .stderr(OwnedFd::from(log_writer))
            .spawn()
            .expect("node should start");
        wait_until(|| TcpStream::connect(address).is_ok(), "the node to listen");
        NodeProcess {
            child,
            config_path,
            address,
            log: Arc::default(),
            _log_reader: Some(log_reader),
        }
    }

    /// Connects a client to the node.
    pub(crate) fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Returns whether the readiness check of the node succeeds.
    pub(crate) fn is_ready(&self) -> bool {
        self.client().request("GET /health/ready", "", b"").status() == 200
    }

    /// Waits until a line of the log contains `text`.
    pub(crate) fn wait_for_log(&self, text: &str) {
        let condition = format!("a log line with {text:?}");
        wait_until(|| self.count_log_lines(text) > 0, &condition);
    }

    /// Returns the number of lines of the log that contain `text`.
    pub(crate) fn count_log_lines(&self, text: &str) -> usize {
        self.log
            .lock()
            .expect("log should not be poisoned")
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Returns the resident memory of the node in KiB.
    pub(crate) fn resident_memory_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("process status should be readable");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("process status should hold VmRSS");
        line.trim_end_matches("kB")
            .trim()
            .parse()
            .expect("VmRSS should be a number")
    }

    /// Sends a signal to the node. `option` is an option of `kill`, such as `-HUP`.
    pub(crate) fn signal(&self, option: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([option, &id])
                .status()
                .expect("kill should run")
                .success()
        );
    }

    /// Sends SIGTERM to the node.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP to the node.
    pub(crate) fn reload(&self, config: &str) {
        let new_path = self.config_path.with_extension("new");
        std::fs::write(&new_path, config)
            .and_then(|()| std::fs::rename(&new_path, &self.config_path))
            .expect("configuration should be replaced");
        self.signal("-HUP");
    }

    /// Returns whether the node has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("exit status should be readable").is_some()
    }

    /// Sends SIGKILL to the node and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        // Errors are ignored, because the node may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the node has exited and returns its status.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(
            || {
                let result = self.child.try_wait();
                status = result.expect("exit status should be readable");
                status.is_some()
            },
            "the node to exit",
        );
        status.expect("node should have exited")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
