//! A connection to a backend, as the pool holds it and an attempt uses it.

use crate::net::connection_driver::drive_until_closed;
use crate::net::downstream::upload::Upload;
use crate::net::memory_budget::{MemoryBudget, MemoryKind, Reservation};
use crate::net::observed_stream::ObservedStream;
use crate::net::paced_body::PacedBody;
use crate::net::MAX_BUFFERED_BODY_BYTES;
use http_body_util::Either;
use hyper::client::conn::http1;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// The body of a request to a backend.
pub type OutgoingBody = Either<PacedBody, Upload>;

/// Memory of a connection that has sent short requests: hyper's buffers and its state, in bytes.
pub const BACKEND_CONNECTION_BYTES: usize = 24 * 1024;

/// Counts an open or opening connection, and its memory, until it is dropped.
pub struct ConnectionSlot {
    open_count: Rc<Cell<usize>>,
    memory: Reservation,
    /// What the heads of its requests have made its buffers grow by, in bytes.
    head_bytes: usize,
}

impl ConnectionSlot {
    /// Increments `open_count`; dropping the slot decrements it. The memory is taken whether `budget` allows it or not.
    pub fn new(open_count: Rc<Cell<usize>>, budget: &MemoryBudget) -> ConnectionSlot {
        open_count.set(open_count.get() + 1);
        let kind = MemoryKind::BackendConnections;
        ConnectionSlot {
            open_count,
            memory: budget.reserve_always(kind, BACKEND_CONNECTION_BYTES),
            head_bytes: 0,
        }
    }

    /// Records that a request is sent whose head takes `head_bytes`.
    pub fn grow_for_head(&mut self, head_bytes: usize) {
        if head_bytes > self.head_bytes {
            self.head_bytes = head_bytes;
            self.memory.set(BACKEND_CONNECTION_BYTES + head_bytes);
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
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
    pub slot: ConnectionSlot,
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
            slot,
        })
    }

    /// Polls the connection once and returns whether it is ready for another request.
    pub fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let ready = drive_until_closed(&mut self.connection, self.sender.ready());
        matches!(pin!(ready).poll(&mut cx), Poll::Ready(Some(Ok(()))))
    }
}
