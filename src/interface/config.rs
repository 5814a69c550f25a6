//! The balancer's configuration. [`crate::settings`] maps the names used in settings files to these fields.

use super::ids::{RegionId, ZoneId};
use super::time::Micros;
use imbl::Vector;
use std::collections::BTreeMap;

/// The configuration of one proxy's balancer.
///
/// Clones share the tables of classes and tenants; a change copies only the path to the changed entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of proxies that share the traffic, including this one.
    pub proxy_count: u32,
    /// Index of this proxy among them, from 0.
    pub proxy_index: u32,
    /// The zone of this proxy.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vector<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vector<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a fraction (0 to 1) of its class's weight.
    pub over_quota_weight: f64,
    /// Weight (0 to 1) of the overall traffic in the operators' objective.
    pub overall_objective_weight: f64,
    /// Weight (0 to 1) of the worst-served class in the operators' objective.
    pub worst_class_objective_weight: f64,
    /// Cost in the operators' objective if every request crosses zones once.
    pub cross_zone_cost: f64,
    /// How the proxy gets the endpoint list.
    pub discovery: Discovery,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Shortest time between two rounds of events.
    pub timer_resolution: Micros,
    /// Fraction (0 to 1) of its capacity that a backend is sure to have when it starts.
    pub slow_start_min_readiness: f64,
    /// Time from the start of a backend until it has its full capacity.
    pub slow_start_duration: Micros,
    /// A backend in slow start fails if it gets more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Time over which the load on a backend in slow start is compared with `overload_multiple`.
    pub overload_window: Micros,
    /// When whole zones are taken out of use; `None` disables zone failover.
    pub zone_failover: Option<ZoneFailover>,
    /// The region of each zone. Zones that are missing here are all in the default region.
    pub regions: BTreeMap<ZoneId, RegionId>,
}

/// When a whole zone is taken out of use, and how it returns (`locality` in the settings).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFailover {
    /// The zone is taken out of use once, for half a second, this fraction (0 to 1) of its ready backends was ejected
    /// or silent, or this fraction of its latest attempts got no response. It returns when the unhealthy fraction of
    /// its backends is below half of this threshold, after a hold-down time that grows with repeated failovers.
    pub unhealthy_threshold: f64,
    /// Time over which a returning zone ramps up to its full readiness. It doubles with each further failover within a
    /// minute, up to 32 times this value.
    pub recovery_ramp: Micros,
}

/// The rules for a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's work hint.
    pub objective_per_work: f64,
    /// Whether a request may be processed more than once.
    pub idempotency: Idempotency,
    /// The amount that a served request contributes to the operators' objective.
    pub priority_weight: f64,
    /// Fraction (0 to 1) of the priority weight that a response earns after the latency objective.
    pub late_weight: f64,
}

/// Whether a request may be processed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated any number of times.
    Idempotent,
    /// The request carries an idempotency key, by which the backends of one scope discard repeats.
    Keyed {
        /// The backends that share their keys.
        scope: KeyScope,
        /// Time after the first dispatch for which the backends remember the key.
        window: Micros,
    },
    /// The request must not be processed more than once.
    NonIdempotent,
}

/// The set of backends that share their idempotency keys, and so discard repeats of each other's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all proxies, that get the full priority weight.
    pub quota_per_s: f64,
}

/// How a proxy gets the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Service discovery pushes changes.
    Push,
    /// The proxy polls, see [`Action::PollDiscovery`](crate::Action::PollDiscovery).
    Poll {
        /// Time after which a proxy that does not poll is assumed to know of a change. Half of it is the longest
        /// backoff interval, and the time after which a poll without a response is repeated.
        staleness_limit: Micros,
    },
}

/// The error for a configuration field that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// Short name of the field, which may differ from its settings key.
    pub field: &'static str,
    /// The allowed values.
    pub expected: &'static str,
}

/// The result of a range check on one field.
struct Check {
    passes: bool,
    field: &'static str,
    expected: &'static str,
}

impl Config {
    /// Returns a small valid configuration: one zone, three proxies, one idempotent class.
    pub fn example() -> Config {
        Config {
            proxy_count: 3,
            proxy_index: 0,
            zone: ZoneId(0),
            classes: Vector::unit(RequestClass::example()),
            tenants: Vector::new(),
            over_quota_weight: 0.1,
            overall_objective_weight: 1.0,
            worst_class_objective_weight: 0.0,
            cross_zone_cost: 0.0,
            discovery: Discovery::Push,
            max_attempts: 3,
            cancellation: true,
            hedging: true,
            timer_resolution: Micros(5_000),
            slow_start_min_readiness: 0.3,
            slow_start_duration: Micros(10_000_000),
            overload_multiple: 3.0,
            overload_window: Micros(2_000_000),
            zone_failover: None,
            regions: BTreeMap::new(),
        }
    }

    /// Returns an error for every field that is out of range.
    pub fn errors(&self) -> Vec<ConfigError> {
        let mut checks = self.fleet_checks();
        checks.extend(self.table_checks());
        checks.extend(self.objective_checks());
        checks.extend(self.backend_checks());
        failed_checks(checks).collect()
    }

    fn fleet_checks(&self) -> Vec<Check> {
        vec![
            check(self.proxy_count > 0, "proxies", "at least 1"),
            check(
                self.proxy_index < self.proxy_count,
                "position",
                "less than proxies",
            ),
        ]
    }

    fn table_checks(&self) -> Vec<Check> {
        let has_classes = !self.classes.is_empty();
        let mut checks = vec![check(has_classes, "classes", "at least one class")];
        let class_checks = self.classes.iter().map(RequestClass::checks);
        checks.extend(class_checks.reduce(combine_checks).into_iter().flatten());
        let quotas = self.tenants.iter().all(Tenant::is_valid);
        checks.push(quota_check(quotas));
        checks
    }

    fn objective_checks(&self) -> Vec<Check> {
        let fraction_range = "a number from 0 to 1";
        vec![
            check(
                is_fraction(self.over_quota_weight),
                "over_quota_worth",
                fraction_range,
            ),
            check(
                is_fraction(self.overall_objective_weight),
                "goal_whole",
                fraction_range,
            ),
            check(
                is_fraction(self.worst_class_objective_weight),
                "goal_worst_class",
                fraction_range,
            ),
            check(self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
        ]
    }

    fn backend_checks(&self) -> Vec<Check> {
        let is_threshold_valid = self.zone_failover.is_none_or(|failover| {
            failover.unhealthy_threshold > 0.0 && is_fraction(failover.unhealthy_threshold)
        });
        vec![
            check(self.max_attempts > 0, "max_attempts", "at least 1"),
            check(self.timer_resolution.0 > 0, "tick", "a time above 0"),
            check(
                is_fraction(self.slow_start_min_readiness),
                "cold_from",
                "a number from 0 to 1",
            ),
            check(
                is_positive(self.overload_multiple),
                "fall_multiple",
                "a finite number above 0",
            ),
            check(is_threshold_valid, "leave_share", "(0, 1]"),
        ]
    }
}

impl RequestClass {
    /// Returns a class of idempotent requests with a latency objective of half a second.
    pub fn example() -> RequestClass {
        RequestClass {
            latency_objective: Micros(500_000),
            objective_per_work: 0.0,
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
            late_weight: 0.0,
        }
    }

    /// Returns an error for the first field that is out of range, if any.
    pub fn validate(&self) -> Result<(), ConfigError> {
        failed_checks(self.checks()).next().map_or(Ok(()), Err)
    }

    fn checks(&self) -> [Check; 4] {
        [
            check(self.latency_objective.0 > 0, "aim", "a time above 0"),
            check(self.objective_per_work >= 0.0, "aim_stretch", "at least 0"),
            check(
                is_positive(self.priority_weight),
                "worth",
                "a finite number above 0",
            ),
            check(
                is_fraction(self.late_weight),
                "late_worth",
                "a number from 0 to 1",
            ),
        ]
    }
}

impl Tenant {
    /// Returns an error if the quota is out of range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let checks = [quota_check(self.is_valid())];
        failed_checks(checks).next().map_or(Ok(()), Err)
    }

    fn is_valid(&self) -> bool {
        is_positive(self.quota_per_s)
    }
}

fn check(passes: bool, field: &'static str, expected: &'static str) -> Check {
    Check {
        passes,
        field,
        expected,
    }
}

fn quota_check(passes: bool) -> Check {
    check(passes, "quota_per_s", "a finite rate above 0")
}

/// Combines the same checks of two classes; each passes only if it passes for both.
fn combine_checks(mut all: [Check; 4], one: [Check; 4]) -> [Check; 4] {
    for (check, other) in all.iter_mut().zip(one) {
        check.passes &= other.passes;
    }
    all
}

fn failed_checks(checks: impl IntoIterator<Item = Check>) -> impl Iterator<Item = ConfigError> {
    let failed = checks.into_iter().filter(|check| !check.passes);
    failed.map(|check| ConfigError {
        field: check.field,
        expected: check.expected,
    })
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}
