//! Drives the balancer of a lightweight proxy without HTTP: requests arrive at a steady rate, live backends answer after
//! 5 ms, and dead ones refuse the connection. The proxy thus sends verdicts at the rate at which a real balancer does.

use super::protocol::Load;
use meadowproxy::{
    Action, AttemptEnd, AttemptNumber, Backend, BackendId, BackendState, Balancer, ClassId, Config,
    EndpointUpdate, Event, Micros, Outcome, PeerVerdict, RequestArrival, RequestId, Time,
    TimerToken, Verdict,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// The response time of a live backend, in microseconds.
const ANSWER_US: u64 = 5_000;
/// The time until a dead backend refuses a connection, in microseconds.
const REFUSAL_US: u64 = 200;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum DueEvent {
    Arrival,
    Timer(u64),
    /// The end of an attempt: request, attempt number, backend, and start time in microseconds.
    End(RequestId, u32, u32, u64),
}

/// A balancer and the load on it.
pub struct BalancerDriver {
    balancer: Balancer,
    load: Load,
    /// Scheduled events by time in microseconds.
    due: BinaryHeap<Reverse<(u64, DueEvent)>>,
    next_request: u64,
    /// The number of attempts of each open request.
    attempts: BTreeMap<RequestId, u32>,
    /// Verdicts to broadcast.
    verdicts: Vec<(String, Verdict)>,
    /// Time spent in the balancer since the caller last reset it.
    pub spent: Duration,
}

fn backend_name(backend: BackendId) -> String {
    format!("b{}", backend.0)
}

impl BalancerDriver {
    pub fn new(load: Load, position: u32, proxies: u32, seed: u64, now: Time) -> BalancerDriver {
        let config = Config {
            proxy_count: proxies,
            proxy_index: position,
            max_attempts: 4,
            ..Config::example()
        };
        let mut driver = BalancerDriver {
            balancer: Balancer::new(config, seed ^ u64::from(position))
                .expect("a valid configuration"),
            load,
            due: BinaryHeap::new(),
            next_request: 0,
            attempts: BTreeMap::new(),
            verdicts: Vec::new(),
            spent: Duration::ZERO,
        };
        let backend = |id: u32| Backend {
            id: BackendId(id),
            address_hash: u64::from(id.wrapping_mul(2_654_435_761)) >> 4,
            state: BackendState::Ready,
            ..Backend::default()
        };
        let backends = (0..load.backends).map(backend).collect();
        driver.handle(
            now,
            Event::EndpointsUpdated {
                update: EndpointUpdate::Full,
                backends,
            },
        );
        let first = now.0 + driver.arrival_interval() * u64::from(position) / u64::from(proxies);
        driver.due.push(Reverse((first, DueEvent::Arrival)));
        driver
    }

    /// Microseconds between two requests.
    fn arrival_interval(&self) -> u64 {
        (1e6 / self.load.per_second) as u64
    }

    /// When the next event is due.
    pub fn next_due(&self) -> Option<Time> {
        self.due.peek().map(|d| Time(d.0 .0))
    }

    /// Handles all events that are due. Returns the verdicts to broadcast.
    pub fn run_due(&mut self, now: Time) -> Vec<(String, Verdict)> {
        let begun = Instant::now();
        while self.due.peek().is_some_and(|d| d.0 .0 <= now.0) {
            let Some(Reverse((at, due))) = self.due.pop() else {
                break;
            };
            let event = match due {
                DueEvent::Arrival => {
                    self.due
                        .push(Reverse((at + self.arrival_interval(), DueEvent::Arrival)));
                    self.next_arrival()
                }
                DueEvent::Timer(token) => Event::TimerFired {
                    token: TimerToken(token),
                },
                DueEvent::End(request, attempt, backend, sent) => {
                    self.finish_attempt(request, attempt, backend, now.0 - sent)
                }
            };
            self.handle(now, event);
        }
        self.spent += begun.elapsed();
        std::mem::take(&mut self.verdicts)
    }

    /// Passes a peer's verdict to the balancer.
    pub fn receive_verdict(&mut self, backend: &str, received: PeerVerdict, now: Time) {
        let Some(id) = backend.strip_prefix('b').and_then(|n| n.parse().ok()) else {
            return;
        };
        let begun = Instant::now();
        self.handle(
            now,
            Event::VerdictReceived(PeerVerdict {
                backend: BackendId(id),
                ..received
            }),
        );
        self.spent += begun.elapsed();
    }

    fn next_arrival(&mut self) -> Event {
        self.next_request += 1;
        Event::RequestArrived(RequestArrival {
            request: RequestId(self.next_request),
            class: ClassId(0),
            tenant: None,
            time_left: Micros(3_000_000),
            work_hint: None,
            client_retry: false,
        })
    }

    fn finish_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        backend: u32,
        latency_us: u64,
    ) -> Event {
        let succeeded = backend >= self.load.dead;
        if succeeded {
            self.attempts.remove(&request);
        }
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt: AttemptNumber(attempt),
            outcome: if succeeded {
                Outcome::Ok
            } else {
                Outcome::ConnectFailed
            },
            latency: Micros(latency_us),
            answered: succeeded,
        })
    }

    /// Passes an event to the balancer and executes its actions.
    fn handle(&mut self, now: Time, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, backend } => {
                    let attempt = self.attempts.entry(request).or_default();
                    let duration = if backend.0 < self.load.dead {
                        REFUSAL_US
                    } else {
                        ANSWER_US
                    };
                    let end = DueEvent::End(request, *attempt, backend.0, now.0);
                    self.due.push(Reverse((now.0 + duration, end)));
                    *attempt += 1;
                }
                Action::SetTimer { token, after } => {
                    self.due
                        .push(Reverse((now.0 + after.0, DueEvent::Timer(token.0))));
                }
                Action::PublishVerdict { backend, verdict } => {
                    self.verdicts.push((backend_name(backend), verdict));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.attempts.remove(&request);
                }
                _ => {}
            }
        }
    }
}
