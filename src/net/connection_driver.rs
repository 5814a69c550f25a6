//! Runs a future that uses an HTTP/1 client connection while polling that connection.
//!
//! hyper's connection is a future that must be polled for anything to be read or written, and a wait on its sender does
//! not end when the connection does. [`drive_until_closed`] abandons work whose connection has ended;
//! [`drive_past_close`] lets the work finish with what was received before the end.

use crate::net::observed_stream::ObservedStream;
use bytes::Bytes;
use hyper::body::Body;
use hyper::client::conn::http1::Connection;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::Poll;

/// A boxed error of any type.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The result of [`drive_past_close`].
pub struct DriveResult<T> {
    pub value: T,
    /// Whether the connection was still open when the work finished.
    pub is_open: bool,
}

/// Runs `work` while polling its connection. Returns `None` if the connection ends first.
pub async fn drive_until_closed<T>(
    connection: &mut Connection<
        ObservedStream,
        impl Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut is_closed = false;
    poll_fn(|cx| {
        if let Poll::Ready(value) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(value));
        }
        if is_closed {
            return Poll::Ready(None);
        }
        if Pin::new(&mut *connection).poll(cx).is_ready() {
            is_closed = true;
            cx.waker().wake_by_ref(); // polls the work once more, for what was received before the end
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

/// Runs `work` to its end, and polls its connection while that is open. The work may take long to forward what was
/// received before the connection ended.
pub async fn drive_past_close<T>(
    connection: &mut Connection<
        ObservedStream,
        impl Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> DriveResult<T> {
    let mut work = pin!(work);
    let mut is_open = true;
    poll_fn(|cx| {
        if let Poll::Ready(value) = work.as_mut().poll(cx) {
            return Poll::Ready(DriveResult { value, is_open });
        }
        if is_open && Pin::new(&mut *connection).poll(cx).is_ready() {
            is_open = false;
        }
        let value = work.as_mut().poll(cx);
        value.map(|value| DriveResult { value, is_open })
    })
    .await
}
