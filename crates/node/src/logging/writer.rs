//! Writes the log on a separate thread, so that a slow or stopped reader of standard error never
//! blocks the node.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// The number of entries that may wait to be written.
const QUEUE_LENGTH: usize = 256;
/// How long [`flush`] waits at most.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The stack size of the writer's thread, in bytes. It needs little stack.
const WRITER_STACK_BYTES: usize = 64 * 1024;

/// An entry of the writer's queue.
enum Entry {
    /// A line to be written.
    Line(String),
    /// A request to acknowledge that all entries before it have been written.
    Flush(SyncSender<()>),
}

/// The queue of the writer's thread; `None` if the thread could not be started.
static QUEUE: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();

/// Queues a line. Drops it if the queue is full.
pub(super) fn write(text: impl Display) {
    if let Some(queue) = queue() {
        let _ = queue.try_send(Entry::Line(text.to_string())); // fails only if the queue is full
    }
}

/// Waits until all lines logged so far have been written, at most for [`FLUSH_TIMEOUT`], since the
/// reader may have stopped.
pub(crate) fn flush() {
    let Some(queue) = queue() else { return };
    let (acknowledge, acknowledged) = sync_channel(1);
    if queue.try_send(Entry::Flush(acknowledge)).is_ok() {
        let _ = acknowledged.recv_timeout(FLUSH_TIMEOUT);
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

/// Writes the queue's entries until the process exits.
fn write_all(entries: Receiver<Entry>) {
    for entry in entries {
        match entry {
            Entry::Line(line) => {
                // An error is ignored, since there is nowhere to report it.
                let _ = writeln!(io::stderr().lock(), "ottertiller: {line}");
            }
            Entry::Flush(acknowledge) => {
                // An error means that the flush has timed out.
                let _ = acknowledge.send(());
            }
        }
    }
}
