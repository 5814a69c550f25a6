//! A small world of clients, backends, discovery, operators and peers around one balancer. All of it is drawn
//! from one seed, in whole numbers, and answers to what the module does.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use crate::encoding::{encode_action, encode_memory};
use meadowproxy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

#[derive(Clone)]
pub struct Stream {
    pub name: &'static str,
    pub seed: u64,
    pub proxies: u32,
    pub backends: u32,
    pub kinds: u32,
    pub zones: u32,
    pub tenants: usize,
    pub classes: usize,
    /// Mean time between two first tries.
    pub gap_us: u64,
    /// Mean time between two changes around the proxy.
    pub churn_us: u64,
    pub steps: usize,
    pub near: bool,
    pub locality: bool,
    pub ask: bool,
    pub copies: bool,
    pub cancel: bool,
    /// Backends begin cold and start again often.
    pub cold: bool,
    /// Lines come with other zones, kinds and marks than before.
    pub moves: bool,
}

/// What a backend does with what it is sent.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Good,
    Dead,
    Silent,
    Failing,
    Slow,
    Full,
    Breaking,
}

/// What comes due.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrive,
    Again(usize, Option<usize>),
    Timer(u64),
    Begin(u64, u32),
    Uploaded(u64, u32),
    End(u64, u32),
    Cancelled(u64, u32),
    Deadline(u64),
    Leave(u64),
    Churn,
}

struct Try {
    sent: u64,
    outcome: Outcome,
    out: bool,
}

struct Open {
    class: usize,
    tenant: Option<usize>,
    deadline: u64,
    settled: bool,
    tries: Vec<Try>,
}

pub struct World {
    balancer: Balancer,
    cfg: Config,
    live: Vec<bool>,
    draw: Pcg32,
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Due)>>,
    open: BTreeMap<u64, Open>,
    list: BTreeMap<u32, (Backend, Mood)>,
    next_request: u64,
    next_backend: u32,
    stream: Stream,
    hash: u64,
    pub did: BTreeMap<String, usize>,
}

const BASE: [u64; 5] = [8_000, 20_000, 35_000, 60_000, 90_000];

fn classes(count: usize) -> Vec<RequestClass> {
    let window = Micros(300_000);
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed {
            scope: KeyScope::Zone,
            window,
        },
        Idempotency::Keyed {
            scope: KeyScope::Cell,
            window,
        },
        Idempotency::Keyed {
            scope: KeyScope::All,
            window,
        },
        Idempotency::Idempotent,
    ];
    let class = |n: usize| RequestClass {
        latency_objective: Micros(120_000 + 70_000 * (n as u64 % 7)),
        objective_per_work: 0.25 * (n % 3) as f64,
        idempotency: effects[n % effects.len()],
        priority_weight: 1.0 + (n % 4) as f64,
        late_weight: 0.1 * (n % 5) as f64,
    };
    (0..count).map(class).collect()
}

fn config(s: &Stream) -> Config {
    let mut cfg = Config::example();
    cfg.proxy_count = s.proxies;
    cfg.proxy_index = s.proxies / 3;
    cfg.classes = classes(s.classes).into_iter().collect();
    let share = 1e6 / s.gap_us as f64 * f64::from(s.proxies) / s.tenants as f64;
    cfg.tenants = (0..s.tenants)
        .map(|n| Tenant {
            quota_per_s: share * (0.3 + 0.4 * (n % 4) as f64),
        })
        .collect();
    cfg.worst_class_objective_weight = 0.3;
    cfg.hedging = s.copies;
    cfg.cancellation = s.cancel;
    cfg.cross_zone_cost = if s.near { 0.05 } else { 0.0 };
    if s.ask {
        cfg.discovery = Discovery::Poll {
            staleness_limit: Micros(2_000_000),
        };
    }
    if s.locality {
        cfg.zone_failover = Some(ZoneFailover {
            unhealthy_threshold: 0.5,
            recovery_ramp: Micros(2_000_000),
        });
        cfg.regions = (0..s.zones).map(|z| (ZoneId(z), RegionId(z % 3))).collect();
    }
    cfg.slow_start_duration = Micros(4_000_000);
    cfg
}

impl World {
    pub fn new(stream: &Stream) -> World {
        World::with_seed(stream, stream.seed)
    }

    /// The same events as far as they do not answer to the module, which has that seed.
    pub fn with_seed(stream: &Stream, seed: u64) -> World {
        let cfg = config(stream);
        let balancer = Balancer::new(cfg.clone(), seed).expect("sound");
        let mut world = World {
            balancer,
            live: vec![true; stream.classes],
            cfg,
            draw: Pcg32::seed_from_u64(stream.seed),
            now: 1_000_000_000,
            seq: 0,
            queue: BinaryHeap::new(),
            open: BTreeMap::new(),
            list: BTreeMap::new(),
            next_request: 0,
            next_backend: 0,
            stream: stream.clone(),
            hash: 0xcbf2_9ce4_8422_2325,
            did: BTreeMap::new(),
        };
        (0..stream.backends).for_each(|_| world.add_backend());
        world.tell_whole(EndpointUpdate::Full);
        world.plan(0, Due::Arrive);
        world.plan(1_500_000, Due::Churn);
        world
    }

    /// A number below `most`.
    fn below(&mut self, most: u64) -> u64 {
        (u64::from(self.draw.next_u32()) * most) >> 32
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn plan(&mut self, after: u64, due: Due) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + after, self.seq, due)));
    }

    /// Of all actions so far, and of what was learned by now.
    pub fn digest(&mut self) -> u32 {
        let memory = self.balancer.learned_state(Time(self.now));
        self.fold(&encode_memory(&memory));
        (self.hash >> 32) as u32 ^ self.hash as u32
    }

    fn fold(&mut self, words: &[u64]) {
        for byte in words.iter().flat_map(|word| word.to_le_bytes()) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn count(&mut self, what: &str) {
        *self.did.entry(what.into()).or_default() += 1;
    }

    /// Until one event more has been told.
    pub fn step(&mut self) {
        loop {
            let Reverse((at, _, due)) = self.queue.pop().expect("arrivals never end");
            self.now = self.now.max(at);
            if let Some(event) = self.due(due) {
                return self.tell(event);
            }
        }
    }

    fn due(&mut self, due: Due) -> Option<Event> {
        match due {
            Due::Arrive => {
                let burst = self.one_in(40);
                let gap = if burst {
                    1
                } else {
                    self.below(2 * self.stream.gap_us)
                };
                self.plan(gap, Due::Arrive);
                // A few routes and customers bring most of the traffic.
                let class = self.skewed(self.cfg.classes.len());
                let class = if self.live[class] { class } else { 0 };
                let tenant = (!self.one_in(5)).then(|| self.skewed(self.cfg.tenants.len()));
                Some(self.arrive(class, tenant, false))
            }
            Due::Again(class, tenant) => Some(self.arrive(class, tenant, true)),
            Due::Timer(token) => Some(Event::TimerFired {
                token: TimerToken(token),
            }),
            Due::Begin(request, no) => {
                let r = self.open.get_mut(&request).filter(|r| !r.settled)?;
                r.tries.get(no as usize).filter(|t| t.out)?;
                r.settled = true;
                Some(Event::ResponseStarted {
                    request: RequestId(request),
                    attempt: AttemptNumber(no),
                })
            }
            Due::Uploaded(request, no) => {
                let r = self.open.get_mut(&request)?;
                let t = r.tries.get_mut(no as usize).filter(|t| t.out)?;
                t.sent = self.now;
                let time_left = Micros(400_000);
                r.deadline = self.now + time_left.0;
                Some(Event::UploadFinished {
                    request: RequestId(request),
                    attempt: AttemptNumber(no),
                    time_left,
                })
            }
            Due::End(request, no) => self.end(request, no, None),
            Due::Cancelled(request, no) => self.end(request, no, Some(Outcome::Cancelled)),
            Due::Deadline(request) => {
                let r = self.open.get_mut(&request)?;
                if self.now < r.deadline {
                    let left = r.deadline - self.now;
                    self.plan(left, Due::Deadline(request));
                    return None;
                }
                if let Some(no) = r
                    .tries
                    .iter()
                    .position(|t| t.out && t.outcome == Outcome::TimedOut)
                {
                    self.plan(0, Due::Deadline(request));
                    return self.end(request, no as u32, None);
                }
                (!std::mem::replace(&mut r.settled, true)).then_some(Event::ClientDisconnected {
                    request: RequestId(request),
                })
            }
            Due::Leave(request) => {
                let r = self.open.get_mut(&request).filter(|r| !r.settled)?;
                r.settled = true;
                Some(Event::ClientDisconnected {
                    request: RequestId(request),
                })
            }
            Due::Churn => {
                let gap = self.below(2 * self.stream.churn_us) + 1;
                self.plan(gap, Due::Churn);
                Some(self.churn())
            }
        }
    }

    fn skewed(&mut self, count: usize) -> usize {
        let (a, b) = (self.below(count as u64), self.below(count as u64));
        a.min(b) as usize
    }

    fn arrive(&mut self, class: usize, tenant: Option<usize>, repeat: bool) -> Event {
        self.next_request += 1;
        let id = self.next_request;
        let left = 30_000 + self.below(1_500_000);
        self.open.insert(
            id,
            Open {
                class,
                tenant,
                deadline: self.now + left,
                settled: false,
                tries: Vec::new(),
            },
        );
        self.plan(left, Due::Deadline(id));
        if self.one_in(50) {
            let at = self.below(left);
            self.plan(at, Due::Leave(id));
        }
        let hint = self.below(200_000);
        Event::RequestArrived(RequestArrival {
            request: RequestId(id),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            time_left: Micros(left),
            work_hint: (hint > 100_000).then_some(Micros(hint)),
            client_retry: repeat,
        })
    }

    fn end(&mut self, request: u64, no: u32, outcome: Option<Outcome>) -> Option<Event> {
        let now = self.now;
        let r = self.open.get_mut(&request)?;
        let t = r.tries.get_mut(no as usize).filter(|t| t.out)?;
        t.out = false;
        let outcome = outcome.unwrap_or(t.outcome);
        let latency = Micros(now - t.sent);
        r.settled |= outcome == Outcome::Ok;
        let (request, attempt, settled) = (RequestId(request), AttemptNumber(no), r.settled);
        Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            answered: settled,
        }))
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(Time(self.now), event, &mut actions);
        for action in actions {
            self.fold(&[self.now]);
            self.fold(&encode_action(&action));
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend } => {
                self.count("Dispatch");
                self.dispatch(request.0, backend.0);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.count("Refuse");
                let Some(r) = self.open.get_mut(&request.0) else {
                    return;
                };
                r.settled = true;
                let again = Due::Again(r.class, r.tenant);
                if self.one_in(3) {
                    self.plan(retry_after.0, again);
                }
            }
            Action::Fail { request } => {
                self.count("Fail");
                self.open
                    .get_mut(&request.0)
                    .into_iter()
                    .for_each(|r| r.settled = true);
            }
            Action::Cancel { request, attempt } => {
                self.count("Cancel");
                self.plan(0, Due::Cancelled(request.0, attempt.0));
            }
            Action::SetTimer { token, after } => {
                self.count("SetTimer");
                self.plan(after.0, Due::Timer(token.0));
            }
            Action::PollDiscovery => {
                self.count("Follow");
                self.plan(30_000, Due::Churn); // discovery answers, or something else goes on
            }
            Action::PublishVerdict { .. } => self.count("Tell"),
            Action::Log(text) => {
                self.count("Log");
                let words = [
                    "ejected: ",
                    "on the verdicts",
                    "readmitted",
                    "taken out of use:",
                    "returning",
                    "configuration rejected",
                    "restored learned state",
                ];
                for word in words.into_iter().filter(|w| text.contains(w)) {
                    self.count(match word {
                        "taken out of use:" => "zone taken out of use",
                        "returning" => "zone returning",
                        "ejected: " => "ejected",
                        other => other,
                    });
                }
            }
        }
    }

    fn dispatch(&mut self, request: u64, backend: u32) {
        let (kind, mood) = {
            let (b, mood) = &self.list[&backend];
            (b.hardware_class.0 as usize, *mood)
        };
        let (a, b, c) = (self.below(1_000), self.below(1_000), self.below(100));
        let work = BASE[kind % BASE.len()] * (200 + a * b * 3 / 1_000) / 1_000;
        let (outcome, after) = match mood {
            Mood::Dead => (Outcome::ConnectFailed, 1_000),
            Mood::Silent => (Outcome::TimedOut, u64::MAX),
            Mood::Failing if c < 60 => (Outcome::Error, work / 2),
            Mood::Breaking if c < 40 => (Outcome::Reset, work / 2),
            Mood::Full if c < 50 => (Outcome::Overloaded, 500),
            Mood::Slow => (Outcome::Ok, work * 20),
            _ if c == 0 => (Outcome::Error, work),
            _ if c == 1 => (Outcome::NotSent, 100),
            _ => (Outcome::Ok, work),
        };
        let now = self.now;
        let Some(r) = self.open.get_mut(&request) else {
            return;
        };
        let no = r.tries.len() as u32;
        if no > 0 {
            *self.did.entry("second attempts".into()).or_default() += 1;
        }
        let late = now.saturating_add(after) >= r.deadline;
        let outcome = if late { Outcome::TimedOut } else { outcome };
        r.tries.push(Try {
            sent: now,
            outcome,
            out: true,
        });
        if late {
            return; // it ends with the client's patience
        }
        match (outcome, c) {
            (Outcome::Ok, 90..) => {
                self.plan(after / 2, Due::Begin(request, no));
                self.plan(after * 2, Due::End(request, no));
            }
            (Outcome::Ok, 85..) => {
                self.plan(after, Due::Uploaded(request, no));
                self.plan(after * 2, Due::End(request, no));
                let (request, attempt) = (RequestId(request), AttemptNumber(no));
                self.tell(Event::UploadStarted { request, attempt });
            }
            _ => self.plan(after, Due::End(request, no)),
        }
    }

    fn add_backend(&mut self) {
        let id = self.next_backend;
        self.next_backend += 1;
        let zone = self.below(u64::from(self.stream.zones)) as u32;
        let kind = self.below(u64::from(self.stream.kinds)) as u32;
        let booted = if self.stream.cold || id >= self.stream.backends {
            let ago = self.below(6_000_000);
            Some(Time(self.now - ago))
        } else {
            None
        };
        let entry = Backend {
            id: BackendId(id),
            address_hash: u64::from(self.draw.next_u32()) << 12 | u64::from(id),
            zone: ZoneId(zone),
            cell: CellId(u64::from(zone) * 3 + u64::from(id % 3)),
            hardware_class: HardwareClassId(kind),
            state: BackendState::Ready,
            started_at: booted,
        };
        self.list.insert(id, (entry, Mood::Good));
    }

    /// The whole list but what is gone, and sometimes two lines less.
    fn whole(&mut self) -> Vec<Backend> {
        let mut lines: Vec<Backend> = self.list.values().map(|(b, _)| b.clone()).collect();
        lines.retain(|b| b.state != BackendState::Removed);
        if self.one_in(3) {
            for _ in 0..2.min(lines.len()) {
                let at = self.below(lines.len() as u64) as usize;
                let id = lines.remove(at).id.0;
                self.list
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|b| b.0.state = BackendState::Removed);
            }
        }
        if self.one_in(4) {
            lines.reverse(); // a list need not be in order
        }
        lines
    }

    fn tell_whole(&mut self, update: EndpointUpdate) {
        let backends = self.whole();
        self.tell(Event::EndpointsUpdated { update, backends });
    }

    fn any(&mut self) -> u32 {
        let at = self.below(self.list.len() as u64) as usize;
        *self.list.keys().nth(at).expect("some backend")
    }

    /// Something else than traffic.
    fn churn(&mut self) -> Event {
        let ill = self.list.values().filter(|b| b.1 != Mood::Good).count();
        match self.below(24) {
            0..=6 => {
                if ill * 4 > self.list.len() || ill > 0 && self.one_in(4) {
                    self.list.values_mut().for_each(|b| b.1 = Mood::Good);
                } else {
                    self.trouble();
                }
                self.word()
            }
            7..=11 => self.lines(),
            12 => Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                backends: self.whole(),
            },
            13 => match self.below(6) {
                0 => Event::EndpointsUpdated {
                    update: EndpointUpdate::Cached,
                    backends: self.whole(),
                },
                1 => Event::ProcessCountChanged {
                    processes: 1 + self.below(2) as u32,
                },
                _ => Event::EndpointsUpdated {
                    update: EndpointUpdate::Failed,
                    backends: Vec::new(),
                },
            },
            14 => Event::BackendDisabled {
                backend: BackendId(self.any()),
            },
            15 | 16 => {
                let (backend, ago) = (BackendId(self.any()), self.below(3_000_000));
                Event::BackendEnabled {
                    backend,
                    since: Time(self.now - ago),
                }
            }
            17 | 18 => self.retune(),
            19 => {
                let memory = Box::new(self.balancer.learned_state(Time(self.now)));
                Event::StateRestored {
                    state: memory,
                    age: Micros(self.below(20_000_000)),
                }
            }
            _ => self.word(),
        }
    }

    fn trouble(&mut self) {
        let moods = [
            Mood::Dead,
            Mood::Silent,
            Mood::Failing,
            Mood::Slow,
            Mood::Full,
            Mood::Breaking,
            Mood::Dead,
        ];
        let mood = moods[self.below(moods.len() as u64) as usize];
        let one = self.any();
        let zone = self.list[&one].0.zone;
        let whole = self.stream.zones > 1 && self.one_in(2);
        for (id, (b, m)) in &mut self.list {
            if *id == one || whole && b.zone == zone {
                *m = mood;
            }
        }
    }

    /// Some lines of the list: starts, drains, ends and new ones.
    fn lines(&mut self) -> Event {
        let mut changed = Vec::new();
        for _ in 0..=self.below(4) {
            let id = if self.list.len() < 2 * self.stream.backends as usize && self.one_in(5) {
                self.add_backend();
                self.next_backend - 1
            } else {
                self.any()
            };
            let (what, ago) = (self.below(8), self.below(500_000));
            let now = self.now;
            let place = (self.stream.moves && self.one_in(2)).then(|| {
                let zone = self.below(u64::from(self.stream.zones)) as u32;
                (
                    zone,
                    self.below(u64::from(self.stream.kinds)) as u32,
                    self.draw.next_u32(),
                )
            });
            let (b, mood) = self.list.get_mut(&id).expect("listed");
            if let Some((zone, kind, mark)) = place {
                // Whatever has another name is another backend: only those that start anew have another mark.
                (b.zone, b.hardware_class) = (ZoneId(zone), HardwareClassId(kind));
                if (2..=4).contains(&what) {
                    b.address_hash = u64::from(mark) << 12 | u64::from(id);
                }
            }
            match what {
                0 => b.state = BackendState::Draining,
                1 => b.state = BackendState::Removed,
                2..=4 => {
                    (b.state, b.started_at, *mood) =
                        (BackendState::Ready, Some(Time(now - ago)), Mood::Good);
                }
                _ => b.state = BackendState::Ready,
            }
            changed.push(b.clone());
        }
        Event::EndpointsUpdated {
            update: EndpointUpdate::Incremental,
            backends: changed,
        }
    }

    fn word(&mut self) -> Event {
        // Of a few the peers speak often: two of them have to agree.
        let backend = BackendId(if self.one_in(3) {
            self.any()
        } else {
            self.below(3) as u32
        });
        let origin = self.below(5) as u32;
        let term = Micros(500_000 + self.below(2_000_000));
        let strikes = 1 + self.below(3) as u8;
        let verdict = if self.one_in(3) {
            Verdict::Readmitted
        } else {
            Verdict::Ejected {
                duration: term,
                consecutive_ejections: strikes,
            }
        };
        Event::VerdictReceived(PeerVerdict {
            backend,
            origin: (origin > 0).then_some(PeerId(origin)),
            verdict,
            age: Micros(self.below(800_000)),
            max_age: Micros(700_000 + self.below(5_000_000)),
            live_peers: self.stream.proxies - 1,
            health_check_turn: self.below(u64::from(self.stream.proxies.min(4))) as u32,
        })
    }

    /// Other settings, and such as forget a number.
    fn retune(&mut self) -> Event {
        let mut cfg = self.cfg.clone();
        let (mut retired, mut successors) = (Vec::new(), Vec::new());
        match self.below(7) {
            0 => cfg.slow_start_duration = Micros(1_000_000 + self.below(8_000_000)),
            1 => cfg.overload_window = Micros(500_000 + self.below(3_000_000)),
            2 => cfg.cross_zone_cost = 0.02 * self.below(3) as f64,
            3 => {
                let at = self.below(cfg.tenants.len() as u64) as usize;
                cfg.tenants[at].quota_per_s *= 0.5 + 0.25 * self.below(5) as f64;
                cfg.tenants.push_back(Tenant {
                    quota_per_s: 1.0 + self.below(20) as f64,
                });
            }
            4 => {
                let old = self.skewed(cfg.classes.len());
                let class = cfg.classes[old].clone();
                let aim = class
                    .latency_objective
                    .mul_f64(0.75 + 0.25 * self.below(3) as f64);
                cfg.classes.push_back(RequestClass {
                    latency_objective: aim,
                    ..class
                });
                self.live.push(true);
                if old > 0 {
                    self.live[old] = false;
                    retired.push(ClassId(old));
                }
                successors.push(ClassSuccessor {
                    class: ClassId(cfg.classes.len() - 1),
                    predecessor: ClassId(old),
                });
            }
            5 => {
                cfg.tenants.pop_back();
                return settings(cfg, retired, successors);
            }
            _ => cfg.max_attempts = 2 + self.below(2) as u32,
        }
        self.cfg = cfg.clone();
        settings(cfg, retired, successors)
    }
}

fn settings(cfg: Config, retired: Vec<ClassId>, successors: Vec<ClassSuccessor>) -> Event {
    let config = Box::new(cfg.validated().expect("sound"));
    Event::ConfigChanged {
        config,
        retired,
        reinstated: Vec::new(),
        successors,
    }
}
