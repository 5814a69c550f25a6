//! The backend-facing side of the proxy: an attempt sends one request to one backend.
//!
//! - [`ConnectionPool`]: idle connections by backend, and the limit on all open connections.
//! - `connection`: one connection of the pool.
//! - `attempt`: sends a request and reads its response, see [`ConnectionPool::attempt`].
//! - `response`: interprets a backend's response, buffers it, and forwards a long one.

mod attempt;
mod connection;
mod pool;
mod response;
#[cfg(test)]
mod tests;

pub use connection::BACKEND_CONNECTION_BYTES;
pub use pool::ConnectionPool;

use crate::net::downstream::response_stream::ResponseStream;
use crate::net::downstream::shutdown_clock::ShutdownClock;
use crate::net::downstream::upload::{Upload, UploadProgress};
use crate::net::observed_stream::PeerMonitor;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use meadowproxy::Outcome;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client's request as it is forwarded to backends.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// What the head takes in memory wherever it is held, in bytes.
    pub head_bytes: usize,
    /// Observes whether the client has disconnected; `None` for a request without a client connection.
    pub client: Option<PeerMonitor>,
}

/// A request's body.
pub enum RequestBody {
    /// Complete in memory, so it can be sent more than once.
    Buffered(Bytes),
    /// Too long to buffer: streamed to one backend as it arrives.
    Streaming(StreamedUpload),
}

/// How long after its time an answer may come without harm, though it is of no use: less than the half second that
/// clients of long uploads are promised.
const MAX_LATE_ANSWER: Duration = Duration::from_millis(350);

/// A body that is streamed to the first backend that takes it.
pub struct StreamedUpload {
    source: RefCell<Option<Upload>>,
    progress: Rc<UploadProgress>,
    /// How long after the body's last byte the request has to be answered.
    time_left: Duration,
    shutdown: Rc<ShutdownClock>,
    sent: Notify,
}

impl StreamedUpload {
    /// Creates a body that no attempt has taken yet. `time_left` is counted from the body's last byte.
    pub fn new(source: Upload, time_left: Duration, shutdown: Rc<ShutdownClock>) -> StreamedUpload {
        source.progress.set_awaits_backend(true);
        StreamedUpload {
            progress: source.progress.clone(),
            source: RefCell::new(Some(source)),
            time_left,
            shutdown,
            sent: Notify::new(),
        }
    }

    /// Returns until when the client waits at least. It moves on whenever the client cannot have sent the last byte yet,
    /// and no longer once that was forwarded. While the client's bytes wait for the proxy or for the backend it stands, as
    /// the last byte may be among them.
    pub fn deadline(&self) -> Instant {
        let completed_at = self.progress.last_byte_sent_after();
        self.shutdown
            .answer_by(completed_at, completed_at + self.time_left)
    }

    /// Returns until when the request has to be answered: the deadline, or later by the time for which the client may
    /// have gone on to send after all, within the time in which a late answer does no harm. A client may rely on it
    /// whatever the backend does.
    pub fn answer_deadline(&self) -> Instant {
        let earliest = self.progress.last_byte_sent_after();
        let latest = self.progress.last_byte_sent_by();
        let uncertainty = (latest - earliest).min(MAX_LATE_ANSWER);
        self.shutdown
            .answer_by(earliest, earliest + self.time_left + uncertainty)
    }

    /// Returns whether the last byte was forwarded to a backend, which may execute the request from then on.
    pub fn has_ended(&self) -> bool {
        self.progress.has_ended()
    }

    /// Returns how far the body was forwarded, for the log.
    pub fn progress(&self) -> &UploadProgress {
        &self.progress
    }

    /// Waits until the last byte was sent to a backend.
    pub async fn sent(&self) {
        self.sent.notified().await;
    }

    /// Records that the last byte was sent to a backend.
    pub fn mark_sent(&self) {
        self.sent.notify_one();
    }

    /// Takes the body; `None` if an attempt has already taken it.
    pub fn take(&self) -> Option<Upload> {
        self.progress.set_awaits_backend(false);
        self.source.take()
    }
}

/// A backend's response that is forwarded to the client.
pub struct ServedResponse {
    pub headers: HeaderMap,
    pub body: ServedBody,
}

/// The body of a backend's response.
pub enum ServedBody {
    /// Complete in memory.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streaming(ResponseStream),
}

/// How an attempt ended.
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The response, if it was served and buffered. A streamed one was handed over by [`Progress::response_started`].
    pub response: Option<ServedResponse>,
}

impl AttemptResult {
    /// Creates a result without a response for the client.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            response: None,
        }
    }
}

/// Callbacks that an attempt queries and notifies as it proceeds.
pub trait Progress {
    /// Returns whether the request may still be sent. Called right before the first byte, as the backend may have begun
    /// to drain while the connection was established.
    fn may_send(&self) -> bool;
    /// Returns the time by which the last byte of a buffered request must be sent, if there is one. Called right before
    /// the first byte.
    fn send_deadline(&self) -> Option<Instant>;
    /// Returns until when a response that has begun must be forwarded, before the request is given up. Called when the
    /// response's head has arrived.
    fn forward_by(&self) -> Option<Instant>;
    /// A streamed body has begun to be sent; it cannot be sent again.
    fn upload_started(&self);
    /// The last byte of a streamed body was sent.
    fn upload_finished(&self);
    /// A streamed response has begun.
    fn response_started(&self, response: ServedResponse);
}
