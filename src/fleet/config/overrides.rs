//! Which entries of the table are in force over the platform's file at this proxy: those later than the changes that the
//! file says it contains.
//!
//! A file that contains the changes up to a version is the table at that version, so what is in force is the file with all
//! later entries over it, whichever files the proxies have. The fleet's table drops entries only by a change of its own
//! ([`Key::compaction`]), which all replicas apply at one version; a proxy whose file is older than that keeps those it has.

use super::entry::{Edit, Entry, Key, Kind, Value};
use imbl::OrdMap;
use std::ops::Bound;
use thiserror::Error;

/// Entries that one step of the clean-up looks at, so that no request waits for a pass over all of them.
const CLEAN_UP_BATCH: usize = 256;

/// Why a file cannot be used: the version that it says it contains is not possible here. The texts are the operator's
/// answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FileError {
    /// It says that it contains changes that the fleet does not have.
    #[error("version: {version} is above {newest}, the newest that was heard of here")]
    Ahead {
        /// The file's version.
        version: u64,
        /// The newest version that is known here.
        newest: u64,
    },
    /// It lacks changes that the fleet's table has dropped.
    #[error(
        "version: expected at least {compacted}, as older changes are only in files here, got {version}"
    )]
    TooOld {
        /// The file's version, 0 for none.
        version: u64,
        /// Changes up to this version are only in files.
        compacted: u64,
    },
}

/// The file in force is ahead of the fleet, and counts as one that contains no change.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{error}")]
pub struct FileAhead {
    /// What is wrong with it.
    #[source]
    pub error: FileError,
    /// All entries, which are to be put in force over it.
    pub edits: Vec<Edit>,
}

/// The version that the file in force says it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum FileVersion {
    /// Not compared with the fleet's version yet.
    Unconfirmed(u64),
    /// Not above the fleet's version, 0 for a file without changes.
    Confirmed(u64),
}

/// An entry's value and the version that set it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Override {
    value: Value,
    version: u64,
}

/// A proxy's entries over its file. A clone shares all entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Overrides {
    entries: OrdMap<Key, Override>,
    /// The version of the table that they come from.
    table_version: u64,
    /// The fleet's table has dropped the entries up to this version.
    compacted_version: u64,
    /// Some entries up to this version are not here either: a file has to contain them.
    dropped_version: u64,
    file: FileVersion,
    /// Entries up to this version are cleaned up.
    cleaned_version: u64,
    /// The last key that an unfinished clean-up looked at.
    clean_up_cursor: Option<Key>,
}

impl Overrides {
    /// No entries, over a file that says it contains the changes up to `file_version`, 0 for none.
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

    /// The version up to which the file contains all changes.
    pub fn file_version(&self) -> u64 {
        match self.file {
            FileVersion::Unconfirmed(version) | FileVersion::Confirmed(version) => version,
        }
    }

    /// The version that a file has to contain at least, where the one in force does not: some changes are missing here, and
    /// the entries over the file would be no state that the fleet ever had.
    pub fn required_file_version(&self) -> Option<u64> {
        (self.dropped_version > self.file_version()).then_some(self.dropped_version)
    }

    /// Whether this entry was changed for the fleet and not reverted, as far as is known here.
    pub fn is_changed(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.value != Value::AsFile)
    }

    /// Whether this entry is later than the file in force.
    pub fn overrides_file(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.version > self.file_version())
    }

    /// The entries that are in force over a file that contains the changes up to `file_version`.
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

    /// Applies entries that changed together; the table is at `version` now. Returns those that go over the file.
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
            // A table that came in one step does not have the compacted entries.
            self.dropped_version = self.dropped_version.max(self.compacted_version);
        }
        self.clean_up();
        over_file
    }

    /// Checks whether a file that contains the changes up to `version` can be used; `newest`: the fleet's newest version,
    /// `None` while it is not known.
    ///
    /// # Errors
    /// It is ahead of the fleet, or lacks changes that are only in files by now.
    pub fn check_file(&self, version: u64, newest: Option<u64>) -> Result<(), FileError> {
        if let Some(newest) = newest.filter(|newest| version > *newest) {
            return Err(FileError::Ahead { version, newest });
        }
        let compacted = self.least_file_version();
        if version < compacted {
            return Err(FileError::TooOld { version, compacted });
        }
        Ok(())
    }

    /// The version that a file has to contain so that this proxy misses nothing: a table that is behind its file has those
    /// changes from there.
    fn least_file_version(&self) -> u64 {
        match self.file {
            FileVersion::Confirmed(version) if version > self.table_version => {
                version.max(self.dropped_version)
            }
            _ => self.dropped_version,
        }
    }

    /// A file that [`check_file`](Overrides::check_file) accepted is in force.
    pub fn set_file(&mut self, version: u64, newest: Option<u64>) {
        self.file = match newest {
            None => FileVersion::Unconfirmed(version),
            Some(_) => FileVersion::Confirmed(version),
        };
        self.clean_up();
    }

    /// The fleet's newest version became known after the start: compares the file in force with it.
    ///
    /// # Errors
    /// The file is ahead: from now on it counts as one that contains no change.
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

    /// Removes entries that the table has dropped and the file contains, a batch at a time: they are not in force anyway.
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
