//! The cluster of a fleet's proxies: [`gossip`] shares state between them, and [`coordination`] decides what needs agreement.

pub mod coordination;
pub mod gossip;
