//! Limits how much of a body hyper buffers: the next part is handed over once the parts before were written.
//!
//! hyper takes a body's frames up to its own, larger, limit while the peer does not read. With hundreds of slow peers that
//! is most of the process's memory.

use crate::net::observed_stream::ObservedStream;
use std::task::{Context, Poll};

/// No part of a body is handed over while as many bytes of those before are not written. Small parts are still written
/// together.
const MAX_UNFLUSHED_BYTES: usize = 1024;
/// Longest part into which a body should be split, in bytes: with what may be unwritten before it, it fits into the buffer
/// of 8 KiB that hyper has from the start.
pub const MAX_PART_BYTES: usize = 7 * 1024;

/// Paces the frames of a body that hyper writes to a stream.
pub struct FlushPacer {
    stream: ObservedStream,
    unflushed_bytes: usize,
}

impl FlushPacer {
    /// Creates the pacer of a body that is written to `stream`.
    pub fn new(stream: ObservedStream) -> FlushPacer {
        FlushPacer {
            stream,
            unflushed_bytes: 0,
        }
    }

    /// Is ready once the next frame may be handed over.
    pub fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.unflushed_bytes < MAX_UNFLUSHED_BYTES {
            return Poll::Ready(());
        }
        let flushed = self.stream.poll_flushed(cx);
        if flushed.is_ready() {
            self.unflushed_bytes = 0;
        }
        flushed
    }

    /// Records that a frame of `bytes` was handed over.
    pub fn handed_over(&mut self, bytes: usize) {
        self.unflushed_bytes += bytes;
        self.stream.expect_flush();
    }
}
