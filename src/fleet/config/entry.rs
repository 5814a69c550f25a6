//! The entries of the replicated configuration: a [`Key`] identifies an entry, an [`Edit`] sets its value, and an [`Entry`]
//! is an edit with the version of the change that made it.

use super::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES, VERSION_LIMIT};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The approximate size of an edit in a datagram without its name and value, in bytes.
const EDIT_OVERHEAD_BYTES: usize = 6;

/// The kind of object that an entry configures. The encoding of the value depends on the kind, and is opaque here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A request class (a profile in the settings), named by its route. The value has its deadline.
    #[serde(rename = "Route")]
    RequestClass,
    /// A tenant. The value has its quota.
    Tenant,
    /// The platform's configuration files. The only entry of this kind is [`Key::compaction`].
    File,
}

impl Kind {
    /// Returns the kind's name in paths and logs.
    pub fn name(self) -> &'static str {
        match self {
            Kind::RequestClass => "routes",
            Kind::Tenant => "tenants",
            Kind::File => "file",
        }
    }
}

/// Identifies an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind of object.
    pub kind: Kind,
    /// The object's name, 1 to [`MAX_NAME_BYTES`] bytes.
    pub name: String,
}

impl Key {
    /// Returns the key of the entry whose value is the compacted version: the platform's files contain all changes up to
    /// that version. The change that sets the entry drops all entries up to that version from every replica's table.
    pub fn compaction() -> Key {
        Key {
            kind: Kind::File,
            name: "version".into(),
        }
    }

    /// Returns the key's position in the table: the first 8 bytes of its BLAKE3 hash.
    pub fn position(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&[self.kind as u8])
            .update(self.name.as_bytes());
        leading_u64(&hasher.finalize())
    }

    /// Checks the length of the name.
    ///
    /// # Errors
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    pub fn check(&self) -> Result<(), InvalidEntry> {
        match self.name.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            length => Err(self.invalid(format!(
                "a name has 1 to {MAX_NAME_BYTES} bytes, not {length}"
            ))),
        }
    }

    /// Creates an error about this entry.
    pub(super) fn invalid(&self, reason: impl Into<String>) -> InvalidEntry {
        InvalidEntry {
            key: self.to_string(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind.name(), self.name)
    }
}

/// The value that an edit gives to an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// A value of up to [`MAX_VALUE_BYTES`] that overrides the file's.
    Set(Vec<u8>),
    /// A tombstone: the entry does not exist, even if the file has it.
    Removed,
    /// The file's value: reverts earlier changes of the entry.
    AsFile,
}

/// Sets the value of one entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Edit {
    /// The entry to set.
    pub key: Key,
    /// The entry's new value.
    pub value: Value,
}

impl Edit {
    /// Returns the approximate size in memory and in a datagram, in bytes.
    pub fn size(&self) -> usize {
        let value_bytes = match &self.value {
            Value::Set(bytes) => bytes.len(),
            Value::Removed | Value::AsFile => 0,
        };
        self.key.name.len() + value_bytes + EDIT_OVERHEAD_BYTES
    }

    /// Returns the edit that compacts the table up to `version`, because the platform's files contain all changes up to it.
    pub fn compact_up_to(version: u64) -> Edit {
        Edit {
            key: Key::compaction(),
            value: Value::Set(version.to_string().into_bytes()),
        }
    }

    /// Returns the version up to which this edit compacts the table; `None` for edits of other entries.
    pub fn compacted_version(&self) -> Option<u64> {
        match &self.value {
            Value::Set(bytes) if self.key == Key::compaction() => {
                std::str::from_utf8(bytes).ok()?.parse().ok()
            }
            _ => None,
        }
    }

    /// Checks the name and the value, without regard to the table.
    ///
    /// # Errors
    /// The name or the value is out of its bounds.
    pub fn check(&self) -> Result<(), InvalidEntry> {
        self.key.check()?;
        let invalid_file = self.key.kind == Kind::File
            && self
                .compacted_version()
                .is_none_or(|version| version >= VERSION_LIMIT);
        if invalid_file {
            return Err(self.key.invalid("expected a version"));
        }
        match &self.value {
            Value::Set(bytes) if bytes.len() > MAX_VALUE_BYTES => Err(self.key.invalid(format!(
                "a value has up to {MAX_VALUE_BYTES} bytes, not {}",
                bytes.len()
            ))),
            _ => Ok(()),
        }
    }
}

/// An entry of the table, with the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The key and the value.
    pub edit: Edit,
    /// The version of the change that last set this entry.
    pub version: u64,
}

impl Entry {
    /// Returns the entry's hash, which the Merkle tree adds up.
    pub(super) fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.to_le_bytes());
        // Encoding cannot fail for this type, so the default is never used.
        hasher.update(&postcard::to_stdvec(&self.edit).unwrap_or_default());
        leading_u64(&hasher.finalize())
    }
}

/// The error of an invalid entry. The operator gets its text as the answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct InvalidEntry {
    /// The path of the entry's key.
    pub key: String,
    /// What is wrong with the entry.
    pub reason: String,
}

fn leading_u64(hash: &blake3::Hash) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(leading)
}
