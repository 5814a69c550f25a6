//! TCP stream for hyper whose state the proxy can also observe.
//!
//! [`ObservedStream`] tells whether a request was completely written, whether the peer has closed or sent anything
//! according to the kernel, and whether reads had to wait for the peer. [`PeerMonitor`] observes the peer without keeping
//! the stream open.

mod peer_monitor;

pub use peer_monitor::PeerMonitor;

use crate::net::downstream::head_scan::{is_worth_parsing, SCAN_BYTES};
use crate::net::downstream::partial_head::PartialHead;
use crate::net::memory_budget::MemoryBudget;
use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{recv, RecvFlags};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum duration of a lingering close, and the maximum number of bytes that it reads, before it stops waiting for
/// the peer to close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Maximum size of a read, in bytes. hyper doubles a connection's read buffer, of 8 KiB at first, after a read that fills it.
const READ_CHUNK_BYTES: usize = 8 * 1024 - 256;
/// Length of the sequence that ends a request's head, CR LF CR LF, in bytes.
const HEAD_END_BYTES: u8 = 4;

/// A TCP stream. Clones share it: hyper owns one, and the proxy observes the connection through others.
#[derive(Clone)]
pub struct ObservedStream(Rc<Inner>);

struct Inner {
    tcp: TcpStream,
    /// How many bytes of the sequence that ends the head were matched so far; all of them once the head was written.
    head_end_matched: Cell<u8>,
    /// Number of body bytes still to be written after the head.
    body_bytes_left: Cell<usize>,
    /// Whether something was read since the last `mark_idle`.
    has_received: Cell<bool>,
    last_received_at: Cell<Instant>,
    /// Whether a read waits for the peer to send.
    is_awaiting_input: Cell<bool>,
    /// When a read that had to wait for the peer last got bytes.
    wait_ended_at: Cell<Instant>,
    /// Whether closing it sends a reset.
    resets_on_close: Cell<bool>,
    /// Runs once everything that hyper has buffered was written.
    on_flushed: Cell<Option<Box<dyn FnOnce()>>>,
    /// Whether [`Inner::on_flushed`] is set.
    is_flush_awaited: Cell<bool>,
    last_written_at: Cell<Instant>,
    /// Whether hyper holds bytes of a body that it has not written.
    holds_unflushed: Cell<bool>,
    /// The task that waits for these bytes to be written.
    flush_waker: Cell<Option<Waker>>,
    /// The request head that arrives on a client's connection; `None` on a connection to a backend.
    partial_head: RefCell<Option<PartialHead>>,
    /// How many bytes in the kernel were examined without being read.
    peeked_bytes: Cell<usize>,
    /// No more of the head may be read.
    is_head_refused: Cell<bool>,
    /// Notified when that is so.
    head_refused: Notify,
}

impl Inner {
    /// Queries the kernel, as the event loop may not have processed the close yet. Peeking would not detect an end of
    /// the stream behind unread bytes.
    fn has_closed(&self) -> bool {
        let mut peer_close = [PollFd::new(&self.tcp, PollFlags::RDHUP)];
        poll(&mut peer_close, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }

    /// Records that a read is not ready. A task without budget left waits for its next turn, not for the peer.
    fn read_is_pending(&self) {
        if tokio::task::coop::has_budget_remaining() {
            self.is_awaiting_input.set(true);
        }
    }

    /// Examines the input in the kernel. Returns [`io::ErrorKind::WouldBlock`] until it has to be read.
    fn peek_first_head(&self) -> io::Result<()> {
        let mut input = [0; SCAN_BYTES];
        let peeked = recv(&self.tcp, &mut input, RecvFlags::PEEK);
        let length = match peeked {
            Ok((length, _)) => length,
            Err(error) => {
                let error = io::Error::from(error);
                self.is_awaiting_input
                    .set(error.kind() == io::ErrorKind::WouldBlock);
                return Err(error);
            }
        };
        if length > self.peeked_bytes.replace(length) {
            self.has_received.set(true);
            self.last_received_at.set(Instant::now());
        }
        // The end of the input stays signalled: waiting for more of it would not block.
        if length == 0 || is_worth_parsing(&input[..length]) || self.has_closed() {
            return Ok(());
        }
        self.is_awaiting_input.set(true);
        Err(io::ErrorKind::WouldBlock.into())
    }

    /// Returns whether up to `bytes` more may be read, and reports if not.
    fn may_read(&self, bytes: usize) -> bool {
        let mut head = self.partial_head.borrow_mut();
        let may_read = head.as_mut().is_none_or(|head| head.may_read(bytes));
        if !may_read {
            self.is_head_refused.set(true);
            self.head_refused.notify_one();
        }
        may_read
    }

    fn received(&self, bytes: usize, now: Instant) {
        if let Some(head) = self.partial_head.borrow_mut().as_mut() {
            head.received(bytes);
        }
        self.has_received.set(true);
        self.last_received_at.set(now);
        if self.is_awaiting_input.replace(false) {
            self.wait_ended_at.set(now);
        }
    }
}

impl ObservedStream {
    /// Wraps a TCP stream and disables Nagle's algorithm.
    pub fn new(tcp: TcpStream) -> ObservedStream {
        let _ = tcp.set_nodelay(true); // small writes are complete messages
        ObservedStream(Rc::new(Inner {
            tcp,
            head_end_matched: Cell::new(HEAD_END_BYTES),
            body_bytes_left: Cell::new(0),
            has_received: Cell::new(false),
            last_received_at: Cell::new(Instant::now()),
            is_awaiting_input: Cell::new(false),
            wait_ended_at: Cell::new(Instant::now()),
            resets_on_close: Cell::new(false),
            on_flushed: Cell::new(None),
            is_flush_awaited: Cell::new(false),
            last_written_at: Cell::new(Instant::now()),
            holds_unflushed: Cell::new(false),
            flush_waker: Cell::new(None),
            partial_head: RefCell::default(),
            peeked_bytes: Cell::new(0),
            is_head_refused: Cell::new(false),
            head_refused: Notify::new(),
        }))
    }

    /// Wraps the TCP stream of a client, whose request heads take their memory from `budget`.
    pub fn of_client(tcp: TcpStream, budget: &MemoryBudget) -> ObservedStream {
        let stream = ObservedStream::new(tcp);
        *stream.0.partial_head.borrow_mut() = Some(PartialHead::new(budget));
        stream
    }

    /// Waits until the first request's head has completely arrived, or has to be read before that. The input stays in
    /// the kernel.
    pub async fn first_head(&self) {
        loop {
            if self.0.tcp.readable().await.is_err() {
                return;
            }
            let peeked = self
                .0
                .tcp
                .try_io(Interest::READABLE, || self.0.peek_first_head());
            match peeked {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => break,
            }
        }
        self.0.peeked_bytes.set(0);
        self.0.is_awaiting_input.set(false);
    }

    /// Records that the head of a request is complete.
    pub fn head_completed(&self) {
        if let Some(head) = self.0.partial_head.borrow_mut().as_mut() {
            head.end();
        }
    }

    /// Waits until the memory budget does not allow to read more of a request's head.
    pub async fn head_refused(&self) {
        while !self.0.is_head_refused.get() {
            self.0.head_refused.notified().await;
        }
    }

    /// Writes `bytes` past hyper, which must have nothing to write. What the socket does not take at once is lost.
    pub fn write_directly(&self, bytes: &[u8]) {
        let _ = self.0.tcp.try_write(bytes);
    }

    /// Returns a monitor of the peer that does not keep the stream open.
    pub fn peer_monitor(&self) -> PeerMonitor {
        PeerMonitor(Rc::downgrade(&self.0))
    }

    /// Waits until the peer closes the connection or its sending side, even behind unread bytes. It waits for priority
    /// readiness, which also signals the end of the reading side; urgent data, the other cause, is never sent.
    pub async fn closed_by_peer(&self) {
        let _ = self.0.tcp.ready(Interest::PRIORITY).await;
    }

    /// Starts counting the written bytes of a new request whose body has `body_bytes` bytes.
    pub fn begin_request(&self, body_bytes: usize) {
        self.0.head_end_matched.set(0);
        self.0.body_bytes_left.set(body_bytes);
    }

    /// Returns whether the last byte of the request was written. From then on the backend may execute it.
    pub fn request_written(&self) -> bool {
        self.0.head_end_matched.get() == HEAD_END_BYTES && self.0.body_bytes_left.get() == 0
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        s.last_written_at.set(Instant::now());
        for (at, byte) in bytes.iter().enumerate() {
            if s.head_end_matched.get() == HEAD_END_BYTES {
                let body_bytes = bytes.len() - at;
                let bytes_left = s.body_bytes_left.get().saturating_sub(body_bytes);
                s.body_bytes_left.set(bytes_left);
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

    /// Makes closing the stream send a reset, so that the peer can tell that a response is truncated even if the
    /// response is delimited by the end of the connection.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.0.tcp).set_linger(Some(Duration::ZERO));
        self.0.resets_on_close.set(true);
    }

    /// Performs a lingering close: closes the sending side, then reads and discards input until the peer closes too,
    /// within limits. Closing a socket with unread input would send a reset, on which the peer loses what it has not
    /// read yet.
    pub async fn close_lingering(&self) {
        if self.0.resets_on_close.get() {
            return;
        }
        let _ = socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write);
        let _ = tokio::time::timeout(LINGER_TIMEOUT, self.drain()).await;
    }

    async fn drain(&self) {
        let mut bytes_left = MAX_LINGER_BYTES;
        while bytes_left > 0 && self.0.tcp.readable().await.is_ok() {
            match self.0.tcp.try_read(&mut [0; READ_CHUNK_BYTES]) {
                Ok(0) => return,
                Ok(n) => bytes_left = bytes_left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Sets a callback that runs once hyper has written everything that it holds for this stream.
    pub fn on_flushed(&self, callback: impl FnOnce() + 'static) {
        self.0.on_flushed.set(Some(Box::new(callback)));
        self.0.is_flush_awaited.set(true);
        self.0.last_written_at.set(Instant::now());
    }

    /// Removes the callback of [`ObservedStream::on_flushed`].
    pub fn cancel_on_flushed(&self) {
        self.0.on_flushed.take();
        self.0.is_flush_awaited.set(false);
    }

    /// Records that hyper was given bytes to write.
    pub fn expect_flush(&self) {
        self.0.holds_unflushed.set(true);
    }

    /// Is ready once hyper has written everything that it holds for this stream.
    pub fn poll_flushed(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.0.holds_unflushed.get() {
            return Poll::Ready(());
        }
        self.0.flush_waker.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Waits until nothing was written for `timeout` while a flush is awaited.
    pub async fn write_stalled(&self, timeout: Duration) {
        loop {
            let idle_since = match self.0.is_flush_awaited.get() {
                true => self.0.last_written_at.get(),
                false => Instant::now(),
            };
            if idle_since.elapsed() >= timeout {
                return;
            }
            tokio::time::sleep_until(idle_since + timeout).await;
        }
    }

    /// Records that input belongs to the head of a request from now on.
    pub fn expect_head(&self) {
        if let Some(head) = self.0.partial_head.borrow_mut().as_mut() {
            head.begin();
        }
    }

    /// Marks the connection as idle: input from now on counts as new.
    pub fn mark_idle(&self) {
        self.0.has_received.set(false);
    }

    /// Returns when bytes were last read since `mark_idle`, if any were.
    pub fn last_received_at(&self) -> Option<Instant> {
        let received_at = self.0.last_received_at.get();
        self.0.has_received.get().then_some(received_at)
    }

    /// Returns when bytes were last read, or when the stream was opened.
    pub fn last_read_at(&self) -> Instant {
        self.0.last_received_at.get()
    }

    /// Returns whether a read waits for the peer to send.
    pub fn awaits_input(&self) -> bool {
        self.0.is_awaiting_input.get()
    }

    /// Returns whether bytes were read since `mark_idle` or are waiting in the kernel, or the peer has closed. Queries
    /// the kernel, as the event loop may not have processed the input yet.
    pub fn has_activity(&self) -> bool {
        self.0.has_received.get() || self.has_unread_input()
    }

    /// Returns whether bytes are waiting in the kernel, or the peer has closed.
    pub fn has_unread_input(&self) -> bool {
        #[cfg(test)]
        tests::UNREAD_CHECKS.with(|asked| asked.set(asked.get() + 1));
        if self.0.peeked_bytes.get() > 0 {
            let unread = rustix::io::ioctl_fionread(&self.0.tcp).unwrap_or(0);
            return unread > self.0.peeked_bytes.get() as u64 || self.0.has_closed();
        }
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let is_empty = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        !socket2::SockRef::from(&self.0.tcp)
            .peek(&mut byte)
            .is_err_and(is_empty)
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
            let Poll::Ready(ready) = self.0.tcp.poll_read_ready(cx) else {
                self.0.read_is_pending();
                return Poll::Pending;
            };
            ready?;
            if !self.0.may_read(capacity) {
                return Poll::Pending;
            }
            match self.0.tcp.try_read(&mut chunk[..capacity]) {
                Ok(n) => {
                    if n > 0 {
                        self.0.received(n, Instant::now());
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

    /// hyper calls this once it has written everything that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.is_flush_awaited.set(false);
        self.0.holds_unflushed.set(false);
        if let Some(waker) = self.0.flush_waker.take() {
            waker.wake();
        }
        if let Some(callback) = self.0.on_flushed.take() {
            callback();
        }
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
pub mod tests;
