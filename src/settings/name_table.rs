//! Names numbered from 0 in the order in which they came: compact, found in constant time, and persistent like all
//! tables of the settings.

use compact_str::CompactString;
use imbl::Vector;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Names in a bucket on average.
const NAMES_PER_BUCKET: usize = 8;

/// Names and their numbers; no name ever loses its number.
///
/// Each name is stored once. Names are found by linear hashing, in which buckets split one at a time: adding a name
/// moves the names of one bucket at most, however many there are. A persistent hash map would take four times the
/// memory.
#[derive(Clone, Debug, Default)]
pub(super) struct NameTable {
    names: Vector<CompactString>,
    buckets: Vector<Bucket>,
}

type Bucket = Arc<[BucketEntry]>;

#[derive(Clone, Copy, Debug)]
struct BucketEntry {
    /// Bits of the name's hash by which most other names of the bucket are summary apart without reading them.
    fingerprint: u32,
    number: u32,
}

/// The hash of a name, in the parts that are used.
#[derive(Clone, Copy)]
struct NameHash {
    /// Chooses the bucket.
    bucket_bits: usize,
    fingerprint: u32,
}

impl NameHash {
    fn of(name: &str) -> NameHash {
        // Fixed keys: only operators add names, so that nobody else can fill a bucket.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let hash = hasher.finish();
        NameHash {
            bucket_bits: hash as u32 as usize,
            fingerprint: (hash >> 32) as u32,
        }
    }

    /// The bucket of the name among `bucket_count`: by as many bits as give a bucket that exists.
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
    /// The same names with the same numbers.
    fn eq(&self, other: &NameTable) -> bool {
        self.names == other.names
    }
}

impl NameTable {
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// The names in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(CompactString::as_str)
    }

    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(CompactString::as_str)
    }

    /// The number of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        let hash = NameHash::of(name);
        let bucket = hash.bucket(self.buckets.len().max(1));
        let mut entries = self.buckets.get(bucket)?.iter();
        let found = entries.find(|entry| {
            entry.fingerprint == hash.fingerprint && self.name(entry.number) == Some(name)
        });
        found.map(|entry| entry.number)
    }

    /// The number of a name, the next one if it has none yet.
    pub fn get_or_insert(&mut self, name: &str) -> u32 {
        self.get(name).unwrap_or_else(|| self.insert(name))
    }

    fn insert(&mut self, name: &str) -> u32 {
        let hash = NameHash::of(name);
        let number = self.names.len() as u32;
        self.names.push_back(name.into());
        if self.names.len() > self.buckets.len() * NAMES_PER_BUCKET {
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

    /// Adds a bucket, which takes its names from the one that had them so far.
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
