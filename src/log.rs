//! Sets up the log on standard error, with its level and its format.

use crate::cli::LogFormat;
use thiserror::Error;
use tracing::Level;

/// The environment variable that names the log level.
const LEVEL_VARIABLE: &str = "NODE_LOG";

/// The variable `NODE_LOG` names no log level. The error contains the variable's value.
#[derive(Debug, Error)]
#[error("{LEVEL_VARIABLE}: expected error, warn, info, debug or trace, got {0}")]
pub struct InvalidLevel(String);

/// Initializes the log with the level that `NODE_LOG` names, or `info` if it is not set.
///
/// # Errors
/// Returns an error if `NODE_LOG` names no log level. The log is not initialized then.
pub fn init(format: LogFormat) -> Result<(), InvalidLevel> {
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level_from_environment()?);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    Ok(())
}

/// Returns the log level from the environment. An empty variable counts as not set.
fn level_from_environment() -> Result<Level, InvalidLevel> {
    let Some(name) = std::env::var_os(LEVEL_VARIABLE).filter(|name| !name.is_empty()) else {
        return Ok(Level::INFO);
    };
    let name = name.to_string_lossy();
    name.parse().map_err(|_| InvalidLevel(name.into_owned()))
}
