//! Zones taken out of use as a whole, and their recovery ramp.

use super::{
    from_cold, Action, BTreeMap, Balancer, Micros, RunningMean, Time, ZoneId, EJECT_TERM,
    QUICK_SAMPLES,
};

/// A zone is left once its share has been out for so long, s: a silence that ends sooner was a hiccup.
pub(super) const LEAVE_AFTER: f64 = EJECT_TERM / 2.0;

impl Balancer {
    /// Each zone's factor on its backends' readiness: none while it is left, a ramp while it returns. Where
    /// every zone would be left, none is: some backends may still serve.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) fn zones(&mut self, now: Time) -> BTreeMap<ZoneId, f64> {
        let (Some(rules), mut factors) = (self.cfg.zone_failover, BTreeMap::new()) else {
            return BTreeMap::new();
        };
        let mut counts = vec![(0.0, 0.0); self.backends.zones.len()];
        for l in self.backends.loads.iter().filter(|l| l.available) {
            let c = &mut counts[l.zone_index as usize];
            *c = (c.0 + 1.0, c.1 + f64::from(l.ejected || l.silent));
        }
        let counts = self.backends.zones.iter().copied().zip(counts);
        for (id, (all, out)) in counts.filter(|c| c.1 .0 > 0.0) {
            let z = self.zones.entry(id).or_default();
            z.failovers
                .retain(|at| now - *at < Micros::from_secs_f64(60.0));
            let again = f64::from(1u32 << z.failovers.len().clamp(1, 6)) / 2.0; // doubles with each time
            let ramp = rules.recovery_ramp.mul_f64(again);
            let failing = z.unanswered_share.count >= QUICK_SAMPLES / 2.0
                && z.unanswered_share.value >= rules.unhealthy_threshold;
            let bad = failing || out / all >= rules.unhealthy_threshold;
            z.unhealthy_since = z.unhealthy_since.filter(|_| bad).or(bad.then_some(now));
            let lasted = z
                .unhealthy_since
                .is_some_and(|since| (now - since).as_secs_f64() >= LEAVE_AFTER);
            let term = Micros::from_secs_f64(EJECT_TERM * again);
            let rested = z.failovers.last().is_none_or(|at| now - *at >= term);
            let said = match (z.out_of_use, out / all) {
                (false, _) if lasted => {
                    let lost = z.unanswered_share.value * 100.0;
                    (z.out_of_use, z.recovering_since, z.unanswered_share) =
                        (true, None, RunningMean::default());
                    z.failovers.push(now);
                    Some(format!(
                        "zone {} left: {out} of {all} out, {lost:.0}% unanswered",
                        id.0
                    ))
                }
                (true, part) if part < rules.unhealthy_threshold / 2.0 && rested => {
                    (z.out_of_use, z.recovering_since) = (false, Some(now));
                    Some(format!(
                        "zone {} returning over {:.1} s",
                        id.0,
                        ramp.as_secs_f64()
                    ))
                }
                (false, _) if z.recovering_since.is_some_and(|since| now - since >= ramp) => {
                    z.recovering_since = None;
                    Some(format!("zone {} back", id.0))
                }
                _ => None,
            };
            self.actions.extend(said.map(Action::Log));
            let age = z.recovering_since.map_or(1.0, |since| {
                (now - since).as_secs_f64() / ramp.as_secs_f64().max(1e-6)
            });
            factors.insert(
                id,
                if z.out_of_use {
                    0.0
                } else {
                    from_cold(&self.cfg, age)
                },
            );
        }
        if factors.values().all(|f| *f == 0.0) {
            factors.values_mut().for_each(|f| *f = 1.0);
        }
        factors
    }
}
