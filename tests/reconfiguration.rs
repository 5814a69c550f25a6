//! Tests of configuration changes while requests are open: a request keeps the rules under which it arrived, learned
//! estimates carry over to a class's successor, and invalid configurations are rejected.

mod common;

use common::*;
use meadowproxy::*;

/// An idempotent class 0 and a non-idempotent class 1, with up to three attempts.
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

/// The second class becomes idempotent, as class 2 in place of class 1, and the attempt limit falls from 3 to 2.
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

/// Changes the configuration to [`changed`].
fn change(host: &mut Host) {
    host.cfg = changed();
    host.cfg.max_attempts = 3; // the host checks the highest limit of any open request
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

/// A host whose balancer has learned the latency of both classes.
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
fn a_request_keeps_the_rules_under_which_it_arrived() {
    let mut host = host(3);
    let (idempotent, non_idempotent) = (host.arrive(0, 400_000), host.arrive(1, 400_000));
    change(&mut host);
    let later = host.arrive(2, 400_000);
    host.end_attempt(non_idempotent, 0, Outcome::Reset);
    assert_eq!(
        host.requests[&non_idempotent].answer,
        Some("failed"),
        "a request of the non-idempotent class was retried after the change"
    );
    for (id, max_attempts) in [(idempotent, 3), (later, 2)] {
        for index in 0..max_attempts {
            host.end_attempt(id, index, Outcome::Error);
        }
        assert_eq!(
            (host.backends_attempted(id).len(), host.requests[&id].answer),
            (max_attempts, Some("rejected"))
        );
    }
}

/// A successor class keeps the latency learned of its predecessor, and requests of a retired class still complete.
#[test]
fn successors_keep_estimates_and_retired_classes_complete_their_requests() {
    let mut host = host(4);
    let last = host.arrive(1, 400_000);
    change(&mut host);
    host.serve_all(20_000);
    assert_eq!(host.requests[&last].answer, Some("served"));
    // The class's usual latency is known, so that the request waits until shortly before its deadline before it is
    // rejected.
    let backends: Vec<_> = host.backends.values().cloned().collect();
    host.update_endpoints(EndpointUpdate::Full, Vec::new());
    let waiting_request = host.arrive(2, 400_000);
    host.advance(365_000);
    assert_eq!(
        host.requests[&waiting_request].answer, None,
        "rejected a quarter of its latency objective before the deadline, as without a known latency"
    );
    host.advance(35_000);
    assert_eq!(host.requests[&waiting_request].answer, Some("rejected"));
    host.update_endpoints(EndpointUpdate::Full, backends);
    let ids = host.burst(4, 2, 400_000);
    host.serve_all(20_000);
    assert!(ids
        .iter()
        .all(|id| host.requests[id].answer == Some("served")));
}

/// Retires, replaces and reinstates classes whose responses come late within their objective. After each event a debug
/// assertion of the balancer compares its sums over all classes with the classes themselves.
#[test]
fn sums_over_classes_follow_retired_and_reinstated_classes() {
    let mut host = Host::new(config(), 6);
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..6).map(|n| backend(n, 0, 0)).collect(),
    );
    for _ in 0..10 {
        host.burst(3, 1, 400_000);
        host.serve_all(300_000);
    }
    let config_change = |retired: usize, reinstated: usize, successors| Event::ConfigChanged {
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
    host.handle(config_change(
        1,
        2,
        vec![ClassSuccessor {
            class: ClassId(2),
            predecessor: ClassId(1),
        }],
    ));
    host.handle(config_change(2, 1, Vec::new()));
    host.handle(config_change(1, 2, Vec::new()));
    host.handle(config_change(0, 1, Vec::new()));
    let ids = host.burst(2, 1, 400_000);
    host.serve_all(20_000);
    assert!(ids
        .iter()
        .all(|id| host.requests[id].answer == Some("served")));
}

#[test]
fn configurations_that_omit_a_class_id_are_rejected() {
    let mut host = host(5);
    let without_second_class = Config {
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
    let config = Box::new(without_second_class);
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

/// The balancer accepts only validated configurations, and an invalid one cannot become validated.
#[test]
fn invalid_configurations_do_not_validate() {
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
    let invalid = RequestClass {
        priority_weight: f64::INFINITY,
        ..class(Idempotency::Idempotent)
    };
    assert_eq!(
        config.set_class(ClassId(1), invalid).map_err(|e| e.field),
        Err("worth")
    );
    assert_eq!(
        config
            .set_class(ClassId(4), class(Idempotency::Idempotent))
            .map_err(|e| e.field),
        Err("classes")
    );
    let original = (TenantId(0), Tenant { quota_per_s: 5.0 });
    for (invalid, field) in [((1, 0.0), "quota_per_s"), ((2, 1.0), "tenants")] {
        let invalid = (
            TenantId(invalid.0),
            Tenant {
                quota_per_s: invalid.1,
            },
        );
        assert_eq!(
            config
                .set_tenants([original.clone(), invalid])
                .map_err(|e| e.field),
            Err(field)
        );
    }
    assert_eq!(
        config, before,
        "a rejected change altered the configuration"
    );
}

/// Changing entries one by one and building the configuration at once give equal configurations, to the last bit of the
/// sum of 10,000 fractional quotas. A configuration that shares tables with the changed one stays as it was.
#[test]
fn changing_entries_equals_building_the_configuration_at_once() {
    let quota = |n: u64| Tenant {
        quota_per_s: 1.0 / (n.wrapping_mul(0x9e37_79b9) % 1000 + 1) as f64,
    };
    let validated_config = |tenants: Vec<Tenant>| {
        Config {
            tenants: tenants.into(),
            ..config()
        }
        .validated()
        .unwrap()
    };
    let mut tenants: Vec<Tenant> = (0..10_000).map(quota).collect();
    let sequential_sum = |tenants: &[Tenant]| tenants.iter().map(|t| t.quota_per_s).sum::<f64>();
    let original = validated_config(tenants.clone());
    assert_eq!(
        validated_config(tenants[..4096].to_vec()).quota_sum_per_s(),
        sequential_sum(&tenants[..4096]),
        "up to 4096 quotas are summed in their order"
    );
    assert!((original.quota_sum_per_s() / sequential_sum(&tenants) - 1.0).abs() < 1e-12);
    let mut changed_by_entry = original.clone();
    for n in (0..10_040).step_by(40) {
        let (tenant, at) = (quota(n as u64 + 77), n.min(tenants.len()));
        assert_eq!(
            changed_by_entry.set_tenants([(TenantId(at), tenant.clone())]),
            Ok(())
        );
        match tenants.get_mut(at) {
            Some(old) => *old = tenant,
            None => tenants.push(tenant),
        }
    }
    assert_eq!(
        changed_by_entry.set_class(ClassId(2), class(Idempotency::NonIdempotent)),
        Ok(())
    );
    assert_eq!(
        changed_by_entry.set_class(ClassId(0), class(Idempotency::NonIdempotent)),
        Ok(())
    );
    let classes = vec![class(Idempotency::NonIdempotent); 3].into();
    assert_eq!(
        changed_by_entry,
        Config {
            classes,
            ..(*validated_config(tenants)).clone()
        }
        .validated()
        .unwrap()
    );
    assert_eq!(original, validated_config((0..10_000).map(quota).collect()));
}
