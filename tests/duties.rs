//! Duties that one proxy holds at a time, and the maintenance windows that it keeps: several real processes, with
//! faults between them (`rig::faults`), steady clients, and backends that write down what reached them.

mod rig;

use rig::holdings::{contradictions, Life};

fn life(proxy: usize, killed: Option<u64>, log: &str) -> Life {
    Life { proxy, log: log.into(), killed }
}

/// The check that all tests below rest on: it accepts what is sound, and tells each way of being wrong.
#[test]
fn the_overlap_check_tells_two_holders_a_token_that_fell_and_a_late_act() {
    let held =
        |token: &str, at: u64| format!(" event=\"duty_held\" duty=calendar token={token} mono_us={at}\n");
    let over = |token: &str, at: u64, until: u64| {
        format!(
            " event=\"duty_over\" duty=calendar token={token} reason=\"a b\" mono_us={at} until_us={until}\n"
        )
    };
    let act = |token: &str, at: u64| {
        format!(" event=\"window\" window=w from=planned to=draining token={token} mono_us={at}\n")
    };
    let first = held("10.7", 100) + &act("10.7", 150) + &over("10.7", 900, 300); // it was stopped from 200 to 900
    let second = held("11.3", 400) + &act("11.3", 500);
    let sound = [life(0, None, &first), life(1, Some(600), &second), life(2, None, &held("12.1", 700))];
    assert_eq!(contradictions(&sound), [""; 0]);
    let told = |n: usize, text: &str, what: &str| {
        let mut wrong = sound.clone();
        wrong[n].log = text.into();
        let wrong = contradictions(&wrong);
        assert!(wrong.iter().any(|w| w.contains(what)), "{what} not told: {wrong:?}");
    };
    told(0, &held("10.7", 100), "two holders at once"); // never over
    told(0, &(held("10.7", 100) + &over("10.7", 900, 401)), "two holders at once");
    told(2, &held("12.1", 599), "two holders at once");
    told(2, &held("11.2", 700), "did not grow");
    told(0, &(first.clone() + &act("10.7", 901)), "outside of its holding");
    told(2, &act("11.3", 500), "outside of its holding");
}
