use super::*;

const LOW: f64 = LOW_PRIORITY_VALUE / 2.0;
const FULL: f64 = 1.0;

/// A load of `per_endpoint` requests in flight on each of ten ready endpoints.
fn load(per_endpoint: f64) -> FleetLoad {
    FleetLoad {
        in_flight: Some(per_endpoint * 10.0),
        ready_endpoints: 10.0,
        any_class_slow: false,
    }
}

#[test]
fn low_priority_is_shed_first() {
    assert!(!load(6.0).sheds_value(LOW));
    assert!(load(6.1).sheds_value(LOW));
    assert!(!load(6.1).sheds_value(FULL));
    assert!(load(8.1).sheds_value(FULL));
}

#[test]
fn low_priority_is_shed_earlier_while_a_class_is_slow() {
    let slow = FleetLoad {
        any_class_slow: true,
        ..load(2.1)
    };
    assert!(slow.sheds_value(LOW));
    assert!(!slow.sheds_value(FULL));
}

#[test]
fn nothing_is_shed_without_an_estimate() {
    let unknown = FleetLoad {
        in_flight: None,
        ..load(0.0)
    };
    assert!(!unknown.sheds_value(LOW));
}

#[test]
fn a_request_that_is_unlikely_to_be_answered_in_time_is_shed_under_load() {
    let now = Time(1_000_000);
    let request = PendingRequest {
        class: 0,
        arrived_at: now,
        objective_until: now,
        deadline: now + Micros(50_000),
        value: FULL,
        response_streaming: false,
        upload_streaming: false,
        max_attempts: 1,
        attempts: Vec::new(),
    };
    assert!(load(2.1).sheds_infeasible(now, &request, Micros(50_001)));
    assert!(!load(2.1).sheds_infeasible(now, &request, Micros(50_000)));
    assert!(!load(2.0).sheds_infeasible(now, &request, Micros(50_001)));
}
