//! Coordination between the proxies of a fleet: membership, leases, the replicated configuration, the maintenance calendar
//! and broadcasts.
//!
//! Each module is a state machine without a clock, sockets or threads: the host passes in the time and received messages,
//! and sends or carries out what comes back. None of them selects a backend for a request.

pub mod calendar;
pub mod config;
pub mod fencing;
pub mod lease;
pub mod membership;
pub mod message_age;
pub mod relay;
