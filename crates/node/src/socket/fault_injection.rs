//! Faults of system calls on this thread's streams, for tests.

use rustix::io::Errno;
use std::cell::RefCell;
use std::io;

thread_local! {
    /// The faults that are injected on this thread.
    static FAULTS: RefCell<Option<Plan>> = const { RefCell::new(None) };
}

/// Which calls fail, and how many have.
#[derive(Clone, Copy)]
struct Plan {
    /// One call of so many fails.
    fail_every: u32,
    errno: Errno,
    /// Whether reads hand out half of what they could at the most.
    short_reads: bool,
    calls: u32,
    injected: usize,
}

/// Injects faults until it is dropped.
pub struct InjectedFaults(());

impl InjectedFaults {
    /// Makes one call in `fail_every` fail with `errno`.
    pub fn errors(errno: Errno, fail_every: u32) -> Self {
        Self::start(Plan {
            fail_every,
            errno,
            short_reads: false,
            calls: 0,
            injected: 0,
        })
    }

    /// Makes reads short. None of them fails.
    pub fn short_reads() -> Self {
        Self::start(Plan {
            fail_every: 0,
            errno: Errno::INTR,
            short_reads: true,
            calls: 0,
            injected: 0,
        })
    }

    fn start(plan: Plan) -> Self {
        FAULTS.set(Some(plan));
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
    FAULTS.with_borrow_mut(|plan| {
        let plan = plan.as_mut().filter(|plan| plan.fail_every > 0)?;
        plan.calls += 1;
        if plan.calls % plan.fail_every != 0 {
            return None;
        }
        plan.injected += 1;
        Some(plan.errno.into())
    })
}

/// Returns the part of a buffer that a read may fill.
pub fn shorten(buffer: &mut [u8]) -> &mut [u8] {
    let is_short = FAULTS.with_borrow_mut(|plan| {
        let plan = plan
            .as_mut()
            .filter(|plan| plan.short_reads && buffer.len() > 1);
        plan.map(|plan| plan.injected += 1).is_some()
    });
    let length = if is_short {
        buffer.len().min(64) / 2
    } else {
        buffer.len()
    };
    &mut buffer[..length]
}
