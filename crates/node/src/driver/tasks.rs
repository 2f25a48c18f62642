//! The tasks that the driver spawns, one for each attempt and each health check. The end of a task
//! is a message to the driver.

use crate::message::{Message, StopReason};
use crate::upstream::Upstream;
use crate::upstream::attempt::Attempt;
use ottertiller_balancer::EndpointId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// Spawns the driver's tasks.
pub struct TaskSpawner {
    upstream: Rc<Upstream>,
    messages: mpsc::Sender<Message>,
}

impl TaskSpawner {
    /// Creates a spawner whose tasks report to `messages`, the driver's inbox.
    pub fn new(upstream: Rc<Upstream>, messages: mpsc::Sender<Message>) -> Self {
        TaskSpawner { upstream, messages }
    }

    /// Makes an attempt in a task of its own.
    pub fn spawn_attempt(&self, attempt: Attempt, stop_signal: oneshot::Receiver<StopReason>) {
        let upstream = self.upstream.clone();
        let messages = self.messages.clone();
        spawn_local(async move {
            let completed = upstream.run_attempt(attempt, stop_signal).await;
            report(&messages, Message::AttemptEnded(completed)).await;
        });
    }

    /// Checks an endpoint's health in a task of its own. `started_at` is when the check was decided
    /// on.
    pub fn spawn_health_check(&self, endpoint: EndpointId, started_at: Duration) {
        let upstream = self.upstream.clone();
        let messages = self.messages.clone();
        spawn_local(async move {
            let completed = upstream.check_health(endpoint, started_at).await;
            report(&messages, Message::HealthCheckEnded(completed)).await;
        });
    }
}

async fn report(messages: &mpsc::Sender<Message>, message: Message) {
    // Fails only when the driver has ended, and nobody needs the message.
    let _ = messages.send(message).await;
}
