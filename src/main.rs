//! The proxy's program: its command line and its log.
#![forbid(unsafe_code)]

mod cli;
#[cfg(test)]
#[path = "../tests/fixtures/mod.rs"]
mod fixtures;
mod net;
mod startup;

use clap::Parser;
use cli::{Cli, Command, LogFormat, Run};
use net::config::{self, Source};
use std::process::ExitCode;

/// Exit status of `check` for a configuration with errors.
const CONFIG_ERRORS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    log_to_stderr(cli.log_format);
    let command = cli
        .command
        .unwrap_or_else(|| Command::Run(Run::from_environment()));
    match command {
        Command::Check(file) => check(&file.source()),
        Command::ShowConfig(file) => match config::show(&file.source()) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => fail(cli.log_format, &error),
        },
        Command::Run(run) => match startup::serve(run.source()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(cli.log_format, &error),
        },
    }
}

/// Reports why the program ends.
fn fail(format: LogFormat, error: &dyn std::error::Error) -> ExitCode {
    match format {
        LogFormat::Text => eprintln!("meadowproxy: {error}"),
        LogFormat::Json => tracing::error!(event = "start_failed", "{error}"),
    }
    ExitCode::FAILURE
}

fn log_to_stderr(format: LogFormat) {
    let level = std::env::var("NODE_LOG")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(tracing::Level::INFO);
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}

/// Prints every error of a configuration.
fn check(source: &Source) -> ExitCode {
    let errors = config::check(source);
    if errors.is_empty() {
        println!("ok");
        return ExitCode::SUCCESS;
    }
    for error in errors {
        eprintln!("{error}");
    }
    ExitCode::from(CONFIG_ERRORS_EXIT_CODE)
}
