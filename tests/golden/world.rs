//! Simulates the clients, backends, discovery, operators and peers around one balancer for the golden tests. All events
//! are drawn from one seed with integer arithmetic and react to the balancer's actions.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use crate::encoding::{encode_action, encode_learned_state};
use meadowproxy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Parameters of a stream of events.
#[derive(Clone)]
pub struct Stream {
    pub name: &'static str,
    pub seed: u64,
    pub proxies: u32,
    pub backends: u32,
    pub hardware_classes: u32,
    pub zones: u32,
    pub tenants: usize,
    pub classes: usize,
    /// Mean time between two new requests.
    pub mean_arrival_gap_us: u64,
    /// Mean time between two changes of backends, endpoints, configuration or peer verdicts.
    pub mean_change_gap_us: u64,
    pub event_count: usize,
    /// Whether attempts across zones have a cost.
    pub cross_zone_cost: bool,
    pub zone_failover: bool,
    /// Whether discovery is polled instead of pushing its updates.
    pub poll_discovery: bool,
    pub hedging: bool,
    pub cancellation: bool,
    /// Whether the initial backends have started within the last 6 s; those added later always have.
    pub starting_backends: bool,
    /// Whether endpoint updates change a backend's zone, hardware class and address hash.
    pub relocating_backends: bool,
}

/// How a backend responds to attempts.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Healthy,
    Unreachable,
    Silent,
    Failing,
    Slow,
    Overloaded,
    Resetting,
}

/// What is scheduled at a time; attempts are given by request and attempt number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Arrival,
    ClientRetry(usize, Option<usize>),
    Timer(u64),
    ResponseStart(u64, u32),
    UploadEnd(u64, u32),
    AttemptEnd(u64, u32),
    CancelledAttempt(u64, u32),
    Deadline(u64),
    Disconnect(u64),
    Change,
}

/// An attempt and how it will end.
struct Attempt {
    sent_us: u64,
    outcome: Outcome,
    in_flight: bool,
}

/// A request that has arrived.
struct OpenRequest {
    class: usize,
    tenant: Option<usize>,
    deadline: u64,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// A balancer with its simulated environment.
pub struct World {
    balancer: Balancer,
    cfg: Config,
    /// Which classes are in use, by class id.
    class_in_use: Vec<bool>,
    rng: Pcg32,
    /// The time in µs.
    now: u64,
    sequence: u64,
    /// What is due, by time in µs and order of scheduling.
    queue: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    requests: BTreeMap<u64, OpenRequest>,
    backends: BTreeMap<u32, (Backend, Behavior)>,
    next_request: u64,
    next_backend: u32,
    stream: Stream,
    actions_hash: u64,
    /// How often each kind of action and some log events occurred.
    pub counts: BTreeMap<String, usize>,
}

/// The service time in µs of each hardware class, before variation.
const SERVICE_TIME_US: [u64; 5] = [8_000, 20_000, 35_000, 60_000, 90_000];

fn classes(count: usize) -> Vec<RequestClass> {
    let window = Micros(300_000);
    let idempotencies = [
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
        idempotency: idempotencies[n % idempotencies.len()],
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
    let share = 1e6 / s.mean_arrival_gap_us as f64 * f64::from(s.proxies) / s.tenants as f64;
    cfg.tenants = (0..s.tenants)
        .map(|n| Tenant {
            quota_per_s: share * (0.3 + 0.4 * (n % 4) as f64),
        })
        .collect();
    cfg.worst_class_objective_weight = 0.3;
    cfg.hedging = s.hedging;
    cfg.cancellation = s.cancellation;
    cfg.cross_zone_cost = if s.cross_zone_cost { 0.05 } else { 0.0 };
    if s.poll_discovery {
        cfg.discovery = Discovery::Poll {
            staleness_limit: Micros(2_000_000),
        };
    }
    if s.zone_failover {
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

    /// A world for the stream whose balancer has another seed: events differ only where they react to its actions.
    pub fn with_seed(stream: &Stream, seed: u64) -> World {
        let cfg = config(stream);
        let balancer = Balancer::new(cfg.clone(), seed).expect("a valid configuration");
        let mut world = World {
            balancer,
            class_in_use: vec![true; stream.classes],
            cfg,
            rng: Pcg32::seed_from_u64(stream.seed),
            now: 1_000_000_000,
            sequence: 0,
            queue: BinaryHeap::new(),
            requests: BTreeMap::new(),
            backends: BTreeMap::new(),
            next_request: 0,
            next_backend: 0,
            stream: stream.clone(),
            actions_hash: 0xcbf2_9ce4_8422_2325,
            counts: BTreeMap::new(),
        };
        (0..stream.backends).for_each(|_| world.add_backend());
        world.announce_full_list(EndpointUpdate::Full);
        world.schedule(0, Scheduled::Arrival);
        world.schedule(1_500_000, Scheduled::Change);
        world
    }

    /// A random number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.rng.next_u32()) * bound) >> 32
    }

    /// True with probability 1 / n.
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// Schedules an event in `after` µs.
    fn schedule(&mut self, after: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + after, self.sequence, scheduled)));
    }

    /// The digest of all actions so far and of the current learned state.
    pub fn digest(&mut self) -> u32 {
        let state = self.balancer.learned_state(Time(self.now));
        self.hash_words(&encode_learned_state(&state));
        (self.actions_hash >> 32) as u32 ^ self.actions_hash as u32
    }

    fn hash_words(&mut self, words: &[u64]) {
        for byte in words.iter().flat_map(|word| word.to_le_bytes()) {
            self.actions_hash =
                (self.actions_hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Counts an occurrence of the action or event.
    fn count(&mut self, name: &str) {
        *self.counts.entry(name.into()).or_default() += 1;
    }

    /// Advances until one more event has been passed to the balancer.
    pub fn step(&mut self) {
        loop {
            let Reverse((at, _, scheduled)) =
                self.queue.pop().expect("an arrival is always scheduled");
            self.now = self.now.max(at);
            if let Some(event) = self.event_of(scheduled) {
                return self.handle(event);
            }
        }
    }

    /// The event that is due, unless it no longer applies.
    fn event_of(&mut self, scheduled: Scheduled) -> Option<Event> {
        match scheduled {
            Scheduled::Arrival => {
                let burst = self.one_in(40);
                let gap = if burst {
                    1
                } else {
                    self.below(2 * self.stream.mean_arrival_gap_us)
                };
                self.schedule(gap, Scheduled::Arrival);
                // A few classes and tenants send most of the traffic.
                let class = self.skewed(self.cfg.classes.len());
                let class = if self.class_in_use[class] { class } else { 0 };
                let tenant = (!self.one_in(5)).then(|| self.skewed(self.cfg.tenants.len()));
                Some(self.arrive(class, tenant, false))
            }
            Scheduled::ClientRetry(class, tenant) => Some(self.arrive(class, tenant, true)),
            Scheduled::Timer(token) => Some(Event::TimerFired {
                token: TimerToken(token),
            }),
            Scheduled::ResponseStart(request, number) => {
                let r = self.requests.get_mut(&request).filter(|r| !r.answered)?;
                r.attempts.get(number as usize).filter(|t| t.in_flight)?;
                r.answered = true;
                Some(Event::ResponseStarted {
                    request: RequestId(request),
                    attempt: AttemptNumber(number),
                })
            }
            Scheduled::UploadEnd(request, number) => {
                let r = self.requests.get_mut(&request)?;
                let t = r
                    .attempts
                    .get_mut(number as usize)
                    .filter(|t| t.in_flight)?;
                t.sent_us = self.now;
                let time_left = Micros(400_000);
                r.deadline = self.now + time_left.0;
                Some(Event::UploadFinished {
                    request: RequestId(request),
                    attempt: AttemptNumber(number),
                    time_left,
                })
            }
            Scheduled::AttemptEnd(request, number) => self.end_attempt(request, number, None),
            Scheduled::CancelledAttempt(request, number) => {
                self.end_attempt(request, number, Some(Outcome::Cancelled))
            }
            Scheduled::Deadline(request) => {
                let r = self.requests.get_mut(&request)?;
                if self.now < r.deadline {
                    let left = r.deadline - self.now;
                    self.schedule(left, Scheduled::Deadline(request));
                    return None;
                }
                if let Some(number) = r
                    .attempts
                    .iter()
                    .position(|t| t.in_flight && t.outcome == Outcome::TimedOut)
                {
                    self.schedule(0, Scheduled::Deadline(request));
                    return self.end_attempt(request, number as u32, None);
                }
                (!std::mem::replace(&mut r.answered, true)).then_some(Event::ClientDisconnected {
                    request: RequestId(request),
                })
            }
            Scheduled::Disconnect(request) => {
                let r = self.requests.get_mut(&request).filter(|r| !r.answered)?;
                r.answered = true;
                Some(Event::ClientDisconnected {
                    request: RequestId(request),
                })
            }
            Scheduled::Change => {
                let gap = self.below(2 * self.stream.mean_change_gap_us) + 1;
                self.schedule(gap, Scheduled::Change);
                Some(self.change_environment())
            }
        }
    }

    /// A random index below `count` that favours small ones.
    fn skewed(&mut self, count: usize) -> usize {
        let (a, b) = (self.below(count as u64), self.below(count as u64));
        a.min(b) as usize
    }

    /// A new request, which also has a deadline and sometimes disconnects before it.
    fn arrive(&mut self, class: usize, tenant: Option<usize>, client_retry: bool) -> Event {
        self.next_request += 1;
        let id = self.next_request;
        let time_left_us = 30_000 + self.below(1_500_000);
        self.requests.insert(
            id,
            OpenRequest {
                class,
                tenant,
                deadline: self.now + time_left_us,
                answered: false,
                attempts: Vec::new(),
            },
        );
        self.schedule(time_left_us, Scheduled::Deadline(id));
        if self.one_in(50) {
            let at = self.below(time_left_us);
            self.schedule(at, Scheduled::Disconnect(id));
        }
        let hint = self.below(200_000);
        Event::RequestArrived(RequestArrival {
            request: RequestId(id),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            time_left: Micros(time_left_us),
            work_hint: (hint > 100_000).then_some(Micros(hint)),
            client_retry,
        })
    }

    /// The end of an attempt, if it is still in flight.
    fn end_attempt(
        &mut self,
        request: u64,
        number: u32,
        outcome: Option<Outcome>,
    ) -> Option<Event> {
        let now = self.now;
        let r = self.requests.get_mut(&request)?;
        let t = r
            .attempts
            .get_mut(number as usize)
            .filter(|t| t.in_flight)?;
        t.in_flight = false;
        let outcome = outcome.unwrap_or(t.outcome);
        let latency = Micros(now - t.sent_us);
        r.answered |= outcome == Outcome::Ok;
        let (request, attempt, answered) = (RequestId(request), AttemptNumber(number), r.answered);
        Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            answered,
        }))
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(Time(self.now), event, &mut actions);
        for action in actions {
            self.hash_words(&[self.now]);
            self.hash_words(&encode_action(&action));
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
                self.count("Reject");
                let Some(r) = self.requests.get_mut(&request.0) else {
                    return;
                };
                r.answered = true;
                let retry = Scheduled::ClientRetry(r.class, r.tenant);
                if self.one_in(3) {
                    self.schedule(retry_after.0, retry);
                }
            }
            Action::Fail { request } => {
                self.count("Fail");
                self.requests
                    .get_mut(&request.0)
                    .into_iter()
                    .for_each(|r| r.answered = true);
            }
            Action::Cancel { request, attempt } => {
                self.count("Cancel");
                self.schedule(0, Scheduled::CancelledAttempt(request.0, attempt.0));
            }
            Action::SetTimer { token, after } => {
                self.count("SetTimer");
                self.schedule(after.0, Scheduled::Timer(token.0));
            }
            Action::PollDiscovery => {
                self.count("PollDiscovery");
                self.schedule(30_000, Scheduled::Change); // an endpoint update or another change follows
            }
            Action::PublishVerdict { .. } => self.count("PublishVerdict"),
            Action::Log(text) => {
                self.count("Log");
                let phrases = [
                    "ejected: ",
                    "on the verdicts",
                    "readmitted",
                    "taken out of use:",
                    "returning",
                    "configuration rejected",
                    "restored learned state",
                ];
                for phrase in phrases.into_iter().filter(|w| text.contains(w)) {
                    self.count(match phrase {
                        "taken out of use:" => "zone taken out of use",
                        "returning" => "zone returning",
                        "ejected: " => "ejected",
                        other => other,
                    });
                }
            }
        }
    }

    /// Sends an attempt and schedules how the backend responds to it.
    fn dispatch(&mut self, request: u64, backend: u32) {
        let (hardware_class, behavior) = {
            let (b, behavior) = &self.backends[&backend];
            (b.hardware_class.0 as usize, *behavior)
        };
        let (a, b, c) = (self.below(1_000), self.below(1_000), self.below(100));
        let work = SERVICE_TIME_US[hardware_class % SERVICE_TIME_US.len()]
            * (200 + a * b * 3 / 1_000)
            / 1_000;
        let (outcome, after) = match behavior {
            Behavior::Unreachable => (Outcome::ConnectFailed, 1_000),
            Behavior::Silent => (Outcome::TimedOut, u64::MAX),
            Behavior::Failing if c < 60 => (Outcome::Error, work / 2),
            Behavior::Resetting if c < 40 => (Outcome::Reset, work / 2),
            Behavior::Overloaded if c < 50 => (Outcome::Overloaded, 500),
            Behavior::Slow => (Outcome::Ok, work * 20),
            _ if c == 0 => (Outcome::Error, work),
            _ if c == 1 => (Outcome::NotSent, 100),
            _ => (Outcome::Ok, work),
        };
        let now = self.now;
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        let number = r.attempts.len() as u32;
        if number > 0 {
            *self.counts.entry("second attempts".into()).or_default() += 1;
        }
        let past_deadline = now.saturating_add(after) >= r.deadline;
        let outcome = if past_deadline {
            Outcome::TimedOut
        } else {
            outcome
        };
        r.attempts.push(Attempt {
            sent_us: now,
            outcome,
            in_flight: true,
        });
        if past_deadline {
            return; // it ends at the client's deadline
        }
        match (outcome, c) {
            (Outcome::Ok, 90..) => {
                self.schedule(after / 2, Scheduled::ResponseStart(request, number));
                self.schedule(after * 2, Scheduled::AttemptEnd(request, number));
            }
            (Outcome::Ok, 85..) => {
                self.schedule(after, Scheduled::UploadEnd(request, number));
                self.schedule(after * 2, Scheduled::AttemptEnd(request, number));
                let (request, attempt) = (RequestId(request), AttemptNumber(number));
                self.handle(Event::UploadStarted { request, attempt });
            }
            _ => self.schedule(after, Scheduled::AttemptEnd(request, number)),
        }
    }

    /// Adds a healthy backend under the next id.
    fn add_backend(&mut self) {
        let id = self.next_backend;
        self.next_backend += 1;
        let zone = self.below(u64::from(self.stream.zones)) as u32;
        let hardware_class = self.below(u64::from(self.stream.hardware_classes)) as u32;
        let started_at = if self.stream.starting_backends || id >= self.stream.backends {
            let ago_us = self.below(6_000_000);
            Some(Time(self.now - ago_us))
        } else {
            None
        };
        let entry = Backend {
            id: BackendId(id),
            address_hash: u64::from(self.rng.next_u32()) << 12 | u64::from(id),
            zone: ZoneId(zone),
            cell: CellId(u64::from(zone) * 3 + u64::from(id % 3)),
            hardware_class: HardwareClassId(hardware_class),
            state: BackendState::Ready,
            started_at,
        };
        self.backends.insert(id, (entry, Behavior::Healthy));
    }

    /// All endpoints that are not removed, sometimes after removing two more.
    fn full_list(&mut self) -> Vec<Backend> {
        let mut listed: Vec<Backend> = self.backends.values().map(|(b, _)| b.clone()).collect();
        listed.retain(|b| b.state != BackendState::Removed);
        if self.one_in(3) {
            for _ in 0..2.min(listed.len()) {
                let at = self.below(listed.len() as u64) as usize;
                let id = listed.remove(at).id.0;
                self.backends
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|b| b.0.state = BackendState::Removed);
            }
        }
        if self.one_in(4) {
            listed.reverse(); // the order of a list has no meaning
        }
        listed
    }

    fn announce_full_list(&mut self, update: EndpointUpdate) {
        let backends = self.full_list();
        self.handle(Event::EndpointsUpdated { update, backends });
    }

    fn any_backend(&mut self) -> u32 {
        let at = self.below(self.backends.len() as u64) as usize;
        *self.backends.keys().nth(at).expect("at least one backend")
    }

    /// A change other than traffic: backend faults, endpoint updates, operators' calls, configurations, peer verdicts.
    fn change_environment(&mut self) -> Event {
        let unhealthy = self
            .backends
            .values()
            .filter(|b| b.1 != Behavior::Healthy)
            .count();
        match self.below(24) {
            0..=6 => {
                if unhealthy * 4 > self.backends.len() || unhealthy > 0 && self.one_in(4) {
                    self.backends
                        .values_mut()
                        .for_each(|b| b.1 = Behavior::Healthy);
                } else {
                    self.start_fault();
                }
                self.peer_verdict()
            }
            7..=11 => self.change_endpoints(),
            12 => Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                backends: self.full_list(),
            },
            13 => match self.below(6) {
                0 => Event::EndpointsUpdated {
                    update: EndpointUpdate::Cached,
                    backends: self.full_list(),
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
                backend: BackendId(self.any_backend()),
            },
            15 | 16 => {
                let (backend, ago_us) = (BackendId(self.any_backend()), self.below(3_000_000));
                Event::BackendEnabled {
                    backend,
                    since: Time(self.now - ago_us),
                }
            }
            17 | 18 => self.change_config(),
            19 => {
                let state = Box::new(self.balancer.learned_state(Time(self.now)));
                Event::StateRestored {
                    state,
                    age: Micros(self.below(20_000_000)),
                }
            }
            _ => self.peer_verdict(),
        }
    }

    /// Lets one backend, or sometimes its whole zone, start to fail.
    fn start_fault(&mut self) {
        let behaviors = [
            Behavior::Unreachable,
            Behavior::Silent,
            Behavior::Failing,
            Behavior::Slow,
            Behavior::Overloaded,
            Behavior::Resetting,
            Behavior::Unreachable,
        ];
        let behavior = behaviors[self.below(behaviors.len() as u64) as usize];
        let id_to_fail = self.any_backend();
        let zone = self.backends[&id_to_fail].0.zone;
        let whole_zone = self.stream.zones > 1 && self.one_in(2);
        for (id, (b, current)) in &mut self.backends {
            if *id == id_to_fail || whole_zone && b.zone == zone {
                *current = behavior;
            }
        }
    }

    /// An incremental update with restarted, draining, removed and new backends.
    fn change_endpoints(&mut self) -> Event {
        let mut changed = Vec::new();
        for _ in 0..=self.below(4) {
            let id = if self.backends.len() < 2 * self.stream.backends as usize && self.one_in(5) {
                self.add_backend();
                self.next_backend - 1
            } else {
                self.any_backend()
            };
            let (change, ago_us) = (self.below(8), self.below(500_000));
            let now = self.now;
            let relocation = (self.stream.relocating_backends && self.one_in(2)).then(|| {
                let zone = self.below(u64::from(self.stream.zones)) as u32;
                (
                    zone,
                    self.below(u64::from(self.stream.hardware_classes)) as u32,
                    self.rng.next_u32(),
                )
            });
            let (b, behavior) = self
                .backends
                .get_mut(&id)
                .expect("the backend is in the list");
            if let Some((zone, hardware_class, address_hash)) = relocation {
                // A different address hash means a different backend, so that it changes only when the backend starts.
                (b.zone, b.hardware_class) = (ZoneId(zone), HardwareClassId(hardware_class));
                if (2..=4).contains(&change) {
                    b.address_hash = u64::from(address_hash) << 12 | u64::from(id);
                }
            }
            match change {
                0 => b.state = BackendState::Draining,
                1 => b.state = BackendState::Removed,
                2..=4 => {
                    (b.state, b.started_at, *behavior) = (
                        BackendState::Ready,
                        Some(Time(now - ago_us)),
                        Behavior::Healthy,
                    );
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

    /// A peer's verdict on a backend.
    fn peer_verdict(&mut self) -> Event {
        // Most verdicts are on three backends: an ejection needs the verdicts of two peers.
        let backend = BackendId(if self.one_in(3) {
            self.any_backend()
        } else {
            self.below(3) as u32
        });
        let origin = self.below(5) as u32;
        let duration = Micros(500_000 + self.below(2_000_000));
        let consecutive_ejections = 1 + self.below(3) as u8;
        let verdict = if self.one_in(3) {
            Verdict::Readmitted
        } else {
            Verdict::Ejected {
                duration,
                consecutive_ejections,
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

    /// A changed configuration; sometimes an invalid change that drops a tenant.
    fn change_config(&mut self) -> Event {
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
                let latency_objective = class
                    .latency_objective
                    .mul_f64(0.75 + 0.25 * self.below(3) as f64);
                cfg.classes.push_back(RequestClass {
                    latency_objective,
                    ..class
                });
                self.class_in_use.push(true);
                if old > 0 {
                    self.class_in_use[old] = false;
                    retired.push(ClassId(old));
                }
                successors.push(ClassSuccessor {
                    class: ClassId(cfg.classes.len() - 1),
                    predecessor: ClassId(old),
                });
            }
            5 => {
                cfg.tenants.pop_back();
                return config_changed(cfg, retired, successors);
            }
            _ => cfg.max_attempts = 2 + self.below(2) as u32,
        }
        self.cfg = cfg.clone();
        config_changed(cfg, retired, successors)
    }
}

/// The event of a configuration change.
fn config_changed(cfg: Config, retired: Vec<ClassId>, successors: Vec<ClassSuccessor>) -> Event {
    let config = Box::new(cfg.validated().expect("a valid configuration"));
    Event::ConfigChanged {
        config,
        retired,
        reinstated: Vec::new(),
        successors,
    }
}
