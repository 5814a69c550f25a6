//! Tests of backends that an operator disables and enables again: no attempt goes to a disabled backend, whatever
//! discovery reports, and an enabled one starts slowly without its old ejection.

mod common;

use common::*;
use meadowproxy::*;

/// Four backends of one zone and hardware class.
fn fleet() -> Vec<Backend> {
    (0..4).map(|n| backend(n, 0, 0)).collect()
}

/// The only proxy of the four backends.
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

/// How many attempts go to backend 0 in `rounds` rounds of four requests.
fn attempts_to_first(host: &mut Host, rounds: usize) -> usize {
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

/// Neither updates of the endpoint list nor a restart of the backend enable it, even if it is the only one left.
#[test]
fn a_disabled_backend_gets_no_attempt_until_it_is_enabled() {
    let mut host = host(5);
    assert!(attempts_to_first(&mut host, 20) > 0);
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    assert_eq!(attempts_to_first(&mut host, 20), 0);
    host.update_endpoints(EndpointUpdate::Full, fleet());
    assert_eq!(
        attempts_to_first(&mut host, 20),
        0,
        "attempts went to the disabled backend after a full update"
    );
    let restarted_at = Some(host.now);
    host.update_endpoints(
        EndpointUpdate::Incremental,
        vec![Backend {
            started_at: restarted_at,
            ..backend(0, 0, 0)
        }],
    );
    assert_eq!(
        attempts_to_first(&mut host, 20),
        0,
        "attempts went to the disabled backend after its restart"
    );
    host.update_endpoints(EndpointUpdate::Full, fleet().split_off(1));
    host.update_endpoints(EndpointUpdate::Full, fleet());
    assert_eq!(
        attempts_to_first(&mut host, 20),
        0,
        "attempts went to the disabled backend after it was removed and listed again"
    );
    host.update_endpoints(EndpointUpdate::Full, fleet().drain(..1).collect());
    let id = host.arrive(0, 500_000);
    host.advance(600_000);
    assert!(
        host.backends_attempted(id).is_empty(),
        "an attempt went to the disabled backend, the only one left"
    );
    host.update_endpoints(EndpointUpdate::Full, fleet());
    host.handle(Event::BackendEnabled {
        backend: BackendId(0),
        since: host.now,
    });
    host.advance(1_000_000);
    assert!(
        attempts_to_first(&mut host, 50) > 0,
        "no attempt went to the backend after it was enabled"
    );
}

/// Requests that wait when the backend is disabled go to another one; attempts in flight on it continue.
#[test]
fn waiting_requests_go_to_other_backends() {
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

/// The backend may have restarted while it was disabled without discovery reporting it yet, so it goes through slow
/// start. An earlier ejection no longer counts.
#[test]
fn an_enabled_backend_starts_slowly_and_without_its_ejection() {
    let mut host = host(7);
    let normal = attempts_to_first(&mut host, 100);
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
    assert!(
        attempts_to_first(&mut host, 3) <= 1,
        "backend 0 was not ejected"
    );
    host.handle(Event::BackendDisabled {
        backend: BackendId(0),
    });
    host.advance(500_000);
    host.handle(Event::BackendEnabled {
        backend: BackendId(0),
        since: host.now,
    });
    let cold = attempts_to_first(&mut host, 100);
    assert!(
        cold > 0 && cold < normal * 2 / 3,
        "{cold} attempts just after enabling, {normal} before"
    );
    host.advance(20_000_000);
    let warm = attempts_to_first(&mut host, 100);
    assert!(
        warm > normal * 2 / 3,
        "{warm} attempts after slow start, {normal} before"
    );
}
