//! Runs the proxy's decisions on the simulator's wire: lines of JSON on standard input and output, one
//! [`meadowproxy::Balancer`] for each simulated proxy. Translation only; every decision is the library's.
//!
//! A line becomes a [`message::Message`], [`simulation::Simulation`] finds the instance it is for, [`event`] translates
//! it, and [`reply`] writes the actions that come back.
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

/// Takes lines until the input ends, and writes a reply whenever one is complete.
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
