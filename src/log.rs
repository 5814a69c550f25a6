//! The log on standard error: its level and its format.

use crate::cli::LogFormat;
use thiserror::Error;
use tracing::Level;

/// The variable that names the level.
const LEVEL_VARIABLE: &str = "NODE_LOG";

/// The level in the environment is none.
#[derive(Debug, Error)]
#[error("{LEVEL_VARIABLE}: expected error, warn, info, debug or trace, got {0}")]
pub struct InvalidLevel(String);

/// Starts the log, at the level that the environment names, else at `info`.
///
/// # Errors
/// The level is none; nothing is logged then.
pub fn init(format: LogFormat) -> Result<(), InvalidLevel> {
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level()?);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    Ok(())
}

fn level() -> Result<Level, InvalidLevel> {
    let Some(name) = std::env::var_os(LEVEL_VARIABLE).filter(|name| !name.is_empty()) else {
        return Ok(Level::INFO);
    };
    let name = name.to_string_lossy();
    name.parse().map_err(|_| InvalidLevel(name.into_owned()))
}
