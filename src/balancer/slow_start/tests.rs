use super::*;

const SLOW_START: SlowStart = SlowStart {
    duration: Micros(10_000_000),
    min_readiness: 0.2,
};
const BEGAN_AT: Time = Time(1_000_000);

fn readiness_after(elapsed: Micros) -> f64 {
    SLOW_START.readiness(BEGAN_AT + elapsed, Some(BEGAN_AT))
}

#[test]
fn readiness_grows_linearly_from_its_minimum_to_one() {
    assert_eq!(readiness_after(Micros(0)), 0.2);
    assert!((readiness_after(Micros(5_000_000)) - 0.6).abs() < 1e-12);
    assert_eq!(readiness_after(Micros(10_000_000)), 1.0);
    assert_eq!(readiness_after(Micros(60_000_000)), 1.0);
}

#[test]
fn an_endpoint_that_started_long_ago_is_ready() {
    assert_eq!(SLOW_START.readiness(BEGAN_AT, None), 1.0);
}

#[test]
fn a_slow_start_of_zero_duration_ends_immediately() {
    let at_once = SlowStart {
        duration: Micros(0),
        ..SLOW_START
    };
    assert_eq!(at_once.readiness(BEGAN_AT + Micros(1), Some(BEGAN_AT)), 1.0);
}

/// A budget of 20 requests of mean work per window and endpoint, half of it for this proxy.
const BUDGET: SlowStartBudget = SlowStartBudget {
    overload_multiple: 1.0,
    overload_window: Micros(1_000_000),
    readiness: 0.5,
    proven_capacity_per_s: 50.0,
    uptime_windows: 3.0,
    own_share: 0.5,
    processes: 1,
};

#[test]
fn the_budget_is_this_proxys_share_of_the_endpoints_capacity() {
    assert!((BUDGET.work() - 10.0).abs() < 1e-12);
    let two_processes = SlowStartBudget {
        processes: 2,
        ..BUDGET
    };
    assert!((two_processes.work() - 5.0).abs() < 1e-12);
}

#[test]
fn the_budget_of_a_new_process_grows_over_one_window() {
    let new_process = SlowStartBudget {
        uptime_windows: 0.25,
        ..BUDGET
    };
    assert!((new_process.work() - 2.5).abs() < 1e-12);
}

#[test]
fn the_budget_always_allows_one_request_by_the_whole_fleet() {
    let not_ready = SlowStartBudget {
        readiness: 0.0,
        ..BUDGET
    };
    assert!((not_ready.work() - 0.5).abs() < 1e-12);
}
