//! Tests of slow start over a whole fleet: all proxies together must not send a backend that has just started more than
//! its budget. Simulated on one clock, with backends whose cores speed up over the ramp, random uneven traffic, and
//! endpoint lists that reach each proxy after a delay of its own.

use meadowproxy::*;
use std::collections::{BTreeMap, VecDeque};

const SECOND: u64 = 1_000_000;
/// How long slow start takes.
const RAMP: u64 = 23 * SECOND;
/// The overload window, over which the work sent to a cold backend is limited.
const WINDOW: u64 = 3 * SECOND;
/// The fraction of its full speed that a backend has when it starts.
const MIN_READINESS: f64 = 0.13;
/// Work and traffic share of each class; the mean work is 1.
const CLASSES: [(f64, f64); 2] = [(0.5, 0.75), (2.5, 0.25)];
/// Time before the backends restart, in which the proxies learn latencies and rates.
const LEARNING_TIME: u64 = 5 * SECOND;

/// Random numbers from a seed (SplitMix64).
struct Random(u64);

impl Random {
    /// A number in 0..1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A whole number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        (self.unit() * bound as f64) as u64
    }
}

/// A generated scenario.
#[derive(Clone, Copy)]
struct Case {
    proxies: u32,
    backends: u32,
    /// How many backends restart together.
    restarted_backends: u32,
    cores: u64,
    /// Requests of mean work that a warm backend serves per second.
    service_rate: f64,
    /// Traffic before and after the restart, as a fraction of the capacity of all warm backends.
    load_before: f64,
    load_after: f64,
    /// Whether attempts across zones have a cost.
    cross_zone_cost: bool,
    /// The longest delay in µs until a process learns of the restart.
    max_update_delay: u64,
    /// The mean time in µs after which clients disconnect.
    client_timeout: u64,
    /// How many other backends are removed from the list at the restart.
    removed_backends: u32,
    seed: u64,
}

/// What is scheduled at a time; processes are given by their index.
enum Queued {
    RequestArrival,
    Timer(usize, TimerToken),
    AttemptEnd(usize, RequestId, AttemptNumber, u64, Outcome),
    EndpointsAnnounced(usize),
    ClientDisconnect(usize, RequestId),
    /// The first process exits, and the second remains.
    PredecessorExit(usize, usize),
}

/// How a new process of a proxy starts.
#[derive(Clone, Copy, PartialEq)]
enum ProcessStart {
    /// After its predecessor has exited, with its learned state.
    Restored,
    /// After its predecessor has exited, without its learned state.
    Empty,
    /// Beside its predecessor, which exits four seconds later, and with its learned state.
    Concurrent,
}

/// A process of a proxy.
struct Process {
    balancer: Balancer,
    position: u32,
    /// Its share of the traffic, relative to the other processes.
    weight: f64,
    /// When it learned of the backends' restart.
    informed_at: Option<u64>,
}

/// All processes and backends on one clock in µs.
struct Fleet {
    case: Case,
    now: u64,
    /// When the backends restart.
    restarted_at: u64,
    random: Random,
    queue: BTreeMap<(u64, u64), Queued>,
    next_id: u64,
    processes: Vec<Process>,
    /// The work of each request and its attempts so far.
    requests: BTreeMap<RequestId, (f64, u32)>,
    /// When each core of each backend is free.
    cores: Vec<Vec<u64>>,
    /// The attempts: time, backend, work, and whether the process knew of the restart.
    sent: Vec<(u64, u32, f64, bool)>,
}

fn config(case: &Case, position: u32) -> Config {
    let class = |aim| RequestClass {
        latency_objective: Micros(aim),
        ..Config::example().classes[0].clone()
    };
    Config {
        proxy_count: case.proxies,
        proxy_index: position,
        zone: ZoneId(position % 3),
        classes: vec![class(300_000), class(SECOND)].into(),
        cross_zone_cost: if case.cross_zone_cost { 0.05 } else { 0.0 },
        slow_start_min_readiness: MIN_READINESS,
        slow_start_duration: Micros(RAMP),
        overload_window: Micros(WINDOW),
        ..Config::example()
    }
}

/// The fraction of its full speed at which a backend serves `age` µs after its start.
fn readiness(age: u64) -> f64 {
    MIN_READINESS + (1.0 - MIN_READINESS) * (age as f64 / RAMP as f64).min(1.0)
}

impl Fleet {
    fn new(case: Case) -> Fleet {
        let mut fleet = Fleet {
            case,
            now: 1_000 * SECOND,
            restarted_at: u64::MAX,
            random: Random(case.seed),
            queue: BTreeMap::new(),
            next_id: 0,
            processes: Vec::new(),
            requests: BTreeMap::new(),
            cores: vec![vec![0; case.cores as usize]; case.backends as usize],
            sent: Vec::new(),
        };
        // A tenth of the proxies get five times the mean traffic; of fewer than ten proxies one gets twice the mean.
        let many = case.proxies.div_ceil(10);
        let (high, count) = (
            if case.proxies < 10 { 2.0 } else { 5.0 },
            f64::from(case.proxies),
        );
        let low = (count - high * f64::from(many)) / f64::from(case.proxies - many).max(1.0);
        for position in 0..case.proxies {
            // The proxies with more traffic differ with the seed.
            let place = (u64::from(position) + case.seed) % u64::from(case.proxies);
            let weight = if place.is_multiple_of(10) { high } else { low };
            fleet.start(position, weight);
        }
        fleet.schedule(fleet.now, Queued::RequestArrival);
        fleet
    }

    /// Schedules an event at a time in µs.
    fn schedule(&mut self, time: u64, queued: Queued) {
        self.next_id += 1;
        self.queue.insert((time, self.next_id), queued);
    }

    /// Starts a process of the proxy, which gets the current endpoint list and no learned state.
    fn start(&mut self, position: u32, weight: f64) -> usize {
        let seed = self.case.seed * 1_000 + self.processes.len() as u64;
        let balancer =
            Balancer::new(config(&self.case, position), seed).expect("a valid configuration");
        let informed_at = (self.restarted_at <= self.now).then_some(self.now);
        self.processes.push(Process {
            balancer,
            position,
            weight,
            informed_at,
        });
        let process = self.processes.len() - 1;
        let backends = self.list(informed_at.is_some());
        self.handle(
            process,
            Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                backends,
            },
        );
        process
    }

    /// The endpoint list before or after the restart.
    fn list(&self, restarted: bool) -> Vec<Backend> {
        let backend = |id: u32| Backend {
            id: BackendId(id),
            address_hash: u64::from(id.wrapping_mul(2_654_435_761)) >> 4,
            zone: ZoneId(id % 3),
            state: BackendState::Ready,
            started_at: (restarted && id < self.case.restarted_backends)
                .then_some(Time(self.restarted_at)),
            ..Backend::default()
        };
        let removed = if restarted {
            self.case.removed_backends
        } else {
            0
        };
        (0..self.case.backends - removed).map(backend).collect()
    }

    /// Starts a new process of the old one's proxy, in its place or beside it.
    fn replace(&mut self, old: usize, start: ProcessStart) {
        let (position, weight) = (self.processes[old].position, self.processes[old].weight);
        let new = self.start(position, weight);
        let state = Box::new(self.processes[old].balancer.learned_state(Time(self.now)));
        if start != ProcessStart::Empty {
            self.handle(
                new,
                Event::StateRestored {
                    state,
                    age: Micros(0),
                },
            );
        }
        self.processes[old].weight = 0.0;
        if start == ProcessStart::Concurrent {
            self.handle(old, Event::ProcessCountChanged { processes: 2 });
            self.handle(new, Event::ProcessCountChanged { processes: 2 });
            (self.processes[old].weight, self.processes[new].weight) = (weight / 2.0, weight / 2.0);
            self.schedule(self.now + 4 * SECOND, Queued::PredecessorExit(old, new));
        }
    }

    /// Replaces all processes one after another within `span` µs.
    fn replace_all(&mut self, span: u64, start: ProcessStart) {
        let count = self.processes.len();
        for old in 0..count {
            self.replace(old, start);
            self.run(span / count as u64);
        }
    }

    /// Restarts the first backends; each process learns of it after a random delay.
    fn restart_backends(&mut self) {
        self.restarted_at = self.now;
        for backend in 0..self.case.restarted_backends as usize {
            self.cores[backend].fill(self.now);
        }
        for process in 0..self.processes.len() {
            let delay = self.random.below(self.case.max_update_delay);
            self.schedule(self.now + delay, Queued::EndpointsAnnounced(process));
        }
    }

    /// Passes an event to a process and carries out its actions.
    fn handle(&mut self, process: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[process]
            .balancer
            .handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => self.dispatch(process, request, backend.0),
                Action::Cancel { request, attempt } => {
                    let cancelled =
                        Queued::AttemptEnd(process, request, attempt, self.now, Outcome::Cancelled);
                    self.schedule(self.now, cancelled);
                }
                Action::SetTimer { token, after } => {
                    self.schedule(self.now + after.0, Queued::Timer(process, token));
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt, which the first core of the backend to become free serves.
    fn dispatch(&mut self, process: usize, request: RequestId, backend: u32) {
        let Some((work, attempts)) = self.requests.get_mut(&request) else {
            return;
        };
        let (work, attempt) = (*work, AttemptNumber(*attempts));
        *attempts += 1;
        self.sent.push((
            self.now,
            backend,
            work,
            self.processes[process].informed_at.is_some(),
        ));
        let cold = backend < self.case.restarted_backends && self.now >= self.restarted_at;
        let speed = if cold {
            readiness(self.now - self.restarted_at)
        } else {
            1.0
        };
        let service_time_us =
            work * self.case.cores as f64 / self.case.service_rate / speed * SECOND as f64;
        let Some(core) = self.cores[backend as usize].iter_mut().min() else {
            return;
        };
        *core = (*core).max(self.now) + service_time_us as u64;
        let end = *core;
        self.schedule(
            end,
            Queued::AttemptEnd(process, request, attempt, self.now, Outcome::Ok),
        );
    }

    /// A request arrives at a random process, and the next arrival is scheduled.
    fn arrival(&mut self) {
        let total_weight: f64 = self.processes.iter().map(|p| p.weight).sum();
        let mut remaining = self.random.unit() * total_weight;
        let mut selected = |p: &Process| {
            remaining -= p.weight;
            remaining < 0.0
        };
        let process = self.processes.iter().position(&mut selected).unwrap_or(0);
        let class = usize::from(self.random.unit() >= CLASSES[0].1);
        let work = CLASSES[class].0 * (0.5 + self.random.unit());
        self.next_id += 1;
        let (request, class) = (RequestId(self.next_id), ClassId(class));
        self.requests.insert(request, (work, 0));
        let time_left = Micros([750_000, 3 * SECOND][class.0]);
        let (tenant, work_hint, client_retry) = (None, None, false);
        let arrival = RequestArrival {
            request,
            class,
            tenant,
            time_left,
            work_hint,
            client_retry,
        };
        self.handle(process, Event::RequestArrived(arrival));
        let client_timeout = if self.now < self.restarted_at {
            3 * SECOND
        } else {
            self.case.client_timeout
        };
        let client_timeout = client_timeout / 2 + self.random.below(client_timeout);
        self.schedule(
            self.now + client_timeout,
            Queued::ClientDisconnect(process, request),
        );
        let load = if self.now < self.restarted_at {
            self.case.load_before
        } else {
            self.case.load_after
        };
        let rate = load * f64::from(self.case.backends) * self.case.service_rate;
        let gap = -(1.0 - self.random.unit()).ln() / rate * SECOND as f64;
        self.schedule(self.now + gap as u64, Queued::RequestArrival);
    }

    /// Runs all that is scheduled in the next `span` µs.
    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self
            .queue
            .first_key_value()
            .is_some_and(|(at, _)| at.0 < until)
        {
            let Some(((at, _), queued)) = self.queue.pop_first() else {
                return;
            };
            self.now = at;
            match queued {
                Queued::RequestArrival => self.arrival(),
                Queued::Timer(process, token) => self.handle(process, Event::TimerFired { token }),
                Queued::AttemptEnd(process, request, attempt, sent_at, outcome) => {
                    let (latency, answered) = (Micros(at - sent_at), true);
                    let end = AttemptEnd {
                        request,
                        attempt,
                        outcome,
                        latency,
                        answered,
                    };
                    self.handle(process, Event::AttemptEnded(end));
                }
                Queued::ClientDisconnect(process, request) => {
                    self.handle(process, Event::ClientDisconnected { request });
                }
                Queued::PredecessorExit(old, new) => {
                    self.processes[new].weight += std::mem::take(&mut self.processes[old].weight);
                    self.handle(new, Event::ProcessCountChanged { processes: 1 });
                }
                Queued::EndpointsAnnounced(process) => {
                    self.processes[process].informed_at.get_or_insert(at);
                    let backends = self.list(true);
                    self.handle(
                        process,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Full,
                            backends,
                        },
                    );
                }
            }
        }
        self.now = until;
    }

    /// Compares the work sent to each restarted backend in every overload window that ends with an attempt, with what
    /// the configuration allowed at the beginning of the window.
    fn windows(&self) -> WindowCounts {
        let mut windows = WindowCounts::default();
        for backend in 0..self.case.restarted_backends {
            let (mut all, mut informed, mut inside) = (0.0, 0.0, VecDeque::new());
            for (at, _, work, informed_sender) in self
                .sent
                .iter()
                .filter(|s| s.1 == backend && s.0 >= self.restarted_at)
            {
                let informed_work =
                    |work: f64, informed_sender: bool| if informed_sender { work } else { 0.0 };
                (all, informed) = (
                    all + work,
                    informed + informed_work(*work, *informed_sender),
                );
                inside.push_back((*at, *work, *informed_sender));
                while inside
                    .front()
                    .is_some_and(|s: &(u64, f64, bool)| s.0 + WINDOW <= *at)
                {
                    let Some((_, work, informed_sender)) = inside.pop_front() else {
                        break;
                    };
                    (all, informed) = (all - work, informed - informed_work(work, informed_sender));
                }
                let age = at.saturating_sub(WINDOW).saturating_sub(self.restarted_at);
                if age >= RAMP {
                    break;
                }
                let allowed = Config::example().overload_multiple
                    * readiness(age)
                    * self.case.service_rate
                    * 3.0;
                let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
                windows.count += 1;
                windows.over_by_informed += usize::from(informed > limit);
                windows.over_by_all += usize::from(all > limit);
                windows.over_mainly_by_informed +=
                    usize::from(all > limit && informed > all * 2.0 / 3.0);
                windows.highest_fill = (
                    windows.highest_fill.0.max(informed / allowed),
                    windows.highest_fill.1.max(all / allowed),
                );
            }
        }
        windows
    }
}

/// How many overload windows there were, and in how many more work was sent than allowed plus random variation.
#[derive(Debug, Default)]
struct WindowCounts {
    count: usize,
    /// Windows in which the processes that knew of the restart exceeded the limit by themselves.
    over_by_informed: usize,
    /// Windows in which all processes together exceeded the limit.
    over_by_all: usize,
    /// Of these, windows in which processes that knew of the restart sent over two thirds of the work.
    over_mainly_by_informed: usize,
    /// The highest work, as a fraction of what is allowed, by processes that knew of the restart, and by all.
    highest_fill: (f64, f64),
}

impl WindowCounts {
    fn add(&mut self, more: &WindowCounts) {
        self.count += more.count;
        self.over_by_informed += more.over_by_informed;
        self.over_by_all += more.over_by_all;
        self.over_mainly_by_informed += more.over_mainly_by_informed;
        self.highest_fill = (
            self.highest_fill.0.max(more.highest_fill.0),
            self.highest_fill.1.max(more.highest_fill.1),
        );
    }
}

/// The scenario of a seed.
fn case(proxies: u32, seed: u64) -> Case {
    let backends = match proxies {
        0..=3 => 6,
        4..=30 => 12,
        _ => 60,
    };
    Case {
        proxies,
        backends,
        restarted_backends: [1, backends / 2, backends][seed as usize % 3],
        service_rate: 40.0,
        cores: [1, 4][seed as usize / 2 % 2],
        load_before: [0.2, 0.7][seed as usize / 4 % 2],
        load_after: [0.7, 1.2, 2.5, 4.0][seed as usize / 8 % 4],
        cross_zone_cost: seed % 2 == 1,
        max_update_delay: [1, 4 * SECOND][seed as usize / 3 % 2],
        client_timeout: [20_000, 150_000, 3 * SECOND][seed as usize / 5 % 3],
        removed_backends: if seed % 3 == 1 { backends / 3 } else { 0 },
        seed,
    }
}

/// Runs the cases and adds up their windows.
fn run_cases(
    proxies: u32,
    cases: impl Iterator<Item = Case>,
    after_restart: fn(&mut Fleet),
) -> WindowCounts {
    let mut totals = WindowCounts::default();
    for case in cases {
        let mut fleet = Fleet::new(case);
        fleet.run(LEARNING_TIME);
        fleet.restart_backends();
        after_restart(&mut fleet);
        totals.add(&fleet.windows());
    }
    println!("{proxies} proxies: {totals:?}");
    totals
}

/// Runs generated cases; no window may exceed what is allowed.
fn assert_within_budget(proxies: u32, seeds: u64, after_restart: fn(&mut Fleet)) {
    let totals = run_cases(
        proxies,
        (0..seeds).map(|seed| case(proxies, seed)),
        after_restart,
    );
    assert!(
        totals.over_by_informed + totals.over_mainly_by_informed == 0,
        "{proxies} proxies: {totals:?}"
    );
}

/// Runs cases with a flood of clients that disconnect almost at once, so that only the slow-start budgets bound what is
/// sent; no window may exceed what is allowed.
fn assert_within_budget_in_flood(proxies: u32, after_restart: fn(&mut Fleet)) {
    let flood_case = |seed: u64| Case {
        backends: 4,
        restarted_backends: 2,
        removed_backends: 1,
        service_rate: [40.0, 100.0][seed as usize % 2],
        load_after: 4.0,
        client_timeout: 20_000,
        ..case(proxies, seed)
    };
    let totals = run_cases(proxies, (0..6).map(flood_case), after_restart);
    assert!(
        totals.over_by_informed + totals.over_mainly_by_informed == 0,
        "{proxies} proxies: {totals:?}"
    );
}

#[test]
fn one_or_three_proxies_stay_within_the_budget_of_cold_backends() {
    assert_within_budget(1, 40, |fleet| fleet.run(8 * SECOND));
    assert_within_budget(3, 40, |fleet| fleet.run(8 * SECOND));
}

#[test]
fn twenty_proxies_stay_within_the_budget_of_cold_backends() {
    assert_within_budget(20, 40, |fleet| fleet.run(6 * SECOND));
}

#[test]
fn thirty_proxies_stay_within_the_budget_of_cold_backends() {
    assert_within_budget(30, 40, |fleet| fleet.run(6 * SECOND));
}

#[test]
fn three_hundred_proxies_stay_within_the_budget_of_cold_backends() {
    assert_within_budget(300, 6, |fleet| fleet.run(5 * SECOND));
}

/// All proxies restart while their backends are cold and the budgets are spent: the new processes don't know what the
/// old ones sent, which still counts.
#[test]
fn restarted_processes_do_not_spend_the_budget_again() {
    for proxies in [1, 3, 20, 30, 60] {
        assert_within_budget_in_flood(proxies, |fleet| {
            fleet.run(3 * SECOND / 2);
            fleet.replace_all(SECOND / 10, ProcessStart::Restored);
            fleet.run(3 * SECOND);
        });
    }
}

/// The new processes know neither service rates nor what was sent, and the backends can't serve all requests.
#[test]
fn processes_without_learned_state_do_not_mistake_a_flood_for_capacity() {
    for proxies in [1, 3, 20, 30] {
        assert_within_budget_in_flood(proxies, |fleet| {
            fleet.run(SECOND / 2);
            fleet.replace_all(SECOND / 10, ProcessStart::Empty);
            fleet.run(5 * SECOND);
        });
    }
}

#[test]
fn two_concurrent_processes_of_a_proxy_share_one_budget() {
    for proxies in [1, 3, 20, 30] {
        assert_within_budget_in_flood(proxies, |fleet| {
            fleet.run(3 * SECOND / 2);
            fleet.replace_all(SECOND / 10, ProcessStart::Concurrent);
            fleet.run(7 * SECOND);
        });
    }
}

/// A full list without the restarted backends is followed by one with them: it is still the same start.
#[test]
fn a_backend_removed_and_listed_again_gets_no_second_budget() {
    for proxies in [1, 3, 30] {
        assert_within_budget_in_flood(proxies, |fleet| {
            fleet.run(3 * SECOND / 2);
            for process in 0..fleet.processes.len() {
                let whole = fleet.list(true);
                let backends = whole
                    .iter()
                    .filter(|b| b.started_at.is_none())
                    .cloned()
                    .collect();
                fleet.handle(
                    process,
                    Event::EndpointsUpdated {
                        update: EndpointUpdate::Full,
                        backends,
                    },
                );
                fleet.handle(
                    process,
                    Event::EndpointsUpdated {
                        update: EndpointUpdate::Full,
                        backends: whole,
                    },
                );
            }
            fleet.run(2 * SECOND);
        });
    }
}

/// The budgets limit a flood, but must not keep a backend that has warmed up from getting its share.
#[test]
fn a_restarted_backend_gets_an_even_share_by_the_end_of_its_ramp() {
    for proxies in [3, 30] {
        let mut fleet = Fleet::new(Case {
            restarted_backends: 2,
            load_after: 0.6,
            load_before: 0.6,
            client_timeout: 3 * SECOND,
            ..case(proxies, 6)
        });
        fleet.run(LEARNING_TIME);
        fleet.restart_backends();
        fleet.run(RAMP + 2 * SECOND);
        let late = fleet
            .sent
            .iter()
            .filter(|s| s.0 >= fleet.restarted_at + RAMP - 3 * SECOND);
        let (restarted, all) = late.fold((0.0, 0.0), |n, s| {
            (n.0 + f64::from(u8::from(s.1 < 2)), n.1 + 1.0)
        });
        let share = restarted / 2.0 / (all / f64::from(fleet.case.backends));
        assert!(
            share > 0.8,
            "{proxies} proxies: a restarted backend gets {share} of an even share by the end of its ramp"
        );
    }
}
