//! HTTP server for clients: accepts connections, and closes the least useful idle ones when there are too many.
//!
//! - `client_connection`: serves the requests of one connection.
//! - `request`: handles one request, from its head to its final answer.
//! - `request_error`: why a request is rejected before it is forwarded.
//! - `request_memory`: what a request takes from the memory budget.
//! - `shutdown`: graceful shutdown, until the last connection is closed.

mod client_connection;
mod request;
mod request_error;
mod request_memory;
mod shutdown;

use crate::net::downstream::shutdown_clock::ShutdownClock;
use crate::net::host::Host;
use crate::net::memory_budget::MemoryKind;
use client_connection::{ClientConnection, IdleKind, NEW_CONNECTION_BYTES};
use imbl::Vector;
use meadowproxy::settings::NetworkSettings;
use meadowproxy::{Config, Micros, RequestClass, Time};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

/// Connections accepted above the limit, using reserved descriptors. Above the limit every response closes its
/// connection.
const CONNECTIONS_ABOVE_LIMIT: usize = 24;
/// The part of the memory budget that client connections may always take.
const CLIENTS_SHARE: f64 = 0.55;
/// The part of the memory budget up to which they may take more, with everything else.
const CLIENTS_MAX_USE: f64 = 0.9;
/// Client connections that are allowed however little memory there is.
const MIN_CLIENTS: usize = 16;
const BACKLOG: u32 = 1024;
/// The first request of a connection younger than this is assumed to be in transit.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// Upper bound on the time until the event loop reads what the kernel has received.
const EVENT_LOOP_TURN: Duration = Duration::from_millis(20);
/// Delay before a failed accept is retried, unless a backend connection was closed for it.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The backlog is closed unread if within this time fewer than [`CONNECTIONS_ABOVE_LIMIT`] of its connections could be
/// accepted: their requests' time runs, which the proxy cannot see.
const BACKLOG_WINDOW: Duration = Duration::from_millis(400);
/// Minimum interval between two log lines about failed accepts.
const ACCEPT_LOG_INTERVAL: Micros = Micros(1_000_000);

/// Settings that requests are validated against.
pub struct RequestRules {
    pub classes: Vector<RequestClass>,
    /// Maximum time of a request, by class.
    pub deadlines: Vector<Micros>,
    pub max_retry_after: Micros,
}

impl RequestRules {
    /// Takes the rules from the settings in force.
    pub fn new(config: &Config, network: &NetworkSettings) -> RequestRules {
        RequestRules {
            classes: config.classes.clone(),
            deadlines: network.deadlines.clone(),
            max_retry_after: network.max_retry_after,
        }
    }
}

/// Opens a listener with `SO_REUSEADDR`, so that a restarted process can bind while old connections are in TIME_WAIT.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The HTTP server for clients.
pub struct Server {
    host: Rc<Host>,
    rules: RefCell<Rc<RequestRules>>,
    max_clients: Cell<usize>,
    clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_key: Cell<u64>,
    is_accepting: Cell<bool>,
    shutdown: Rc<ShutdownClock>,
    /// Notified when a connection is closed or half closed.
    client_closed: Notify,
    last_accept_log: Cell<Time>,
    backlog_progress: Cell<BacklogProgress>,
    /// When a connection may next be closed for the memory of another.
    next_memory_close: Cell<Instant>,
}

/// How many connections were accepted one by one, each in the place of another, and since when.
#[derive(Clone, Copy)]
struct BacklogProgress {
    since: Instant,
    accepted: usize,
}

impl BacklogProgress {
    fn new() -> BacklogProgress {
        BacklogProgress {
            since: Instant::now(),
            accepted: 0,
        }
    }

    /// Returns the progress after a connection was accepted, the last possible one if `is_at_limit`.
    fn after_accept(self, is_at_limit: bool) -> BacklogProgress {
        let accepted = self.accepted + 1;
        if is_at_limit && accepted < CONNECTIONS_ABOVE_LIMIT {
            BacklogProgress { accepted, ..self }
        } else {
            BacklogProgress::new()
        }
    }

    fn is_stalled(self) -> bool {
        self.since.elapsed() >= BACKLOG_WINDOW
    }
}

/// Why a connection has to be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pressure {
    /// More than the maximum are open; some more can be accepted.
    AboveLimit,
    /// No more can be accepted, and others may wait in the backlog.
    BacklogWaits,
    /// The process has no free descriptor.
    OutOfDescriptors,
}

impl Pressure {
    /// Returns whether a connection of this kind may be closed that has been idle for `idle_time`.
    fn may_close(self, kind: IdleKind, idle_time: Duration) -> bool {
        match (kind, self) {
            (IdleKind::JustConnected, Pressure::AboveLimit) => idle_time >= FIRST_REQUEST_GRACE,
            (IdleKind::JustConnected, Pressure::BacklogWaits) => idle_time >= EVENT_LOOP_TURN,
            (IdleKind::PausedRequest | IdleKind::WaitingUpload, pressure) => {
                pressure != Pressure::AboveLimit
            }
            _ => true,
        }
    }
}

/// An idle connection. The order of the fields is the order in which idle connections are closed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CloseCandidate {
    kind: IdleKind,
    idle_since: Instant,
    key: u64,
}

impl Server {
    /// Creates a server that holds at most `max_clients` connections.
    pub fn new(host: Rc<Host>, rules: RequestRules, max_clients: usize) -> Rc<Server> {
        Rc::new(Server {
            host,
            rules: RefCell::new(Rc::new(rules)),
            max_clients: Cell::new(max_clients),
            clients: RefCell::default(),
            next_key: Cell::new(0),
            is_accepting: Cell::new(false),
            shutdown: Rc::default(),
            client_closed: Notify::new(),
            last_accept_log: Cell::default(),
            backlog_progress: Cell::new(BacklogProgress::new()),
            next_memory_close: Cell::new(Instant::now()),
        })
    }

    /// Returns the number of open client connections.
    pub fn client_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Returns whether this process accepts new clients.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Replaces the rules for requests that arrive from now on.
    pub fn apply_rules(&self, rules: RequestRules) {
        *self.rules.borrow_mut() = Rc::new(rules);
    }

    /// Sets the maximum number of client connections.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.max_clients.set(max_clients);
    }

    /// Accepts clients until `stop` completes, then answers the requests already accepted and returns. If
    /// `successor_accepts` returns true, another process accepts new clients, and the listener is closed at once.
    pub async fn run(
        self: Rc<Self>,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
        successor_accepts: impl Fn() -> bool,
    ) {
        let mut stop = pin!(stop);
        self.is_accepting.set(true);
        loop {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = &mut stop => break,
            }
        }
        self.is_accepting.set(false);
        self.shut_down(listener, successor_accepts()).await;
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while self.client_count() >= self.max_open_clients() {
            if self.backlog_progress.get().is_stalled() {
                self.close_backlog(listener).await;
            }
            // A closing connection still holds its descriptor; accepting the whole backlog would use up the remaining
            // ones.
            self.close_least_useful(Pressure::BacklogWaits);
            self.wait_for_client_close(EVENT_LOOP_TURN).await;
        }
        match listener.accept().await {
            Ok((tcp, _)) => {
                let is_at_limit = self.client_count() + 1 >= self.max_open_clients();
                let progress = self.backlog_progress.get();
                self.backlog_progress
                    .set(progress.after_accept(is_at_limit));
                self.add_client(tcp);
            }
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {} // it was closed while in the backlog
            Err(error) => self.accept_failed(&error).await,
        }
    }

    fn max_open_clients(&self) -> usize {
        self.client_limit() + CONNECTIONS_ABOVE_LIMIT
    }

    /// Returns how many connections the descriptors and the memory allow.
    fn client_limit(&self) -> usize {
        let by_memory = self.unused_client_memory() / NEW_CONNECTION_BYTES;
        let by_memory = self
            .client_count()
            .saturating_add(by_memory)
            .max(MIN_CLIENTS);
        self.max_clients.get().min(by_memory)
    }

    /// Returns how much of the memory that client connections may take is unused, in bytes.
    fn unused_client_memory(&self) -> usize {
        let budget = self.host.pool.memory_budget();
        let limit = budget.limit_bytes() as f64;
        let own = (limit * CLIENTS_SHARE) as usize;
        let own = own.saturating_sub(budget.reserved_for(MemoryKind::ClientConnections));
        let common = (limit * CLIENTS_MAX_USE) as usize;
        own.max(common.saturating_sub(budget.used_bytes()))
    }

    /// Returns whether client connections may take `bytes` more.
    fn allows_client_memory(&self, bytes: usize) -> bool {
        bytes <= self.unused_client_memory() || self.client_count() <= MIN_CLIENTS
    }

    /// Closes an idle connection to free its memory. Returns false if there is none.
    pub fn free_memory(&self) -> bool {
        self.host.pool.close_longest_idle() || self.close_least_useful(Pressure::BacklogWaits)
    }

    /// Closes the connections in the backlog without reading from them.
    async fn close_backlog(&self, listener: &TcpListener) {
        for _ in 0..BACKLOG {
            let accepted = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
            if !matches!(accepted, Ok(Ok(_))) {
                return;
            }
        }
    }

    /// Handles a failed accept, such as one without a free descriptor: frees a connection or waits, and never exits.
    async fn accept_failed(&self, error: &io::Error) {
        let now = self.host.clock.now();
        if now - self.last_accept_log.get() >= ACCEPT_LOG_INTERVAL {
            self.last_accept_log.set(now);
            warn!(
                "accept: {error}; {} client and {} backend connections open",
                self.client_count(),
                self.host.pool.open_connections()
            );
        }
        if self.close_least_useful(Pressure::OutOfDescriptors)
            || !self.host.pool.close_longest_idle()
        {
            self.wait_for_client_close(ACCEPT_RETRY_DELAY).await;
        }
    }

    async fn wait_for_client_close(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.client_closed.notified()).await;
    }

    /// Closes the idle connection that comes first by [`IdleKind`] and then by idle time, among those that may be closed
    /// under this pressure. Returns false if there is none.
    fn close_least_useful(&self, pressure: Pressure) -> bool {
        let clients = self.clients.borrow();
        // Only the chosen connections are checked for unread input: checking all of them at each accept would cost more
        // than the accepts.
        let mut candidates = self.close_candidates(&clients, pressure);
        while let Some(Reverse(candidate)) = candidates.pop() {
            let client = &clients[&candidate.key];
            let ignores_input = matches!(
                candidate.kind,
                IdleKind::HalfClosed | IdleKind::WaitingUpload
            );
            if ignores_input || !client.stream.has_unread_input() {
                client.is_closing.set(true); // a call before the connection closes picks another one
                client.close.notify_one();
                client.reject.notify_one();
                return true;
            }
        }
        false
    }

    /// Closes the connection whose client has paused within a request for the longest time, if there is one.
    fn close_paused_request(&self) -> bool {
        let now = Instant::now();
        let clients = self.clients.borrow();
        let paused = clients.values().filter_map(|client| {
            let paused_at = client.paused_since(now)?;
            (!client.is_closing.get()).then_some((paused_at, client))
        });
        let Some((_, client)) = paused.min_by_key(|(paused_at, _)| *paused_at) else {
            return false;
        };
        client.is_closing.set(true);
        client.close.notify_one();
        true
    }

    fn close_candidates(
        &self,
        clients: &HashMap<u64, Rc<ClientConnection>>,
        pressure: Pressure,
    ) -> BinaryHeap<Reverse<CloseCandidate>> {
        let now = Instant::now();
        let candidate = |(key, client): (&u64, &Rc<ClientConnection>)| {
            let since = self.host.clock.instant(client.last_active_at.get());
            let idle = client.idle_state(now, since)?;
            pressure
                .may_close(idle.kind, now - idle.since)
                .then_some(Reverse(CloseCandidate {
                    kind: idle.kind,
                    idle_since: idle.since,
                    key: *key,
                }))
        };
        clients.iter().filter_map(candidate).collect()
    }

    fn add_client(self: &Rc<Self>, tcp: TcpStream) {
        if self.client_count() >= self.client_limit() {
            self.close_least_useful(Pressure::AboveLimit);
        }
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let now = self.host.clock.now();
        let budget = self.host.pool.memory_budget();
        let client = Rc::new(ClientConnection::new(tcp, now, budget));
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            client.mark_half_closed();
            server.client_closed.notify_one(); // waiters for capacity need not wait for the peer's end
            client.close_lingering().await;
            server.clients.borrow_mut().remove(&key);
            server.client_closed.notify_one();
        });
    }
}

#[cfg(test)]
mod tests;
