//! Errors in the configuration file, the command line's overrides and the environment variables.

use meadowproxy::fleet::config::VERSION_LIMIT;
use meadowproxy::fleet::lease;
use meadowproxy::settings::SettingsError;
use std::io;
use std::path::PathBuf;

/// Why a configuration is not usable. Its text is shown to operators.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// Neither the environment nor the command line names a file.
    #[error(
        "NODE_CONFIG is not set: set it to the path of the configuration file, or use --config FILE"
    )]
    FileNotSpecified,
    /// Opening or reading the file failed.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The file is no valid JSON or TOML, or doesn't match the schema.
    #[error("{}: {problem}", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The error and its place in the file.
        problem: String,
    },
    /// The value of `NODE_CONTROL` is no socket address.
    #[error("NODE_CONTROL={0}: expected an IP address and a port")]
    InvalidAdminAddress(String),
    /// A `--set` override is not applicable to the file.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The file or the overrides contain unknown keys.
    #[error("unknown keys: {}", .0.join(", "))]
    UnknownKeys(Vec<String>),
    /// A value in `settings` is invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The seed is neither a number nor a hexadecimal text.
    #[error("settings: seed: expected a number or up to 16 hex digits")]
    InvalidSeed,
    /// The reloaded file lacks a key that the previous one had.
    #[error("settings: {0}: missing, expected as in the previous file")]
    MissingKey(String),
    /// The section `duties` is invalid.
    #[error("duties: {0}")]
    Coordination(#[from] CoordinationError),
    /// The stated version of the fleet's configuration is too large.
    #[error("version: expected a configuration version below {VERSION_LIMIT}")]
    VersionTooLarge,
}

/// Why a `--set` override is not usable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The override has no `=`.
    #[error("expected KEY=VALUE")]
    MissingValue,
    /// The path before the `=` is empty or has an empty segment.
    #[error("expected a dotted path without empty parts before the =")]
    EmptyPathSegment,
    /// A parent in the path is no table, or a list lacks the item.
    #[error("--set {path}: there is no table or list item for {segment:?}")]
    PathNotFound {
        /// The whole path.
        path: String,
        /// The first segment that has no place in the file.
        segment: String,
    },
}

/// Why the section `duties` is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CoordinationError {
    /// The section `peers`, which coordination requires, is missing.
    #[error("peers is missing: duties require communication with the fleet's other proxies")]
    MissingPeers,
    /// Facts from the leader would expire before its next heartbeat.
    #[error("peers.max_age_s: expected at least {min_s} s with duties")]
    MaxAgeTooShort {
        /// The minimum, in seconds.
        min_s: f64,
    },
    /// Two voters have the same address.
    #[error("voters: duplicate address")]
    DuplicateVoter,
    /// A lease would expire before it is renewed.
    #[error("lease_ms: expected at least {min_ms} ms")]
    LeaseTooShort {
        /// The minimum, in milliseconds.
        min_ms: u64,
    },
    /// A fraction is not between 0 and 1.
    #[error("{key}: expected a fraction from 0 to 1")]
    OutOfRange {
        /// Key of the fraction.
        key: &'static str,
    },
    /// The number of voters, the lease's term or the clock drift is out of range.
    #[error("{0}")]
    Lease(#[from] lease::RulesError),
}
