//! Tests of effects that only many proxies together have, such as overloading cold backends or discovery. Runs the
//! balancers of 100 proxies on one clock; backends respond after a fixed time, and attempts are counted.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: u64 = 1_000_000;

/// What is scheduled at a proxy.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Queued {
    RequestArrival,
    Timer(u64),
    /// A poll of discovery fails.
    DiscoveryPollFailed,
    AttemptEnd(RequestId, u32, u32, u64),
}

/// The balancers of all proxies on one clock in µs.
struct Fleet {
    now: u64,
    proxies: Vec<Balancer>,
    queue: BinaryHeap<Reverse<(u64, usize, Queued)>>,
    next_request: u64,
    /// The number of attempts so far, by request.
    attempt_counts: BTreeMap<RequestId, u32>,
    /// The attempts: time, proxy and backend.
    sent: Vec<(u64, usize, u32)>,
    rejected: usize,
    /// Whether requests arrive marked as client retries.
    client_retry: bool,
    /// Whether a tenth of the proxies get eleven times the traffic of the others.
    uneven_traffic: bool,
    /// The times of discovery polls, each of which fails after two seconds.
    discovery_polls: Vec<u64>,
    /// The latency in µs and the outcome of an attempt, by backend.
    response: fn(u32) -> (u64, Outcome),
}

impl Fleet {
    fn new(cfg: &Config, count: u32, response: fn(u32) -> (u64, Outcome)) -> Fleet {
        let proxy = |position| {
            let cfg = Config {
                proxy_count: count,
                proxy_index: position,
                ..cfg.clone()
            };
            Balancer::new(cfg, 7 + u64::from(position)).expect("a valid configuration")
        };
        Fleet {
            now: 1_000 * SECOND,
            proxies: (0..count).map(proxy).collect(),
            queue: BinaryHeap::new(),
            next_request: 0,
            attempt_counts: BTreeMap::new(),
            sent: Vec::new(),
            rejected: 0,
            client_retry: false,
            uneven_traffic: false,
            discovery_polls: Vec::new(),
            response,
        }
    }

    /// Passes an event to a proxy and carries out its actions.
    fn handle(&mut self, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.proxies[proxy].handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => {
                    let number = self.attempt_counts.entry(request).or_default();
                    let (latency_us, _) = (self.response)(backend.0);
                    let end = Queued::AttemptEnd(request, *number, backend.0, self.now);
                    self.queue
                        .push(Reverse((self.now + latency_us, proxy, end)));
                    self.sent.push((self.now, proxy, backend.0));
                    *number += 1;
                }
                Action::SetTimer { token, after } => {
                    self.queue
                        .push(Reverse((self.now + after.0, proxy, Queued::Timer(token.0))));
                }
                Action::Reject { .. } => self.rejected += 1,
                Action::PollDiscovery => {
                    self.discovery_polls.push(self.now);
                    self.queue.push(Reverse((
                        self.now + 2 * SECOND,
                        proxy,
                        Queued::DiscoveryPollFailed,
                    )));
                }
                _ => {}
            }
        }
    }

    /// Announces the backends to all proxies.
    fn update_endpoints(&mut self, update: EndpointUpdate, backends: &[Backend]) {
        for proxy in 0..self.proxies.len() {
            self.handle(
                proxy,
                Event::EndpointsUpdated {
                    update,
                    backends: backends.to_vec(),
                },
            );
        }
    }

    /// Sends `rate` requests per second to each proxy for `span` µs, staggered over the proxies.
    fn run(&mut self, rate: f64, span: u64) {
        let gap = (SECOND as f64 / rate) as u64;
        let (until, count) = (self.now + span, self.proxies.len() as u64);
        for proxy in 0..count {
            self.queue.push(Reverse((
                self.now + gap * proxy / count,
                proxy as usize,
                Queued::RequestArrival,
            )));
        }
        while self.queue.peek().is_some_and(|d| d.0 .0 < until) {
            let Some(Reverse((at, proxy, queued))) = self.queue.pop() else {
                return;
            };
            self.now = at;
            match queued {
                Queued::RequestArrival => {
                    self.next_request += 1;
                    let (request, class, time_left) =
                        (RequestId(self.next_request), ClassId(0), Micros(SECOND));
                    let tenant = Some(TenantId(self.next_request as usize % 2)); // one of two, if any are configured
                    let (work_hint, client_retry) = (None, self.client_retry);
                    let arrival = RequestArrival {
                        request,
                        class,
                        tenant,
                        time_left,
                        work_hint,
                        client_retry,
                    };
                    self.handle(proxy, Event::RequestArrived(arrival));
                    let gap = match (self.uneven_traffic, proxy % 10) {
                        (false, _) => gap,
                        (true, 0) => gap * 2 / 11,
                        (true, _) => gap * 2,
                    };
                    self.queue
                        .push(Reverse((at + gap, proxy, Queued::RequestArrival)));
                }
                Queued::Timer(token) => self.handle(
                    proxy,
                    Event::TimerFired {
                        token: TimerToken(token),
                    },
                ),
                Queued::DiscoveryPollFailed => {
                    self.handle(
                        proxy,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Failed,
                            backends: Vec::new(),
                        },
                    );
                }
                Queued::AttemptEnd(request, attempt, backend, sent_at) => {
                    let (attempt, outcome) = (AttemptNumber(attempt), (self.response)(backend).1);
                    let latency = Micros(at - sent_at);
                    let end = AttemptEnd {
                        request,
                        attempt,
                        outcome,
                        latency,
                        answered: outcome == Outcome::Ok,
                    };
                    self.handle(proxy, Event::AttemptEnded(end));
                }
            }
        }
        self.queue.retain(|d| d.0 .2 != Queued::RequestArrival);
        self.now = until;
    }

    /// The number of attempts that all proxies sent to a backend in a range of time.
    fn count_attempts(&self, backend: u32, from: u64, to: u64) -> usize {
        self.sent
            .iter()
            .filter(|s| s.2 == backend && (from..to).contains(&s.0))
            .count()
    }
}

/// Ready backends with scattered address hashes.
fn backends(ids: std::ops::Range<u32>, started_at: Option<Time>) -> Vec<Backend> {
    let address_hash = |id: u32| u64::from(id.wrapping_mul(2_654_435_761)) >> 4;
    let backend = |id| Backend {
        id: BackendId(id),
        address_hash: address_hash(id),
        state: BackendState::Ready,
        started_at,
        ..Backend::default()
    };
    ids.map(backend).collect()
}

/// Observed in large fleets: each proxy was allowed at least one unit of work per cold backend and overload window, too
/// much with many proxies, and at most a hundredth of the total, too little where a fifth of the proxies use a backend.
#[test]
fn many_proxies_together_keep_cold_backends_used_but_not_overloaded() {
    let ramp = 23 * SECOND;
    let cfg = Config {
        slow_start_min_readiness: 0.13,
        slow_start_duration: Micros(ramp),
        overload_window: Micros(3 * SECOND),
        ..Config::example()
    };
    let mut fleet = Fleet::new(&cfg, 100, |_| (120_000, Outcome::Ok));
    fleet.update_endpoints(EndpointUpdate::Full, &backends(0..60, None));
    fleet.run(15.0, 10 * SECOND);
    let warm = 15.0 * 100.0 / 60.0; // attempts per backend and second
    let restarted_at = fleet.now;
    let mut list = backends(36..60, None);
    list.extend(backends(100..136, Some(Time(restarted_at))));
    fleet.update_endpoints(EndpointUpdate::Full, &list);
    fleet.run(15.0, 12 * SECOND);
    let readiness = |age: u64| 0.13 + 0.87 * age as f64 / ramp as f64;
    for id in 100..136 {
        for from in 0..9 {
            let (from, to) = (
                restarted_at + from * SECOND,
                restarted_at + (from + 3) * SECOND,
            );
            let limit = 3.0 * 3.0 * warm * readiness(from - restarted_at);
            let attempts = fleet.count_attempts(id, from, to);
            assert!(
                attempts as f64 <= limit,
                "{attempts} attempts to cold backend {id} in the window {} µs after its start, at most {limit} allowed",
                from - restarted_at
            );
        }
    }
    // Ten seconds after their start the cold backends have at least half their speed, which must be used.
    let (from, to) = (restarted_at + 8 * SECOND, restarted_at + 12 * SECOND);
    let mean = |ids: std::ops::Range<u32>| {
        let count = ids.len() as f64;
        ids.map(|id| fleet.count_attempts(id, from, to))
            .sum::<usize>() as f64
            / count
    };
    let (cold, warm) = (mean(100..136), mean(36..60));
    assert!(
        cold >= warm * 0.4,
        "{cold} attempts to each cold backend, {warm} to each warm one"
    );
}

/// Observed in large fleets: nine rejections in ten were client retries, rejected from two requests in flight per
/// backend on, which is a load of two thirds with one core and of a quarter with eight.
#[test]
fn client_retries_are_admitted_while_latency_is_well_within_the_objective() {
    let rejected = |response: fn(u32) -> (u64, Outcome)| {
        let mut fleet = Fleet::new(&Config::example(), 100, response);
        fleet.update_endpoints(EndpointUpdate::Full, &backends(0..60, None));
        fleet.client_retry = true;
        fleet.run(15.0, 12 * SECOND);
        (fleet.rejected, fleet.sent.len())
    };
    // 25 per second and backend at 200 ms are five in flight; the latency objective is 500 ms.
    let (rejections, sent) = rejected(|_| (200_000, Outcome::Ok));
    assert!(
        rejections * 20 < sent,
        "{rejections} requests rejected, {sent} attempts sent"
    );
    // Where responses are slow, retries are limited to half the concurrency limit: two per backend.
    let (rejections, sent) = rejected(|_| (300_000, Outcome::Ok));
    assert!(
        rejections > sent,
        "{rejections} requests rejected, {sent} attempts sent"
    );
}

/// Observed without any fault: a tenth of the proxies, which got half of the traffic, took all beyond a hundredth of
/// each quota for excess and assumed the others to be as loaded as themselves. A third of all requests was rejected.
#[test]
fn proxies_with_several_times_the_mean_traffic_reject_few_requests() {
    let tenants = vec![Tenant { quota_per_s: 800.0 }, Tenant { quota_per_s: 700.0 }].into();
    let mut fleet = Fleet::new(
        &Config {
            tenants,
            ..Config::example()
        },
        100,
        |_| (150_000, Outcome::Ok),
    );
    fleet.update_endpoints(EndpointUpdate::Full, &backends(0..60, None));
    fleet.uneven_traffic = true;
    fleet.run(15.0, 12 * SECOND);
    // 25 per second and backend, nearly four in flight.
    let (rejected, sent) = (fleet.rejected, fleet.sent.len());
    assert!(
        rejected * 20 < sent,
        "{rejected} requests rejected, {sent} attempts sent"
    );
}

/// Observed after a fleet had shrunk: the proxies rejected 3100 of 3400 requests per second, because their estimate of
/// the load was a mean over five seconds and included attempts in flight on removed backends.
#[test]
fn a_shrunk_fleet_stays_in_use() {
    let mut fleet = Fleet::new(&Config::example(), 100, |_| (200_000, Outcome::Ok));
    fleet.update_endpoints(EndpointUpdate::Full, &backends(0..60, None));
    fleet.run(15.0, 10 * SECOND);
    let shrunk = fleet.now;
    fleet.update_endpoints(EndpointUpdate::Full, &backends(0..24, None));
    fleet.run(15.0, 8 * SECOND);
    // With up to eight in flight on each of 24 backends and 200 ms each, 960 per second are possible.
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
        "attempts in each second after the fleet shrank: {each:?}"
    );
}

/// Observed with an overloaded discovery: the proxies together polled it 50 to 60 times per second, every poll failed,
/// and none was answered for 23 s.
#[test]
fn an_overloaded_discovery_is_not_polled_faster_by_many_proxies() {
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
    fleet.update_endpoints(EndpointUpdate::Cached, &backends(0..60, None));
    let start = fleet.now;
    fleet.run(5.0, 40 * SECOND);
    let calls = |from: u64, to: u64| {
        fleet
            .discovery_polls
            .iter()
            .filter(|at| (start + from..start + to).contains(at))
            .count()
    };
    let late = calls(20 * SECOND, 40 * SECOND);
    assert!(
        (510..=600).contains(&late),
        "{late} polls in 20 s, expected one per proxy about every 3.4 seconds"
    );
    let most = (200..400)
        .map(|n| calls(n * SECOND / 10, (n + 1) * SECOND / 10))
        .max();
    assert!(
        most <= Some(12),
        "{most:?} polls in a tenth of a second: the proxies poll in step"
    );
}
