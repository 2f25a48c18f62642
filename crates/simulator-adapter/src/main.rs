//! Runs many simulated nodes in one process, with one balancer for each, over the simulator's wire
//! protocol. It reads batches of events from standard input and writes replies with actions to
//! standard output. All decisions are made in `ottertiller_balancer`.

mod error;
mod session;
mod simulated_node;
mod wire;

use error::AdapterError;
use ottertiller_error_chain::ErrorChain;
use session::Session;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

/// Large enough for most batches, so that reading one takes few system calls.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Reads batches until the end of the input and writes a reply to each.
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
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match run(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ottertiller-simulator-adapter: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
