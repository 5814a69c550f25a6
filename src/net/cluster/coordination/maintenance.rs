//! This proxy's copy of the calendar of maintenance windows, and the backends that are in maintenance by it.

use meadowproxy::fleet::calendar::{Calendar, Digest};
use std::collections::BTreeSet;

/// This proxy's copy of the calendar, and the state that follows from it.
pub struct MaintenanceState {
    pub calendar: Calendar,
    /// The backends that the request loop has been told to keep in maintenance.
    pub in_maintenance: BTreeSet<String>,
    /// Ranges of id hashes in which this proxy, since its start, turned out to lack no window; `None` once it has
    /// caught up.
    pub compared_ranges: Option<Vec<HashRange>>,
}

/// A range of id hashes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HashRange {
    pub from: u64,
    pub to: u64,
}

impl MaintenanceState {
    /// Creates the state of a proxy that has just started.
    pub fn new(calendar: Calendar) -> MaintenanceState {
        MaintenanceState {
            calendar,
            in_maintenance: BTreeSet::new(),
            compared_ranges: Some(Vec::new()),
        }
    }

    /// Whether this proxy has caught up with the fleet's calendar.
    pub fn has_caught_up(&self) -> bool {
        self.compared_ranges.is_none()
    }

    /// Records that this proxy lacks no window in a digest's range. Returns whether the recorded ranges now cover all
    /// hashes.
    pub fn record_compared(&mut self, digest: &Digest) -> bool {
        let Some(ranges) = &mut self.compared_ranges else {
            return false;
        };
        ranges.push(HashRange {
            from: digest.from,
            to: digest.to,
        });
        ranges.sort_unstable();
        let mut first_uncovered = Some(0);
        for range in ranges.iter() {
            match first_uncovered {
                Some(first) if range.from <= first => {
                    first_uncovered = range.to.checked_add(1).map(|next| next.max(first));
                }
                _ => break,
            }
        }
        first_uncovered.is_none()
    }
}
