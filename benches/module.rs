//! What the decision module costs the request loop by the size of the fleet: one proxy of 1,800 at 117 requests a
//! second over synthetic lists, each event timed as it is handled. `cargo bench --bench module -- 100 25000` plays
//! only those numbers of backends; the tables are once small and once the plan's.
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
const GAP_US: u64 = 1_000_000 / 117;
const SECONDS: u64 = 30;
/// An answer takes between so long and twice that.
const WORK_US: u64 = 20_000;

/// Whole microseconds of the machine's time, by what was handled.
#[derive(Default)]
struct Times(BTreeMap<&'static str, Vec<f64>>);

impl Times {
    fn row(&mut self, size: &str, what: &str) {
        let Some(all) = self.0.get_mut(what) else {
            return;
        };
        all.sort_by(f64::total_cmp);
        let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize];
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        println!(
            "| {size} | {what} | {} | {mean:.1} | {:.1} | {:.1} | {:.1} |",
            all.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}

fn entry(id: u32, booted: Option<Time>) -> Backend {
    Backend {
        id: BackendId(id),
        address_hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20,
        zone: ZoneId(id % ZONES),
        cell: CellId(u64::from(id / 8)),
        hardware_class: HardwareClassId(id / 7 % KINDS),
        state: BackendState::Ready,
        started_at: booted,
    }
}

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

struct Bench {
    balancer: Balancer,
    now: u64,
    seed: u64,
    queue: BinaryHeap<Reverse<(u64, u64, u32)>>,
    /// By number: when it was sent, of a request; 0 of a timer's token.
    sent: BTreeMap<u64, u64>,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    times: Times,
}

impl Bench {
    fn draw(&mut self) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.seed >> 33
    }

    fn tell(&mut self, what: &'static str, event: Event) {
        let mut actions = Vec::new();
        let from = Instant::now();
        self.balancer.handle(Time(self.now), event, &mut actions);
        let took = from.elapsed().as_secs_f64() * 1e6;
        self.times.0.entry(what).or_default().push(took);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => {
                    let work = WORK_US + self.draw() % WORK_US;
                    self.sent.insert(request.0, self.now);
                    self.queue
                        .push(Reverse((self.now + work, request.0, backend.0)));
                }
                Action::SetTimer { token, after } => {
                    self.timers.push(Reverse((self.now + after.0, token.0)));
                }
                _ => {}
            }
        }
    }

    /// Ends and timers until then.
    fn until(&mut self, end: u64) {
        loop {
            let ends = self.queue.peek().map_or(u64::MAX, |e| e.0 .0);
            let timer = self.timers.peek().map_or(u64::MAX, |t| t.0 .0);
            if ends.min(timer) > end {
                self.now = end;
                return;
            }
            self.now = ends.min(timer);
            if ends <= timer {
                let Some(Reverse((_, request, _))) = self.queue.pop() else {
                    return;
                };
                let sent = self.sent.remove(&request).unwrap_or(self.now);
                let (request, attempt, latency) = (
                    RequestId(request),
                    AttemptNumber(0),
                    Micros(self.now - sent),
                );
                let (outcome, settled) = (Outcome::Ok, true);
                self.tell(
                    "end",
                    Event::AttemptEnded(AttemptEnd {
                        request,
                        attempt,
                        outcome,
                        latency,
                        answered: settled,
                    }),
                );
            } else if let Some(Reverse((_, token))) = self.timers.pop() {
                self.tell(
                    "timer",
                    Event::TimerFired {
                        token: TimerToken(token),
                    },
                );
            }
        }
    }

    fn requests(
        &mut self,
        what: &'static str,
        first: u64,
        count: u64,
        classes: usize,
        tenants: usize,
    ) {
        for n in 0..count {
            let gap = GAP_US / 2 + self.draw() % GAP_US;
            let next = self.now + gap;
            self.until(next);
            let class = self.draw() as usize % classes;
            let tenant = (tenants > 0).then(|| TenantId(self.draw() as usize % tenants));
            self.tell(
                what,
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

fn play(backends: u32, classes: usize, tenants: usize) {
    let size = format!("{backends} / {classes} / {tenants}");
    let mut bench = Bench {
        balancer: Balancer::new(config(classes, tenants), 1).expect("sound"),
        now: 1_000_000_000,
        seed: 1,
        queue: BinaryHeap::new(),
        sent: BTreeMap::new(),
        timers: BinaryHeap::new(),
        times: Times::default(),
    };
    let mut list: Vec<Backend> = (0..backends).map(|id| entry(id, None)).collect();
    let members = |update, backends: &[Backend]| Event::EndpointsUpdated {
        update,
        backends: backends.to_vec(),
    };
    bench.tell("first list", members(EndpointUpdate::Full, &list));
    bench.requests("warm up", 0, 117 * 5, classes, tenants);
    bench.times.0.clear();
    let requests = 117 * SECONDS;
    bench.requests("request", 10_000, requests, classes, tenants);
    let spent: f64 = bench.times.0.values().flatten().sum();
    for n in 0..100 {
        let at = (n * 97) % list.len();
        let booted = Some(Time(bench.now - 1_000));
        list[at] = entry(list[at].id.0, booted);
        bench.tell(
            "one line",
            members(EndpointUpdate::Incremental, &list[at..=at]),
        );
        bench.requests("request after it", 20_000 + n as u64, 1, classes, tenants);
    }
    for n in 0..5 {
        let fresh = list.len() as u32;
        list.remove(n * 7 % 50);
        list.push(entry(fresh + n as u32, None));
        bench.tell("whole list", members(EndpointUpdate::Full, &list));
        bench.requests("request after that", 30_000 + n as u64, 1, classes, tenants);
    }
    // A zone comes back cold.
    let (now, zone) = (bench.now, ZoneId(3));
    let cold = list.iter().filter(|b| b.zone == zone).map(|b| Backend {
        started_at: Some(Time(now)),
        ..b.clone()
    });
    let cold: Vec<Backend> = cold.collect();
    bench.tell("a zone starts", members(EndpointUpdate::Incremental, &cold));
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
        .for_each(|what| bench.times.row(&size, what));
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
    sizes.iter().for_each(|backends| play(*backends, 2, 0));
    play(100, 21_000, 0);
    play(100, 2, 130_000);
}
