//! The log: lines for operators on standard error.
//!
//! A thread of its own writes them, so that a reader that is slow or has stopped never blocks the
//! node: lines that do not fit into the queue are lost.

use std::cell::Cell;
use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait to be written.
const QUEUE_LENGTH: usize = 256;
/// The most lines in each interval about what peers do: they could fill any disk.
const MAX_PEER_LINES: u32 = 10;
const PEER_LINES_INTERVAL: Duration = Duration::from_secs(1);
/// How long [`flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The writer's thread needs little stack.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// An entry of the writer's queue.
enum Entry {
    /// A line to be written.
    Line(String),
    /// Acknowledged when all entries before it have been written.
    Flush(SyncSender<()>),
}

/// The queue of the writer's thread; `None` if the thread could not be started.
static QUEUE: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();

fn queue() -> Option<&'static SyncSender<Entry>> {
    QUEUE.get_or_init(start_writer).as_ref()
}

fn start_writer() -> Option<SyncSender<Entry>> {
    let (queue, entries) = sync_channel(QUEUE_LENGTH);
    let writer = thread::Builder::new().stack_size(WRITER_STACK_BYTES);
    writer.spawn(move || write_all(entries)).ok()?;
    Some(queue)
}

fn write_all(entries: Receiver<Entry>) {
    for entry in entries {
        match entry {
            Entry::Line(line) => {
                // There is nowhere to report that the log cannot be written.
                let _ = writeln!(io::stderr().lock(), "ottertiller: {line}");
            }
            Entry::Flush(written) => {
                // An error means that the flush has timed out.
                let _ = written.send(());
            }
        }
    }
}

/// Logs a line about this node.
pub fn log(text: impl Display) {
    if let Some(queue) = queue() {
        let _ = queue.try_send(Entry::Line(text.to_string()));
    }
}

/// Logs a line about something that peers can cause as often as they like. Their number is limited;
/// a line says how many were suppressed before it.
pub fn log_peer(text: impl Display) {
    thread_local! {
        static LIMIT: Cell<PeerLineLimit> = const { Cell::new(PeerLineLimit::new()) };
    }
    let mut limit = LIMIT.get();
    let admitted = limit.admit(Instant::now());
    LIMIT.set(limit);
    match admitted {
        Some(0) => log(text),
        Some(suppressed) => {
            log(format_args!(
                "{text} ({suppressed} messages about peers suppressed)"
            ));
        }
        None => {}
    }
}

/// Limits the number of lines in each interval. An interval starts with the first line after the
/// last one's end.
#[derive(Clone, Copy)]
struct PeerLineLimit {
    interval_start: Option<Instant>,
    lines_in_interval: u32,
    suppressed: u64,
}

impl PeerLineLimit {
    const fn new() -> Self {
        PeerLineLimit {
            interval_start: None,
            lines_in_interval: 0,
            suppressed: 0,
        }
    }

    /// Admits a line, with the number of those suppressed since the last; `None` if this one is
    /// suppressed.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_over = self
            .interval_start
            .is_none_or(|start| now - start >= PEER_LINES_INTERVAL);
        if is_over {
            self.interval_start = Some(now);
            self.lines_in_interval = 0;
        }
        if self.lines_in_interval >= MAX_PEER_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines_in_interval += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Waits until all lines so far have been written, but not for a reader that has stopped.
pub fn flush() {
    let Some(queue) = queue() else { return };
    let (written, is_written) = sync_channel(1);
    if queue.try_send(Entry::Flush(written)).is_ok() {
        let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
    }
}
