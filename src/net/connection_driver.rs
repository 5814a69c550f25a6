//! Runs work on an HTTP/1 client connection while driving that connection.
//!
//! hyper's connection is a future that must be polled for anything to be read or written, and it does not end a wait on
//! its sender when the connection ends. [`drive_until_closed`] gives up work whose connection has ended;
//! [`drive_past_close`] lets work finish with what the connection brought before its end.

use crate::net::observed_stream::ObservedStream;
use bytes::Bytes;
use hyper::body::Body;
use hyper::client::conn::http1::Connection;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::Poll;

/// An error of any kind.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// What [`drive_past_close`] ended with.
pub struct DriveResult<T> {
    pub value: T,
    /// Whether the connection was still open.
    pub is_open: bool,
}

/// Runs `work` to its end while driving its connection. `None`: the connection ended first.
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
            cx.waker().wake_by_ref(); // once more for what it brought before it ended
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

/// Runs `work` to its end, and drives its connection for as long as that lasts: what a connection brought before its end
/// may take `work` long to pass on.
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
