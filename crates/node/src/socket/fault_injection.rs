//! Faults of system calls on this thread's streams, for tests.

use rustix::io::Errno;
use std::cell::RefCell;
use std::io;

thread_local! {
    /// The faults that are injected on this thread.
    static FAULTS: RefCell<Option<Plan>> = const { RefCell::new(None) };
}

/// A fault of system calls.
#[derive(Clone, Copy)]
enum Fault {
    /// One call in `fail_every` fails.
    Error { errno: Errno, fail_every: u32 },
    /// Reads hand out half of what they could at the most.
    ShortReads,
}

/// Which calls fail, and how many have.
#[derive(Clone, Copy)]
struct Plan {
    fault: Fault,
    /// The calls so far that may fail.
    calls: u32,
    /// The faults so far.
    injected: usize,
}

/// Injects faults until it is dropped.
pub struct InjectedFaults(());

impl InjectedFaults {
    /// Makes one call in `fail_every` fail with `errno`.
    pub fn errors(errno: Errno, fail_every: u32) -> Self {
        Self::start(Fault::Error { errno, fail_every })
    }

    /// Makes reads short. None of them fails.
    pub fn short_reads() -> Self {
        Self::start(Fault::ShortReads)
    }

    fn start(fault: Fault) -> Self {
        FAULTS.set(Some(Plan {
            fault,
            calls: 0,
            injected: 0,
        }));
        InjectedFaults(())
    }

    /// Returns how many faults were injected.
    pub fn count(&self) -> usize {
        FAULTS.with_borrow(|plan| plan.map_or(0, |plan| plan.injected))
    }
}

impl Drop for InjectedFaults {
    fn drop(&mut self) {
        FAULTS.set(None);
    }
}

/// Returns the error of the call that is to be made now, if it is to fail.
pub fn inject() -> Option<io::Error> {
    FAULTS.with_borrow_mut(|plan| plan.as_mut()?.next_error())
}

/// Returns the part of a buffer that a read may fill.
pub fn shorten(buffer: &mut [u8]) -> &mut [u8] {
    let is_short = FAULTS.with_borrow_mut(|plan| {
        plan.as_mut()
            .is_some_and(|plan| plan.shortens(buffer.len()))
    });
    let length = if is_short {
        buffer.len().min(64) / 2
    } else {
        buffer.len()
    };
    &mut buffer[..length]
}

impl Plan {
    /// Counts a call, and returns its error if it is to fail.
    fn next_error(&mut self) -> Option<io::Error> {
        let Fault::Error { errno, fail_every } = self.fault else {
            return None;
        };
        self.calls += 1;
        if self.calls % fail_every != 0 {
            return None;
        }
        self.injected += 1;
        Some(errno.into())
    }

    /// Returns whether a read into a buffer of this length is short, and counts it if so.
    fn shortens(&mut self, length: usize) -> bool {
        let is_short = matches!(self.fault, Fault::ShortReads) && length > 1;
        self.injected += usize::from(is_short);
        is_short
    }
}
