//! Memory that processes use, as their allocator and the kernel count it.

use rustix::param::page_size;
use tikv_jemalloc_ctl::{epoch, stats};

/// Returns how many bytes this process has allocated and not freed; `None` if the allocator does not tell.
pub fn allocated_bytes() -> Option<usize> {
    epoch::advance().ok()?; // refreshes the figures
    stats::allocated::read().ok()
}

/// Returns the resident memory of a process in bytes; `None` if it has ended or cannot be observed.
pub fn resident_bytes(process: u32) -> Option<usize> {
    let pages = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let resident: usize = pages.split(' ').nth(1)?.parse().ok()?;
    Some(resident * page_size())
}
