//! Why there is no usable configuration.

use meadowproxy::fleet::config::VERSION_LIMIT;
use meadowproxy::fleet::lease;
use meadowproxy::settings::SettingsError;
use std::io;
use std::path::PathBuf;

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// No file is named.
    #[error(
        "NODE_CONFIG is not set: expected the path of the configuration there, or --config FILE"
    )]
    FileNotSpecified,
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is neither JSON nor TOML, or lacks what every configuration has.
    #[error("{}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its place.
        problem: String,
    },
    /// The environment variable for the admin address holds something else.
    #[error("NODE_CONTROL={0}: expected an address and a port")]
    InvalidAdminAddress(String),
    /// A value of the command line has no place in the file.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// Keys that nothing reads.
    #[error("unknown: {}", .0.join(", "))]
    UnknownKeys(Vec<String>),
    /// The settings have an error.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The seed is no number.
    #[error("settings: seed: expected a number or up to 16 hex digits")]
    InvalidSeed,
    /// A key that stood in the file before is missing.
    #[error("settings: {0}: missing")]
    MissingKey(String),
    /// The part on coordination has an error.
    #[error("duties: {0}")]
    Coordination(#[from] CoordinationError),
    /// The version of the fleet's configuration is too large.
    #[error("version: expected a version of the configuration, below {VERSION_LIMIT}")]
    VersionTooLarge,
}

/// Why a value of the command line cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// There is no `=`.
    #[error("expected KEY=VALUE")]
    MissingValue,
    /// The path before the `=` is empty or has an empty segment.
    #[error("expected a dotted path before the =")]
    EmptyPathSegment,
    /// The path leads through something that is no table, or to an item that a list does not have.
    #[error("--set {path}: there is no {segment}")]
    PathNotFound {
        /// The whole path.
        path: String,
        /// Where it leads no further.
        segment: String,
    },
}

/// What is wrong with the `duties` of a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CoordinationError {
    /// Coordination needs gossip.
    #[error("peers is missing: duties are kept between the proxies of a fleet")]
    MissingPeers,
    /// Gossip would be too old before the leader's next heartbeat.
    #[error("peers.max_age_s: expected at least {min_s} with duties")]
    MaxAgeTooShort {
        /// The least value.
        min_s: f64,
    },
    /// A voter is named twice.
    #[error("voters: an address stands twice")]
    DuplicateVoter,
    /// A lease would end before it is renewed.
    #[error("lease_ms: expected at least {min_ms}")]
    LeaseTooShort {
        /// The least value.
        min_ms: u64,
    },
    /// A part that is not between 0 and 1.
    #[error("{key}: expected from 0 to 1")]
    OutOfRange {
        /// The key.
        key: &'static str,
    },
    /// Leases do not work under these rules.
    #[error("{0}")]
    Lease(#[from] lease::RulesError),
}
