//! Locks with a fixed order, which prevents deadlocks.
//!
//! Each lock has a rank, and a thread may take a lock only if its rank is higher than those of all locks that the
//! thread holds. So no two threads ever wait for each other. Builds with debug assertions check the order at every
//! lock.

use std::cell::Cell;
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};

thread_local! {
    /// Bit set of the ranks of the locks that this thread holds.
    static HELD_RANKS: Cell<u32> = const { Cell::new(0) };
}

/// A value behind a lock. Its rank is from 0 to 31.
pub struct OrderedLock<T> {
    rank: u32,
    value: Mutex<T>,
}

/// Access to the value of an [`OrderedLock`] until dropped.
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

    /// Waits for the lock. Poisoning is ignored, because each value is consistent between any two statements of its
    /// methods.
    pub fn lock(&self) -> OrderedGuard<'_, T> {
        let held = HELD_RANKS.get();
        debug_assert!(
            held >> self.rank == 0,
            "lock of rank {} taken out of order; bits of the ranks held: {held:b}",
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
