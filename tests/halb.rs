//! Tests of the HALB traffic split (`halb_shares`) against values computed by hand from the paper's formula. A class of
//! n ready endpoints of service rate m gets the flow n * (m - sqrt(m) * (s - arrival rate) / r), clamped at 0, where s
//! is the sum of the service rates and r the sum of their square roots over all ready endpoints.

use meadowproxy::{halb_shares, HardwareClassCapacity};

/// Checks that the shares equal the expected ones within 1e-9.
fn assert_shares(shares: Vec<f64>, expected: &[f64]) {
    assert_eq!(shares.len(), expected.len());
    for (share, expected_share) in shares.iter().zip(expected) {
        assert!(
            (share - expected_share).abs() < 1e-9,
            "shares {shares:?}, expected {expected:?}"
        );
    }
}

const fn hardware_class(ready_endpoints: f64, service_rate_per_s: f64) -> HardwareClassCapacity {
    HardwareClassCapacity {
        ready_endpoints,
        service_rate_per_s,
    }
}

/// One endpoint that serves 4 per second and one that serves 1.
const FAST_AND_SLOW: [HardwareClassCapacity; 2] =
    [hardware_class(1.0, 4.0), hardware_class(1.0, 1.0)];

#[test]
fn at_moderate_load_both_classes_get_traffic() {
    // Sum of roots 3, sum of rates 5: flows 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_shares(
        halb_shares(&FAST_AND_SLOW, Some(3.5)),
        &[6.0 / 7.0, 1.0 / 7.0],
    );
}

#[test]
fn at_light_load_the_slow_class_gets_nothing() {
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(2.0)), &[1.0, 0.0]);
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn after_clamping_a_class_the_others_are_solved_again() {
    // All three: sum of roots 6, sum of rates 14, third flow 1 - 8.5 / 6 < 0.
    // The first two: sum of roots 5, sum of rates 13, flows 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let three_classes = [
        hardware_class(1.0, 9.0),
        hardware_class(1.0, 4.0),
        hardware_class(1.0, 1.0),
    ];
    assert_shares(
        halb_shares(&three_classes, Some(5.5)),
        &[4.5 / 5.5, 1.0 / 5.5, 0.0],
    );
}

#[test]
fn endpoint_counts_weigh_and_may_be_fractions() {
    // Sum of roots 2 * 2 + 0.5 = 4.5, sum of rates 8.5. At 4 per second (8.5 - 4) / 4.5 = 1: flows 8 - 4 and 0.5 - 0.5.
    assert_shares(
        halb_shares(
            &[hardware_class(2.0, 4.0), hardware_class(0.5, 1.0)],
            Some(4.0),
        ),
        &[1.0, 0.0],
    );
    // At 6.25 per second (8.5 - 6.25) / 4.5 = 0.5: flows 8 - 2 and 0.5 - 0.25.
    assert_shares(
        halb_shares(
            &[hardware_class(2.0, 4.0), hardware_class(0.5, 1.0)],
            Some(6.25),
        ),
        &[0.96, 0.04],
    );
}

#[test]
fn over_capacity_all_traffic_is_divided() {
    // (5 - 8) / 3 = -1: flows 4 + 2 and 1 + 1.
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn without_an_arrival_rate_ready_endpoints_decide() {
    assert_shares(
        halb_shares(
            &[
                hardware_class(3.0, 4.0),
                hardware_class(1.0, 1.0),
                hardware_class(0.0, 9.0),
            ],
            None,
        ),
        &[0.75, 0.25, 0.0],
    );
}

#[test]
fn near_zero_rate_the_fastest_class_gets_all() {
    assert_shares(halb_shares(&FAST_AND_SLOW, Some(0.0)), &[1.0, 0.0]);
    assert_shares(
        halb_shares(
            &[hardware_class(1.0, 4.0), hardware_class(3.0, 4.0)],
            Some(0.0),
        ),
        &[0.25, 0.75],
    );
    assert_shares(
        halb_shares(
            &[
                hardware_class(0.0, 9.0),
                hardware_class(1.0, 4.0),
                hardware_class(1.0, 1.0),
            ],
            Some(1e-12),
        ),
        &[0.0, 1.0, 0.0],
    );
}

#[test]
fn a_single_class_gets_all_and_classes_without_ready_endpoints_get_nothing() {
    assert_shares(halb_shares(&[hardware_class(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_shares(
        halb_shares(
            &[hardware_class(0.0, 3.0), hardware_class(0.0, 1.0)],
            Some(1.0),
        ),
        &[0.0, 0.0],
    );
    assert_shares(
        halb_shares(
            &[hardware_class(0.0, 3.0), hardware_class(2.0, 1.0)],
            Some(1.0),
        ),
        &[0.0, 1.0],
    );
    assert_shares(halb_shares(&[], Some(1.0)), &[]);
    assert_shares(halb_shares(&[], None), &[]);
}
