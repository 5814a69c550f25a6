//! Zone failover: a zone whose endpoints are ejected or silent, or whose attempts remain without a response, is taken
//! out of use as a whole, and returns over a recovery ramp. Applies where the settings have `locality`.

use super::estimators::RunningMean;
use super::outlier_detection::BASE_EJECTION_S;
use super::slow_start::SlowStart;
use super::Balancer;
use crate::interface::{Action, Micros, Time, ZoneFailover, ZoneId};
use std::collections::BTreeMap;

/// A zone is taken out of use once it has been unhealthy for so long, s: a shorter silence is no failure.
const UNHEALTHY_FOR_S: f64 = BASE_EJECTION_S / 2.0;
/// Samples in the share of attempts without a response.
const ATTEMPT_SAMPLES: f64 = 30.0;
/// The share of attempts without a response counts from so many samples on.
const MIN_ATTEMPT_SAMPLES: f64 = ATTEMPT_SAMPLES / 2.0;
/// A zone returns below this part of the threshold at which it is taken out of use.
const RETURN_THRESHOLD_FRACTION: f64 = 0.5;
/// Failovers within so long make the next recovery longer.
const FLAP_WINDOW: Micros = Micros(60_000_000);
/// Failovers beyond so many make the next recovery no longer.
const MAX_COUNTED_FAILOVERS: usize = 6;
/// A ramp counts as at least this long where something is divided by it, s.
const MIN_RAMP_S: f64 = 1e-6;

/// The endpoints of a zone that are listed as ready and not disabled.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCounts {
    available: f64,
    /// Those of them that are ejected or silent.
    unhealthy: f64,
}

impl ZoneCounts {
    fn unhealthy_fraction(&self) -> f64 {
        self.unhealthy / self.available
    }
}

/// What is known of a zone as a whole.
#[derive(Default)]
pub(super) struct ZoneHealth {
    out_of_use: bool,
    /// The part of the latest attempts there that remained without a response.
    unanswered_share: RunningMean,
    /// Since when it has been unhealthy enough to be taken out of use.
    unhealthy_since: Option<Time>,
    /// When its recovery ramp began; `None` while it has not been out of use, or once the ramp is over.
    recovering_since: Option<Time>,
    /// When it was taken out of use, within [`FLAP_WINDOW`].
    failovers: Vec<Time>,
}

/// A change in the use of a zone.
enum ZoneTransition {
    TakenOutOfUse { unanswered_percent: f64 },
    Returning,
    Recovered,
}

impl ZoneHealth {
    /// An attempt there ended: with a response or, in the end, without.
    pub fn record_attempt(&mut self, answered: bool) {
        self.unanswered_share
            .add(f64::from(!answered), ATTEMPT_SAMPLES);
    }

    /// Doubles with each failover within [`FLAP_WINDOW`], from 1 with the first.
    fn backoff_multiple(&self) -> f64 {
        f64::from(1u32 << self.failovers.len().clamp(1, MAX_COUNTED_FAILOVERS)) / 2.0
    }

    fn recovery_ramp(&self, rules: &ZoneFailover) -> Micros {
        rules.recovery_ramp.mul_f64(self.backoff_multiple())
    }

    /// Whether the zone may return, by the time since it was taken out of use.
    fn hold_down_elapsed(&self, now: Time) -> bool {
        let hold_down = Micros::from_secs_f64(BASE_EJECTION_S * self.backoff_multiple());
        self.failovers
            .last()
            .is_none_or(|failover_at| now - *failover_at >= hold_down)
    }

    /// Takes the present counts of its endpoints into account.
    fn update(
        &mut self,
        now: Time,
        counts: ZoneCounts,
        rules: &ZoneFailover,
    ) -> Option<ZoneTransition> {
        self.failovers
            .retain(|failover_at| now - *failover_at < FLAP_WINDOW);
        let unhealthy_fraction = counts.unhealthy_fraction();
        self.update_unhealthy_since(now, unhealthy_fraction, rules);
        if self.out_of_use {
            let return_below = rules.unhealthy_threshold * RETURN_THRESHOLD_FRACTION;
            let may_return = unhealthy_fraction < return_below && self.hold_down_elapsed(now);
            return may_return.then(|| self.start_recovery(now));
        }
        let unhealthy_for = self.unhealthy_since.map(|since| now - since);
        if unhealthy_for.is_some_and(|span| span.as_secs_f64() >= UNHEALTHY_FOR_S) {
            return Some(self.take_out_of_use(now));
        }
        let ramp = self.recovery_ramp(rules);
        let is_recovered = self
            .recovering_since
            .is_some_and(|since| now - since >= ramp);
        is_recovered.then(|| {
            self.recovering_since = None;
            ZoneTransition::Recovered
        })
    }

    fn update_unhealthy_since(&mut self, now: Time, unhealthy_fraction: f64, rules: &ZoneFailover) {
        let threshold = rules.unhealthy_threshold;
        let attempts_fail = self.unanswered_share.count >= MIN_ATTEMPT_SAMPLES
            && self.unanswered_share.value >= threshold;
        if attempts_fail || unhealthy_fraction >= threshold {
            self.unhealthy_since.get_or_insert(now);
        } else {
            self.unhealthy_since = None;
        }
    }

    fn take_out_of_use(&mut self, now: Time) -> ZoneTransition {
        let unanswered_percent = self.unanswered_share.value * 100.0;
        self.out_of_use = true;
        self.recovering_since = None;
        self.unanswered_share = RunningMean::default();
        self.failovers.push(now);
        ZoneTransition::TakenOutOfUse { unanswered_percent }
    }

    fn start_recovery(&mut self, now: Time) -> ZoneTransition {
        self.out_of_use = false;
        self.recovering_since = Some(now);
        ZoneTransition::Returning
    }

    /// The factor on the readiness of its endpoints, from 0 to 1.
    fn readiness(&self, now: Time, rules: &ZoneFailover, slow_start: SlowStart) -> f64 {
        if self.out_of_use {
            return 0.0;
        }
        let ramp_s = self.recovery_ramp(rules).as_secs_f64().max(MIN_RAMP_S);
        let elapsed_fraction = self
            .recovering_since
            .map_or(1.0, |since| (now - since).as_secs_f64() / ramp_s);
        slow_start.ramp(elapsed_fraction)
    }
}

impl Balancer {
    /// The factor of each zone on the readiness of its endpoints, in the order of the table's zones.
    pub(super) fn update_zones(&mut self, now: Time) -> Vec<f64> {
        let readiness = match self.config.zone_failover {
            Some(rules) => self.update_zone_health(now, &rules),
            None => BTreeMap::new(),
        };
        let zones = self.backends.zones.iter();
        zones
            .map(|zone| readiness.get(zone).copied().unwrap_or(1.0))
            .collect()
    }

    /// Its log lines bypass the log limiter: each change of a zone's use is logged.
    fn update_zone_health(&mut self, now: Time, rules: &ZoneFailover) -> BTreeMap<ZoneId, f64> {
        let slow_start = SlowStart::new(&self.config);
        let mut readiness = BTreeMap::new();
        for (id, counts) in self.count_zones() {
            let zone = self.zones.entry(id).or_default();
            let transition = zone.update(now, counts, rules);
            readiness.insert(id, zone.readiness(now, rules, slow_start));
            let ramp = zone.recovery_ramp(rules);
            if let Some(transition) = transition {
                let line = describe(id, counts, ramp, &transition);
                self.actions.push(Action::Log(line));
            }
        }
        // With every zone out of use some endpoints may still serve.
        if readiness.values().all(|factor| *factor == 0.0) {
            readiness.values_mut().for_each(|factor| *factor = 1.0);
        }
        readiness
    }

    /// The zones with available endpoints.
    fn count_zones(&self) -> Vec<(ZoneId, ZoneCounts)> {
        let mut counts = vec![ZoneCounts::default(); self.backends.zones.len()];
        for load in self.backends.loads.iter().filter(|load| load.available) {
            let zone = &mut counts[load.zone_index as usize];
            zone.available += 1.0;
            zone.unhealthy += f64::from(load.ejected || load.silent);
        }
        let zones = self.backends.zones.iter().copied().zip(counts);
        zones.filter(|(_, counts)| counts.available > 0.0).collect()
    }
}

/// The log line of a change in the use of a zone.
fn describe(
    zone: ZoneId,
    counts: ZoneCounts,
    recovery_ramp: Micros,
    transition: &ZoneTransition,
) -> String {
    let id = zone.0;
    match transition {
        ZoneTransition::TakenOutOfUse { unanswered_percent } => format!(
            "zone {id} taken out of use: {} of {} endpoints ejected or silent, \
             {unanswered_percent:.0}% of attempts without a response",
            counts.unhealthy, counts.available
        ),
        ZoneTransition::Returning => format!(
            "zone {id} returning over {:.1} s",
            recovery_ramp.as_secs_f64()
        ),
        ZoneTransition::Recovered => format!("zone {id} recovered"),
    }
}

#[cfg(test)]
mod tests;
