//! The transfer of a snapshot of learned state from a live member to a new proxy: selects the member to request it
//! from, splits a snapshot into chunks, and reassembles it. The encoding of the snapshot is left to the driver.

use super::event::{MembershipEvent, Output};
use super::wire::{Body, DatagramError, SnapshotChunk, MAX_DATAGRAM_BODY_BYTES};
use crate::interface::Micros;
use std::net::SocketAddr;

/// The time that a member has to send its snapshot before the snapshot is requested from another member.
pub(super) const REQUEST_TIMEOUT: Micros = Micros(500_000);
/// The maximum number of requests for a snapshot, each to one member.
const MAX_REQUESTS: u32 = 3;
/// The maximum number of chunks of a snapshot.
const MAX_CHUNKS: usize = 128;
/// The size of every chunk but the last, in bytes.
const CHUNK_BYTES: usize = 1200;

/// The error for a snapshot that is too large to be sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{length} bytes exceed the maximum of {} bytes", MAX_CHUNKS * CHUNK_BYTES)]
pub struct SnapshotTooLarge {
    /// The size of the snapshot, in bytes.
    pub length: usize,
}

/// Splits a snapshot into the chunks to send as the transfer with the number `nonce`.
///
/// # Errors
/// If the snapshot is too large.
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

/// A transfer that is not complete yet.
struct PendingTransfer {
    /// The number of the latest request; chunks sent in response to an earlier one are rejected.
    nonce: u64,
    requests_left: u32,
    /// The chunks received so far, by index; empty until the first one arrives.
    chunks: Vec<Option<Vec<u8>>>,
}

impl SnapshotTransfer {
    /// The state of a proxy that needs no snapshot.
    pub(super) fn idle() -> SnapshotTransfer {
        SnapshotTransfer { pending: None }
    }

    /// The state of a proxy that needs a snapshot. Its requests are numbered from `nonce + 1`.
    pub(super) fn wanted(nonce: u64) -> SnapshotTransfer {
        SnapshotTransfer {
            pending: Some(PendingTransfer {
                nonce,
                requests_left: MAX_REQUESTS,
                chunks: Vec::new(),
            }),
        }
    }

    /// Requests the snapshot from the next of the live members, or gives up after [`MAX_REQUESTS`]. To be called once
    /// per [`REQUEST_TIMEOUT`].
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

    /// Stores a chunk of the requested snapshot, and returns the snapshot if it is complete.
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
    /// Stores a chunk, and returns the snapshot if it is complete.
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
