//! What every case shares: the record, processes of the node, and a small random source.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

/// The option of prctl that sends a signal to a process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: i32 = 9;

/// How a case ended.
#[derive(Clone, Copy, PartialEq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// The record of a run: what was sent, answered and run, with the time in milliseconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A random source that all threads share (splitmix64).
pub struct Dice(AtomicU64);

impl Dice {
    fn new(seed: u64) -> Arc<Self> {
        Arc::new(Dice(AtomicU64::new(seed)))
    }

    /// The source of a case: its seed is `SEED` of the environment, or else 5.
    pub fn from_environment(record: &Record) -> Arc<Self> {
        let seed = std::env::var("SEED")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(5);
        record.say(&format!("seed {seed}"));
        Dice::new(seed)
    }

    pub fn bits(&self) -> u64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 (included) to 1.
    pub fn unit(&self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

/// A port that nobody listens on now.
pub fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// A temporary folder that is removed with its value.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> std::io::Result<Self> {
        let name = format!("review-case-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The command of a key of the deploy file.
fn deploy_command(root: &Path, key: &str) -> Option<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text
        .lines()
        .find(|line| line.split('=').next().map(str::trim) == Some(key))?;
    line.split('"').nth(1).map(str::to_owned)
}

/// The processes that this case has started and that have not ended.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
/// After this time a case has hung: its processes are killed, and it could not run.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// Ends the case and its processes if it runs for too long.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        sleep(LONGEST_RUN);
        for pid in CHILDREN.lock().unwrap().iter() {
            // SAFETY: kill has no memory effects.
            unsafe { kill(*pid, SIGKILL) };
        }
        eprintln!("the case took too long");
        std::process::exit(Verdict::CouldNotRun as i32);
    });
}

/// A running node. It is killed with its value.
pub struct Node {
    pub listen: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts the node by `run` of the deploy file, with this configuration.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        listen: SocketAddr,
        config: &str,
    ) -> Option<Self> {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, config).ok()?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .ok()?;
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl is safe to call between fork and exec. The node ends with the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg("-c")
            .arg(deploy_command(root, "run")?)
            .current_dir(root)
            .env("PROXY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        CHILDREN.lock().unwrap().push(child.id() as i32);
        Some(Node { listen, child })
    }

    /// Waits until the node answers 200 to the readiness check.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(answer) = crate::client::get_ready(self.listen) {
                if answer == 200 {
                    return true;
                }
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        CHILDREN.lock().unwrap().retain(|child| *child != pid);
    }
}
