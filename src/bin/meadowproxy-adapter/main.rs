//! The simulator adapter: runs one [`meadowproxy::Balancer`] for each simulated proxy and exchanges lines of JSON with
//! the simulator on standard input and output. It only translates; the library makes every decision.
//!
//! Each line is parsed into a [`message::Message`]. [`simulation::Simulation`] finds the instance that the message is
//! for, [`event`] translates it into an event, and [`reply`] writes the resulting actions. Endpoint lists, which the
//! instances share, are stored in [`endpoint_lists`].
#![forbid(unsafe_code)]

mod endpoint_lists;
mod error;
mod event;
mod instance;
mod message;
mod reply;

mod simulation;

use error::AdapterError;
use simulation::{Progress, Simulation};
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = std::io::stdin().lock();
    let stdout = std::io::stdout().lock();
    match run(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowproxy-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads lines until the input ends, and writes a reply at the end of each batch.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut simulation = Simulation::default();
    let mut line = String::new();
    let mut number = 0;
    let mut reply = Vec::new();
    loop {
        line.clear();
        number += 1;
        let length = input
            .read_line(&mut line)
            .map_err(|source| AdapterError::Read { number, source })?;
        if length == 0 {
            return Ok(());
        }
        let progress = simulation
            .handle_line(line.trim_end(), &mut reply)
            .map_err(|source| AdapterError::Line { number, source })?;
        if progress == Progress::ReplyComplete {
            write_reply(&mut output, &reply)
                .map_err(|source| AdapterError::Write { number, source })?;
            reply.clear();
        }
    }
}

fn write_reply(output: &mut impl Write, reply: &[u8]) -> std::io::Result<()> {
    output.write_all(reply)?;
    output.flush()
}
