//! How attempts end, and the final answers of requests.

use super::{
    Action, AttemptEnd, AttemptNumber, Balancer, Idempotency, KeyScope, Micros, Outcome, RequestId,
    Time, EJECT_TERM,
};

impl Balancer {
    /// The first bytes of a long answer: from here on the client's pace holds it up, so what there is to
    /// learn is learned now, and its backend has room again.
    pub(super) fn stream_started(&mut self, now: Time, request: RequestId, attempt: AttemptNumber) {
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(s) = r
            .sent
            .get_mut(attempt.0 as usize)
            .filter(|s| s.out && !s.begun)
        else {
            return;
        };
        (s.begun, r.streaming, r.uploading) = (true, true, false);
        let part = if now <= r.aim {
            1.0
        } else {
            self.cfg.classes[r.class].late_weight
        };
        self.classes[r.class].earned += self.cfg.classes[r.class].priority_weight * r.value * part;
        let Some(&(backend, class, sent)) = self.attempts.get(&(request, attempt)) else {
            return;
        };
        let (outcome, latency) = (Outcome::Ok, now - sent);
        self.learn(
            now,
            backend,
            class,
            sent,
            &AttemptEnd {
                request,
                attempt,
                outcome,
                latency,
                answered: true,
            },
        );
    }

    pub(super) fn ended(&mut self, now: Time, end: AttemptEnd) {
        let id = end.request;
        let Some((backend, class, sent)) = self.attempts.remove(&(id, end.attempt)) else {
            return;
        };
        let sent_as = self
            .requests
            .get(&id)
            .and_then(|r| r.sent.get(end.attempt.0 as usize));
        let begun = sent_as.is_some_and(|s| s.begun);
        if begun && matches!(end.outcome, Outcome::Error | Outcome::Reset) {
            // It was counted as served with its first bytes, and gave more until now: the break comes on top.
            let peer = self.backends.get_mut(backend);
            peer.into_iter()
                .for_each(|p| (p.in_flight, p.last_response_at) = (p.in_flight + 1, now));
        }
        if !begun || matches!(end.outcome, Outcome::Error | Outcome::Reset) {
            self.learn(now, backend, class, sent, &end);
        }
        let gone = self
            .backends
            .get(backend)
            .is_none_or(|p| !self.backends.is_available(p));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(s) = r.sent.get_mut(end.attempt.0 as usize) {
            (s.out, s.never_ran) = (false, end.outcome.proves_not_run());
            s.withheld = gone && end.outcome == Outcome::NotSent;
        }
        if end.outcome == Outcome::Ok && !begun {
            let c = &self.cfg.classes[class];
            let part = if now <= r.aim { 1.0 } else { c.late_weight };
            self.classes[class].earned += c.priority_weight * r.value * part;
        }
        if r.streaming && !begun {
            return; // a copy's end: the answer streams on from another backend
        }
        if end.answered || end.outcome == Outcome::Ok {
            self.close(id);
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// Final answer for a request that will not be served.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let free = matches!(
            self.cfg.classes[r.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: KeyScope::All,
                    ..
                }
        );
        let harmless = free || r.sent.iter().all(|s| s.never_ran);
        // By then what is out now has made room, or an ejected backend is tried again.
        let ready = self.kinds.values().any(|k| k.ready_endpoints > 0.0);
        let retry_after = if ready {
            self.usual(r.class).mul_f64(2.0)
        } else {
            Micros::from_secs_f64(EJECT_TERM)
        };
        let (refused, failed) = (
            Action::Reject {
                request: id,
                retry_after,
            },
            Action::Fail { request: id },
        );
        self.actions.push(if harmless { refused } else { failed });
        self.close(id);
    }

    pub(super) fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else {
            return;
        };
        self.held.retain(|h| *h != id);
        for (no, _) in r
            .sent
            .iter()
            .enumerate()
            .filter(|(_, s)| s.out && self.cfg.cancellation)
        {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: AttemptNumber(no as u32),
            });
        }
    }
}
