//! Body of a streamed response: a channel from the task that reads the backend to the client's connection.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// Maximum number of chunks buffered between the two connections.
const CHANNEL_CAPACITY: usize = 1;

/// The backend ended a streamed response before its last byte.
#[derive(Debug, Error)]
#[error("the backend ended the response before its last byte")]
pub struct TruncatedResponse;

/// A message from the reader of the backend's connection. Dropping the sender without sending [`ResponseChunk::End`]
/// marks the response as truncated.
pub enum ResponseChunk {
    Data(Bytes),
    End,
}

/// The body of a streamed response.
pub struct ResponseStream {
    chunks: mpsc::Receiver<ResponseChunk>,
    bytes_left: Option<u64>,
}

impl ResponseStream {
    /// Creates a stream and its sender. `length` is the body's size in bytes, if known.
    pub fn new(length: Option<u64>) -> (mpsc::Sender<ResponseChunk>, ResponseStream) {
        let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
        let stream = ResponseStream {
            chunks,
            bytes_left: length,
        };
        (sender, stream)
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Poll::Ready(match ready!(self.chunks.poll_recv(cx)) {
            Some(ResponseChunk::Data(data)) => {
                let length = data.len() as u64;
                self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(length));
                Some(Ok(Frame::data(data)))
            }
            Some(ResponseChunk::End) => None,
            None => Some(Err(TruncatedResponse)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.bytes_left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_left
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
