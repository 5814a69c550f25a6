//! Tests of the check of the lock order.

use super::*;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Takes each pair of three locks in each order, a lock with itself included: only ascending ranks pass.
#[test]
#[cfg(debug_assertions)]
fn locks_can_be_taken_in_ascending_order_only() {
    let locks = [
        OrderedLock::new(0, ()),
        OrderedLock::new(1, ()),
        OrderedLock::new(2, ()),
    ];
    let can_be_taken = |first: usize, second: usize| {
        catch_unwind(AssertUnwindSafe(|| {
            let _first = locks[first].lock();
            let _second = locks[second].lock();
        }))
        .is_ok()
    };
    for first in 0..3 {
        for second in 0..3 {
            assert_eq!(
                can_be_taken(first, second),
                first < second,
                "rank {first}, then rank {second}"
            );
            assert_eq!(
                HELD_RANKS.get(),
                0,
                "a rank is still marked as held after its release"
            );
        }
    }
    drop(locks[2].lock());
    drop(locks[0].lock()); // a lower rank is allowed once the higher one is released
}
