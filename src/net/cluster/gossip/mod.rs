//! Gossip between the proxies of a fleet over UDP: the driver of [`meadowproxy::fleet::membership`].
//!
//! [`GossipDriver`] passes verdicts between the fleet and the host, snapshots between the fleet and the host's learned
//! state, and messages to the coordination, which sends its own through the same [`DatagramSender`].

mod datagram_sender;
mod driver;
mod snapshot_exchange;

pub use datagram_sender::DatagramSender;
pub use driver::{CoordinationDatagram, GossipDriver, GossipOptions};
pub use meadowproxy::fleet::membership::wire;

#[cfg(test)]
mod stored_formats;
