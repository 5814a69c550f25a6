//! Backends that operators take out by hand, and give back.

mod common;

use common::*;
use meadowproxy::*;

fn fleet() -> Vec<Backend> {
    (0..4).map(|n| backend(n, 0, 0)).collect()
}

fn host(seed: u64) -> Host {
    let mut host = Host::new(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        seed,
    );
    host.update_endpoints(EndpointUpdate::Full, fleet());
    host
}

/// How many of a stretch's attempts went to the first backend.
fn sent_to_first(host: &mut Host, rounds: usize) -> usize {
    let mut sent = 0;
    for _ in 0..rounds {
        let ids = host.burst(4, 0, 500_000);
        host.serve_all(20_000);
        sent += ids
            .iter()
            .flat_map(|id| host.backends_attempted(*id))
            .filter(|b| *b == 0)
            .count();
    }
    sent
}

/// Whatever the list says of it meanwhile, and though nothing else may be left.
#[test]
fn nothing_undoes_a_ban_but_the_call_back() {
    let mut host = host(5);
    assert!(sent_to_first(&mut host, 20) > 0);
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    assert_eq!(sent_to_first(&mut host, 20), 0);
    host.update_endpoints(EndpointUpdate::Full, fleet());
    assert_eq!(sent_to_first(&mut host, 20), 0, "a whole list");
    let booted = Some(host.now);
    host.update_endpoints(
        EndpointUpdate::Incremental,
        vec![Backend {
            started_at: booted,
            ..backend(0, 0, 0)
        }],
    );
    assert_eq!(sent_to_first(&mut host, 20), 0, "a new start");
    host.update_endpoints(EndpointUpdate::Full, fleet().split_off(1));
    host.update_endpoints(EndpointUpdate::Full, fleet());
    assert_eq!(sent_to_first(&mut host, 20), 0, "gone and listed again");
    host.update_endpoints(EndpointUpdate::Full, fleet().drain(..1).collect());
    let id = host.arrive(0, 500_000);
    host.advance(600_000);
    assert!(host.backends_attempted(id).is_empty(), "the only one left");
    host.update_endpoints(EndpointUpdate::Full, fleet());
    host.handle(Event::BackendEnabled {
        backend: BackendId(0),
        since: host.now,
    });
    host.advance(1_000_000);
    assert!(sent_to_first(&mut host, 50) > 0, "one call ends it");
}

/// What waits when the ban comes goes elsewhere; what was out there runs on.
#[test]
fn a_request_that_waits_goes_elsewhere() {
    let mut host = host(6);
    host.update_endpoints(EndpointUpdate::Full, fleet().drain(..1).collect());
    let ids = host.burst(40, 0, 500_000);
    let waiting: Vec<_> = ids
        .iter()
        .filter(|id| host.backends_attempted(**id).is_empty())
        .copied()
        .collect();
    assert!(!waiting.is_empty() && waiting.len() < ids.len());
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    host.serve_all(20_000);
    assert!(waiting
        .iter()
        .all(|id| host.backends_attempted(*id).is_empty()));
    host.update_endpoints(EndpointUpdate::Incremental, fleet().split_off(1));
    host.serve_all(20_000);
    assert!(waiting
        .iter()
        .any(|id| !host.backends_attempted(*id).is_empty()));
    assert!(waiting
        .iter()
        .all(|id| !host.backends_attempted(*id).contains(&0)));
}

/// It may have restarted while it was out, and the list may not tell yet: it is not filled at once. An
/// ejection from before is forgotten.
#[test]
fn one_that_comes_back_starts_slowly_and_with_a_clean_record() {
    let mut host = host(7);
    let usual = sent_to_first(&mut host, 100);
    for _ in 0..20 {
        let ids = host.burst(4, 0, 500_000);
        host.advance(20_000);
        for (id, index) in host.attempts_in_flight() {
            let first = host.requests[&id].attempts[index].backend == BackendId(0);
            host.end_attempt(
                id,
                index,
                if first {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
        }
        drop(ids);
    }
    assert!(sent_to_first(&mut host, 3) <= 1, "ejected");
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    host.advance(500_000);
    host.handle(Event::BackendEnabled {
        backend: BackendId(0),
        since: host.now,
    });
    let cold = sent_to_first(&mut host, 100);
    assert!(cold > 0 && cold < usual * 2 / 3, "{cold} of {usual}");
    host.advance(20_000_000);
    let warm = sent_to_first(&mut host, 100);
    assert!(warm > usual * 2 / 3, "{warm} of {usual}");
}
