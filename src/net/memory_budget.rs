//! Budget for the memory of buffered request and response bodies.
//!
//! [`MemoryBudget::buffer`] creates a buffer that takes what it allocates from the budget and returns it when the last
//! reference to its bytes is dropped. What does not fit is rejected or streamed by the caller.

use super::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use thiserror::Error;

/// Part of the process's memory limit that buffered bodies may take. The rest is for the program, connections and
/// whatever is streamed.
const BUDGET_FRACTION: f64 = 0.25;
const BYTES_PER_MB: f64 = 1e6;
/// What a buffer takes from the budget is a multiple of this many bytes, a page of memory.
const PAGE_BYTES: usize = 4096;

/// The budget does not allow a buffer to grow.
#[derive(Debug, Error)]
#[error("the memory budget for bodies is used up")]
pub struct BudgetExceeded;

/// The memory that buffered bodies may take together. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Usage>);

struct Usage {
    limit_bytes: AtomicUsize,
    used_bytes: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget without a limit.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget(Arc::new(Usage {
            limit_bytes: AtomicUsize::new(usize::MAX),
            used_bytes: AtomicUsize::new(0),
        }))
    }

    /// Sets the limit for a process that may use `memory_mb` megabytes in all; `None` removes it.
    pub fn set_process_limit(&self, memory_mb: Option<f64>) {
        let limit = memory_mb.map_or(usize::MAX, |megabytes| {
            (megabytes * BYTES_PER_MB * BUDGET_FRACTION) as usize
        });
        self.0.limit_bytes.store(limit, Ordering::Relaxed);
    }

    /// Returns the limit in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.0.limit_bytes.load(Ordering::Relaxed)
    }

    /// Creates an empty buffer for a body of `length` bytes, if that is known.
    pub fn buffer(&self, length: Option<u64>) -> BudgetedBuffer {
        BudgetedBuffer {
            data: Vec::new(),
            expected_length: length.map_or(PAGE_BYTES, |length| length as usize),
            reservation: Reservation {
                budget: self.clone(),
                bytes: 0,
            },
        }
    }

    fn used_bytes(&self) -> usize {
        self.0.used_bytes.load(Ordering::Relaxed)
    }
}

/// Bytes taken from a budget, which are returned on drop.
struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let more = bytes - self.bytes;
        if self.budget.used_bytes().saturating_add(more) > self.budget.limit_bytes() {
            return Err(BudgetExceeded);
        }
        self.budget.0.used_bytes.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .0
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A growing buffer whose capacity is taken from a budget.
pub struct BudgetedBuffer {
    data: Vec<u8>,
    /// Capacity of the first allocation. A body that turns out longer gets the longest one: buffers that grow in small
    /// steps leave gaps in the heap.
    expected_length: usize,
    reservation: Reservation,
}

impl BudgetedBuffer {
    /// Returns the number of bytes in it.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Appends `bytes`. It stays as it is if the budget does not allow that.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), BudgetExceeded> {
        let length = self.data.len() + bytes.len();
        if length > self.data.capacity() {
            let capacity = match length <= self.expected_length {
                true => self.expected_length,
                false => length.max(MAX_BUFFERED_BODY_BYTES),
            };
            self.reservation
                .grow_to(capacity.next_multiple_of(PAGE_BYTES))?;
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns its bytes, which keep their part of the budget until they are dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BudgetedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;
