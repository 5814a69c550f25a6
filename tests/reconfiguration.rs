//! Settings that change while requests are open.

mod common;

use common::*;
use meadowproxy::*;

fn config() -> Config {
    let classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
    ]
    .into();
    Config {
        proxy_count: 1,
        classes,
        max_attempts: 3,
        ..Config::example()
    }
}

/// The second class becomes free to repeat, under a number of its own; attempts get fewer.
fn changed() -> Config {
    let classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        class(Idempotency::Idempotent),
    ]
    .into();
    Config {
        classes,
        max_attempts: 2,
        ..config()
    }
}

fn change(host: &mut Host) {
    host.cfg = changed();
    host.cfg.max_attempts = 3; // the harness checks the most that any open request may have
    let config = Box::new(changed().validated().unwrap());
    let (retired, successors) = (
        vec![ClassId(1)],
        vec![ClassSuccessor {
            class: ClassId(2),
            predecessor: ClassId(1),
        }],
    );
    host.handle(Event::ConfigChanged {
        config,
        retired,
        reinstated: Vec::new(),
        successors,
    });
}

fn host(seed: u64) -> Host {
    let mut host = Host::new(config(), seed);
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..6).map(|n| backend(n, 0, 0)).collect(),
    );
    for _ in 0..30 {
        host.burst(3, 0, 400_000);
        host.burst(3, 1, 400_000);
        host.serve_all(20_000);
    }
    host
}

#[test]
fn a_request_ends_under_the_rules_that_it_came_with() {
    let mut host = host(3);
    let (free, bound) = (host.arrive(0, 400_000), host.arrive(1, 400_000));
    change(&mut host);
    let again = host.arrive(2, 400_000);
    host.end_attempt(bound, 0, Outcome::Reset);
    assert_eq!(
        host.requests[&bound].answer,
        Some("failed"),
        "unsafe when it came"
    );
    for (id, most) in [(free, 3), (again, 2)] {
        for index in 0..most {
            host.end_attempt(id, index, Outcome::Error);
        }
        assert_eq!(
            (host.backends_attempted(id).len(), host.requests[&id].answer),
            (most, Some("rejected"))
        );
    }
}

/// What was learned of a class goes on under its new number, and a class that was dropped still ends what it has.
#[test]
fn estimates_go_on_and_what_was_dropped_weighs_no_more() {
    let mut host = host(4);
    let last = host.arrive(1, 400_000);
    change(&mut host);
    host.serve_all(20_000);
    assert_eq!(host.requests[&last].answer, Some("served"));
    // Its usual time is known: held past that, it is refused while refusing is still harmless.
    let fleet: Vec<_> = host.backends.values().cloned().collect();
    host.update_endpoints(EndpointUpdate::Full, Vec::new());
    let held = host.arrive(2, 400_000);
    host.advance(365_000);
    assert_eq!(
        host.requests[&held].answer, None,
        "not a quarter of its aim before the end, as if unknown"
    );
    host.advance(35_000);
    assert_eq!(host.requests[&held].answer, Some("rejected"));
    host.update_endpoints(EndpointUpdate::Full, fleet);
    let ids = host.burst(4, 2, 400_000);
    host.serve_all(20_000);
    assert!(ids
        .iter()
        .all(|id| host.requests[id].answer == Some("served")));
}

/// Classes whose answers come late in their aim leave, come anew with what was learned of the old one, and come back:
/// after each event the module holds its sums over all classes against the classes themselves (a debug assertion).
#[test]
fn sums_over_classes_follow_those_that_come_and_go() {
    let mut host = Host::new(config(), 6);
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..6).map(|n| backend(n, 0, 0)).collect(),
    );
    for _ in 0..10 {
        host.burst(3, 1, 400_000);
        host.serve_all(300_000);
    }
    let taken = |retired: usize, reinstated: usize, successors| Event::ConfigChanged {
        config: Box::new(
            Config {
                max_attempts: 3,
                ..changed()
            }
            .validated()
            .unwrap(),
        ),
        retired: vec![ClassId(retired)],
        reinstated: if reinstated < 2 {
            vec![ClassId(reinstated)]
        } else {
            Vec::new()
        },
        successors,
    };
    host.cfg = changed();
    host.handle(taken(
        1,
        2,
        vec![ClassSuccessor {
            class: ClassId(2),
            predecessor: ClassId(1),
        }],
    ));
    host.handle(taken(2, 1, Vec::new()));
    host.handle(taken(1, 2, Vec::new()));
    host.handle(taken(0, 1, Vec::new()));
    let ids = host.burst(2, 1, 400_000);
    host.serve_all(20_000);
    assert!(ids
        .iter()
        .all(|id| host.requests[id].answer == Some("served")));
}

#[test]
fn settings_that_forget_a_number_are_not_taken() {
    let mut host = host(5);
    let short = Config {
        classes: vec![class(Idempotency::Idempotent)].into(),
        ..config()
    }
    .validated()
    .unwrap();
    let (retired, successors) = (
        vec![ClassId(1)],
        vec![ClassSuccessor {
            class: ClassId(9),
            predecessor: ClassId(7),
        }],
    );
    let config = Box::new(short);
    host.handle(Event::ConfigChanged {
        config,
        retired,
        reinstated: vec![ClassId(8)],
        successors,
    });
    let id = host.arrive(1, 400_000);
    host.serve_all(20_000);
    assert_eq!(host.requests[&id].answer, Some("served"));
}

/// Unsound settings never come as far as the module: the type that it takes cannot be made of them.
#[test]
fn unsound_settings_do_not_become_checked_ones() {
    let field = |config: Config| config.validated().err().map(|e| e.field);
    assert_eq!(
        field(Config {
            max_attempts: 0,
            ..changed()
        }),
        Some("max_attempts")
    );
    assert_eq!(
        field(Config {
            classes: Vec::new().into(),
            ..changed()
        }),
        Some("classes")
    );
    let mut config = changed().validated().unwrap();
    let before = config.clone();
    let bad = RequestClass {
        priority_weight: f64::INFINITY,
        ..class(Idempotency::Idempotent)
    };
    assert_eq!(
        config.set_class(ClassId(1), bad).map_err(|e| e.field),
        Err("worth")
    );
    assert_eq!(
        config
            .set_class(ClassId(4), class(Idempotency::Idempotent))
            .map_err(|e| e.field),
        Err("classes")
    );
    let first = (TenantId(0), Tenant { quota_per_s: 5.0 });
    for (bad, field) in [((1, 0.0), "quota_per_s"), ((2, 1.0), "tenants")] {
        let bad = (TenantId(bad.0), Tenant { quota_per_s: bad.1 });
        assert_eq!(
            config
                .set_tenants([first.clone(), bad])
                .map_err(|e| e.field),
            Err(field)
        );
    }
    assert_eq!(config, before, "what was refused left its mark");
}

/// Amended one by one or made as a whole: the same configuration, to the last bit of the quotas' sum, also where they
/// are many and no whole numbers; what shares its tables with it does not change.
#[test]
fn an_amended_configuration_equals_one_made_whole() {
    let quota = |n: u64| Tenant {
        quota_per_s: 1.0 / (n.wrapping_mul(0x9e37_79b9) % 1000 + 1) as f64,
    };
    let whole = |tenants: Vec<Tenant>| {
        Config {
            tenants: tenants.into(),
            ..config()
        }
        .validated()
        .unwrap()
    };
    let mut tenants: Vec<Tenant> = (0..10_000).map(quota).collect();
    let plain = |tenants: &[Tenant]| tenants.iter().map(|t| t.quota_per_s).sum::<f64>();
    let first = whole(tenants.clone());
    assert_eq!(
        whole(tenants[..4096].to_vec()).quota_sum_per_s(),
        plain(&tenants[..4096]),
        "in their order"
    );
    assert!((first.quota_sum_per_s() / plain(&tenants) - 1.0).abs() < 1e-12);
    let mut amended = first.clone();
    for n in (0..10_040).step_by(40) {
        let (tenant, at) = (quota(n as u64 + 77), n.min(tenants.len()));
        assert_eq!(
            amended.set_tenants([(TenantId(at), tenant.clone())]),
            Ok(())
        );
        match tenants.get_mut(at) {
            Some(old) => *old = tenant,
            None => tenants.push(tenant),
        }
    }
    assert_eq!(
        amended.set_class(ClassId(2), class(Idempotency::NonIdempotent)),
        Ok(())
    );
    assert_eq!(
        amended.set_class(ClassId(0), class(Idempotency::NonIdempotent)),
        Ok(())
    );
    let classes = vec![class(Idempotency::NonIdempotent); 3].into();
    assert_eq!(
        amended,
        Config {
            classes,
            ..(*whole(tenants)).clone()
        }
        .validated()
        .unwrap()
    );
    assert_eq!(first, whole((0..10_000).map(quota).collect()));
}
