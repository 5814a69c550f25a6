//! The calendar at this proxy, and which backends it keeps free of requests.

use meadowproxy::fleet::calendar::{Calendar, Digest};
use std::collections::BTreeSet;

/// The calendar, and what follows from it here.
pub struct MaintenanceState {
    pub calendar: Calendar,
    /// The backends that the request loop was notified of as in maintenance.
    pub in_maintenance: BTreeSet<String>,
    /// After a start, the ranges of id hashes in which this proxy was shown to lack nothing; `None` once it has caught up.
    pub compared_ranges: Option<Vec<HashRange>>,
}

/// A range of id hashes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HashRange {
    pub from: u64,
    pub to: u64,
}

impl MaintenanceState {
    /// The calendar of a proxy that has just started.
    pub fn new(calendar: Calendar) -> MaintenanceState {
        MaintenanceState {
            calendar,
            in_maintenance: BTreeSet::new(),
            compared_ranges: Some(Vec::new()),
        }
    }

    pub fn has_caught_up(&self) -> bool {
        self.compared_ranges.is_none()
    }

    /// Records that nothing is lacking in a digest's range; says whether the ranges now cover all hashes.
    pub fn record_compared(&mut self, digest: &Digest) -> bool {
        let Some(ranges) = &mut self.compared_ranges else {
            return false;
        };
        ranges.push(HashRange {
            from: digest.from,
            to: digest.to,
        });
        ranges.sort_unstable();
        let mut uncovered_from = Some(0);
        for range in ranges.iter() {
            match uncovered_from {
                Some(at) if range.from <= at => {
                    uncovered_from = range.to.checked_add(1).map(|after| after.max(at));
                }
                _ => break,
            }
        }
        uncovered_from.is_none()
    }
}
