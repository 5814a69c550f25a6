//! The outputs of the membership state machine: messages to send, events, and counters.

use super::wire::{Body, DatagramError};
use crate::interface::PeerVerdict;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An action for the driver; a step's actions are carried out in order.
#[derive(Debug)]
pub enum Output {
    /// Seal a message body and send it.
    Send {
        /// The receiver's advertised address.
        to: SocketAddr,
        /// The message.
        body: Body,
    },
    /// Handle an event.
    Event(MembershipEvent),
}

/// A change of the membership, or a message that arrived through it.
#[derive(Debug)]
pub enum MembershipEvent {
    /// A member came up.
    MemberUp {
        /// Its advertised address.
        peer: SocketAddr,
        /// Live members known now, without this proxy.
        members: usize,
    },
    /// A member went down.
    MemberDown {
        /// Its advertised address.
        peer: SocketAddr,
        /// Live members known now, without this proxy.
        members: usize,
    },
    /// A later incarnation replaced a member: the proxy restarted or rejoined. If the member comes up or goes down by
    /// that, [`MemberUp`](Self::MemberUp) or [`MemberDown`](Self::MemberDown) follows.
    MemberReplaced {
        /// Its advertised address.
        peer: SocketAddr,
    },
    /// This proxy rejoined the fleet, after the others had declared it down or after a partition.
    Rejoined {
        /// Live members known now, without this proxy.
        members: usize,
    },
    /// Another proxy's verdict arrived, or this proxy broadcast one.
    VerdictReceived {
        /// The backend's name in discovery's list.
        backend: String,
        /// The verdict, with this proxy's position in the order of health checks; its `backend` is not set.
        verdict: PeerVerdict,
    },
    /// A coordination message arrived.
    CoordinationMessage {
        /// The sender's advertised address.
        from: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A member requests a snapshot, to be sent by [`Membership::send_snapshot`](super::Membership::send_snapshot).
    SnapshotRequested {
        /// The member's advertised address.
        from: SocketAddr,
        /// The number that the member chose for the transfer.
        nonce: u64,
    },
    /// The snapshot that this proxy requested has arrived completely.
    SnapshotReceived {
        /// The encoded snapshot.
        bytes: Vec<u8>,
    },
    /// No member sent a complete snapshot, and no further requests follow.
    SnapshotUnavailable {
        /// The number of requests sent, each to one member.
        requests: u32,
    },
    /// A datagram was rejected; reported at most once per second for each cause.
    DatagramRejected(DatagramError),
    /// A timer of the SWIM implementation, or a rejoin, failed.
    TimerFailed(foca::Error),
    /// Announcing this proxy to a member failed.
    AnnounceFailed {
        /// The member's advertised address.
        to: SocketAddr,
        /// The cause.
        error: foca::Error,
    },
}

/// Counters since the start of this proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received, including rejected ones.
    pub received: u64,
    /// This proxy's own verdicts that were broadcast.
    pub verdicts_sent: u64,
    /// Other proxies' verdicts that were not known yet.
    pub verdicts_received: u64,
    /// This proxy's own verdicts that could not be broadcast.
    pub verdicts_unsent: u64,
    /// Received verdicts that were older than the maximum age.
    pub verdicts_stale: u64,
    /// Rejected datagrams, by [cause](DatagramError::cause).
    pub rejected: BTreeMap<&'static str, u64>,
}
