//! The sending side of the peers' socket: the request loop and the duties' workers share it, and with it one series of
//! sending times.

use super::wire::{Body, ClusterId, DatagramSealer};
use crate::net::state::snapshot::wall_us;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

pub struct Post {
    /// Does not block.
    socket: UdpSocket,
    seal: DatagramSealer,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    unsent: AtomicU64,
}

impl Post {
    pub fn new(socket: UdpSocket, cluster: ClusterId, own: SocketAddr) -> Post {
        let (sent, sent_bytes, unsent) = Default::default();
        Post {
            socket,
            seal: DatagramSealer::new(cluster, own),
            sent,
            sent_bytes,
            unsent,
        }
    }

    /// Sends a datagram, or counts it as unsent: UDP is not sure to arrive anyway.
    pub fn send(&self, to: SocketAddr, body: Body) {
        let sent = self
            .seal
            .seal(body, wall_us())
            .ok()
            .map(|bytes| self.socket.send_to(&bytes, to));
        match sent {
            Some(Ok(length)) => {
                self.sent.fetch_add(1, Relaxed);
                self.sent_bytes.fetch_add(length as u64, Relaxed);
            }
            _ => drop(self.unsent.fetch_add(1, Relaxed)),
        }
    }

    /// Datagrams sent, their bytes, and those that could not be sent.
    pub fn counts(&self) -> [u64; 3] {
        [&self.sent, &self.sent_bytes, &self.unsent].map(|count| count.load(Relaxed))
    }
}
