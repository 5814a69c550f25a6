//! Serves the requests of one client connection and closes it.
//!
//! [`ClientConnection::idle_state`] tells the server whether a connection can be closed for capacity.

use super::request_error::{plain_response, RequestError};
use super::{Pressure, Server, EVENT_LOOP_TURN, FIRST_REQUEST_GRACE};
use crate::net::downstream::response_body::{BodyEnd, ResponseBody};
use crate::net::downstream::upload::UploadProgress;
use crate::net::memory_budget::{MemoryBudget, MemoryKind, Reservation};
use crate::net::observed_stream::ObservedStream;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use meadowproxy::Time;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that has sent part of a request and nothing more for this time may be closed for capacity.
const REQUEST_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while no more connections can be accepted: each that waits in the backlog may carry a request whose time
/// runs.
const REQUEST_PAUSE_TIMEOUT: Duration = Duration::from_millis(100);
/// A connection without a complete request head by this time after connecting is closed; its end is due within 3 s.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A closing connection that has not ended after this time is dropped: its client does not read.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection whose client takes nothing of a response's last bytes for this time is dropped. It is long, as the kernel
/// accepts more only once the client has read a good part of what its buffers hold.
const UNREAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A head of this length is accepted however many connections are open, if the memory budget allows it.
const MIN_HEAD_LIMIT_BYTES: usize = 16 * 1024;
/// The part of the memory budget that incomplete heads may take.
const HEADS_BUDGET_DIVISOR: usize = 4;
/// Memory of a connection before its first request: its task and its state, in bytes.
pub const NEW_CONNECTION_BYTES: usize = 4 * 1024;
/// Memory of a connection that has sent a request, with hyper's buffers, in bytes.
const CLIENT_CONNECTION_BYTES: usize = 20 * 1024;
/// Minimum time between two attempts to close a connection for the memory of another.
const MEMORY_CLOSE_INTERVAL: Duration = Duration::from_millis(4);
/// How long a request waits for the memory of its connection's buffers.
const BUFFERS_WAIT: Duration = Duration::from_millis(200);
/// The response to a request that the memory budget does not allow to read.
const NO_CAPACITY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 26\r\n\r\nthe proxy has no capacity\n";
const READY_PATH: &str = "/-/ready";

/// States of an idle connection, in the order in which they are closed for capacity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleKind {
    /// The proxy has closed its side and waits for the client to close.
    HalfClosed,
    /// No request has arrived on it.
    NoRequestYet,
    /// It is between two requests, or its client stopped sending within a request.
    BetweenRequests,
    /// It has just connected; its first request may be in transit.
    JustConnected,
    /// Its client has paused within a request, and may just be slow.
    PausedRequest,
    /// Its client uploads a long body that waits for a backend.
    WaitingUpload,
}

/// The state of an idle connection, and since when it has been idle.
pub struct IdleState {
    pub kind: IdleKind,
    pub since: Instant,
}

/// A client's connection, as the server tracks it.
pub struct ClientConnection {
    pub stream: ObservedStream,
    /// A request has arrived whose response was not completely written.
    pub is_busy: Cell<bool>,
    /// The body of the last request.
    upload: RefCell<Option<Rc<UploadProgress>>>,
    /// No complete request head has arrived yet.
    awaits_first_head: Cell<bool>,
    /// When it was accepted or completed its last response.
    pub last_active_at: Cell<Time>,
    /// It was selected to be closed for capacity.
    pub is_closing: Cell<bool>,
    /// Only the lingering close remains.
    is_half_closed: Cell<bool>,
    /// Requests its graceful close.
    pub close: Notify,
    /// Requests that an upload that waits for a backend is rejected.
    pub reject: Notify,
    memory: RefCell<Reservation>,
}

impl ClientConnection {
    /// Creates the record of a connection accepted at `now`, whose memory is taken from `budget`.
    pub fn new(tcp: TcpStream, now: Time, budget: &MemoryBudget) -> ClientConnection {
        ClientConnection {
            stream: ObservedStream::of_client(tcp, budget),
            is_busy: Cell::new(false),
            upload: RefCell::default(),
            awaits_first_head: Cell::new(true),
            last_active_at: Cell::new(now),
            is_closing: Cell::new(false),
            is_half_closed: Cell::new(false),
            close: Notify::new(),
            reject: Notify::new(),
            memory: RefCell::new(
                budget.reserve_always(MemoryKind::ClientConnections, NEW_CONNECTION_BYTES),
            ),
        }
    }

    /// Marks the connection as half closed: no more responses are due on it.
    pub fn mark_half_closed(&self) {
        self.stream.cancel_on_flushed(); // the callback refers to this connection
        self.is_half_closed.set(true);
        self.is_busy.set(false);
        self.is_closing.set(false);
    }

    /// Sets the body of the request that has just arrived.
    pub fn receive_body(&self, upload: Rc<UploadProgress>) {
        *self.upload.borrow_mut() = Some(upload);
    }

    /// Returns whether a part of a request has arrived, also of one that was rejected before its body was complete.
    fn is_within_request(&self) -> bool {
        let is_body_incomplete = !self.has_received_body();
        let is_head_incomplete = || !self.is_busy.get() && self.stream.last_received_at().is_some();
        is_body_incomplete || is_head_incomplete()
    }

    /// Returns whether the body of the last request has completely arrived.
    fn has_received_body(&self) -> bool {
        !matches!(&*self.upload.borrow(), Some(upload) if !upload.has_ended())
    }

    fn upload_awaits_backend(&self) -> bool {
        matches!(&*self.upload.borrow(), Some(upload) if upload.awaits_backend())
    }

    /// Waits until the request has to be rejected to make room. Only an upload that waits for a backend is.
    async fn rejected_for_capacity(&self) {
        loop {
            self.reject.notified().await;
            if self.upload_awaits_backend() {
                return;
            }
        }
    }

    /// Waits until a head is refused and the response before it was written.
    async fn head_refused(&self) {
        self.stream.head_refused().await;
        while self.is_busy.get() {
            tokio::time::sleep(EVENT_LOOP_TURN).await;
        }
    }

    /// Returns whether it can be closed at once, as no response is due on it.
    fn can_be_dropped(&self) -> bool {
        self.is_within_request() && self.stream.awaits_input() && !self.stream.has_unread_input()
    }

    /// Returns since when its client has paused within a request, if it has for [`REQUEST_PAUSE_TIMEOUT`].
    pub fn paused_since(&self, now: Instant) -> Option<Instant> {
        let paused_at = self.stream.last_read_at();
        let is_paused = self.is_within_request()
            && self.stream.awaits_input()
            && now.saturating_duration_since(paused_at) >= REQUEST_PAUSE_TIMEOUT;
        is_paused.then_some(paused_at)
    }

    /// Returns its idle state, or `None` if it is in use or already closing. Unread input in the kernel is not
    /// considered here; the caller checks it for the selected connection only.
    pub fn idle_state(&self, now: Instant, since: Instant) -> Option<IdleState> {
        if self.is_closing.get() {
            return None;
        }
        let idle = |kind, since| Some(IdleState { kind, since });
        if self.is_half_closed.get() {
            return idle(IdleKind::HalfClosed, since);
        }
        if self.upload_awaits_backend() {
            return idle(IdleKind::WaitingUpload, self.stream.last_read_at());
        }
        if self.is_within_request() {
            let paused_at = self.paused_since(now)?;
            let has_stalled = now - paused_at >= REQUEST_STALL_TIMEOUT;
            return match has_stalled {
                true => idle(IdleKind::BetweenRequests, paused_at),
                false => idle(IdleKind::PausedRequest, paused_at),
            };
        }
        if self.is_busy.get() {
            return None;
        }
        if !self.awaits_first_head.get() {
            return idle(IdleKind::BetweenRequests, since);
        }
        match now - since >= FIRST_REQUEST_GRACE {
            true => idle(IdleKind::NoRequestYet, since),
            false => idle(IdleKind::JustConnected, since),
        }
    }

    /// Performs a lingering close, cut short if the connection is selected to be closed for capacity.
    pub async fn close_lingering(&self) {
        let capacity_needed = async {
            while !self.is_closing.get() {
                self.close.notified().await; // the server's shutdown notifies too
            }
        };
        tokio::select! {
            () = self.stream.close_lingering() => {}
            () = capacity_needed => {}
        }
    }
}

impl Server {
    /// Serves the requests of a connection until it ends.
    pub(super) async fn serve(self: &Rc<Self>, client: &Rc<ClientConnection>) {
        let head_deadline = Instant::now() + FIRST_HEAD_TIMEOUT;
        if !self.await_first_head(client, head_deadline).await {
            return;
        }
        if !self.has_room_for_buffers(client).await {
            client.stream.write_directly(NO_CAPACITY_RESPONSE);
            return;
        }
        client.memory.borrow_mut().set(CLIENT_CONNECTION_BYTES);
        Box::pin(self.serve_requests(client, head_deadline)).await;
        client.memory.borrow_mut().set(NEW_CONNECTION_BYTES);
        client.stream.head_completed();
    }

    /// Returns whether the budget allows the buffers of a connection whose first request has arrived. Idle connections
    /// are closed first if they are in the way.
    async fn has_room_for_buffers(&self, client: &ClientConnection) -> bool {
        let end = Instant::now() + BUFFERS_WAIT;
        loop {
            if self.allows_client_memory(CLIENT_CONNECTION_BYTES - NEW_CONNECTION_BYTES) {
                return true;
            }
            if Instant::now() >= end || client.stream.peer_monitor().has_closed() {
                return false;
            }
            self.close_for_memory();
            tokio::time::sleep(EVENT_LOOP_TURN).await;
        }
    }

    /// Closes an idle connection, unless that was tried just now: many requests may wait for memory.
    fn close_for_memory(&self) {
        let now = Instant::now();
        if now >= self.next_memory_close.get() {
            self.next_memory_close.set(now + MEMORY_CLOSE_INTERVAL);
            self.close_least_useful(Pressure::BacklogWaits);
        }
    }

    /// Waits until a connection's first input has to be parsed. Returns false if the connection is closed before.
    async fn await_first_head(&self, client: &ClientConnection, head_deadline: Instant) -> bool {
        let mut head_timeout = pin!(tokio::time::sleep_until(head_deadline));
        let mut close_timeout = pin!(tokio::time::sleep(Duration::MAX));
        let mut is_head_late = false;
        loop {
            tokio::select! {
                () = client.stream.first_head() => return true,
                () = head_timeout.as_mut() => {
                    if is_head_late || !client.stream.has_unread_input() {
                        return false;
                    }
                    // A head that the kernel received in time is read within one turn of the event loop.
                    is_head_late = true;
                    head_timeout.as_mut().reset(Instant::now() + EVENT_LOOP_TURN);
                }
                () = close_timeout.as_mut() => return false,
                () = client.close.notified() => {
                    if !client.stream.has_activity() {
                        return false;
                    }
                    if client.is_closing.get() {
                        if client.can_be_dropped() {
                            return false;
                        }
                        close_timeout.as_mut().reset(Instant::now() + CLOSE_TIMEOUT);
                    }
                }
            }
        }
    }

    async fn serve_requests(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        head_deadline: Instant,
    ) {
        let service = service_fn(|request| async {
            let response = self.respond(request, client).await;
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.max_head_bytes());
        let mut connection = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut close_timeout = pin!(tokio::time::sleep(Duration::MAX));
        let mut head_timeout = pin!(tokio::time::sleep_until(head_deadline));
        let mut is_head_late = false;
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                // Both timers check their condition again when they fire: a request may have arrived in the meantime.
                () = head_timeout.as_mut(), if client.awaits_first_head.get() => {
                    if client.awaits_first_head.get() && (is_head_late || !client.stream.has_unread_input()) {
                        return;
                    }
                    // A head that the kernel received in time is read within one turn of the event loop.
                    is_head_late = true;
                    head_timeout.as_mut().reset(Instant::now() + EVENT_LOOP_TURN);
                }
                () = close_timeout.as_mut(), if client.is_closing.get() && !client.is_busy.get() => {
                    if !client.is_busy.get() {
                        return;
                    }
                }
                () = client.stream.write_stalled(UNREAD_RESPONSE_TIMEOUT) => return,
                () = client.head_refused() => {
                    client.stream.write_directly(NO_CAPACITY_RESPONSE);
                    return;
                }
                () = client.close.notified() => {
                    if client.is_closing.get() {
                        if client.can_be_dropped() {
                            return;
                        }
                        close_timeout.as_mut().reset(Instant::now() + CLOSE_TIMEOUT);
                    }
                    // A request that has just arrived is answered first; its response then closes the connection.
                    if client.is_busy.get() || !client.stream.has_activity() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Returns the longest head that a new connection may send, in bytes: [`MAX_HEAD_BYTES`], or less where so many
    /// connections could use up the memory with heads.
    fn max_head_bytes(&self) -> usize {
        let budget = self.host.pool.memory_budget().limit_bytes() / HEADS_BUDGET_DIVISOR;
        let share = budget / self.client_count().max(1);
        share.clamp(MIN_HEAD_LIMIT_BYTES, MAX_HEAD_BYTES)
    }

    async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
    ) -> Response<ResponseBody> {
        client.is_busy.set(true);
        client.stream.head_completed();
        client.stream.cancel_on_flushed(); // a pipelined request: the connection stays busy after the response before
        let started_at = if client.awaits_first_head.replace(false) {
            client.last_active_at.get()
        } else {
            self.host.clock.now()
        };
        let version = request.version();
        let started_at = self.host.clock.instant(started_at);
        let mut response = self.answer(request, client, started_at).await;
        self.track_response(response.body_mut(), client, version);
        response
    }

    /// Marks the connection idle when the response was written to its socket: until then some of it is in hyper's buffer,
    /// and closing the connection would truncate it. Where the response is delimited by the connection's end, a truncated
    /// one resets the connection, so that the client can tell that it is incomplete.
    fn track_response(
        self: &Rc<Self>,
        body: &mut ResponseBody,
        client: &Rc<ClientConnection>,
        version: Version,
    ) {
        let server = self.clone();
        let client = client.clone();
        let ends_with_connection = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        body.pace(client.stream.clone());
        body.on_end(move |end| {
            if end == BodyEnd::Truncated && ends_with_connection {
                client.stream.reset_on_close();
            }
            client.stream.mark_idle();
            if client.has_received_body() {
                client.stream.expect_head();
            }
            let stream = client.stream.clone();
            stream.on_flushed(move || server.mark_idle(&client));
        });
    }

    fn mark_idle(&self, client: &ClientConnection) {
        client.last_active_at.set(self.host.clock.now());
        client.is_busy.set(false);
    }

    /// Answers a request; the timeout of its body starts at `started_at`.
    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &ClientConnection,
        started_at: Instant,
    ) -> Response<ResponseBody> {
        let answer = match request.uri().path() {
            READY_PATH => Ok(plain_response(StatusCode::OK, "ready\n")),
            // hyper does not read, and so does not see the client's end, while bytes that it cannot use yet precede it.
            _ => tokio::select! {
                biased;
                answer = Box::pin(self.proxy(request, client, started_at)) => answer,
                () = client.stream.closed_by_peer() => Err(RequestError::ClientClosed),
                () = client.rejected_for_capacity() => Err(RequestError::NoCapacity),
            },
        };
        let has_client_disconnected = answer.is_err() && client.stream.peer_monitor().has_closed();
        let mut response = answer.unwrap_or_else(|error| error.response());
        let is_last = has_client_disconnected
            || client.is_closing.get()
            || self.shutdown.has_begun()
            || self.client_count() > self.client_limit();
        if is_last {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}
