//! Detects broadcasts that were received before, within bounded memory.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of origins that are remembered.
const MAX_ORIGINS: usize = 256;
/// The maximum number of broadcasts that are remembered per origin.
const MAX_BROADCASTS_PER_ORIGIN: usize = 256;

/// The broadcasts that were received within the maximum age, by the incarnation of their origin. Older broadcasts are
/// rejected for their age, so they need not be remembered.
#[derive(Debug)]
pub(super) struct DuplicateFilter {
    max_age: Micros,
    origins: BTreeMap<u64, OriginHistory>,
}

/// The remembered broadcasts of one origin, by their `sent_us`.
#[derive(Debug, Default)]
struct OriginHistory {
    newest_us: u64,
    /// The remembered broadcasts in the order in which they were received.
    recent_us: VecDeque<u64>,
    /// Broadcasts up to this one may have been forgotten, and are rejected as duplicates.
    forgotten_up_to_us: u64,
}

impl DuplicateFilter {
    pub(super) fn new(max_age: Micros) -> DuplicateFilter {
        DuplicateFilter {
            max_age,
            origins: BTreeMap::new(),
        }
    }

    /// Records a broadcast. Returns whether it is the newest of its origin, or `None` if it is a duplicate.
    pub(super) fn insert(&mut self, incarnation: u64, sent_us: u64, now_us: u64) -> Option<bool> {
        let expired_before_us = now_us.saturating_sub(self.max_age.0);
        if !self.origins.contains_key(&incarnation) {
            self.evict(expired_before_us);
        }
        let origin = self.origins.entry(incarnation).or_default();
        origin.insert(sent_us, expired_before_us)
    }

    /// Makes room for one more origin: removes the origins without unexpired broadcasts, and if that isn't enough, the one
    /// whose newest broadcast is the oldest.
    fn evict(&mut self, expired_before_us: u64) {
        if self.origins.len() < MAX_ORIGINS {
            return;
        }
        self.origins
            .retain(|_, origin| origin.newest_us >= expired_before_us);
        if self.origins.len() < MAX_ORIGINS {
            return;
        }
        let oldest = self
            .origins
            .iter()
            .min_by_key(|(_, origin)| origin.newest_us)
            .map(|(incarnation, _)| *incarnation);
        if let Some(incarnation) = oldest {
            self.origins.remove(&incarnation);
        }
    }
}

impl OriginHistory {
    fn insert(&mut self, sent_us: u64, expired_before_us: u64) -> Option<bool> {
        if sent_us <= self.forgotten_up_to_us || self.recent_us.contains(&sent_us) {
            return None;
        }
        self.forget(expired_before_us);
        self.recent_us.push_back(sent_us);
        let is_newest = sent_us > self.newest_us;
        self.newest_us = self.newest_us.max(sent_us);
        Some(is_newest)
    }

    /// Removes the broadcasts received first while they have expired or [`MAX_BROADCASTS_PER_ORIGIN`] is reached.
    fn forget(&mut self, expired_before_us: u64) {
        while let Some(first_us) = self.recent_us.front().copied() {
            let is_full = self.recent_us.len() >= MAX_BROADCASTS_PER_ORIGIN;
            if first_us >= expired_before_us && !is_full {
                break;
            }
            self.recent_us.pop_front();
            self.forgotten_up_to_us = self.forgotten_up_to_us.max(first_us);
        }
    }
}
