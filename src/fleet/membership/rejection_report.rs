//! Rate limit for reports of rejected datagrams.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// The minimum time between two reports with the same cause.
const REPORT_INTERVAL: Micros = Micros(1_000_000);

/// The wall time of the last report for each cause, in microseconds since 1970.
#[derive(Default)]
pub(super) struct RejectionReport {
    last_us: BTreeMap<&'static str, u64>,
}

impl RejectionReport {
    /// Whether a rejection at wall time `now_us` has to be reported. If so, it counts as reported.
    pub(super) fn is_due(&mut self, cause: &'static str, now_us: u64) -> bool {
        let last_us = self.last_us.entry(cause).or_default();
        let is_due = last_us.saturating_add(REPORT_INTERVAL.0) <= now_us;
        if is_due {
            *last_us = now_us;
        }
        is_due
    }
}
