//! Injects faults into the system calls on this thread's TCP streams, for tests.

use rustix::io::Errno;
use std::cell::RefCell;
use std::io;

thread_local! {
    /// The faults to inject on this thread; `None` if no test injects any.
    static FAULT_PLAN: RefCell<Option<FaultPlan>> = const { RefCell::new(None) };
}

/// A kind of fault.
#[derive(Clone, Copy)]
enum Fault {
    /// Every `fail_every`-th call fails with `errno`.
    Error { errno: Errno, fail_every: u32 },
    /// A read fills at most half of its buffer, and returns at most 32 bytes.
    ShortReads,
}

/// The fault to inject, and how often it was injected.
#[derive(Clone, Copy)]
struct FaultPlan {
    fault: Fault,
    /// The calls so far to which [`Fault::Error`] applies.
    calls: u32,
    /// The faults injected so far.
    injected: usize,
}

/// Injects faults until it is dropped.
pub(crate) struct InjectedFaults(());

impl InjectedFaults {
    /// Makes every `fail_every`-th call fail with `errno`.
    pub(crate) fn errors(errno: Errno, fail_every: u32) -> Self {
        Self::start(Fault::Error { errno, fail_every })
    }

    /// Makes reads return fewer bytes than their buffers hold. No read fails.
    pub(crate) fn short_reads() -> Self {
        Self::start(Fault::ShortReads)
    }

    fn start(fault: Fault) -> Self {
        FAULT_PLAN.set(Some(FaultPlan {
            fault,
            calls: 0,
            injected: 0,
        }));
        InjectedFaults(())
    }

    /// Returns how many faults were injected.
    pub(crate) fn count(&self) -> usize {
        FAULT_PLAN.with_borrow(|plan| plan.map_or(0, |plan| plan.injected))
    }
}

impl Drop for InjectedFaults {
    fn drop(&mut self) {
        FAULT_PLAN.set(None);
    }
}

/// Returns the error with which the next call fails; `None` if the call is to be made.
pub(crate) fn inject() -> Option<io::Error> {
    FAULT_PLAN.with_borrow_mut(|plan| plan.as_mut()?.next_error())
}

/// Returns the part of a buffer that the next read may fill.
pub(crate) fn shorten(buffer: &mut [u8]) -> &mut [u8] {
    let is_short = FAULT_PLAN.with_borrow_mut(|plan| {
        plan.as_mut()
            .is_some_and(|plan| plan.next_read_is_short(buffer.len()))
    });
    let length = if is_short {
        buffer.len().min(64) / 2
    } else {
        buffer.len()
    };
    &mut buffer[..length]
}

impl FaultPlan {
    /// Counts a call, and returns the error with which it fails, if any.
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

    /// Returns whether a read into a buffer of this length is shortened, and counts it if so.
    fn next_read_is_short(&mut self, length: usize) -> bool {
        let is_short = matches!(self.fault, Fault::ShortReads) && length > 1;
        self.injected += usize::from(is_short);
        is_short
    }
}
