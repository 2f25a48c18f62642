//! A digest of all actions of a fleet, including the node and the time in microseconds of each.

use ottertiller_balancer::{Action, Timer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::time::Duration;

/// The number of bytes of the SHA-256 digest that are recorded.
const DIGEST_BYTES: usize = 8;

/// The number of the actions of a fleet, and their digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedActions {
    /// The number of actions.
    pub count: usize,
    /// The first 8 bytes of the SHA-256 digest of the actions, in hexadecimal.
    pub digest: String,
}

impl fmt::Display for RecordedActions {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} actions, {}", self.count, self.digest)
    }
}

/// Computes the digest incrementally.
#[derive(Default)]
pub(super) struct ActionDigest {
    digest: Sha256,
    actions: usize,
}

impl ActionDigest {
    /// Adds an action of a node.
    pub(super) fn add(&mut self, now: Duration, node: usize, action: &Action) {
        let numbers: [u64; 4] = match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => [1, id.0, endpoint.0, micros(timeout)],
            Action::Shed { id, retry_after } => {
                [2, id.0, retry_after.as_ref().map_or(0, micros), 0]
            }
            Action::Fail { id } => [3, id.0, 0, 0],
            Action::CancelAttempt { id, attempt } => [4, id.0, u64::from(*attempt), 0],
            Action::SetTimer { after, timer } => [5, micros(after), timer_number(*timer), 0],
            Action::HealthCheck { endpoint } => [6, endpoint.0, 0, 0],
            Action::Subscribe { enabled } => [7, u64::from(*enabled), 0, 0],
        };
        self.actions += 1;
        self.digest.update(micros(&now).to_be_bytes());
        self.digest.update((node as u64).to_be_bytes());
        for number in numbers {
            self.digest.update(number.to_be_bytes());
        }
    }

    /// Returns the number of the actions that were added and their digest.
    pub(super) fn recorded_actions(&self) -> RecordedActions {
        let digest = self.digest.clone().finalize();
        let hex = digest
            .iter()
            .take(DIGEST_BYTES)
            .map(|byte| format!("{byte:02x}"));
        RecordedActions {
            count: self.actions,
            digest: hex.collect(),
        }
    }
}

/// Returns the number of a timer in the simulator's wire protocol.
fn timer_number(timer: Timer) -> u64 {
    match timer {
        Timer::Request(id) => id.0,
        Timer::EndpointPolling => u64::MAX,
    }
}

fn micros(time: &Duration) -> u64 {
    time.as_micros() as u64
}
