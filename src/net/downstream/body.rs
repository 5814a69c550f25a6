//! Bodies on their way: a client's as it comes, and a backend's as it goes on to the client.

use crate::net::observed_stream::Peer;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

/// A body may take so long from its head on, and so much longer for each byte that came ...
const BODY_PATIENCE: Duration = Duration::from_millis(2_800);
/// ... at this rate, which is half of what the slowest proper client has.
const LEAST_RATE: f64 = 32e3;
/// Nothing at all for so long ends it, whatever came before.
const STALL: Duration = Duration::from_millis(2_500);

/// Why a client's body ended early.
#[derive(Debug)]
pub enum Broken {
    /// Too slow, or stopped.
    Slow,
    /// Its connection ended, or its framing is wrong.
    Malformed,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Broken::Slow => "the body did not come in time",
            Broken::Malformed => "the body is malformed",
        })
    }
}

impl std::error::Error for Broken {}

/// What becomes known of an upload while hyper holds it.
pub struct Passed {
    /// When a piece was last handed on.
    moved: Cell<Instant>,
    /// Its last byte was handed on: from then on the backend may run it.
    ended: Cell<bool>,
    told: Cell<Option<Box<dyn FnOnce()>>>,
}

impl Passed {
    fn new() -> Passed {
        Passed {
            moved: Cell::new(Instant::now()),
            ended: Cell::new(false),
            told: Cell::new(None),
        }
    }

    /// Until nothing was handed on for so long: the backend takes no more. Never once all was.
    pub async fn stalled(&self, patience: Duration) {
        while self.moved.get() + patience > Instant::now() {
            tokio::time::sleep_until(self.moved.get() + patience).await;
        }
        if self.ended() {
            std::future::pending::<()>().await;
        }
    }

    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// Calls `told` when the last byte is handed on.
    pub fn then(&self, told: impl FnOnce() + 'static) {
        self.told.set(Some(Box::new(told)));
    }

    fn end(&self) {
        self.ended.set(true);
        self.told.take().into_iter().for_each(|told| told());
    }
}

/// A client's body, with patience for as long as it makes progress. Time in which nobody wants more of it does
/// not count.
pub struct Upload {
    /// What was read before it was known to be long.
    before: Option<Bytes>,
    inner: Incoming,
    /// The end of its patience, by what came.
    until: Instant,
    last: Instant,
    timer: Pin<Box<Sleep>>,
    waiting: bool,
    client: Peer,
    pub passed: Rc<Passed>,
}

impl Upload {
    /// `from`: since when its patience counts.
    pub fn new(inner: Incoming, client: Peer, from: Instant) -> Upload {
        let (now, until) = (Instant::now(), from + BODY_PATIENCE);
        let timer = Box::pin(tokio::time::sleep_until(until));
        let (before, waiting, passed) = (None, false, Rc::new(Passed::new()));
        Upload {
            before,
            inner,
            until,
            last: now,
            timer,
            waiting,
            client,
            passed,
        }
    }

    /// Gives back what was taken from its beginning.
    pub fn put_back(&mut self, before: Bytes) {
        self.before = Some(before);
    }

    /// How long it is, where that was told.
    pub fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if let Some(before) = self.before.take() {
            self.passed.moved.set(Instant::now());
            if self.inner.is_end_stream() {
                self.passed.end();
            }
            return Poll::Ready(Some(Ok(Frame::data(before))));
        }
        let now = Instant::now();
        if !self.waiting {
            let idle = now - self.last;
            (self.until, self.last, self.waiting) = (self.until + idle, now, true);
        }
        let Poll::Ready(got) = Pin::new(&mut self.inner).poll_frame(cx) else {
            let until = self.until.min(self.last + STALL);
            if self.timer.deadline() != until {
                self.timer.as_mut().reset(until);
            }
            ready!(self.timer.as_mut().poll(cx));
            return Poll::Ready(Some(Err(Broken::Slow)));
        };
        (self.last, self.waiting) = (now, false);
        self.passed.moved.set(now);
        // The end of a client that left long ago may stand behind its last byte, which then is not handed on.
        let whole = got.is_none() || self.inner.is_end_stream();
        if whole && self.client.has_left() {
            return Poll::Ready(Some(Err(Broken::Malformed)));
        }
        Poll::Ready(match got {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.until += Duration::from_secs_f64(bytes as f64 / LEAST_RATE);
                if self.inner.is_end_stream() {
                    self.passed.end();
                }
                Some(Ok(frame))
            }
            Some(Err(_)) => Some(Err(Broken::Malformed)),
            None => {
                self.passed.end();
                None
            }
        })
    }

    fn size_hint(&self) -> SizeHint {
        let before = self.before.as_ref().map_or(0, Bytes::len) as u64;
        let inner = self.inner.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + before);
        }
        hint.set_lower(inner.lower() + before);
        hint
    }
}

/// The rest of an answer will not come.
#[derive(Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the backend's answer broke off")
    }
}

impl std::error::Error for Cut {}

/// What goes from a backend's connection to a client's. A sender that goes without the end cuts the answer off.
pub enum Piece {
    Data(Bytes),
    End,
}

/// A long answer on its way to the client.
pub struct Flow {
    pieces: mpsc::Receiver<Piece>,
    left: Option<u64>,
    over: Option<Box<dyn FnOnce(bool)>>,
}

impl Flow {
    /// One piece waits between the two connections. `length`: where it is known.
    pub fn new(length: Option<u64>) -> (mpsc::Sender<Piece>, Flow) {
        let (sender, pieces) = mpsc::channel(1);
        (
            sender,
            Flow {
                pieces,
                left: length,
                over: None,
            },
        )
    }

    /// Calls `over` once nothing more of it is needed, and says whether it broke off.
    pub fn then(&mut self, over: impl FnOnce(bool) + 'static) {
        self.over = Some(Box::new(over));
    }
}

impl Body for Flow {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Poll::Ready(match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Data(piece)) => {
                self.left = self
                    .left
                    .map(|left| left.saturating_sub(piece.len() as u64));
                Some(Ok(Frame::data(piece)))
            }
            Some(Piece::End) => None,
            None => {
                self.over.take().into_iter().for_each(|over| over(true));
                Some(Err(Cut))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.over.take().into_iter().for_each(|over| over(false));
    }
}

#[cfg(test)]
mod gone_tests;
