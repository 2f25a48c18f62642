//! The nodes of a simulation, and their replies to batches.

use crate::error::{AdapterError, RecordError};
use crate::simulated_node::{DecisionPanic, SimulatedNode};
use crate::wire::{Batch, Input, NodeId, Record, Reply};
use ottertiller_balancer::Action;
use std::collections::BTreeMap;
use std::time::Duration;

/// The running nodes.
#[derive(Default)]
pub(crate) struct Session {
    /// The nodes by their numbers on the wire.
    nodes: BTreeMap<NodeId, SimulatedNode>,
}

impl Session {
    /// Handles the records of a batch in their order, and returns the frame of the reply.
    ///
    /// # Errors
    ///
    /// Returns the first record that cannot be decoded or starts a node with unusable settings.
    pub(crate) fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, AdapterError> {
        let mut reply = Reply::default();
        for (index, record) in batch.records().enumerate() {
            let handled =
                record.and_then(|record| self.handle_record(batch.clock, record, &mut reply));
            handled.map_err(|source| AdapterError::Record {
                batch: batch.number,
                record: index,
                source,
            })?;
        }
        Ok(reply.into_frame(batch.number))
    }

    /// Starts or stops a node, or passes an event to it.
    fn handle_record(
        &mut self,
        now: Duration,
        record: Record,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let Record { node, input } = record;
        match input {
            Input::Start { seed, settings } => {
                let started = SimulatedNode::start(&settings, seed)?;
                self.nodes.insert(node, started);
            }
            Input::Stop => {
                self.nodes.remove(&node);
            }
            Input::PeerMessage => {}
            Input::Event { event, report } => {
                // An event for a node that has stopped is late, and has no effect.
                let Some(running) = self.nodes.get_mut(&node) else {
                    return Ok(());
                };
                let decided = running.handle(now, event, report);
                self.add_decided(node, decided, reply);
            }
        }
        Ok(())
    }

    /// Adds the actions of a node to the reply. A node whose decisions panicked is reported as
    /// faulty, and stops.
    fn add_decided(
        &mut self,
        node: NodeId,
        decided: Result<Vec<Action>, DecisionPanic>,
        reply: &mut Reply,
    ) {
        match decided {
            Ok(actions) => actions.iter().for_each(|action| reply.push(node, action)),
            Err(panic) => {
                reply.push_fault(node, &panic.message);
                self.nodes.remove(&node);
            }
        }
    }
}
