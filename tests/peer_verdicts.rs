//! Verdicts that proxies share, in the module: whose word counts, whose does not, and whose turn a trial is.

mod common;

use common::*;
use meadowproxy::*;

const BOUND: Micros = Micros(5_000_000);

/// One proxy of twelve with four backends, each of which has answered it.
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
    play(&mut host, 1_000);
    host
}

/// Requests for so long, one every 20 ms, all served after 10 ms; how many each backend got.
fn play(host: &mut Host, ms: u64) -> [u32; 4] {
    let mut got = [0; 4];
    for _ in 0..ms / 20 {
        host.burst(1, 0, 2_000_000);
        host.advance(10_000);
        for (id, index) in host.attempts_in_flight() {
            got[host.requests[&id].attempts[index].backend.0 as usize] += 1;
            host.end_attempt(id, index, Outcome::Ok);
        }
        host.advance(10_000);
    }
    got
}

/// Another proxy's verdict on backend 0.
fn hear(host: &mut Host, origin: u32, verdict: Verdict, age_ms: u64, turn: u32) {
    let (backend, origin, age) = (BackendId(0), Some(PeerId(origin)), Micros(age_ms * 1_000));
    host.handle(Event::VerdictReceived(PeerVerdict {
        backend,
        origin,
        verdict,
        age,
        max_age: BOUND,
        live_peers: 11,
        health_check_turn: turn,
    }));
}

const OUT: Verdict = Verdict::Ejected {
    duration: Micros(1_000_000),
    consecutive_ejections: 1,
};

#[test]
fn two_words_take_a_backend_out_one_does_not_and_back_returns_it() {
    let mut host = proxy();
    hear(&mut host, 1, OUT, 0, 3);
    hear(&mut host, 1, OUT, 0, 3);
    assert!(
        play(&mut host, 400)[0] > 0,
        "one proxy's word, twice, took it out"
    );
    hear(&mut host, 1, OUT, 0, 3);
    hear(&mut host, 2, OUT, 0, 3);
    assert_eq!(play(&mut host, 800)[0], 0, "two words, and it was used");
    hear(&mut host, 2, Verdict::Readmitted, 0, 0);
    assert!(play(&mut host, 800)[0] > 0, "not back on a peer's word");
}

#[test]
fn old_words_and_words_against_own_fresh_evidence_count_for_nothing() {
    let mut host = proxy();
    // It answered this proxy a moment ago: verdicts born before that are no news.
    hear(&mut host, 1, OUT, 900, 0);
    hear(&mut host, 2, OUT, 900, 0);
    hear(&mut host, 3, OUT, 6_000, 0);
    hear(&mut host, 4, OUT, 7_000, 0);
    assert!(
        play(&mut host, 800)[0] > 0,
        "an older verdict won over its own answer"
    );
    assert!(
        host.verdicts.is_empty(),
        "words of others are not told on: {:?}",
        host.verdicts
    );
}

/// The trial goes to the proxy whose turn it is; the others wait a first term each, and no longer than the bound.
#[test]
fn trials_go_round_by_turns_and_their_success_is_told() {
    for (turn, from_ms, until_ms) in [(0, 1_000, 2_000), (2, 3_000, 4_000), (11, 6_000, 7_000)] {
        let mut host = proxy();
        hear(&mut host, 1, OUT, 0, turn);
        hear(&mut host, 2, OUT, 0, turn);
        assert_eq!(
            play(&mut host, from_ms - 100)[0],
            0,
            "turn {turn}: tried before it"
        );
        let tried = play(&mut host, until_ms - from_ms + 100)[0];
        assert!(tried > 0, "turn {turn}: not tried by {until_ms} ms");
        assert_eq!(
            host.verdicts,
            [(BackendId(0), Verdict::Readmitted)],
            "turn {turn}: good trials are told once"
        );
    }
}
