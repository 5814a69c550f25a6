//! One small test for each behaviour and each failure found, through the public interface.

mod common;
use common::{backend, class, Host};
use meadowproxy::*;

fn fleet(count: u32) -> Vec<Backend> {
    (0..count).map(|i| backend(i, 0, 0)).collect()
}

fn config(classes: Vec<RequestClass>) -> Config {
    Config {
        classes: classes.into(),
        ..Config::example()
    }
}

fn host(cfg: Config, list: Vec<Backend>) -> Host {
    let mut host = Host::new(cfg, 11);
    host.update_endpoints(EndpointUpdate::Full, list);
    host
}

/// Requests one by one, each served after a time that may depend on its backend.
fn serve(host: &mut Host, count: usize, class: usize, time: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let id = host.arrive(class, 900_000);
        chosen.extend(host.backends_attempted(id));
        host.advance(
            host.backends_attempted(id)
                .first()
                .map_or(5_000, |b| time(*b)),
        );
        host.end_attempt(id, 0, Outcome::Ok);
    }
    chosen
}

#[test]
fn an_unsound_configuration_is_a_typed_error() {
    let bad = |change: fn(&mut Config)| {
        let mut cfg = Config::example();
        change(&mut cfg);
        Balancer::new(cfg, 1).err().map(|e| e.field)
    };
    assert_eq!(bad(|c| c.proxy_count = 0), Some("proxies"));
    assert_eq!(bad(|c| c.classes.clear()), Some("classes"));
    assert_eq!(
        bad(|c| c.classes[0].latency_objective = Micros(0)),
        Some("aim")
    );
    assert_eq!(
        bad(|c| c.classes[0].priority_weight = f64::NAN),
        Some("worth")
    );
    assert_eq!(bad(|c| c.classes[0].late_weight = 1.5), Some("late_worth"));
    assert_eq!(
        bad(|c| c.tenants.push_back(Tenant { quota_per_s: -1.0 })),
        Some("quota_per_s")
    );
    assert_eq!(bad(|c| c.max_attempts = 0), Some("max_attempts"));
    assert_eq!(bad(|c| c.timer_resolution = Micros(0)), Some("tick"));
    assert_eq!(
        bad(|c| c.slow_start_min_readiness = -0.1),
        Some("cold_from")
    );
    assert_eq!(
        bad(|c| c.overload_multiple = f64::INFINITY),
        Some("fall_multiple")
    );
    assert_eq!(bad(|_| ()), None);
}

#[test]
fn an_empty_fleet_refuses_in_time() {
    let mut host = host(
        config(vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
        ]),
        Vec::new(),
    );
    let ids = [host.arrive(0, 700_000), host.arrive(1, 700_000)];
    host.advance(500_000);
    assert!(ids
        .iter()
        .all(|id| host.requests[id].answer == Some("rejected")));
}

#[test]
fn a_short_request_after_idleness_is_answered_in_time() {
    // Found by the invariants: the timer once ran ten ticks long while nothing was in hand.
    let mut host = host(Config::example(), Vec::new());
    host.advance(1_000_000);
    let id = host.arrive(0, 6_000);
    host.advance(20_000);
    assert_eq!(host.requests[&id].answer, Some("rejected"));
}

#[test]
fn at_light_load_the_faster_kind_takes_nearly_all() {
    let list = (0..6).map(|i| backend(i, 0, i % 2)).collect();
    let mut host = host(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        list,
    );
    let time = |b: u32| if b.is_multiple_of(2) { 20_000 } else { 80_000 };
    serve(&mut host, 150, 0, time);
    let chosen = serve(&mut host, 100, 0, time);
    let fast = chosen.iter().filter(|b| *b % 2 == 0).count();
    assert!(fast >= 95, "{fast} of 100 went to the fast kind");
}

#[test]
fn inside_a_kind_the_draw_is_even() {
    let mut host = host(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        fleet(4),
    );
    let chosen = serve(&mut host, 800, 0, |_| 20_000);
    for b in 0..4 {
        let part = chosen.iter().filter(|c| **c == b).count();
        assert!((150..=250).contains(&part), "backend {b} got {part} of 800");
    }
}

#[test]
fn a_silent_backend_gets_nothing_new() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(6));
    serve(&mut host, 100, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let hung = host.backends_attempted(id)[0];
    host.advance(100_000);
    assert_eq!(
        host.backends_attempted(id).len(),
        1,
        "age alone sent a copy: such copies crowd every backend"
    );
    let chosen = serve(&mut host, 30, 0, |_| 5_000);
    assert!(!chosen.contains(&hung));
}

#[test]
fn once_a_backend_is_ejected_its_other_requests_get_a_copy() {
    for copies in [true, false] {
        let cfg = Config {
            hedging: copies,
            proxy_count: 1,
            ..config(vec![class(Idempotency::Idempotent)])
        };
        let mut host = host(cfg, fleet(1));
        serve(&mut host, 100, 0, |_| 10_000);
        let two = [host.arrive(0, 900_000), host.arrive(0, 900_000)];
        host.update_endpoints(EndpointUpdate::Full, fleet(6));
        host.advance(20_000);
        host.end_attempt(two[0], 0, Outcome::Reset);
        host.advance(20_000);
        assert_eq!(host.backends_attempted(two[1]).len(), 2, "copies {copies}");
        let called_back = host.requests[&two[1]].attempts[0].outcome == Some(Outcome::Cancelled);
        assert_eq!(
            called_back, !copies,
            "where no copy may run beside it the first is called back"
        );
    }
}

#[test]
fn the_rooms_of_few_proxies_on_a_backend_add_up_to_the_hold() {
    // Incident i962b3c: when each rounded by its own coin, some backends were crowded and others idle.
    let mut held = [0; 6];
    for position in 0..3 {
        let mut host = host(
            Config {
                proxy_count: 3,
                proxy_index: position,
                ..Config::example()
            },
            fleet(6),
        );
        host.burst(40, 0, 900_000);
        let tries = host.requests.values().flat_map(|r| &r.attempts);
        tries.for_each(|t| held[t.backend.0 as usize] += 1);
    }
    assert_eq!(held, [4; 6]);
}

#[test]
fn a_thin_tenant_inside_its_quota_is_not_taken_for_a_flood() {
    // Full size: a proxy's part of a quota is below one a second; two at once by chance were beyond it.
    let tenants = vec![Tenant { quota_per_s: 50.0 }].into();
    let mut host = host(
        Config {
            proxy_count: 100,
            tenants,
            ..Config::example()
        },
        fleet(20),
    );
    let mut refused = 0;
    for _ in 0..30 {
        // Two at once each nine seconds, 0.22 a second of 0.5 due, on a fleet that holds about five each.
        let ids: Vec<RequestId> = (0..2)
            .map(|_| host.arrive_for_tenant(0, 8_000_000, Some(TenantId(0))))
            .collect();
        host.advance(7_000_000);
        refused += ids
            .iter()
            .filter(|id| host.requests[id].answer == Some("rejected"))
            .count();
        ids.iter()
            .for_each(|id| host.end_attempt(*id, 0, Outcome::Ok));
        host.advance(2_000_000);
    }
    assert!(refused <= 3, "{refused} of 60 were refused");
}

#[test]
fn an_idle_proxy_sets_hardly_a_timer() {
    // Standing days, ibb5992, ifde279, i0dce2b: a timer every tick at each of a thousand proxies used up the CPU.
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(100));
    serve(&mut host, 20, 0, |_| 10_000);
    host.timers_set = 0;
    host.advance(10_000_000);
    assert!(
        host.timers_set <= 5,
        "{} timers in ten idle seconds",
        host.timers_set
    );
}

#[test]
fn the_slices_of_many_proxies_are_small_and_cover_every_backend_alike() {
    // Full size: with a connection from every proxy to every backend two attempts in three found none free.
    let mut sent = [0; 30];
    for position in 0..300 {
        let mut host = host(
            Config {
                proxy_count: 300,
                proxy_index: position,
                ..Config::example()
            },
            fleet(30),
        );
        let mine = serve(&mut host, 20, 0, |_| 10_000);
        let used: std::collections::BTreeSet<u32> = mine.iter().copied().collect();
        assert!(
            used.len() <= 3,
            "proxy {position} uses {} backends, two and an edge would do",
            used.len()
        );
        mine.iter().for_each(|b| sent[*b as usize] += 1);
    }
    assert!(
        sent.iter().all(|n| (140..=260).contains(n)),
        "200 each expected: {sent:?}"
    );
}

#[test]
fn a_full_backend_is_left_alone_for_a_moment_and_not_ejected() {
    // Full size: busy backends were ejected by the hundred, and the rest took their load and filled up too.
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let full = host.backends_attempted(id)[0];
    host.end_attempt(id, 0, Outcome::Overloaded);
    let retried = host.backends_attempted(id).len();
    host.end_attempt(id, retried - 1, Outcome::Ok);
    assert!(
        !serve(&mut host, 20, 0, |_| 5_000).contains(&full),
        "used at once again"
    );
    assert!(
        host.log_lines.iter().all(|l| !l.contains("ejected")),
        "{:?}",
        host.log_lines
    );
    host.advance(500_000);
    assert!(
        serve(&mut host, 60, 0, |_| 5_000).contains(&full),
        "not used after the pause"
    );
}

#[test]
fn many_proxies_refuse_low_worth_first_and_at_once_when_the_fleet_is_crowded() {
    // Full size: without a room of its own a proxy sent all it had, and the machines tipped into the slow state.
    let mut cfg = Config {
        proxy_count: 100,
        tenants: vec![Tenant { quota_per_s: 1e6 }].into(),
        ..Config::example()
    };
    cfg.tenants.push_back(Tenant { quota_per_s: 1e-3 });
    let mut host = host(cfg, fleet(20));
    let mut answer = |proxied: u64, tenant: usize| {
        // One attempt out for so long of every second: all hundred hold so many on twenty backends.
        for _ in 0..20 {
            let id = host.arrive_for_tenant(0, 990_000, Some(TenantId(0)));
            host.advance(proxied);
            host.end_attempt(id, 0, Outcome::Ok);
            host.advance(1_000_000 - proxied);
        }
        let id = host.arrive_for_tenant(0, 990_000, Some(TenantId(tenant)));
        let answer = host.requests[&id].answer;
        host.end_attempt(id, 0, Outcome::Ok);
        answer
    };
    assert_eq!(
        answer(300_000, 1),
        None,
        "1.5 held on each backend: the quota's first token"
    );
    assert_eq!(answer(300_000, 1), None, "1.5 held on each backend");
    assert_eq!(
        answer(600_000, 1),
        Some("rejected"),
        "3 held on each backend, beyond quota"
    );
    assert_eq!(
        answer(600_000, 0),
        None,
        "3 held on each backend, within quota"
    );
}

/// Found on join+mass: of 4100 attempts a second in a storm 2000 were called back after 80 ms, at the end of what clients
/// that had come again had left of their time.
#[test]
fn who_has_no_time_left_for_an_answer_takes_no_room_in_a_crowd() {
    let mut host = host(
        Config {
            proxy_count: 100,
            ..Config::example()
        },
        fleet(20),
    );
    let second = |host: &mut Host, held: u64| {
        let id = host.arrive(0, 990_000);
        host.serve_all(held);
        host.advance(1_000_000 - held);
        assert_eq!(host.requests[&id].answer, Some("served"));
    };
    let short = |host: &mut Host| {
        let id = host.arrive(0, 150_000);
        let answer = host.requests[&id].answer;
        host.serve_all(100_000);
        answer
    };
    (0..20).for_each(|_| second(&mut host, 250_000));
    assert_eq!(
        short(&mut host),
        None,
        "little is held, so that it harms nobody to try"
    );
    (0..20).for_each(|_| second(&mut host, 600_000));
    assert_eq!(
        short(&mut host),
        Some("rejected"),
        "three held on each backend"
    );
    second(&mut host, 600_000);
}

/// Found on join+mass: in a storm of repeats those took their tenants' quotas, and first tries were refused as beyond them.
#[test]
fn repeats_take_nothing_of_the_quota_that_first_tries_need() {
    let cfg = Config {
        proxy_count: 100,
        tenants: vec![Tenant {
            quota_per_s: 1_000.0,
        }]
        .into(),
        ..Config::example()
    };
    let mut host = host(cfg, fleet(20));
    let tenant = Some(TenantId(0));
    let second = |host: &mut Host, repeats: usize| {
        host.client_retry = true;
        for _ in 0..repeats {
            host.arrive_for_tenant(0, 990_000, tenant);
        }
        host.client_retry = false;
        let id = host.arrive_for_tenant(0, 990_000, tenant);
        host.serve_all(600_000); // held by all hundred: three on each backend
        host.advance(400_000);
        host.requests[&id].answer
    };
    (0..10).for_each(|_| assert_eq!(second(&mut host, 0), Some("served")));
    let answers: Vec<_> = (0..20).map(|_| second(&mut host, 30)).collect();
    assert!(answers.iter().all(|a| *a == Some("served")), "{answers:?}");
}

#[test]
fn a_full_backend_is_drawn_again_and_the_rest_waits() {
    let mut host = host(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        fleet(2),
    );
    host.burst(20, 0, 900_000);
    let out = host.attempts_in_flight();
    assert!(
        (8..=10).contains(&out.len()),
        "{} out on two backends",
        out.len()
    );
    let (id, index) = out[0];
    host.advance(20_000);
    let before = host.attempts_in_flight().len();
    host.end_attempt(id, index, Outcome::Ok);
    assert_eq!(
        host.attempts_in_flight().len(),
        before,
        "the room made is used at once"
    );
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_one_that_never_ran_is_sent_again() {
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::Error);
    assert_eq!(host.requests[&id].answer, Some("failed"));
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::ConnectFailed);
    assert_eq!(host.backends_attempted(id).len(), 2);
}

#[test]
fn a_keyed_repeat_stays_in_its_zone_and_window() {
    let keyed = class(Idempotency::Keyed {
        scope: KeyScope::Zone,
        window: Micros(200_000),
    });
    let mut host = host(
        config(vec![keyed]),
        (0..6).map(|i| backend(i, i % 2, 0)).collect(),
    );
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    host.end_attempt(id, 0, Outcome::Error);
    let sent = host.backends_attempted(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "{sent:?}");
    let id = host.arrive(0, 900_000);
    host.advance(210_000);
    host.end_attempt(id, 0, Outcome::Error);
    assert_eq!(
        host.backends_attempted(id).len(),
        1,
        "repeated after its window"
    );
    assert_eq!(host.requests[&id].answer, Some("failed"));
}

/// Serves on all but the erring backend until that is ejected; gives its number.
fn eject_one(host: &mut Host) -> u32 {
    serve(host, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let bad = host.backends_attempted(id)[0] == 3;
        host.advance(5_000);
        host.end_attempt(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
        let again = host.requests[&id].attempts.len();
        host.end_attempt(id, again - 1, Outcome::Ok);
        if host.log_lines.iter().any(|l| l.contains("ejected")) {
            return 3;
        }
    }
    panic!("never ejected");
}

#[test]
fn an_erring_backend_is_ejected_and_tried_by_free_requests_only() {
    let mut host = host(
        config(vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
        ]),
        fleet(6),
    );
    let bad = eject_one(&mut host);
    assert!(
        !serve(&mut host, 40, 0, |_| 5_000).contains(&bad),
        "used during its term"
    );
    host.advance(2_000_000);
    assert!(
        !serve(&mut host, 40, 1, |_| 5_000).contains(&bad),
        "an unsafe request tried it"
    );
    assert!(
        serve(&mut host, 40, 0, |_| 5_000).contains(&bad),
        "no free request tried it"
    );
    assert!(host.log_lines.iter().any(|l| l.contains("readmitted")));
}

#[test]
fn when_most_backends_err_they_are_used_after_all() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(4));
    serve(&mut host, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let bad = host.backends_attempted(id).first().is_some_and(|b| *b != 0);
        host.advance(5_000);
        host.end_attempt(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
        let index = host.requests[&id].attempts.len().saturating_sub(1);
        host.end_attempt(id, index, Outcome::Ok);
    }
    let chosen = serve(&mut host, 80, 0, |_| 5_000);
    assert!(
        chosen.iter().any(|b| *b != 0),
        "all load went to the one backend left"
    );
}

#[test]
fn a_cold_backend_gets_less_than_its_budget() {
    let cfg = Config {
        proxy_count: 1,
        slow_start_min_readiness: 0.1,
        overload_multiple: 2.0,
        ..Config::example()
    };
    let mut host = host(cfg, fleet(3));
    serve(&mut host, 200, 0, |_| 20_000);
    let cold = Backend {
        started_at: Some(host.now),
        ..backend(9, 0, 0)
    };
    host.update_endpoints(EndpointUpdate::Incremental, vec![cold]);
    let chosen = serve(&mut host, 100, 0, |_| 20_000); // two seconds, one fall window
    let sent = chosen.iter().filter(|b| **b == 9).count();
    // One warm backend serves about 50 + 17 a second: at a tenth, two fold over two seconds, 27 at most.
    assert!(
        (1..=14).contains(&sent),
        "{sent} of 100 went to the cold backend"
    );
}

#[test]
fn a_burst_cannot_push_a_cold_backend_over() {
    let cfg = Config {
        proxy_count: 3,
        slow_start_min_readiness: 0.1,
        overload_multiple: 2.0,
        ..Config::example()
    };
    let mut host = host(cfg, fleet(12));
    serve(&mut host, 100, 0, |_| 20_000);
    let booted = Some(host.now);
    let list = (0..12)
        .map(|i| Backend {
            started_at: booted,
            ..backend(i, 0, 0)
        })
        .collect();
    host.update_endpoints(EndpointUpdate::Full, list);
    let mut sent = 0;
    for _ in 0..25 {
        host.burst(4, 0, 900_000);
        host.advance(20_000);
        let out = host.attempts_in_flight();
        sent += out.len();
        out.into_iter()
            .for_each(|(id, index)| host.end_attempt(id, index, Outcome::Ok));
    }
    // Served in 20 ms: 100 a second at most; at a tenth, doubled, two seconds, a third, by 0.8: 11 each.
    let tries = || {
        host.requests
            .values()
            .flat_map(|r| &r.attempts)
            .filter(|t| Some(t.sent_at) >= booted)
    };
    let most = (0..12)
        .map(|b| tries().filter(|t| t.backend == BackendId(b)).count())
        .max();
    assert!(
        sent >= 1 && most <= Some(11),
        "{sent} sent, {most:?} to one cold backend"
    );
}

#[test]
fn a_clients_repeat_waits_behind_first_tries() {
    // Incident ic9a8f4: repeats counted as new and, newest first, made everyone late.
    let mut host = host(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        fleet(1),
    );
    let fill = host.burst(8, 0, 900_000);
    host.advance(5_000);
    let first = host.arrive(0, 900_000);
    host.client_retry = true;
    let repeat = host.arrive(0, 900_000);
    host.advance(15_000);
    fill.iter()
        .for_each(|id| host.end_attempt(*id, 0, Outcome::Ok));
    let at = |id: &RequestId| host.requests[id].attempts.first().map(|t| t.sent_at);
    assert!(at(&first).is_some());
    assert!(
        at(&repeat).is_none_or(|t| t >= at(&first).unwrap()),
        "the repeat went first"
    );
}

#[test]
fn traffic_beyond_a_quota_leaves_room_for_the_others() {
    let tenants = vec![
        Tenant { quota_per_s: 1.0 },
        Tenant {
            quota_per_s: 1_000.0,
        },
    ]
    .into();
    let mut host = host(
        Config {
            proxy_count: 1,
            tenants,
            ..Config::example()
        },
        fleet(2),
    );
    let flood: Vec<RequestId> = (0..30)
        .map(|_| host.arrive_for_tenant(0, 900_000, Some(TenantId(0))))
        .collect();
    let flooded = flood
        .iter()
        .filter(|id| !host.backends_attempted(**id).is_empty())
        .count();
    let other = host.arrive_for_tenant(0, 900_000, Some(TenantId(1)));
    assert!(flooded <= 6, "{flooded} of the flood went out");
    assert_eq!(
        host.backends_attempted(other).len(),
        1,
        "the other tenant waits behind the flood"
    );
}

#[test]
fn in_overload_the_densest_worth_is_served() {
    let rich = RequestClass {
        priority_weight: 8.0,
        ..class(Idempotency::Idempotent)
    };
    let mut host = host(
        Config {
            proxy_count: 1,
            ..config(vec![class(Idempotency::Idempotent), rich])
        },
        fleet(1),
    );
    let ids: Vec<RequestId> = (0..60).map(|n| host.arrive(n % 2, 900_000)).collect();
    for _ in 0..6 {
        host.serve_all(60_000);
    }
    host.advance(900_000);
    let served = |c: usize| {
        ids.iter()
            .skip(c)
            .step_by(2)
            .filter(|i| host.requests[i].answer == Some("served"))
    };
    let (poor, rich) = (served(0).count(), served(1).count());
    assert!(
        rich > poor,
        "{rich} rich and {poor} poor requests were served"
    );
}

fn zones(cost: f64) -> usize {
    let cfg = Config {
        cross_zone_cost: cost,
        ..Config::example()
    };
    let mut host = host(cfg, (0..9).map(|i| backend(i, i % 3, 0)).collect());
    serve(&mut host, 300, 0, |_| 10_000)
        .iter()
        .filter(|b| *b % 3 == 0)
        .count()
}

#[test]
fn where_crossing_zones_costs_traffic_stays_near() {
    assert!(zones(0.05) >= 270, "{} of 300 stayed", zones(0.05));
    assert!(
        (70..=130).contains(&zones(0.0)),
        "{} of 300 stayed without a cost",
        zones(0.0)
    );
}

/// Two proxies cannot stand in three zones: the backends of the one that has none get their part all the same.
#[test]
fn a_zone_without_a_proxy_is_used_like_the_others() {
    let mut sent = [0; 3];
    for position in 0..2 {
        let zone = ZoneId(position);
        let cfg = Config {
            cross_zone_cost: 0.05,
            proxy_count: 2,
            proxy_index: position,
            zone,
            ..Config::example()
        };
        let mut host = host(cfg, (0..6).map(|i| backend(i, i % 3, 0)).collect());
        serve(&mut host, 300, 0, |_| 10_000)
            .iter()
            .for_each(|b| sent[*b as usize % 3] += 1);
    }
    assert!(
        sent.iter().all(|n| (150..=250).contains(n)),
        "{sent:?} of 600"
    );
}

#[test]
fn a_zone_short_of_backends_sends_its_surplus_out() {
    // Own zone holds one of seven backends; three zones' proxies bring a third each: 3/7 may stay.
    let cfg = Config {
        cross_zone_cost: 0.05,
        ..Config::example()
    };
    let list = (0..7)
        .map(|i| backend(i, if i == 0 { 0 } else { 1 + i % 2 }, 0))
        .collect();
    let mut host = host(cfg, list);
    let near = serve(&mut host, 400, 0, |_| 10_000)
        .iter()
        .filter(|b| **b == 0)
        .count();
    assert!(
        (120..=220).contains(&near),
        "{near} of 400 stayed on the one near backend"
    );
}

#[test]
fn discovery_is_followed_at_once_and_again_after_a_loss() {
    let cfg = Config {
        discovery: Discovery::Poll {
            staleness_limit: Micros(10_000_000),
        },
        ..Config::example()
    };
    let mut host = Host::new(cfg, 3);
    host.update_endpoints(EndpointUpdate::Cached, fleet(2));
    assert_eq!(host.discovery_polls, 1);
    host.update_endpoints(EndpointUpdate::Incremental, fleet(3));
    host.advance(8_000_000);
    assert_eq!(
        host.discovery_polls, 1,
        "a living subscription is not asked for again"
    );
    host.handle(Event::EndpointsUpdated {
        update: EndpointUpdate::Failed,
        backends: Vec::new(),
    });
    host.advance(400_000);
    assert_eq!(host.discovery_polls, 2);
    host.advance(6_000_000);
    assert_eq!(host.discovery_polls, 3, "an unanswered call is repeated");
}

#[test]
fn a_stream_once_begun_is_left_alone() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(2));
    let id = host.arrive(0, 300_000);
    host.start_response(id, 0);
    host.advance(2_000_000);
    assert_eq!(host.requests[&id].answer, None);
    assert_eq!(host.backends_attempted(id).len(), 1);
}

#[test]
fn events_of_unknown_things_change_nothing() {
    let run = |noise: bool| {
        let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(3));
        if noise {
            host.report_unknown_ids(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
        }
        serve(&mut host, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}

/// What one proxy has out on a backend in the last second of an overload, on average: three backends of so
/// many cores serve in order of arrival, each request 100 ms of a core.
fn held_on_each(cores: usize) -> f64 {
    let mut host = host(
        Config {
            proxy_count: 1,
            ..config(vec![class(Idempotency::Idempotent)])
        },
        fleet(3),
    );
    let mut left = std::collections::BTreeMap::new();
    let (mut due, mut held) = (0.0, 0);
    for step in 0..1_000 {
        due += 1.5 * 3.0 * cores as f64 * 0.005 / 0.1;
        for _ in 0..due as usize {
            host.arrive(0, 900_000);
        }
        due -= due.floor();
        host.advance(5_000);
        let out = host.attempts_in_flight();
        held += if step >= 800 { out.len() } else { 0 };
        for b in 0..3 {
            let on = |k: &&(RequestId, usize)| host.requests[&k.0].attempts[k.1].backend.0 == b;
            let mut line: Vec<_> = out.iter().filter(on).collect();
            line.sort_by_key(|k| host.requests[&k.0].attempts[k.1].sent_at);
            for &&(id, index) in line.iter().take(cores) {
                let rest = left.entry((id, index)).or_insert(20u32);
                *rest -= 1;
                if *rest == 0 {
                    host.end_attempt(id, index, Outcome::Ok);
                }
            }
        }
    }
    held as f64 / 600.0
}

#[test]
fn all_cores_of_a_backend_are_put_to_use() {
    // Found in service: a hold of four, right for one core, left half of every seven-core backend idle.
    for cores in [7, 16] {
        let held = held_on_each(cores);
        let (least, most) = (cores as f64 * 0.9, cores as f64 * 2.0);
        assert!(
            (least..=most).contains(&held),
            "{held} held on each backend of {cores} cores"
        );
    }
    let held = held_on_each(1);
    assert!(held <= 6.0, "{held} held on each backend of one core");
}

/// Of 20 rounds in which far more of a dense and of a thin class come than find room: how many were served.
fn served_of_each(goal_whole: f64, goal_worst_class: f64) -> [usize; 2] {
    let dense = RequestClass {
        priority_weight: 2.0,
        ..class(Idempotency::Idempotent)
    };
    let classes = vec![dense, class(Idempotency::Idempotent)];
    let cfg = Config {
        proxy_count: 1,
        overall_objective_weight: goal_whole,
        worst_class_objective_weight: goal_worst_class,
        ..config(classes)
    };
    let mut host = host(cfg, fleet(1));
    let mut ids = Vec::new();
    for _ in 0..20 {
        ids.extend((0..100).map(|n| (n % 2, host.arrive(n % 2, 900_000))));
        host.serve_all(90_000);
        host.serve_all(90_000);
        host.advance(400_000); // the rest is given up
    }
    let served = |c| {
        ids.iter()
            .filter(|i| i.0 == c && host.requests[&i.1].answer == Some("served"))
            .count()
    };
    [served(0), served(1)]
}

#[test]
fn the_class_served_worst_counts_as_much_as_the_goal_says() {
    // Found in service: lookups got half of what submits got, though the worst class is 30% of the goal.
    let [dense, thin] = served_of_each(1.0, 0.0);
    assert!(
        dense > thin * 3 / 2,
        "{dense} dense and {thin} thin: only the whole counts"
    );
    let [dense, thin] = served_of_each(0.5, 0.5);
    assert!(
        thin * 5 >= dense * 4,
        "{dense} dense and {thin} thin: the worst class counts as well"
    );
}

#[test]
fn one_broken_answer_among_good_ones_ejects_nobody() {
    // Found in service (day 3): each broken connection took a healthy backend out of use for a second.
    let mut host = host(
        Config {
            proxy_count: 1,
            ..config(vec![class(Idempotency::Idempotent)])
        },
        fleet(1),
    );
    serve(&mut host, 40, 0, |_| 10_000);
    let ids = host.burst(3, 0, 900_000);
    host.advance(5_000);
    host.end_attempt(ids[0], 0, Outcome::Ok);
    host.advance(5_000);
    host.end_attempt(ids[1], 0, Outcome::Reset);
    let next = host.arrive(0, 900_000);
    assert_eq!(
        host.backends_attempted(next).len(),
        1,
        "the backend is still in use"
    );
    host.end_attempt(ids[2], 0, Outcome::Reset);
    host.end_attempt(next, 0, Outcome::Reset);
    for _ in 0..4 {
        let id = host.arrive(0, 900_000);
        host.end_attempt(id, 0, Outcome::Reset);
    }
    let last = host.arrive(0, 900_000);
    assert!(
        host.backends_attempted(last).is_empty(),
        "breaks in a row do eject it"
    );
}

#[test]
fn where_every_backend_breaks_now_and_then_none_is_ejected_for_it() {
    // Found in service (day 3): one attempt in twelve was reset, or could not connect, wherever it went.
    let mut host = host(
        Config {
            proxy_count: 1,
            ..config(vec![class(Idempotency::Idempotent)])
        },
        fleet(2),
    );
    let mut line = Vec::new();
    for number in 0..1_500u32 {
        line.push(host.arrive(0, 900_000));
        host.advance(5_000);
        if line.len() > 5 {
            let id = line.remove(0);
            let breaks = (number.wrapping_mul(2_654_435_761) >> 16) < 0x1_0000 / 12;
            let how = if number % 3 == 0 {
                Outcome::ConnectFailed
            } else {
                Outcome::Reset
            };
            host.end_attempt(id, 0, if breaks { how } else { Outcome::Ok });
            host.end_attempt(id, 1, Outcome::Ok);
        }
    }
    let ejected = host
        .log_lines
        .iter()
        .filter(|l| l.contains("ejected"))
        .count();
    assert_eq!(ejected, 0, "{:?}", host.log_lines);
}

/// A body that goes out as it comes has no deadline until it is whole, and no second backend.
#[test]
fn an_upload_is_bound_to_one_backend_and_timed_from_its_end() {
    let mut host = Host::new(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        8,
    );
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..3).map(|n| backend(n, 0, 0)).collect(),
    );
    for _ in 0..30 {
        host.burst(3, 0, 500_000);
        host.serve_all(20_000);
    }
    for outcome in [Outcome::Ok, Outcome::ConnectFailed, Outcome::Reset] {
        let id = host.arrive(0, 500_000);
        host.handle(Event::UploadStarted {
            request: id,
            attempt: AttemptNumber(0),
        });
        // The harness, which knows no uploads, looks on its own clock only.
        host.requests.get_mut(&id).unwrap().deadline = host.now + Micros(60_000_000);
        host.advance(5_000_000);
        assert_eq!(host.requests[&id].answer, None);
        let time_left = Micros(500_000);
        host.handle(Event::UploadFinished {
            request: id,
            attempt: AttemptNumber(0),
            time_left,
        });
        host.requests.get_mut(&id).unwrap().deadline = host.now + time_left;
        host.advance(100_000);
        host.end_attempt(id, 0, outcome);
        assert_eq!(host.backends_attempted(id).len(), 1, "{outcome:?}");
        assert!(host.requests[&id].answer.is_some(), "{outcome:?}");
    }
}

/// With the first bytes of a long answer its backend has room for another request.
#[test]
fn an_answer_that_streams_takes_no_room_at_its_backend() {
    let mut host = Host::new(
        Config {
            proxy_count: 1,
            ..Config::example()
        },
        9,
    );
    host.update_endpoints(EndpointUpdate::Full, vec![backend(0, 0, 0)]);
    let ids = host.burst(20, 0, 500_000);
    let held = |host: &Host, ids: &[RequestId]| {
        ids.iter()
            .filter(|id| host.backends_attempted(**id).is_empty())
            .count()
    };
    let waiting = held(&host, &ids);
    assert!(waiting > 0);
    host.advance(20_000);
    let out = host.attempts_in_flight();
    out.iter()
        .for_each(|(id, index)| host.start_response(*id, *index));
    assert!(held(&host, &ids) < waiting);
}

/// Where a copy was out beside the attempt whose answer streams, its end does not end the answer.
#[test]
fn a_copys_end_leaves_the_streaming_answer_alone() {
    let cfg = Config {
        proxy_count: 1,
        ..config(vec![class(Idempotency::Idempotent)])
    };
    let mut host = host(cfg, fleet(1));
    serve(&mut host, 100, 0, |_| 10_000);
    let two = [host.arrive(0, 900_000), host.arrive(0, 900_000)];
    host.update_endpoints(EndpointUpdate::Full, fleet(6));
    host.advance(20_000);
    host.end_attempt(two[0], 0, Outcome::Reset); // the backend is ejected, and the other one there gets a copy
    host.advance(20_000);
    let copied = two[1];
    assert_eq!(host.backends_attempted(copied).len(), 2);
    host.start_response(copied, 0);
    let (attempt, outcome, latency) = (AttemptNumber(1), Outcome::Cancelled, Micros(5_000));
    host.handle(Event::AttemptEnded(AttemptEnd {
        request: copied,
        attempt,
        outcome,
        latency,
        answered: true,
    }));
    assert!(!host.cancellations.contains(&(copied, 0)));
    host.handle(Event::ClientDisconnected { request: copied });
    assert!(
        host.cancellations.contains(&(copied, 0)),
        "it ends with its client"
    );
}
