//! A TCP stream under hyper that can also be observed from outside.
//!
//! [`ObservedStream`] tells how much of a request was written, and whether the other side has closed or sent anything, as
//! the kernel knows it at this moment. [`PeerMonitor`] observes the other side without keeping the stream open.

use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long, and for how many bytes, a lingering close waits for the other side's end.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Most bytes of one read.
const READ_CHUNK_BYTES: usize = 8192;
/// Length of the end of a request's head: CR LF CR LF.
const HEAD_END_BYTES: u8 = 4;

/// A TCP stream; clones share it, one for hyper and others for the proxy.
#[derive(Clone)]
pub struct ObservedStream(Rc<Inner>);

/// The other side of a stream, seen by whoever must not keep that stream open.
pub struct PeerMonitor(Weak<Inner>);

impl PeerMonitor {
    /// It ended its sending or the connection, or this side did.
    pub fn has_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|inner| inner.has_closed())
    }
}

struct Inner {
    tcp: TcpStream,
    /// Bytes of the head's end matched so far in what was written; all of them once the head was written.
    head_end_matched: Cell<u8>,
    /// Bytes of the body still to be written after the head.
    body_bytes_left: Cell<usize>,
    /// Something was read since the last `mark_idle`.
    has_received: Cell<bool>,
    last_received_at: Cell<Instant>,
    /// It is closed with a reset.
    resets_on_close: Cell<bool>,
}

impl Inner {
    /// Asks the kernel itself, as the event loop may not have come round to it yet. A peek would not see an end
    /// behind bytes that nobody has read.
    fn has_closed(&self) -> bool {
        let mut end = [PollFd::new(&self.tcp, PollFlags::RDHUP)];
        poll(&mut end, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }
}

impl ObservedStream {
    pub fn new(tcp: TcpStream) -> ObservedStream {
        let _ = tcp.set_nodelay(true); // small writes are complete messages here
        ObservedStream(Rc::new(Inner {
            tcp,
            head_end_matched: Cell::new(HEAD_END_BYTES),
            body_bytes_left: Cell::new(0),
            has_received: Cell::new(false),
            last_received_at: Cell::new(Instant::now()),
            resets_on_close: Cell::new(false),
        }))
    }

    pub fn peer_monitor(&self) -> PeerMonitor {
        PeerMonitor(Rc::downgrade(&self.0))
    }

    /// Waits until the other side ends its sending or the connection, even behind bytes that nobody reads. Urgent
    /// data is never sent: of what this waits for only the end of the reading side occurs.
    pub async fn closed_by_peer(&self) {
        let _ = self.0.tcp.ready(Interest::PRIORITY).await;
    }

    /// From now on counts the bytes of a new request with a body of that size.
    pub fn begin_request(&self, body_bytes: usize) {
        self.0.head_end_matched.set(0);
        self.0.body_bytes_left.set(body_bytes);
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub fn request_written(&self) -> bool {
        self.0.head_end_matched.get() == HEAD_END_BYTES && self.0.body_bytes_left.get() == 0
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        for (at, byte) in bytes.iter().enumerate() {
            if s.head_end_matched.get() == HEAD_END_BYTES {
                let body_bytes = bytes.len() - at;
                let left = s.body_bytes_left.get().saturating_sub(body_bytes);
                s.body_bytes_left.set(left);
                return;
            }
            s.head_end_matched
                .set(match (s.head_end_matched.get(), byte) {
                    (n @ (0 | 2), b'\r') | (n @ (1 | 3), b'\n') => n + 1,
                    (_, b'\r') => 1,
                    _ => 0,
                });
        }
    }

    /// Ends the connection with a reset: the other side can tell that the response is truncated even where only
    /// the end of the connection ends the answer.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.0.tcp).set_linger(Some(Duration::ZERO));
        self.0.resets_on_close.set(true);
    }

    /// Closes it: a close over unread bytes is a reset, which takes away what the other side has not read
    /// yet. So this side ends its sending only, and reads and drops what still comes until the other has ended too.
    pub async fn close_lingering(&self) {
        if self.0.resets_on_close.get() {
            return;
        }
        let _ = socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write);
        let _ = tokio::time::timeout(LINGER_TIMEOUT, self.drain()).await;
    }

    async fn drain(&self) {
        let mut left = MAX_LINGER_BYTES;
        while left > 0 && self.0.tcp.readable().await.is_ok() {
            match self.0.tcp.try_read(&mut [0; READ_CHUNK_BYTES]) {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    pub fn mark_idle(&self) {
        self.0.has_received.set(false);
    }

    /// When the last bytes since `mark_idle` were read, if any were.
    pub fn last_received_at(&self) -> Option<Instant> {
        let received_at = self.0.last_received_at.get();
        self.0.has_received.get().then_some(received_at)
    }

    /// Whether bytes were read since `mark_idle`, and nothing more waits in the kernel.
    pub fn has_partial_input(&self) -> bool {
        self.last_received_at().is_some() && !self.has_unread_input()
    }

    /// Bytes came since `mark_idle`, or wait in the kernel, or the other side has closed. Asks the kernel
    /// itself: the event loop may not have come round to it yet.
    pub fn has_activity(&self) -> bool {
        self.0.has_received.get() || self.has_unread_input()
    }

    /// Bytes wait in the kernel, or the other side has closed.
    pub fn has_unread_input(&self) -> bool {
        #[cfg(test)]
        tests::UNREAD_CHECKS.with(|asked| asked.set(asked.get() + 1));
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let quiet = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        !socket2::SockRef::from(&self.0.tcp)
            .peek(&mut byte)
            .is_err_and(quiet)
    }
}

impl Read for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let capacity = buf.remaining().min(chunk.len());
        loop {
            ready!(self.0.tcp.poll_read_ready(cx))?;
            match self.0.tcp.try_read(&mut chunk[..capacity]) {
                Ok(n) => {
                    if n > 0 {
                        self.0.has_received.set(true);
                        self.0.last_received_at.set(Instant::now());
                    }
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.tcp.poll_write_ready(cx))?;
            match self.0.tcp.try_write(buf) {
                Ok(n) => {
                    self.wrote(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
pub mod tests;
