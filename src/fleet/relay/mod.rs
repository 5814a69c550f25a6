//! Broadcasts to all members of the fleet over a tree: each proxy that receives one forwards it to a few others.
//!
//! A state machine without clock, network or threads: [`Relay::originate`] starts a broadcast, [`Relay::accept`] checks a
//! received one, and [`Relay::forward`] says whom it goes to next. A broadcast costs one datagram a member, at most
//! [`FAN_OUT`] of them sent by its origin. It isn't reliable: where the members that proxies know differ, where a member
//! is dead or a datagram gets lost, a part of the tree gets nothing; the next broadcast has another tree.

mod duplicate_filter;
mod tree;

pub use tree::{HashRange, FAN_OUT, MAX_HOPS};

use crate::fleet::message_age::{check_age, AgeError};
use crate::Micros;
use duplicate_filter::DuplicateFilter;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tree::MemberOrder;

/// What precedes the content of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastHeader {
    /// The advertised address of the proxy that originated it; not the sender's, who may have forwarded it.
    pub origin: SocketAddr,
    /// The origin's incarnation, drawn at random at its start.
    pub incarnation: u64,
    /// The origin's wall time in microseconds since 1970, and the broadcast's number: strictly increasing for each
    /// incarnation.
    pub sent_us: u64,
    /// The members that the receiver forwards it to.
    pub range: HashRange,
}

impl BroadcastHeader {
    fn member_order(&self) -> MemberOrder {
        MemberOrder::new(self.incarnation, self.sent_us)
    }
}

/// A broadcast's next receiver, with the header for it.
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
    /// It was forwarded too often.
    #[error("forwarded {0} times, over the {MAX_HOPS} allowed")]
    TooManyHops(u8),
    /// Its range is invalid, or this proxy isn't in it.
    #[error("meant for other members")]
    OutsideRange,
    /// Its origin is no address that can be replied to.
    #[error("from {0}, which is no proxy's address")]
    InvalidOrigin(SocketAddr),
    /// It was received before, or is this proxy's own.
    #[error("received before")]
    Duplicate,
    /// Originated too long ago, or in the future: its time isn't renewed when it is forwarded.
    #[error(transparent)]
    Age(#[from] AgeError),
}

impl BroadcastError {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            BroadcastError::TooManyHops(_) => "hops",
            // The range it was forwarded for is invalid or does not include this proxy.
            BroadcastError::OutsideRange => "astray",
            BroadcastError::InvalidOrigin(_) => "origin",
            BroadcastError::Duplicate => "repeated",
            BroadcastError::Age(error) => error.cause(),
        }
    }
}

/// One proxy's part in the broadcasts of all.
#[derive(Debug)]
pub struct Relay {
    own_address: SocketAddr,
    incarnation: u64,
    max_age: Micros,
    /// When this proxy's latest broadcast was sent.
    last_sent_us: u64,
    received: DuplicateFilter,
}

impl Relay {
    /// For the proxy with that advertised address. `incarnation` is drawn at random at each start; broadcasts older than
    /// `max_age` are rejected.
    pub fn new(own_address: SocketAddr, incarnation: u64, max_age: Micros) -> Relay {
        Relay {
            own_address,
            incarnation,
            max_age,
            last_sent_us: 0,
            received: DuplicateFilter::new(max_age),
        }
    }

    /// The header of a new broadcast at wall time `now_us`, to be [forwarded](Relay::forward) to all.
    pub fn originate(&mut self, now_us: u64) -> BroadcastHeader {
        self.last_sent_us = now_us.max(self.last_sent_us.saturating_add(1));
        BroadcastHeader {
            origin: self.own_address,
            incarnation: self.incarnation,
            sent_us: self.last_sent_us,
            range: HashRange::ALL,
        }
    }

    /// Accepts a broadcast at wall time `now_us`, once; whether it is the newest of its origin so far, and was not
    /// overtaken by a later one.
    ///
    /// # Errors
    /// Why it is neither to be used nor to be forwarded.
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

    /// Whom this proxy sends an accepted broadcast, or one of its own, among the live members that it knows.
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

/// Whether a proxy may have that address.
fn is_unicast(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}
