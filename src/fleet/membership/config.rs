//! The inputs of the membership state machine: its configuration, and the clock readings of each step.

use super::wire::ClusterId;
use crate::interface::{Micros, Time};
use std::net::SocketAddr;

/// Configuration of [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The identifier of the fleet's cluster, by [`cluster_id`](super::wire::cluster_id).
    pub cluster: ClusterId,
    /// Advertised addresses of members to join through; this proxy's own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The maximum age of shared state; older state is neither used nor forwarded.
    pub max_age: Micros,
    /// The expected number of proxies, this one included.
    pub fleet_size: u32,
}

/// Readings of both clocks of the host, taken at the same time.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The monotonic clock, used for timers.
    pub monotonic: Time,
    /// Wall time in microseconds since 1970, used for times that proxies compare.
    pub wall_us: u64,
}
