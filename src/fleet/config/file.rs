//! The platform's file beside the table: which changes a file says that it contains, and so which entries of the table are in
//! force over it.
//!
//! A file that contains the changes up to a number is the table as it was at that version, so what is in force is the file
//! with all later entries over it, whichever files the proxies have. The fleet's table forgets entries only by a change of its
//! own (`Key::contained`), which all copies make at one version; a proxy whose file is older than that goes on with those it has.

use super::table::Entry;
use super::{Key, Kind, Value};
use imbl::OrdMap;
use std::fmt;
use std::ops::Bound;

/// So many entries are looked at in one step: what requests wait for takes no time by the size of the whole.
const SWEEP: usize = 256;

/// Why a file cannot be taken: what it says that it contains is not possible here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileRefused {
    /// It says that it contains changes that nobody heard of.
    Ahead {
        /// What the file says.
        version: u64,
        /// The newest version heard of.
        newest: u64,
    },
    /// It lacks changes that the fleet's table does not keep any more.
    Old {
        /// What the file says, 0 for nothing.
        version: u64,
        /// Up to this number changes are only in files.
        contained: u64,
    },
}

impl fmt::Display for FileRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileRefused::Ahead { version, newest } => {
                write!(
                    f,
                    "version: {version} is above {newest}, the newest that was heard of here"
                )
            }
            FileRefused::Old { version, contained } => {
                write!(f, "version: expected at least {contained}, as older changes are only in files here, got {version}")
            }
        }
    }
}

impl std::error::Error for FileRefused {}

/// What the file in force says that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Claim {
    /// The changes up to this one; nobody told yet which is the newest.
    Unchecked(u64),
    /// The changes up to this one, 0 for none.
    Contains(u64),
}

/// A proxy's entries of the table over its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Overrides {
    entries: OrdMap<Key, (Value, u64)>,
    /// Of the copy that they come from.
    version: u64,
    /// The fleet's table does not keep entries up to this one.
    contained: u64,
    /// Nor are all of them here up to this one: a file has to contain them.
    gone: u64,
    file: Claim,
    /// Up to this number what may be dropped is, and after which entry to go on with what may be dropped by now.
    swept: u64,
    sweep: Option<Key>,
}

impl Overrides {
    /// None yet, over a file that says that it contains the changes up to `version`, 0 for none.
    pub fn new(version: u64) -> Overrides {
        let (entries, copy, contained, gone, swept, sweep) = Default::default();
        Overrides {
            entries,
            version: copy,
            contained,
            gone,
            file: Claim::Unchecked(version),
            swept,
            sweep,
        }
    }

    /// Up to which number the file contains all changes.
    pub fn file(&self) -> u64 {
        match self.file {
            Claim::Unchecked(version) | Claim::Contains(version) => version,
        }
    }

    /// The number that a file has to contain at least, where the one in force does not: some changes are lacking here, and the entries
    /// over it would be no state that the fleet ever had.
    pub fn lacks(&self) -> Option<u64> {
        (self.gone > self.file()).then_some(self.gone)
    }

    /// Whether this entry was changed for the fleet and not taken back, as far as that is known here.
    pub fn is_changed(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|(value, _)| *value != Value::AsFile)
    }

    /// Whether this entry goes over the file in force.
    pub fn is_over(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|(_, number)| *number > self.file())
    }

    /// What is in force over a file that contains the changes up to `version`.
    pub fn over(&self, version: u64) -> impl Iterator<Item = (&Key, &Value)> {
        let over = self
            .entries
            .iter()
            .filter(move |(_, (_, number))| *number > version);
        over.map(|(key, (value, _))| (key, value))
    }

    /// Takes entries that changed together; the copy is at `version` now. What of them goes over the file.
    pub fn take(&mut self, version: u64, entries: Vec<Entry>) -> Vec<(Key, Value)> {
        let (before, mut over) = (self.version, Vec::new());
        self.version = version;
        for Entry { edit, number } in entries {
            if edit.key.kind == Kind::File {
                self.contained = edit.contained().unwrap_or_default().max(self.contained);
                continue;
            }
            if number > self.file() {
                over.push((edit.key.clone(), edit.value.clone()));
            }
            self.entries.insert(edit.key, (edit.value, number));
        }
        if before < self.contained {
            // A copy that came in one step has not got them.
            self.gone = self.gone.max(self.contained);
        }
        self.forget();
        over
    }

    /// Whether a file that contains the changes up to `version` can be taken; `newest`: the highest that was heard of, `None` while
    /// nobody told.
    ///
    /// # Errors
    /// It is ahead of the fleet, or lacks what is only in files by now.
    pub fn check(&self, version: u64, newest: Option<u64>) -> Result<(), FileRefused> {
        match newest {
            Some(newest) if version > newest => Err(FileRefused::Ahead { version, newest }),
            _ if version < self.least() => Err(FileRefused::Old {
                version,
                contained: self.least(),
            }),
            _ => Ok(()),
        }
    }

    /// What a file has to contain so that this proxy lacks nothing of it: a copy that is behind its file has those changes from there.
    fn least(&self) -> u64 {
        match self.file {
            Claim::Contains(file) if file > self.version => file.max(self.gone),
            _ => self.gone,
        }
    }

    /// A file is in force that was checked so.
    pub fn read(&mut self, version: u64, newest: Option<u64>) {
        self.file = match newest {
            None => Claim::Unchecked(version),
            Some(_) => Claim::Contains(version),
        };
        self.forget();
    }

    /// `newest` was heard of, after the start. Where the file in force says that it contains more it counts as one that contains
    /// nothing: what goes over it then.
    ///
    /// # Errors
    /// The file is ahead; what is to be put in force over it goes with that.
    pub fn heard(&mut self, newest: u64) -> Result<(), (FileRefused, Vec<(Key, Value)>)> {
        let Claim::Unchecked(version) = self.file else {
            return Ok(());
        };
        if version <= newest {
            self.file = Claim::Contains(version);
            self.forget();
            return Ok(());
        }
        self.file = Claim::Contains(0);
        let all = self
            .over(0)
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        Err((FileRefused::Ahead { version, newest }, all))
    }

    /// Drops what the table does not keep and the file contains, some of it at a time: until then it is only not in force.
    fn forget(&mut self) {
        let Claim::Contains(file) = self.file else {
            return;
        };
        let upto = self.contained.min(file);
        self.gone = self.gone.max(upto);
        if self.swept >= upto {
            return;
        }
        let from = self.sweep.take().map_or(Bound::Unbounded, Bound::Excluded);
        let next: Vec<(Key, u64)> = {
            let next = self.entries.range((from, Bound::Unbounded)).take(SWEEP);
            next.map(|(key, (_, number))| (key.clone(), *number))
                .collect()
        };
        match next.last() {
            Some((last, _)) if next.len() == SWEEP => self.sweep = Some(last.clone()),
            _ => self.swept = upto,
        }
        for (key, _) in next.iter().filter(|(_, number)| *number <= upto) {
            self.entries.remove(key);
        }
    }
}
