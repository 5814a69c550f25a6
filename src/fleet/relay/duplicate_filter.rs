//! Recognizes broadcasts that were received before.

use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// How many origins are remembered at most.
const MAX_ORIGINS: usize = 256;
/// How many broadcasts of each origin are remembered at most.
const MAX_BROADCASTS_PER_ORIGIN: usize = 256;

/// The broadcasts that were received within the maximum age, by the incarnation of their origin. Older ones are rejected
/// for their age and need not be remembered.
#[derive(Debug)]
pub(super) struct DuplicateFilter {
    max_age: Micros,
    origins: BTreeMap<u64, OriginHistory>,
}

/// The broadcasts of one origin.
#[derive(Debug, Default)]
struct OriginHistory {
    newest_us: u64,
    /// In the order in which they were received.
    recent_us: VecDeque<u64>,
    /// Those up to this one may have been forgotten and are rejected.
    forgotten_up_to_us: u64,
}

impl DuplicateFilter {
    pub(super) fn new(max_age: Micros) -> DuplicateFilter {
        DuplicateFilter {
            max_age,
            origins: BTreeMap::new(),
        }
    }

    /// Remembers a broadcast, if it is new; whether it is the newest of its origin then.
    pub(super) fn insert(&mut self, incarnation: u64, sent_us: u64, now_us: u64) -> Option<bool> {
        let expired_before_us = now_us.saturating_sub(self.max_age.0);
        if !self.origins.contains_key(&incarnation) {
            self.evict(expired_before_us);
        }
        let origin = self.origins.entry(incarnation).or_default();
        origin.insert(sent_us, expired_before_us)
    }

    /// Ensures capacity for one more origin: forgets those without current broadcasts, and if need be the one that was silent
    /// for longest.
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

    /// Forgets the first received ones while they have expired or there are too many.
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
