//! Budget for the memory that peers make the process hold.
//!
//! Whatever is kept for a peer takes its part of the budget as a [`Reservation`] of its [`MemoryKind`] when it is
//! admitted, and returns it on drop. What is really allocated counts instead where it is more, so that memory which no
//! reservation covers counts too. What does not fit is rejected by the caller.

use super::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use thiserror::Error;

const BYTES_PER_MB: f64 = 1e6;
/// Resident memory of a process at rest, in bytes.
pub const PROCESS_BYTES: usize = 7_000_000;
/// Processes that a proxy may have: a second one starts beside the first during a hot restart.
const MAX_PROCESSES: usize = 2;
/// The part of the remaining memory that peers may use. The rest is for what the allocator cannot use.
const USABLE_FRACTION: f64 = 0.88;
/// The least budget of a process, whatever the limit and however much other processes use, in bytes.
const MIN_LIMIT_BYTES: usize = 1_000_000;
/// The part of the budget that only reservations of at most [`SMALL_BYTES`] may use, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Largest reservation that may use the whole budget, in bytes.
const SMALL_BYTES: usize = 40 * 1024;
/// The part of the budget that all buffered bodies may use, as a divisor.
const BODIES_SHARE_DIVISOR: usize = 3;
/// The part of the budget that allocated memory without a reservation may use up, as a divisor. Some of it may be the
/// program's own, such as long endpoint lists, beside which clients are still served.
const UNRESERVED_SHARE_DIVISOR: usize = 2;
/// What a buffer takes from the budget is a multiple of this many bytes, a page of memory.
const PAGE_BYTES: usize = 4096;

/// The budget does not allow a reservation.
#[derive(Debug, Error)]
#[error("the memory budget is used up")]
pub struct BudgetExceeded;

/// What memory is kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Connections of clients, with their buffers.
    ClientConnections,
    /// Heads of requests that have not completely arrived.
    PartialHeads,
    /// Requests in progress: heads, and buffers of streamed bodies.
    Requests,
    /// Bodies of requests and responses that are buffered.
    Bodies,
    /// Connections to backends, with their buffers.
    BackendConnections,
}

impl MemoryKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [MemoryKind; 5] = [
        MemoryKind::ClientConnections,
        MemoryKind::PartialHeads,
        MemoryKind::Requests,
        MemoryKind::Bodies,
        MemoryKind::BackendConnections,
    ];

    /// Returns its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            MemoryKind::ClientConnections => "client_connections",
            MemoryKind::PartialHeads => "partial_heads",
            MemoryKind::Requests => "requests",
            MemoryKind::Bodies => "bodies",
            MemoryKind::BackendConnections => "backend_connections",
        }
    }
}

/// The memory that peers may make the process hold. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Usage>);

struct Usage {
    /// Memory of all processes of the proxy, in bytes.
    proxy_limit_bytes: AtomicUsize,
    /// Resident memory of the proxy's other processes.
    other_processes_bytes: AtomicUsize,
    reserved_bytes: [AtomicUsize; MemoryKind::ALL.len()],
    /// Bytes that are allocated beyond what a process at rest has allocated.
    allocated_bytes: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget without a limit.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget(Arc::new(Usage {
            proxy_limit_bytes: AtomicUsize::new(usize::MAX),
            other_processes_bytes: AtomicUsize::new(0),
            reserved_bytes: Default::default(),
            allocated_bytes: AtomicUsize::new(0),
        }))
    }

    /// Sets the memory that all processes of the proxy may use together, in megabytes; `None` removes the limit.
    pub fn set_proxy_limit(&self, memory_mb: Option<f64>) {
        let limit = memory_mb.map_or(usize::MAX, |megabytes| (megabytes * BYTES_PER_MB) as usize);
        self.0.proxy_limit_bytes.store(limit, Ordering::Relaxed);
    }

    /// Sets the resident memory of the proxy's other processes; `None` if this is the only one.
    pub fn set_other_processes(&self, resident_bytes: Option<usize>) {
        let bytes = resident_bytes.unwrap_or(0);
        self.0.other_processes_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Sets how many bytes are allocated for peers, whether reserved or not.
    pub fn set_allocated_bytes(&self, bytes: usize) {
        self.0.allocated_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns how many bytes may be used: what the proxy's limit leaves beside two processes at rest, or beside the
    /// other process as it is.
    pub fn limit_bytes(&self) -> usize {
        let proxy_limit = self.0.proxy_limit_bytes.load(Ordering::Relaxed);
        if proxy_limit == usize::MAX {
            return usize::MAX;
        }
        let others = self.0.other_processes_bytes.load(Ordering::Relaxed);
        let others = others.max((MAX_PROCESSES - 1) * PROCESS_BYTES);
        let rest = proxy_limit.saturating_sub(others + PROCESS_BYTES);
        ((rest as f64 * USABLE_FRACTION) as usize).max(MIN_LIMIT_BYTES)
    }

    /// Returns how many bytes are used.
    pub fn used_bytes(&self) -> usize {
        let reserved = self.reserved_bytes();
        let unreserved = self.allocated_bytes().saturating_sub(reserved);
        reserved + unreserved.min(self.limit_bytes() / UNRESERVED_SHARE_DIVISOR)
    }

    /// Returns how many bytes are reserved for this kind.
    pub fn reserved_for(&self, kind: MemoryKind) -> usize {
        self.0.reserved_bytes[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns how many bytes are allocated for peers.
    pub fn allocated_bytes(&self) -> usize {
        self.0.allocated_bytes.load(Ordering::Relaxed)
    }

    /// Returns how many bytes are reserved.
    pub fn reserved_bytes(&self) -> usize {
        MemoryKind::ALL
            .iter()
            .map(|kind| self.reserved_for(*kind))
            .sum()
    }

    /// Returns whether more is used than the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.used_bytes() > self.limit_bytes()
    }

    /// Takes `bytes` if the budget allows it. A large reservation leaves a part of the budget to small ones.
    pub fn reserve(&self, kind: MemoryKind, bytes: usize) -> Result<Reservation, BudgetExceeded> {
        let mut reservation = self.reserve_always(kind, 0);
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    /// Takes `bytes` whether the budget allows it or not.
    pub fn reserve_always(&self, kind: MemoryKind, bytes: usize) -> Reservation {
        self.add(kind, bytes);
        Reservation {
            budget: self.clone(),
            kind,
            bytes,
        }
    }

    /// Creates an empty buffer for a body of `length` bytes, if that is known.
    pub fn buffer(&self, length: Option<u64>) -> BudgetedBuffer {
        BudgetedBuffer {
            data: Vec::new(),
            expected_length: length.map_or(PAGE_BYTES, |length| length as usize),
            reservation: self.reserve_always(MemoryKind::Bodies, 0),
        }
    }

    fn add(&self, kind: MemoryKind, bytes: usize) {
        self.0.reserved_bytes[kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    fn allows(&self, kind: MemoryKind, more: usize, total: usize) -> bool {
        let limit = self.limit_bytes();
        let usable = match total <= SMALL_BYTES && kind != MemoryKind::Bodies {
            true => limit,
            false => limit - limit / SMALL_SHARE_DIVISOR,
        };
        let bodies_fit = kind != MemoryKind::Bodies
            || self.reserved_for(kind).saturating_add(more) <= limit / BODIES_SHARE_DIVISOR;
        bodies_fit && self.used_bytes().saturating_add(more) <= usable
    }
}

/// Bytes taken from a budget, which are returned on drop.
pub struct Reservation {
    budget: MemoryBudget,
    kind: MemoryKind,
    bytes: usize,
}

impl Reservation {
    /// Grows to `bytes` in all, if the budget allows it. It stays as it is otherwise, and if it is that large already.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return Ok(());
        }
        if !self.budget.allows(self.kind, more, bytes) {
            return Err(BudgetExceeded);
        }
        self.budget.add(self.kind, more);
        self.bytes = bytes;
        Ok(())
    }

    /// Sets it to `bytes` whether the budget allows it or not.
    pub fn set(&mut self, bytes: usize) {
        self.budget.add(self.kind, bytes);
        self.release();
        self.bytes = bytes;
    }

    fn release(&self) {
        self.budget.0.reserved_bytes[self.kind as usize].fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}

/// A growing buffer whose capacity is taken from a budget.
pub struct BudgetedBuffer {
    data: Vec<u8>,
    /// Capacity of the first allocation. The buffer of a body that turns out longer doubles, up to the longest one.
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
                false => length.max(length.next_power_of_two().min(MAX_BUFFERED_BODY_BYTES)),
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
