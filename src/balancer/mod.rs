//! The balancer of one proxy: a state machine that turns events into actions. Its types are in `src/interface/`.
//!
//! [`Balancer::handle`] solves the traffic split if that is due, and applies the event. It then runs the time-based
//! checks that are due and dispatches waiting requests. The event of a timer that was replaced by a later one has no
//! further effect. Each of the modules below implements one mechanism.
//!
//! A request is admitted (`admission`), waits in the `dispatch_queue` and is sent to a backend that `selection` picks
//! at random by the shares of the `traffic_split` (HALB). The outcome updates the estimates (`attempts`,
//! `outlier_detection`). The other modules handle faults and overload.

mod admission;
mod attempts;
mod classes;
mod concurrency_limit;
mod deadline;
pub mod discovery_polling;
mod dispatch_queue;
mod endpoint_updates;
mod endpoints;
mod estimators;
mod final_answers;
mod fleet_load;
pub mod graceful_shutdown;
mod hardware_class;
mod hedging;
mod hot_restart;
mod learned_state;
mod load_shedding;
mod locality;
mod log_limiter;
mod objective;
mod outlier_detection;
mod peer_verdicts;
mod quota;
mod random;
mod reconfiguration;
mod requests;
mod retry;
mod schedule;
mod selection;
mod silence_detection;
mod slow_start;
mod subset;
mod traffic_split;
mod zone_failover;

use crate::interface::{
    Action, BackendId, Config, ConfigError, Event, HardwareClassId, Micros, Time, ValidatedConfig,
    ZoneId,
};
use classes::ClassTable;
use discovery_polling::DiscoveryPolling;
use dispatch_queue::DispatchQueue;
use endpoints::{EndpointRecord, EndpointTable};
use estimators::{EventRate, RunningMean};
use fleet_load::FleetLoadEstimator;
use hardware_class::HardwareClass;
use hot_restart::ProcessCount;
use log_limiter::LogLimiter;
use quota::TenantQuotas;
use random::RandomSource;
use reconfiguration::ConfigChange;
use requests::{AttemptKey, RequestTable};
use retry::RetryBudget;
use schedule::{CheckSchedule, SplitSchedule};
use slow_start::SlowStart;
use std::collections::BTreeMap;
pub use traffic_split::{halb_shares, HardwareClassCapacity};
use zone_failover::ZoneHealth;

/// Time constant of the arrival rate, in seconds. It is short compared with a ramp or a failure.
const ARRIVAL_RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Longest interval between two runs of the time-based checks.
const IDLE_CHECK_INTERVAL: Micros = Micros(5_000_000);
/// Number of backends above which the debug check of the endpoint table is skipped because it takes too long.
const MAX_BACKENDS_IN_DEBUG_CHECK: usize = 200;

/// The load balancer of one proxy. It must be given every event in order, and returns the resulting actions.
pub struct Balancer {
    config: ValidatedConfig,
    random: RandomSource,
    backends: EndpointTable,
    hardware_classes: BTreeMap<HardwareClassId, HardwareClass>,
    zones: BTreeMap<ZoneId, ZoneHealth>,
    classes: ClassTable,
    /// Fraction of errors and broken connections among all responses and broken connections.
    error_share: RunningMean,
    /// Rate of requests that arrive at this proxy, including client retries.
    arrivals: EventRate,
    fleet_load_estimator: FleetLoadEstimator,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    requests: RequestTable,
    dispatch_queue: DispatchQueue,
    split: SplitSchedule,
    schedule: CheckSchedule,
    polling: DiscoveryPolling,
    processes: ProcessCount,
    first_event_at: Option<Time>,
    log_limiter: LogLimiter,
    /// Actions that result from the current event.
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer without any learned state. `seed` initializes its random number generator.
    pub fn new(config: Config, seed: u64) -> Result<Balancer, ConfigError> {
        let config = config.validated()?;
        Ok(Balancer::from_validated(config, seed))
    }

    /// Creates a balancer from a configuration that is already validated.
    pub fn from_validated(config: ValidatedConfig, seed: u64) -> Balancer {
        Balancer {
            random: RandomSource::new(seed),
            backends: EndpointTable::default(),
            hardware_classes: BTreeMap::new(),
            zones: BTreeMap::new(),
            classes: ClassTable::new(&config.classes),
            error_share: RunningMean::default(),
            arrivals: EventRate::new(ARRIVAL_RATE_TIME_CONSTANT_S),
            fleet_load_estimator: FleetLoadEstimator::new(),
            quotas: TenantQuotas::default(),
            retry_budget: RetryBudget::default(),
            requests: RequestTable::default(),
            dispatch_queue: DispatchQueue::default(),
            split: SplitSchedule::default(),
            schedule: CheckSchedule::new(),
            polling: DiscoveryPolling::new(config.discovery),
            processes: ProcessCount::new(),
            first_event_at: None,
            log_limiter: LogLimiter::default(),
            actions: Vec::new(),
            config,
        }
    }

    /// Processes one event that happened at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.first_event_at.get_or_insert(now);
        if may_free_capacity(&event) {
            self.dispatch_queue.unblock();
        }
        let in_flight = self.backends.in_flight(now, &self.config);
        self.fleet_load_estimator.record_in_flight(now, in_flight);
        let has_work = matches!(event, Event::RequestArrived(_)) || !self.dispatch_queue.is_empty();
        if has_work && now >= self.split.due_at {
            self.solve_traffic_split(now);
        }
        if let Event::TimerFired { token } = event {
            if !self.schedule.timer_fired(token) {
                return;
            }
        }
        self.apply(now, event);
        if self.schedule.is_due(now) {
            self.run_checks(now);
        }
        self.dispatch_waiting(now);
        self.set_timer(now);
        actions.append(&mut self.actions);
        self.debug_check();
    }

    /// Returns whether the balancer still holds state about the backend.
    pub fn contains_backend(&self, backend: BackendId) -> bool {
        self.backends.position(backend).is_some()
    }

    /// Returns the concurrency limit of each hardware class: the maximum number of requests that all proxies together
    /// keep in flight at one of its backends.
    pub fn concurrency_limits(&self) -> impl Iterator<Item = (HardwareClassId, f64)> + '_ {
        self.hardware_classes
            .iter()
            .map(|(id, hardware_class)| (*id, hardware_class.concurrency_limit.get()))
    }

    /// Returns the fraction of its capacity that each backend has in its slow start: 0 if it is draining, disabled or
    /// ejected. Zone failover, the error share, silence, pauses after overload and panic mode are not included.
    pub fn slow_start_readiness(&self, now: Time) -> impl Iterator<Item = (BackendId, f64)> + '_ {
        let slow_start = SlowStart::new(&self.config);
        let readiness = move |record: &EndpointRecord| {
            let usable = self.backends.is_available(record) && !record.is_ejected();
            if usable {
                slow_start.readiness(now, record.slow_start_began_at())
            } else {
                0.0
            }
        };
        self.backends
            .records()
            .map(move |(id, record)| (id, readiness(record)))
    }

    /// Applies the event to the mechanisms that it concerns.
    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated { update, backends } => {
                self.endpoints_updated(now, update, backends);
            }
            Event::RequestArrived(arrival) => self.admit(now, &arrival),
            Event::ResponseStarted { request, attempt } => {
                self.response_started(now, AttemptKey { request, attempt });
            }
            Event::UploadStarted { request, attempt } => {
                self.requests
                    .upload_started(AttemptKey { request, attempt });
            }
            Event::UploadFinished {
                request,
                attempt,
                time_left,
            } => self.upload_finished(now, AttemptKey { request, attempt }, time_left),
            Event::AttemptEnded(end) => self.attempt_ended(now, &end),
            Event::ClientDisconnected { request } => self.close(request),
            Event::BackendDisabled { backend } => {
                self.backends.disable(backend);
                self.split.due_at = now;
            }
            Event::BackendEnabled { backend, since } => {
                self.backends.enable(backend, since);
                self.split.due_at = now;
            }
            Event::ProcessCountChanged { processes } => {
                self.processes
                    .change(now, processes, self.config.overload_window);
            }
            Event::ConfigChanged {
                config,
                retired,
                reinstated,
                successors,
            } => {
                let change = ConfigChange {
                    config: *config,
                    retired,
                    reinstated,
                    successors,
                };
                self.reconfigure(now, change);
            }
            Event::StateRestored { state, age } => self.restore_learned_state(now, *state, age),
            Event::VerdictReceived(verdict) => self.apply_peer_verdict(now, &verdict),
            Event::TimerFired { .. } => {}
        }
    }

    /// Runs the time-based checks: discovery polls, silent backends, requests to hedge and requests to give up.
    fn run_checks(&mut self, now: Time) {
        self.poll_discovery(now);
        let next_silence_at = self.detect_silence(now);
        let due = self.due_requests(now);
        let idle_check_at = now + IDLE_CHECK_INTERVAL;
        let next = [self.polling.next_at(), next_silence_at, due.next_give_up_at];
        let next_at = next.into_iter().flatten().fold(idle_check_at, Time::min);
        self.schedule
            .check_at(next_at.max(now + self.config.timer_resolution));
        for id in due.to_hedge {
            self.hedge(now, id);
        }
        for id in due.expired {
            self.give_up(id);
        }
    }

    /// Sets the timer for the next check, which is one timer resolution away while requests wait for capacity.
    fn set_timer(&mut self, now: Time) {
        let resolution = self.config.timer_resolution;
        if !self.dispatch_queue.is_empty() {
            self.schedule.check_by(now + resolution);
        }
        let timer = self.schedule.set_timer(now, resolution);
        self.actions.extend(timer);
    }

    /// Logs a line for operators, unless the rate limit suppresses it.
    fn log(&mut self, now: Time, text: String) {
        if self.log_limiter.try_log(now) {
            self.actions.push(Action::Log(text));
        }
    }

    fn debug_check(&self) {
        debug_assert!(
            self.backends.len() > MAX_BACKENDS_IN_DEBUG_CHECK || self.backends.is_consistent(),
            "the derived values of the endpoint table disagree with its records"
        );
        debug_assert!(
            self.classes.is_consistent(&self.config.classes),
            "the class counts disagree with the class table"
        );
    }
}

/// Whether the event may free capacity for waiting requests. Retrying all of them without effect takes much CPU time.
fn may_free_capacity(event: &Event) -> bool {
    !matches!(event, Event::RequestArrived(_) | Event::TimerFired { .. })
}
