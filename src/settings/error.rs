//! What can be wrong with settings.

use crate::interface::ConfigError;

/// One value of the settings that cannot be used, with its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The key is not there.
    #[error("{path}: missing, expected {expected}")]
    Missing {
        /// The key's path.
        path: String,
        /// The values that it takes.
        expected: &'static str,
    },
    /// The value has another form than it should have.
    #[error("{path}: expected {expected}, got {found}")]
    Unexpected {
        /// The key's path.
        path: String,
        /// The values that it takes.
        expected: &'static str,
        /// The value as JSON.
        found: String,
    },
    /// The value has the right form but cannot stand there.
    #[error("{path}: {problem}")]
    Invalid {
        /// The key's path.
        path: String,
        /// Why not.
        problem: String,
    },
    /// The configuration that follows from the settings is out of its range.
    #[error(transparent)]
    OutOfRange(#[from] ConfigError),
}
