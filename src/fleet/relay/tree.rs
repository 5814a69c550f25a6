//! The tree of receivers of a broadcast. The members are ordered by a hash of their address and the broadcast's number, so
//! that each broadcast has a different tree.
//!
//! Each proxy that receives a broadcast is responsible for the members in a [`HashRange`]; the origin is responsible for
//! all. A proxy splits its range into at most [`FAN_OUT`] ranges, and sends the broadcast to the first member of each, which
//! is then responsible for that range.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The maximum number of receivers that a proxy forwards a broadcast to.
pub const FAN_OUT: usize = 8;
/// The maximum depth of a tree: at [`FAN_OUT`] receivers per proxy, 8 levels reach 16 million proxies.
pub const MAX_HOPS: u8 = 8;

/// The range of address hashes whose members the receiver of a broadcast is responsible for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The first hash in the range.
    pub first: u32,
    /// The last hash in the range.
    pub last: u32,
    /// The number of times that the broadcast was forwarded so far.
    pub hops: u8,
}

impl HashRange {
    /// The range of all members, for the origin.
    pub(super) const ALL: HashRange = HashRange {
        first: 0,
        last: u32::MAX,
        hops: 0,
    };

    pub(super) fn contains(&self, position: u32) -> bool {
        (self.first..=self.last).contains(&position)
    }
}

/// The order of the members for one broadcast.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberOrder {
    salt: u64,
}

impl MemberOrder {
    /// Creates the order of the broadcast with this origin incarnation and `sent_us`.
    pub(super) fn new(incarnation: u64, sent_us: u64) -> MemberOrder {
        MemberOrder {
            salt: mix(incarnation ^ mix(sent_us)),
        }
    }

    /// Returns the hash of a member's address in this order.
    pub(super) fn position(self, member: SocketAddr) -> u32 {
        let ip = match member.ip() {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            IpAddr::V6(ip) => mix(ip.to_bits() as u64) ^ (ip.to_bits() >> 64) as u64,
        };
        let address = mix(ip << 16 | u64::from(member.port()));
        (mix(self.salt ^ address) >> 32) as u32
    }
}

/// The finalizer of SplitMix64: changing one bit of the input changes about half of the bits of the output.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// A member that a broadcast is forwarded to, and the range that the member is responsible for.
pub(super) struct Child {
    pub(super) member: SocketAddr,
    pub(super) range: HashRange,
}

/// A member and its hash in the order of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PositionedMember {
    position: u32,
    member: SocketAddr,
}

/// Splits a range among at most [`FAN_OUT`] of the `others` in it. The resulting ranges leave no gap, because a receiver may
/// know members that this proxy doesn't.
pub(super) fn split(
    range: HashRange,
    own_position: u32,
    order: MemberOrder,
    others: impl Iterator<Item = SocketAddr>,
) -> Vec<Child> {
    let mut members: Vec<PositionedMember> = others
        .map(|member| PositionedMember {
            position: order.position(member),
            member,
        })
        .filter(|other| range.contains(other.position))
        .collect();
    members.sort_unstable();
    let Some(first_member) = members.first() else {
        return Vec::new();
    };
    // A receiver is the first member of its range that its sender knows, so it isn't responsible for hashes before its own.
    let is_first = range.hops > 0 && own_position < first_member.position;
    let mut first = if is_first {
        own_position + 1
    } else {
        range.first
    };
    let mut groups = members.chunks(members.len().div_ceil(FAN_OUT)).peekable();
    let mut children = Vec::new();
    while let Some(group) = groups.next() {
        let next_first = groups.peek().map(|next| next[0].position);
        let last = next_first.map_or(range.last, |next| next.saturating_sub(1).max(first));
        children.push(Child {
            member: group[0].member,
            range: HashRange {
                first,
                last,
                hops: range.hops + 1,
            },
        });
        first = next_first.unwrap_or(first);
    }
    children
}
