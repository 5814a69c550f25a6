//! Load balancing for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without a clock, network access or threads: a host passes it [`Event`]s with the
//! time at which they happened, and carries out the [`Action`]s that it returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod balancer;
#[cfg(test)]
#[path = "../tests/fixtures/mod.rs"]
mod fixtures;
pub mod fleet;
mod interface;
pub mod settings;

pub use balancer::discovery_polling::{queued_discovery_poll_timeout, DISCOVERY_POLL_TIMEOUT};
pub use balancer::graceful_shutdown::ShutdownDeadlines;
pub use balancer::{halb_shares, Balancer, HardwareClassCapacity};
pub use interface::*;

/// Compiles and runs the README's examples as documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
