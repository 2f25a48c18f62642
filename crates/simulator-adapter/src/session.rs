//! The instances of a simulation, and what they answer to a batch.

use crate::error::{AdapterError, RecordError};
use crate::instance::Instance;
use crate::wire::{Batch, Input, Record, Reply};
use std::collections::BTreeMap;
use std::time::Duration;

/// The running instances, by their numbers on the wire.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<u16, Instance>,
}

impl Session {
    /// Plays the records of a batch in order, and returns the frame of the reply.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, AdapterError> {
        let mut reply = Reply::default();
        for (index, record) in batch.records().enumerate() {
            let played = record.and_then(|record| self.play(batch.clock, record, &mut reply));
            played.map_err(|cause| AdapterError::Record {
                batch: batch.number,
                record: index,
                cause,
            })?;
        }
        Ok(reply.into_frame(batch.number))
    }

    fn play(
        &mut self,
        now: Duration,
        record: Record,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let Record {
            instance: number,
            input,
        } = record;
        match input {
            Input::Start { seed, settings } => {
                self.instances
                    .insert(number, Instance::start(&settings, seed)?);
            }
            Input::Stop => {
                self.instances.remove(&number);
            }
            Input::PeerMessage => {}
            Input::Event { event, report } => {
                // An event for an instance that has stopped is late, and has no effect.
                let Some(instance) = self.instances.get_mut(&number) else {
                    return Ok(());
                };
                match instance.handle(now, event, report) {
                    Ok(actions) => actions.iter().for_each(|action| reply.push(number, action)),
                    Err(panic) => {
                        reply.push_fault(number, &panic.message);
                        self.instances.remove(&number);
                    }
                }
            }
        }
        Ok(())
    }
}
