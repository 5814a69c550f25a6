use super::*;

const SECOND: Micros = Micros(1_000_000);

/// Guards against answers that are due only after the platform has killed the process.
#[test]
fn requests_that_complete_late_are_answered_before_the_kill() {
    for (longest_s, kill_s) in [(0.3, 1.0), (3.0, 3.7), (60.0, 3.7)] {
        let deadlines = ShutdownDeadlines::new(Micros::from_secs_f64(longest_s));
        for completed_ms in [701, 1_000, 2_000, 3_600, 20_000] {
            let completed = Micros(completed_ms * 1_000);
            let deadline = Micros(completed.0 + SECOND.mul_f64(longest_s).0);
            let answer_by = deadlines.answer_by(completed, deadline);
            assert!(answer_by < Micros::from_secs_f64(kill_s));
            assert!(answer_by <= deadline);
        }
    }
}

/// A request that the platform does not expect to be answered before the kill keeps its time.
#[test]
fn requests_that_complete_early_keep_their_deadline() {
    let deadlines = ShutdownDeadlines::new(SECOND.mul_f64(60.0));
    let deadline = SECOND.mul_f64(60.0);
    assert_eq!(deadlines.answer_by(Micros(0), deadline), deadline);
    assert_eq!(deadlines.answer_by(Micros(400_000), deadline), deadline);
}

/// A short deadline is never moved back.
#[test]
fn a_deadline_before_the_last_answer_stays() {
    let deadlines = ShutdownDeadlines::new(SECOND.mul_f64(3.0));
    let deadline = SECOND.mul_f64(2.5);
    assert_eq!(deadlines.answer_by(SECOND.mul_f64(2.0), deadline), deadline);
}
