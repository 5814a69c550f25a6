//! The inputs of the membership state machine: its configuration, and the clocks at each step.

use super::wire::ClusterId;
use crate::interface::{Micros, Time};
use std::net::SocketAddr;

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The fleet's, by [`cluster_id`](super::wire::cluster_id).
    pub cluster: ClusterId,
    /// Members to join through; this proxy may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The age past which shared state is neither used nor passed on.
    pub max_age: Micros,
    /// Expected number of proxies, this one included.
    pub fleet_size: u32,
}

/// Both clocks of the host at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The monotonic clock, which timers use.
    pub monotonic: Time,
    /// Wall time in microseconds since 1970, which proxies compare.
    pub wall_us: u64,
}
