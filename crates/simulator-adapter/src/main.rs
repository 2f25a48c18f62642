//! Plays many nodes on the simulator's wire protocol: one balancer for each node. Batches come
//! on standard input, replies go to standard output. Knows nothing of how decisions are made.

mod error;
mod session;
mod simulated_node;
mod wire;

use error::AdapterError;
use ottertiller_error_chain::ErrorChain;
use session::Session;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

/// The bytes of the input buffer. Most batches fit, so that one is read in few system calls.
const INPUT_BUFFER_SIZE: usize = 1 << 16;

/// Reads batches until the input ends, and writes a reply to each.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    while let Some(batch) = wire::read_batch(input)? {
        let reply = session.handle_batch(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_SIZE, io::stdin().lock());
    match run(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ottertiller-simulator-adapter: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
