//! How copies become equal: changes at once, digests and repair for what was lost.

use super::entry::{Entry, Garbled};
use super::{Calendar, Wall};
use crate::fleet::lease::Ballot;
use serde::{Deserialize, Serialize};

/// The most rows of one digest: with 20 bytes a row at most it fits a datagram.
pub const MOST_ROWS: usize = 50;

/// The versions of the windows whose hashes lie in one range; ranges of one set of digests cover all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The range's first hash.
    pub from: u64,
    /// Its last one.
    pub to: u64,
    /// The hash of each window's id and of its entry, in order.
    pub rows: Vec<(u64, u64)>,
}

/// What a digest shows to be missing, on either side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lacking {
    /// What the other side lacks or has in another version.
    pub send: Vec<Entry>,
    /// The hashes of the ids to ask it for.
    pub ask: Vec<u64>,
}

impl Calendar {
    /// Merges an entry from another proxy; says whether anything changed.
    pub fn merge(&mut self, entry: &Entry, now: Wall) -> Result<bool, Garbled> {
        let _ = (entry, now);
        todo!()
    }

    /// The entries that calls or steps here changed since the last time, to go to all live members.
    pub fn changed(&mut self) -> Vec<Entry> {
        todo!()
    }

    /// The digests that cover the whole calendar; at least one.
    pub fn digests(&self, now: Wall) -> Vec<Digest> {
        let _ = now;
        todo!()
    }

    /// What the sender of that digest and this proxy lack of each other's.
    pub fn lacking(&self, digest: &Digest, now: Wall) -> Lacking {
        let _ = (digest, now);
        todo!()
    }

    /// The entries that another proxy asked for by their ids' hashes.
    pub fn asked(&self, ids: &[u64], now: Wall) -> Vec<Entry> {
        let _ = (ids, now);
        todo!()
    }

    /// The highest token in any window, for the candidate that has to go above it.
    pub fn highest(&self) -> Ballot {
        self.entries.values().filter_map(|e| e.mark.as_ref()).map(|m| m.token).max().unwrap_or_default()
    }
}
