//! The transfer of a snapshot of learned state from a live member to a new proxy: whom it is requested from, and the
//! chunks that it arrives in. The content is the driver's.

use super::event::{MembershipEvent, Output};
use super::wire::{Body, DatagramError, SnapshotChunk, MAX_DATAGRAM_BODY_BYTES};
use crate::interface::Micros;
use std::net::SocketAddr;

/// How long a member has to send its snapshot before it is requested from another one.
pub(super) const REQUEST_TIMEOUT: Micros = Micros(500_000);
/// How many members the snapshot is requested from.
const MAX_REQUESTS: u32 = 3;
const MAX_CHUNKS: usize = 128;
const CHUNK_BYTES: usize = 1200;

/// A snapshot is too large to be sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{length} bytes, over the {} allowed", MAX_CHUNKS * CHUNK_BYTES)]
pub struct SnapshotTooLarge {
    /// Bytes of the snapshot.
    pub length: usize,
}

/// Splits a snapshot into the chunks to send.
///
/// # Errors
/// Where the snapshot is too large.
pub(super) fn chunks(
    nonce: u64,
    snapshot: &[u8],
) -> Result<impl Iterator<Item = Body> + '_, SnapshotTooLarge> {
    let chunks = snapshot.chunks(CHUNK_BYTES);
    let count = chunks.len();
    if count > MAX_CHUNKS {
        let length = snapshot.len();
        return Err(SnapshotTooLarge { length });
    }
    Ok(chunks.enumerate().map(move |(index, chunk)| {
        Body::SnapshotChunk(SnapshotChunk {
            nonce,
            index: index as u16,
            count: count as u16,
            bytes: chunk.to_vec(),
        })
    }))
}

/// The requesting side of a transfer.
pub(super) struct SnapshotTransfer {
    pending: Option<PendingTransfer>,
}

struct PendingTransfer {
    /// The number of the latest request; chunks that answer an earlier one are rejected.
    nonce: u64,
    requests_left: u32,
    /// The chunks received so far, in their places; empty until the first one.
    chunks: Vec<Option<Vec<u8>>>,
}

impl SnapshotTransfer {
    /// No snapshot is wanted.
    pub(super) fn idle() -> SnapshotTransfer {
        SnapshotTransfer { pending: None }
    }

    /// A snapshot is wanted; requests are numbered from just above `nonce`.
    pub(super) fn wanted(nonce: u64) -> SnapshotTransfer {
        SnapshotTransfer {
            pending: Some(PendingTransfer {
                nonce,
                requests_left: MAX_REQUESTS,
                chunks: Vec::new(),
            }),
        }
    }

    /// Requests the snapshot from the next of the live members, or gives up after [`MAX_REQUESTS`]. To be called each
    /// [`REQUEST_TIMEOUT`].
    pub(super) fn request(&mut self, live_members: &[SocketAddr]) -> Option<Output> {
        let pending = self.pending.as_mut()?;
        if live_members.is_empty() {
            return None;
        }
        if pending.requests_left == 0 {
            self.pending = None;
            return Some(Output::Event(MembershipEvent::SnapshotUnavailable {
                requests: MAX_REQUESTS,
            }));
        }
        pending.requests_left -= 1;
        pending.nonce += 1;
        pending.chunks.clear();
        let nonce = pending.nonce;
        Some(Output::Send {
            to: live_members[nonce as usize % live_members.len()],
            body: Body::SnapshotRequest { nonce },
        })
    }

    /// Takes a chunk of the requested snapshot; the snapshot once it is complete.
    pub(super) fn receive_chunk(
        &mut self,
        chunk: SnapshotChunk,
    ) -> Result<Option<Vec<u8>>, DatagramError> {
        let pending = self
            .pending
            .as_mut()
            .filter(|pending| pending.nonce == chunk.nonce)
            .ok_or(DatagramError::Unsolicited)?;
        let snapshot = pending.insert(chunk)?;
        if snapshot.is_some() {
            self.pending = None;
        }
        Ok(snapshot)
    }
}

impl PendingTransfer {
    fn insert(&mut self, chunk: SnapshotChunk) -> Result<Option<Vec<u8>>, DatagramError> {
        let index = usize::from(chunk.index);
        let count = usize::from(chunk.count);
        if self.chunks.is_empty() && count <= MAX_CHUNKS {
            self.chunks.resize(count, None);
        }
        let fits = self.chunks.len() == count && index < count;
        if !fits || chunk.bytes.len() > MAX_DATAGRAM_BODY_BYTES {
            return Err(DatagramError::Unsolicited);
        }
        self.chunks[index] = Some(chunk.bytes);
        let complete: Option<Vec<Vec<u8>>> = self.chunks.iter().cloned().collect();
        Ok(complete.map(|chunks| chunks.concat()))
    }
}
