//! Requests that wait for dispatch, in order of their value.

use super::{
    Action, Attempt, AttemptNumber, Balancer, ClassState, RequestId, Time, LOW, SILENT_AFTER,
};

impl Balancer {
    /// What is asked of all classes, and how well the worst-served one fares.
    pub(super) fn fared(&self) -> (f64, f64) {
        let live = || self.classes.iter().filter(|c| c.live);
        (
            live().map(|c| c.asked).sum(),
            live().map(ClassState::served).fold(f64::MAX, f64::min),
        )
    }

    /// What one more served request of the class adds to the operator's goal: its worth to the whole and, for
    /// the class that was served worst so far, its worth to that class's own part.
    pub(super) fn gain(&self, class: usize, (all, worst): (f64, f64)) -> f64 {
        let (c, s) = (&self.cfg.classes[class], &self.classes[class]);
        let own = if s.live && s.served() <= worst {
            self.cfg.worst_class_objective_weight / s.asked.max(1e-9)
        } else {
            0.0
        };
        c.priority_weight * (self.cfg.overall_objective_weight / all.max(1e-9) + own)
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    pub(super) fn pump(&mut self, now: Time) {
        if self.held.is_empty() || self.blocked == f64::MAX {
            return;
        }
        // One alone stands first, whatever its worth.
        let fared = if self.held.len() > 1 {
            self.fared()
        } else {
            (1.0, 1.0)
        };
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                let density = self.gain(r.class, fared) / self.work(r.class);
                line.push((density * r.value, r.came, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.held.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else {
                continue;
            };
            let (again, work) = (!r.sent.is_empty(), self.work(r.class));
            let extra = r.sent.last().is_some_and(|s| !s.withheld);
            let refused = !again && (self.crowded(r.value) || self.hopeless(now, &r));
            let sendable = self.may_send(now, &r) && (!extra || self.extra >= 1.0) && !refused;
            let backend = if sendable { self.draw(now, &r) } else { None };
            if let Some(p) = backend.and_then(|b| self.backends.get_mut(b)) {
                self.extra -= f64::from(extra);
                let (no, backend) = (AttemptNumber(r.sent.len() as u32), p.entry.id);
                r.sent.push(Attempt::new(p.entry.clone(), now));
                p.in_flight += 1;
                p.recent_work
                    .retain(|s| now - s.0 < self.cfg.overload_window);
                p.recent_work.push((now, work));
                self.attempts.insert((id, no), (backend, r.class, now));
                self.actions.push(Action::Dispatch {
                    request: id,
                    backend,
                });
                let quiet = now + self.usual(r.class).mul_f64(SILENT_AFTER);
                self.look_at = self
                    .look_at
                    .min(quiet)
                    .min(r.deadline - self.cfg.timer_resolution);
            } else if sendable {
                if !again {
                    self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                }
                self.held.push(id);
            }
            let over = !sendable && !r.out();
            self.requests.insert(id, r);
            over.then(|| self.give_up(id));
        }
    }
}
