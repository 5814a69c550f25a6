//! A list told whole and the same list told by what changed lead to the same state: the same actions from then on.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

mod common;
use common::{backend, class};

/// What a step does to one backend's line, or to the traffic.
#[derive(Clone, Debug)]
enum Step {
    Line(u32, BackendState, u64),
    Told,
    Request(u64),
    End(usize, Outcome),
    Withdraw(u32),
    Restore(u32),
    Pass(u64),
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
        6 => (0..12u32, state, 0..4u64).prop_map(|(b, s, boot)| Step::Line(b, s, boot)),
        3 => Just(Step::Told),
        6 => (10_000..900_000u64).prop_map(Step::Request),
        5 => (0..32usize, outcome).prop_map(|(n, o)| Step::End(n, o)),
        1 => (0..12u32).prop_map(Step::Withdraw),
        1 => (0..12u32).prop_map(Step::Restore),
        4 => (0..120_000u64).prop_map(Step::Pass),
    ]
}

/// All that can be seen of a balancer's state.
#[derive(Debug, PartialEq)]
struct State {
    readiness: Vec<(BackendId, f64)>,
    holds: Vec<(HardwareClassId, f64)>,
    memory: LearnedState,
}

/// One balancer, its clock and what it has out.
struct Side {
    balancer: Balancer,
    out: Vec<(RequestId, AttemptNumber, Time)>,
    tries: BTreeMap<RequestId, u32>,
}

impl Side {
    fn new(proxies: u32) -> Side {
        let mut cfg = Config::example();
        cfg.proxy_count = proxies;
        cfg.classes = [
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
        ]
        .into_iter()
        .collect();
        (cfg.cross_zone_cost, cfg.slow_start_duration) = (0.1, Micros(600_000));
        let balancer = Balancer::new(cfg, 5).expect("sound");
        Side {
            balancer,
            out: Vec::new(),
            tries: BTreeMap::new(),
        }
    }

    fn tell(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in &actions {
            if let Action::Dispatch { request, .. } = action {
                let no = self.tries.entry(*request).or_default();
                self.out.push((*request, AttemptNumber(*no), now));
                *no += 1;
            }
        }
        actions
    }

    fn end(&mut self, now: Time, n: usize, outcome: Outcome) -> Vec<Action> {
        if self.out.is_empty() {
            return Vec::new();
        }
        let (request, attempt, sent) = self.out.remove(n % self.out.len());
        let settled = outcome == Outcome::Ok;
        let end = AttemptEnd {
            request,
            attempt,
            outcome,
            latency: now - sent,
            answered: settled,
        };
        self.tell(now, Event::AttemptEnded(end))
    }

    fn state(&self, now: Time) -> State {
        let b = &self.balancer;
        let (readiness, holds) = (
            b.slow_start_readiness(now).collect(),
            b.concurrency_limits().collect(),
        );
        State {
            readiness,
            holds,
            memory: b.learned_state(now),
        }
    }
}

fn play(proxies: u32, reverse: bool, steps: &[Step]) {
    let (mut whole, mut changes) = (Side::new(proxies), Side::new(proxies));
    let mut list: BTreeMap<BackendId, Backend> = BTreeMap::new();
    let mut told = list.clone();
    let mut now = Time(1_000_000_000);
    let mut next = 0;
    for step in steps.iter().chain([&Step::Told, &Step::Request(500_000)]) {
        let actions = match step {
            Step::Line(b, state, boot) => {
                // Most leave and come back under the same number, some in other zones and of other kinds.
                let booted = (*boot > 0).then(|| Time(now.0 - boot * 100_000));
                let line = Backend {
                    state: *state,
                    started_at: booted,
                    ..backend(*b, b % 3 + (boot / 3) as u32, b % 2)
                };
                if *state == BackendState::Removed {
                    // The line of its end is its last one, as a whole list says no more than that it is gone.
                    list.remove(&line.id);
                    let last = told.get(&line.id).cloned();
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
                    list.insert(line.id, line);
                }
                continue;
            }
            Step::Told => {
                let changed: Vec<Backend> = list
                    .values()
                    .filter(|b| told.get(&b.id) != Some(*b))
                    .cloned()
                    .collect();
                told.clone_from(&list);
                // A whole list does not name what is gone.
                let mut all: Vec<Backend> = list
                    .values()
                    .filter(|b| b.state != BackendState::Removed)
                    .cloned()
                    .collect();
                if reverse {
                    all.reverse();
                }
                (
                    whole.tell(
                        now,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Full,
                            backends: all,
                        },
                    ),
                    changes.tell(
                        now,
                        Event::EndpointsUpdated {
                            update: EndpointUpdate::Incremental,
                            backends: changed,
                        },
                    ),
                )
            }
            Step::Request(left) => {
                next += 1;
                let arrival = RequestArrival {
                    request: RequestId(next),
                    class: ClassId(usize::from(next % 4 == 0)),
                    tenant: None,
                    time_left: Micros(*left),
                    work_hint: None,
                    client_retry: next % 7 == 0,
                };
                let event = Event::RequestArrived(arrival);
                (whole.tell(now, event.clone()), changes.tell(now, event))
            }
            Step::End(n, outcome) => (whole.end(now, *n, *outcome), changes.end(now, *n, *outcome)),
            Step::Withdraw(b) => {
                let event = Event::BackendDisabled {
                    backend: BackendId(*b),
                };
                (whole.tell(now, event.clone()), changes.tell(now, event))
            }
            Step::Restore(b) => {
                let event = Event::BackendEnabled {
                    backend: BackendId(*b),
                    since: now,
                };
                (whole.tell(now, event.clone()), changes.tell(now, event))
            }
            Step::Pass(span) => {
                now = now + Micros(*span);
                continue;
            }
        };
        assert_eq!(actions.0, actions.1, "at {step:?}");
        assert_eq!(whole.state(now), changes.state(now), "at {step:?}");
    }
}

#[test]
fn whole_lists_and_changes_lead_to_the_same_state() {
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
        play(proxies, reverse, &steps);
        Ok(())
    });
    run.unwrap();
}
