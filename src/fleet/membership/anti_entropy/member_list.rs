//! The encoding of member lists, and the decoding of lists and of feeds, the messages of foca that contain a list.

use crate::fleet::membership::egress_limit::ENVELOPE_BYTES;
use crate::fleet::membership::member::Member;
use crate::fleet::membership::swim::KnownMember;
use crate::fleet::membership::wire::{DatagramError, MAX_DATAGRAM_BODY_BYTES, MAX_DATAGRAM_BYTES};

const _: () = assert!(MAX_DATAGRAM_BODY_BYTES + ENVELOPE_BYTES <= MAX_DATAGRAM_BYTES);

/// Encodes members as lists that each fit into one datagram.
pub(super) fn encode_lists(members: Vec<&KnownMember>) -> Vec<Vec<u8>> {
    let mut lists: Vec<Vec<u8>> = Vec::new();
    for member in members {
        let Ok(bytes) = postcard::to_stdvec(member) else {
            continue;
        };
        match lists.last_mut() {
            Some(list) if list.len() + bytes.len() <= MAX_DATAGRAM_BODY_BYTES => list.extend(bytes),
            _ => lists.push(bytes),
        }
    }
    lists
}

/// Decoded members, and the bytes that follow them.
pub(super) struct DecodedMembers<'a> {
    pub(super) members: Vec<KnownMember>,
    pub(super) rest: &'a [u8],
}

/// Decodes up to `limit` members, each in the encoding of the SWIM messages.
pub(super) fn decode_members(
    bytes: &[u8],
    limit: usize,
) -> Result<DecodedMembers<'_>, DatagramError> {
    let mut members = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() && members.len() < limit {
        let (member, after) = postcard::take_from_bytes(rest).map_err(DatagramError::Malformed)?;
        members.push(member);
        rest = after;
    }
    Ok(DecodedMembers { members, rest })
}

/// A feed, foca's response to an announcement, split into its members and the rest of the message.
pub(super) struct Feed {
    pub(super) members: Vec<KnownMember>,
    /// The message with an empty member list.
    pub(super) without_members: Vec<u8>,
}

impl Feed {
    /// Decodes a message that consists of a header, the number of members (u16, big endian), the members, and custom
    /// broadcasts.
    pub(super) fn decode(message: &[u8]) -> Result<Feed, DatagramError> {
        const NO_MEMBERS: [u8; 2] = 0u16.to_be_bytes();
        let (_, content) = postcard::take_from_bytes::<foca::Header<Member>>(message)
            .map_err(DatagramError::Malformed)?;
        let header = &message[..message.len() - content.len()];
        let decoded = match content.split_first_chunk() {
            Some((count, list)) => {
                let count = u16::from_be_bytes(*count);
                decode_members(list, usize::from(count))?
            }
            None => DecodedMembers {
                members: Vec::new(),
                rest: content,
            },
        };
        Ok(Feed {
            without_members: [header, &NO_MEMBERS, decoded.rest].concat(),
            members: decoded.members,
        })
    }
}
