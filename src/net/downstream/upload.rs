//! A client's request body, read with timeouts for slow and stalled uploads.
//!
//! [`Upload`] is the body; [`UploadProgress`] observes how far it was forwarded while hyper owns it.

use super::arrival_history::{ArrivalHistory, CLIENT_SEND_BUFFER_BYTES};
use crate::net::flush_pacer::FlushPacer;
use crate::net::observed_stream::{ObservedStream, PeerMonitor};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// Base of a body's timeout, counted from the request's head; each byte extends it.
const BASE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Each received byte extends the timeout at this rate, which is half that of the slowest well-behaved client.
const MIN_BYTES_PER_S: f64 = 32e3;
/// A body fails if nothing of it arrives for this time, however much arrived before.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a client's body ended early. The texts are sent to the client.
#[derive(Debug, Error)]
pub enum UploadError {
    /// It arrives too slowly, or has stalled.
    #[error("the body did not come in time")]
    Slow,
    /// Its connection ended, or its framing is invalid.
    #[error("the body is malformed")]
    Malformed,
}

/// How far a body was forwarded. Shared with the attempt, as hyper owns the body while it is sent.
pub struct UploadProgress {
    client: PeerMonitor,
    /// Since when a reader waits for the next frame; `None` while nothing reads the body.
    waiting_since: Cell<Option<Instant>>,
    /// When a frame last arrived for which the client had been waited for.
    caught_up_at: Cell<Instant>,
    /// The body's length in bytes, if the client stated one.
    length: Cell<Option<u64>>,
    arrivals: RefCell<ArrivalHistory>,
    bytes_forwarded: Cell<u64>,
    last_forwarded_at: Cell<Instant>,
    /// The request waits for a backend, and nothing reads the body.
    awaits_backend: Cell<bool>,
    /// The last byte was forwarded: from then on the backend may execute the request.
    has_ended: Cell<bool>,
    on_end: Cell<Option<Box<dyn FnOnce()>>>,
}

impl UploadProgress {
    fn new(client: PeerMonitor) -> UploadProgress {
        UploadProgress {
            client,
            waiting_since: Cell::new(None),
            caught_up_at: Cell::new(Instant::now()),
            length: Cell::new(None),
            arrivals: RefCell::new(ArrivalHistory::new(Instant::now())),
            bytes_forwarded: Cell::new(0),
            last_forwarded_at: Cell::new(Instant::now()),
            awaits_backend: Cell::new(false),
            has_ended: Cell::new(false),
            on_end: Cell::new(None),
        }
    }

    /// Returns the latest time that is known to be before the client sent the body's last byte: the last time at which
    /// the proxy waited for the client, or at which the client's send buffer had no room for that byte.
    pub fn last_byte_sent_after(&self) -> Instant {
        self.last_wait_for_client().max(self.last_lack_of_room())
    }

    /// Returns a time by which the client has sent the body's last byte if its bytes have ceased to arrive, see
    /// [`UploadProgress::last_byte_sent_after`].
    pub fn last_byte_sent_by(&self) -> Instant {
        let last_arrival = self.arrivals.borrow().last_arrival();
        last_arrival.max(self.last_byte_sent_after())
    }

    /// Returns the last time at which the proxy waited for the client. As long as the client's bytes wait for the proxy,
    /// the last byte may be among them, also where it cannot be observed from here, such as in buffers of the client's
    /// machine.
    fn last_wait_for_client(&self) -> Instant {
        let caught_up_at = self.caught_up_at.get();
        let Some(waiting_since) = self.waiting_since.get() else {
            return caught_up_at;
        };
        if self.client.awaits_input_since(waiting_since) {
            return Instant::now();
        }
        // The next frame may have been read, and not have reached its reader yet.
        let wait_ended_at = self.client.wait_ended_since(waiting_since);
        wait_ended_at.unwrap_or(caught_up_at)
    }

    /// Returns the last time at which the client's send buffer cannot have had room for the body's last byte.
    fn last_lack_of_room(&self) -> Instant {
        let now = Instant::now();
        let received = self.bytes_forwarded.get();
        if self.has_ended() {
            return self.arrivals.borrow().not_written_before(received);
        }
        let arrived = received + self.client.unread_bytes();
        self.arrivals.borrow_mut().record(arrived, now);
        match self.length.get() {
            Some(length) if arrived + CLIENT_SEND_BUFFER_BYTES < length => now,
            length => self
                .arrivals
                .borrow()
                .not_written_before(length.unwrap_or(arrived)),
        }
    }

    /// Waits until nothing has been forwarded for `timeout`, as the backend no longer reads. Never returns once the
    /// whole body was forwarded.
    pub async fn stalled(&self, timeout: Duration) {
        while self.last_forwarded_at.get() + timeout > Instant::now() {
            tokio::time::sleep_until(self.last_forwarded_at.get() + timeout).await;
        }
        if self.has_ended() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the request waits for a backend to send the body to.
    pub fn awaits_backend(&self) -> bool {
        self.awaits_backend.get()
    }

    /// Records whether the request waits for a backend to send the body to.
    pub fn set_awaits_backend(&self, awaits_backend: bool) {
        self.awaits_backend.set(awaits_backend);
    }

    /// Returns whether the last byte was forwarded.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Sets a callback that runs when the last byte is forwarded.
    pub fn on_end(&self, callback: impl FnOnce() + 'static) {
        self.on_end.set(Some(Box::new(callback)));
    }

    fn reader_waits(&self, now: Instant) {
        if self.waiting_since.get().is_none() {
            self.waiting_since.set(Some(now));
        }
    }

    fn record_forwarded(&self, now: Instant) {
        let waiting_since = self.waiting_since.take();
        let wait_ended_at = waiting_since.and_then(|since| self.client.wait_ended_since(since));
        if let Some(wait_ended_at) = wait_ended_at {
            self.caught_up_at.set(wait_ended_at);
        }
        self.last_forwarded_at.set(now);
    }

    fn add_bytes(&self, bytes: usize) {
        let total = self.bytes_forwarded.get() + bytes as u64;
        self.bytes_forwarded.set(total);
        if self.arrivals.borrow().is_sample_due(total) {
            let arrived = total + self.client.unread_bytes();
            self.arrivals.borrow_mut().record(arrived, Instant::now());
        }
    }

    fn mark_ended(&self) {
        self.has_ended.set(true);
        if let Some(callback) = self.on_end.take() {
            callback();
        }
    }
}

impl fmt::Display for UploadProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unforwarded_time = self.last_forwarded_at.get().elapsed();
        let unread_time = self.last_byte_sent_after().elapsed();
        write!(
            f,
            "{} bytes forwarded, the last of them {} ms ago, last waited for the client {} ms ago",
            self.bytes_forwarded.get(),
            unforwarded_time.as_millis(),
            unread_time.as_millis()
        )
    }
}

/// A client's request body. Reading fails if it arrives too slowly; time in which nothing reads it does not count.
pub struct Upload {
    /// Bytes that were read before the body was known to be too long to buffer.
    prefix: Option<Bytes>,
    incoming: Incoming,
    /// When it will have taken too long, given the bytes received so far.
    deadline: Instant,
    /// When reading last resumed, or the last frame arrived.
    last_active_at: Instant,
    timer: Pin<Box<Sleep>>,
    /// A reader waits for the next frame.
    has_waiting_reader: bool,
    pacer: Option<FlushPacer>,
    pub progress: Rc<UploadProgress>,
}

impl Upload {
    /// Creates an upload whose timeout starts at `started_at`.
    pub fn new(incoming: Incoming, client: PeerMonitor, started_at: Instant) -> Upload {
        let deadline = started_at + BASE_TIMEOUT;
        let progress = UploadProgress::new(client);
        progress.length.set(incoming.size_hint().exact());
        Upload {
            prefix: None,
            incoming,
            deadline,
            last_active_at: Instant::now(),
            timer: Box::pin(tokio::time::sleep_until(deadline)),
            has_waiting_reader: false,
            pacer: None,
            progress: Rc::new(progress),
        }
    }

    /// Hands the body over as the backend's connection takes it.
    pub fn pace(&mut self, connection: ObservedStream) {
        self.pacer = Some(FlushPacer::new(connection));
    }

    /// Puts back the bytes that were read from the start of the body.
    pub fn put_back(&mut self, prefix: Bytes) {
        self.prefix = Some(prefix);
    }

    /// Returns the body's length in bytes, if the client stated one.
    pub fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }

    fn take_prefix(&mut self) -> Option<Bytes> {
        let prefix = self.prefix.take()?;
        self.progress.record_forwarded(Instant::now());
        self.progress.add_bytes(prefix.len());
        if let Some(pacer) = &mut self.pacer {
            pacer.handed_over(prefix.len());
        }
        if self.incoming.is_end_stream() {
            self.progress.mark_ended();
        }
        Some(prefix)
    }

    /// Extends the deadline by the time in which nothing read the body.
    fn resume(&mut self, now: Instant) {
        if self.has_waiting_reader {
            return;
        }
        let unread_time = now - self.last_active_at;
        self.deadline += unread_time;
        self.last_active_at = now;
        self.has_waiting_reader = true;
    }

    /// Is ready once the body has taken too long or has stalled.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timeout_at = self.deadline.min(self.last_active_at + STALL_TIMEOUT);
        if self.timer.deadline() != timeout_at {
            self.timer.as_mut().reset(timeout_at);
        }
        self.timer.as_mut().poll(cx)
    }

    fn frame_arrived(&mut self, frame: &Frame<Bytes>) {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        self.progress.add_bytes(bytes);
        if let Some(pacer) = &mut self.pacer {
            pacer.handed_over(bytes);
        }
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
        if let Some(pacer) = &mut self.pacer {
            ready!(pacer.poll_ready(cx));
        }
        if let Some(prefix) = self.take_prefix() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let now = Instant::now();
        self.resume(now);
        let Poll::Ready(next) = Pin::new(&mut self.incoming).poll_frame(cx) else {
            self.progress.reader_waits(now);
            ready!(self.poll_timeout(cx));
            return Poll::Ready(Some(Err(UploadError::Slow)));
        };
        self.last_active_at = now;
        self.has_waiting_reader = false;
        self.progress.record_forwarded(now);
        // A client's disconnect may have arrived long ago but be read only now, right behind the body's last byte. The
        // last byte is then not forwarded, so that the backend does not execute the request.
        let is_complete = next.is_none() || self.incoming.is_end_stream();
        if is_complete && self.progress.client.has_closed() {
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
