//! Measures the time that the decision module takes for each event, by the size of the fleet. It simulates one proxy of
//! 1,800 at 117 requests per second over synthetic backend lists. `cargo bench --bench module -- 100 25000` runs only these
//! numbers of backends. Two further runs have 100 backends and the target deployment's 21,000 routes or 130,000 tenants.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::{
    Action, AttemptEnd, AttemptNumber, Backend, BackendId, BackendState, Balancer, CellId, ClassId,
    Config, EndpointUpdate, Event, HardwareClassId, Idempotency, Micros, Outcome, RequestArrival,
    RequestClass, RequestId, Tenant, TenantId, Time, TimerToken, ZoneId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

const PROXIES: u32 = 1_800;
const KINDS: u32 = 12;
const ZONES: u32 = 27;
/// The mean time between two requests, in microseconds.
const REQUEST_INTERVAL_US: u64 = 1_000_000 / 117;
/// The simulated seconds of the steady load.
const SECONDS: u64 = 30;
/// A response takes from this long to twice as long, in microseconds.
const SERVICE_TIME_US: u64 = 20_000;

/// The handling times of events in microseconds, by the kind of event.
#[derive(Default)]
struct Times(BTreeMap<&'static str, Vec<f64>>);

impl Times {
    /// Prints the table row of a kind of event.
    fn row(&mut self, size: &str, kind: &str) {
        let Some(all) = self.0.get_mut(kind) else {
            return;
        };
        all.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| all[((all.len() - 1) as f64 * fraction) as usize];
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        println!(
            "| {size} | {kind} | {} | {mean:.1} | {:.1} | {:.1} | {:.1} |",
            all.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
}

/// A synthetic backend with this id.
fn entry(id: u32, started_at: Option<Time>) -> Backend {
    Backend {
        id: BackendId(id),
        address_hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
        zone: ZoneId(id % ZONES),
        cell: CellId(u64::from(id / 8)),
        hardware_class: HardwareClassId(id / 7 % KINDS),
        state: BackendState::Ready,
        started_at,
    }
}

/// A configuration with this many classes and tenants.
fn config(classes: usize, tenants: usize) -> Config {
    let mut cfg = Config::example();
    let class = cfg.classes[0].clone();
    let effect = |n| {
        if n % 3 == 1 {
            Idempotency::NonIdempotent
        } else {
            Idempotency::Idempotent
        }
    };
    cfg.classes = (0..classes)
        .map(|n| RequestClass {
            idempotency: effect(n),
            ..class.clone()
        })
        .collect();
    cfg.tenants = (0..tenants)
        .map(|_| Tenant {
            quota_per_s: 250_000.0 / tenants as f64,
        })
        .collect();
    (cfg.proxy_count, cfg.proxy_index, cfg.cross_zone_cost) = (PROXIES, 700, 0.02);
    cfg
}

/// A balancer with simulated time, backends and timers.
struct Bench {
    balancer: Balancer,
    now: u64,
    seed: u64,
    /// Ends of attempts: time in microseconds, request, backend.
    attempt_ends: BinaryHeap<Reverse<(u64, u64, u32)>>,
    /// When each open request was dispatched, in microseconds.
    sent: BTreeMap<u64, u64>,
    /// Timers: time in microseconds, token.
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    times: Times,
}

impl Bench {
    /// The next random number.
    fn random(&mut self) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.seed >> 33
    }

    /// Passes an event to the balancer, records the time that this takes, and executes the actions.
    fn handle(&mut self, kind: &'static str, event: Event) {
        let mut actions = Vec::new();
        let begun = Instant::now();
        self.balancer.handle(Time(self.now), event, &mut actions);
        let took_us = begun.elapsed().as_secs_f64() * 1e6;
        self.times.0.entry(kind).or_default().push(took_us);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => {
                    let work = SERVICE_TIME_US + self.random() % SERVICE_TIME_US;
                    self.sent.insert(request.0, self.now);
                    self.attempt_ends
                        .push(Reverse((self.now + work, request.0, backend.0)));
                }
                Action::SetTimer { token, after } => {
                    self.timers.push(Reverse((self.now + after.0, token.0)));
                }
                _ => {}
            }
        }
    }

    /// Handles the ends of attempts and the timers that are due until `end`.
    fn run_until(&mut self, end: u64) {
        loop {
            let ends = self.attempt_ends.peek().map_or(u64::MAX, |e| e.0 .0);
            let timer = self.timers.peek().map_or(u64::MAX, |t| t.0 .0);
            if ends.min(timer) > end {
                self.now = end;
                return;
            }
            self.now = ends.min(timer);
            if ends <= timer {
                let Some(Reverse((_, request, _))) = self.attempt_ends.pop() else {
                    return;
                };
                let sent = self.sent.remove(&request).unwrap_or(self.now);
                let (request, attempt, latency) = (
                    RequestId(request),
                    AttemptNumber(0),
                    Micros(self.now - sent),
                );
                let (outcome, answered) = (Outcome::Ok, true);
                self.handle(
                    "end",
                    Event::AttemptEnded(AttemptEnd {
                        request,
                        attempt,
                        outcome,
                        latency,
                        answered,
                    }),
                );
            } else if let Some(Reverse((_, token))) = self.timers.pop() {
                self.handle(
                    "timer",
                    Event::TimerFired {
                        token: TimerToken(token),
                    },
                );
            }
        }
    }

    /// Sends `count` requests with ids from `first` on, recorded as events of this kind.
    fn requests(
        &mut self,
        kind: &'static str,
        first: u64,
        count: u64,
        classes: usize,
        tenants: usize,
    ) {
        for n in 0..count {
            let gap = REQUEST_INTERVAL_US / 2 + self.random() % REQUEST_INTERVAL_US;
            let next = self.now + gap;
            self.run_until(next);
            let class = self.random() as usize % classes;
            let tenant = (tenants > 0).then(|| TenantId(self.random() as usize % tenants));
            self.handle(
                kind,
                Event::RequestArrived(RequestArrival {
                    request: RequestId(first + n),
                    class: ClassId(class),
                    tenant,
                    time_left: Micros(2_000_000),
                    work_hint: None,
                    client_retry: false,
                }),
            );
        }
    }
}

/// Measures one size and prints its rows.
fn run_size(backends: u32, classes: usize, tenants: usize) {
    let size = format!("{backends} / {classes} / {tenants}");
    let mut bench = Bench {
        balancer: Balancer::new(config(classes, tenants), 1).expect("a valid configuration"),
        now: 1_000_000_000,
        seed: 1,
        attempt_ends: BinaryHeap::new(),
        sent: BTreeMap::new(),
        timers: BinaryHeap::new(),
        times: Times::default(),
    };
    let mut list: Vec<Backend> = (0..backends).map(|id| entry(id, None)).collect();
    let members = |update, backends: &[Backend]| Event::EndpointsUpdated {
        update,
        backends: backends.to_vec(),
    };
    bench.handle("first list", members(EndpointUpdate::Full, &list));
    bench.requests("warm up", 0, 117 * 5, classes, tenants);
    bench.times.0.clear();
    let requests = 117 * SECONDS;
    bench.requests("request", 10_000, requests, classes, tenants);
    let spent: f64 = bench.times.0.values().flatten().sum();
    for n in 0..100 {
        let at = (n * 97) % list.len();
        let started_at = Some(Time(bench.now - 1_000));
        list[at] = entry(list[at].id.0, started_at);
        bench.handle(
            "one line",
            members(EndpointUpdate::Incremental, &list[at..=at]),
        );
        bench.requests("request after it", 20_000 + n as u64, 1, classes, tenants);
    }
    for n in 0..5 {
        let fresh = list.len() as u32;
        list.remove(n * 7 % 50);
        list.push(entry(fresh + n as u32, None));
        bench.handle("whole list", members(EndpointUpdate::Full, &list));
        bench.requests("request after that", 30_000 + n as u64, 1, classes, tenants);
    }
    // All backends of a zone restart.
    let (now, zone) = (bench.now, ZoneId(3));
    let restarted = list.iter().filter(|b| b.zone == zone).map(|b| Backend {
        started_at: Some(Time(now)),
        ..b.clone()
    });
    let restarted: Vec<Backend> = restarted.collect();
    bench.handle(
        "a zone starts",
        members(EndpointUpdate::Incremental, &restarted),
    );
    bench.requests("request, zone cold", 40_000, 117 * 5, classes, tenants);
    let order = [
        "request",
        "end",
        "timer",
        "one line",
        "request after it",
        "whole list",
        "request after that",
        "a zone starts",
        "request, zone cold",
    ];
    order
        .into_iter()
        .for_each(|kind| bench.times.row(&size, kind));
    println!(
        "| {size} | **all of a request** | {requests} | {:.1} | | | |",
        spent / requests as f64
    );
}

fn main() {
    let sizes: Vec<u32> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() {
        vec![100, 1_000, 5_000, 25_000]
    } else {
        sizes
    };
    println!("| backends / routes / tenants | event | n | mean, us | p50 | p99 | most |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    sizes.iter().for_each(|backends| run_size(*backends, 2, 0));
    run_size(100, 21_000, 0);
    run_size(100, 2, 130_000);
}
