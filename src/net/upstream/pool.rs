//! Pool of connections to backends.
//!
//! [`ConnectionPool`] keeps idle HTTP/1 connections for reuse and limits the total number of open connections. An
//! attempt checks a connection out and checks it in again when no request is in progress on it. Dropping a
//! [`PooledConnection`] closes its socket, and the number of open connections falls at once.

use super::connection::{ConnectionSlot, PooledConnection};
use crate::net::memory_budget::MemoryBudget;
use crate::net::observed_stream::ObservedStream;
use crate::net::to_duration;
use meadowproxy::settings::NetworkSettings;
use meadowproxy::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Fraction of the backends' idle timeout ([`NetworkSettings::conn_idle`]) after which a connection is no longer
/// reused. Well below 1, as a backend may have started its timer before the proxy did.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Minimum time between a response and the next request on the same connection. Stray bytes of a faulty backend, such
/// as a second response, arrive in this time and are not taken for the response to the next request.
const MIN_REUSE_DELAY: Duration = Duration::from_millis(3);
/// Interval at which expired idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// `ENFILE` and `EMFILE`: the machine or the process is out of descriptors.
const OUT_OF_DESCRIPTORS: [i32; 2] = [23, 24];

/// Idle connections by backend, in the order in which they were checked in, with a limit on all open connections.
pub struct ConnectionPool {
    idle: RefCell<HashMap<BackendId, Vec<PooledConnection>>>,
    /// Backends that get no new requests: no idle connections to them are kept.
    closed_backends: RefCell<HashSet<BackendId>>,
    /// When each backend last responded.
    last_response_at: RefCell<HashMap<BackendId, Instant>>,
    /// Number of open and opening connections, in use or idle.
    pub(super) open_count: Rc<Cell<usize>>,
    max_open: Cell<usize>,
    /// Time after which an idle connection is no longer reused, see [`IDLE_TIMEOUT_FRACTION`].
    max_idle_time: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    memory_budget: MemoryBudget,
    /// Connection attempts since the last [`ConnectionPool::take_connect_count`].
    connect_count: Cell<u64>,
}

impl ConnectionPool {
    /// Creates a pool with at most `max_open` open connections, in use or idle.
    pub fn new(network: &NetworkSettings, max_open: usize) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            closed_backends: RefCell::default(),
            last_response_at: RefCell::default(),
            open_count: Rc::default(),
            max_open: Cell::new(max_open),
            max_idle_time: Cell::new(max_idle_time(network)),
            connect_timeout: Cell::new(to_duration(network.connect_timeout)),
            memory_budget: MemoryBudget::unlimited(),
            connect_count: Cell::new(0),
        }
    }

    /// Returns the number of open and opening connections, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.open_count.get()
    }

    /// Returns the budget for the memory that peers make the process hold.
    pub fn memory_budget(&self) -> &MemoryBudget {
        &self.memory_budget
    }

    /// Returns the number of connection attempts since the last call.
    pub fn take_connect_count(&self) -> u64 {
        self.connect_count.take()
    }

    /// Applies changed timeouts.
    pub fn apply_settings(&self, network: &NetworkSettings) {
        self.max_idle_time.set(max_idle_time(network));
        self.connect_timeout
            .set(to_duration(network.connect_timeout));
    }

    /// Sets the maximum number of open connections, and closes idle ones above it.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.set(max_open);
        while self.open_connections() > max_open && self.close_longest_idle() {}
    }

    /// Returns an idle connection that is still usable, or opens a new one.
    pub(super) async fn check_out(
        &self,
        id: BackendId,
        address: SocketAddr,
    ) -> Result<PooledConnection, Outcome> {
        match self.take_idle(id, address).await {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Returns whether an idle connection may be reused, apart from [`MIN_REUSE_DELAY`]: it was not idle too long, is
    /// open, and nothing arrived on it.
    fn is_usable(&self, connection: &PooledConnection) -> bool {
        connection.idle_since.elapsed() < self.max_idle_time.get()
            && !connection.sender.is_closed()
            && !connection.stream.has_activity()
    }

    /// Returns a usable idle connection after its [`MIN_REUSE_DELAY`], which is waited for if no connection is past it.
    /// Connections that are found unusable are closed.
    async fn take_idle(&self, id: BackendId, address: SocketAddr) -> Option<PooledConnection> {
        loop {
            let connection = self.pick_idle(id)?;
            if connection.address != address {
                continue; // the backend has another address now
            }
            if connection.last_response_at.elapsed() < MIN_REUSE_DELAY {
                let delay_ends_at = connection.last_response_at + MIN_REUSE_DELAY;
                tokio::time::sleep_until(delay_ends_at).await;
            }
            if self.is_usable(&connection) {
                return Some(connection);
            }
        }
    }

    /// Takes the connection that was checked in last among those past their [`MIN_REUSE_DELAY`], or else the one that
    /// was checked in first, whose delay ends first.
    fn pick_idle(&self, id: BackendId) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&id).filter(|list| !list.is_empty())?;
        let past_delay = connections
            .iter()
            .rposition(|connection| connection.last_response_at.elapsed() >= MIN_REUSE_DELAY);
        Some(connections.remove(past_delay.unwrap_or(0)))
    }

    /// Puts a connection on which no request is in progress into the pool; closes it if its backend is closed.
    pub(super) fn check_in(&self, id: BackendId, connection: PooledConnection) {
        if self.closed_backends.borrow().contains(&id) {
            return;
        }
        connection.stream.mark_idle();
        let mut idle = self.idle.borrow_mut();
        idle.entry(id).or_default().push(connection);
    }

    /// Checks a connection in after its response, idle since `idle_since`. If it is not ready for another request now,
    /// it is closed instead, as waiting for it would delay the end of the response to the client.
    pub(super) fn check_in_if_ready(
        &self,
        id: BackendId,
        mut connection: PooledConnection,
        idle_since: Instant,
    ) {
        if connection.is_ready() {
            connection.idle_since = idle_since;
            connection.last_response_at = Instant::now();
            self.check_in(id, connection);
        }
    }

    /// Records that the backend has responded now.
    pub(super) fn record_response(&self, id: BackendId) {
        self.last_response_at
            .borrow_mut()
            .insert(id, Instant::now());
    }

    /// Closes the idle connections to a backend that gets no new requests, and keeps none until it is reopened.
    pub fn close_backend(&self, id: BackendId) {
        self.closed_backends.borrow_mut().insert(id);
        self.idle.borrow_mut().remove(&id);
        self.last_response_at.borrow_mut().remove(&id);
    }

    /// Allows idle connections to the backend again.
    pub fn reopen_backend(&self, id: BackendId) {
        self.closed_backends.borrow_mut().remove(&id);
    }

    /// Removes all state of a backend that gets no more requests and has none in flight, including its mark as closed.
    pub fn remove_backend(&self, id: BackendId) {
        self.close_backend(id);
        self.reopen_backend(id);
    }

    /// Records that an attempt sent at `sent_at` was given up without a response. If the backend has not responded to
    /// anything since, its machine may be unreachable and its idle connections dead without notice, so they are closed
    /// and the next attempt has to connect. A failure to connect proves that the request was not executed, so that a
    /// retry is safe; a request written to a dead connection may have been executed as far as the proxy can tell.
    pub fn record_unanswered_attempt(&self, id: BackendId, sent_at: Instant) {
        let responses = self.last_response_at.borrow();
        if responses.get(&id).is_none_or(|at| *at < sent_at) {
            self.idle.borrow_mut().remove(&id);
        }
    }

    /// Closes the connection that has been idle longest. Returns false if none is idle.
    pub fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].idle_since);
        match oldest {
            Some(connections) => {
                connections.remove(0);
                true
            }
            None => false,
        }
    }

    /// Closes idle connections that are no longer usable: idle too long, closed by the backend, or with unexpected
    /// input. Runs until the process ends.
    pub async fn close_idle_connections(self: Rc<ConnectionPool>) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|connection| self.is_usable(connection));
                !connections.is_empty()
            });
        }
    }

    /// Opens a connection. At the limit, or without memory for it, the longest-idle connection is closed first; if none is idle the outcome is
    /// [`Outcome::NotSent`], which outlier detection does not count as a failure of the backend.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, Outcome> {
        let is_at_limit =
            self.open_connections() >= self.max_open.get() || self.memory_budget.is_exceeded();
        if is_at_limit && !self.close_longest_idle() {
            return Err(Outcome::NotSent);
        }
        let slot = ConnectionSlot::new(self.open_count.clone(), &self.memory_budget);
        self.connect_count.set(self.connect_count.get() + 1);
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(self.connect_timeout.get(), connecting).await;
        let tcp = match connected {
            Ok(Ok(tcp)) => tcp,
            // The proxy has run out of descriptors, which is no failure of the backend either.
            Ok(Err(error)) if is_out_of_descriptors(&error) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        PooledConnection::open(ObservedStream::new(tcp), address, slot)
            .await
            .ok_or(Outcome::ConnectFailed)
    }
}

fn max_idle_time(network: &NetworkSettings) -> Duration {
    to_duration(network.conn_idle.mul_f64(IDLE_TIMEOUT_FRACTION))
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}
