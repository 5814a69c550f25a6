//! The tree that a broadcast takes. Its number orders the members by a hash of their addresses, so that no two broadcasts
//! have the same tree.
//!
//! Each proxy that has a broadcast is responsible for the members in a [`HashRange`], the origin for all. It splits its
//! range into as many as its fan-out, and sends the broadcast to the first member of each, which is then responsible for
//! that range.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// To how many others a proxy forwards a broadcast at most.
pub const FAN_OUT: usize = 8;
/// The greatest depth of a tree: with the fan-out, 8 levels reach 16 million proxies.
pub const MAX_HOPS: u8 = 8;

/// The members, by the hash of their addresses, that the receiver of a broadcast is responsible for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The first hash.
    pub first: u32,
    /// The last hash.
    pub last: u32,
    /// How often the broadcast was forwarded so far.
    pub hops: u8,
}

impl HashRange {
    /// All members, at the origin.
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
    /// Of the broadcast with that origin and number.
    pub(super) fn new(incarnation: u64, sent_us: u64) -> MemberOrder {
        MemberOrder {
            salt: mix(incarnation ^ mix(sent_us)),
        }
    }

    /// The hash of a member's address.
    pub(super) fn position(self, member: SocketAddr) -> u32 {
        let ip = match member.ip() {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            IpAddr::V6(ip) => mix(ip.to_bits() as u64) ^ (ip.to_bits() >> 64) as u64,
        };
        let address = mix(ip << 16 | u64::from(member.port()));
        (mix(self.salt ^ address) >> 32) as u32
    }
}

/// The finalizer of SplitMix64: each bit of the input changes half of the bits of the output.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// A member that a broadcast is forwarded to, and the range that it becomes responsible for.
pub(super) struct Child {
    pub(super) member: SocketAddr,
    pub(super) range: HashRange,
}

/// A member in the order of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PositionedMember {
    position: u32,
    member: SocketAddr,
}

/// Splits a range among the `others` in it, [`FAN_OUT`] at most. The ranges leave no gap, as the receiver of one may know
/// members in it that are unknown here.
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
    // A proxy is the first of its range as its sender sees it; members before it are not left to it.
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
