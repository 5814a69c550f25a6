//! Broadcasts to all members of the fleet over a tree: each proxy that receives a broadcast forwards it to a few others.
//!
//! Use it for messages to the whole fleet that need not be reliable. [`Relay::originate`] starts a broadcast,
//! [`Relay::accept`] checks a received one, and [`Relay::forward`] returns its next receivers. The state machine has no
//! clock, network or threads.
//!
//! A broadcast costs one datagram per member, and its origin sends at most [`FAN_OUT`] of them. If a datagram is lost, a
//! member is dead, or proxies have different member lists, part of the tree doesn't receive the broadcast. The next
//! broadcast uses a different tree.

mod duplicate_filter;
mod tree;

pub use tree::{HashRange, FAN_OUT, MAX_HOPS};

use crate::fleet::message_age::{check_age, AgeError};
use crate::Micros;
use duplicate_filter::DuplicateFilter;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tree::MemberOrder;

/// The header of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastHeader {
    /// The advertised address of the proxy that originated the broadcast, which may not be the one that sent the datagram.
    pub origin: SocketAddr,
    /// The origin's incarnation, a random number drawn at its start.
    pub incarnation: u64,
    /// The origin's wall time in microseconds since 1970. It is strictly increasing per incarnation, and serves as the
    /// broadcast's sequence number.
    pub sent_us: u64,
    /// The range of members that the receiver forwards the broadcast to.
    pub range: HashRange,
}

impl BroadcastHeader {
    fn member_order(&self) -> MemberOrder {
        MemberOrder::new(self.incarnation, self.sent_us)
    }
}

/// A receiver of a forwarded broadcast, and the header to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The receiver's advertised address.
    pub to: SocketAddr,
    /// The header to send, with the receiver's range.
    pub header: BroadcastHeader,
}

/// Why a broadcast is rejected.
#[derive(Debug, thiserror::Error)]
pub enum BroadcastError {
    /// The broadcast was forwarded more often than [`MAX_HOPS`].
    #[error("forwarded {0} times, over the limit of {MAX_HOPS}")]
    TooManyHops(u8),
    /// The range is invalid, or doesn't include this proxy.
    #[error("the broadcast's range of members does not include this proxy")]
    OutsideRange,
    /// The origin is not a unicast address with a port.
    #[error("invalid origin {0}: expected a unicast address with a port")]
    InvalidOrigin(SocketAddr),
    /// The broadcast was received before, or is this proxy's own.
    #[error("duplicate: received before, or sent by this proxy")]
    Duplicate,
    /// The broadcast was originated too long ago, or in the future. Forwarding doesn't change its time.
    #[error(transparent)]
    Age(#[from] AgeError),
}

impl BroadcastError {
    /// Returns a stable name of the error for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            BroadcastError::TooManyHops(_) => "hops",
            // The range of the broadcast is invalid or does not include this proxy.
            BroadcastError::OutsideRange => "astray",
            BroadcastError::InvalidOrigin(_) => "origin",
            BroadcastError::Duplicate => "repeated",
            BroadcastError::Age(error) => error.cause(),
        }
    }
}

/// One proxy's state for the broadcasts of the fleet.
#[derive(Debug)]
pub struct Relay {
    own_address: SocketAddr,
    incarnation: u64,
    max_age: Micros,
    /// The [`BroadcastHeader::sent_us`] of this proxy's latest broadcast.
    last_sent_us: u64,
    received: DuplicateFilter,
}

impl Relay {
    /// Creates the relay of the proxy with the advertised address `own_address`. `incarnation` is drawn at random at each
    /// start. Broadcasts older than `max_age` are rejected.
    pub fn new(own_address: SocketAddr, incarnation: u64, max_age: Micros) -> Relay {
        Relay {
            own_address,
            incarnation,
            max_age,
            last_sent_us: 0,
            received: DuplicateFilter::new(max_age),
        }
    }

    /// Returns the header of a new broadcast at wall time `now_us`, for [`Relay::forward`].
    pub fn originate(&mut self, now_us: u64) -> BroadcastHeader {
        self.last_sent_us = now_us.max(self.last_sent_us.saturating_add(1));
        BroadcastHeader {
            origin: self.own_address,
            incarnation: self.incarnation,
            sent_us: self.last_sent_us,
            range: HashRange::ALL,
        }
    }

    /// Accepts a received broadcast at wall time `now_us`. Returns whether it is the newest of its origin so far, that is,
    /// no later one arrived before it.
    ///
    /// # Errors
    /// The broadcast is invalid, a duplicate or too old, and must be neither used nor forwarded.
    pub fn accept(
        &mut self,
        header: &BroadcastHeader,
        now_us: u64,
    ) -> Result<bool, BroadcastError> {
        if header.range.hops > MAX_HOPS {
            return Err(BroadcastError::TooManyHops(header.range.hops));
        }
        if !is_unicast(header.origin) {
            return Err(BroadcastError::InvalidOrigin(header.origin));
        }
        let own_position = header.member_order().position(self.own_address);
        if !header.range.contains(own_position) {
            return Err(BroadcastError::OutsideRange);
        }
        if header.incarnation == self.incarnation {
            return Err(BroadcastError::Duplicate);
        }
        check_age(header.sent_us, now_us, self.max_age)?;
        self.received
            .insert(header.incarnation, header.sent_us, now_us)
            .ok_or(BroadcastError::Duplicate)
    }

    /// Returns the receivers, among the live `members`, that this proxy sends an accepted broadcast or one of its own to.
    pub fn forward(&self, header: &BroadcastHeader, members: &[SocketAddr]) -> Vec<Forward> {
        if header.range.hops >= MAX_HOPS {
            return Vec::new();
        }
        let order = header.member_order();
        let others = members
            .iter()
            .copied()
            .filter(|member| *member != self.own_address && *member != header.origin);
        let own_position = order.position(self.own_address);
        let children = tree::split(header.range, own_position, order, others);
        let forward = |child: tree::Child| Forward {
            to: child.member,
            header: BroadcastHeader {
                range: child.range,
                ..*header
            },
        };
        children.into_iter().map(forward).collect()
    }
}

/// Returns whether the address is a unicast address with a port, as a proxy's has to be.
fn is_unicast(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}
