//! Digests of member lists: the members are hashed into buckets by their addresses, and a digest holds one checksum for
//! each bucket.

use crate::fleet::membership::member::Member;
use crate::fleet::membership::swim::SwimNode;
use crate::fleet::membership::wire::DatagramError;
use std::net::SocketAddr;

/// The mean number of members in a bucket. That many fit into one datagram, with a margin for uneven buckets.
const MEMBERS_PER_BUCKET: usize = 48;
/// The maximum number of buckets in a digest.
const MAX_BUCKETS: usize = 256;
/// The size of a bucket's checksum, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// One checksum over the members of each bucket. Equal member lists have equal digests for any number of buckets.
pub(super) struct ListDigest {
    checksums: Vec<u32>,
}

impl ListDigest {
    /// The number of buckets for a list with that many `members`.
    pub(super) fn bucket_count(members: usize) -> usize {
        members.div_ceil(MEMBERS_PER_BUCKET).min(MAX_BUCKETS)
    }

    /// The digest of the live members that this proxy knows, itself included.
    pub(super) fn of(swim: &SwimNode, buckets: usize) -> ListDigest {
        let mut checksums = vec![0u32; buckets];
        let live = swim.live_members().map(foca::Member::id);
        for member in live.chain([swim.identity()]) {
            let sum = &mut checksums[bucket(member.address, buckets)];
            *sum = sum.wrapping_add(checksum(member));
        }
        ListDigest { checksums }
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<ListDigest, DatagramError> {
        let chunks = bytes.chunks_exact(CHECKSUM_BYTES);
        let is_complete = chunks.remainder().is_empty();
        if !is_complete || !(1..=MAX_BUCKETS).contains(&chunks.len()) {
            return Err(DatagramError::invalid_content());
        }
        let checksums = chunks
            .map(|chunk| u32::from_le_bytes([chunk[0], chunk[1], chunk[2], chunk[3]]))
            .collect();
        Ok(ListDigest { checksums })
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        self.checksums
            .iter()
            .flat_map(|checksum| checksum.to_le_bytes())
            .collect()
    }

    pub(super) fn buckets(&self) -> usize {
        self.checksums.len()
    }

    pub(super) fn differs(&self, other: &ListDigest, bucket: usize) -> bool {
        self.checksums[bucket] != other.checksums[bucket]
    }
}

/// The checksum of a member's identity.
pub(super) fn checksum(member: &Member) -> u32 {
    let bytes = postcard::to_stdvec(member).unwrap_or_default(); // an address and a number always encode
    crc32fast::hash(&bytes)
}

/// The bucket of a member. It depends on the address only, so that a later incarnation is in the same bucket.
pub(super) fn bucket(address: SocketAddr, buckets: usize) -> usize {
    let bytes = postcard::to_stdvec(&address).unwrap_or_default();
    crc32fast::hash(&bytes) as usize % buckets
}
