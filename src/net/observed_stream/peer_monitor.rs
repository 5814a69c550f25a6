//! Observes the peer of a stream.

use super::Inner;
use std::rc::Weak;
use tokio::time::Instant;

/// Observes the peer of a stream without keeping the stream open.
pub struct PeerMonitor(pub(super) Weak<Inner>);

impl PeerMonitor {
    /// Returns whether the peer has closed the connection or its sending side, or the stream was dropped here.
    pub fn has_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|inner| inner.has_closed())
    }

    /// Returns whether nothing was read since `since` and a read waits for the peer: it has not sent anything that was
    /// not read before.
    pub fn awaits_input_since(&self, since: Instant) -> bool {
        self.0.upgrade().is_some_and(|inner| {
            inner.is_awaiting_input.get() && inner.last_received_at.get() < since
        })
    }

    /// Returns how many bytes of the peer wait in the kernel.
    pub fn unread_bytes(&self) -> u64 {
        let inner = self.0.upgrade();
        inner.map_or(0, |inner| {
            rustix::io::ioctl_fionread(&inner.tcp).unwrap_or(0)
        })
    }

    /// Returns when a read that had to wait for the peer last got bytes, if it was at `since` or later. The peer sent
    /// them just then.
    pub fn wait_ended_since(&self, since: Instant) -> Option<Instant> {
        let wait_ended_at = self.0.upgrade()?.wait_ended_at.get();
        (wait_ended_at >= since).then_some(wait_ended_at)
    }
}
