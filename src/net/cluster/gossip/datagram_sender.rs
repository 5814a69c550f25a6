//! The sending side of the gossip socket. The request loop and the workers of the coordination share it, so that sending
//! times increase over all datagrams of this proxy.

use super::wire::{Body, ClusterId, DatagramSealer};
use crate::net::state::snapshot::wall_us;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Seals datagrams, sends them and counts them.
pub struct DatagramSender {
    /// Does not block.
    socket: UdpSocket,
    sealer: DatagramSealer,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    unsent: AtomicU64,
}

/// What was sent since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendCounters {
    /// Datagrams.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
}

impl DatagramSender {
    /// For datagrams within that cluster from `own_address`, this proxy's advertised address.
    pub fn new(socket: UdpSocket, cluster: ClusterId, own_address: SocketAddr) -> DatagramSender {
        DatagramSender {
            socket,
            sealer: DatagramSealer::new(cluster, own_address),
            sent: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
        }
    }

    /// Sends a datagram, or counts it as unsent: delivery by UDP isn't reliable anyway.
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

    /// What was sent since the start.
    pub fn counters(&self) -> SendCounters {
        SendCounters {
            sent: self.sent.load(Relaxed),
            sent_bytes: self.sent_bytes.load(Relaxed),
            unsent: self.unsent.load(Relaxed),
        }
    }
}
