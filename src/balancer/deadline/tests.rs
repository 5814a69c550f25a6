use super::super::requests::Attempt;
use super::*;
use crate::interface::Backend;

const OBJECTIVE_UNTIL: Time = Time(1_000_000);
const DEADLINE: Time = Time(3_000_000);
const EXPECTED_LATENCY: Micros = Micros(100_000);
const RESOLUTION: Micros = Micros(5_000);

fn request(attempts: Vec<Attempt>) -> PendingRequest {
    PendingRequest {
        class: 0,
        arrived_at: Time(0),
        objective_until: OBJECTIVE_UNTIL,
        deadline: DEADLINE,
        value: 1.0,
        response_streaming: false,
        upload_streaming: false,
        max_attempts: 3,
        attempts,
    }
}

fn attempt(in_flight: bool) -> Attempt {
    Attempt {
        in_flight,
        ..Attempt::new(Backend::default(), Time(0))
    }
}

fn given_up_at(request: &PendingRequest, late_weight: f64) -> Time {
    let class = RequestClass {
        late_weight,
        ..RequestClass::example()
    };
    give_up_at(request, &class, EXPECTED_LATENCY, RESOLUTION)
}

#[test]
fn a_request_in_flight_is_given_up_just_before_its_deadline() {
    let in_flight = request(vec![attempt(true)]);
    assert_eq!(given_up_at(&in_flight, 0.0), DEADLINE - RESOLUTION);
}

#[test]
fn a_waiting_request_is_given_up_when_a_response_cannot_meet_the_objective() {
    let waiting = request(Vec::new());
    let expected = OBJECTIVE_UNTIL - EXPECTED_LATENCY;
    assert_eq!(given_up_at(&waiting, 0.0), expected);
    assert_eq!(given_up_at(&waiting, 0.5), expected);
}

#[test]
fn an_attempted_request_waits_until_its_deadline_if_late_responses_earn_weight() {
    let attempted = request(vec![attempt(false)]);
    assert_eq!(given_up_at(&attempted, 0.5), DEADLINE - EXPECTED_LATENCY);
    assert_eq!(
        given_up_at(&attempted, 0.0),
        OBJECTIVE_UNTIL - EXPECTED_LATENCY
    );
}
