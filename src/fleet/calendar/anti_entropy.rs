//! Anti-entropy: repairs replicas of the calendar after messages were lost.
//!
//! Changes are broadcast at once. In addition, proxies send each other [`Digest`]s, and [`Calendar::compare`]
//! determines which windows either side lacks.

use super::window::{Window, WindowError};
use super::{Calendar, WallTime, MAX_MERGED_WINDOWS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of rows of a digest: with at most 20 bytes per row, it fits into a datagram.
pub const MAX_DIGEST_ROWS: usize = 50;

/// The maximum number of windows sent in response to one digest or request.
pub const MAX_WINDOWS_PER_RESPONSE: usize = 64;

/// A summary of the windows whose id hashes lie in one range. The ranges of all digests of a calendar together cover
/// all hashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The first hash of the range.
    pub from: u64,
    /// The last hash of the range.
    pub to: u64,
    /// One row for each window in the range, sorted by id hash.
    pub rows: Vec<DigestRow>,
}

/// The hashes that identify a window and its content in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestRow {
    /// The hash of the window's id.
    pub id_hash: u64,
    /// The hash of the encoded window.
    pub content_hash: u64,
}

/// The difference between the calendar of a digest's sender and this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// The windows that the sender lacks or has in another version.
    pub to_send: Vec<Window>,
    /// The id hashes of the windows to request from the sender.
    pub to_request: Vec<u64>,
}

impl Calendar {
    /// Merges a window from another proxy. Returns whether anything changed.
    ///
    /// # Errors
    /// If a field is out of its bounds, or there would be more windows than [`MAX_MERGED_WINDOWS`].
    pub fn merge(&mut self, window: &Window, now: WallTime) -> Result<bool, WindowError> {
        window.check(now).map_err(WindowError::Field)?;
        if let Some(known) = self.windows.get_mut(&window.id) {
            return Ok(known.merge(window));
        }
        if window.has_expired(now) {
            return Ok(false); // an expired tombstone, which this proxy may have removed already
        }
        if self.windows.len() >= MAX_MERGED_WINDOWS {
            return Err(WindowError::Full);
        }
        self.windows.insert(window.id.clone(), window.clone());
        Ok(true)
    }

    /// The windows that calls or transitions at this proxy changed since the last call, to be sent to all live members.
    pub fn take_changed(&mut self) -> Vec<Window> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .iter()
            .filter_map(|id| self.windows.get(id))
            .cloned()
            .collect()
    }

    /// The digests that together cover the whole calendar; there is at least one.
    pub fn digests(&self, now: WallTime) -> Vec<Digest> {
        let content_hashes: BTreeMap<u64, u64> = self
            .windows_by_id_hash(now)
            .map(|(id_hash, window)| (id_hash, hash(&window.encode())))
            .collect();
        let rows: Vec<DigestRow> = content_hashes
            .into_iter()
            .map(|(id_hash, content_hash)| DigestRow {
                id_hash,
                content_hash,
            })
            .collect();
        let mut from = 0;
        let mut digests: Vec<Digest> = Vec::new();
        for chunk in rows.chunks(MAX_DIGEST_ROWS) {
            let to = chunk.last().map_or(u64::MAX, |row| row.id_hash);
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

    /// Compares the calendar with another proxy's digest. The difference contains at most [`MAX_WINDOWS_PER_RESPONSE`]
    /// windows to send and [`MAX_DIGEST_ROWS`] to request; the rest is found with the next digest.
    pub fn compare(&self, digest: &Digest, now: WallTime) -> Difference {
        let theirs: BTreeMap<u64, u64> = digest
            .rows
            .iter()
            .take(MAX_DIGEST_ROWS)
            .map(|row| (row.id_hash, row.content_hash))
            .collect();
        let own: BTreeMap<u64, &Window> = self
            .windows_by_id_hash(now)
            .filter(|(id_hash, _)| (digest.from..=digest.to).contains(id_hash))
            .collect();
        let mut difference = Difference::default();
        for (id_hash, window) in &own {
            let their_content = theirs.get(id_hash);
            if their_content == Some(&hash(&window.encode())) {
                continue;
            }
            difference.to_send.push((*window).clone());
            if their_content.is_some() {
                difference.to_request.push(*id_hash);
            }
        }
        difference.to_send.truncate(MAX_WINDOWS_PER_RESPONSE);
        difference
            .to_request
            .extend(theirs.keys().filter(|id_hash| !own.contains_key(id_hash)));
        difference
    }

    /// The windows with the given id hashes, at most [`MAX_WINDOWS_PER_RESPONSE`] of them.
    pub fn windows_with_id_hashes(&self, id_hashes: &[u64], now: WallTime) -> Vec<Window> {
        self.windows_by_id_hash(now)
            .filter(|(id_hash, _)| id_hashes.contains(id_hash))
            .map(|(_, window)| window.clone())
            .take(MAX_WINDOWS_PER_RESPONSE)
            .collect()
    }

    fn windows_by_id_hash(&self, now: WallTime) -> impl Iterator<Item = (u64, &Window)> {
        self.windows
            .values()
            .filter(move |window| !window.has_expired(now))
            .map(|window| (hash(window.id.as_bytes()), window))
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
