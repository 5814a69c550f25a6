//! Memory of a request's head while it arrives on a client's connection.

use crate::net::memory_budget::{MemoryBudget, MemoryKind, Reservation};

/// Bytes of a head that the memory of its connection covers.
const COVERED_BYTES: usize = 4 * 1024;
/// How much larger hyper's buffer may be than what it holds: it doubles whenever it is full.
const GROWTH_FACTOR: usize = 2;

/// The head that arrives on a connection, as far as it has been read.
pub struct PartialHead {
    reservation: Reservation,
    received_bytes: usize,
    /// Whether input belongs to a head, and not to the body of a request.
    is_expected: bool,
}

impl PartialHead {
    /// Creates the state of a connection that awaits its first head.
    pub fn new(budget: &MemoryBudget) -> PartialHead {
        PartialHead {
            reservation: budget.reserve_always(MemoryKind::PartialHeads, 0),
            received_bytes: 0,
            is_expected: true,
        }
    }

    /// Records that the next input belongs to a new head.
    pub fn begin(&mut self) {
        self.received_bytes = 0;
        self.is_expected = true;
    }

    /// Records that the head is complete. Its memory is accounted for with its request from now on.
    pub fn end(&mut self) {
        self.reservation.set(0);
        self.is_expected = false;
    }

    /// Returns whether up to `bytes` more may be read.
    pub fn may_read(&mut self, bytes: usize) -> bool {
        if !self.is_expected || self.received_bytes < COVERED_BYTES {
            return true;
        }
        let needed = GROWTH_FACTOR * (self.received_bytes + bytes);
        self.reservation.grow_to(needed).is_ok()
    }

    /// Records that `bytes` were read.
    pub fn received(&mut self, bytes: usize) {
        self.received_bytes += bytes;
    }
}
