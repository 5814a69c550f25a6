//! The proxy binary: it parses the command line, initializes the log, and runs the proxy or checks or prints a
//! configuration.
#![forbid(unsafe_code)]

mod cli;
#[cfg(test)]
#[path = "../tests/fixtures/mod.rs"]
mod fixtures;
mod log;
mod net;
mod startup;

use clap::Parser;
use cli::{Cli, Command, LogFormat, RunArgs};
use net::config::{self, Source};
use std::process::ExitCode;

/// It returns unused memory to the system, also between memory in use. `.cargo/config.toml` has its settings.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// Exit status of `check` if the configuration has errors.
const CONFIG_ERRORS_EXIT_CODE: u8 = 2;
/// Exit status if an environment variable has an invalid value.
const ENVIRONMENT_ERROR_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = log::init(cli.log_format) {
        eprintln!("meadowproxy: {error}");
        return ExitCode::from(ENVIRONMENT_ERROR_EXIT_CODE);
    }
    let command = cli
        .command
        .unwrap_or_else(|| Command::Run(RunArgs::from_environment()));
    match command {
        Command::Check(file) => check(&file.into_source()),
        Command::ShowConfig(file) => match config::show(&file.into_source()) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => report_failure(cli.log_format, &error),
        },
        Command::Run(run) => match startup::serve(run.into_source()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => report_failure(cli.log_format, &error),
        },
    }
}

/// Reports the error that ends the program, in the log's format, and returns the exit status.
fn report_failure(format: LogFormat, error: &dyn std::error::Error) -> ExitCode {
    match format {
        LogFormat::Text => eprintln!("meadowproxy: {error}"),
        LogFormat::Json => tracing::error!(event = "start_failed", "{error}"),
    }
    ExitCode::FAILURE
}

/// Prints every error in a configuration, or `ok` if there is none, and returns the exit status.
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
