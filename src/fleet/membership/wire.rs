//! The datagrams that proxies send each other: their format, encoding and validation.
//!
//! A datagram consists of a prefix (magic `SHTP`, version (u8), CRC-32 of the rest (u32, little endian)) and an
//! [`Envelope`] in postcard encoding. [`DatagramSealer`] encodes outgoing datagrams; [`decode`] and [`ReplayFilter`]
//! validate incoming ones. Invalid input is rejected with a [`DatagramError`] and never causes a panic.

use crate::fleet::message_age::{check_age, AgeError};
use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

const MAGIC: [u8; 4] = *b"SHTP";
/// The version of the datagram format. It has to be raised with every change of the envelope or of a body.
pub const VERSION: u8 = 3;
/// The size of the prefix, in bytes: magic, version and checksum.
const PREFIX_BYTES: usize = 9;
/// The maximum size of a datagram, in bytes: below the usual path MTU, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The maximum size of a body, in bytes. Prefix and envelope take less than the difference to [`MAX_DATAGRAM_BYTES`].
pub const MAX_DATAGRAM_BODY_BYTES: usize = 1300;
/// The maximum number of datagrams that a [`ReplayFilter`] remembers.
const REPLAY_FILTER_DATAGRAMS: usize = 16_384;

/// The identifier of a cluster: the first 8 bytes of the BLAKE3 hash of its name.
pub type ClusterId = [u8; 8];

/// The identifier of the cluster with that name.
pub fn cluster_id(name: &str) -> ClusterId {
    let mut id = ClusterId::default();
    id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    id
}

/// The content of a datagram: a message with its sender and the time of sending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The cluster that the sender belongs to.
    pub cluster: ClusterId,
    /// The sender's advertised address.
    pub from: SocketAddr,
    /// Wall time of sending, in microseconds since 1970; strictly increasing for each sender.
    pub sent_us: u64,
    /// The message.
    pub body: Body,
}

/// The message inside a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A SWIM message with its piggybacked membership updates and verdict broadcasts.
    Swim(Vec<u8>),
    /// A request of a new proxy for a snapshot.
    SnapshotRequest {
        /// The number that the requester chose for the transfer; it is repeated in each chunk.
        nonce: u64,
    },
    /// A chunk of the requested snapshot.
    SnapshotChunk(SnapshotChunk),
    /// A message of the coordination of leases, windows and configuration, in its own encoding.
    Coordination(Vec<u8>),
    /// A digest of the sender's member list: one checksum (u32, little endian) for each bucket of members.
    ListDigest(Vec<u8>),
    /// The sender's members of the buckets whose checksums differed, each in the encoding of the SWIM messages.
    MemberList(Vec<u8>),
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The number that the requester chose for the transfer.
    pub nonce: u64,
    /// The index of this chunk, from 0.
    pub index: u16,
    /// The number of chunks of the snapshot.
    pub count: u16,
    /// The content of this chunk.
    pub bytes: Vec<u8>,
}

/// The reason why a datagram is rejected.
#[derive(Debug, thiserror::Error)]
pub enum DatagramError {
    /// The datagram, or a field in it, is too large.
    #[error("size of at least {length} bytes, the maximum is {MAX_DATAGRAM_BYTES} bytes")]
    Oversized {
        /// The size of the datagram or of the field, in bytes.
        length: usize,
    },
    /// The datagram is shorter than the prefix.
    #[error("size of {length} bytes, the minimum is {PREFIX_BYTES} bytes")]
    TooShort {
        /// The size of the datagram, in bytes.
        length: usize,
    },
    /// The magic is missing: the datagram was not sent by a proxy.
    #[error("magic bytes are missing, not a datagram of a proxy")]
    BadMagic,
    /// The datagram has another version of the format.
    #[error("unsupported datagram version {0}, expected version {VERSION}")]
    UnsupportedVersion(u8),
    /// The checksum doesn't match the content.
    #[error("checksum does not match the content")]
    ChecksumMismatch,
    /// The content doesn't decode.
    #[error("malformed content: {0}")]
    Malformed(#[source] postcard::Error),
    /// The sender belongs to another cluster.
    #[error("sender belongs to another cluster")]
    ForeignCluster,
    /// The datagram is too old or was sent in the future.
    #[error(transparent)]
    Age(#[from] AgeError),
    /// The datagram was received before.
    #[error("datagram was received before")]
    Replayed,
    /// A request from a sender that is not a live member, or a response that was not requested.
    #[error("sender is not a live member, or the response was not requested")]
    Unsolicited,
    /// A coordination message that cannot be processed: coordination is not configured here, or its queue is full.
    #[error("coordination message dropped: coordination is not configured or its queue is full")]
    Unhandled,
    /// The SWIM implementation rejected the message.
    #[error("SWIM message rejected: {0}")]
    Swim(#[source] foca::Error),
}

impl DatagramError {
    /// A stable name of the cause, for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            DatagramError::Oversized { .. } => "oversized",
            DatagramError::TooShort { .. } => "short",
            DatagramError::BadMagic => "magic",
            DatagramError::UnsupportedVersion(_) => "version",
            DatagramError::ChecksumMismatch => "checksum",
            // The checksum matches, but the content does not decode: the sender runs a faulty or incompatible program.
            DatagramError::Malformed(_) => "garbled",
            DatagramError::ForeignCluster => "cluster",
            DatagramError::Age(error) => error.cause(),
            DatagramError::Replayed => "replayed",
            // A request of an unknown sender, or a response that this proxy did not request or no longer waits for.
            DatagramError::Unsolicited => "unasked",
            // A coordination message, while coordination is not configured or its queue is full.
            DatagramError::Unhandled => "unheard",
            DatagramError::Swim(_) => "swim",
        }
    }

    /// The error for content that decodes to an invalid value.
    pub(super) fn invalid_content() -> DatagramError {
        DatagramError::Malformed(postcard::Error::DeserializeBadEncoding)
    }
}

/// Encodes one proxy's datagrams, with strictly increasing sending times. It can be shared between threads.
#[derive(Debug)]
pub struct DatagramSealer {
    cluster: ClusterId,
    own_address: SocketAddr,
    last_sent_us: AtomicU64,
}

impl DatagramSealer {
    /// Creates a sealer for datagrams to proxies of `cluster`. `own_address` is the sender's advertised address.
    pub fn new(cluster: ClusterId, own_address: SocketAddr) -> DatagramSealer {
        DatagramSealer {
            cluster,
            own_address,
            last_sent_us: AtomicU64::new(0),
        }
    }

    /// Encodes a datagram with `now_us`, or 1 us after the previous one if that is later, as its wall time of sending.
    ///
    /// # Errors
    /// If the body is too large for one datagram.
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

/// Encodes an envelope as a datagram.
///
/// # Errors
/// If the envelope is too large for one datagram.
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

/// Decodes the envelope of a datagram.
///
/// # Errors
/// If the bytes are not a complete, unchanged datagram of this version.
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

/// The identity of a datagram, which is unique because the sending times of each sender strictly increase.
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
    /// The elements of `seen` in the order of arrival.
    arrivals: VecDeque<DatagramId>,
}

impl ReplayFilter {
    /// Creates a filter that accepts datagrams of `cluster` which are at most `max_age` old.
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
    /// If it belongs to another cluster, is too old or from the future, or was received before.
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

    /// Removes datagrams that would be rejected for their age anyway, and the oldest ones while the filter is full.
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
