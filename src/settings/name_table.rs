//! [`NameTable`] numbers names from 0 in the order of their insertion. It is compact, finds a name in constant time,
//! and is persistent: clones share their data, as with all tables of the settings.

use compact_str::CompactString;
use imbl::Vector;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// The most names per bucket on average; one more adds a bucket.
const MAX_MEAN_BUCKET_NAMES: usize = 8;

/// A map between names and numbers. Names are never removed, and a name's number never changes.
///
/// Each name is stored once and found by linear hashing, which splits one bucket at a time: an insertion moves the
/// names of at most one bucket, however large the table is. A persistent hash map would take four times the memory.
#[derive(Clone, Debug, Default)]
pub(super) struct NameTable {
    names: Vector<CompactString>,
    buckets: Vector<Bucket>,
}

type Bucket = Arc<[BucketEntry]>;

#[derive(Clone, Copy, Debug)]
struct BucketEntry {
    /// Bits of the name's hash that tell most other names of the bucket apart without comparing the names.
    fingerprint: u32,
    number: u32,
}

/// The parts of a name's hash that the table uses.
#[derive(Clone, Copy)]
struct NameHash {
    /// The bits that select the bucket.
    bucket_bits: usize,
    fingerprint: u32,
}

impl NameHash {
    fn of(name: &str) -> NameHash {
        // DefaultHasher's fixed keys are safe here: only operators add names, so that no attacker can fill one bucket.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let hash = hasher.finish();
        NameHash {
            bucket_bits: hash as u32 as usize,
            fingerprint: (hash >> 32) as u32,
        }
    }

    /// Returns the name's bucket in a table of `bucket_count` buckets. It uses one bit less where the bucket that all
    /// bits select doesn't exist yet.
    fn bucket(self, bucket_count: usize) -> usize {
        let rounded_up = bucket_count.next_power_of_two();
        let bucket = self.bucket_bits & (rounded_up - 1);
        if bucket < bucket_count {
            bucket
        } else {
            self.bucket_bits & (rounded_up / 2 - 1)
        }
    }
}

impl PartialEq for NameTable {
    /// Returns whether both tables have the same names with the same numbers.
    fn eq(&self, other: &NameTable) -> bool {
        self.names == other.names
    }
}

impl NameTable {
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Iterates over the names in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(CompactString::as_str)
    }

    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(CompactString::as_str)
    }

    /// Returns the number of a name, `None` if the table doesn't have it.
    pub fn get(&self, name: &str) -> Option<u32> {
        let hash = NameHash::of(name);
        let bucket = hash.bucket(self.buckets.len().max(1));
        let mut entries = self.buckets.get(bucket)?.iter();
        let found = entries.find(|entry| {
            entry.fingerprint == hash.fingerprint && self.name(entry.number) == Some(name)
        });
        found.map(|entry| entry.number)
    }

    /// Returns the number of a name; a new name gets the next number.
    pub fn get_or_insert(&mut self, name: &str) -> u32 {
        self.get(name).unwrap_or_else(|| self.insert(name))
    }

    fn insert(&mut self, name: &str) -> u32 {
        let hash = NameHash::of(name);
        let number = self.names.len() as u32;
        self.names.push_back(name.into());
        if self.names.len() > self.buckets.len() * MAX_MEAN_BUCKET_NAMES {
            self.add_bucket();
        }
        let bucket = hash.bucket(self.buckets.len());
        let entry = BucketEntry {
            fingerprint: hash.fingerprint,
            number,
        };
        let entries = self.buckets[bucket].iter().copied().chain([entry]);
        let entries = entries.collect();
        self.buckets.set(bucket, entries);
        number
    }

    /// Adds a bucket by splitting the existing one that holds the new bucket's names.
    fn add_bucket(&mut self) {
        let new = self.buckets.len();
        self.buckets.push_back(Arc::new([]));
        if new == 0 {
            return;
        }
        let count = new + 1;
        let split = new - count.next_power_of_two() / 2;
        let belongs_to_new = |entry: &BucketEntry| {
            let name = self.name(entry.number);
            name.is_some_and(|name| NameHash::of(name).bucket(count) == new)
        };
        let entries = self.buckets[split].iter().copied();
        let (moved, kept): (Vec<_>, Vec<_>) = entries.partition(belongs_to_new);
        self.buckets.set(split, kept.into());
        self.buckets.set(new, moved.into());
    }
}
