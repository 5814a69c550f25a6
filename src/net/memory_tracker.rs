//! Keeps the memory budget in step with what is really allocated, and frees memory that the budget does not allow.

use crate::net::downstream::server::Server;
use crate::net::memory_budget::MemoryBudget;
use crate::net::memory_usage::allocated_bytes;
use std::rc::Rc;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The interval while little of the budget is reserved.
const CALM_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The part of the budget below which little is reserved, as a divisor.
const CALM_SHARE_DIVISOR: usize = 8;
/// What a process has allocated at rest, in bytes.
const ALLOCATED_AT_REST_BYTES: usize = 1_500_000;
/// Most connections that are closed after a sample.
const MAX_CLOSED: usize = 16;

/// Compares the budget with the allocated memory until the process ends.
pub async fn track_memory(server: Rc<Server>, budget: MemoryBudget) {
    loop {
        if let Some(allocated) = allocated_bytes() {
            budget.set_allocated_bytes(allocated.saturating_sub(ALLOCATED_AT_REST_BYTES));
        }
        for _ in 0..MAX_CLOSED {
            if !budget.is_exceeded() || !server.free_memory() {
                break;
            }
        }
        let is_calm = budget.reserved_bytes() < budget.limit_bytes() / CALM_SHARE_DIVISOR;
        let interval = match is_calm {
            true => CALM_SAMPLE_INTERVAL,
            false => SAMPLE_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}
