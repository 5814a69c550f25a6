//! The datagrams that proxies send each other: their format, their encoding, and the checks on arrival.
//!
//! A datagram is a prefix (magic `SHTP`, version (u8), CRC-32 of the rest (u32, little endian)) and an [`Envelope`] in
//! postcard. [`DatagramSealer`] encodes outgoing ones, [`decode`] and [`ReplayFilter`] check incoming ones. Any other
//! input is rejected with a [`DatagramError`]; nothing here panics on input.

use crate::fleet::message_age::{check_age, AgeError};
use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

const MAGIC: [u8; 4] = *b"SHTP";
/// The version of the datagram format, raised whenever the shape of the envelope or of a body changes.
pub const VERSION: u8 = 3;
/// Magic, version and checksum.
const PREFIX_BYTES: usize = 9;
/// The largest datagram: below the usual path MTU, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The largest body: prefix and envelope take less than the difference to [`MAX_DATAGRAM_BYTES`].
pub const MAX_DATAGRAM_BODY_BYTES: usize = 1300;
/// How many datagrams a [`ReplayFilter`] remembers at most.
const REPLAY_FILTER_DATAGRAMS: usize = 16_384;

/// Identifies a cluster: the first bytes of the BLAKE3 hash of its name.
pub type ClusterId = [u8; 8];

/// The identifier of the cluster with that name.
pub fn cluster_id(name: &str) -> ClusterId {
    let mut id = ClusterId::default();
    id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    id
}

/// What every datagram carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The cluster that the sender belongs to.
    pub cluster: ClusterId,
    /// The sender's advertised address.
    pub from: SocketAddr,
    /// Wall time of sending, microseconds since 1970; strictly increasing for each sender.
    pub sent_us: u64,
    /// The message.
    pub body: Body,
}

/// The message inside a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A SWIM message with its piggybacked membership updates and verdict broadcasts.
    Swim(Vec<u8>),
    /// A new proxy requests a snapshot.
    SnapshotRequest {
        /// The requester's number for the transfer, repeated in each chunk.
        nonce: u64,
    },
    /// A chunk of the requested snapshot.
    SnapshotChunk(SnapshotChunk),
    /// A message of the coordination of leases, windows and configuration, which has a codec of its own.
    Coordination(Vec<u8>),
    /// A digest of the sender's member list: one checksum (u32, little endian) for each bucket of members.
    ListDigest(Vec<u8>),
    /// The sender's members of the buckets whose checksums differed, each in the encoding of the SWIM messages.
    MemberList(Vec<u8>),
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The requester's number for the transfer.
    pub nonce: u64,
    /// The position of this chunk, from 0.
    pub index: u16,
    /// The number of chunks of the snapshot.
    pub count: u16,
    /// The content of this chunk.
    pub bytes: Vec<u8>,
}

/// Why a datagram is rejected.
#[derive(Debug, thiserror::Error)]
pub enum DatagramError {
    /// Larger than allowed.
    #[error("{length} bytes or more, over the {MAX_DATAGRAM_BYTES} allowed")]
    Oversized {
        /// Bytes of the datagram, or of the field in it that is too long.
        length: usize,
    },
    /// Shorter than the prefix.
    #[error("{length} bytes, shorter than any datagram")]
    TooShort {
        /// Bytes of the datagram.
        length: usize,
    },
    /// The magic is missing: not sent by a proxy.
    #[error("not a proxy's datagram")]
    BadMagic,
    /// Another version of the format.
    #[error("version {0}, this program reads {VERSION}")]
    UnsupportedVersion(u8),
    /// The checksum doesn't match the content.
    #[error("the checksum does not match")]
    ChecksumMismatch,
    /// The content doesn't decode.
    #[error("does not decode: {0}")]
    Malformed(#[source] postcard::Error),
    /// From another cluster.
    #[error("from another cluster")]
    ForeignCluster,
    /// Too old, or sent in the future.
    #[error(transparent)]
    Age(#[from] AgeError),
    /// A datagram that was received before.
    #[error("received before")]
    Replayed,
    /// A request from a sender that is no member, or a response that nobody requested.
    #[error("from no member, or not requested")]
    Unsolicited,
    /// A coordination message, while this proxy runs no coordination or its queue is full.
    #[error("a coordination message, with nobody here to take it")]
    Unhandled,
    /// The SWIM implementation rejects it.
    #[error("membership: {0}")]
    Swim(#[source] foca::Error),
}

impl DatagramError {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            DatagramError::Oversized { .. } => "oversized",
            DatagramError::TooShort { .. } => "short",
            DatagramError::BadMagic => "magic",
            DatagramError::UnsupportedVersion(_) => "version",
            DatagramError::ChecksumMismatch => "checksum",
            // The checksum is right, but the body does not decode: look for a faulty or differing program.
            DatagramError::Malformed(_) => "garbled",
            DatagramError::ForeignCluster => "cluster",
            DatagramError::Age(error) => error.cause(),
            DatagramError::Replayed => "replayed",
            // A response that this proxy did not request, or no longer waits for.
            DatagramError::Unsolicited => "unasked",
            // A coordination message that nobody takes here: coordination is not configured, or its queue is full.
            DatagramError::Unhandled => "unheard",
            DatagramError::Swim(_) => "swim",
        }
    }

    /// The error for content that decodes, but not to anything valid.
    pub(super) fn invalid_content() -> DatagramError {
        DatagramError::Malformed(postcard::Error::DeserializeBadEncoding)
    }
}

/// Encodes one proxy's datagrams; whichever thread sends, each gets a later sending time than the one before.
#[derive(Debug)]
pub struct DatagramSealer {
    cluster: ClusterId,
    own_address: SocketAddr,
    last_sent_us: AtomicU64,
}

impl DatagramSealer {
    /// For datagrams within that cluster from `own_address`, the sender's advertised address.
    pub fn new(cluster: ClusterId, own_address: SocketAddr) -> DatagramSealer {
        DatagramSealer {
            cluster,
            own_address,
            last_sent_us: AtomicU64::new(0),
        }
    }

    /// The bytes of a datagram sent at wall time `now_us`, or just after the last one.
    ///
    /// # Errors
    /// Where the body is too large for one datagram.
    pub fn seal(&self, body: Body, now_us: u64) -> Result<Vec<u8>, DatagramError> {
        let next = |last: u64| now_us.max(last.saturating_add(1));
        let last = self
            .last_sent_us
            .fetch_update(Relaxed, Relaxed, |last| Some(next(last)));
        let sent_us = last.map_or(now_us, next);
        encode(&Envelope {
            cluster: self.cluster,
            from: self.own_address,
            sent_us,
            body,
        })
    }
}

/// Encodes an envelope to a datagram.
///
/// # Errors
/// Where the envelope is too large for one datagram.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, DatagramError> {
    let content = postcard::to_stdvec(envelope).map_err(DatagramError::Malformed)?;
    let length = PREFIX_BYTES + content.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversized { length });
    }
    let mut bytes = Vec::with_capacity(length);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Decodes a datagram to its envelope.
///
/// # Errors
/// Why the bytes are no complete datagram of this version.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DatagramError> {
    let length = bytes.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversized { length });
    }
    let (prefix, content) = bytes
        .split_at_checked(PREFIX_BYTES)
        .ok_or(DatagramError::TooShort { length })?;
    if prefix[..4] != MAGIC {
        return Err(DatagramError::BadMagic);
    }
    if prefix[4] != VERSION {
        return Err(DatagramError::UnsupportedVersion(prefix[4]));
    }
    if prefix[5..] != crc32fast::hash(content).to_le_bytes() {
        return Err(DatagramError::ChecksumMismatch);
    }
    match postcard::take_from_bytes(content) {
        Ok((envelope, [])) => Ok(envelope),
        Ok(_) => Err(DatagramError::invalid_content()),
        Err(error) => Err(DatagramError::Malformed(error)),
    }
}

/// Identifies a datagram: sending times strictly increase for each sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DatagramId {
    from: SocketAddr,
    sent_us: u64,
}

/// Accepts each datagram of the cluster once, and none that is older than the maximum age.
#[derive(Debug)]
pub struct ReplayFilter {
    cluster: ClusterId,
    max_age: Micros,
    seen: HashSet<DatagramId>,
    /// The same, in order of arrival.
    arrivals: VecDeque<DatagramId>,
}

impl ReplayFilter {
    /// For datagrams of that cluster which are at most `max_age` old.
    pub fn new(cluster: ClusterId, max_age: Micros) -> ReplayFilter {
        ReplayFilter {
            cluster,
            max_age,
            seen: HashSet::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Checks an envelope at wall time `now_us`, and remembers it if it is accepted.
    ///
    /// # Errors
    /// Why it is rejected.
    pub fn check(&mut self, envelope: &Envelope, now_us: u64) -> Result<(), DatagramError> {
        if envelope.cluster != self.cluster {
            return Err(DatagramError::ForeignCluster);
        }
        check_age(envelope.sent_us, now_us, self.max_age)?;
        self.forget_expired(now_us);
        let id = DatagramId {
            from: envelope.from,
            sent_us: envelope.sent_us,
        };
        if !self.seen.insert(id) {
            return Err(DatagramError::Replayed);
        }
        self.arrivals.push_back(id);
        Ok(())
    }

    /// Forgets datagrams that would be rejected for their age anyway, and the oldest while the filter is full.
    fn forget_expired(&mut self, now_us: u64) {
        while let Some(oldest) = self.arrivals.front().copied() {
            let expired = oldest.sent_us.saturating_add(self.max_age.0) < now_us;
            if !expired && self.arrivals.len() < REPLAY_FILTER_DATAGRAMS {
                break;
            }
            self.arrivals.pop_front();
            self.seen.remove(&oldest);
        }
    }
}
