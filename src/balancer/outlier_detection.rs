//! What outcomes tell of a backend: latency, error share, ejection and readmission.

use super::{
    Action, AttemptEnd, BackendId, Balancer, Micros, Outcome, Time, Verdict, KIND_SAMPLES,
    QUICK_SAMPLES, SILENT_AFTER,
};

/// Error share from which a backend is ejected: two errors close together reach it where errors are rare.
pub(super) const ERROR_LIMIT: f64 = 0.3;
/// ... and by how many times the whole fleet's share a backend's must stand out beyond that: where every
/// connection may break, two breaks close together are chance, and no backend is better than another.
pub(super) const STAND_OUT: f64 = 3.0;
/// Weight of the newest outcome in a backend's error share.
pub(super) const ERROR_STEP: f64 = 0.2;
/// A backend that answered within so many times the usual latency is alive, whatever one connection did.
pub(super) const ALIVE: f64 = 2.0;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
pub(super) const EJECT_TERM: f64 = 1.0;
/// Good trials before an ejected backend is trusted again.
pub(super) const TRIALS: u32 = 3;

impl Balancer {
    /// What an outcome says of the backend, its kind and its class.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) fn learn(
        &mut self,
        now: Time,
        id: BackendId,
        class: usize,
        sent: Time,
        end: &AttemptEnd,
    ) {
        if matches!(
            end.outcome,
            Outcome::Ok | Outcome::Error | Outcome::Reset | Outcome::ConnectFailed
        ) {
            self.errors
                .add(f64::from(end.outcome != Outcome::Ok), KIND_SAMPLES);
        }
        let (limit, alive) = (
            ERROR_LIMIT + STAND_OUT * self.errors.value,
            self.usual(class).mul_f64(ALIVE),
        );
        let long = end.latency > self.usual(class).mul_f64(SILENT_AFTER);
        let was_tight = !self.quick(class);
        let Some(p) = self.backends.get_mut(id) else {
            return;
        };
        // A zone that is cut off may answer some: what it leaves unanswered counts for the zone as a whole.
        let unanswered = match end.outcome {
            Outcome::Ok => Some(0.0),
            Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => Some(1.0),
            Outcome::Cancelled if long => Some(1.0),
            _ => None,
        };
        let zone = unanswered.filter(|_| self.cfg.zone_failover.is_some());
        zone.into_iter().for_each(|f| {
            self.zones
                .entry(p.entry.zone)
                .or_default()
                .unanswered_share
                .add(f, QUICK_SAMPLES);
        });
        p.in_flight = p.in_flight.saturating_sub(1);
        match end.outcome {
            Outcome::Ok => {
                // Served requests only: errors, time-outs and refusals stay out of the speeds.
                let secs = end.latency.as_secs_f64().max(1e-6);
                self.classes[class].latency.add(secs, KIND_SAMPLES);
                self.overall.add(secs, KIND_SAMPLES);
                let plain = secs * self.overall.value / self.classes[class].latency.value;
                let k = self.kinds.entry(p.entry.kind).or_default();
                k.latency.add(plain, KIND_SAMPLES);
                k.served_per_endpoint
                    .add(now, 1.0 / k.ready_endpoints.max(1.0));
                k.recent_latency.add(plain, QUICK_SAMPLES);
                p.last_response_at = now;
                p.error_share *= 1.0 - ERROR_STEP;
                p.health_checks_passed += 1;
                if p.ejected_until.is_none() {
                    p.consecutive_ejections = 0;
                } else if p.health_checks_passed >= TRIALS {
                    (
                        p.ejected_until,
                        p.ejected_on_peer_verdicts_at,
                        p.error_share,
                    ) = (None, None, 0.0);
                    self.actions.push(Action::PublishVerdict {
                        backend: id,
                        verdict: Verdict::Readmitted,
                    });
                    self.log(now, format!("backend {} is back", id.0));
                } else if p
                    .ejected_on_peer_verdicts_at
                    .is_some_and(|since| sent <= since)
                {
                    // It answers what it was sent before the others' word came: they are cut off from it.
                    (p.ejected_until, p.ejected_on_peer_verdicts_at) = (None, None);
                }
            }
            // A full backend answers, and is left alone for a moment: busy is not ill.
            Outcome::Overloaded => {
                p.overloaded_until = now + Micros::from_secs_f64(EJECT_TERM / 2.0);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.last_response_at >= sent => {}
            // A break while answers come is one connection's end, not the process's: like an error it takes
            // more of them.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed
                if end.outcome == Outcome::Error || now < p.last_response_at + alive =>
            {
                if end.outcome == Outcome::Error {
                    p.last_response_at = now;
                }
                p.error_share += (1.0 - p.error_share) * ERROR_STEP;
                if p.error_share > limit || p.ejected_until.is_some() {
                    self.eject(now, id, end.outcome);
                }
            }
            _ => self.eject(now, id, end.outcome),
        }
        if self.classes[class].live {
            self.tight = self.tight + usize::from(!self.quick(class)) - usize::from(was_tight);
        }
    }

    pub(super) fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.backends.get_mut(id) else {
            return;
        };
        p.last_failure_at = now;
        if p.ejected_until.is_none_or(|until| now >= until) {
            let term =
                Micros::from_secs_f64(term * f64::from(p.consecutive_ejections.min(2)).exp2());
            (p.ejected_until, p.ejected_on_peer_verdicts_at) = (Some(now + term), None);
            (p.consecutive_ejections, p.health_checks_passed) = (p.consecutive_ejections + 1, 0);
            let strikes = p.consecutive_ejections.clamp(0, 255) as u8;
            self.backends.suspend(id);
            self.actions.push(Action::PublishVerdict {
                backend: id,
                verdict: Verdict::Ejected {
                    duration: term,
                    consecutive_ejections: strikes,
                },
            });
            self.look_at = now;
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }
}
