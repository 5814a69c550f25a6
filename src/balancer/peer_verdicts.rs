//! Other proxies' verdicts on backends as evidence.

use super::{Balancer, Micros, PeerVerdict, Time, Verdict, EJECT_TERM};

/// Proxies whose word takes a backend out here: one may be on a broken link of its own, two rarely are.
pub(super) const WORDS: u32 = 2;

impl Balancer {
    /// A verdict of the fleet's, unless this proxy knows better from an answer or a failure since. Trials of
    /// what is out go round: after each verdict one proxy's turn comes at the end of its term, the next's a
    /// first term later, so that one's word reaches the others first, and no broken link holds it for long.
    pub(super) fn heard(&mut self, now: Time, word: &PeerVerdict) {
        let (born, id) = (now - word.age, word.backend);
        let Some(p) = self
            .backends
            .get_mut(id)
            .filter(|_| word.age <= word.max_age)
        else {
            return;
        };
        p.peer_ejections
            .retain(|h| Some(h.0) != word.origin && now - h.1 <= word.max_age);
        let Verdict::Ejected {
            duration: term,
            consecutive_ejections: strikes,
        } = word.verdict
        else {
            if p.ejected_until.is_some() && born > p.last_failure_at {
                (
                    p.ejected_until,
                    p.ejected_on_peer_verdicts_at,
                    p.error_share,
                    p.consecutive_ejections,
                ) = (None, None, 0.0, 0);
                p.peer_ejections.clear();
                self.solve_at = now;
                self.log(now, format!("backend {} is back, as a peer says", id.0));
            }
            return;
        };
        if born < p.last_response_at.max(p.last_failure_at) {
            return;
        }
        p.peer_ejections
            .extend(word.origin.map(|origin| (origin, born)));
        if born >= p.latest_peer_verdict.0 {
            let defer = Micros::from_secs_f64(EJECT_TERM * f64::from(word.health_check_turn))
                .min(word.max_age);
            p.latest_peer_verdict = (born, born + term + defer); // the newest verdict says to all whose turn it is
        }
        if p.ejected_until.is_some() {
            (p.ejected_until, p.consecutive_ejections) = (
                Some(p.latest_peer_verdict.1),
                p.consecutive_ejections.max(i32::from(strikes)),
            );
        } else if p.peer_ejections.len() >= WORDS.min(word.live_peers) as usize {
            (
                p.ejected_until,
                p.ejected_on_peer_verdicts_at,
                p.consecutive_ejections,
            ) = (Some(p.latest_peer_verdict.1), Some(now), i32::from(strikes));
            (p.health_checks_passed, self.look_at) = (0, now);
            let words = p.peer_ejections.len();
            self.backends.suspend(id);
            self.log(
                now,
                format!("backend {} ejected on the word of {words} peers", id.0),
            );
        }
    }
}
