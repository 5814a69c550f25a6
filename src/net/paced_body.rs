//! A body that is complete in memory, handed to hyper in parts as the connection takes them.

use crate::net::flush_pacer::{FlushPacer, MAX_PART_BYTES};
use crate::net::observed_stream::ObservedStream;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// A complete body that is written to one stream.
pub struct PacedBody {
    rest: Bytes,
    pacer: FlushPacer,
}

impl PacedBody {
    /// Creates the body of a message that is written to `stream`.
    pub fn new(bytes: Bytes, stream: ObservedStream) -> PacedBody {
        PacedBody {
            rest: bytes,
            pacer: FlushPacer::new(stream),
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.pacer.poll_ready(cx));
        let length = self.rest.len().min(MAX_PART_BYTES);
        let part = self.rest.split_to(length);
        self.pacer.handed_over(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
