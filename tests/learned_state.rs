//! What the module takes back after a start, on one clock.

mod common;

use common::*;
use meadowproxy::*;

fn fleet() -> Host {
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

/// Bursts that fill every backend, answered after the same 20 ms however many there are: the hold grows.
fn learn(host: &mut Host) {
    for _ in 0..100 {
        host.burst(80, 0, 300_000);
        host.serve_all(20_000);
        host.advance(20_000);
    }
}

/// How many attempts go out at once of a hundred requests.
fn taken(host: &mut Host) -> usize {
    host.burst(100, 0, 300_000);
    host.attempts_in_flight().len()
}

fn recalled(memory: &LearnedState, beside: bool) -> Host {
    let mut host = fleet();
    if beside {
        host.handle(Event::ProcessCountChanged { processes: 2 });
    }
    host.handle(Event::StateRestored {
        state: Box::new(memory.clone()),
        age: Micros(2_000_000),
    });
    host
}

/// After a crash a process holds at once what the one before it had learned to; beside a live one, which holds as
/// much already, it begins as a new one does, and so it does after numbers that make no sense.
#[test]
fn a_hold_is_taken_back_alone_and_not_beside_the_process_that_holds_it() {
    let mut first = fleet();
    let cold = taken(&mut fleet());
    learn(&mut first);
    let memory = first.balancer.learned_state(first.now);
    assert!(
        memory.hardware_classes[0].1.concurrency_limit > 8.0,
        "nothing learned: {memory:?}"
    );
    let (alone, beside) = (
        taken(&mut recalled(&memory, false)),
        taken(&mut recalled(&memory, true)),
    );
    assert!(alone >= 2 * cold, "{alone} at once where {cold} are cold");
    assert_eq!(beside, cold, "its hold counted twice");
    for wrong in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        let mut bad = memory.clone();
        (
            bad.hardware_classes[0].1.concurrency_limit,
            bad.hardware_classes[0].1.latency.value,
            bad.overall_latency.value,
        ) = (wrong, wrong, wrong);
        assert_eq!(taken(&mut recalled(&bad, false)), cold, "{wrong}");
    }
}
