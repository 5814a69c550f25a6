//! A proxy's copy: the entries, the tree of hashes over them, and the last changes.

use super::tree::{Node, Tree, CHILDREN};
use super::{
    first, Change, Edit, Key, Refused, MOST_BYTES, MOST_ENTRIES, MOST_LOG, MOST_LOG_BYTES,
    MOST_NUMBER,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An entry and the number of the change that last set it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// What it says.
    pub edit: Edit,
    /// Since which change.
    pub number: u64,
}

impl Entry {
    fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.number.to_le_bytes());
        // Plain data always encodes.
        hasher.update(&postcard::to_stdvec(&self.edit).unwrap_or_default());
        first(&hasher.finalize())
    }
}

/// Names one state of the table: equal versions of one fleet have equal roots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The number of the last change, 0 for none.
    pub version: u64,
    /// The hash of all entries.
    pub root: u64,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    New,
    /// This version or a later one was there already.
    Known,
    /// It does not follow on this version: what lies between is lacking.
    Gap,
}

/// One copy of the configuration's table. It goes from version to version as a whole, and only upwards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Table {
    version: u64,
    entries: BTreeMap<u64, Entry>,
    bytes: usize,
    tree: Tree,
    log: VecDeque<Change>,
    log_bytes: usize,
}

impl Table {
    /// The copy that an earlier process kept: these entries at that version and with that root, without a log.
    ///
    /// # Errors
    /// They are no such table.
    pub fn restore(digest: Digest, entries: Vec<Entry>) -> Result<Table, Refused> {
        if digest.version >= MOST_NUMBER {
            return Err(Refused::Number(digest.version));
        }
        let mut table = Table {
            version: digest.version,
            ..Table::default()
        };
        for entry in entries {
            entry.edit.check().map_err(Refused::Entry)?;
            let position = entry.edit.key.position();
            if entry.number == 0
                || entry.number > digest.version
                || table.entries.contains_key(&position)
            {
                return Err(Refused::Number(entry.number));
            }
            table.room(std::slice::from_ref(&entry.edit))?;
            table.put(position, Some(entry));
        }
        match table.digest() == digest {
            true => Ok(table),
            false => Err(Refused::Unasked),
        }
    }

    /// Version and root.
    pub fn digest(&self) -> Digest {
        Digest {
            version: self.version,
            root: self.tree.root(),
        }
    }

    /// The number of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing was changed since the file.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Up to this number changes are only in the platform's files, 0 where all are here.
    pub fn contained(&self) -> u64 {
        let entry = self.get(Key::contained().position());
        entry
            .and_then(|entry| entry.edit.contained())
            .unwrap_or_default()
    }

    /// The entry at a position.
    pub fn get(&self, position: u64) -> Option<&Entry> {
        self.entries.get(&position)
    }

    /// The entries from one position to another, in order.
    pub fn range(&self, from: u64, to: u64) -> impl Iterator<Item = (u64, &Entry)> {
        let range = (from <= to).then(|| self.entries.range(from..=to));
        range
            .into_iter()
            .flatten()
            .map(|(position, entry)| (*position, entry))
    }

    /// The changes after a version, in order; `None` where that is not kept any more, or never was.
    pub fn since(&self, version: u64) -> Option<impl Iterator<Item = &Change>> {
        if version == self.version {
            return Some(self.log.range(self.log.len()..));
        }
        let at = self
            .log
            .binary_search_by_key(&version, |change| change.after)
            .ok()?;
        Some(self.log.range(at..))
    }

    /// The number that a change with this id has, if it is among the last ones.
    pub fn numbered(&self, id: u64) -> Option<u64> {
        let last = self.log.iter().rev().take(super::MOST_WAITING);
        last.into_iter()
            .find(|change| change.id == id)
            .map(|change| change.number)
    }

    /// Whether these entries can be set without going over the bounds.
    ///
    /// # Errors
    /// [`Refused::Full`].
    pub fn room(&self, edits: &[Edit]) -> Result<(), Refused> {
        let new = edits
            .iter()
            .filter(|edit| !self.entries.contains_key(&edit.key.position()))
            .count();
        let bytes: usize = edits.iter().map(Edit::size).sum();
        match self.entries.len() + new > MOST_ENTRIES || self.bytes + bytes > MOST_BYTES {
            true => Err(Refused::Full),
            false => Ok(()),
        }
    }

    /// Takes a decided change, if it is the next.
    ///
    /// # Errors
    /// Its numbers or entries are out of bounds; the table stays as it was.
    pub fn apply(&mut self, change: &Change) -> Result<Applied, Refused> {
        change.check()?;
        if change.number <= self.version {
            return Ok(Applied::Known);
        }
        if change.after != self.version {
            return Ok(Applied::Gap);
        }
        for edit in &change.edits {
            let entry = Entry {
                edit: edit.clone(),
                number: change.number,
            };
            self.put(edit.key.position(), Some(entry));
        }
        if let Some(contained) = change.edits.iter().find_map(Edit::contained) {
            self.forget(contained);
        }
        self.version = change.number;
        self.log_bytes += change.size();
        self.log.push_back(change.clone());
        while self.log.len() > MOST_LOG || self.log_bytes > MOST_LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else {
                break;
            };
            self.log_bytes -= oldest.size();
        }
        Ok(Applied::New)
    }

    /// The hashes of a sound node's children.
    pub fn hashes(&self, node: Node) -> Vec<u64> {
        node.children().map(|child| self.tree.hash(child)).collect()
    }

    /// Drops what all files contain.
    fn forget(&mut self, contained: u64) {
        let old = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.number <= contained);
        let old: Vec<u64> = old.map(|(position, _)| *position).collect();
        old.into_iter()
            .for_each(|position| self.put(position, None));
    }

    fn put(&mut self, position: u64, entry: Option<Entry>) {
        let new = entry.as_ref().map_or(0, Entry::hash);
        self.bytes += entry.as_ref().map_or(0, |entry| entry.edit.size());
        let old = match entry {
            Some(entry) => self.entries.insert(position, entry),
            None => self.entries.remove(&position),
        };
        self.bytes -= old.as_ref().map_or(0, |old| old.edit.size());
        self.tree
            .replace(position, old.as_ref().map_or(0, Entry::hash), new);
    }
}

/// Another proxy's state on its way here: what differs from this copy, which stays in force meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Staged {
    /// What is to be reached: never lower than before.
    pub target: Digest,
    /// What stands there at each position that was fetched; `None` for nothing.
    fetched: BTreeMap<u64, Option<Entry>>,
    tree: Tree,
}

impl Staged {
    /// Begins with this copy as it is.
    pub fn new(table: &Table, target: Digest) -> Staged {
        Staged {
            target,
            fetched: BTreeMap::new(),
            tree: table.tree.clone(),
        }
    }

    /// The children of a node whose hashes are not these.
    pub fn differing(&self, node: Node, theirs: &[u64]) -> Vec<Node> {
        let differs = |(child, hash): &(Node, &u64)| self.tree.hash(*child) != **hash;
        let mut nodes: Vec<Node> = node
            .children()
            .zip(theirs.iter().take(CHILDREN))
            .filter(differs)
            .map(|(child, _)| child)
            .collect();
        nodes.reverse();
        nodes
    }

    /// All that the other copy has from one position to another.
    ///
    /// # Errors
    /// An entry that is out of bounds or of that range, or too many; nothing of them is kept.
    pub fn fetched(
        &mut self,
        table: &Table,
        (from, to): (u64, u64),
        theirs: Vec<Entry>,
    ) -> Result<(), Refused> {
        let mut new = BTreeMap::new();
        for entry in theirs {
            super::check(std::slice::from_ref(&entry.edit)).map_err(Refused::Entry)?;
            let position = entry.edit.key.position();
            if entry.number > self.target.version || !(from..=to).contains(&position) {
                return Err(Refused::Number(entry.number));
            }
            new.insert(position, Some(entry));
        }
        if self.fetched.len() + new.len() > 2 * MOST_ENTRIES {
            return Err(Refused::Full);
        }
        let here = table.range(from, to).map(|(at, _)| at);
        for gone in here.chain(self.fetched.range(from..=to).map(|(at, _)| *at)) {
            new.entry(gone).or_insert(None);
        }
        for (position, entry) in new {
            let old = match self.fetched.get(&position) {
                Some(staged) => staged.as_ref(),
                None => table.get(position),
            };
            let hash = |entry: Option<&Entry>| entry.map_or(0, Entry::hash);
            self.tree.replace(position, hash(old), hash(entry.as_ref()));
            self.fetched.insert(position, entry);
        }
        Ok(())
    }

    /// Whether all of the target is here.
    pub fn is_whole(&self) -> bool {
        self.tree.root() == self.target.root
    }
}

impl Table {
    /// Goes to a state that was fetched, in one step, and gives what differs. `None`, and no change, unless it is whole and later.
    pub fn go_to(&mut self, staged: Staged) -> Option<Vec<Entry>> {
        let number = staged.target.version;
        if !staged.is_whole() || number <= self.version {
            return None;
        }
        let (mut differs, mut gone) = (Vec::new(), Vec::new());
        for (position, entry) in staged.fetched {
            let old = self.get(position);
            if old == entry.as_ref() {
                continue;
            }
            match (&entry, old) {
                (Some(entry), _) => differs.push(entry.clone()),
                (None, Some(old)) => gone.push((old.number, old.edit.key.clone())),
                (None, None) => {}
            }
            self.put(position, entry);
        }
        // What is not there any more is in the files; else it was of a chain that the fleet lost.
        let contained = self.contained();
        let lost = gone.into_iter().filter(|(old, _)| *old > contained);
        differs.extend(lost.map(|(_, key)| Entry {
            edit: Edit {
                key,
                value: super::Value::AsFile,
            },
            number,
        }));
        self.version = number;
        self.log.clear();
        self.log_bytes = 0;
        Some(differs)
    }
}
