//! The draw of a backend for a request.

use super::{
    Attempt, BTreeMap, BackendId, Balancer, EndpointLoad, EndpointRecord, Idempotency, KeyScope,
    PendingRequest, Time, LOW,
};

/// Whether it may hold one more, of half of its room or all.
pub(super) fn fits(l: &EndpointLoad, half: bool) -> bool {
    let room = if half {
        (l.capacity / 2.0).ceil()
    } else {
        l.capacity
    };
    l.available && !l.silent && l.readiness > 0.0 && f64::from(l.in_flight) < room
}

/// What a backend weighs in a draw: its slice, and for the rest a last resort.
pub(super) fn weight(slice: f64, pull: f64) -> f64 {
    slice + pull * 1e-6
}

/// The attempts on it that crowd the others: what is out where it is in use.
pub(super) fn crowding(l: &EndpointLoad) -> u32 {
    if l.readiness > 0.0 && !l.silent {
        l.in_flight
    } else {
        0
    }
}

impl Balancer {
    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) fn draw(&mut self, now: Time, r: &PendingRequest) -> Option<BackendId> {
        let effect = self.cfg.classes[r.class].idempotency;
        let (work, low) = (self.work(r.class), r.value < LOW);
        self.backends.refresh(now, &self.cfg);
        let mut sure = BTreeMap::new();
        let mut cold = |at: usize| {
            self.budget(now, at, &mut sure) < work * (1.0 - self.backends.loads[at].rotation_offset)
        };
        if r.sent.is_empty() && (effect == Idempotency::Idempotent || self.free == 0) {
            // Its term is over: one request at a time that may fail without harm tries it.
            let mut tries = |at: usize| {
                let (p, l) = (self.backends.record_at(at), &self.backends.loads[at]);
                let over = p.ejected_until.is_some_and(|until| now >= until)
                    && l.readiness == 0.0
                    && p.in_flight == 0;
                over && l.available && !p.silent && now >= p.overloaded_until && !cold(at)
            };
            if let Some(at) = self.backends.ejected.iter().find(|at| tries(**at as usize)) {
                return Some(self.backends.id(*at as usize));
            }
        }
        // Never overfill: a crowded backend slows for long, so a full one is drawn again. What may hold one
        // more of any request has its weight; the rest is as time, its worth and its past attempts say.
        let mut weights: Vec<(usize, f64)> = Vec::new();
        for at in self.backends.restricted.iter().map(|at| *at as usize) {
            let may = now >= self.backends.record_at(at).overloaded_until
                && self.backends.fits(at, low)
                && !cold(at);
            weights.push((at, if may { self.backends.weight(at) } else { 0.0 }));
        }
        if low {
            let busy = self.backends.with_in_flight.iter().map(|at| *at as usize);
            weights.extend(
                busy.filter(|at| !self.backends.fits(*at, true))
                    .map(|at| (at, 0.0)),
            );
        }
        weights.extend(
            r.sent
                .iter()
                .filter_map(|s| Some((self.backends.position(s.to.id)?, 0.0))),
        );
        // A repeat outside the scope that knows the key would run twice.
        let knows = |s: &Attempt, p: &EndpointRecord| match effect {
            Idempotency::Keyed {
                scope: KeyScope::Zone,
                ..
            } => s.to.zone == p.entry.zone,
            Idempotency::Keyed {
                scope: KeyScope::Cell,
                ..
            } => s.to.cell == p.entry.cell,
            _ => true,
        };
        for s in r
            .sent
            .iter()
            .filter(|s| !s.never_ran && matches!(effect, Idempotency::Keyed { .. }))
        {
            let all = self.backends.records().enumerate();
            weights.extend(
                all.filter(|(_, (_, p))| !knows(s, p))
                    .map(|(at, _)| (at, 0.0)),
            );
        }
        weights
            .into_iter()
            .for_each(|(at, weight)| self.backends.override_weight(at, weight));
        let pull = |(group, kind)| Some((group, self.kinds.get(&kind)?.proxy_share));
        let kinds: Vec<(usize, f64)> = self.backends.drawable_kinds().filter_map(pull).collect();
        let kind = self.dice.pick(&kinds)?;
        self.backends.draw(kind, &mut self.dice)
    }
}
