//! Errors in settings.

use crate::interface::ConfigError;

/// An error in one value of the settings, with the value's path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required key is missing.
    #[error("{path}: missing, expected {expected}")]
    Missing {
        /// The key's path.
        path: String,
        /// The type or values that the key accepts.
        expected: &'static str,
    },
    /// The value has the wrong type or is none of the allowed ones.
    #[error("{path}: expected {expected}, got {found}")]
    Unexpected {
        /// The key's path.
        path: String,
        /// The type or values that the key accepts.
        expected: &'static str,
        /// The value as JSON.
        found: String,
    },
    /// The value has the right type but conflicts with another value or is not allowed.
    #[error("{path}: {problem}")]
    Invalid {
        /// The key's path.
        path: String,
        /// Why the value is not allowed.
        problem: String,
    },
    /// A field of the configuration built from the settings is out of range.
    #[error(transparent)]
    OutOfRange(#[from] ConfigError),
}
