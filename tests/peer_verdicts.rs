//! Tests of outlier verdicts that proxies share: how many peers must agree to eject a backend, which verdicts are
//! ignored, and which proxy probes an ejected backend first.

mod common;

use common::*;
use meadowproxy::*;

/// Verdicts beyond this age are ignored.
const MAX_AGE: Micros = Micros(5_000_000);

/// One proxy of twelve with four backends, each of which has already served it.
fn proxy() -> Host {
    let mut host = Host::new(
        Config {
            proxy_count: 12,
            ..Config::example()
        },
        3,
    );
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..4).map(|id| backend(id, 0, 0)).collect(),
    );
    run_traffic(&mut host, 1_000);
    host
}

/// Sends a request every 20 ms for `ms` milliseconds, each served after 10 ms; returns the attempts per backend.
fn run_traffic(host: &mut Host, ms: u64) -> [u32; 4] {
    let mut attempts = [0; 4];
    for _ in 0..ms / 20 {
        host.burst(1, 0, 2_000_000);
        host.advance(10_000);
        for (id, index) in host.attempts_in_flight() {
            attempts[host.requests[&id].attempts[index].backend.0 as usize] += 1;
            host.end_attempt(id, index, Outcome::Ok);
        }
        host.advance(10_000);
    }
    attempts
}

/// Delivers a verdict of proxy `origin` on backend 0.
fn receive_verdict(host: &mut Host, origin: u32, verdict: Verdict, age_ms: u64, turn: u32) {
    let (backend, origin, age) = (BackendId(0), Some(PeerId(origin)), Micros(age_ms * 1_000));
    host.handle(Event::VerdictReceived(PeerVerdict {
        backend,
        origin,
        verdict,
        age,
        max_age: MAX_AGE,
        live_peers: 11,
        health_check_turn: turn,
    }));
}

/// A peer's first ejection of a backend, for one second.
const EJECTED: Verdict = Verdict::Ejected {
    duration: Micros(1_000_000),
    consecutive_ejections: 1,
};

#[test]
fn two_peers_eject_a_backend_one_does_not_and_one_readmits_it() {
    let mut host = proxy();
    receive_verdict(&mut host, 1, EJECTED, 0, 3);
    receive_verdict(&mut host, 1, EJECTED, 0, 3);
    assert!(
        run_traffic(&mut host, 400)[0] > 0,
        "the verdict of one peer, received twice, ejected backend 0"
    );
    receive_verdict(&mut host, 1, EJECTED, 0, 3);
    receive_verdict(&mut host, 2, EJECTED, 0, 3);
    assert_eq!(
        run_traffic(&mut host, 800)[0],
        0,
        "backend 0 was used although two peers ejected it"
    );
    receive_verdict(&mut host, 2, Verdict::Readmitted, 0, 0);
    assert!(
        run_traffic(&mut host, 800)[0] > 0,
        "backend 0 was not used after a peer readmitted it"
    );
}

#[test]
fn verdicts_older_than_the_limit_or_than_an_own_success_are_ignored() {
    let mut host = proxy();
    // Backend 0 served this proxy a moment ago, after these verdicts were made, or they are older than `max_age`.
    receive_verdict(&mut host, 1, EJECTED, 900, 0);
    receive_verdict(&mut host, 2, EJECTED, 900, 0);
    receive_verdict(&mut host, 3, EJECTED, 6_000, 0);
    receive_verdict(&mut host, 4, EJECTED, 7_000, 0);
    assert!(
        run_traffic(&mut host, 800)[0] > 0,
        "older verdicts ejected backend 0 in spite of the proxy's own success"
    );
    assert!(
        host.verdicts.is_empty(),
        "verdicts of peers were published again: {:?}",
        host.verdicts
    );
}

/// The proxy at turn 0 probes first; each later turn waits one first ejection duration more, up to the maximum age.
#[test]
fn proxies_probe_in_turn_and_publish_the_readmission_once() {
    for (turn, from_ms, until_ms) in [(0, 1_000, 2_000), (2, 3_000, 4_000), (11, 6_000, 7_000)] {
        let mut host = proxy();
        receive_verdict(&mut host, 1, EJECTED, 0, turn);
        receive_verdict(&mut host, 2, EJECTED, 0, turn);
        assert_eq!(
            run_traffic(&mut host, from_ms - 100)[0],
            0,
            "turn {turn}: probed backend 0 before its turn"
        );
        let probes = run_traffic(&mut host, until_ms - from_ms + 100)[0];
        assert!(
            probes > 0,
            "turn {turn}: backend 0 not probed by {until_ms} ms"
        );
        assert_eq!(
            host.verdicts,
            [(BackendId(0), Verdict::Readmitted)],
            "turn {turn}: expected one published readmission"
        );
    }
}
