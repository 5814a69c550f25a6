//! Property tests of the balancer's invariants over generated sequences of events. `common::Host` checks each action,
//! and every request must be answered.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod common;
use common::{backend, class, Host};
use meadowproxy::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

/// A generated event; attempts and requests are picked by an index modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, u64, Option<usize>),
    EndAttempt(usize, Outcome),
    StartResponse(usize),
    Disconnect(usize),
    AdvanceTime(u64),
    ChangeBackend(u32, BackendState, bool),
    AnnounceList(u32, EndpointUpdate),
    UnknownIds(u64, u32, u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        8 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Overloaded),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        3 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        1 => Just(BackendState::Removed)
    ];
    let update = prop_oneof![
        Just(EndpointUpdate::Full),
        Just(EndpointUpdate::Cached),
        Just(EndpointUpdate::Failed)
    ];
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64, proptest::option::of(0..2usize)).prop_map(|(c, l, t)| Step::Arrive(c, l, t)),
        8 => (0..64usize, outcome()).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        1 => (0..64usize).prop_map(Step::StartResponse),
        1 => (0..64usize).prop_map(Step::Disconnect),
        8 => (0..150_000u64).prop_map(Step::AdvanceTime),
        2 => (0..8u32, state, any::<bool>()).prop_map(|(b, s, r)| Step::ChangeBackend(b, s, r)),
        1 => (0..256u32, update).prop_map(|(m, u)| Step::AnnounceList(m, u)),
        1 => (0..200u64, 0..9u32, any::<u64>()).prop_map(|(r, a, t)| Step::UnknownIds(r, a, t)),
    ]
}

/// A configuration whose options follow from the bits.
fn config(bits: u32) -> Config {
    let window = Micros(300_000);
    let mut cfg = Config::example();
    cfg.classes = vec![
        class(Idempotency::Idempotent),
        RequestClass {
            late_weight: 0.3,
            priority_weight: 5.0,
            ..class(Idempotency::NonIdempotent)
        },
        class(Idempotency::Keyed {
            scope: KeyScope::Zone,
            window,
        }),
        class(Idempotency::Keyed {
            scope: KeyScope::Cell,
            window,
        }),
        class(Idempotency::Keyed {
            scope: KeyScope::All,
            window,
        }),
        RequestClass {
            latency_objective: Micros(100_000),
            ..class(Idempotency::Idempotent)
        },
    ]
    .into();
    cfg.tenants = vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 5.0 }].into();
    cfg.worst_class_objective_weight = 0.3;
    cfg.hedging = bits & 1 == 0;
    cfg.proxy_count = if bits & 2 == 0 { 3 } else { 40 };
    cfg.cancellation = bits & 4 == 0;
    cfg.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 8 == 0 {
        cfg.discovery = Discovery::Poll {
            staleness_limit: Micros(2_000_000),
        };
    }
    cfg
}

/// Runs the steps and returns the actions of each as text, for the test of determinism.
fn run_steps(bits: u32, seed: u64, steps: &[Step]) -> Vec<String> {
    let mut host = Host::new(config(bits), seed);
    let mut trace = Vec::new();
    let backends_of = |mask: u32| {
        (0..8)
            .filter(|i| mask >> i & 1 == 1)
            .map(|i| backend(i, i % 3, i % 2))
            .collect()
    };
    host.update_endpoints(EndpointUpdate::Cached, backends_of(0b0111_1011));
    for step in steps {
        match *step {
            Step::Arrive(c, left, t) => {
                host.arrive_for_tenant(c, left, t.map(TenantId));
            }
            Step::EndAttempt(n, o) => {
                if let Some((id, index)) = nth(&host.attempts_in_flight(), n) {
                    host.end_attempt(id, index, o);
                }
            }
            Step::StartResponse(n) => {
                if let Some((id, index)) = nth(&host.attempts_in_flight(), n) {
                    host.start_response(id, index);
                }
            }
            Step::Disconnect(n) => {
                let open: Vec<RequestId> = host
                    .requests
                    .iter()
                    .filter(|(_, r)| r.answer.is_none())
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(id) = nth(&open, n) {
                    host.requests.get_mut(&id).unwrap().answer = Some("disconnected");
                    host.handle(Event::ClientDisconnected { request: id });
                }
            }
            Step::AdvanceTime(span) => host.advance(span),
            Step::ChangeBackend(b, state, restarted) => {
                let started_at = restarted.then_some(host.now);
                host.update_endpoints(
                    EndpointUpdate::Incremental,
                    vec![Backend {
                        state,
                        started_at,
                        ..backend(b, b % 3, b % 2)
                    }],
                );
            }
            Step::AnnounceList(_, EndpointUpdate::Failed) => {
                host.update_endpoints(EndpointUpdate::Failed, Vec::new());
            }
            Step::AnnounceList(mask, update) => host.update_endpoints(update, backends_of(mask)),
            Step::UnknownIds(r, a, t) => {
                host.report_unknown_ids(RequestId(1_000_000 + r), AttemptNumber(a), TimerToken(t));
            }
        }
        trace.push(format!("{:?}", host.last_actions));
    }
    host.advance(3_000_000);
    let answered = |r: &common::OpenRequest| r.answer.is_some() || r.response_started;
    assert!(
        host.requests.values().all(answered),
        "a request has no answer 3 s after the last event"
    );
    trace
}

/// The item at `n` modulo the length, if there is any.
fn nth<T: Copy>(list: &[T], n: usize) -> Option<T> {
    list.get(n % list.len().max(1)).copied()
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn invariants_hold_over_generated_events() {
    let all = (
        0..32u32,
        any::<u64>(),
        proptest::collection::vec(step(), 1..250),
    );
    let run = runner(300).run(&all, |(bits, seed, steps)| {
        run_steps(bits, seed, &steps);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let all = (
        0..32u32,
        any::<u64>(),
        proptest::collection::vec(step(), 1..120),
    );
    let run = runner(40).run(&all, |(bits, seed, steps)| {
        prop_assert_eq!(run_steps(bits, seed, &steps), run_steps(bits, seed, &steps));
        Ok(())
    });
    run.unwrap();
}
