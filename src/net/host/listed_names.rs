//! The names of backends that an endpoint list contained once.
//!
//! The host removes the record of a backend that is no longer listed or used. Operators may still disable it, as it
//! may be listed again, whereas a name that was never listed is a mistake. So names are remembered for longer than
//! records, by their hashes.

use std::collections::{HashSet, VecDeque};

/// The number of names that are remembered. Beyond it the oldest are forgotten, unless they are listed.
const MAX_NAMES: usize = 1 << 16;

/// The first eight bytes of the BLAKE3 hash of a backend's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct NameHash(pub [u8; 8]);

impl NameHash {
    /// Hashes a backend's name.
    pub fn of(name: &str) -> NameHash {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        NameHash(first)
    }
}

/// A bounded set of names, in the order in which they were first listed.
#[derive(Default)]
pub struct ListedNames {
    hashes: HashSet<NameHash>,
    /// The same hashes, oldest first.
    by_age: VecDeque<NameHash>,
    /// How many of the newest were added since the last call of [`ListedNames::take_new`].
    new_count: usize,
}

impl ListedNames {
    /// Adds a name that a list contains.
    pub fn add(&mut self, name: NameHash) {
        if !self.hashes.insert(name) {
            return;
        }
        self.by_age.push_back(name);
        if self.by_age.len() > MAX_NAMES {
            let oldest = self.by_age.pop_front();
            oldest.map(|oldest| self.hashes.remove(&oldest));
        }
        self.new_count = (self.new_count + 1).min(self.by_age.len());
    }

    /// Adds the names that earlier processes have recorded, oldest first. They are older than all names here.
    pub fn restore(&mut self, names: &[NameHash]) {
        for name in names.iter().rev() {
            if self.by_age.len() == MAX_NAMES {
                return;
            }
            if self.hashes.insert(*name) {
                self.by_age.push_front(*name);
            }
        }
    }

    /// Returns whether a list contained the name once.
    pub fn contains(&self, name: NameHash) -> bool {
        self.hashes.contains(&name)
    }

    /// Returns the names that were added since the last call.
    pub fn take_new(&mut self) -> Vec<NameHash> {
        let new_count = std::mem::take(&mut self.new_count);
        let first = self.by_age.len() - new_count;
        self.by_age.range(first..).copied().collect()
    }
}

#[cfg(test)]
mod tests;
