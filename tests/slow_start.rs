//! What all proxies together send to a backend that has just started, on one clock: cores that serve in turn and get
//! faster with the ramp, traffic that chance spreads unevenly, lists that reach each proxy at a time of its own.

use meadowproxy::*;
use std::collections::{BTreeMap, VecDeque};

const SECOND: u64 = 1_000_000;
const RAMP: u64 = 23 * SECOND;
const WINDOW: u64 = 3 * SECOND;
const COLD_FROM: f64 = 0.13;
/// Work and share of each class: the mean is 1.
const CLASSES: [(f64, f64); 2] = [(0.5, 0.75), (2.5, 0.25)];
/// Before anything restarts: speeds and rates are known by then.
const LEARN: u64 = 5 * SECOND;

/// Numbers by chance, the same for the same seed (splitmix64).
struct Chance(u64);

impl Chance {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, most: u64) -> u64 {
        (self.unit() * most as f64) as u64
    }
}

#[derive(Clone, Copy)]
struct Case {
    proxies: u32,
    backends: u32,
    /// How many of them restart together.
    cold: u32,
    cores: u64,
    /// Requests of mean work that a warm one serves a second.
    speed: f64,
    /// Traffic before the restart and after it, as a part of what all can do.
    before: f64,
    load: f64,
    near: bool,
    /// The restart reaches each proxy within so long.
    spread: u64,
    /// Clients leave after so long.
    patience: u64,
    /// So many others leave the list at the restart.
    lost: u32,
    seed: u64,
}

/// What falls due.
enum Due {
    RequestArrival,
    Timer(usize, TimerToken),
    End(usize, RequestId, AttemptNumber, u64, Outcome),
    Told(usize),
    Gone(usize, RequestId),
    /// The first has ended, the second is alone.
    Alone(usize, usize),
}

/// How a process starts.
#[derive(Clone, Copy, PartialEq)]
enum Start {
    /// After another, whose memory it takes.
    After,
    /// After another, of which nothing is left.
    Blank,
    /// Beside another, which goes on for four seconds.
    Beside,
}

/// A process of a proxy.
struct Process {
    balancer: Balancer,
    position: u32,
    /// Its part of the traffic.
    weight: f64,
    /// Since when it has been told of the restart.
    told: Option<u64>,
}

struct Fleet {
    case: Case,
    now: u64,
    boot: u64,
    chance: Chance,
    due: BTreeMap<(u64, u64), Due>,
    next: u64,
    processes: Vec<Process>,
    /// Of each request its work and attempts so far.
    requests: BTreeMap<RequestId, (f64, u32)>,
    /// When each core of each backend is free.
    cores: Vec<Vec<u64>>,
    /// Sends: when, to which backend, how much work, and by a process that knew of the restart.
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
        cross_zone_cost: if case.near { 0.05 } else { 0.0 },
        slow_start_min_readiness: COLD_FROM,
        slow_start_duration: Micros(RAMP),
        overload_window: Micros(WINDOW),
        ..Config::example()
    }
}

fn warmth(age: u64) -> f64 {
    COLD_FROM + (1.0 - COLD_FROM) * (age as f64 / RAMP as f64).min(1.0)
}

impl Fleet {
    fn new(case: Case) -> Fleet {
        let mut fleet = Fleet {
            case,
            now: 1_000 * SECOND,
            boot: u64::MAX,
            chance: Chance(case.seed),
            due: BTreeMap::new(),
            next: 0,
            processes: Vec::new(),
            requests: BTreeMap::new(),
            cores: vec![vec![0; case.cores as usize]; case.backends as usize],
            sent: Vec::new(),
        };
        // A tenth of the proxies get five times the mean, and of three one twice as much.
        let many = case.proxies.div_ceil(10);
        let (high, count) = (
            if case.proxies < 10 { 2.0 } else { 5.0 },
            f64::from(case.proxies),
        );
        let low = (count - high * f64::from(many)) / f64::from(case.proxies - many).max(1.0);
        for position in 0..case.proxies {
            // Who gets more lies anywhere among the positions.
            let place = (u64::from(position) + case.seed) % u64::from(case.proxies);
            let weight = if place.is_multiple_of(10) { high } else { low };
            fleet.start(position, weight);
        }
        fleet.at(fleet.now, Due::RequestArrival);
        fleet
    }

    fn at(&mut self, time: u64, due: Due) {
        self.next += 1;
        self.due.insert((time, self.next), due);
    }

    /// A new process of the proxy, which has the list of this moment and knows nothing else.
    fn start(&mut self, position: u32, weight: f64) -> usize {
        let seed = self.case.seed * 1_000 + self.processes.len() as u64;
        let balancer = Balancer::new(config(&self.case, position), seed).expect("sound");
        let told = (self.boot <= self.now).then_some(self.now);
        self.processes.push(Process {
            balancer,
            position,
            weight,
            told,
        });
        let process = self.processes.len() - 1;
        let backends = self.list(told.is_some());
        self.tell(
            process,
            Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                backends,
            },
        );
        process
    }

    fn list(&self, restarted: bool) -> Vec<Backend> {
        let one = |id: u32| Backend {
            id: BackendId(id),
            address_hash: u64::from(id.wrapping_mul(2_654_435_761)) >> 4,
            zone: ZoneId(id % 3),
            state: BackendState::Ready,
            started_at: (restarted && id < self.case.cold).then_some(Time(self.boot)),
            ..Backend::default()
        };
        let lost = if restarted { self.case.lost } else { 0 };
        (0..self.case.backends - lost).map(one).collect()
    }

    /// A new process in place of one that ends, or beside it.
    fn replace(&mut self, old: usize, how: Start) {
        let (position, weight) = (self.processes[old].position, self.processes[old].weight);
        let new = self.start(position, weight);
        let memory = Box::new(self.processes[old].balancer.learned_state(Time(self.now)));
        if how != Start::Blank {
            self.tell(
                new,
                Event::StateRestored {
                    state: memory,
                    age: Micros(0),
                },
            );
        }
        self.processes[old].weight = 0.0;
        if how == Start::Beside {
            self.tell(old, Event::ProcessCountChanged { processes: 2 });
            self.tell(new, Event::ProcessCountChanged { processes: 2 });
            (self.processes[old].weight, self.processes[new].weight) = (weight / 2.0, weight / 2.0);
            self.at(self.now + 4 * SECOND, Due::Alone(old, new));
        }
    }

    /// All processes are replaced one after another within so long.
    fn roll(&mut self, span: u64, how: Start) {
        let count = self.processes.len();
        for old in 0..count {
            self.replace(old, how);
            self.play(span / count as u64);
        }
    }

    /// The first of the backends restart, and each process hears of it in its time.
    fn restart(&mut self) {
        self.boot = self.now;
        for backend in 0..self.case.cold as usize {
            self.cores[backend].fill(self.now);
        }
        for process in 0..self.processes.len() {
            let late = self.chance.below(self.case.spread);
            self.at(self.now + late, Due::Told(process));
        }
    }

    fn tell(&mut self, process: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[process]
            .balancer
            .handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => self.dispatch(process, request, backend.0),
                Action::Cancel { request, attempt } => {
                    let cancelled =
                        Due::End(process, request, attempt, self.now, Outcome::Cancelled);
                    self.at(self.now, cancelled);
                }
                Action::SetTimer { token, after } => {
                    self.at(self.now + after.0, Due::Timer(process, token));
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, process: usize, request: RequestId, backend: u32) {
        let Some((work, tries)) = self.requests.get_mut(&request) else {
            return;
        };
        let (work, attempt) = (*work, AttemptNumber(*tries));
        *tries += 1;
        self.sent.push((
            self.now,
            backend,
            work,
            self.processes[process].told.is_some(),
        ));
        let cold = backend < self.case.cold && self.now >= self.boot;
        let pace = if cold {
            warmth(self.now - self.boot)
        } else {
            1.0
        };
        let takes = work * self.case.cores as f64 / self.case.speed / pace * SECOND as f64;
        let Some(core) = self.cores[backend as usize].iter_mut().min() else {
            return;
        };
        *core = (*core).max(self.now) + takes as u64;
        let end = *core;
        self.at(
            end,
            Due::End(process, request, attempt, self.now, Outcome::Ok),
        );
    }

    fn arrival(&mut self) {
        let all: f64 = self.processes.iter().map(|p| p.weight).sum();
        let mut left = self.chance.unit() * all;
        let mut hit = |p: &Process| {
            left -= p.weight;
            left < 0.0
        };
        let process = self.processes.iter().position(&mut hit).unwrap_or(0);
        let class = usize::from(self.chance.unit() >= CLASSES[0].1);
        let work = CLASSES[class].0 * (0.5 + self.chance.unit());
        self.next += 1;
        let (request, class) = (RequestId(self.next), ClassId(class));
        self.requests.insert(request, (work, 0));
        let time_left = Micros([750_000, 3 * SECOND][class.0]);
        let (tenant, work_hint, repeat) = (None, None, false);
        let arrival = RequestArrival {
            request,
            class,
            tenant,
            time_left,
            work_hint,
            client_retry: repeat,
        };
        self.tell(process, Event::RequestArrived(arrival));
        let patience = if self.now < self.boot {
            3 * SECOND
        } else {
            self.case.patience
        };
        let patience = patience / 2 + self.chance.below(patience);
        self.at(self.now + patience, Due::Gone(process, request));
        let load = if self.now < self.boot {
            self.case.before
        } else {
            self.case.load
        };
        let rate = load * f64::from(self.case.backends) * self.case.speed;
        let gap = -(1.0 - self.chance.unit()).ln() / rate * SECOND as f64;
        self.at(self.now + gap as u64, Due::RequestArrival);
    }

    fn play(&mut self, span: u64) {
        let until = self.now + span;
        while self
            .due
            .first_key_value()
            .is_some_and(|(at, _)| at.0 < until)
        {
            let Some(((at, _), due)) = self.due.pop_first() else {
                return;
            };
            self.now = at;
            match due {
                Due::RequestArrival => self.arrival(),
                Due::Timer(process, token) => self.tell(process, Event::TimerFired { token }),
                Due::End(process, request, attempt, sent, outcome) => {
                    let (latency, settled) = (Micros(at - sent), true);
                    let end = AttemptEnd {
                        request,
                        attempt,
                        outcome,
                        latency,
                        answered: settled,
                    };
                    self.tell(process, Event::AttemptEnded(end));
                }
                Due::Gone(process, request) => {
                    self.tell(process, Event::ClientDisconnected { request });
                }
                Due::Alone(old, new) => {
                    self.processes[new].weight += std::mem::take(&mut self.processes[old].weight);
                    self.tell(new, Event::ProcessCountChanged { processes: 1 });
                }
                Due::Told(process) => {
                    self.processes[process].told.get_or_insert(at);
                    let backends = self.list(true);
                    self.tell(
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

    /// The windows since the start, each ended by a send to a cold backend, beside what the settings allow as it
    /// began.
    fn windows(&self) -> Windows {
        let mut windows = Windows::default();
        for backend in 0..self.case.cold {
            let (mut all, mut told, mut inside) = (0.0, 0.0, VecDeque::new());
            for (at, _, work, knew) in self
                .sent
                .iter()
                .filter(|s| s.1 == backend && s.0 >= self.boot)
            {
                let by_told = |work: f64, knew: bool| if knew { work } else { 0.0 };
                (all, told) = (all + work, told + by_told(*work, *knew));
                inside.push_back((*at, *work, *knew));
                while inside
                    .front()
                    .is_some_and(|s: &(u64, f64, bool)| s.0 + WINDOW <= *at)
                {
                    let Some((_, work, knew)) = inside.pop_front() else {
                        break;
                    };
                    (all, told) = (all - work, told - by_told(work, knew));
                }
                let age = at.saturating_sub(WINDOW).saturating_sub(self.boot);
                if age >= RAMP {
                    break;
                }
                let allowed =
                    Config::example().overload_multiple * warmth(age) * self.case.speed * 3.0;
                let most = allowed + 2.0 * allowed.sqrt() + 2.0;
                windows.count += 1;
                windows.over_told += usize::from(told > most);
                windows.over_all += usize::from(all > most);
                windows.broken += usize::from(all > most && told > all * 2.0 / 3.0);
                windows.fullest = (
                    windows.fullest.0.max(told / allowed),
                    windows.fullest.1.max(all / allowed),
                );
            }
        }
        windows
    }
}

/// How many windows there were, and in how many more came than chance explains.
#[derive(Debug, Default)]
struct Windows {
    count: usize,
    /// From those alone that had been told of the start.
    over_told: usize,
    /// From all.
    over_all: usize,
    /// From all, and over two thirds of it from those that had been told.
    broken: usize,
    /// The most that came from those told, and from all, as a part of what is allowed.
    fullest: (f64, f64),
}

impl Windows {
    fn add(&mut self, more: &Windows) {
        self.count += more.count;
        self.over_told += more.over_told;
        self.over_all += more.over_all;
        self.broken += more.broken;
        self.fullest = (
            self.fullest.0.max(more.fullest.0),
            self.fullest.1.max(more.fullest.1),
        );
    }
}

fn case(proxies: u32, seed: u64) -> Case {
    let backends = match proxies {
        0..=3 => 6,
        4..=30 => 12,
        _ => 60,
    };
    Case {
        proxies,
        backends,
        cold: [1, backends / 2, backends][seed as usize % 3],
        speed: 40.0,
        cores: [1, 4][seed as usize / 2 % 2],
        before: [0.2, 0.7][seed as usize / 4 % 2],
        load: [0.7, 1.2, 2.5, 4.0][seed as usize / 8 % 4],
        near: seed % 2 == 1,
        spread: [1, 4 * SECOND][seed as usize / 3 % 2],
        patience: [20_000, 150_000, 3 * SECOND][seed as usize / 5 % 3],
        lost: if seed % 3 == 1 { backends / 3 } else { 0 },
        seed,
    }
}

/// Plays the cases and sums their windows up.
fn sum(proxies: u32, cases: impl Iterator<Item = Case>, then: fn(&mut Fleet)) -> Windows {
    let mut sum = Windows::default();
    for case in cases {
        let mut fleet = Fleet::new(case);
        fleet.play(LEARN);
        fleet.restart();
        then(&mut fleet);
        sum.add(&fleet.windows());
    }
    println!("{proxies} proxies: {sum:?}");
    sum
}

fn hold(proxies: u32, seeds: u64, then: fn(&mut Fleet)) {
    let sum = sum(proxies, (0..seeds).map(|seed| case(proxies, seed)), then);
    assert!(
        sum.over_told + sum.broken == 0,
        "{proxies} proxies: {sum:?}"
    );
}

/// A flood of clients that leave almost at once: nothing but the budgets bounds what is sent.
fn flood(proxies: u32, then: fn(&mut Fleet)) {
    let flood = |seed: u64| Case {
        backends: 4,
        cold: 2,
        lost: 1,
        speed: [40.0, 100.0][seed as usize % 2],
        load: 4.0,
        patience: 20_000,
        ..case(proxies, seed)
    };
    let sum = sum(proxies, (0..6).map(flood), then);
    assert!(
        sum.over_told + sum.broken == 0,
        "{proxies} proxies: {sum:?}"
    );
}

#[test]
fn one_or_three_proxies_keep_within_what_a_cold_backend_may_get() {
    hold(1, 40, |fleet| fleet.play(8 * SECOND));
    hold(3, 40, |fleet| fleet.play(8 * SECOND));
}

#[test]
fn twenty_proxies_together_keep_within_what_a_cold_backend_may_get() {
    hold(20, 40, |fleet| fleet.play(6 * SECOND));
}

#[test]
fn thirty_proxies_together_keep_within_what_a_cold_backend_may_get() {
    hold(30, 40, |fleet| fleet.play(6 * SECOND));
}

#[test]
fn three_hundred_proxies_together_keep_within_what_a_cold_backend_may_get() {
    hold(300, 6, |fleet| fleet.play(5 * SECOND));
}

/// All proxies end and start again while their backends are cold and the budgets are spent: what the old processes
/// had sent is unknown to the new ones, and weighs still.
#[test]
fn processes_that_start_again_do_not_spend_anew_what_was_spent_before_them() {
    for proxies in [1, 3, 20, 30, 60] {
        flood(proxies, |fleet| {
            fleet.play(3 * SECOND / 2);
            fleet.roll(SECOND / 10, Start::After);
            fleet.play(3 * SECOND);
        });
    }
}

/// They know neither speeds nor what was sent, and more is asked of them than all can do.
#[test]
fn processes_that_know_nothing_do_not_take_a_flood_for_speed() {
    for proxies in [1, 3, 20, 30] {
        flood(proxies, |fleet| {
            fleet.play(SECOND / 2);
            fleet.roll(SECOND / 10, Start::Blank);
            fleet.play(5 * SECOND);
        });
    }
}

#[test]
fn two_processes_of_each_proxy_together_spend_what_one_may() {
    for proxies in [1, 3, 20, 30] {
        flood(proxies, |fleet| {
            fleet.play(3 * SECOND / 2);
            fleet.roll(SECOND / 10, Start::Beside);
            fleet.play(7 * SECOND);
        });
    }
}

/// A whole list without the backend, and the next one with it again: it is the same start.
#[test]
fn a_backend_that_was_off_the_list_for_a_moment_is_not_sent_its_budget_anew() {
    for proxies in [1, 3, 30] {
        flood(proxies, |fleet| {
            fleet.play(3 * SECOND / 2);
            for process in 0..fleet.processes.len() {
                let whole = fleet.list(true);
                let backends = whole
                    .iter()
                    .filter(|b| b.started_at.is_none())
                    .cloned()
                    .collect();
                fleet.tell(
                    process,
                    Event::EndpointsUpdated {
                        update: EndpointUpdate::Full,
                        backends,
                    },
                );
                fleet.tell(
                    process,
                    Event::EndpointsUpdated {
                        update: EndpointUpdate::Full,
                        backends: whole,
                    },
                );
            }
            fleet.play(2 * SECOND);
        });
    }
}

/// The budgets bound a flood and hold nothing back from a backend that could do more.
#[test]
fn a_restarted_backend_gets_its_fair_load_by_the_end_of_its_ramp() {
    for proxies in [3, 30] {
        let mut fleet = Fleet::new(Case {
            cold: 2,
            load: 0.6,
            before: 0.6,
            patience: 3 * SECOND,
            ..case(proxies, 6)
        });
        fleet.play(LEARN);
        fleet.restart();
        fleet.play(RAMP + 2 * SECOND);
        let late = fleet
            .sent
            .iter()
            .filter(|s| s.0 >= fleet.boot + RAMP - 3 * SECOND);
        let (cold, all) = late.fold((0.0, 0.0), |n, s| {
            (n.0 + f64::from(u8::from(s.1 < 2)), n.1 + 1.0)
        });
        let part = cold / 2.0 / (all / f64::from(fleet.case.backends));
        assert!(
            part > 0.8,
            "{proxies} proxies: {part} of an even part by the end of the ramp"
        );
    }
}
