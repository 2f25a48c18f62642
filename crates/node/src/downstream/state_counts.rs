//! Counts the client connections by their state, for the log.

use super::connection::{Connection, ConnectionState};
use std::fmt;
use std::rc::Rc;

/// The number of client connections in each state.
#[derive(Default)]
pub(super) struct StateCounts {
    idle: usize,
    reading_head: usize,
    reading_body: usize,
    serving: usize,
    closing: usize,
}

impl StateCounts {
    /// Counts the connections.
    pub(super) fn new<'a>(connections: impl Iterator<Item = &'a Rc<Connection>>) -> Self {
        let mut counts = StateCounts::default();
        for connection in connections {
            *counts.count_of(connection) += 1;
        }
        counts
    }

    /// Returns the count that includes the connection.
    fn count_of(&mut self, connection: &Connection) -> &mut usize {
        match connection.state() {
            ConnectionState::Idle { .. } if connection.is_reading_head() => &mut self.reading_head,
            ConnectionState::Idle { .. } => &mut self.idle,
            ConnectionState::ReadingBody => &mut self.reading_body,
            ConnectionState::Serving => &mut self.serving,
            ConnectionState::Closing { .. } => &mut self.closing,
        }
    }
}

impl fmt::Display for StateCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} idle, {} reading a head, {} reading a body, {} serving, {} closing",
            self.idle, self.reading_head, self.reading_body, self.serving, self.closing
        )
    }
}
