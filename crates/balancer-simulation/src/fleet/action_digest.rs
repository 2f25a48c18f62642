//! A digest of all actions of a fleet, with their nodes and their times in microseconds.

use ottertiller_balancer::{Action, Timer};
use sha2::{Digest, Sha256};
use std::time::Duration;

#[derive(Default)]
pub struct ActionDigest {
    digest: Sha256,
    actions: usize,
}

impl ActionDigest {
    pub fn add(&mut self, now: Duration, node: usize, action: &Action) {
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

    /// How many actions were added, and the first eight bytes of their digest.
    pub fn finish(&self) -> (usize, String) {
        let digest = self.digest.clone().finalize();
        let hex = digest.iter().take(8).map(|byte| format!("{byte:02x}"));
        (self.actions, hex.collect())
    }
}

/// The number of a timer on the simulator's wire.
fn timer_number(timer: Timer) -> u64 {
    match timer {
        Timer::Request(id) => id.0,
        Timer::EndpointPolling => u64::MAX,
    }
}

fn micros(time: &Duration) -> u64 {
    time.as_micros() as u64
}
