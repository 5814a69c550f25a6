//! The entries of the replicated configuration: a [`Key`] names one, an [`Edit`] says what it is from now on, and an
//! [`Entry`] is an edit with the version that made it.

use super::limits::{MAX_NAME_BYTES, MAX_VALUE_BYTES, VERSION_LIMIT};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes that an edit takes in a datagram besides its name and its value.
const EDIT_OVERHEAD_BYTES: usize = 6;

/// What an entry is about. The reader of the entry knows how its value is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A request class (a profile of the settings), named by its route, with its deadline.
    #[serde(rename = "Route")]
    RequestClass,
    /// A tenant, with its quota.
    Tenant,
    /// The platform's files, with the one entry [`Key::compaction`].
    File,
}

impl Kind {
    /// The name in paths and logs.
    pub fn name(self) -> &'static str {
        match self {
            Kind::RequestClass => "routes",
            Kind::Tenant => "tenants",
            Kind::File => "file",
        }
    }
}

/// Names an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// What it is about.
    pub kind: Kind,
    /// Which one; 1 to [`MAX_NAME_BYTES`] bytes.
    pub name: String,
}

impl Key {
    /// The entry whose value is the compacted version: the platform's files contain all changes up to it. The change that
    /// sets it drops the entries up to there from the table, on every replica alike.
    pub fn compaction() -> Key {
        Key {
            kind: Kind::File,
            name: "version".into(),
        }
    }

    /// The position in the table: the first bytes of the key's BLAKE3 hash.
    pub fn position(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&[self.kind as u8])
            .update(self.name.as_bytes());
        leading_u64(&hasher.finalize())
    }

    /// Checks the name.
    ///
    /// # Errors
    /// It is empty or too long.
    pub fn check(&self) -> Result<(), InvalidEntry> {
        match self.name.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            length => Err(self.invalid(format!(
                "a name has 1 to {MAX_NAME_BYTES} bytes, not {length}"
            ))),
        }
    }

    /// An error about this entry.
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

/// What an entry is set to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// This value, up to [`MAX_VALUE_BYTES`], in place of the file's.
    Set(Vec<u8>),
    /// A tombstone: the entry does not exist, whatever the file has.
    Removed,
    /// The file's value again: an earlier change is reverted.
    AsFile,
}

/// Sets one entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Edit {
    /// Which entry.
    pub key: Key,
    /// Its new value.
    pub value: Value,
}

impl Edit {
    /// The approximate size in bytes, in memory and in a datagram.
    pub fn size(&self) -> usize {
        let value_bytes = match &self.value {
            Value::Set(bytes) => bytes.len(),
            Value::Removed | Value::AsFile => 0,
        };
        self.key.name.len() + value_bytes + EDIT_OVERHEAD_BYTES
    }

    /// The edit that compacts the table: the platform's files contain all changes up to `version`.
    pub fn compact_up_to(version: u64) -> Edit {
        Edit {
            key: Key::compaction(),
            value: Value::Set(version.to_string().into_bytes()),
        }
    }

    /// The version up to which this edit compacts the table, if it does.
    pub fn compacted_version(&self) -> Option<u64> {
        match &self.value {
            Value::Set(bytes) if self.key == Key::compaction() => {
                std::str::from_utf8(bytes).ok()?.parse().ok()
            }
            _ => None,
        }
    }

    /// Checks the edit by itself.
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

/// An entry of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The key and the value.
    pub edit: Edit,
    /// The version of the change that set it last.
    pub version: u64,
}

impl Entry {
    /// The hash that the Merkle tree sums up.
    pub(super) fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.to_le_bytes());
        // Plain data always encodes.
        hasher.update(&postcard::to_stdvec(&self.edit).unwrap_or_default());
        leading_u64(&hasher.finalize())
    }
}

/// An entry is out of its bounds. The reason is the operator's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct InvalidEntry {
    /// The key's path.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

fn leading_u64(hash: &blake3::Hash) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(leading)
}
