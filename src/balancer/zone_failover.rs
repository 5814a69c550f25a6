//! Zone failover: a zone whose endpoints are ejected or silent, or whose attempts get no response, is taken out of use
//! as a whole and returns over a recovery ramp. It is enabled by `locality` in the settings.

use super::estimators::RunningMean;
use super::outlier_detection::BASE_EJECTION_S;
use super::slow_start::SlowStart;
use super::Balancer;
use crate::interface::{Action, Micros, Time, ZoneFailover, ZoneId};
use std::collections::BTreeMap;

/// Time for which a zone has to be unhealthy before it is taken out of use, in seconds. A shorter silence is no
/// failure.
const UNHEALTHY_FOR_S: f64 = BASE_EJECTION_S / 2.0;
/// Maximum number of samples in the share of attempts without a response.
const ATTEMPT_SAMPLES: f64 = 30.0;
/// Minimum number of samples for the share of attempts without a response to be used.
const MIN_ATTEMPT_SAMPLES: f64 = ATTEMPT_SAMPLES / 2.0;
/// A zone returns once it is below this fraction of the threshold at which it is taken out of use.
const RETURN_THRESHOLD_FRACTION: f64 = 0.5;
/// Time for which a failover makes the next recovery longer.
const FLAP_WINDOW: Micros = Micros(60_000_000);
/// Maximum number of failovers that make the next recovery longer.
const MAX_COUNTED_FAILOVERS: usize = 6;
/// Lower bound of a ramp's duration when it is used as a divisor, in seconds.
const MIN_RAMP_S: f64 = 1e-6;

/// The number of endpoints in a zone that are listed as ready and not disabled.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCounts {
    available: f64,
    /// Number of available endpoints that are ejected or silent.
    unhealthy: f64,
}

impl ZoneCounts {
    fn unhealthy_fraction(&self) -> f64 {
        self.unhealthy / self.available
    }
}

/// The health of a zone as a whole.
#[derive(Default)]
pub(super) struct ZoneHealth {
    out_of_use: bool,
    /// Fraction of the zone's latest attempts that got no response.
    unanswered_share: RunningMean,
    /// Time since which the zone has been unhealthy enough to be taken out of use.
    unhealthy_since: Option<Time>,
    /// When the recovery ramp began; `None` while the zone is not recovering.
    recovering_since: Option<Time>,
    /// Times at which the zone was taken out of use, within [`FLAP_WINDOW`].
    failovers: Vec<Time>,
}

/// A transition of a zone into or out of use.
enum ZoneTransition {
    TakenOutOfUse { unanswered_percent: f64 },
    Returning,
    Recovered,
}

impl ZoneHealth {
    /// Records the end of an attempt in the zone, with a response or without.
    pub fn record_attempt(&mut self, answered: bool) {
        self.unanswered_share
            .add(f64::from(!answered), ATTEMPT_SAMPLES);
    }

    /// Returns the multiple by which the recovery is prolonged: 1 for the first failover, doubling with each further
    /// failover within [`FLAP_WINDOW`].
    fn backoff_multiple(&self) -> f64 {
        f64::from(1u32 << self.failovers.len().clamp(1, MAX_COUNTED_FAILOVERS)) / 2.0
    }

    fn recovery_ramp(&self, rules: &ZoneFailover) -> Micros {
        rules.recovery_ramp.mul_f64(self.backoff_multiple())
    }

    /// Returns whether the hold-down time since the zone was taken out of use has passed.
    fn hold_down_elapsed(&self, now: Time) -> bool {
        let hold_down = Micros::from_secs_f64(BASE_EJECTION_S * self.backoff_multiple());
        self.failovers
            .last()
            .is_none_or(|failover_at| now - *failover_at >= hold_down)
    }

    /// Updates the zone's health from the current counts of its endpoints. Returns the resulting transition, if any.
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

    /// Returns the factor (0 to 1) for the readiness of the zone's endpoints.
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
    /// Updates the health of all zones. Returns the factor for the readiness of each zone's endpoints, in the order of
    /// the table's zones.
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

    /// Updates the health of all zones and logs their transitions. The log lines bypass the rate limit, so that every
    /// transition is logged.
    fn update_zone_health(&mut self, now: Time, rules: &ZoneFailover) -> BTreeMap<ZoneId, f64> {
        let slow_start = SlowStart::new(&self.config);
        let mut readiness = BTreeMap::new();
        for (id, counts) in self.count_zones() {
            let zone = self.zones.entry(id).or_default();
            let transition = zone.update(now, counts, rules);
            readiness.insert(id, zone.readiness(now, rules, slow_start));
            let ramp = zone.recovery_ramp(rules);
            if let Some(transition) = transition {
                let line = transition_log_line(id, counts, ramp, &transition);
                self.actions.push(Action::Log(line));
            }
        }
        // If every zone is out of use, all are used, as some endpoints may still serve.
        if readiness.values().all(|factor| *factor == 0.0) {
            readiness.values_mut().for_each(|factor| *factor = 1.0);
        }
        readiness
    }

    /// Counts the available and unhealthy endpoints of each zone that has available ones.
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

/// Returns the log line for a transition of a zone.
fn transition_log_line(
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
