//! Every decision of the proxy. Its whole interface (events, actions, settings) is `src/interface/`;
//! what it remembers of backends, kinds, classes and requests is in `state.rs` and `endpoints.rs` beside it.
//!
//! Ordinary path: `solve` turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble.

mod admission;
mod attempts;
mod class_stats;
mod concurrency_limit;
mod deadline;
pub mod discovery_polling;
mod dispatch_queue;
mod endpoint_updates;
mod endpoints;
mod learned_state;
mod locality;
mod outlier_detection;
mod peer_verdicts;
mod quota;
mod reconfiguration;
mod requests;
mod retry;
mod selection;
mod slow_start;
mod state;
mod subset;
mod traffic_split;
mod zone_failover;

use crate::interface::{
    Action, AttemptEnd, AttemptNumber, Backend, BackendId, ClassId, ClassSuccessor, Config,
    ConfigError, Discovery, EndpointUpdate, Event, Idempotency, KeyScope, KindId, LearnedState,
    Micros, Outcome, PeerVerdict, RegionId, RequestArrival, RequestClass, RequestId, Tenant, Time,
    TimerToken, ValidatedConfig, Verdict, ZoneId,
};
use admission::{LOW, PART_MEMORY};
use class_stats::ClassState;
use concurrency_limit::HOLD;
use deadline::SILENT_AFTER;
use discovery_polling::Ask;
use endpoints::{ClassGroup, EndpointLoad, EndpointTable};
use locality::spill;
use outlier_detection::EJECT_TERM;
use quota::TenantQuotas;
use requests::{Attempt, PendingRequest};
use retry::RETRY_RATIO;
use selection::{crowding, fits, weight};
use slow_start::{from_cold, warmth};
use state::{EndpointRecord, EventRate, HardwareClass, RandomSource, RunningMean, ZoneHealth};
use std::collections::BTreeMap;
use subset::coin;
pub use traffic_split::halb_shares;

/// ... but not before so many requests have come, and a quota holds as many: fewer are chance alone.
const FEW: f64 = 5.0;
/// Memory of the arrival rate, of a tenant's quota and, where a proxy alone has no room to count, of what it
/// holds, s: short beside a ramp or a failure.
const RATE_MEMORY: f64 = 2.0;
/// Samples in a kind's or class's mean: its error is then about a tenth of the spread.
const KIND_SAMPLES: f64 = 100.0;
/// Samples in the mean that a hold follows.
const QUICK_SAMPLES: f64 = 30.0;

/// The decisions of one proxy. Give it every event in order; it answers with actions.
pub struct Balancer {
    cfg: ValidatedConfig,
    dice: RandomSource,
    backends: EndpointTable,
    kinds: BTreeMap<KindId, HardwareClass>,
    zones: BTreeMap<ZoneId, ZoneHealth>,
    classes: Vec<ClassState>,
    /// Classes in use that are free to repeat.
    free: usize,
    /// Classes in use whose usual answer is not well inside its aim.
    tight: usize,
    overall: RunningMean,
    /// The part of all answers and breaks that were errors or breaks.
    errors: RunningMean,
    buckets: TenantQuotas,
    requests: BTreeMap<RequestId, PendingRequest>,
    held: Vec<RequestId>,
    /// First tries worth less than this have found no room since the last event that could make some.
    blocked: f64,
    attempts: BTreeMap<(RequestId, AttemptNumber), (BackendId, usize, Time)>,
    rate: EventRate,
    /// First tries that came: clients' repeats swell in a crowd, what the front sends here does not.
    firsts: EventRate,
    /// Seconds that this proxy's attempts were out, for each second: its own part of all that is held.
    crowd: EventRate,
    extra: f64,
    solve_at: Time,
    solved_at: Time,
    /// When time alone may next call for something, and the timer set for that.
    look_at: Time,
    timer: (u64, Time),
    ask: Ask,
    /// Processes that are this proxy, and that were until then: what one more had sent still weighs.
    beside: (u32, u32, Time),
    log_at: Time,
    /// When its first event came.
    born: Option<Time>,
    actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration.
    pub fn new(cfg: Config, seed: u64) -> Result<Balancer, ConfigError> {
        cfg.validated()
            .map(|cfg| Balancer::from_validated(cfg, seed))
    }

    /// The same with one that was checked before.
    pub fn from_validated(cfg: ValidatedConfig, seed: u64) -> Balancer {
        let mut balancer = Balancer {
            dice: RandomSource::new(seed),
            backends: EndpointTable::default(),
            kinds: BTreeMap::new(),
            zones: BTreeMap::new(),
            classes: cfg
                .classes
                .iter()
                .map(|_| ClassState {
                    live: true,
                    ..Default::default()
                })
                .collect(),
            free: 0,
            tight: 0,
            overall: RunningMean::default(),
            errors: RunningMean::default(),
            buckets: TenantQuotas::new(RATE_MEMORY, FEW),
            requests: BTreeMap::new(),
            held: Vec::new(),
            blocked: 0.0,
            attempts: BTreeMap::new(),
            rate: EventRate::new(RATE_MEMORY),
            firsts: EventRate::new(PART_MEMORY),
            crowd: EventRate::new(RATE_MEMORY),
            extra: 0.0,
            solve_at: Time(0),
            solved_at: Time(0),
            look_at: Time(0),
            timer: (0, Time(u64::MAX)),
            ask: Ask::new(cfg.discovery != Discovery::Push),
            beside: (1, 1, Time(0)),
            log_at: Time(0),
            born: None,
            actions: Vec::new(),
            cfg,
        };
        balancer.sum_up();
        balancer
    }

    /// Takes one event that happened at `now` and adds the actions it calls for.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.born.get_or_insert(now);
        if !matches!(event, Event::RequestArrived(_) | Event::TimerFired { .. }) {
            self.blocked = 0.0; // those two make no room, and trying a long line in vain costs too much CPU
        }
        // What is out on backends that drain, are gone or out of use crowds none of the others.
        self.crowd
            .pass(now, self.backends.in_flight(now, &self.cfg));
        if now >= self.solve_at
            && (matches!(event, Event::RequestArrived(_)) || !self.held.is_empty())
        {
            self.solve(now); // never for an idle proxy: a thousand of them would cost all the CPU there is
        }
        match event {
            Event::EndpointsUpdated { update, backends } => self.members(now, update, backends),
            Event::RequestArrived(arrival) => self.request(now, arrival),
            Event::ResponseStarted { request, attempt } => {
                self.stream_started(now, request, attempt);
            }
            Event::UploadStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    (r.uploading, r.most) = (true, r.sent.len());
                }
                // Until it is whole the backend owes nothing, however long that takes.
                self.attempts
                    .get_mut(&(request, attempt))
                    .into_iter()
                    .for_each(|a| a.2 = Time(u64::MAX));
            }
            Event::UploadFinished {
                request,
                attempt,
                time_left,
            } => {
                self.attempts
                    .get_mut(&(request, attempt))
                    .into_iter()
                    .for_each(|a| a.2 = now);
                if let Some(r) = self.requests.get_mut(&request) {
                    let aim = self.cfg.classes[r.class].latency_objective.min(time_left);
                    (r.uploading, r.came, r.aim, r.deadline) =
                        (false, now, now + aim, now + time_left);
                }
                self.look_at = now;
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::ClientDisconnected { request } => self.close(request),
            Event::BackendDisabled { backend } => {
                self.backends.disable(backend);
                self.solve_at = now;
            }
            Event::BackendEnabled { backend, since } => {
                self.backends.enable(backend, since);
                self.solve_at = now;
            }
            Event::ProcessCountChanged { processes } => {
                self.beside = (
                    processes.max(1),
                    self.beside.0,
                    now + self.cfg.overload_window,
                );
            }
            Event::ConfigChanged {
                config,
                retired,
                reinstated,
                successors,
            } => {
                self.settings(
                    now,
                    *config,
                    [(&retired, false), (&reinstated, true)],
                    &successors,
                );
            }
            Event::StateRestored { state: memory, age } => self.recall(now, *memory, age),
            Event::VerdictReceived(word) => self.heard(now, &word),
            Event::TimerFired { token } if token != TimerToken(self.timer.0) => return,
            Event::TimerFired { .. } => self.timer.1 = Time(u64::MAX),
        }
        if now >= self.look_at {
            self.look_after(now);
        }
        self.pump(now);
        if !self.held.is_empty() {
            self.look_at = self.look_at.min(now + self.cfg.timer_resolution);
        }
        if self.look_at < self.timer.1 {
            self.timer = (self.timer.0 + 1, self.look_at);
            let after = (self.look_at - now).max(self.cfg.timer_resolution);
            self.actions.push(Action::SetTimer {
                token: TimerToken(self.timer.0),
                after,
            });
        }
        actions.append(&mut self.actions);
        debug_assert!(
            self.backends.len() > 200 || self.backends.is_consistent(),
            "what is kept of the backends went astray"
        );
        debug_assert_eq!(
            (self.free, self.tight),
            self.sums(&self.numbers()),
            "sums of classes went astray"
        );
    }

    /// Whether it remembers anything of the backend.
    pub fn knows(&self, backend: BackendId) -> bool {
        self.backends.position(backend).is_some()
    }

    /// The hold of each kind: requests that all proxies together keep on one of its backends.
    pub fn concurrency_limits(&self) -> impl Iterator<Item = (KindId, f64)> + '_ {
        self.kinds.iter().map(|(id, k)| (*id, k.concurrency_limit))
    }

    /// The part of its capacity that each backend is good for: 0 where it drains, is out by hand or ejected.
    pub fn readiness(&self, now: Time) -> impl Iterator<Item = (BackendId, f64)> + '_ {
        let usable =
            |p: &EndpointRecord| self.backends.is_available(p) && p.ejected_until.is_none();
        let part = move |p: &EndpointRecord| {
            if usable(p) {
                warmth(&self.cfg, now, p)
            } else {
                0.0
            }
        };
        self.backends.records().map(move |(id, p)| (id, part(p)))
    }

    /// A line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }
}
