//! The clients' server: accepts connections, and closes the least useful ones where it has too many.
//!
//! - `client_connection`: serves the requests of one connection.
//! - `request`: one request, from its head to its final answer.
//! - `shutdown`: what happens from the signal to stop until the last connection ends.

mod client_connection;
mod request;
mod shutdown;

use crate::net::host::Host;
use crate::net::observed_stream::ObservedStream;
use client_connection::{ClientConnection, IdleKind};
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

/// Connections above the limit, out of the reserved descriptors: each is closed after its next response.
const CONNECTIONS_ABOVE_LIMIT: usize = 24;
const BACKLOG: u32 = 1024;
/// The first request of a connection that is younger than this is on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// What the kernel has received is read within this time.
const EVENT_LOOP_TURN: Duration = Duration::from_millis(20);
/// Out of descriptors with no connection to close, accepting is retried after this time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// At most one line in this time about a listener that fails.
const ACCEPT_LOG_INTERVAL: Micros = Micros(1_000_000);

/// What requests are checked against.
pub struct RequestRules {
    pub classes: Vector<RequestClass>,
    /// Upper bound of a request's time, by class.
    pub deadlines: Vector<Micros>,
    pub max_retry_after: Micros,
}

impl RequestRules {
    /// Those of the settings in force.
    pub fn new(config: &Config, network: &NetworkSettings) -> RequestRules {
        RequestRules {
            classes: config.classes.clone(),
            deadlines: network.deadlines.clone(),
            max_retry_after: network.max_retry_after,
        }
    }
}

/// Listens at an address. An address whose old connections still linger after a restart can be listened at.
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

/// Serves clients.
pub struct Server {
    host: Rc<Host>,
    rules: RefCell<Rc<RequestRules>>,
    max_clients: Cell<usize>,
    clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_key: Cell<u64>,
    is_accepting: Cell<bool>,
    is_stopping: Cell<bool>,
    /// A connection ended, or is about to.
    client_closed: Notify,
    last_accept_log: Cell<Time>,
}

/// An idle connection, in the order in which idle connections are closed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CloseCandidate {
    kind: IdleKind,
    idle_since: Instant,
    key: u64,
}

impl Server {
    /// A server of at most `max_clients` connections.
    pub fn new(host: Rc<Host>, rules: RequestRules, max_clients: usize) -> Rc<Server> {
        Rc::new(Server {
            host,
            rules: RefCell::new(Rc::new(rules)),
            max_clients: Cell::new(max_clients),
            clients: RefCell::default(),
            next_key: Cell::new(0),
            is_accepting: Cell::new(false),
            is_stopping: Cell::new(false),
            client_closed: Notify::new(),
            last_accept_log: Cell::default(),
        })
    }

    /// Client connections that are open now.
    pub fn client_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Whether this process accepts clients.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Puts changed rules in force, for requests that arrive from now on.
    pub fn apply_rules(&self, rules: RequestRules) {
        *self.rules.borrow_mut() = Rc::new(rules);
    }

    /// Allows so many connections from now on.
    pub fn set_max_clients(&self, max_clients: usize) {
        self.max_clients.set(max_clients);
    }

    /// Accepts clients until `stop` completes, then answers what was accepted and returns. Where `successor_accepts` says
    /// that another process takes new clients, the listener and its queue are left to it at once.
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
        while self.client_count() >= self.max_clients.get() + CONNECTIONS_ABOVE_LIMIT {
            // A connection that is closing still has a descriptor, and a queue of new ones would take the rest.
            self.close_least_useful(EVENT_LOOP_TURN);
            self.wait_for_client_close(EVENT_LOOP_TURN).await;
        }
        match listener.accept().await {
            Ok((tcp, _)) => self.add_client(tcp),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {} // it left in the queue
            Err(error) => self.accept_failed(&error).await,
        }
    }

    /// Out of descriptors: that is never the end of the program.
    async fn accept_failed(&self, error: &io::Error) {
        let now = self.host.clock.now();
        if now - self.last_accept_log.get() >= ACCEPT_LOG_INTERVAL {
            self.last_accept_log.set(now);
            warn!(
                "accept: {error}; {} clients, {} upstreams",
                self.client_count(),
                self.host.pool.open_connections()
            );
        }
        if self.close_least_useful(Duration::ZERO) || !self.host.pool.close_longest_idle() {
            self.wait_for_client_close(ACCEPT_RETRY_DELAY).await;
        }
    }

    async fn wait_for_client_close(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.client_closed.notified()).await;
    }

    /// Closes one idle connection: of the first kind that there is, the one that has been idle longest. One that has just
    /// connected is spared for `min_age`. False if there is none.
    fn close_least_useful(&self, min_age: Duration) -> bool {
        let clients = self.clients.borrow();
        // The kernel is asked one by one: to ask it of every connection at each accept costs more than the accepts.
        let mut candidates = self.close_candidates(&clients, min_age);
        while let Some(Reverse(candidate)) = candidates.pop() {
            let client = &clients[&candidate.key];
            if candidate.kind == IdleKind::HalfClosed || !client.stream.has_unread_input() {
                client.is_closing.set(true); // another call at the same moment chooses another
                client.close.notify_one();
                return true;
            }
        }
        false
    }

    fn close_candidates(
        &self,
        clients: &HashMap<u64, Rc<ClientConnection>>,
        min_age: Duration,
    ) -> BinaryHeap<Reverse<CloseCandidate>> {
        let now = Instant::now();
        let candidate = |(key, client): (&u64, &Rc<ClientConnection>)| {
            let since = self.host.clock.instant(client.last_active_at.get());
            let idle = client.idle_state(now, since)?;
            let is_spared = idle.kind == IdleKind::JustConnected && now - idle.since < min_age;
            (!is_spared).then_some(Reverse(CloseCandidate {
                kind: idle.kind,
                idle_since: idle.since,
                key: *key,
            }))
        };
        clients.iter().filter_map(candidate).collect()
    }

    fn add_client(self: &Rc<Self>, tcp: TcpStream) {
        if self.client_count() >= self.max_clients.get() {
            self.close_least_useful(FIRST_REQUEST_GRACE);
        }
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let now = self.host.clock.now();
        let client = Rc::new(ClientConnection::new(ObservedStream::new(tcp), now));
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            client.mark_half_closed();
            server.client_closed.notify_one(); // whoever waits for capacity need not wait for the other side
            client.close_lingering().await;
            server.clients.borrow_mut().remove(&key);
            server.client_closed.notify_one();
        });
    }
}

#[cfg(test)]
mod tests;
