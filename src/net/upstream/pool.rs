//! The pool of connections to backends.

use super::connection::{ConnectionSlot, PooledConnection};
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

/// Part of the backends' idle timeout after which a connection is no longer used: well within it, as their clock may
/// have started before ours.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// How long a connection rests after a response before the next request is sent on it. What a broken backend sends late,
/// such as a second response, arrives in this time and is not taken for the next request's.
const MIN_REUSE_DELAY: Duration = Duration::from_millis(3);
/// Interval at which idle connections are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// `ENFILE` and `EMFILE`: the machine or the process is out of descriptors.
const OUT_OF_DESCRIPTORS: [i32; 2] = [23, 24];

/// Idle connections by backend, the most recently used last, and a bound on all open connections.
pub struct ConnectionPool {
    idle: RefCell<HashMap<BackendId, Vec<PooledConnection>>>,
    /// Backends to which no idle connection is kept.
    closed_backends: RefCell<HashSet<BackendId>>,
    /// When each backend last responded.
    last_response_at: RefCell<HashMap<BackendId, Instant>>,
    pub(super) open_count: Rc<Cell<usize>>,
    max_open: Cell<usize>,
    idle_timeout: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    /// Connections opened since the last [`ConnectionPool::take_connect_count`].
    connect_count: Cell<u64>,
}

impl ConnectionPool {
    /// A pool of at most `max_open` connections.
    pub fn new(network: &NetworkSettings, max_open: usize) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            closed_backends: RefCell::default(),
            last_response_at: RefCell::default(),
            open_count: Rc::default(),
            max_open: Cell::new(max_open),
            idle_timeout: Cell::new(idle_timeout(network)),
            connect_timeout: Cell::new(to_duration(network.connect_timeout)),
            connect_count: Cell::new(0),
        }
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.open_count.get()
    }

    /// Connections opened since the last call.
    pub fn take_connect_count(&self) -> u64 {
        self.connect_count.take()
    }

    /// Puts changed settings in force.
    pub fn apply_settings(&self, network: &NetworkSettings) {
        self.idle_timeout.set(idle_timeout(network));
        self.connect_timeout
            .set(to_duration(network.connect_timeout));
    }

    /// Allows so many connections from now on; those above it close as they become idle.
    pub fn set_max_open(&self, max_open: usize) {
        self.max_open.set(max_open);
        while self.open_connections() > max_open && self.close_longest_idle() {}
    }

    /// An idle connection, checked at this moment, or a new one.
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

    fn is_usable(&self, connection: &PooledConnection) -> bool {
        connection.idle_since.elapsed() < self.idle_timeout.get()
            && !connection.sender.is_closed()
            && !connection.stream.has_activity()
    }

    /// An idle connection that has rested.
    async fn take_idle(&self, id: BackendId, address: SocketAddr) -> Option<PooledConnection> {
        loop {
            let connection = self.pick_idle(id)?;
            if connection.address != address {
                continue; // the backend has another address now
            }
            if connection.last_response_at.elapsed() < MIN_REUSE_DELAY {
                let rested_at = connection.last_response_at + MIN_REUSE_DELAY;
                tokio::time::sleep_until(rested_at).await;
            }
            if self.is_usable(&connection) {
                return Some(connection);
            }
        }
    }

    /// The most recently used of those that have rested, or the one that will have first.
    fn pick_idle(&self, id: BackendId) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&id).filter(|list| !list.is_empty())?;
        let rested = connections
            .iter()
            .rposition(|connection| connection.last_response_at.elapsed() >= MIN_REUSE_DELAY);
        Some(connections.remove(rested.unwrap_or(0)))
    }

    /// Takes a connection back that nothing is in flight on.
    pub(super) fn check_in(&self, id: BackendId, connection: PooledConnection) {
        if self.closed_backends.borrow().contains(&id) {
            return;
        }
        connection.stream.mark_idle();
        let mut idle = self.idle.borrow_mut();
        idle.entry(id).or_default().push(connection);
    }

    /// Takes a connection back whose response was read, idle since then. One check: a response does not wait for a
    /// connection that is not ready for more.
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

    /// Notes that the backend responds.
    pub(super) fn record_response(&self, id: BackendId) {
        self.last_response_at
            .borrow_mut()
            .insert(id, Instant::now());
    }

    /// The backend gets no new requests: no connection to it is kept idle until it is reopened.
    pub fn close_backend(&self, id: BackendId) {
        self.closed_backends.borrow_mut().insert(id);
        self.idle.borrow_mut().remove(&id);
        self.last_response_at.borrow_mut().remove(&id);
    }

    /// The backend may get requests again.
    pub fn reopen_backend(&self, id: BackendId) {
        self.closed_backends.borrow_mut().remove(&id);
    }

    /// Nothing will ever be sent to the backend again, and nothing is in flight there.
    pub fn remove_backend(&self, id: BackendId) {
        self.close_backend(id);
        self.reopen_backend(id);
    }

    /// An attempt sent at `sent_at` was given up without a response. If the backend has not responded to anything since,
    /// its machine may be cut off and its idle connections dead without a sign: what is written to one of those may
    /// have run for all one can tell, while a new connection that fails proves that it did not.
    pub fn record_unanswered_attempt(&self, id: BackendId, sent_at: Instant) {
        let responses = self.last_response_at.borrow();
        if responses.get(&id).is_none_or(|at| *at < sent_at) {
            self.idle.borrow_mut().remove(&id);
        }
    }

    /// Closes the connection that has been idle longest; false when there is none.
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

    /// Closes connections that were idle too long or were closed by the backend, for as long as the program runs.
    pub async fn close_idle_connections(self: Rc<ConnectionPool>) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|connection| self.is_usable(connection));
                !connections.is_empty()
            });
        }
    }

    /// Opens a connection. At the bound an idle one makes way; where there is none the backend is not to blame.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, Outcome> {
        if self.open_connections() >= self.max_open.get() && !self.close_longest_idle() {
            return Err(Outcome::NotSent);
        }
        let slot = ConnectionSlot::new(self.open_count.clone());
        self.connect_count.set(self.connect_count.get() + 1);
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(self.connect_timeout.get(), connecting).await;
        let tcp = match connected {
            Ok(Ok(tcp)) => tcp,
            // The fault is this proxy's own, and no sign of the backend's.
            Ok(Err(error)) if is_out_of_descriptors(&error) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        PooledConnection::open(ObservedStream::new(tcp), address, slot)
            .await
            .ok_or(Outcome::ConnectFailed)
    }
}

fn idle_timeout(network: &NetworkSettings) -> Duration {
    to_duration(network.conn_idle.mul_f64(IDLE_TIMEOUT_FRACTION))
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}
