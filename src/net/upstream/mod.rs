//! The backends' side: one attempt sends one request to one backend.
//!
//! - [`ConnectionPool`]: idle connections by backend, and the bound on all of them.
//! - `connection`: one connection of the pool.
//! - `attempt`: the exchange of a request for a response, see [`ConnectionPool::attempt`].
//! - `response`: what a backend's response says, and how a long one is passed on.

mod attempt;
mod connection;
mod pool;
mod response;
#[cfg(test)]
mod tests;

pub use pool::ConnectionPool;

use crate::net::downstream::response_stream::ResponseStream;
use crate::net::downstream::upload::Upload;
use crate::net::observed_stream::PeerMonitor;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use meadowproxy::{Micros, Outcome};
use std::cell::RefCell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client's request as it is forwarded to backends.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// The client, if it may leave.
    pub client: Option<PeerMonitor>,
}

/// A request's body.
pub enum RequestBody {
    /// Complete in memory: it can be sent more than once.
    Buffered(Bytes),
    /// Too long for that: it is streamed to one backend as it arrives.
    Streaming(StreamedUpload),
}

/// A body that is streamed to the first backend that takes it.
pub struct StreamedUpload {
    source: RefCell<Option<Upload>>,
    /// How long the client waits once it has sent its last byte.
    pub time_left: Micros,
    sent: Notify,
}

impl StreamedUpload {
    /// A body that no backend has taken yet.
    pub fn new(source: Upload, time_left: Micros) -> StreamedUpload {
        StreamedUpload {
            source: RefCell::new(Some(source)),
            time_left,
            sent: Notify::new(),
        }
    }

    /// Waits until its last byte was sent to a backend.
    pub async fn sent(&self) {
        self.sent.notified().await;
    }

    /// Its last byte was sent to a backend.
    pub fn mark_sent(&self) {
        self.sent.notify_one();
    }

    /// Takes the body, unless a backend has it.
    pub fn take(&self) -> Option<Upload> {
        self.source.take()
    }
}

/// A response that is passed on to the client.
pub struct ServedResponse {
    pub headers: HeaderMap,
    pub body: ResponseBody,
}

/// A response's body.
pub enum ResponseBody {
    /// Complete in memory.
    Buffered(Bytes),
    /// Passed on as it arrives.
    Streaming(ResponseStream),
}

/// How an attempt ended.
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The response, if it was served and not streamed: [`Progress::response_started`] has passed on a streamed one.
    pub response: Option<ServedResponse>,
}

impl AttemptResult {
    /// A result with nothing for the client.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            response: None,
        }
    }
}

/// What an attempt asks, and reports to, as it proceeds.
pub trait Progress {
    /// Asked at the moment of the first byte: the backend may have begun to drain while the connection was established.
    fn may_send(&self) -> bool;
    /// Asked right after: when the last byte of a buffered request must be sent, if it must be.
    fn send_deadline(&self) -> Option<Instant>;
    /// A streamed body begins to be sent; it cannot be sent again.
    fn upload_started(&self);
    /// The last byte of a streamed body was sent.
    fn upload_finished(&self);
    /// A streamed response begins.
    fn response_started(&self, response: ServedResponse);
}
