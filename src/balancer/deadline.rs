//! What time alone brings about: silent backends, expired requests, hedged requests.

use super::{Action, Attempt, AttemptNumber, Balancer, Discovery, Idempotency, Micros, Time};

/// An idle proxy looks about so often, s.
pub(super) const IDLE_LOOK: f64 = 5.0;
/// An unanswered attempt this many times older than usual, with no later answer, marks silence.
pub(super) const SILENT_AFTER: f64 = 6.0;

impl Balancer {
    /// What time alone brings about, and when to look again.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) fn look_after(&mut self, now: Time) {
        let mut next = now + Micros::from_secs_f64(IDLE_LOOK); // nothing else may be due
        if let Discovery::Poll {
            staleness_limit: within,
        } = self.cfg.discovery
        {
            if self.ask.take_due(now, within) {
                self.actions.push(Action::PollDiscovery);
            }
        }
        next = self.ask.next().map_or(next, |at| next.min(at));
        let mut silent = Vec::new();
        for &(backend, class, sent) in self.attempts.values() {
            let quiet = sent + self.usual(class).mul_f64(SILENT_AFTER); // far off for what is still uploaded
            next = if quiet > now { next.min(quiet) } else { next };
            if now >= quiet
                && self
                    .backends
                    .get(backend)
                    .is_some_and(|p| p.last_response_at <= sent)
            {
                silent.push(backend);
            }
        }
        self.backends.set_silent(silent);
        let mut over = Vec::new();
        for (&id, r) in self
            .requests
            .iter()
            .filter(|(_, r)| !r.streaming && !r.uploading)
        {
            let usual = self.usual(r.class);
            let late_pays = self.cfg.classes[r.class].late_weight > 0.0 && !r.sent.is_empty();
            let last_start = if late_pays { r.deadline } else { r.aim };
            let lost = |s: &Attempt| {
                s.out
                    && self
                        .backends
                        .get(s.to.id)
                        .is_none_or(|p| p.ejected_until.is_some())
            };
            let lost = matches!(&r.sent[..], [only] if lost(only));
            // The deadline's own tick would be too late to answer; a request that was held so long
            // that it cannot make it is refused while that is still harmless.
            let last_start = if r.out() {
                r.deadline
            } else {
                last_start.min(r.deadline)
            };
            let margin = if r.out() {
                self.cfg.timer_resolution
            } else {
                usual.max(self.cfg.timer_resolution)
            };
            if now + margin >= last_start {
                over.push(id);
            } else if lost && now + usual < r.aim && self.extra >= 1.0 {
                // Age alone is no reason: copies of merely heavy requests crowd every backend.
                if self.cfg.hedging {
                    if self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.cancellation
                    && self.cfg.classes[r.class].idempotency != Idempotency::NonIdempotent
                {
                    // Where no copy may run beside it, the first is called back to make way for the next.
                    self.actions.push(Action::Cancel {
                        request: id,
                        attempt: AttemptNumber(0),
                    });
                }
            }
            next = next.min(last_start - margin);
        }
        self.look_at = next.max(now + self.cfg.timer_resolution);
        over.into_iter().for_each(|id| self.give_up(id));
    }
}
