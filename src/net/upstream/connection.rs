//! A connection to a backend, as the pool holds it and an attempt uses it.

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

/// Counts an open or opening connection until it is dropped.
pub struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    /// Increments `open_count`; dropping the slot decrements it.
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

/// A connection to a backend and its slot in the pool's count. It is polled only while a request is in progress.
/// Dropping it closes the socket, which is how an attempt is cancelled.
pub struct PooledConnection {
    pub sender: http1::SendRequest<OutgoingBody>,
    pub connection: http1::Connection<ObservedStream, OutgoingBody>,
    pub stream: ObservedStream,
    pub address: SocketAddr,
    /// Since when the backend may consider it idle.
    pub idle_since: Instant,
    /// When its last response was completely read.
    pub last_response_at: Instant,
    _slot: ConnectionSlot,
}

impl PooledConnection {
    /// Performs the HTTP/1 handshake. hyper accepts a request only after the connection was polled once; polling it
    /// here avoids a wait between the last check of whether a request may be sent and its first byte.
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

    /// Polls the connection once and returns whether it is ready for another request.
    pub fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let ready = drive_until_closed(&mut self.connection, self.sender.ready());
        matches!(pin!(ready).poll(&mut cx), Poll::Ready(Some(Ok(()))))
    }
}
