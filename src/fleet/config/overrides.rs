//! Determines which entries of the replicated table override the platform's configuration file on this proxy. Use it when
//! the table changes and when a file is loaded.
//!
//! A file states the version up to which it contains the fleet's changes. The entries with a later version override it, so
//! all proxies have the same configuration even if their files differ. Only a change ([`Key::compaction`]) drops entries
//! from the fleet's table, at the same version on all replicas. A proxy whose file is older than that keeps the dropped
//! entries here.

use super::entry::{Edit, Entry, Key, Kind, Value};
use imbl::OrdMap;
use std::ops::Bound;
use thiserror::Error;

/// The number of entries that one step of the clean-up visits. Visiting all at once would delay requests.
const CLEAN_UP_BATCH: usize = 256;

/// Why a file cannot be used with its stated version. The operator gets the text as the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FileError {
    /// The file claims to contain changes that the fleet does not have.
    #[error("version: {version} is above {newest}, the newest configuration version known to this proxy")]
    Ahead {
        /// The file's version.
        version: u64,
        /// The newest version known to this proxy.
        newest: u64,
    },
    /// The file lacks changes that were compacted out of the fleet's table.
    #[error(
        "version: expected at least {compacted}, got {version}: earlier changes were compacted and are only in newer files"
    )]
    TooOld {
        /// The file's version, 0 for none.
        version: u64,
        /// The version up to which changes are only in files.
        compacted: u64,
    },
}

/// The error of a file in force that is ahead of the fleet, and is treated as a file without changes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{error}")]
pub struct FileAhead {
    /// The file's version and the fleet's.
    #[source]
    pub error: FileError,
    /// All entries of the table, which have to override the file.
    pub edits: Vec<Edit>,
}

/// The version up to which the file in force claims to contain the fleet's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum FileVersion {
    /// The version has not been compared with the fleet's version yet.
    Unconfirmed(u64),
    /// The version is not above the fleet's version; 0 for a file without changes.
    Confirmed(u64),
}

/// An entry's value and the version of the change that set it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Override {
    value: Value,
    version: u64,
}

/// The entries that may override this proxy's file. Cloning is cheap, because clones share the entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Overrides {
    entries: OrdMap<Key, Override>,
    /// The version of the table that the entries come from.
    table_version: u64,
    /// The version up to which the fleet's table was compacted.
    compacted_version: u64,
    /// The version up to which entries may be missing here as well, so that a file has to contain them.
    dropped_version: u64,
    file: FileVersion,
    /// The version up to which the clean-up is complete.
    cleaned_version: u64,
    /// The last key that an unfinished clean-up visited.
    clean_up_cursor: Option<Key>,
}

impl Overrides {
    /// Creates overrides without entries, for a file that claims to contain the changes up to `file_version`, 0 for none.
    pub fn new(file_version: u64) -> Overrides {
        Overrides {
            entries: OrdMap::new(),
            table_version: 0,
            compacted_version: 0,
            dropped_version: 0,
            file: FileVersion::Unconfirmed(file_version),
            cleaned_version: 0,
            clean_up_cursor: None,
        }
    }

    /// Returns the version up to which the file in force contains all changes.
    pub fn file_version(&self) -> u64 {
        match self.file {
            FileVersion::Unconfirmed(version) | FileVersion::Confirmed(version) => version,
        }
    }

    /// Returns the version that a file has to contain at least, if the file in force does not: some changes are missing
    /// here, and the file with the remaining entries would be a configuration that the fleet never had.
    pub fn required_file_version(&self) -> Option<u64> {
        (self.dropped_version > self.file_version()).then_some(self.dropped_version)
    }

    /// Returns whether the entry was changed for the fleet and not reverted, as far as this proxy knows.
    pub fn is_changed(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.value != Value::AsFile)
    }

    /// Returns whether the entry has a later version than the file in force.
    pub fn overrides_file(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.version > self.file_version())
    }

    /// Returns the entries that override a file that contains the changes up to `file_version`.
    pub fn entries_over(&self, file_version: u64) -> Vec<Edit> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.version > file_version)
            .map(|(key, entry)| Edit {
                key: key.clone(),
                value: entry.value.clone(),
            })
            .collect()
    }

    /// Applies the entries that changed when the table went to `version`. Returns those that override the file.
    pub fn apply(&mut self, version: u64, entries: Vec<Entry>) -> Vec<Edit> {
        let previous_version = self.table_version;
        self.table_version = version;
        let mut over_file = Vec::new();
        for Entry { edit, version } in entries {
            if edit.key.kind == Kind::File {
                let compacted = edit.compacted_version().unwrap_or_default();
                self.compacted_version = self.compacted_version.max(compacted);
                continue;
            }
            if version > self.file_version() {
                over_file.push(edit.clone());
            }
            let value = edit.value;
            self.entries.insert(edit.key, Override { value, version });
        }
        if previous_version < self.compacted_version {
            // The table was replaced in one step, without the entries that had been compacted.
            self.dropped_version = self.dropped_version.max(self.compacted_version);
        }
        self.clean_up();
        over_file
    }

    /// Checks whether a file that contains the changes up to `version` can be used. `newest` is the fleet's newest version,
    /// or `None` while it is unknown.
    ///
    /// # Errors
    /// The file is ahead of the fleet, or lacks changes that were compacted.
    pub fn check_file(&self, version: u64, newest: Option<u64>) -> Result<(), FileError> {
        if let Some(newest) = newest.filter(|newest| version > *newest) {
            return Err(FileError::Ahead { version, newest });
        }
        let compacted = self.min_file_version();
        if version < compacted {
            return Err(FileError::TooOld { version, compacted });
        }
        Ok(())
    }

    /// Returns the version that a new file has to contain at least, so that no change gets lost on this proxy. If the table
    /// is behind the current file, the changes in between are only in the file.
    fn min_file_version(&self) -> u64 {
        match self.file {
            FileVersion::Confirmed(version) if version > self.table_version => {
                version.max(self.dropped_version)
            }
            _ => self.dropped_version,
        }
    }

    /// Puts a file in force that [`check_file`](Overrides::check_file) accepted.
    pub fn set_file(&mut self, version: u64, newest: Option<u64>) {
        self.file = match newest {
            None => FileVersion::Unconfirmed(version),
            Some(_) => FileVersion::Confirmed(version),
        };
        self.clean_up();
    }

    /// Compares the file in force with the fleet's newest version, once that became known after the start.
    ///
    /// # Errors
    /// The file is ahead of the fleet. From now on it is treated as a file without changes.
    pub fn confirm_file(&mut self, newest: u64) -> Result<(), FileAhead> {
        let FileVersion::Unconfirmed(version) = self.file else {
            return Ok(());
        };
        if version <= newest {
            self.file = FileVersion::Confirmed(version);
            self.clean_up();
            return Ok(());
        }
        self.file = FileVersion::Confirmed(0);
        Err(FileAhead {
            error: FileError::Ahead { version, newest },
            edits: self.entries_over(0),
        })
    }

    /// Removes entries that were compacted and that the file contains, one batch per call. They don't override the file.
    fn clean_up(&mut self) {
        let FileVersion::Confirmed(file_version) = self.file else {
            return;
        };
        let limit = self.compacted_version.min(file_version);
        self.dropped_version = self.dropped_version.max(limit);
        if self.cleaned_version >= limit {
            return;
        }
        let start = self
            .clean_up_cursor
            .take()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let batch: Vec<(Key, u64)> = self
            .entries
            .range((start, Bound::Unbounded))
            .take(CLEAN_UP_BATCH)
            .map(|(key, entry)| (key.clone(), entry.version))
            .collect();
        match batch.last() {
            Some((last, _)) if batch.len() == CLEAN_UP_BATCH => {
                self.clean_up_cursor = Some(last.clone());
            }
            _ => self.cleaned_version = limit,
        }
        for (key, _) in batch.iter().filter(|(_, version)| *version <= limit) {
            self.entries.remove(key);
        }
    }
}
