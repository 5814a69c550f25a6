//! What the decisions are configured with. The names of the settings on the wire are mapped to these fields in
//! [`crate::settings`].

use super::ids::{RegionId, ZoneId};
use super::time::Micros;
use imbl::Vector;
use std::collections::BTreeMap;

/// The configuration of one proxy's decisions.
///
/// A clone shares the tables of classes and tenants with its original; one that is then changed copies only the path
/// to the change.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Proxies that share the traffic, this one included.
    pub proxy_count: u32,
    /// Which of them this one is, from 0.
    pub proxy_index: u32,
    /// The proxy's own zone.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vector<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vector<Tenant>,
    /// Priority weight of a request over its tenant's quota, as a part (0 to 1) of its class's.
    pub over_quota_weight: f64,
    /// Weight (0 to 1) of all traffic together in the operators' objective.
    pub overall_objective_weight: f64,
    /// Weight (0 to 1) of the class that is served worst in the operators' objective.
    pub worst_class_objective_weight: f64,
    /// Cost to the operators' objective if every request crosses zones once.
    pub cross_zone_cost: f64,
    /// Where the endpoint list comes from.
    pub discovery: Discovery,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// The shortest time between two rounds of events.
    pub timer_resolution: Micros,
    /// Part (0 to 1) of its capacity that a backend has at least when it starts.
    pub slow_start_min_readiness: f64,
    /// A started backend has its full capacity after this time.
    pub slow_start: Micros,
    /// A backend that is warming up fails if it gets more than this multiple of its present capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The time over which the load on a backend that is warming up is compared with `overload_multiple`.
    pub overload_window: Micros,
    /// When whole zones are taken out of use; `None`: never.
    pub zone_failover: Option<ZoneFailover>,
    /// The region of each zone; all zones that are not named here form one region.
    pub regions: BTreeMap<ZoneId, RegionId>,
}

/// When a whole zone is taken out of use, and how it returns (settings `locality`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFailover {
    /// The zone is taken out of use once, for half a second, this part (0 to 1) of its ready backends was ejected or
    /// silent, or this part of the latest attempts there remained without a response. It returns when less than half of
    /// this part of its backends is ejected or silent, after a rest that grows with repeated failovers.
    pub unhealthy_threshold: f64,
    /// Time over which a returning zone goes back to its full readiness. Doubles with each further failover within a
    /// minute, up to 32 times this value.
    pub recovery_ramp: Micros,
}

/// Requests that are to be treated alike.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's work hint.
    pub objective_per_work: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// What a served request contributes to the operators' objective.
    pub priority_weight: f64,
    /// Part (0 to 1) of the priority weight that a response after the latency objective earns.
    pub late_weight: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated and rejected at will.
    Idempotent,
    /// It carries an idempotency key, by which the backends of one scope discard repeats.
    Keyed {
        /// The backends that know each other's keys.
        scope: KeyScope,
        /// For how long after the first dispatch they know the key.
        window: Micros,
    },
    /// A second run does harm.
    NonIdempotent,
}

/// Which backends discard each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A customer with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all proxies, that have the full priority weight.
    pub quota_per_s: f64,
}

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery pushes changes.
    Push,
    /// The proxy polls, see [`Action::PollDiscovery`](crate::Action::PollDiscovery).
    Poll {
        /// A proxy that does not poll counts as notified of a change after this time. Half of it caps the interval to
        /// which polls back off; a poll without a response is repeated after it.
        staleness_limit: Micros,
    },
}

/// A field of the configuration that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// A short name of the field, not the settings key.
    pub field: &'static str,
    /// The values that it takes.
    pub expected: &'static str,
}

/// One check of a field's range.
struct Check {
    holds: bool,
    field: &'static str,
    expected: &'static str,
}

impl Config {
    /// A small valid configuration: one zone, three proxies, one idempotent class.
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
            slow_start: Micros(10_000_000),
            overload_multiple: 3.0,
            overload_window: Micros(2_000_000),
            zone_failover: None,
            regions: BTreeMap::new(),
        }
    }

    /// Every field that is out of its range.
    pub fn errors(&self) -> Vec<ConfigError> {
        let mut checks = self.fleet_checks();
        checks.extend(self.table_checks());
        checks.extend(self.objective_checks());
        checks.extend(self.backend_checks());
        errors_of(checks).collect()
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
        let of_all = self.classes.iter().map(RequestClass::checks);
        checks.extend(of_all.reduce(hold_together).into_iter().flatten());
        let quotas = self.tenants.iter().all(Tenant::is_valid);
        checks.push(quota_check(quotas));
        checks
    }

    fn objective_checks(&self) -> Vec<Check> {
        let part = "a part from 0 to 1";
        vec![
            check(is_part(self.over_quota_weight), "over_quota_worth", part),
            check(is_part(self.overall_objective_weight), "goal_whole", part),
            check(
                is_part(self.worst_class_objective_weight),
                "goal_worst_class",
                part,
            ),
            check(self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
        ]
    }

    fn backend_checks(&self) -> Vec<Check> {
        let threshold_valid = self.zone_failover.is_none_or(|failover| {
            failover.unhealthy_threshold > 0.0 && is_part(failover.unhealthy_threshold)
        });
        vec![
            check(self.max_attempts > 0, "max_attempts", "at least 1"),
            check(self.timer_resolution.0 > 0, "tick", "a time above 0"),
            check(
                is_part(self.slow_start_min_readiness),
                "cold_from",
                "a part from 0 to 1",
            ),
            check(
                is_positive(self.overload_multiple),
                "fall_multiple",
                "a finite number above 0",
            ),
            check(threshold_valid, "leave_share", "(0, 1]"),
        ]
    }
}

impl RequestClass {
    /// A class of idempotent requests with a latency objective of half a second.
    pub fn example() -> RequestClass {
        RequestClass {
            latency_objective: Micros(500_000),
            objective_per_work: 0.0,
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
            late_weight: 0.0,
        }
    }

    /// The first field that is out of its range, if any.
    pub fn validate(&self) -> Result<(), ConfigError> {
        errors_of(self.checks()).next().map_or(Ok(()), Err)
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
                is_part(self.late_weight),
                "late_worth",
                "a part from 0 to 1",
            ),
        ]
    }
}

impl Tenant {
    /// The first field that is out of its range, if any.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let checks = [quota_check(self.is_valid())];
        errors_of(checks).next().map_or(Ok(()), Err)
    }

    fn is_valid(&self) -> bool {
        is_positive(self.quota_per_s)
    }
}

fn check(holds: bool, field: &'static str, expected: &'static str) -> Check {
    Check {
        holds,
        field,
        expected,
    }
}

fn quota_check(holds: bool) -> Check {
    check(holds, "quota_per_s", "a finite rate above 0")
}

/// The same checks, each of which holds where it holds in both.
fn hold_together(mut all: [Check; 4], one: [Check; 4]) -> [Check; 4] {
    for (check, other) in all.iter_mut().zip(one) {
        check.holds &= other.holds;
    }
    all
}

fn errors_of(checks: impl IntoIterator<Item = Check>) -> impl Iterator<Item = ConfigError> {
    let failed = checks.into_iter().filter(|check| !check.holds);
    failed.map(|check| ConfigError {
        field: check.field,
        expected: check.expected,
    })
}

fn is_part(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}
