use super::*;

const RULES: ZoneFailover = ZoneFailover {
    unhealthy_threshold: 0.5,
    recovery_ramp: Micros(4_000_000),
};
const SLOW_START: SlowStart = SlowStart {
    duration: Micros(10_000_000),
    min_readiness: 0.2,
};
const HEALTHY: ZoneCounts = ZoneCounts {
    available: 4.0,
    unhealthy: 0.0,
};
const UNHEALTHY: ZoneCounts = ZoneCounts {
    available: 4.0,
    unhealthy: 2.0,
};
const START: Time = Time(1_000_000);

fn ms_after_start(ms: u64) -> Time {
    START + Micros(ms * 1_000)
}

/// Returns a zone that was taken out of use at this time, in milliseconds after the start.
fn taken_out_of_use_at(ms: u64) -> ZoneHealth {
    let mut zone = ZoneHealth::default();
    zone.update(ms_after_start(ms - 500), UNHEALTHY, &RULES);
    let transition = zone.update(ms_after_start(ms), UNHEALTHY, &RULES);
    assert!(matches!(
        transition,
        Some(ZoneTransition::TakenOutOfUse { .. })
    ));
    zone
}

#[test]
fn a_zone_is_taken_out_of_use_after_staying_unhealthy_for_half_a_second() {
    let mut zone = ZoneHealth::default();
    assert!(zone.update(START, UNHEALTHY, &RULES).is_none());
    let shortly_before = ms_after_start(499);
    assert!(zone.update(shortly_before, UNHEALTHY, &RULES).is_none());
    assert_eq!(zone.readiness(shortly_before, &RULES, SLOW_START), 1.0);
    let zone = taken_out_of_use_at(500);
    assert_eq!(zone.readiness(ms_after_start(500), &RULES, SLOW_START), 0.0);
}

#[test]
fn a_healthy_moment_restarts_the_unhealthy_interval() {
    let mut zone = ZoneHealth::default();
    zone.update(START, UNHEALTHY, &RULES);
    zone.update(ms_after_start(400), HEALTHY, &RULES);
    zone.update(ms_after_start(450), UNHEALTHY, &RULES);
    let transition = zone.update(ms_after_start(900), UNHEALTHY, &RULES);
    assert!(transition.is_none());
}

#[test]
fn attempts_without_a_response_make_a_zone_unhealthy() {
    let mut zone = ZoneHealth::default();
    for _ in 0..15 {
        zone.record_attempt(false);
    }
    zone.update(START, HEALTHY, &RULES);
    let transition = zone.update(ms_after_start(500), HEALTHY, &RULES);
    assert!(matches!(
        transition,
        Some(ZoneTransition::TakenOutOfUse { unanswered_percent }) if unanswered_percent == 100.0
    ));
}

#[test]
fn a_zone_returns_after_the_hold_down_and_recovers_at_the_end_of_the_ramp() {
    let mut zone = taken_out_of_use_at(500);
    let held_down = zone.update(ms_after_start(1_499), HEALTHY, &RULES);
    assert!(held_down.is_none());
    let returning = zone.update(ms_after_start(1_500), HEALTHY, &RULES);
    assert!(matches!(returning, Some(ZoneTransition::Returning)));
    let half_way = zone.readiness(ms_after_start(3_500), &RULES, SLOW_START);
    assert!((half_way - 0.6).abs() < 1e-12);
    let recovered = zone.update(ms_after_start(5_500), HEALTHY, &RULES);
    assert!(matches!(recovered, Some(ZoneTransition::Recovered)));
    assert_eq!(
        zone.readiness(ms_after_start(5_500), &RULES, SLOW_START),
        1.0
    );
}

#[test]
fn the_ramp_doubles_with_each_failover_within_a_minute() {
    let mut zone = taken_out_of_use_at(500);
    assert_eq!(zone.recovery_ramp(&RULES), Micros(4_000_000));
    zone.update(ms_after_start(1_500), HEALTHY, &RULES);
    zone.update(ms_after_start(2_000), UNHEALTHY, &RULES);
    zone.update(ms_after_start(2_500), UNHEALTHY, &RULES);
    assert_eq!(zone.recovery_ramp(&RULES), Micros(8_000_000));
    zone.update(ms_after_start(62_500), HEALTHY, &RULES);
    assert_eq!(zone.recovery_ramp(&RULES), Micros(4_000_000));
}

#[test]
fn the_log_line_names_zone_and_counts() {
    let transition = ZoneTransition::TakenOutOfUse {
        unanswered_percent: 12.4,
    };
    assert_eq!(
        transition_log_line(ZoneId(3), UNHEALTHY, RULES.recovery_ramp, &transition),
        "zone 3 taken out of use: 2 of 4 endpoints ejected or silent, 12% of attempts without a response"
    );
}
