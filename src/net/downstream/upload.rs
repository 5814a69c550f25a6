//! A client's body as it arrives, with limits on how slowly it may.

use crate::net::observed_stream::PeerMonitor;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// How long a body may take from its head on, besides the time that its bytes are given.
const BASE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Each byte that arrives extends the timeout at this rate: half that of the slowest proper client.
const MIN_BYTES_PER_S: f64 = 32e3;
/// A body of which nothing arrives for so long has stalled, whatever arrived before.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a client's body ended early.
#[derive(Debug, Error)]
pub enum UploadError {
    /// It arrives too slowly, or stopped.
    #[error("the body did not come in time")]
    Slow,
    /// Its connection ended, or its framing is wrong.
    #[error("the body is malformed")]
    Malformed,
}

/// How far a body was forwarded, while hyper owns it.
pub struct UploadProgress {
    last_forwarded_at: Cell<Instant>,
    /// Its last byte was forwarded: from then on the backend may run the request.
    has_ended: Cell<bool>,
    on_end: Cell<Option<Box<dyn FnOnce()>>>,
}

impl UploadProgress {
    fn new() -> UploadProgress {
        UploadProgress {
            last_forwarded_at: Cell::new(Instant::now()),
            has_ended: Cell::new(false),
            on_end: Cell::new(None),
        }
    }

    /// Waits until nothing was forwarded for `timeout`: the backend takes no more. For ever once everything was.
    pub async fn stalled(&self, timeout: Duration) {
        while self.last_forwarded_at.get() + timeout > Instant::now() {
            tokio::time::sleep_until(self.last_forwarded_at.get() + timeout).await;
        }
        if self.has_ended() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether the last byte was forwarded.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Calls `callback` when the last byte is forwarded.
    pub fn on_end(&self, callback: impl FnOnce() + 'static) {
        self.on_end.set(Some(Box::new(callback)));
    }

    fn record_forwarded(&self, now: Instant) {
        self.last_forwarded_at.set(now);
    }

    fn mark_ended(&self) {
        self.has_ended.set(true);
        if let Some(callback) = self.on_end.take() {
            callback();
        }
    }
}

/// A client's body. It fails when it arrives too slowly; time in which nobody reads it does not count.
pub struct Upload {
    /// What was read before the body was known to be long.
    prefix: Option<Bytes>,
    incoming: Incoming,
    /// When it has taken too long, by the bytes that arrived.
    deadline: Instant,
    /// When it was last read from, or a frame last arrived.
    last_active_at: Instant,
    timer: Pin<Box<Sleep>>,
    /// Somebody waits for the next frame.
    has_waiting_reader: bool,
    client: PeerMonitor,
    pub progress: Rc<UploadProgress>,
}

impl Upload {
    /// A body whose time counts from `started_at`.
    pub fn new(incoming: Incoming, client: PeerMonitor, started_at: Instant) -> Upload {
        let deadline = started_at + BASE_TIMEOUT;
        Upload {
            prefix: None,
            incoming,
            deadline,
            last_active_at: Instant::now(),
            timer: Box::pin(tokio::time::sleep_until(deadline)),
            has_waiting_reader: false,
            client,
            progress: Rc::new(UploadProgress::new()),
        }
    }

    /// Gives back what was read from its prefix.
    pub fn put_back(&mut self, prefix: Bytes) {
        self.prefix = Some(prefix);
    }

    /// Its length in bytes, where the client stated one.
    pub fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }

    fn take_prefix(&mut self) -> Option<Bytes> {
        let prefix = self.prefix.take()?;
        self.progress.record_forwarded(Instant::now());
        if self.incoming.is_end_stream() {
            self.progress.mark_ended();
        }
        Some(prefix)
    }

    /// Extends the deadline by the time in which nobody read.
    fn resume(&mut self, now: Instant) {
        if self.has_waiting_reader {
            return;
        }
        let unread_time = now - self.last_active_at;
        self.deadline += unread_time;
        self.last_active_at = now;
        self.has_waiting_reader = true;
    }

    /// Ready once the body has taken too long or stalled.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout_at = self.deadline.min(self.last_active_at + STALL_TIMEOUT);
        if self.timer.deadline() != timeout_at {
            self.timer.as_mut().reset(timeout_at);
        }
        self.timer.as_mut().poll(cx)
    }

    fn frame_arrived(&mut self, frame: &Frame<Bytes>) {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        self.deadline += Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S);
        if self.incoming.is_end_stream() {
            self.progress.mark_ended();
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        if let Some(prefix) = self.take_prefix() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let now = Instant::now();
        self.resume(now);
        let Poll::Ready(next) = Pin::new(&mut self.incoming).poll_frame(cx) else {
            ready!(self.poll_timeout(cx));
            return Poll::Ready(Some(Err(UploadError::Slow)));
        };
        self.last_active_at = now;
        self.has_waiting_reader = false;
        self.progress.record_forwarded(now);
        // The end of a client that left long ago may be read right behind its last byte, which then is not forwarded.
        let is_complete = next.is_none() || self.incoming.is_end_stream();
        if is_complete && self.client.has_closed() {
            return Poll::Ready(Some(Err(UploadError::Malformed)));
        }
        Poll::Ready(match next {
            Some(Ok(frame)) => {
                self.frame_arrived(&frame);
                Some(Ok(frame))
            }
            Some(Err(_)) => Some(Err(UploadError::Malformed)),
            None => {
                self.progress.mark_ended();
                None
            }
        })
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let incoming = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = incoming.upper() {
            hint.set_upper(upper + prefix);
        }
        hint.set_lower(incoming.lower() + prefix);
        hint
    }
}

#[cfg(test)]
mod tests;
