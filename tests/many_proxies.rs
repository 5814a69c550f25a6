//! What many proxies do together that none of them does alone: all of a fleet's balancers on one clock that
//! the test drives by hand. Backends answer after a fixed time; sends are counted, nothing else is played.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: u64 = 1_000_000;

/// What falls due at a proxy.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    RequestArrival,
    Timer(u64),
    /// A call to discovery has failed.
    Lost,
    End(RequestId, u32, u32, u64),
}

struct Fleet {
    now: u64,
    proxies: Vec<Balancer>,
    due: BinaryHeap<Reverse<(u64, usize, Due)>>,
    next: u64,
    /// Attempts sent so far by request.
    tries: BTreeMap<RequestId, u32>,
    /// Every send: when, by which proxy, and where to.
    sent: Vec<(u64, usize, u32)>,
    refused: usize,
    /// Whether what comes is marked as a client's repeat.
    repeat: bool,
    /// Whether a tenth of the proxies get eleven times as much as the others.
    uneven: bool,
    /// Calls to discovery: each fails after two seconds.
    follows: Vec<u64>,
    /// How long each backend takes, and how it ends.
    serve: fn(u32) -> (u64, Outcome),
}

impl Fleet {
    fn new(cfg: &Config, count: u32, serve: fn(u32) -> (u64, Outcome)) -> Fleet {
        let proxy = |position| {
            let cfg = Config {
                proxy_count: count,
                proxy_index: position,
                ..cfg.clone()
            };
            Balancer::new(cfg, 7 + u64::from(position)).expect("sound")
        };
        Fleet {
            now: 1_000 * SECOND,
            proxies: (0..count).map(proxy).collect(),
            due: BinaryHeap::new(),
            next: 0,
            tries: BTreeMap::new(),
            sent: Vec::new(),
            refused: 0,
            repeat: false,
            uneven: false,
            follows: Vec::new(),
            serve,
        }
    }

    fn tell(&mut self, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.proxies[proxy].handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => {
                    let no = self.tries.entry(request).or_default();
                    let (takes, _) = (self.serve)(backend.0);
                    let end = Due::End(request, *no, backend.0, self.now);
                    self.due.push(Reverse((self.now + takes, proxy, end)));
                    self.sent.push((self.now, proxy, backend.0));
                    *no += 1;
                }
                Action::SetTimer { token, after } => {
                    self.due
                        .push(Reverse((self.now + after.0, proxy, Due::Timer(token.0))));
                }
                Action::Reject { .. } => self.refused += 1,
                Action::PollDiscovery => {
                    self.follows.push(self.now);
                    self.due
                        .push(Reverse((self.now + 2 * SECOND, proxy, Due::Lost)));
                }
                _ => {}
            }
        }
    }

    fn members(&mut self, update: EndpointUpdate, backends: &[Backend]) {
        for proxy in 0..self.proxies.len() {
            self.tell(
                proxy,
                Event::EndpointsUpdated {
                    update,
                    backends: backends.to_vec(),
                },
            );
        }
    }

    /// So many requests a second at each proxy, for so long, not in step with one another.
    fn play(&mut self, rate: f64, span: u64) {
        let gap = (SECOND as f64 / rate) as u64;
        let (until, count) = (self.now + span, self.proxies.len() as u64);
        for proxy in 0..count {
            self.due.push(Reverse((
                self.now + gap * proxy / count,
                proxy as usize,
                Due::RequestArrival,
            )));
        }
        while self.due.peek().is_some_and(|d| d.0 .0 < until) {
            let Some(Reverse((at, proxy, due))) = self.due.pop() else {
                return;
            };
            self.now = at;
            match due {
                Due::RequestArrival => {
                    self.next += 1;
                    let (request, class, time_left) =
                        (RequestId(self.next), ClassId(0), Micros(SECOND));
                    let tenant = Some(TenantId(self.next as usize % 2)); // of those there are, if any
                    let (work_hint, repeat) = (None, self.repeat);
                    let arrival = RequestArrival {
                        request,
                        class,
                        tenant,
                        time_left,
                        work_hint,
                        client_retry: repeat,
                    };
                    self.tell(proxy, Event::RequestArrived(arrival));
                    let gap = match (self.uneven, proxy % 10) {
                        (false, _) => gap,
                        (true, 0) => gap * 2 / 11,
                        (true, _) => gap * 2,
                    };
                    self.due
                        .push(Reverse((at + gap, proxy, Due::RequestArrival)));
                }
                Due::Timer(token) => self.tell(
                    proxy,
                    Event::TimerFired {
                        token: TimerToken(token),
                    },
                ),
                Due::Lost => {
                    self.tell(
                        proxy,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Failed,
                            backends: Vec::new(),
                        },
                    );
                }
                Due::End(request, attempt, backend, sent) => {
                    let (attempt, outcome) = (AttemptNumber(attempt), (self.serve)(backend).1);
                    let latency = Micros(at - sent);
                    let end = AttemptEnd {
                        request,
                        attempt,
                        outcome,
                        latency,
                        answered: outcome == Outcome::Ok,
                    };
                    self.tell(proxy, Event::AttemptEnded(end));
                }
            }
        }
        self.due.retain(|d| d.0 .2 != Due::RequestArrival);
        self.now = until;
    }

    /// Sends to a backend from one time to another, by all proxies.
    fn sent_to(&self, backend: u32, from: u64, to: u64) -> usize {
        self.sent
            .iter()
            .filter(|s| s.2 == backend && (from..to).contains(&s.0))
            .count()
    }
}

fn backends(ids: std::ops::Range<u32>, booted: Option<Time>) -> Vec<Backend> {
    let mark = |id: u32| u64::from(id.wrapping_mul(2_654_435_761)) >> 4;
    let one = |id| Backend {
        id: BackendId(id),
        address_hash: mark(id),
        state: BackendState::Ready,
        started_at: booted,
        ..Backend::default()
    };
    ids.map(one).collect()
}

/// Found on join+vast: each proxy might send a cold backend one unit of work in a fall window however many
/// proxies there were, and no more than a hundredth of the whole though a fifth of the proxies sent there.
#[test]
fn many_proxies_together_send_cold_backends_what_they_can_do_and_not_more() {
    let ramp = 23 * SECOND;
    let cfg = Config {
        slow_start_min_readiness: 0.13,
        slow_start_duration: Micros(ramp),
        overload_window: Micros(3 * SECOND),
        ..Config::example()
    };
    let mut fleet = Fleet::new(&cfg, 100, |_| (120_000, Outcome::Ok));
    fleet.members(EndpointUpdate::Full, &backends(0..60, None));
    fleet.play(15.0, 10 * SECOND);
    let warm = 15.0 * 100.0 / 60.0; // what one backend was sent a second
    let boot = fleet.now;
    let mut list = backends(36..60, None);
    list.extend(backends(100..136, Some(Time(boot))));
    fleet.members(EndpointUpdate::Full, &list);
    fleet.play(15.0, 12 * SECOND);
    let warmth = |age: u64| 0.13 + 0.87 * age as f64 / ramp as f64;
    for id in 100..136 {
        for from in 0..9 {
            let (from, to) = (boot + from * SECOND, boot + (from + 3) * SECOND);
            let most = 3.0 * 3.0 * warm * warmth(from - boot);
            let got = fleet.sent_to(id, from, to);
            assert!(
                got as f64 <= most,
                "{got} to cold backend {id} of {most} in the window at {}",
                from - boot
            );
        }
    }
    // Ten seconds after their start they can do half at least, and no backend is to have idle what others lack.
    let (from, to) = (boot + 8 * SECOND, boot + 12 * SECOND);
    let mean = |ids: std::ops::Range<u32>| {
        let count = ids.len() as f64;
        ids.map(|id| fleet.sent_to(id, from, to)).sum::<usize>() as f64 / count
    };
    let (cold, warm) = (mean(100..136), mean(36..60));
    assert!(
        cold >= warm * 0.4,
        "{cold} to each cold backend beside {warm} to each warm one"
    );
}

/// Found on herd+vast: nine refusals in ten were repeats, turned away from two requests a backend on, a load of
/// two thirds where there is one core and of a quarter where there are eight.
#[test]
fn repeats_find_room_while_answers_come_well_inside_their_aim() {
    let refused = |takes: fn(u32) -> (u64, Outcome)| {
        let mut fleet = Fleet::new(&Config::example(), 100, takes);
        fleet.members(EndpointUpdate::Full, &backends(0..60, None));
        fleet.repeat = true;
        fleet.play(15.0, 12 * SECOND);
        (fleet.refused, fleet.sent.len())
    };
    // 25 a second on each backend: five held at 200 ms, of an aim of 500 ms.
    let (none, sent) = refused(|_| (200_000, Outcome::Ok));
    assert!(none * 20 < sent, "{none} refused beside {sent} sent");
    // Where they are slow the limit is half the hold: two on each backend.
    let (most, sent) = refused(|_| (300_000, Outcome::Ok));
    assert!(most > sent, "{most} refused beside {sent} sent");
}

/// Found on calm+mass: where a tenth of the proxies get half of the traffic they took all of it beyond a hundredth of each
/// quota for a flood, and the others for as full as themselves: a third of all was refused on a day without a fault.
#[test]
fn a_proxy_that_gets_several_times_the_mean_refuses_no_more_than_the_others() {
    let tenants = vec![Tenant { quota_per_s: 800.0 }, Tenant { quota_per_s: 700.0 }].into();
    let mut fleet = Fleet::new(
        &Config {
            tenants,
            ..Config::example()
        },
        100,
        |_| (150_000, Outcome::Ok),
    );
    fleet.members(EndpointUpdate::Full, &backends(0..60, None));
    fleet.uneven = true;
    fleet.play(15.0, 12 * SECOND);
    // 25 a second on each backend, nearly four held.
    let (refused, sent) = (fleet.refused, fleet.sent.len());
    assert!(refused * 20 < sent, "{refused} refused beside {sent} sent");
}

/// Found on zone+vast and join+vast: after the fleet had shrunk the proxies refused 3100 requests of 3400 a second,
/// as what they held was a mean over five seconds and counted what was out on backends that had left.
#[test]
fn a_shrunk_fleet_is_not_left_idle_for_what_was_held_before() {
    let mut fleet = Fleet::new(&Config::example(), 100, |_| (200_000, Outcome::Ok));
    fleet.members(EndpointUpdate::Full, &backends(0..60, None));
    fleet.play(15.0, 10 * SECOND);
    let shrunk = fleet.now;
    fleet.members(EndpointUpdate::Full, &backends(0..24, None));
    fleet.play(15.0, 8 * SECOND);
    // Held: up to eight on each of 24, 200 ms each, 960 a second.
    let sent = |from: u64| {
        fleet
            .sent
            .iter()
            .filter(|s| s.0 / SECOND == shrunk / SECOND + from)
            .count()
    };
    let each: Vec<usize> = (1..8).map(sent).collect();
    assert!(
        each.iter().all(|n| *n >= 600),
        "{each:?} sent in each second after it shrank"
    );
}

/// Found on herd+vast: with discovery overbooked the proxies made 50 to 60 calls a second between them, each of
/// which failed, and not one new call was answered in 23 s.
#[test]
fn an_overbooked_discovery_is_not_called_faster_by_many_proxies() {
    let discovery = Discovery::Poll {
        staleness_limit: Micros(10 * SECOND),
    };
    let mut fleet = Fleet::new(
        &Config {
            discovery,
            ..Config::example()
        },
        100,
        |_| (100_000, Outcome::Ok),
    );
    fleet.members(EndpointUpdate::Cached, &backends(0..60, None));
    let start = fleet.now;
    fleet.play(5.0, 40 * SECOND);
    let calls = |from: u64, to: u64| {
        fleet
            .follows
            .iter()
            .filter(|at| (start + from..start + to).contains(at))
            .count()
    };
    let late = calls(20 * SECOND, 40 * SECOND);
    assert!(
        (510..=600).contains(&late),
        "{late} calls in 20 s: each proxy once in 3.4 seconds or so"
    );
    let most = (200..400)
        .map(|n| calls(n * SECOND / 10, (n + 1) * SECOND / 10))
        .max();
    assert!(
        most <= Some(12),
        "{most:?} calls in one tenth of a second: in step"
    );
}
