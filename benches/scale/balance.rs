//! The module behind a hollow proxy, in service without HTTP: requests at a steady rate, live backends that answer after
//! 5 ms, dead ones that refuse the connection. So verdicts come at the rate at which the module itself tells them.

use super::protocol::Load;
use meadowproxy::{
    Action, AttemptEnd, AttemptNumber, Backend, BackendId, BackendState, Balancer, ClassId, Config,
    EndpointUpdate, Event, Micros, Outcome, PeerVerdict, RequestArrival, RequestId, Time,
    TimerToken, Verdict,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

const ANSWER: u64 = 5_000;
const REFUSAL: u64 = 200;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Timer(u64),
    End(RequestId, u32, u32, u64),
}

pub struct Balance {
    balancer: Balancer,
    load: Load,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    next: u64,
    tries: BTreeMap<RequestId, u32>,
    told: Vec<(String, Verdict)>,
    /// Time spent here.
    pub spent: Duration,
}

fn name(backend: BackendId) -> String {
    format!("b{}", backend.0)
}

impl Balance {
    pub fn new(load: Load, position: u32, proxies: u32, seed: u64, now: Time) -> Balance {
        let config = Config {
            proxy_count: proxies,
            proxy_index: position,
            max_attempts: 4,
            ..Config::example()
        };
        let mut balance = Balance {
            balancer: Balancer::new(config, seed ^ u64::from(position))
                .expect("a sound configuration"),
            load,
            due: BinaryHeap::new(),
            next: 0,
            tries: BTreeMap::new(),
            told: Vec::new(),
            spent: Duration::ZERO,
        };
        let one = |id: u32| Backend {
            id: BackendId(id),
            address_hash: u64::from(id.wrapping_mul(2_654_435_761)) >> 4,
            state: BackendState::Ready,
            ..Backend::default()
        };
        let backends = (0..load.backends).map(one).collect();
        balance.event(
            now,
            Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                backends,
            },
        );
        let first = now.0 + balance.gap() * u64::from(position) / u64::from(proxies);
        balance.due.push(Reverse((first, Due::Arrival)));
        balance
    }

    fn gap(&self) -> u64 {
        (1e6 / self.load.per_second) as u64
    }

    pub fn due(&self) -> Option<Time> {
        self.due.peek().map(|d| Time(d.0 .0))
    }

    /// Does all that is due; the verdicts that this proxy tells.
    pub fn pass(&mut self, now: Time) -> Vec<(String, Verdict)> {
        let begun = Instant::now();
        while self.due.peek().is_some_and(|d| d.0 .0 <= now.0) {
            let Some(Reverse((at, due))) = self.due.pop() else {
                break;
            };
            let event = match due {
                Due::Arrival => {
                    self.due.push(Reverse((at + self.gap(), Due::Arrival)));
                    self.arrival()
                }
                Due::Timer(token) => Event::TimerFired {
                    token: TimerToken(token),
                },
                Due::End(request, attempt, backend, sent) => {
                    self.end(request, attempt, backend, now.0 - sent)
                }
            };
            self.event(now, event);
        }
        self.spent += begun.elapsed();
        std::mem::take(&mut self.told)
    }

    pub fn heard(&mut self, backend: &str, heard: PeerVerdict, now: Time) {
        let Some(id) = backend.strip_prefix('b').and_then(|n| n.parse().ok()) else {
            return;
        };
        let begun = Instant::now();
        self.event(
            now,
            Event::VerdictReceived(PeerVerdict {
                backend: BackendId(id),
                ..heard
            }),
        );
        self.spent += begun.elapsed();
    }

    fn arrival(&mut self) -> Event {
        self.next += 1;
        Event::RequestArrived(RequestArrival {
            request: RequestId(self.next),
            class: ClassId(0),
            tenant: None,
            time_left: Micros(3_000_000),
            work_hint: None,
            client_retry: false,
        })
    }

    fn end(&mut self, request: RequestId, attempt: u32, backend: u32, took: u64) -> Event {
        let ok = backend >= self.load.dead;
        if ok {
            self.tries.remove(&request);
        }
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt: AttemptNumber(attempt),
            outcome: if ok {
                Outcome::Ok
            } else {
                Outcome::ConnectFailed
            },
            latency: Micros(took),
            answered: ok,
        })
    }

    fn event(&mut self, now: Time, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => {
                    let attempt = self.tries.entry(request).or_default();
                    let takes = if backend.0 < self.load.dead {
                        REFUSAL
                    } else {
                        ANSWER
                    };
                    let end = Due::End(request, *attempt, backend.0, now.0);
                    self.due.push(Reverse((now.0 + takes, end)));
                    *attempt += 1;
                }
                Action::SetTimer { token, after } => {
                    self.due
                        .push(Reverse((now.0 + after.0, Due::Timer(token.0))));
                }
                Action::PublishVerdict { backend, verdict } => {
                    self.told.push((name(backend), verdict));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.tries.remove(&request);
                }
                _ => {}
            }
        }
    }
}
