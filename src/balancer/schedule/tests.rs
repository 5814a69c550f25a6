use super::*;

const RESOLUTION: Micros = Micros(5_000);

fn token_of(action: Option<Action>) -> TimerToken {
    match action {
        Some(Action::SetTimer { token, .. }) => token,
        other => panic!("expected Action::SetTimer, got {other:?}"),
    }
}

#[test]
fn a_timer_is_set_only_once_for_a_check() {
    let mut schedule = CheckSchedule::new();
    schedule.check_at(Time(100_000));
    let after = match schedule.set_timer(Time(0), RESOLUTION) {
        Some(Action::SetTimer { after, .. }) => after,
        other => panic!("expected Action::SetTimer, got {other:?}"),
    };
    assert_eq!(after, Micros(100_000));
    assert_eq!(schedule.set_timer(Time(0), RESOLUTION), None);
}

#[test]
fn an_earlier_check_replaces_the_timer_and_a_later_one_does_not() {
    let mut schedule = CheckSchedule::new();
    schedule.check_at(Time(100_000));
    let first = token_of(schedule.set_timer(Time(0), RESOLUTION));
    schedule.check_by(Time(200_000));
    assert_eq!(schedule.set_timer(Time(0), RESOLUTION), None);
    schedule.check_by(Time(50_000));
    let second = token_of(schedule.set_timer(Time(0), RESOLUTION));
    assert!(!schedule.timer_fired(first));
    assert!(schedule.timer_fired(second));
}

#[test]
fn no_timer_is_shorter_than_the_resolution() {
    let mut schedule = CheckSchedule::new();
    let timer = schedule.set_timer(Time(1), RESOLUTION);
    let expected = Action::SetTimer {
        token: TimerToken(1),
        after: RESOLUTION,
    };
    assert_eq!(timer, Some(expected));
}
