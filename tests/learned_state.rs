//! Tests of restoring learned state after a start: concurrency limits are restored only by a proxy's sole process.

mod common;

use common::*;
use meadowproxy::*;

fn new_host() -> Host {
    let mut host = Host::new(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        5,
    );
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..4).map(|id| backend(id, 0, 0)).collect(),
    );
    host
}

/// Sends bursts that fill every backend and are answered in 20 ms however large they are: the concurrency limit grows.
fn raise_limit(host: &mut Host) {
    for _ in 0..100 {
        host.burst(80, 0, 300_000);
        host.serve_all(20_000);
        host.advance(20_000);
    }
}

/// How many of a hundred requests are dispatched at once.
fn dispatched_at_once(host: &mut Host) -> usize {
    host.burst(100, 0, 300_000);
    host.attempts_in_flight().len()
}

fn restored_host(state: &LearnedState, beside_another: bool) -> Host {
    let mut host = new_host();
    if beside_another {
        host.handle(Event::ProcessCountChanged { processes: 2 });
    }
    host.handle(Event::StateRestored {
        state: Box::new(state.clone()),
        age: Micros(2_000_000),
    });
    host
}

/// After a crash a process starts with the concurrency limit that its predecessor learned. Beside a live process, which
/// uses that limit already, and with invalid numbers it starts like a new one.
#[test]
fn a_learned_limit_is_restored_only_without_another_process() {
    let mut first = new_host();
    let cold = dispatched_at_once(&mut new_host());
    raise_limit(&mut first);
    let state = first.balancer.learned_state(first.now);
    assert!(
        state.hardware_classes[0].1.concurrency_limit > 8.0,
        "the concurrency limit did not grow: {state:?}"
    );
    let (alone, beside_another) = (
        dispatched_at_once(&mut restored_host(&state, false)),
        dispatched_at_once(&mut restored_host(&state, true)),
    );
    assert!(
        alone >= 2 * cold,
        "{alone} dispatched at once with restored state, {cold} without"
    );
    assert_eq!(
        beside_another, cold,
        "two processes used the learned limit at once"
    );
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        let mut invalid_state = state.clone();
        (
            invalid_state.hardware_classes[0].1.concurrency_limit,
            invalid_state.hardware_classes[0].1.latency.value,
            invalid_state.overall_latency.value,
        ) = (invalid, invalid, invalid);
        assert_eq!(
            dispatched_at_once(&mut restored_host(&invalid_state, false)),
            cold,
            "state with {invalid} was restored"
        );
    }
}
