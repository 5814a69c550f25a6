//! What comes out of the membership state machine: datagrams to send, events, and counters.

use super::wire::{Body, DatagramError};
use crate::interface::PeerVerdict;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the driver has to carry out, in order.
#[derive(Debug)]
pub enum Output {
    /// Seal a body and send it.
    Send {
        /// The receiver's advertised address.
        to: SocketAddr,
        /// What to send.
        body: Body,
    },
    /// Log an event or pass it on.
    Event(MembershipEvent),
}

/// What happened to the membership, or arrived through it.
#[derive(Debug)]
pub enum MembershipEvent {
    /// A member is up.
    MemberUp {
        /// Its advertised address.
        peer: SocketAddr,
        /// Live members known now, without this proxy.
        members: usize,
    },
    /// A member is down.
    MemberDown {
        /// Its advertised address.
        peer: SocketAddr,
        /// Live members known now, without this proxy.
        members: usize,
    },
    /// A member has a later incarnation: it was restarted, or rejoined. If that brings it up or down, an event for this
    /// follows.
    MemberReplaced {
        /// Its advertised address.
        peer: SocketAddr,
    },
    /// The others considered this proxy down, and it joined again.
    Rejoined {
        /// Live members known now, without this proxy.
        members: usize,
    },
    /// A verdict was broadcast, by another proxy or by this one.
    VerdictReceived {
        /// The backend's name in discovery's list.
        backend: String,
        /// The verdict, with this proxy's turn; the backend's number in it is not set.
        verdict: PeerVerdict,
    },
    /// A coordination message arrived.
    CoordinationMessage {
        /// The sender's advertised address.
        from: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A member requests a snapshot: [`Membership::send_snapshot`](super::Membership::send_snapshot) sends it one.
    SnapshotRequested {
        /// The member's advertised address.
        from: SocketAddr,
        /// Its number for the transfer.
        nonce: u64,
    },
    /// The requested snapshot is complete.
    SnapshotReceived {
        /// The encoded snapshot.
        bytes: Vec<u8>,
    },
    /// No member sent a snapshot.
    SnapshotUnavailable {
        /// How many members it was requested from.
        requests: u32,
    },
    /// A datagram was rejected; reported at most once a second for each cause.
    DatagramRejected(DatagramError),
    /// A timer of the SWIM implementation, or a rejoin, failed.
    TimerFailed(foca::Error),
    /// Announcing this proxy to a member failed.
    AnnounceFailed {
        /// The member's advertised address.
        to: SocketAddr,
        /// Why.
        error: foca::Error,
    },
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that arrived, rejected ones included.
    pub received: u64,
    /// This proxy's own verdicts that were broadcast.
    pub verdicts_sent: u64,
    /// Others' verdicts that were new.
    pub verdicts_received: u64,
    /// This proxy's own verdicts that could not be broadcast.
    pub verdicts_unsent: u64,
    /// Verdicts that arrived past the maximum age.
    pub verdicts_stale: u64,
    /// Rejected datagrams, by [cause](DatagramError::cause).
    pub rejected: BTreeMap<&'static str, u64>,
}
