//! When the bytes of an upload arrived: bounds the time at which the client wrote its last byte.
//!
//! A client that writes faster than the proxy reads has more in its own send buffer than the proxy can observe. It can
//! write a byte only once all but a send buffer of the bytes before have arrived here, which gives the bounds.

use std::collections::VecDeque;
use tokio::time::Instant;

/// The most bytes that a client's kernel holds for a connection: the usual maximum of `tcp_wmem`.
pub const CLIENT_SEND_BUFFER_BYTES: u64 = 4 * 1024 * 1024;
/// Distance between two samples, in bytes.
const SAMPLE_BYTES: u64 = 128 * 1024;

/// That so many bytes of the upload had arrived at a time.
#[derive(Clone, Copy)]
struct Sample {
    bytes: u64,
    at: Instant,
}

/// How many bytes had arrived, sampled over time.
pub struct ArrivalHistory {
    /// In ascending order; at most as many as a send buffer needs, and never empty.
    samples: VecDeque<Sample>,
}

impl ArrivalHistory {
    /// Creates the history of an upload that begins at `at`.
    pub fn new(at: Instant) -> ArrivalHistory {
        ArrivalHistory {
            samples: VecDeque::from([Sample { bytes: 0, at }]),
        }
    }

    /// Returns whether a sample is due when `bytes` have been read.
    pub fn is_sample_due(&self, bytes: u64) -> bool {
        bytes >= self.newest().bytes + SAMPLE_BYTES
    }

    /// Records that `bytes` have arrived.
    pub fn record(&mut self, bytes: u64, at: Instant) {
        if bytes > self.newest().bytes {
            self.samples.push_back(Sample { bytes, at });
        }
        while self.samples.len() > 1 && self.samples[1].bytes + CLIENT_SEND_BUFFER_BYTES < bytes {
            self.samples.pop_front();
        }
    }

    /// Returns a time before which the client cannot have written the byte at position `end`, the last one if the upload
    /// has so many: all but a send buffer of the bytes before it had not arrived.
    pub fn not_written_before(&self, end: u64) -> Instant {
        let needed = end.saturating_sub(CLIENT_SEND_BUFFER_BYTES);
        let not_yet = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.bytes < needed);
        not_yet.unwrap_or(&self.samples[0]).at
    }

    /// Returns when bytes were last seen to have arrived.
    pub fn last_arrival(&self) -> Instant {
        self.newest().at
    }

    fn newest(&self) -> Sample {
        self.samples[self.samples.len() - 1]
    }
}

#[cfg(test)]
mod tests;
