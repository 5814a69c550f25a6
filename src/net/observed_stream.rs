//! A TCP stream under hyper that can also be looked at from outside: how much of a request was written,
//! and whether the other side has closed or sent anything.

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

/// So long, and for so many bytes, an end waits for the other side's.
const LINGER: Duration = Duration::from_millis(400);
const LINGER_BYTES: usize = 1 << 20;

/// Shared by hyper's side of the stream and the proxy's.
#[derive(Clone)]
pub struct Stream(Rc<Inner>);

/// The other side of a stream, seen by whoever must not keep that stream open.
pub struct Peer(Weak<Inner>);

impl Peer {
    /// It ended its sending or the connection, or this side did.
    pub fn has_left(&self) -> bool {
        self.0.upgrade().is_none_or(|inner| inner.has_left())
    }
}

struct Inner {
    tcp: TcpStream,
    /// Bytes of the head's end (CRLF CRLF) matched so far in what was written; 4: the head is out.
    matched: Cell<u8>,
    /// Bytes of the body still to be written after the head.
    body_left: Cell<usize>,
    /// Something was read since the last `mark_idle`.
    heard: Cell<bool>,
    /// When something was last read.
    at: Cell<Instant>,
    /// It is to end with a reset.
    cut: Cell<bool>,
}

impl Inner {
    /// Asks the kernel itself, as the event loop may not have come round to it yet. A peek would not see an end
    /// behind bytes that nobody has read.
    fn has_left(&self) -> bool {
        let mut end = [PollFd::new(&self.tcp, PollFlags::RDHUP)];
        poll(&mut end, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }
}

impl Stream {
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are whole messages here
        let (matched, body_left, heard) = (Cell::new(4), Cell::new(0), Cell::new(false));
        let (at, cut) = (Cell::new(Instant::now()), Cell::new(false));
        Stream(Rc::new(Inner {
            tcp,
            matched,
            body_left,
            heard,
            at,
            cut,
        }))
    }

    pub fn peer(&self) -> Peer {
        Peer(Rc::downgrade(&self.0))
    }

    /// Until the other side ends its sending or the connection, even behind bytes that nobody reads. Urgent data
    /// is not asked for: of what this waits for only the end of the reading side ever comes.
    pub async fn left(&self) {
        let _ = self.0.tcp.ready(Interest::PRIORITY).await;
    }

    /// From now on counts the bytes of a new request with a body of that size.
    pub fn begin_request(&self, body: usize) {
        self.0.matched.set(0);
        self.0.body_left.set(body);
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub fn request_written(&self) -> bool {
        self.0.matched.get() == 4 && self.0.body_left.get() == 0
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        for (at, byte) in bytes.iter().enumerate() {
            if s.matched.get() == 4 {
                s.body_left
                    .set(s.body_left.get().saturating_sub(bytes.len() - at));
                return;
            }
            s.matched.set(match (s.matched.get(), byte) {
                (n @ (0 | 2), b'\r') | (n @ (1 | 3), b'\n') => n + 1,
                (_, b'\r') => 1,
                _ => 0,
            });
        }
    }

    /// Ends the connection with a reset: the other side can tell that it was not served whole even where only
    /// the end of the connection ends the answer.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.0.tcp).set_linger(Some(Duration::ZERO));
        self.0.cut.set(true);
    }

    /// Lingering close: a close over unread bytes is a reset, which takes away what the other side has not read
    /// yet. So this side ends its sending only, and reads and drops what still comes until the other has ended too.
    pub async fn end(&self) {
        if self.0.cut.get() {
            return;
        }
        let _ = socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write);
        let _ = tokio::time::timeout(LINGER, self.drain()).await;
    }

    async fn drain(&self) {
        let mut left = LINGER_BYTES;
        while left > 0 && self.0.tcp.readable().await.is_ok() {
            match self.0.tcp.try_read(&mut [0; 8192]) {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    pub fn mark_idle(&self) {
        self.0.heard.set(false);
    }

    /// When the last bytes since `mark_idle` were read, if any were.
    pub fn heard_at(&self) -> Option<Instant> {
        self.0.heard.get().then(|| self.0.at.get())
    }

    /// The other side began something and has said nothing more since that time; nothing waits in the kernel.
    pub fn stopped_since(&self) -> Option<Instant> {
        self.heard_at().filter(|_| !self.unread())
    }

    /// Bytes came since `mark_idle`, or wait in the kernel, or the other side has closed. Asks the kernel
    /// itself: the event loop may not have come round to it yet.
    pub fn stirred(&self) -> bool {
        self.0.heard.get() || self.unread()
    }

    /// Bytes wait in the kernel, or the other side has closed.
    pub fn unread(&self) -> bool {
        #[cfg(test)]
        tests::ASKED.with(|asked| asked.set(asked.get() + 1));
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let quiet = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        !socket2::SockRef::from(&self.0.tcp)
            .peek(&mut byte)
            .is_err_and(quiet)
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0u8; 8192];
        let room = buf.remaining().min(chunk.len());
        loop {
            ready!(self.0.tcp.poll_read_ready(cx))?;
            match self.0.tcp.try_read(&mut chunk[..room]) {
                Ok(n) => {
                    if n > 0 {
                        self.0.heard.set(true);
                        self.0.at.set(Instant::now());
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

impl Write for Stream {
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
