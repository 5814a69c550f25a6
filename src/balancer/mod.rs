//! Every decision of the proxy. Its whole interface (events, actions, settings) is `src/interface.rs`;
//! what it remembers of backends, kinds, classes and requests is in `state.rs` and `endpoints.rs` beside it.
//!
//! Ordinary path: `solve` turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble.

pub mod discovery_polling;
mod endpoints;
mod state;

use crate::interface::*;
use discovery_polling::Ask;
use endpoints::{Backends, Group, Load};
use state::*;
use std::collections::BTreeMap;

/// The shares are solved this often, s: far faster than the rate's memory.
const SOLVE_EVERY: f64 = 0.1;
/// ... but not before so many requests have come, and a quota holds as many: fewer are chance alone.
const FEW: f64 = 5.0;
/// What a proxy holds tells it nothing of the others before it has watched for so long, s.
const CROWD_KNOWN: f64 = 0.25;
/// An idle proxy looks about so often, s.
const IDLE_LOOK: f64 = 5.0;
/// Memory of the arrival rate, of a tenant's quota and, where a proxy alone has no room to count, of what it
/// holds, s: short beside a ramp or a failure.
const RATE_MEMORY: f64 = 2.0;
/// Memory of this proxy's part of all traffic, s: the front moves it slowly, and a crowd comes faster.
const PART_MEMORY: f64 = 10.0;
/// The whole fleet may get so many times its usual traffic for a while: so much is no proxy's own part.
const BURST: f64 = 1.5;
/// Samples in a kind's or class's mean: its error is then about a tenth of the spread.
const KIND_SAMPLES: f64 = 100.0;
/// Proxies that share a backend, where there are more: each keeps connections to a slice of the fleet
/// only, as a backend takes few and each costs it. The load of so many still evens out, to a fifth of one's.
const SHARED_BY: f64 = 20.0;
/// Requests that all proxies together hold on one backend at least: a single shared processor at four
/// fifths of its capacity holds four on average. How many cores a kind has nobody tells: `learn_holds` does.
const HOLD: f64 = 4.0;
/// A kind's hold grows while its answers take less than this multiple of what they take uncrowded: while
/// cores are idle one more makes none later, from then on each adds its wait.
const CROWDED: f64 = 1.4;
/// The furthest from that target that one look at the latency counts, either way.
const OFF_MOST: f64 = 0.25;
/// How fast a hold first moves, a second; after n seconds of learning 1 + n times slower, as a machine's
/// cores do not come and go while its speed may.
const HOLD_PACE: f64 = 5.0;
/// Samples in the mean that a hold follows.
const QUICK_SAMPLES: f64 = 30.0;
/// How fast the uncrowded latency is forgotten, a second.
const FORGET: f64 = 0.005;
/// Error share from which a backend is ejected: two errors close together reach it where errors are rare.
const ERROR_LIMIT: f64 = 0.3;
/// ... and by how many times the whole fleet's share a backend's must stand out beyond that: where every
/// connection may break, two breaks close together are chance, and no backend is better than another.
const STAND_OUT: f64 = 3.0;
/// Weight of the newest outcome in a backend's error share.
const ERROR_STEP: f64 = 0.2;
/// An unanswered attempt this many times older than usual, with no later answer, marks silence.
const SILENT_AFTER: f64 = 6.0;
/// A backend that answered within so many times the usual latency is alive, whatever one connection did.
const ALIVE: f64 = 2.0;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
const EJECT_TERM: f64 = 1.0;
/// Good trials before an ejected backend is trusted again.
const TRIALS: u32 = 3;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
const PANIC: f64 = 0.5;
/// Part of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
const FALL_MARGIN: f64 = 0.8;
/// Extra attempts for each request: the usual tenth, doubled for the time until a failure is seen.
const RETRY_RATIO: f64 = 0.2;
/// A class whose usual answer takes this many times less than its aim has time to spare.
const WELL_INSIDE: f64 = 2.0;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
const LOW: f64 = 0.5;
/// A zone is left once its share has been out for so long, s: a silence that ends sooner was a hiccup.
const LEAVE_AFTER: f64 = EJECT_TERM / 2.0;
/// Proxies whose word takes a backend out here: one may be on a broken link of its own, two rarely are.
const WORDS: u32 = 2;
/// Seconds in which a recalled memory loses half its weight: a minute is some hundred answers per kind.
const RECALL_HALF_LIFE: f64 = 60.0;

/// HALB: the clamped M/G/1/PS optimum. For kinds of (ready count, speed of one backend) and the arrival
/// rate, the part of the traffic for each kind; all zero when nothing is ready.
pub fn halb_shares(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let split = |on: &dyn Fn(&(f64, f64)) -> bool| -> Vec<f64> {
        let total: f64 = kinds.iter().filter(|k| on(k)).map(|k| k.0).sum();
        kinds
            .iter()
            .map(|k| {
                if on(k) && total > 0.0 {
                    k.0 / total
                } else {
                    0.0
                }
            })
            .collect()
    };
    let Some(rate) = rate else {
        return split(&|_| true);
    }; // no rate yet: by ready counts
    let mut live = kinds.to_vec();
    loop {
        let (roots, speeds) = live
            .iter()
            .fold((0.0, 0.0), |s, k| (s.0 + k.0 * k.1.sqrt(), s.1 + k.0 * k.1));
        if rate <= speeds * 1e-6 || speeds <= 0.0 {
            let best = live
                .iter()
                .filter(|k| k.0 > 0.0)
                .map(|k| k.1)
                .fold(0.0, f64::max);
            return split(&|k| k.1 == best); // the limit: the fastest kind takes all
        }
        let flow = |k: &(f64, f64)| k.0 * k.1 - k.0 * k.1.sqrt() * (speeds - rate) / roots;
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|f| *f >= 0.0) {
            return flows.iter().map(|f| f / rate).collect();
        }
        live.iter_mut()
            .zip(&flows)
            .filter(|(_, f)| **f <= 0.0)
            .for_each(|(k, _)| k.0 = 0.0);
    }
}

/// The part of a proxy's traffic for each zone, of what each zone is due of all (sum 1). Every zone brings as
/// much and keeps what it is due; its surplus goes to those due more, by their room, first inside its region,
/// then to the room that other regions have left over. So all rooms are used exactly, and none beyond.
fn spill(
    due: &BTreeMap<ZoneId, f64>,
    own: ZoneId,
    regions: &BTreeMap<ZoneId, RegionId>,
) -> BTreeMap<ZoneId, f64> {
    let zones = due.len() as f64;
    let region = |zone: &ZoneId| regions.get(zone).copied().unwrap_or_default();
    let over = |d: f64| (d * zones - 1.0).max(0.0);
    // By region: what its zones have too much of, and how much room; the lesser of both stays inside.
    let mut sums: BTreeMap<RegionId, (f64, f64)> = BTreeMap::new();
    for (zone, d) in due {
        let sum = sums.entry(region(zone)).or_default();
        *sum = (sum.0 + (1.0 - d * zones).max(0.0), sum.1 + over(*d));
    }
    let part = |of: f64, all: f64| if all > 0.0 { (of / all).min(1.0) } else { 0.0 };
    let home = region(&own);
    let kept = sums
        .get(&home)
        .map_or(0.0, |(surplus, room)| part(*room, *surplus));
    let outside: f64 = sums
        .iter()
        .filter(|s| *s.0 != home)
        .map(|(_, (s, r))| (r - s).max(0.0))
        .sum();
    let surplus = (1.0 - due.get(&own).copied().unwrap_or(0.0) * zones).max(0.0);
    let pull = |(zone, d): (&ZoneId, &f64)| {
        let (to, (short, room)) = (
            region(zone),
            sums.get(&region(zone)).copied().unwrap_or_default(),
        );
        let share = match (*zone == own, to == home) {
            (true, _) => (d * zones).min(1.0),
            (_, true) => surplus * kept * part(over(*d), room),
            _ => {
                surplus
                    * (1.0 - kept)
                    * part((room - short).max(0.0), outside)
                    * part(over(*d), room)
            }
        };
        (*zone, share)
    };
    due.iter().map(pull).collect()
}

/// The part of its capacity that a backend has at least.
fn warmth(cfg: &Config, now: Time, p: &Record) -> f64 {
    let age = p.entry.started_at.max(p.back).map_or(f64::MAX, |boot| {
        (now - boot).as_secs_f64() / cfg.slow_start.as_secs_f64().max(1e-6)
    });
    from_cold(cfg, age)
}

/// Readiness after `part` of a ramp: from `cold_from` at its start to 1 at its end and after.
fn from_cold(cfg: &Config, part: f64) -> f64 {
    cfg.slow_start_min_readiness + (1.0 - cfg.slow_start_min_readiness) * part.min(1.0)
}

/// A backend's place in the turns that the proxies take where a part is less than one: evenly from 0 to 1.
pub(crate) fn coin(mark: u64, position: u32, proxies: u32) -> f64 {
    let turn = mark.wrapping_add(u64::from(position));
    ((turn % u64::from(proxies)) as f64 + 0.5) / f64::from(proxies)
}

/// Whether it may hold one more, of half of its room or all.
pub(crate) fn fits(l: &Load, half: bool) -> bool {
    let room = if half { (l.room / 2.0).ceil() } else { l.room };
    l.offered && !l.silent && l.ready > 0.0 && f64::from(l.out) < room
}

/// What a backend weighs in a draw: its slice, and for the rest a last resort.
pub(crate) fn weight(slice: f64, pull: f64) -> f64 {
    slice + pull * 1e-6
}

/// The attempts on it that crowd the others: what is out where it is in use.
pub(crate) fn crowding(l: &Load) -> u32 {
    if l.ready > 0.0 && !l.silent {
        l.out
    } else {
        0
    }
}

/// The decisions of one proxy. Give it every event in order; it answers with actions.
pub struct Balancer {
    cfg: ValidatedConfig,
    dice: Dice,
    backends: Backends,
    kinds: BTreeMap<KindId, Kind>,
    zones: BTreeMap<ZoneId, Zone>,
    classes: Vec<ClassState>,
    /// Classes in use that are free to repeat.
    free: usize,
    /// Classes in use whose usual answer is not well inside its aim.
    tight: usize,
    overall: Mean,
    /// The part of all answers and breaks that were errors or breaks.
    errors: Mean,
    buckets: Buckets,
    requests: BTreeMap<RequestId, Request>,
    held: Vec<RequestId>,
    /// First tries worth less than this have found no room since the last event that could make some.
    blocked: f64,
    attempts: BTreeMap<(RequestId, AttemptNumber), (BackendId, usize, Time)>,
    rate: Rate,
    /// First tries that came: clients' repeats swell in a crowd, what the front sends here does not.
    firsts: Rate,
    /// Seconds that this proxy's attempts were out, for each second: its own part of all that is held.
    crowd: Rate,
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
            dice: Dice::new(seed),
            backends: Backends::default(),
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
            overall: Mean::default(),
            errors: Mean::default(),
            buckets: Buckets::new(RATE_MEMORY, FEW),
            requests: BTreeMap::new(),
            held: Vec::new(),
            blocked: 0.0,
            attempts: BTreeMap::new(),
            rate: Rate::new(RATE_MEMORY),
            firsts: Rate::new(PART_MEMORY),
            crowd: Rate::new(RATE_MEMORY),
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
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.born.get_or_insert(now);
        if !matches!(event, Event::RequestArrived(_) | Event::TimerFired { .. }) {
            self.blocked = 0.0; // those two make no room, and trying a long line in vain costs too much CPU
        }
        // What is out on backends that drain, are gone or out of use crowds none of the others.
        self.crowd.pass(now, self.backends.in_use(now, &self.cfg));
        if now >= self.solve_at
            && (matches!(event, Event::RequestArrived(_)) || !self.held.is_empty())
        {
            self.solve(now); // never for an idle proxy: a thousand of them would cost all the CPU there is
        }
        match event {
            Event::EndpointsUpdated { update, backends } => self.members(now, update, backends),
            Event::RequestArrived(arrival) => self.request(now, arrival),
            Event::ResponseStarted { request, attempt } => {
                self.stream_started(now, request, attempt)
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
                self.backends.withdraw(backend);
                self.solve_at = now;
            }
            Event::BackendEnabled { backend, since } => {
                self.backends.restore(backend, since);
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
            self.backends.len() > 200 || self.backends.sound(),
            "what is kept of the backends went astray"
        );
        debug_assert_eq!(
            (self.free, self.tight),
            self.sums(&self.numbers()),
            "sums of classes went astray"
        );
    }

    /// What was learned and outlives a second, for a later process of this proxy (see [`Memory`]).
    pub fn learned_state(&self, now: Time) -> LearnedState {
        let live = self
            .classes
            .iter()
            .enumerate()
            .filter(|(_, c)| c.live && c.latency.count > 0.0);
        let backends = self.backends.records().map(|(id, p)| (id, p.memory(now)));
        LearnedState {
            kinds: self.kinds.iter().map(|(id, k)| (*id, k.memory())).collect(),
            classes: live
                .map(|(n, c)| (ClassId(n), c.latency.sampled()))
                .collect(),
            overall_latency: self.overall.sampled(),
            backends: backends.filter(|(_, m)| *m != Default::default()).collect(),
        }
    }

    /// Whether it remembers anything of the backend.
    pub fn knows(&self, backend: BackendId) -> bool {
        self.backends.find(backend).is_some()
    }

    /// The hold of each kind: requests that all proxies together keep on one of its backends.
    pub fn concurrency_limits(&self) -> impl Iterator<Item = (KindId, f64)> + '_ {
        self.kinds.iter().map(|(id, k)| (*id, k.hold))
    }

    /// The part of its capacity that each backend is good for: 0 where it drains, is out by hand or ejected.
    pub fn readiness(&self, now: Time) -> impl Iterator<Item = (BackendId, f64)> + '_ {
        let usable = |p: &Record| self.backends.offered(p) && p.ejected.is_none();
        let part = move |p: &Record| {
            if usable(p) {
                warmth(&self.cfg, now, p)
            } else {
                0.0
            }
        };
        self.backends.records().map(move |(id, p)| (id, part(p)))
    }

    /// Takes a memory `age` old: its samples weigh less the older it is, so that new answers soon outweigh
    /// it; what the list no longer names is dropped.
    fn recall(&mut self, now: Time, memory: LearnedState, age: Micros) {
        let weight = 0.5f64.powf(age.as_secs_f64() / RECALL_HALF_LIFE);
        for (id, m) in memory
            .kinds
            .into_iter()
            .filter(|(id, _)| self.backends.group(*id).is_some())
        {
            // Beside the process that learned it, which goes on holding as much, a hold would count twice.
            self.kinds
                .entry(id)
                .or_default()
                .recall(&m, weight, self.beside.0 == 1);
        }
        // A class's work is its latency over the overall one: the two come together or not at all.
        let overall = Mean::recalled(memory.overall_latency, weight);
        if overall.count > 0.0 {
            self.overall = overall;
            for (id, s) in memory.classes {
                self.classes
                    .get_mut(id.0)
                    .into_iter()
                    .for_each(|c| c.latency = Mean::recalled(s, weight));
            }
        }
        for (id, m) in memory.backends {
            self.backends
                .get_mut(id)
                .into_iter()
                .for_each(|p| p.recall(&m, now, age));
        }
        self.sum_up();
        (self.solve_at, self.look_at) = (now, now);
        self.log(
            now,
            format!(
                "recalled a memory {:.1} s old at weight {weight:.2}",
                age.as_secs_f64()
            ),
        );
    }

    fn members(&mut self, now: Time, update: EndpointUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // Asked for again, later each time and not in step with others: discovery serves all in turn, and
            // calls that come faster than it can answer make each other fail.
            (
                EndpointUpdate::Failed,
                Discovery::Poll {
                    staleness_limit: within,
                },
            ) => {
                self.ask
                    .failed(now, self.cfg.proxy_count, within, self.dice.unit());
                self.log(now, "discovery lost, asking again".into());
            }
            (EndpointUpdate::Incremental | EndpointUpdate::Full, _) => self.ask.answered(),
            _ => {}
        }
        // What a cold one was sent weighs still if it is back within the fall window.
        let (cfg, window) = (&self.cfg, self.cfg.overload_window);
        let recent = |p: &Record| p.spent.last().is_some_and(|s| now - s.0 < window);
        let kept = |p: &Record| p.out > 0 || recent(p) && warmth(cfg, now, p) < 1.0;
        self.backends.take(
            matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached),
            list,
            kept,
        );
        (self.solve_at, self.look_at) = (now, now);
    }

    /// Classes and tenants keep their numbers, so that all that is open and learned goes on. The host sees to
    /// that; a configuration that forgets a number all the same changes nothing.
    fn settings(
        &mut self,
        now: Time,
        cfg: ValidatedConfig,
        turned: [(&Vec<ClassId>, bool); 2],
        successors: &[ClassSuccessor],
    ) {
        let (classes, tenants) = (cfg.classes.len(), cfg.tenants.len());
        if classes < self.classes.len() || tenants < self.cfg.tenants.len() {
            return self.log(now, "settings not taken".into());
        }
        // A class in use keeps its rules under its number: only those that come or go change the sums.
        let come_or_go = turned.iter().flat_map(|(ids, _)| ids.iter().map(|id| id.0));
        let new = self.classes.len()..classes;
        let mut touched: Vec<usize> = come_or_go.filter(|n| *n < classes).chain(new).collect();
        touched.sort_unstable();
        touched.dedup();
        let (free, tight) = self.sums(&touched);
        (self.free, self.tight) = (self.free - free, self.tight - tight);
        self.classes.resize_with(classes, || ClassState {
            live: true,
            ..Default::default()
        });
        for successor in successors {
            let latency = self.classes.get(successor.predecessor.0).map(|s| s.latency);
            self.classes
                .get_mut(successor.class.0)
                .zip(latency)
                .into_iter()
                .for_each(|(s, latency)| s.latency = latency);
        }
        for (id, live) in turned
            .into_iter()
            .flat_map(|(ids, live)| ids.iter().map(move |id| (id, live)))
        {
            self.classes
                .get_mut(id.0)
                .into_iter()
                .for_each(|s| s.live = live);
        }
        if (cfg.slow_start, cfg.overload_window) != (self.cfg.slow_start, self.cfg.overload_window)
        {
            self.backends.retune();
        }
        (self.cfg, self.solve_at, self.look_at) = (cfg, now, now);
        let (free, tight) = self.sums(&touched);
        (self.free, self.tight) = (self.free + free, self.tight + tight);
    }

    /// How many of these classes, as far as in use, may be repeated at will, and how many are tight: kept of
    /// all together, so that no request has to go through them.
    fn sums<'a>(&self, classes: impl IntoIterator<Item = &'a usize>) -> (usize, usize) {
        let live = classes
            .into_iter()
            .filter(|n| self.classes.get(**n).is_some_and(|s| s.live));
        live.fold((0, 0), |(free, tight), n| {
            let repeats = self.cfg.classes[*n].idempotency == Idempotency::Idempotent;
            // One that never had an answer is taken for quick.
            let late = self.classes[*n].latency.count > 0.0 && !self.quick(*n);
            (free + usize::from(repeats), tight + usize::from(late))
        })
    }

    /// The same of all.
    fn sum_up(&mut self) {
        (self.free, self.tight) = self.sums(&self.numbers());
    }

    fn numbers(&self) -> Vec<usize> {
        (0..self.classes.len()).collect()
    }

    fn request(&mut self, now: Time, new: RequestArrival) {
        let Some(c) = self.cfg.classes.get(new.class.0) else {
            return;
        };
        if self.requests.contains_key(&new.request) {
            return;
        }
        self.rate.add(now, 1.0);
        self.extra = (self.extra + RETRY_RATIO).min(RETRY_RATIO * KIND_SAMPLES);
        if !new.client_retry {
            self.firsts.add(now, 1.0);
        }
        let busy = self.busy();
        let tenant = new
            .tenant
            .and_then(|t| Some((t, self.cfg.tenants.get(t.0)?)));
        // More traffic than others get is more of each quota; a repeat belongs to its first try, which took
        // its part.
        let part = |t: &Tenant| t.quota_per_s / f64::from(self.cfg.proxy_count) * busy;
        let over_quota =
            !new.client_retry && tenant.is_some_and(|(id, t)| !self.buckets.take(id, now, part(t)));
        let aim = c.latency_objective.0
            + new
                .work_hint
                .unwrap_or_default()
                .mul_f64(c.objective_per_work)
                .0;
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.client_retry { c.late_weight } else { 1.0 };
        let quota = if over_quota {
            self.cfg.over_quota_weight
        } else {
            1.0
        };
        let value = again * quota;
        if !new.client_retry {
            self.classes[new.class.0].asked += c.priority_weight * quota;
        }
        let (class, came, sent) = (new.class.0, now, Vec::new());
        let (streaming, uploading) = (false, false);
        let most = self.cfg.max_attempts as usize;
        self.requests.insert(
            new.request,
            Request {
                class,
                came,
                aim,
                deadline,
                value,
                streaming,
                uploading,
                most,
                sent,
            },
        );
        self.held.push(new.request);
    }

    /// The first bytes of a long answer: from here on the client's pace holds it up, so what there is to
    /// learn is learned now, and its backend has room again.
    fn stream_started(&mut self, now: Time, request: RequestId, attempt: AttemptNumber) {
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(s) = r
            .sent
            .get_mut(attempt.0 as usize)
            .filter(|s| s.out && !s.begun)
        else {
            return;
        };
        (s.begun, r.streaming, r.uploading) = (true, true, false);
        let part = if now <= r.aim {
            1.0
        } else {
            self.cfg.classes[r.class].late_weight
        };
        self.classes[r.class].earned += self.cfg.classes[r.class].priority_weight * r.value * part;
        let Some(&(backend, class, sent)) = self.attempts.get(&(request, attempt)) else {
            return;
        };
        let (outcome, latency) = (Outcome::Ok, now - sent);
        self.learn(
            now,
            backend,
            class,
            sent,
            &AttemptEnd {
                request,
                attempt,
                outcome,
                latency,
                answered: true,
            },
        );
    }

    fn ended(&mut self, now: Time, end: AttemptEnd) {
        let id = end.request;
        let Some((backend, class, sent)) = self.attempts.remove(&(id, end.attempt)) else {
            return;
        };
        let sent_as = self
            .requests
            .get(&id)
            .and_then(|r| r.sent.get(end.attempt.0 as usize));
        let begun = sent_as.is_some_and(|s| s.begun);
        if begun && matches!(end.outcome, Outcome::Error | Outcome::Reset) {
            // It was counted as served with its first bytes, and gave more until now: the break comes on top.
            let peer = self.backends.get_mut(backend);
            peer.into_iter()
                .for_each(|p| (p.out, p.answered) = (p.out + 1, now));
        }
        if !begun || matches!(end.outcome, Outcome::Error | Outcome::Reset) {
            self.learn(now, backend, class, sent, &end);
        }
        let gone = self
            .backends
            .get(backend)
            .is_none_or(|p| !self.backends.offered(p));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(s) = r.sent.get_mut(end.attempt.0 as usize) {
            (s.out, s.never_ran) = (false, end.outcome.proves_not_run());
            s.withheld = gone && end.outcome == Outcome::NotSent;
        }
        if end.outcome == Outcome::Ok && !begun {
            let c = &self.cfg.classes[class];
            let part = if now <= r.aim { 1.0 } else { c.late_weight };
            self.classes[class].earned += c.priority_weight * r.value * part;
        }
        if r.streaming && !begun {
            return; // a copy's end: the answer streams on from another backend
        }
        if end.answered || end.outcome == Outcome::Ok {
            self.close(id);
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    fn learn(&mut self, now: Time, id: BackendId, class: usize, sent: Time, end: &AttemptEnd) {
        if matches!(
            end.outcome,
            Outcome::Ok | Outcome::Error | Outcome::Reset | Outcome::ConnectFailed
        ) {
            self.errors
                .add(f64::from(end.outcome != Outcome::Ok), KIND_SAMPLES);
        }
        let (limit, alive) = (
            ERROR_LIMIT + STAND_OUT * self.errors.value,
            self.usual(class).mul_f64(ALIVE),
        );
        let long = end.latency > self.usual(class).mul_f64(SILENT_AFTER);
        let was_tight = !self.quick(class);
        let Some(p) = self.backends.get_mut(id) else {
            return;
        };
        // A zone that is cut off may answer some: what it leaves unanswered counts for the zone as a whole.
        let unanswered = match end.outcome {
            Outcome::Ok => Some(0.0),
            Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => Some(1.0),
            Outcome::Cancelled if long => Some(1.0),
            _ => None,
        };
        let zone = unanswered.filter(|_| self.cfg.zone_failover.is_some());
        zone.into_iter().for_each(|f| {
            self.zones
                .entry(p.entry.zone)
                .or_default()
                .fails
                .add(f, QUICK_SAMPLES)
        });
        p.out = p.out.saturating_sub(1);
        match end.outcome {
            Outcome::Ok => {
                // Served requests only: errors, time-outs and refusals stay out of the speeds.
                let secs = end.latency.as_secs_f64().max(1e-6);
                self.classes[class].latency.add(secs, KIND_SAMPLES);
                self.overall.add(secs, KIND_SAMPLES);
                let plain = secs * self.overall.value / self.classes[class].latency.value;
                let k = self.kinds.entry(p.entry.kind).or_default();
                k.latency.add(plain, KIND_SAMPLES);
                k.served.add(now, 1.0 / k.ready.max(1.0));
                k.quick.add(plain, QUICK_SAMPLES);
                p.answered = now;
                p.errors *= 1.0 - ERROR_STEP;
                p.trials += 1;
                if p.ejected.is_none() {
                    p.strikes = 0;
                } else if p.trials >= TRIALS {
                    (p.ejected, p.hearsay, p.errors) = (None, None, 0.0);
                    self.actions.push(Action::PublishVerdict {
                        backend: id,
                        verdict: Verdict::Readmitted,
                    });
                    self.log(now, format!("backend {} is back", id.0));
                } else if p.hearsay.is_some_and(|since| sent <= since) {
                    // It answers what it was sent before the others' word came: they are cut off from it.
                    (p.ejected, p.hearsay) = (None, None);
                }
            }
            // A full backend answers, and is left alone for a moment: busy is not ill.
            Outcome::Overloaded => p.full_until = now + Micros::from_secs_f64(EJECT_TERM / 2.0),
            Outcome::Cancelled | Outcome::NotSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.answered >= sent => {}
            // A break while answers come is one connection's end, not the process's: like an error it takes
            // more of them.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed
                if end.outcome == Outcome::Error || now < p.answered + alive =>
            {
                if end.outcome == Outcome::Error {
                    p.answered = now;
                }
                p.errors += (1.0 - p.errors) * ERROR_STEP;
                if p.errors > limit || p.ejected.is_some() {
                    self.eject(now, id, end.outcome);
                }
            }
            _ => self.eject(now, id, end.outcome),
        }
        if self.classes[class].live {
            self.tight = self.tight + usize::from(!self.quick(class)) - usize::from(was_tight);
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.backends.get_mut(id) else {
            return;
        };
        p.failed = now;
        if p.ejected.is_none_or(|until| now >= until) {
            let term = Micros::from_secs_f64(term * f64::from(p.strikes.min(2)).exp2());
            (p.ejected, p.hearsay) = (Some(now + term), None);
            (p.strikes, p.trials) = (p.strikes + 1, 0);
            let strikes = p.strikes.clamp(0, 255) as u8;
            self.backends.rest(id);
            self.actions.push(Action::PublishVerdict {
                backend: id,
                verdict: Verdict::Ejected {
                    duration: term,
                    consecutive_ejections: strikes,
                },
            });
            self.look_at = now;
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }

    /// A verdict of the fleet's, unless this proxy knows better from an answer or a failure since. Trials of
    /// what is out go round: after each verdict one proxy's turn comes at the end of its term, the next's a
    /// first term later, so that one's word reaches the others first, and no broken link holds it for long.
    fn heard(&mut self, now: Time, word: &PeerVerdict) {
        let (born, id) = (now - word.age, word.backend);
        let Some(p) = self
            .backends
            .get_mut(id)
            .filter(|_| word.age <= word.max_age)
        else {
            return;
        };
        p.heard
            .retain(|h| Some(h.0) != word.origin && now - h.1 <= word.max_age);
        let Verdict::Ejected {
            duration: term,
            consecutive_ejections: strikes,
        } = word.verdict
        else {
            if p.ejected.is_some() && born > p.failed {
                (p.ejected, p.hearsay, p.errors, p.strikes) = (None, None, 0.0, 0);
                p.heard.clear();
                self.solve_at = now;
                self.log(now, format!("backend {} is back, as a peer says", id.0));
            }
            return;
        };
        if born < p.answered.max(p.failed) {
            return;
        }
        p.heard.extend(word.origin.map(|origin| (origin, born)));
        if born >= p.word.0 {
            let defer = Micros::from_secs_f64(EJECT_TERM * f64::from(word.health_check_turn))
                .min(word.max_age);
            p.word = (born, born + term + defer); // the newest verdict says to all whose turn it is
        }
        if p.ejected.is_some() {
            (p.ejected, p.strikes) = (Some(p.word.1), p.strikes.max(i32::from(strikes)));
        } else if p.heard.len() >= WORDS.min(word.live_peers) as usize {
            (p.ejected, p.hearsay, p.strikes) = (Some(p.word.1), Some(now), i32::from(strikes));
            (p.trials, self.look_at) = (0, now);
            let words = p.heard.len();
            self.backends.rest(id);
            self.log(
                now,
                format!("backend {} ejected on the word of {words} peers", id.0),
            );
        }
    }

    /// What time alone brings about, and when to look again.
    fn look_after(&mut self, now: Time) {
        let mut next = now + Micros::from_secs_f64(IDLE_LOOK); // nothing else may be due
        if let Discovery::Poll {
            staleness_limit: within,
        } = self.cfg.discovery
        {
            if self.ask.take_due(now, within) {
                self.actions.push(Action::PollDiscovery);
            }
        }
        next = self.ask.next().map_or(next, |at| next.min(at));
        let mut silent = Vec::new();
        for &(backend, class, sent) in self.attempts.values() {
            let quiet = sent + self.usual(class).mul_f64(SILENT_AFTER); // far off for what is still uploaded
            next = if quiet > now { next.min(quiet) } else { next };
            if now >= quiet
                && self
                    .backends
                    .get(backend)
                    .is_some_and(|p| p.answered <= sent)
            {
                silent.push(backend);
            }
        }
        self.backends.set_silent(silent);
        let mut over = Vec::new();
        for (&id, r) in self
            .requests
            .iter()
            .filter(|(_, r)| !r.streaming && !r.uploading)
        {
            let usual = self.usual(r.class);
            let late_pays = self.cfg.classes[r.class].late_weight > 0.0 && !r.sent.is_empty();
            let last_start = if late_pays { r.deadline } else { r.aim };
            let lost = |s: &Sent| {
                s.out
                    && self
                        .backends
                        .get(s.to.id)
                        .is_none_or(|p| p.ejected.is_some())
            };
            let lost = matches!(&r.sent[..], [only] if lost(only));
            // The deadline's own tick would be too late to answer; a request that was held so long
            // that it cannot make it is refused while that is still harmless.
            let last_start = if r.out() {
                r.deadline
            } else {
                last_start.min(r.deadline)
            };
            let margin = if r.out() {
                self.cfg.timer_resolution
            } else {
                usual.max(self.cfg.timer_resolution)
            };
            if now + margin >= last_start {
                over.push(id);
            } else if lost && now + usual < r.aim && self.extra >= 1.0 {
                // Age alone is no reason: copies of merely heavy requests crowd every backend.
                if self.cfg.hedging {
                    if self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.cancellation
                    && self.cfg.classes[r.class].idempotency != Idempotency::NonIdempotent
                {
                    // Where no copy may run beside it, the first is called back to make way for the next.
                    self.actions.push(Action::Cancel {
                        request: id,
                        attempt: AttemptNumber(0),
                    });
                }
            }
            next = next.min(last_start - margin);
        }
        self.look_at = next.max(now + self.cfg.timer_resolution);
        over.into_iter().for_each(|id| self.give_up(id));
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its aim.
    fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(
            self.cfg.classes[class].latency_objective.mul_f64(0.25),
            Micros::from_secs_f64,
        )
    }

    /// Whether what a class usually takes is well inside its aim.
    fn quick(&self, class: usize) -> bool {
        self.usual(class).mul_f64(WELL_INSIDE) <= self.cfg.classes[class].latency_objective
    }

    /// The classes that the settings hold, with their numbers.
    fn live(&self) -> impl Iterator<Item = (usize, &RequestClass)> {
        self.cfg
            .classes
            .iter()
            .enumerate()
            .filter(|(n, _)| self.classes[*n].live)
    }

    /// A class's work beside the mean, so far as latency tells it.
    fn work(&self, class: usize) -> f64 {
        self.classes[class]
            .latency
            .get()
            .map_or(1.0, |own| own / self.overall.value)
    }

    /// Readiness of every backend, speed and share of every kind.
    fn solve(&mut self, now: Time) {
        self.backends.settle(now, &self.cfg);
        self.learn_holds(now - self.solved_at);
        self.solved_at = now;
        let few = FEW / self.rate.per_s().unwrap_or(FEW / SOLVE_EVERY).max(1.0);
        self.solve_at = now + Micros::from_secs_f64(SOLVE_EVERY.max(few));
        self.blocked = 0.0;
        let listed = self.backends.loads.iter().filter(|l| l.offered);
        let (all, out) = listed.fold((0u32, 0u32), |n, l| (n.0 + 1, n.1 + u32::from(l.ejected)));
        let proxies = f64::from(self.cfg.proxy_count);
        self.kinds.values_mut().for_each(|k| {
            k.ready = 0.0;
            k.served.add(now, 0.0);
        });
        let zones = self.zones(now);
        let zones = self
            .backends
            .zones
            .iter()
            .map(|z| zones.get(z).copied().unwrap_or(1.0));
        let (zones, warm): (Vec<f64>, f64) = (zones.collect(), from_cold(&self.cfg, 1.0));
        let ill = f64::from(f64::from(out) > f64::from(all) * PANIC);
        let mut ready = vec![0.0; self.backends.groups.len()];
        for (l, p) in self.backends.each() {
            let health = match l.ejected {
                _ if !l.offered => 0.0,
                true => ill,
                false => l.health,
            };
            let warmth = if now >= l.warm_at {
                warm
            } else {
                warmth(&self.cfg, now, p)
            };
            l.ready = zones[l.place as usize] * health * warmth;
            ready[l.group as usize] += l.ready;
        }
        for (g, ready) in self.backends.groups.iter().zip(ready) {
            self.kinds.entry(g.kind).or_default().ready = ready;
        }
        self.rate.add(now, 0.0);
        let rate = self.rate.per_s().map(|r| r * proxies);
        for k in self.kinds.values_mut() {
            let flow = if k.ready > 0.0 {
                rate.unwrap_or(0.0) * k.share / k.ready
            } else {
                0.0
            };
            k.speed = k.latency.get().map_or(0.0, |t| 1.0 / t + flow);
        }
        let speeds = self
            .kinds
            .values()
            .filter(|k| k.speed > 0.0)
            .map(|k| k.speed);
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 }; // kinds without data: as fast as the others
        self.kinds
            .values_mut()
            .filter(|k| k.speed == 0.0)
            .for_each(|k| k.speed = mean);
        let table: Vec<(f64, f64)> = self.kinds.values().map(|k| (k.ready, k.speed)).collect();
        let shares = halb_shares(&table, rate.filter(|_| count > 0.0));
        self.kinds
            .values_mut()
            .zip(shares)
            .for_each(|(k, share)| k.share = share);
        self.allot();
        self.backends.reckon_all(now);
    }

    /// How many requests a backend of each kind is worth holding. A kind whose rooms are full and whose
    /// answers take no longer than uncrowded has cores to spare; where they take longer it holds too many.
    fn learn_holds(&mut self, gap: Micros) {
        let gap = gap.as_secs_f64().min(1.0);
        let mut crowds = vec![(0.0, 0.0); self.backends.groups.len()];
        for l in self.backends.loads.iter().filter(|l| l.ready > 0.0) {
            let (out, room) = &mut crowds[l.group as usize];
            (*out, *room) = (*out + f64::from(l.out), *room + l.room);
        }
        for (kind, k) in &mut self.kinds {
            k.hold = k.hold.max(HOLD);
            let Some(quick) = k.quick.get().filter(|_| k.quick.count >= QUICK_SAMPLES) else {
                continue;
            };
            let (out, room) = self.backends.group(*kind).map_or((0.0, 0.0), |g| crowds[g]);
            k.alone = if k.alone > 0.0 {
                quick.min(k.alone * (1.0 + FORGET * gap))
            } else {
                quick
            };
            if out < room * 0.8 {
                continue; // not the hold's doing
            }
            if k.hold <= HOLD && quick > k.alone * CROWDED {
                k.alone = quick; // not its crowd makes it slow: this is what it takes now
            }
            k.learned += gap;
            let off = (CROWDED - quick / k.alone).clamp(-OFF_MOST, OFF_MOST);
            k.hold = (k.hold * (off * gap * HOLD_PACE / (1.0 + k.learned)).exp()).max(HOLD);
        }
    }

    /// Each backend's part of this proxy's traffic: its kind's share by readiness. Where crossing zones costs
    /// traffic stays near so far as all proxies together still give every backend the same part: a zone
    /// whose backends are due less than its proxies bring sends its surplus to the zones due more.
    fn allot(&mut self) {
        let (proxies, backends) = (f64::from(self.cfg.proxy_count), &mut self.backends);
        let kind = |g: &Group| {
            self.kinds
                .get(&g.kind)
                .map_or((0.0, 1e-9, HOLD), |k| (k.share, k.ready.max(1e-9), k.hold))
        };
        let kinds: Vec<(f64, f64, f64)> = backends.groups.iter().map(kind).collect();
        let part = |l: &Load| kinds[l.group as usize].0 * l.ready / kinds[l.group as usize].1;
        // A zone that is out brings its traffic all the same.
        let mut sums = vec![self.cfg.zone_failover.map(|_| 0.0); backends.zones.len()];
        for l in backends.loads.iter().filter(|l| l.ready > 0.0) {
            *sums[l.place as usize].get_or_insert(0.0) += part(l);
        }
        let due = backends
            .zones
            .iter()
            .zip(&sums)
            .filter_map(|(z, due)| Some((*z, (*due)?)));
        let due: BTreeMap<ZoneId, f64> = due.collect();
        let zones = due.len() as f64;
        // With fewer proxies than zones some zone has none, and nobody is told which: whatever stays near
        // leaves that zone's backends idle and fills the others.
        let near = self.cfg.cross_zone_cost > 0.0 || self.cfg.zone_failover.is_some();
        let local = near && proxies >= zones;
        let pulls = spill(&due, self.cfg.zone, &self.cfg.regions);
        let bias = |zone: &ZoneId| {
            let here = due.get(zone).map_or(0.0, |d| d.max(1e-9));
            let pull = pulls.get(zone).copied().unwrap_or(0.0);
            if local && here > 0.0 {
                pull / here
            } else {
                1.0
            }
        };
        let biases: Vec<f64> = backends.zones.iter().map(bias).collect();
        let (mut reached, mut pulled) = (0u32, vec![0.0; kinds.len()]);
        backends.seat(self.cfg.proxy_index, self.cfg.proxy_count);
        for (l, p_pull) in backends.loads.iter_mut().zip(&mut backends.pull) {
            let bias = biases[l.place as usize];
            // Half of the room for all goes by that part, half evenly; each has a room of one at least, as
            // more proxies than the hold would wait for turns. There `crowded` keeps the hold.
            let fair = kinds[l.group as usize].2.max(HOLD) / proxies * l.ready;
            l.room = (fair * (0.5 + 0.5 * bias) + l.coin).floor().max(1.0);
            // The trace takes the overflow where all that have a part are full.
            let drawn = part(l) * bias;
            *p_pull = drawn + l.ready * 1e-6;
            reached += u32::from(drawn > 0.0);
            pulled[l.group as usize] += *p_pull;
        }
        self.kinds.values_mut().for_each(|k| k.pull = 0.0);
        for (g, pull) in backends.groups.iter().zip(&pulled) {
            self.kinds.entry(g.kind).or_default().pull = *pull;
        }
        // This proxy's slice of each kind: the same width for all, begun at evenly spread places, so that all
        // slices together cover every backend by its pull.
        let width =
            (SHARED_BY / proxies * backends.len() as f64 / f64::from(reached.max(1))).min(1.0);
        let start = (f64::from(self.cfg.proxy_index) * 0.618_033_988_749_895).fract();
        let mut walked = vec![(0.0, 0.0); kinds.len()];
        for &at in &backends.order {
            let (at, l) = (at as usize, &mut backends.loads[at as usize]);
            let (sum, from) = walked[l.group as usize];
            let sum = sum + backends.pull[at];
            let to = sum / pulled[l.group as usize].max(1e-9);
            walked[l.group as usize] = (sum, to);
            let inside = |start: f64| (to.min(start + width) - from.max(start)).max(0.0);
            let slice = inside(start) + inside(start - 1.0);
            backends.slice[at] = slice;
            l.due = if slice > 0.0 {
                slice / ((to - from) * width * proxies).max(1e-9)
            } else {
                0.0
            };
        }
    }

    /// Each zone's factor on its backends' readiness: none while it is left, a ramp while it returns. Where
    /// every zone would be left, none is: some backends may still serve.
    fn zones(&mut self, now: Time) -> BTreeMap<ZoneId, f64> {
        let (Some(rules), mut factors) = (self.cfg.zone_failover, BTreeMap::new()) else {
            return BTreeMap::new();
        };
        let mut counts = vec![(0.0, 0.0); self.backends.zones.len()];
        for l in self.backends.loads.iter().filter(|l| l.offered) {
            let c = &mut counts[l.place as usize];
            *c = (c.0 + 1.0, c.1 + f64::from(l.ejected || l.silent));
        }
        let counts = self.backends.zones.iter().copied().zip(counts);
        for (id, (all, out)) in counts.filter(|c| c.1 .0 > 0.0) {
            let z = self.zones.entry(id).or_default();
            z.lefts.retain(|at| now - *at < Micros::from_secs_f64(60.0));
            let again = f64::from(1u32 << z.lefts.len().clamp(1, 6)) / 2.0; // doubles with each time
            let ramp = rules.recovery_ramp.mul_f64(again);
            let failing =
                z.fails.count >= QUICK_SAMPLES / 2.0 && z.fails.value >= rules.unhealthy_threshold;
            let bad = failing || out / all >= rules.unhealthy_threshold;
            z.bad = z.bad.filter(|_| bad).or(bad.then_some(now));
            let lasted = z
                .bad
                .is_some_and(|since| (now - since).as_secs_f64() >= LEAVE_AFTER);
            let term = Micros::from_secs_f64(EJECT_TERM * again);
            let rested = z.lefts.last().is_none_or(|at| now - *at >= term);
            let said = match (z.left, out / all) {
                (false, _) if lasted => {
                    let lost = z.fails.value * 100.0;
                    (z.left, z.since, z.fails) = (true, None, Mean::default());
                    z.lefts.push(now);
                    Some(format!(
                        "zone {} left: {out} of {all} out, {lost:.0}% unanswered",
                        id.0
                    ))
                }
                (true, part) if part < rules.unhealthy_threshold / 2.0 && rested => {
                    (z.left, z.since) = (false, Some(now));
                    Some(format!(
                        "zone {} returning over {:.1} s",
                        id.0,
                        ramp.as_secs_f64()
                    ))
                }
                (false, _) if z.since.is_some_and(|since| now - since >= ramp) => {
                    z.since = None;
                    Some(format!("zone {} back", id.0))
                }
                _ => None,
            };
            self.actions.extend(said.map(Action::Log));
            let age = z.since.map_or(1.0, |since| {
                (now - since).as_secs_f64() / ramp.as_secs_f64().max(1e-6)
            });
            factors.insert(
                id,
                if z.left {
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

    /// Work that this proxy may still send to a cold backend inside the present fall window: its part of what
    /// all may, as those do not send there in whose slice the backend is not.
    fn budget(&self, now: Time, at: usize, sure: &mut BTreeMap<KindId, f64>) -> f64 {
        let p = self.backends.record(at);
        let warmth = warmth(&self.cfg, now - self.cfg.overload_window, p); // as the window began
        if warmth >= 1.0 {
            return f64::MAX;
        }
        let speed = *sure
            .entry(p.entry.kind)
            .or_insert_with(|| self.sure(p.entry.kind));
        let spent: f64 = p
            .spent
            .iter()
            .filter(|s| now - s.0 < self.cfg.overload_window)
            .map(|s| s.1)
            .sum();
        let all =
            self.cfg.overload_multiple * warmth * speed * self.cfg.overload_window.as_secs_f64();
        let before = if now < self.beside.2 {
            self.beside.1
        } else {
            1
        };
        // What a process before this one had sent weighs still, and falls out of the window evenly.
        let own = self.born.map_or(0.0, |born| {
            (now - born).as_secs_f64() / self.cfg.overload_window.as_secs_f64().max(1e-6)
        });
        // One request of all proxies together is chance, however little that is. Else a process that begins
        // among cold backends alone would refuse its first ones.
        let all = (all * FALL_MARGIN * own.min(1.0)).max(1.0);
        all * self.backends.loads[at].due / f64::from(self.beside.0.max(before)) - spent
    }

    /// Requests of mean work a second that a warm backend of the kind surely serves. As the speed in `solve`,
    /// but by what is carried there: in a flood what is asked of it is more than it can do.
    fn sure(&self, kind: KindId) -> f64 {
        let proxies = f64::from(self.cfg.proxy_count);
        let known = |k: &Kind| {
            let carried = k.served.per_s().unwrap_or(0.0) * proxies;
            // One over a mean of few samples lies above 1/T: by one in their number, scattered as work is.
            let t = k.latency.get().map(|t| t * (1.0 + 1.0 / k.latency.count));
            // Against few ready backends the sum overshoots; twice the bare 1/T is sure.
            t.map(|t| (1.0 / t + carried).min(2.0 / t).max(carried))
        };
        self.kinds.get(&kind).and_then(known).unwrap_or_else(|| {
            // Nothing answered: as the slowest that did, or else one core at what is taken for usual.
            let slowest = self.kinds.values().filter_map(known).reduce(f64::min);
            let least = self
                .live()
                .map(|(n, _)| self.usual(n))
                .min()
                .unwrap_or_default();
            let fair = self.rate.per_s().unwrap_or(1.0) * proxies / self.backends.len() as f64;
            fair.min(slowest.unwrap_or(1.0 / least.as_secs_f64()))
        })
    }

    fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &Sent| match self.cfg.classes[r.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => {
                s.never_ran || now + self.cfg.timer_resolution < s.at + window
            }
            Idempotency::NonIdempotent => s.never_ran,
        };
        let alone = self.cfg.hedging || !r.out();
        alone && r.sent.len() < r.most && r.sent.iter().all(safe)
    }

    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    fn draw(&mut self, now: Time, r: &Request) -> Option<BackendId> {
        let effect = self.cfg.classes[r.class].idempotency;
        let (work, low) = (self.work(r.class), r.value < LOW);
        self.backends.settle(now, &self.cfg);
        let mut sure = BTreeMap::new();
        let mut cold = |at: usize| {
            self.budget(now, at, &mut sure) < work * (1.0 - self.backends.loads[at].coin)
        };
        if r.sent.is_empty() && (effect == Idempotency::Idempotent || self.free == 0) {
            // Its term is over: one request at a time that may fail without harm tries it.
            let mut tries = |at: usize| {
                let (p, l) = (self.backends.record(at), &self.backends.loads[at]);
                let over =
                    p.ejected.is_some_and(|until| now >= until) && l.ready == 0.0 && p.out == 0;
                over && l.offered && !p.silent && now >= p.full_until && !cold(at)
            };
            if let Some(at) = self.backends.ejected.iter().find(|at| tries(**at as usize)) {
                return Some(self.backends.id(*at as usize));
            }
        }
        // Never overfill: a crowded backend slows for long, so a full one is drawn again. What may hold one
        // more of any request has its weight; the rest is as time, its worth and its past attempts say.
        let mut weights: Vec<(usize, f64)> = Vec::new();
        for at in self.backends.odd.iter().map(|at| *at as usize) {
            let may = now >= self.backends.record(at).full_until
                && self.backends.fits(at, low)
                && !cold(at);
            weights.push((at, if may { self.backends.weight(at) } else { 0.0 }));
        }
        if low {
            let busy = self.backends.busy.iter().map(|at| *at as usize);
            weights.extend(
                busy.filter(|at| !self.backends.fits(*at, true))
                    .map(|at| (at, 0.0)),
            );
        }
        weights.extend(
            r.sent
                .iter()
                .filter_map(|s| Some((self.backends.find(s.to.id)?, 0.0))),
        );
        // A repeat outside the scope that knows the key would run twice.
        let knows = |s: &Sent, p: &Record| match effect {
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
            .for_each(|(at, weight)| self.backends.weigh_once(at, weight));
        let pull = |(group, kind)| Some((group, self.kinds.get(&kind)?.pull));
        let kinds: Vec<(usize, f64)> = self.backends.open_kinds().filter_map(pull).collect();
        let kind = self.dice.pick(&kinds)?;
        self.backends.pick(kind, &mut self.dice)
    }

    /// How many times an even part of all traffic comes here, one at least: the front spreads it unevenly.
    /// What the fleet is meant to carry, the quotas' sum, is the one figure on all of it that it is told.
    fn busy(&self) -> f64 {
        let even = self.cfg.quota_sum_per_s() / f64::from(self.cfg.proxy_count);
        self.firsts
            .per_s()
            .filter(|_| even > 0.0)
            .map_or(1.0, |here| (here / even).max(1.0))
    }

    /// Whether all proxies together hold too much for one more: with load / (1 - load) held, twice the hold
    /// is a load of eight ninths, half of it two thirds. That is one core; on many a lower load holds as
    /// much, and while every class is well inside its aim nobody waits for what is worth little. Turned
    /// away at once does no harm; waiting here would make no room.
    fn crowded(&self, value: f64) -> bool {
        self.fuller(match value < LOW && self.tight > 0 {
            true => HOLD / 2.0,
            false if value < LOW => HOLD * 1.5,
            false => HOLD * 2.0,
        })
    }

    /// Whether it has less time left than its answer usually takes, where others wait for that room: a
    /// client that came again brings what is left of its time, and its attempt would mostly be called back
    /// unfinished.
    fn hopeless(&self, now: Time, r: &Request) -> bool {
        now + self.usual(r.class) > r.deadline && !r.uploading && self.fuller(HOLD / 2.0)
    }

    /// Whether all proxies together hold more than so many on each ready backend, as far as one tells that
    /// has no room to count: it takes the others to be like itself, but for its part of the traffic.
    fn fuller(&self, limit: f64) -> bool {
        let proxies = f64::from(self.cfg.proxy_count);
        let ready: f64 = self.kinds.values().map(|k| k.ready).sum();
        let held = self.crowd.per_s().unwrap_or(0.0) * proxies / (self.busy() / BURST).max(1.0);
        proxies > HOLD && self.crowd.seen() > CROWD_KNOWN && held > limit * ready
    }

    /// What is asked of all classes, and how well the worst-served one fares.
    fn fared(&self) -> (f64, f64) {
        let live = || self.classes.iter().filter(|c| c.live);
        (
            live().map(|c| c.asked).sum(),
            live().map(ClassState::served).fold(f64::MAX, f64::min),
        )
    }

    /// What one more served request of the class adds to the operator's goal: its worth to the whole and, for
    /// the class that was served worst so far, its worth to that class's own part.
    fn gain(&self, class: usize, (all, worst): (f64, f64)) -> f64 {
        let (c, s) = (&self.cfg.classes[class], &self.classes[class]);
        let own = if s.live && s.served() <= worst {
            self.cfg.worst_class_objective_weight / s.asked.max(1e-9)
        } else {
            0.0
        };
        c.priority_weight * (self.cfg.overall_objective_weight / all.max(1e-9) + own)
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    fn pump(&mut self, now: Time) {
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
                r.sent.push(Sent::new(p.entry.clone(), now));
                p.out += 1;
                p.spent.retain(|s| now - s.0 < self.cfg.overload_window);
                p.spent.push((now, work));
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

    /// Final answer for a request that will not be served.
    fn give_up(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let free = matches!(
            self.cfg.classes[r.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: KeyScope::All,
                    ..
                }
        );
        let harmless = free || r.sent.iter().all(|s| s.never_ran);
        // By then what is out now has made room, or an ejected backend is tried again.
        let ready = self.kinds.values().any(|k| k.ready > 0.0);
        let retry_after = if ready {
            self.usual(r.class).mul_f64(2.0)
        } else {
            Micros::from_secs_f64(EJECT_TERM)
        };
        let (refused, failed) = (
            Action::Reject {
                request: id,
                retry_after,
            },
            Action::Fail { request: id },
        );
        self.actions.push(if harmless { refused } else { failed });
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.remove(&id) else {
            return;
        };
        self.held.retain(|h| *h != id);
        for (no, _) in r
            .sent
            .iter()
            .enumerate()
            .filter(|(_, s)| s.out && self.cfg.cancellation)
        {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: AttemptNumber(no as u32),
            });
        }
    }

    /// A line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }
}
