//! How copies become equal: changes at once, digests and repair for what was lost.

use super::entry::{Entry, Garbled};
use super::{Calendar, Wall, MOST_MERGED};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most rows of one digest: with 20 bytes a row at most it fits a datagram.
pub const MOST_ROWS: usize = 50;

/// The most entries that one digest is answered with.
pub const MOST_SENT: usize = 64;

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
    ///
    /// # Errors
    /// A field out of its bounds, or more windows than [`MOST_MERGED`].
    pub fn merge(&mut self, entry: &Entry, now: Wall) -> Result<bool, Garbled> {
        entry.check(now).map_err(Garbled::Field)?;
        if let Some(mine) = self.entries.get_mut(&entry.id) {
            return Ok(mine.merge(entry));
        }
        if entry.expires().is_some_and(|at| at <= now) {
            return Ok(false); // a tombstone that was forgotten here already
        }
        if self.entries.len() >= MOST_MERGED {
            return Err(Garbled::Full);
        }
        self.entries.insert(entry.id.clone(), entry.clone());
        Ok(true)
    }

    /// The entries that calls or steps here changed since the last time, to go to all live members.
    pub fn changed(&mut self) -> Vec<Entry> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .iter()
            .filter_map(|id| self.entries.get(id))
            .cloned()
            .collect()
    }

    /// The digests that together cover the whole calendar; at least one.
    pub fn digests(&self, now: Wall) -> Vec<Digest> {
        let rows: Vec<(u64, u64)> = self
            .hashed(now)
            .map(|(id, e)| (id, hash(&e.encode())))
            .collect();
        let rows: BTreeMap<u64, u64> = rows.into_iter().collect();
        let rows: Vec<(u64, u64)> = rows.into_iter().collect();
        let mut from = 0;
        let mut digests: Vec<Digest> = Vec::new();
        for chunk in rows.chunks(MOST_ROWS) {
            let to = chunk.last().map_or(u64::MAX, |(id, _)| *id);
            digests.push(Digest {
                from,
                to,
                rows: chunk.to_vec(),
            });
            from = to.saturating_add(1);
        }
        match digests.last_mut() {
            Some(last) => last.to = u64::MAX,
            None => digests.push(Digest {
                from: 0,
                to: u64::MAX,
                rows: Vec::new(),
            }),
        }
        digests
    }

    /// What the sender of that digest and this proxy lack of each other's, at most [`MOST_SENT`] entries
    /// and [`MOST_ROWS`] questions; what is left shows in the next digest.
    pub fn lacking(&self, digest: &Digest, now: Wall) -> Lacking {
        let theirs: BTreeMap<u64, u64> = digest.rows.iter().copied().take(MOST_ROWS).collect();
        let mine: BTreeMap<u64, &Entry> = self
            .hashed(now)
            .filter(|(id, _)| (digest.from..=digest.to).contains(id))
            .collect();
        let mut lacking = Lacking::default();
        for (id, entry) in &mine {
            match theirs.get(id) {
                Some(version) if *version == hash(&entry.encode()) => {}
                other => {
                    lacking.send.push((*entry).clone());
                    lacking.ask.extend(other.map(|_| *id));
                }
            }
        }
        lacking.send.truncate(MOST_SENT);
        lacking
            .ask
            .extend(theirs.keys().filter(|id| !mine.contains_key(id)));
        lacking
    }

    /// The entries that another proxy asked for by their ids' hashes.
    pub fn asked(&self, ids: &[u64], now: Wall) -> Vec<Entry> {
        self.hashed(now)
            .filter(|(id, _)| ids.contains(id))
            .map(|(_, e)| e.clone())
            .take(MOST_SENT)
            .collect()
    }

    fn hashed(&self, now: Wall) -> impl Iterator<Item = (u64, &Entry)> {
        let kept = self
            .entries
            .values()
            .filter(move |e| e.expires().is_none_or(|at| at > now));
        kept.map(|e| (hash(e.id.as_bytes()), e))
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
