use super::*;
use std::time::Duration;

const MB: u64 = 1_000_000;

/// A history of bytes that arrive at 10 MB/s for `seconds`.
fn steady(begin: Instant, seconds: u64) -> ArrivalHistory {
    let mut history = ArrivalHistory::new(begin);
    for step in 1..=seconds * 100 {
        history.record(step * MB / 10, begin + Duration::from_millis(10 * step));
    }
    history
}

/// The last byte of 40 MB at 10 MB/s cannot have been written before all but a send buffer of them had arrived.
#[test]
fn the_last_byte_is_not_written_before_the_send_buffer_has_room_for_it() {
    let begin = Instant::now();
    let written = steady(begin, 4).not_written_before(40 * MB) - begin;
    assert!(written >= Duration::from_millis(3_500), "{written:?}");
    assert!(written <= Duration::from_millis(3_581), "{written:?}");
}

/// Nothing is known of an upload that fits into a send buffer.
#[test]
fn a_short_upload_may_have_been_written_at_its_begin() {
    let begin = Instant::now();
    let mut history = ArrivalHistory::new(begin);
    for megabytes in 1..=4 {
        history.record(megabytes * MB, begin + Duration::from_secs(megabytes));
    }
    assert_eq!(history.not_written_before(4 * MB), begin);
}

/// The history stays bounded however long the upload is.
#[test]
fn the_history_is_bounded() {
    assert!(steady(Instant::now(), 600).samples.len() < 50);
}
