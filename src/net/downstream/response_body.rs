//! Body of a response as hyper reads it for a client's connection.

use super::response_stream::{ResponseStream, TruncatedResponse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// hyper has taken all of it, or the client has disconnected.
    Finished,
    /// The backend ended it early.
    Truncated,
}

enum Source {
    Buffered(Full<Bytes>),
    Streaming(ResponseStream),
}

/// The body of a response to a client.
pub struct ResponseBody {
    source: Source,
    on_end: Option<Box<dyn FnOnce(BodyEnd)>>,
}

impl ResponseBody {
    /// Creates a body that is complete in memory.
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::new(Source::Buffered(Full::new(bytes)))
    }

    /// Creates a body that is forwarded as it arrives.
    pub fn streaming(stream: ResponseStream) -> ResponseBody {
        ResponseBody::new(Source::Streaming(stream))
    }

    fn new(source: Source) -> ResponseBody {
        ResponseBody {
            source,
            on_end: None,
        }
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
            Source::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
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
        let frame = self.poll_source(cx);
        if matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.end(BodyEnd::Truncated);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(body) => body.is_end_stream(),
            Source::Streaming(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(body) => body.size_hint(),
            Source::Streaming(stream) => stream.size_hint(),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.end(BodyEnd::Finished);
    }
}
