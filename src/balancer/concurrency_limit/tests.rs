use super::*;

const FULL: Utilization = Utilization {
    in_flight: 10.0,
    capacity: 10.0,
};
const IDLE: Utilization = Utilization {
    in_flight: 1.0,
    capacity: 10.0,
};
const LATENCY_S: f64 = 0.02;

/// Updates the limit ten times a second for one minute.
fn adapt(limit: &mut ConcurrencyLimit, latency_s: f64, utilization: Utilization) {
    for _ in 0..600 {
        limit.update(0.1, Some(latency_s), utilization);
    }
}

#[test]
fn without_latency_samples_the_limit_is_the_minimum() {
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.get(), 0.0);
    limit.update(0.1, None, FULL);
    assert_eq!(limit.get(), MIN_CONCURRENCY_LIMIT);
}

#[test]
fn the_limit_grows_while_full_endpoints_respond_as_fast_as_idle_ones() {
    let mut limit = ConcurrencyLimit::default();
    adapt(&mut limit, LATENCY_S, FULL);
    assert!(limit.get() > 2.0 * MIN_CONCURRENCY_LIMIT);
}

#[test]
fn the_limit_is_unchanged_while_endpoints_are_not_full() {
    let mut limit = ConcurrencyLimit::default();
    adapt(&mut limit, LATENCY_S, IDLE);
    assert_eq!(limit.get(), MIN_CONCURRENCY_LIMIT);
}

#[test]
fn contention_lowers_the_limit_to_no_less_than_the_minimum() {
    let mut limit = ConcurrencyLimit::default();
    limit.restore(8.0, LATENCY_S);
    limit.update(0.1, Some(2.0 * LATENCY_S), FULL);
    assert!(limit.get() < 8.0);
    adapt(&mut limit, 10.0 * LATENCY_S, FULL);
    assert!(limit.get() >= MIN_CONCURRENCY_LIMIT);
}

#[test]
fn the_uncontended_latency_follows_the_lowest_sample_and_grows_slowly() {
    let mut limit = ConcurrencyLimit::default();
    limit.update(1.0, Some(LATENCY_S), IDLE);
    limit.update(1.0, Some(LATENCY_S / 2.0), IDLE);
    assert_eq!(limit.uncontended_latency_s(), LATENCY_S / 2.0);
    limit.update(1.0, Some(LATENCY_S), IDLE);
    let growth = limit.uncontended_latency_s() / (LATENCY_S / 2.0);
    assert!(growth > 1.0 && growth < 1.01);
}

#[test]
fn invalid_learned_values_are_not_restored() {
    for (number, latency_s) in [
        (f64::NAN, LATENCY_S),
        (8.0, 0.0),
        (f64::INFINITY, LATENCY_S),
    ] {
        let mut limit = ConcurrencyLimit::default();
        limit.restore(number, latency_s);
        assert_eq!(limit.get(), 0.0);
        assert_eq!(limit.uncontended_latency_s(), 0.0);
    }
}
