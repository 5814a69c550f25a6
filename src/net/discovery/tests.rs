//! The watch's arithmetic.

use super::*;

/// The arithmetic of the design, for any fleet: the call that finds a silence and one more that fails end before
/// what was missed counts as told; a quiet fleet stays within its calls, and its proxies do not fall into step.
#[test]
fn a_silence_is_found_and_mended_in_time_at_a_cost_that_the_fleet_can_afford() {
    for proxies in [1, 3, 48, 100, 200, 300] {
        let mut pace = Pace::new(Discovery::Push, proxies, 7);
        let waits: Vec<f64> = (0..200).map(|_| pace.wait().as_secs_f64()).collect();
        let most = waits.iter().copied().fold(0.0, f64::max);
        let told = f64::max(6.0, most + 2.0);
        let found = most + PROMPT.as_secs_f64();
        // The module's first pause is 0.15 s at most where lists are asked for.
        assert!(found + 0.15 + IN_LINE.as_secs_f64() < told, "{proxies}: {most}");
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        assert!(f64::from(proxies) / mean <= CALLS / SPREAD, "{proxies}: every {mean} s");
        let distinct: std::collections::BTreeSet<u64> = waits.iter().map(|w| (w * 1e3) as u64).collect();
        assert!(distinct.len() > 50, "{proxies}: in step");
    }
    assert!(
        DIAL + BACKOFF * 2 < Duration::from_millis(500),
        "an agent that is back is heard within the grace"
    );
}
