//! The fleet's configuration: what operators changed since the platform's file, as one chain of changes that every proxy
//! comes to hold. State machines without clock, network or threads.
//!
//! A [`Change`] names some entries and comes after another change; for each there is one that follows it, so a number
//! names a state of the whole. Who holds the duty [proposes](Proposer) changes to the voters, which [keep](Acceptor) them: it is
//! Multi-Paxos with the lease's token as the ballot and one slot open at a time. Every proxy's [`Replica`] keeps the [`Table`],
//! passes decided changes on and repairs what it missed.

mod acceptor;
mod file;
mod message;
mod proposer;
mod repair;
mod replica;
mod submit;
mod table;
mod tree;

pub use acceptor::Acceptor;
pub use file::{FileRefused, Overrides};
pub use message::{Memory, Message, Paxos};
pub use proposer::{Proposer, Step};
pub use replica::{Event, Replica, Rules, Surroundings};
pub use submit::{Rejected, Submission};
pub use table::{Applied, Digest, Entry, Table};
pub use tree::{Node, CHILDREN};

use serde::{Deserialize, Serialize};
use std::fmt;

/// The most bytes of an entry's name.
pub const MOST_NAME: usize = 128;
/// The most bytes of an entry's value.
pub const MOST_VALUE: usize = 512;
/// The most entries that one change names.
pub const MOST_EDITS: usize = 16;
/// The most bytes of the entries of one change together, so that it is one datagram.
pub const MOST_CHANGE: usize = 960;
/// The most entries that a table keeps, those included that say that something is not there.
pub const MOST_ENTRIES: usize = 1 << 18;
/// The most bytes of names and values that a table keeps.
pub const MOST_BYTES: usize = 24 << 20;
/// The most changes that wait at the holder.
pub const MOST_WAITING: usize = 64;
/// Changes that a proxy keeps to give to those that are behind, and their bytes.
pub const MOST_LOG: usize = 4096;
/// The most bytes of the log's changes.
pub const MOST_LOG_BYTES: usize = 1 << 20;
/// Numbers are milliseconds since 1970 or little more: this is far in the future, and far from the end of numbers.
pub const MOST_NUMBER: u64 = 1 << 53;

/// What an entry is about. What its value means is the reader's to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A route, with its deadline.
    Route,
    /// A tenant, with its quota.
    Tenant,
    /// The platform's files, with the one entry [`Key::contained`].
    File,
}

impl Kind {
    /// As paths and logs name it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Route => "routes",
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
    /// Which one; 1 to [`MOST_NAME`] bytes.
    pub name: String,
}

impl Key {
    /// The entry that says up to which number all changes are in the platform's files: the change that sets it drops the entries up to
    /// there, at every copy alike.
    pub fn contained() -> Key {
        Key {
            kind: Kind::File,
            name: "version".into(),
        }
    }

    /// Where it stands among all keys: the first bytes of its BLAKE3.
    pub fn position(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&[self.kind as u8])
            .update(self.name.as_bytes());
        first(&hasher.finalize())
    }
}

impl Key {
    /// Checks the name.
    ///
    /// # Errors
    /// It is empty or too long.
    pub fn check(&self) -> Result<(), Invalid> {
        match self.name.len() {
            1..=MOST_NAME => Ok(()),
            length => {
                let why = format!("a name has 1 to {MOST_NAME} bytes, not {length}");
                Err(Invalid {
                    key: self.to_string(),
                    why,
                })
            }
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind.name(), self.name)
    }
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// This, up to [`MOST_VALUE`] bytes, in place of what the file says.
    Set(Vec<u8>),
    /// It is not there, whatever the file says.
    Removed,
    /// As the file says: a change that is taken back.
    AsFile,
}

/// One entry that a change sets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Edit {
    /// Which one.
    pub key: Key,
    /// What it says from then on.
    pub value: Value,
}

impl Edit {
    /// About how many bytes it takes, in memory for its content and in a datagram.
    pub fn size(&self) -> usize {
        let value = if let Value::Set(bytes) = &self.value {
            bytes.len()
        } else {
            0
        };
        self.key.name.len() + value + 6
    }

    /// That the platform's files contain the changes up to that number.
    pub fn contains(number: u64) -> Edit {
        Edit {
            key: Key::contained(),
            value: Value::Set(number.to_string().into_bytes()),
        }
    }

    /// Up to which number it says that they do, where it says so.
    pub fn contained(&self) -> Option<u64> {
        match &self.value {
            Value::Set(bytes) if self.key == Key::contained() => {
                std::str::from_utf8(bytes).ok()?.parse().ok()
            }
            _ => None,
        }
    }

    /// Checks it by itself.
    ///
    /// # Errors
    /// Its name or value out of its bounds.
    pub fn check(&self) -> Result<(), Invalid> {
        self.key.check()?;
        let why = |why: String| {
            Err(Invalid {
                key: self.key.to_string(),
                why,
            })
        };
        if self.key.kind == Kind::File
            && self.contained().is_none_or(|number| number >= MOST_NUMBER)
        {
            return why("expected a version".into());
        }
        match &self.value {
            Value::Set(bytes) if bytes.len() > MOST_VALUE => why(format!(
                "a value has up to {MOST_VALUE} bytes, not {}",
                bytes.len()
            )),
            _ => Ok(()),
        }
    }
}

/// What is wrong with an entry, and with which.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Invalid {
    /// The key's path.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.why)
    }
}

impl std::error::Error for Invalid {}

/// Checks the entries of a change that is to be.
///
/// # Errors
/// The first that is out of its bounds, named twice, or too much.
pub fn check(edits: &[Edit]) -> Result<(), Invalid> {
    let all = |why: String| {
        Err(Invalid {
            key: "entries".into(),
            why,
        })
    };
    if edits.is_empty() || edits.len() > MOST_EDITS {
        return all(format!(
            "a change names 1 to {MOST_EDITS}, not {}",
            edits.len()
        ));
    }
    edits.iter().try_for_each(Edit::check)?;
    let size: usize = edits.iter().map(Edit::size).sum();
    if size > MOST_CHANGE {
        return all(format!(
            "{size} bytes, over the {MOST_CHANGE} of one change"
        ));
    }
    for (n, edit) in edits.iter().enumerate() {
        if edits[..n].iter().any(|other| other.key == edit.key) {
            return Err(Invalid {
                key: edit.key.to_string(),
                why: "it is named twice".into(),
            });
        }
    }
    Ok(())
}

/// A change: a link of the one chain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Its number, the version of the table that it makes.
    pub number: u64,
    /// The version that it follows. For each there is one change.
    pub after: u64,
    /// Drawn at random by the proxy that took the operator's call.
    pub id: u64,
    /// What it sets.
    pub edits: Vec<Edit>,
}

impl Change {
    /// About how many bytes it takes in a datagram.
    pub fn size(&self) -> usize {
        self.edits.iter().map(Edit::size).sum::<usize>() + 28
    }

    /// The entries that it makes.
    pub fn entries(&self) -> Vec<Entry> {
        self.edits
            .iter()
            .map(|edit| Entry {
                edit: edit.clone(),
                number: self.number,
            })
            .collect()
    }

    /// Checks a change that another proxy told.
    ///
    /// # Errors
    /// Its numbers make no sense, or an entry is out of its bounds.
    pub fn check(&self) -> Result<(), Refused> {
        if self.number <= self.after || self.number >= MOST_NUMBER {
            return Err(Refused::Number(self.number));
        }
        if let Some(ahead) = self
            .edits
            .iter()
            .filter_map(Edit::contained)
            .find(|number| *number > self.after)
        {
            return Err(Refused::Number(ahead));
        }
        check(&self.edits).map_err(Refused::Entry)
    }
}

/// Why another proxy's message is not used. It changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A number that is not above the one it follows, or that no clock gives.
    Number(u64),
    /// An entry out of its bounds.
    Entry(Invalid),
    /// A voter's answer from no voter.
    Stranger,
    /// A message to a voter, which this proxy is not.
    NoVoter,
    /// A part of the table that was not asked for, or not so.
    Unasked,
    /// The table is full.
    Full,
}

impl Refused {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            Refused::Number(_) => "number",
            Refused::Entry(_) => "entry",
            Refused::Stranger => "stranger",
            Refused::NoVoter => "no_voter",
            Refused::Unasked => "unasked",
            Refused::Full => "full",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Number(number) => write!(f, "no change has number {number} there"),
            Refused::Entry(why) => write!(f, "an entry of the configuration: {why}"),
            Refused::Stranger => write!(f, "a voter's answer from no voter"),
            Refused::NoVoter => write!(f, "to a voter, and this proxy is none"),
            Refused::Unasked => write!(f, "a part of the configuration that nobody asked for"),
            Refused::Full => write!(f, "the configuration's table is full"),
        }
    }
}

impl std::error::Error for Refused {}

fn first(hash: &blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
