//! Body of a streamed response: a channel from the task that reads the backend to the client's connection.

use crate::net::flush_pacer::MAX_PART_BYTES;
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
    /// The rest of a chunk that is longer than the parts it is handed over in.
    current: Bytes,
    bytes_left: Option<u64>,
}

impl ResponseStream {
    /// Creates a stream and its sender. `length` is the body's size in bytes, if known.
    pub fn new(length: Option<u64>) -> (mpsc::Sender<ResponseChunk>, ResponseStream) {
        let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
        let stream = ResponseStream {
            chunks,
            current: Bytes::new(),
            bytes_left: length,
        };
        (sender, stream)
    }

    fn next_part(&mut self) -> Bytes {
        let part = self
            .current
            .split_to(self.current.len().min(MAX_PART_BYTES));
        let length = part.len() as u64;
        self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(length));
        part
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        if !self.current.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(self.next_part()))));
        }
        Poll::Ready(match ready!(self.chunks.poll_recv(cx)) {
            Some(ResponseChunk::Data(data)) => {
                self.current = data;
                Some(Ok(Frame::data(self.next_part())))
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
