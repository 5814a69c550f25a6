//! The socket side of what the proxies of a fleet share and decide together.

pub mod coordination;
pub mod gossip;
