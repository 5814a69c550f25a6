//! Limits how often rejected datagrams are reported.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// How long after a report further rejections with the same cause are not reported.
const REPORT_INTERVAL: Micros = Micros(1_000_000);

/// When rejections were last reported, by cause.
#[derive(Default)]
pub(super) struct RejectionReport {
    last_us: BTreeMap<&'static str, u64>,
}

impl RejectionReport {
    /// Whether a rejection at that wall time is to be reported; it then counts as reported.
    pub(super) fn is_due(&mut self, cause: &'static str, now_us: u64) -> bool {
        let last_us = self.last_us.entry(cause).or_default();
        let is_due = last_us.saturating_add(REPORT_INTERVAL.0) <= now_us;
        if is_due {
            *last_us = now_us;
        }
        is_due
    }
}
