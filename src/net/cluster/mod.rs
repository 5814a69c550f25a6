//! Communication between the proxies of a fleet: [`gossip`] shares state between them, and [`coordination`] makes the
//! decisions that need agreement.

pub mod coordination;
pub mod gossip;
