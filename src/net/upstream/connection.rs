//! One connection to a backend.

use crate::net::connection_driver::drive_until_closed;
use crate::net::downstream::upload::Upload;
use crate::net::observed_stream::ObservedStream;
use crate::net::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::client::conn::http1;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// The body of a request to a backend.
pub type OutgoingBody = Either<Full<Bytes>, Upload>;

/// Counts an open (or opening) connection for as long as it exists.
pub struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    /// Adds one to `open_count`.
    pub fn new(open_count: Rc<Cell<usize>>) -> ConnectionSlot {
        open_count.set(open_count.get() + 1);
        ConnectionSlot(open_count)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection and its place among the open ones. It is driven only while a request is on it; dropping it closes the
/// socket, which is how an attempt is cancelled.
pub struct PooledConnection {
    pub sender: http1::SendRequest<OutgoingBody>,
    pub connection: http1::Connection<ObservedStream, OutgoingBody>,
    pub stream: ObservedStream,
    pub address: SocketAddr,
    /// Since when the backend may count it as idle.
    pub idle_since: Instant,
    /// When its last response had been read.
    pub last_response_at: Instant,
    _slot: ConnectionSlot,
}

impl PooledConnection {
    /// Prepares a TCP stream for requests. hyper takes a request only after a first turn of its own. It has that here, so
    /// that nothing comes between the last check of what may be sent and the first byte.
    pub async fn open(
        stream: ObservedStream,
        address: SocketAddr,
        slot: ConnectionSlot,
    ) -> Option<PooledConnection> {
        let handshake = http1::Builder::new()
            .max_buf_size(2 * MAX_BUFFERED_BODY_BYTES)
            .handshake(stream.clone())
            .await;
        let (mut sender, mut connection) = handshake.ok()?;
        let ready = drive_until_closed(&mut connection, sender.ready()).await;
        ready?.ok()?;
        let now = Instant::now();
        Some(PooledConnection {
            sender,
            connection,
            stream,
            address,
            idle_since: now,
            last_response_at: now,
            _slot: slot,
        })
    }

    /// Whether it is ready for another request at this moment.
    pub fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let ready = drive_until_closed(&mut self.connection, self.sender.ready());
        matches!(pin!(ready).poll(&mut cx), Poll::Ready(Some(Ok(()))))
    }
}
