//! Which orders of locks pass the check.

use super::*;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Every order of two of three locks: only rising ones pass.
#[test]
#[cfg(debug_assertions)]
fn only_rising_orders_pass() {
    let locks = [
        OrderedLock::new(0, ()),
        OrderedLock::new(1, ()),
        OrderedLock::new(2, ()),
    ];
    let passes = |first: usize, second: usize| {
        catch_unwind(AssertUnwindSafe(|| {
            let _first = locks[first].lock();
            let _second = locks[second].lock();
        }))
        .is_ok()
    };
    for first in 0..3 {
        for second in 0..3 {
            assert_eq!(
                passes(first, second),
                first < second,
                "{first} then {second}"
            );
            assert_eq!(HELD_RANKS.get(), 0, "released ranks are removed");
        }
    }
    drop(locks[2].lock());
    drop(locks[0].lock()); // one after the other is no order
}
