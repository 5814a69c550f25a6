//! When a request may have a further attempt, and the retry budget.

use super::{Attempt, Balancer, Idempotency, PendingRequest, Time};

/// Extra attempts for each request: the usual tenth, doubled for the time until a failure is seen.
pub(super) const RETRY_RATIO: f64 = 0.2;

impl Balancer {
    pub(super) fn may_send(&self, now: Time, r: &PendingRequest) -> bool {
        let safe = |s: &Attempt| match self.cfg.classes[r.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => {
                s.never_ran || now + self.cfg.timer_resolution < s.at + window
            }
            Idempotency::NonIdempotent => s.never_ran,
        };
        let alone = self.cfg.hedging || !r.out();
        alone && r.sent.len() < r.most && r.sent.iter().all(safe)
    }
}
