//! Gossip between the proxies of a fleet over UDP, which drives [`meadowproxy::fleet::membership`]. Start it with
//! [`GossipDriver::start`].
//!
//! The driver passes on verdicts about backends between the fleet and the host, snapshots of the host's learned state,
//! and received messages of the coordination. The coordination sends its own messages through the same
//! [`DatagramSender`].

mod datagram_sender;
mod driver;
mod snapshot_exchange;

pub use datagram_sender::DatagramSender;
pub use driver::{CoordinationDatagram, GossipDriver, GossipOptions};
pub use meadowproxy::fleet::membership::wire;

#[cfg(test)]
mod stored_formats;
