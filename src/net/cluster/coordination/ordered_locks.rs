//! Locks that are taken in one stated order.
//!
//! Each has a rank, and no thread takes one of the rank of a lock that it holds or of a lower rank, so no two threads
//! ever wait for each other. Checked at every lock where debug assertions are on.

use std::cell::Cell;
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};

thread_local! {
    /// The ranks that this thread holds, a bit each.
    static HELD_RANKS: Cell<u32> = const { Cell::new(0) };
}

/// A value behind a lock of that rank, from 0 to 31.
pub struct OrderedLock<T> {
    rank: u32,
    value: Mutex<T>,
}

/// The value while it is locked.
pub struct OrderedGuard<'a, T> {
    rank: u32,
    value: MutexGuard<'a, T>,
}

impl<T> OrderedLock<T> {
    pub const fn new(rank: u32, value: T) -> OrderedLock<T> {
        OrderedLock {
            rank,
            value: Mutex::new(value),
        }
    }

    /// Waits for the lock. A poisoned lock is used on: each value is consistent between any two statements of its methods.
    pub fn lock(&self) -> OrderedGuard<'_, T> {
        let held = HELD_RANKS.get();
        debug_assert!(
            held >> self.rank == 0,
            "lock {} taken out of order, ranks held: {held:b}",
            self.rank
        );
        let value = self.value.lock().unwrap_or_else(PoisonError::into_inner);
        HELD_RANKS.set(held | 1 << self.rank);
        OrderedGuard {
            rank: self.rank,
            value,
        }
    }
}

impl<T> Drop for OrderedGuard<'_, T> {
    fn drop(&mut self) {
        HELD_RANKS.set(HELD_RANKS.get() & !(1 << self.rank));
    }
}

impl<T> Deref for OrderedGuard<'_, T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> DerefMut for OrderedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.value
    }
}

#[cfg(test)]
mod tests;
