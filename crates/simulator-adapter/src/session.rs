//! Dispatches the records of a batch to the simulated nodes and collects the reply.

use crate::error::{AdapterError, RecordError};
use crate::simulated_node::{BalancerPanic, SimulatedNode};
use crate::wire::{Batch, Input, NodeId, Record, Reply};
use ottertiller_balancer::Action;
use std::collections::BTreeMap;
use std::time::Duration;

/// The running nodes of a simulation.
#[derive(Default)]
pub(crate) struct Session {
    /// The nodes by their protocol numbers.
    nodes: BTreeMap<NodeId, SimulatedNode>,
}

impl Session {
    /// Handles the records of a batch in order and returns the encoded frame of the reply.
    ///
    /// # Errors
    ///
    /// Returns an error for the first record that cannot be decoded or that starts a node with
    /// invalid settings.
    pub(crate) fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, AdapterError> {
        let mut reply = Reply::default();
        for (index, record) in batch.records().enumerate() {
            let result =
                record.and_then(|record| self.handle_record(batch.clock, record, &mut reply));
            result.map_err(|source| AdapterError::Record {
                batch: batch.number,
                record: index,
                source,
            })?;
        }
        Ok(reply.into_frame(batch.number))
    }

    /// Starts or stops a node, or passes it an event.
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
                // Events are ignored if the node is not running: it was never started, it was
                // stopped, or its balancer panicked.
                let Some(running) = self.nodes.get_mut(&node) else {
                    return Ok(());
                };
                let result = running.handle(now, event, report);
                self.add_result(node, result, reply);
            }
        }
        Ok(())
    }

    /// Adds the actions of a node to the reply. If the balancer panicked, reports the fault and
    /// stops the node.
    fn add_result(
        &mut self,
        node: NodeId,
        result: Result<Vec<Action>, BalancerPanic>,
        reply: &mut Reply,
    ) {
        match result {
            Ok(actions) => actions.iter().for_each(|action| reply.push(node, action)),
            Err(panic) => {
                reply.push_fault(node, &panic.message);
                self.nodes.remove(&node);
            }
        }
    }
}
