//! Body of a response as hyper reads it for a client's connection.

use super::response_stream::{ResponseStream, TruncatedResponse};
use crate::net::flush_pacer::{FlushPacer, MAX_PART_BYTES};
use crate::net::memory_budget::Reservation;
use crate::net::observed_stream::ObservedStream;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// hyper has taken all of it, or the client has disconnected.
    Finished,
    /// The backend ended it early.
    Truncated,
}

enum Source {
    Buffered(Bytes),
    Streaming(ResponseStream),
}

/// The body of a response to a client.
pub struct ResponseBody {
    source: Source,
    pacer: Option<FlushPacer>,
    on_end: Option<Box<dyn FnOnce(BodyEnd)>>,
    /// The memory of its request.
    memory: Option<Reservation>,
}

impl ResponseBody {
    /// Creates a body that is complete in memory.
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::new(Source::Buffered(bytes))
    }

    /// Creates a body that is forwarded as it arrives.
    pub fn streaming(stream: ResponseStream) -> ResponseBody {
        ResponseBody::new(Source::Streaming(stream))
    }

    fn new(source: Source) -> ResponseBody {
        ResponseBody {
            source,
            pacer: None,
            on_end: None,
            memory: None,
        }
    }

    /// Keeps a reservation until the body is dropped.
    pub fn keep_memory(&mut self, memory: Reservation) {
        self.memory = Some(memory);
    }

    /// Hands the body over as the client's connection takes it.
    pub fn pace(&mut self, connection: ObservedStream) {
        self.pacer = Some(FlushPacer::new(connection));
    }

    /// Sets a callback that runs once, when the body is truncated or dropped.
    pub fn on_end(&mut self, callback: impl FnOnce(BodyEnd) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    fn end(&mut self, end: BodyEnd) {
        if let Some(callback) = self.on_end.take() {
            callback(end);
        }
    }

    fn poll_source(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut self.source {
            Source::Buffered(body) if body.is_empty() => Poll::Ready(None),
            Source::Buffered(body) => {
                let part = body.split_to(body.len().min(MAX_PART_BYTES));
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Source::Streaming(stream) => Pin::new(stream).poll_frame(cx),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        if let Some(pacer) = &mut self.pacer {
            ready!(pacer.poll_ready(cx));
        }
        let frame = self.poll_source(cx);
        if let (Some(pacer), Poll::Ready(Some(Ok(frame)))) = (&mut self.pacer, &frame) {
            pacer.handed_over(frame.data_ref().map_or(0, Bytes::len));
        }
        if matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.end(BodyEnd::Truncated);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(body) => body.is_empty(),
            Source::Streaming(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            Source::Streaming(stream) => stream.size_hint(),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.end(BodyEnd::Finished);
    }
}
