//! Locks that are taken in one stated order. Each has a rank, and none is taken by a thread that holds one of its rank
//! or of a later one: so no two threads ever wait for each other. Checked at every lock where debug assertions are on.

use std::cell::Cell;
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};

thread_local! {
    /// The ranks that this thread holds, a bit each.
    static HELD: Cell<u32> = const { Cell::new(0) };
}

/// A table behind a lock of that rank, from 0 to 31.
pub struct Ranked<T> {
    rank: u32,
    table: Mutex<T>,
}

/// The table while it is locked.
pub struct Locked<'a, T> {
    rank: u32,
    table: MutexGuard<'a, T>,
}

impl<T> Ranked<T> {
    pub const fn new(rank: u32, table: T) -> Ranked<T> {
        Ranked {
            rank,
            table: Mutex::new(table),
        }
    }

    /// Waits for the lock. A worker that panicked leaves its table as it is: each is sound between any two steps.
    pub fn lock(&self) -> Locked<'_, T> {
        let held = HELD.get();
        debug_assert!(
            held >> self.rank == 0,
            "lock {} taken out of order, ranks held: {held:b}",
            self.rank
        );
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        HELD.set(held | 1 << self.rank);
        Locked {
            rank: self.rank,
            table,
        }
    }
}

impl<T> Drop for Locked<'_, T> {
    fn drop(&mut self) {
        HELD.set(HELD.get() & !(1 << self.rank));
    }
}

impl<T> Deref for Locked<'_, T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.table
    }
}

impl<T> DerefMut for Locked<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.table
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::panic::{catch_unwind, AssertUnwindSafe};

    /// Every order of three locks, whichever of them are let go between: only rising ones pass.
    #[test]
    #[cfg(debug_assertions)]
    fn only_rising_orders_pass() {
        let locks = [Ranked::new(0, ()), Ranked::new(1, ()), Ranked::new(2, ())];
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
                assert_eq!(HELD.get(), 0, "what was held is forgotten");
            }
        }
        drop(locks[2].lock());
        drop(locks[0].lock()); // one after the other is no order
    }
}
