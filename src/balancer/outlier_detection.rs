//! Outlier detection: ejects endpoints based on the outcomes of attempts, and readmits them once health checks pass.
//!
//! Health checks are ordinary client requests, sent one at a time to an ejected endpoint once the ejection's duration
//! has passed.

use super::classes::LATENCY_SAMPLES;
use super::endpoints::EndpointRecord;
use super::requests::InFlightAttempt;
use super::silence_detection::silence_limit;
use super::Balancer;
use crate::interface::{Action, AttemptEnd, BackendId, Micros, Outcome, Time, Verdict, ZoneId};

/// Error share above which an endpoint is ejected, before the fleet's error share is added. If errors are rare, two
/// errors in close succession exceed it.
const EJECTION_ERROR_SHARE: f64 = 0.3;
/// Multiple of the fleet's error share that is added to the ejection threshold. If any connection may break, two broken
/// connections in close succession are chance, and no endpoint is better than another.
const FLEET_ERROR_MULTIPLE: f64 = 3.0;
/// Weight of the latest outcome in an endpoint's error share.
const ERROR_SHARE_STEP: f64 = 0.2;
/// An endpoint that responded within this multiple of the expected latency counts as alive, even if a connection broke.
const ALIVE_LATENCY_MULTIPLE: f64 = 2.0;
/// Duration of a first ejection, in seconds, before jitter.
pub(super) const BASE_EJECTION_S: f64 = 1.0;
/// Maximum number of times that the duration doubles with consecutive ejections.
const MAX_EJECTION_DOUBLINGS: i32 = 2;
/// Lower end of the jitter range, as a fraction of the duration. The jitter is uniform over the range.
const EJECTION_JITTER_MIN: f64 = 0.75;
/// Width of the jitter range, as a fraction of the duration. It keeps proxies from health-checking an endpoint in step.
const EJECTION_JITTER_RANGE: f64 = 0.5;
/// Time for which an overloaded endpoint gets no requests, in seconds.
const OVERLOADED_PAUSE_S: f64 = BASE_EJECTION_S / 2.0;
/// Number of health checks that have to pass before an ejected endpoint is readmitted.
const HEALTH_CHECKS_TO_PASS: u32 = 3;
/// Lower bound of a recorded latency, in seconds.
const MIN_LATENCY_S: f64 = 1e-6;

/// The evidence about an endpoint's health from the end of an attempt.
enum Evidence {
    /// The endpoint served the request.
    Served,
    /// The endpoint responds, but has no capacity.
    Overloaded,
    /// The endpoint responded with an error, or one connection broke while it is alive. Several of these eject it.
    Error,
    /// The endpoint cannot be reached or does not respond. One of these ejects it.
    Failure,
    /// The outcome says nothing about the endpoint.
    None,
}

impl Evidence {
    /// Classifies an outcome. An endpoint that responded within the last `alive_within` counts as alive.
    fn classify(
        outcome: Outcome,
        record: &EndpointRecord,
        now: Time,
        sent_at: Time,
        alive_within: Micros,
    ) -> Evidence {
        let is_alive = now < record.last_response_at + alive_within;
        match outcome {
            Outcome::Ok => Evidence::Served,
            Outcome::Overloaded => Evidence::Overloaded,
            Outcome::Cancelled | Outcome::NotSent => Evidence::None,
            Outcome::Error => Evidence::Error,
            // The endpoint responded to other requests meanwhile, so only this request is slow.
            Outcome::TimedOut if record.last_response_at >= sent_at => Evidence::None,
            Outcome::Reset | Outcome::ConnectFailed if is_alive => Evidence::Error,
            Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => Evidence::Failure,
        }
    }
}

impl EndpointRecord {
    /// Records a served attempt that was sent at `sent_at`. Returns whether this readmits the endpoint.
    fn record_served(&mut self, now: Time, sent_at: Time) -> bool {
        self.last_response_at = now;
        self.error_share *= 1.0 - ERROR_SHARE_STEP;
        self.health_checks_passed += 1;
        if !self.is_ejected() {
            self.consecutive_ejections = 0;
            return false;
        }
        if self.health_checks_passed >= HEALTH_CHECKS_TO_PASS {
            self.end_ejection();
            self.error_share = 0.0;
            return true;
        }
        // The endpoint responds to an attempt that was sent before the peers' verdicts ejected it here, so it is the
        // peers that cannot reach it.
        let on_peer_verdicts_at = self.faults().ejected_on_peer_verdicts_at;
        if on_peer_verdicts_at.is_some_and(|ejected_at| sent_at <= ejected_at) {
            self.end_ejection();
        }
        false
    }

    /// Records an error response or a broken connection. Returns whether this ejects the endpoint.
    fn record_error(&mut self, ejection_error_share: f64) -> bool {
        self.error_share += (1.0 - self.error_share) * ERROR_SHARE_STEP;
        self.error_share > ejection_error_share || self.is_ejected()
    }

    /// Records a failure that this proxy detected. Returns the duration of the ejection, or `None` if the current one
    /// has not ended yet. `base_s` is the duration without earlier ejections, in seconds.
    fn record_failure(&mut self, now: Time, base_s: f64) -> Option<Micros> {
        let earlier = self.consecutive_ejections;
        let faults = self.faults_mut();
        faults.last_failure_at = now;
        if faults.ejected_until.is_some_and(|until| now < until) {
            return None;
        }
        let doublings = f64::from(earlier.min(MAX_EJECTION_DOUBLINGS));
        let duration = Micros::from_secs_f64(base_s * doublings.exp2());
        faults.ejected_until = Some(now + duration);
        faults.ejected_on_peer_verdicts_at = None;
        self.consecutive_ejections = earlier + 1;
        self.health_checks_passed = 0;
        Some(duration)
    }

    /// Ends the ejection.
    pub(super) fn end_ejection(&mut self) {
        let faults = self.faults_mut();
        faults.ejected_until = None;
        faults.ejected_on_peer_verdicts_at = None;
    }
}

/// Returns whether the attempt counts as answered for the health of its zone; `None` if the outcome says nothing about
/// it. A zone that is cut off may still answer some attempts.
fn was_answered(outcome: Outcome, is_overdue: bool) -> Option<bool> {
    match outcome {
        Outcome::Ok => Some(true),
        Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => Some(false),
        Outcome::Cancelled if is_overdue => Some(false),
        _ => None,
    }
}

/// Returns whether the outcome counts towards the fleet's error share.
fn is_error_sample(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Ok | Outcome::Error | Outcome::Reset | Outcome::ConnectFailed
    )
}

impl Balancer {
    /// Records the outcome of an attempt for the endpoint, its hardware class, its zone and the request class.
    pub(super) fn record_outcome(&mut self, now: Time, attempt: InFlightAttempt, end: &AttemptEnd) {
        self.record_fleet_error(end.outcome);
        let id = attempt.backend;
        let sent_at = attempt.awaiting_response_since;
        let expected_latency = self.expected_latency(attempt.class);
        let Some(record) = self.backends.get_mut(id) else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        let zone = record.entry.zone;
        let alive_within = expected_latency.mul_f64(ALIVE_LATENCY_MULTIPLE);
        let evidence = Evidence::classify(end.outcome, record, now, sent_at, alive_within);
        let is_overdue = end.latency > silence_limit(expected_latency);
        self.record_zone_attempt(zone, was_answered(end.outcome, is_overdue));
        match evidence {
            Evidence::Served => self.record_served(now, attempt, end.latency),
            Evidence::Overloaded => self.record_overloaded(now, id),
            Evidence::Error => self.record_error(now, id, end.outcome),
            Evidence::Failure => self.eject(now, id, end.outcome),
            Evidence::None => {}
        }
    }

    fn record_fleet_error(&mut self, outcome: Outcome) {
        if is_error_sample(outcome) {
            let is_error = outcome != Outcome::Ok;
            self.error_share.add(f64::from(is_error), LATENCY_SAMPLES);
        }
    }

    fn record_zone_attempt(&mut self, zone: ZoneId, answered: Option<bool>) {
        if self.config.zone_failover.is_none() {
            return;
        }
        if let Some(answered) = answered {
            self.zones.entry(zone).or_default().record_attempt(answered);
        }
    }

    fn record_overloaded(&mut self, now: Time, id: BackendId) {
        if let Some(record) = self.backends.get_mut(id) {
            let pause = Micros::from_secs_f64(OVERLOADED_PAUSE_S);
            record.faults_mut().overloaded_until = now + pause;
        }
    }

    fn record_served(&mut self, now: Time, attempt: InFlightAttempt, latency: Micros) {
        let id = attempt.backend;
        let class = attempt.class;
        let latency_s = latency.as_secs_f64().max(MIN_LATENCY_S);
        self.classes
            .record_latency(class, &self.config.classes[class], latency_s);
        let Some(record) = self.backends.get_mut(id) else {
            return;
        };
        let mix_corrected_s =
            latency_s * self.classes.overall_latency.value / self.classes[class].latency.value;
        self.hardware_classes
            .entry(record.entry.hardware_class)
            .or_default()
            .record_served(now, mix_corrected_s);
        if record.record_served(now, attempt.awaiting_response_since) {
            self.actions.push(Action::PublishVerdict {
                backend: id,
                verdict: Verdict::Readmitted,
            });
            self.log(now, format!("backend {} readmitted", id.0));
        }
    }

    fn record_error(&mut self, now: Time, id: BackendId, outcome: Outcome) {
        let ejection_error_share =
            EJECTION_ERROR_SHARE + FLEET_ERROR_MULTIPLE * self.error_share.value;
        let Some(record) = self.backends.get_mut(id) else {
            return;
        };
        if outcome == Outcome::Error {
            record.last_response_at = now;
        }
        if record.record_error(ejection_error_share) {
            self.eject(now, id, outcome);
        }
    }

    /// Ejects an endpoint because of a failure that this proxy detected, and publishes the verdict to the peers.
    fn eject(&mut self, now: Time, id: BackendId, outcome: Outcome) {
        let jitter = EJECTION_JITTER_MIN + EJECTION_JITTER_RANGE * self.random.unit();
        let Some(record) = self.backends.get_mut(id) else {
            return;
        };
        let Some(duration) = record.record_failure(now, BASE_EJECTION_S * jitter) else {
            return;
        };
        let consecutive_ejections = record.consecutive_ejections.clamp(0, 255) as u8;
        self.backends.suspend(id);
        self.actions.push(Action::PublishVerdict {
            backend: id,
            verdict: Verdict::Ejected {
                duration,
                consecutive_ejections,
            },
        });
        self.schedule.check_at(now);
        self.log(now, format!("backend {} ejected: {outcome:?}", id.0));
    }
}
