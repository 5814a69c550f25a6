//! The sending side of the gossip socket. The request loop and the workers of the coordination share one
//! [`DatagramSender`], so that the sending times in all datagrams of this proxy increase.

use super::wire::{Body, ClusterId, DatagramSealer};
use crate::net::state::snapshot::wall_us;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Seals, sends and counts datagrams.
pub struct DatagramSender {
    /// Non-blocking.
    socket: UdpSocket,
    sealer: DatagramSealer,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    unsent: AtomicU64,
}

/// Counters of datagrams since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendCounters {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of datagrams that could not be sent.
    pub unsent: u64,
}

impl DatagramSender {
    /// Creates a sender of datagrams within `cluster`. `own_address` is this proxy's advertised address.
    pub fn new(socket: UdpSocket, cluster: ClusterId, own_address: SocketAddr) -> DatagramSender {
        DatagramSender {
            socket,
            sealer: DatagramSealer::new(cluster, own_address),
            sent: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
        }
    }

    /// Sends a datagram, or counts it as unsent if that fails, as UDP does not guarantee delivery anyway.
    pub fn send(&self, to: SocketAddr, body: Body) {
        let sent_bytes = self
            .sealer
            .seal(body, wall_us())
            .ok()
            .and_then(|bytes| self.socket.send_to(&bytes, to).ok());
        if let Some(sent_bytes) = sent_bytes {
            self.sent.fetch_add(1, Relaxed);
            self.sent_bytes.fetch_add(sent_bytes as u64, Relaxed);
        } else {
            self.unsent.fetch_add(1, Relaxed);
        }
    }

    /// Returns the counters of datagrams since the start.
    pub fn counters(&self) -> SendCounters {
        SendCounters {
            sent: self.sent.load(Relaxed),
            sent_bytes: self.sent_bytes.load(Relaxed),
            unsent: self.unsent.load(Relaxed),
        }
    }
}
