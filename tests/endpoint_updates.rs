//! Property test: full endpoint lists and incremental updates of the same backends lead to the same state of the
//! balancer and to the same actions.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

mod common;
use common::{backend, class};

/// A generated step: a change to the backends, an announcement of the list, or traffic.
#[derive(Clone, Debug)]
enum Step {
    ChangeBackend(u32, BackendState, u64),
    AnnounceList,
    Request(u64),
    EndAttempt(usize, Outcome),
    Disable(u32),
    Enable(u32),
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        4 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        3 => Just(BackendState::Removed)
    ];
    let outcome = prop_oneof![
        6 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Overloaded)
    ];
    prop_oneof![
        6 => (0..12u32, state, 0..4u64).prop_map(|(b, s, start)| Step::ChangeBackend(b, s, start)),
        3 => Just(Step::AnnounceList),
        6 => (10_000..900_000u64).prop_map(Step::Request),
        5 => (0..32usize, outcome).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        1 => (0..12u32).prop_map(Step::Disable),
        1 => (0..12u32).prop_map(Step::Enable),
        4 => (0..120_000u64).prop_map(Step::AdvanceTime),
    ]
}

/// The observable state of a balancer.
#[derive(Debug, PartialEq)]
struct State {
    readiness: Vec<(BackendId, f64)>,
    concurrency_limits: Vec<(HardwareClassId, f64)>,
    learned_state: LearnedState,
}

/// A balancer, its attempts in flight and the number of attempts of each request.
struct BalancerUnderTest {
    balancer: Balancer,
    in_flight: Vec<(RequestId, AttemptNumber, Time)>,
    attempt_counts: BTreeMap<RequestId, u32>,
}

impl BalancerUnderTest {
    fn new(proxies: u32) -> BalancerUnderTest {
        let mut cfg = Config::example();
        cfg.proxy_count = proxies;
        cfg.classes = [
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
        ]
        .into_iter()
        .collect();
        (cfg.cross_zone_cost, cfg.slow_start_duration) = (0.1, Micros(600_000));
        let balancer = Balancer::new(cfg, 5).expect("a valid configuration");
        BalancerUnderTest {
            balancer,
            in_flight: Vec::new(),
            attempt_counts: BTreeMap::new(),
        }
    }

    /// Passes an event to the balancer and records the attempts that it dispatches.
    fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in &actions {
            if let Action::Dispatch { request, .. } = action {
                let number = self.attempt_counts.entry(*request).or_default();
                self.in_flight.push((*request, AttemptNumber(*number), now));
                *number += 1;
            }
        }
        actions
    }

    /// Ends the attempt in flight at `n` modulo their number, if there is any.
    fn end_attempt(&mut self, now: Time, n: usize, outcome: Outcome) -> Vec<Action> {
        if self.in_flight.is_empty() {
            return Vec::new();
        }
        let (request, attempt, sent_at) = self.in_flight.remove(n % self.in_flight.len());
        let answered = outcome == Outcome::Ok;
        let end = AttemptEnd {
            request,
            attempt,
            outcome,
            latency: now - sent_at,
            answered,
        };
        self.handle(now, Event::AttemptEnded(end))
    }

    fn state(&self, now: Time) -> State {
        let b = &self.balancer;
        let (readiness, concurrency_limits) = (
            b.slow_start_readiness(now).collect(),
            b.concurrency_limits().collect(),
        );
        State {
            readiness,
            concurrency_limits,
            learned_state: b.learned_state(now),
        }
    }
}

/// Applies the steps to two balancers, one of which gets full lists and one incremental updates, and compares them.
fn run_steps(proxies: u32, reverse: bool, steps: &[Step]) {
    let (mut full, mut incremental) = (
        BalancerUnderTest::new(proxies),
        BalancerUnderTest::new(proxies),
    );
    let mut list: BTreeMap<BackendId, Backend> = BTreeMap::new();
    let mut announced = list.clone();
    let mut now = Time(1_000_000_000);
    let mut next_request = 0;
    for step in steps
        .iter()
        .chain([&Step::AnnounceList, &Step::Request(500_000)])
    {
        let actions = match step {
            Step::ChangeBackend(b, state, start) => {
                // Most backends leave and return under the same id, some in another zone or hardware class.
                let started_at = (*start > 0).then(|| Time(now.0 - start * 100_000));
                let entry = Backend {
                    state: *state,
                    started_at,
                    ..backend(*b, b % 3 + (start / 3) as u32, b % 2)
                };
                if *state == BackendState::Removed {
                    // A removed backend keeps its last announced entry, as a full list tells only that it is gone.
                    list.remove(&entry.id);
                    let last = announced.get(&entry.id).cloned();
                    list.extend(last.map(|last| {
                        (
                            last.id,
                            Backend {
                                state: *state,
                                ..last
                            },
                        )
                    }));
                } else {
                    list.insert(entry.id, entry);
                }
                continue;
            }
            Step::AnnounceList => {
                let changed: Vec<Backend> = list
                    .values()
                    .filter(|b| announced.get(&b.id) != Some(*b))
                    .cloned()
                    .collect();
                announced.clone_from(&list);
                // A full list does not contain removed backends.
                let mut all: Vec<Backend> = list
                    .values()
                    .filter(|b| b.state != BackendState::Removed)
                    .cloned()
                    .collect();
                if reverse {
                    all.reverse();
                }
                (
                    full.handle(
                        now,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Full,
                            backends: all,
                        },
                    ),
                    incremental.handle(
                        now,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Incremental,
                            backends: changed,
                        },
                    ),
                )
            }
            Step::Request(time_left_us) => {
                next_request += 1;
                let arrival = RequestArrival {
                    request: RequestId(next_request),
                    class: ClassId(usize::from(next_request % 4 == 0)),
                    tenant: None,
                    time_left: Micros(*time_left_us),
                    work_hint: None,
                    client_retry: next_request % 7 == 0,
                };
                let event = Event::RequestArrived(arrival);
                (
                    full.handle(now, event.clone()),
                    incremental.handle(now, event),
                )
            }
            Step::EndAttempt(n, outcome) => (
                full.end_attempt(now, *n, *outcome),
                incremental.end_attempt(now, *n, *outcome),
            ),
            Step::Disable(b) => {
                let event = Event::BackendDisabled {
                    backend: BackendId(*b),
                };
                (
                    full.handle(now, event.clone()),
                    incremental.handle(now, event),
                )
            }
            Step::Enable(b) => {
                let event = Event::BackendEnabled {
                    backend: BackendId(*b),
                    since: now,
                };
                (
                    full.handle(now, event.clone()),
                    incremental.handle(now, event),
                )
            }
            Step::AdvanceTime(span) => {
                now = now + Micros(*span);
                continue;
            }
        };
        assert_eq!(actions.0, actions.1, "at {step:?}");
        assert_eq!(full.state(now), incremental.state(now), "at {step:?}");
    }
}

#[test]
fn full_and_incremental_updates_lead_to_the_same_state() {
    let config = ProptestConfig {
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let proxies = prop_oneof![Just(1u32), Just(3), Just(40)];
    let all = (
        proxies,
        any::<bool>(),
        proptest::collection::vec(step(), 1..160),
    );
    let run = runner.run(&all, |(proxies, reverse, steps)| {
        run_steps(proxies, reverse, &steps);
        Ok(())
    });
    run.unwrap();
}
