//! The clocks of the coordination.

use crate::net::state::snapshot::wall_us;
use meadowproxy::fleet::calendar::WallTime;
use meadowproxy::Time;
use rustix::time::{clock_gettime, ClockId};

/// Returns the time on the monotonic clock, which all processes of a machine share.
pub fn monotonic_now() -> Time {
    let now = clock_gettime(ClockId::Monotonic);
    Time(
        (now.tv_sec as u64)
            .saturating_mul(1_000_000)
            .saturating_add(now.tv_nsec as u64 / 1000),
    )
}

/// Returns the time on the wall clock, which proxies compare with each other.
pub fn wall_now() -> WallTime {
    WallTime(wall_us())
}
