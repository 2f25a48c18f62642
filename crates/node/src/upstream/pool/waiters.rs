//! The attempts that wait for a connection to one endpoint.

use crate::upstream::pool::connection::{CheckoutResult, Connection};
use crate::upstream::pool::error::CheckoutError;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// Waiting attempts, the longest waiting first.
#[derive(Default)]
pub struct WaiterQueue(VecDeque<oneshot::Sender<CheckoutResult>>);

impl WaiterQueue {
    /// Adds a waiter, and returns where its connection will arrive.
    pub fn enqueue(&mut self) -> oneshot::Receiver<CheckoutResult> {
        let (waiter, delivery) = oneshot::channel();
        self.0.push_back(waiter);
        delivery
    }

    /// Removes the waiters that have given up.
    pub fn remove_cancelled(&mut self) {
        self.0.retain(|waiter| !waiter.is_closed());
    }

    /// Gives a connection to the longest waiting; returns it if nobody waits.
    pub fn deliver(&mut self, mut connection: Connection) -> Option<Connection> {
        while let Some(waiter) = self.0.pop_front() {
            match waiter.send(Ok(connection)) {
                Err(Ok(undelivered)) => connection = undelivered,
                Ok(()) | Err(Err(_)) => return None,
            }
        }
        Some(connection)
    }

    /// Fails the longest waiting until no more than `remaining` are left.
    pub fn fail_down_to(&mut self, remaining: usize, error: CheckoutError) {
        while self.0.len() > remaining {
            let Some(waiter) = self.0.pop_front() else {
                break;
            };
            let _ = waiter.send(Err(error)); // fails only if it has given up
        }
    }

    /// Fails all waiters.
    pub fn fail_all(&mut self, error: CheckoutError) {
        self.fail_down_to(0, error);
    }

    /// Returns how many wait, those included that have given up since the last removal.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
