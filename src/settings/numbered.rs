//! Names in the order of their numbers, found in constant time: compact, and persistent like all tables of the settings.

use compact_str::CompactString;
use imbl::Vector;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Names in the order of their numbers; none ever loses its number. Each is stored once, here. They are found by linear
/// hashing, in which buckets split one at a time: adding a name never moves more than the names of one bucket, however
/// many there are. A persistent hash map of names would take four times the memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Numbered {
    names: Vector<CompactString>,
    buckets: Vector<Bucket>,
}

/// Of each name in it some more bits of its hash, by which most others are told apart unread, and its number.
type Bucket = Arc<[(u32, u32)]>;

/// Names in a bucket on average.
const LOAD: usize = 8;

impl PartialEq for Numbered {
    /// The same names with the same numbers, whichever way they are found.
    fn eq(&self, other: &Numbered) -> bool {
        self.names == other.names
    }
}

/// Where a name belongs, and the bits that tell it apart there.
fn hash(name: &str) -> (usize, u32) {
    // Fixed keys: only operators add names, and who asks for one cannot fill a bucket.
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let hash = hasher.finish();
    (hash as u32 as usize, (hash >> 32) as u32)
}

/// The bucket of that hash, of so many: by as many of its bits as make a bucket that there is already.
fn place(hash: usize, buckets: usize) -> usize {
    let all = buckets.next_power_of_two();
    let at = hash & (all - 1);
    if at < buckets {
        at
    } else {
        hash & (all / 2 - 1)
    }
}

impl Numbered {
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(CompactString::as_str)
    }

    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(CompactString::as_str)
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        let (at, mark) = hash(name);
        let bucket = self.buckets.get(place(at, self.buckets.len().max(1)))?;
        let found = bucket
            .iter()
            .find(|(m, number)| *m == mark && self.name(*number) == Some(name));
        found.map(|(_, number)| *number)
    }

    /// Its number: the next one where it has none yet.
    pub fn number(&mut self, name: &str) -> u32 {
        self.get(name).unwrap_or_else(|| {
            let ((at, mark), number) = (hash(name), self.names.len() as u32);
            self.names.push_back(name.into());
            if self.names.len() > self.buckets.len() * LOAD {
                self.split();
            }
            let at = place(at, self.buckets.len());
            let bucket = self.buckets[at]
                .iter()
                .copied()
                .chain([(mark, number)])
                .collect();
            self.buckets.set(at, bucket);
            number
        })
    }

    /// One bucket more, which takes its part from the one that held it so far.
    fn split(&mut self) {
        let new = self.buckets.len();
        self.buckets.push_back(Arc::new([]));
        if new == 0 {
            return;
        }
        let old = new - (new + 1).next_power_of_two() / 2;
        let moves = |number: u32| {
            self.name(number)
                .is_some_and(|name| place(hash(name).0, new + 1) == new)
        };
        let (moved, stays): (Vec<_>, Vec<_>) = self.buckets[old]
            .iter()
            .copied()
            .partition(|(_, number)| moves(*number));
        self.buckets.set(old, stays.into());
        self.buckets.set(new, moved.into());
    }
}
