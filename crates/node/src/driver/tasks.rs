//! The tasks that the driver spawns, one for each attempt and each health check. Each task sends a
//! message to the driver when it ends.

use crate::message::{DriverMessage, StopReason};
use crate::upstream::Upstream;
use crate::upstream::attempt::Attempt;
use ottertiller_balancer::EndpointId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// Spawns the driver's tasks.
pub(super) struct TaskSpawner {
    upstream: Rc<Upstream>,
    driver: mpsc::Sender<DriverMessage>,
}

impl TaskSpawner {
    /// Creates a spawner whose tasks report to the driver's inbox.
    pub(super) fn new(upstream: Rc<Upstream>, driver: mpsc::Sender<DriverMessage>) -> Self {
        TaskSpawner { upstream, driver }
    }

    /// Spawns a task that makes an attempt.
    pub(super) fn spawn_attempt(
        &self,
        attempt: Attempt,
        stop_signal: oneshot::Receiver<StopReason>,
    ) {
        let upstream = self.upstream.clone();
        let driver = self.driver.clone();
        spawn_local(async move {
            let completed = upstream.run_attempt(attempt, stop_signal).await;
            report(&driver, DriverMessage::AttemptEnded(completed)).await;
        });
    }

    /// Spawns a task that checks an endpoint's health. `started_at` is when the balancer requested
    /// the check.
    pub(super) fn spawn_health_check(&self, endpoint: EndpointId, started_at: Duration) {
        let upstream = self.upstream.clone();
        let driver = self.driver.clone();
        spawn_local(async move {
            let completed = upstream.check_health(endpoint, started_at).await;
            report(&driver, DriverMessage::HealthCheckEnded(completed)).await;
        });
    }
}

async fn report(driver: &mpsc::Sender<DriverMessage>, message: DriverMessage) {
    // Fails only if the driver has ended, which needs no further messages.
    let _ = driver.send(message).await;
}
