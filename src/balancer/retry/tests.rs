use super::*;
use crate::interface::{Backend, KeyScope};

const DISPATCHED_AT: Time = Time(1_000_000);
const RESOLUTION: Micros = Micros(5_000);

fn request(attempts: Vec<Attempt>) -> PendingRequest {
    PendingRequest {
        class: 0,
        arrived_at: DISPATCHED_AT,
        objective_until: DISPATCHED_AT,
        deadline: DISPATCHED_AT,
        value: 1.0,
        response_streaming: false,
        upload_streaming: false,
        max_attempts: 2,
        attempts,
    }
}

fn ended(unprocessed: bool) -> Attempt {
    Attempt {
        in_flight: false,
        unprocessed,
        ..Attempt::new(Backend::default(), DISPATCHED_AT)
    }
}

fn policy(idempotency: Idempotency) -> RetryPolicy {
    RetryPolicy {
        idempotency,
        hedging: false,
        timer_resolution: RESOLUTION,
    }
}

#[test]
fn five_requests_add_one_retry_to_the_budget() {
    let mut budget = RetryBudget::default();
    (0..4).for_each(|_| budget.deposit());
    assert!(!budget.allows_retry());
    budget.deposit();
    assert!(budget.allows_retry());
    budget.withdraw();
    assert!(!budget.allows_retry());
}

#[test]
fn the_budget_accumulates_the_retries_of_a_hundred_requests() {
    let mut budget = RetryBudget::default();
    (0..10_000).for_each(|_| budget.deposit());
    let mut retries = 0;
    while budget.allows_retry() {
        budget.withdraw();
        retries += 1;
    }
    assert_eq!(retries, 20);
}

#[test]
fn the_number_of_attempts_is_limited() {
    let idempotent = policy(Idempotency::Idempotent);
    let one = request(vec![ended(false)]);
    let two = request(vec![ended(false), ended(false)]);
    assert!(idempotent.allows_attempt(DISPATCHED_AT, &one));
    assert!(!idempotent.allows_attempt(DISPATCHED_AT, &two));
}

#[test]
fn a_second_attempt_in_flight_needs_hedging() {
    let in_flight = request(vec![Attempt::new(Backend::default(), DISPATCHED_AT)]);
    let mut idempotent = policy(Idempotency::Idempotent);
    assert!(!idempotent.allows_attempt(DISPATCHED_AT, &in_flight));
    idempotent.hedging = true;
    assert!(idempotent.allows_attempt(DISPATCHED_AT, &in_flight));
}

#[test]
fn a_non_idempotent_request_is_repeated_only_if_it_was_not_processed() {
    let non_idempotent = policy(Idempotency::NonIdempotent);
    assert!(!non_idempotent.allows_attempt(DISPATCHED_AT, &request(vec![ended(false)])));
    assert!(non_idempotent.allows_attempt(DISPATCHED_AT, &request(vec![ended(true)])));
}

#[test]
fn a_keyed_request_is_repeated_while_its_key_is_known() {
    let window = Micros(1_000_000);
    let keyed = policy(Idempotency::Keyed {
        scope: KeyScope::All,
        window,
    });
    let forgotten_at = DISPATCHED_AT + window;
    let just_before = forgotten_at - Micros(RESOLUTION.0 + 1);
    assert!(keyed.allows_attempt(just_before, &request(vec![ended(false)])));
    assert!(!keyed.allows_attempt(forgotten_at - RESOLUTION, &request(vec![ended(false)])));
    assert!(keyed.allows_attempt(forgotten_at, &request(vec![ended(true)])));
}
