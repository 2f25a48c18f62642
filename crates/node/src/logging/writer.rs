//! Writes the log in a thread of its own, so that a reader that is slow or has stopped never blocks
//! the node.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// The number of lines that may wait to be written.
const QUEUE_LENGTH: usize = 256;
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

/// Queues a line, unless the queue is full.
pub fn write(text: impl Display) {
    if let Some(queue) = queue() {
        let _ = queue.try_send(Entry::Line(text.to_string())); // fails only if the queue is full
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

/// Returns the writer's queue. The first call starts the writer.
fn queue() -> Option<&'static SyncSender<Entry>> {
    QUEUE.get_or_init(start_writer).as_ref()
}

/// Starts the writer's thread.
fn start_writer() -> Option<SyncSender<Entry>> {
    let (queue, entries) = sync_channel(QUEUE_LENGTH);
    let writer = thread::Builder::new().stack_size(WRITER_STACK_BYTES);
    writer.spawn(move || write_all(entries)).ok()?;
    Some(queue)
}

/// Writes entries for as long as the process runs.
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
