//! The queue of attempts that wait for a connection to one endpoint.

use crate::upstream::pool::connection::{CheckoutResult, Connection};
use crate::upstream::pool::error::CheckoutError;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// The waiting attempts and health checks, the longest waiting first.
#[derive(Default)]
pub(super) struct WaiterQueue(VecDeque<oneshot::Sender<CheckoutResult>>);

impl WaiterQueue {
    /// Adds a waiter, and returns the receiver of its connection.
    pub(super) fn enqueue(&mut self) -> oneshot::Receiver<CheckoutResult> {
        let (waiter, delivery) = oneshot::channel();
        self.0.push_back(waiter);
        delivery
    }

    /// Removes the waiters whose checkouts have been cancelled.
    pub(super) fn remove_cancelled(&mut self) {
        self.0.retain(|waiter| !waiter.is_closed());
    }

    /// Gives a connection to the longest waiting attempt. Returns the connection if no attempt
    /// waits for it.
    pub(super) fn deliver(&mut self, mut connection: Connection) -> Option<Connection> {
        while let Some(waiter) = self.0.pop_front() {
            match waiter.send(Ok(connection)) {
                Err(Ok(undelivered)) => connection = undelivered,
                Ok(()) | Err(Err(_)) => return None,
            }
        }
        Some(connection)
    }

    /// Fails the longest waiting attempts until no more than `max_remaining` are left.
    pub(super) fn fail_excess(&mut self, max_remaining: usize, error: CheckoutError) {
        while self.0.len() > max_remaining {
            let Some(waiter) = self.0.pop_front() else {
                break;
            };
            let _ = waiter.send(Err(error)); // fails only if the checkout was cancelled
        }
    }

    /// Fails all waiters.
    pub(super) fn fail_all(&mut self, error: CheckoutError) {
        self.fail_excess(0, error);
    }

    /// Returns the number of waiters, including those cancelled since the last
    /// [`WaiterQueue::remove_cancelled`].
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no waiters.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
