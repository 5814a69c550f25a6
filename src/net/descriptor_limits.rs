//! Limits on client and backend connections, derived from the process's limit of file descriptors.
//!
//! [`DescriptorLimits`] holds the current limits. During a hot restart two processes make up one proxy and share its
//! descriptors; [`track_other_process`] adjusts the limits of each to what the other uses.

use crate::net::downstream::server::Server;
use crate::net::host::Host;
use crate::net::state::hot_restart::{ConnectionCounts, Presence};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Descriptors reserved for everything but client and backend connections.
const RESERVED_DESCRIPTORS: usize = 64;
/// How often the only process of a proxy checks for another one.
const SINGLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often each of two processes checks the other's connections.
const SHARED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Client connections, and as many backend connections, that a process may hold regardless of the other one. They use
/// reserved descriptors if necessary.
const MIN_CONNECTIONS: usize = 8;
/// Additional descriptors reserved for a second process: for everything but connections, and for clients above its
/// limit.
const SECOND_PROCESS_DESCRIPTORS: usize = 40;
/// Backend connections that a process may open between two checks.
const UPSTREAM_HEADROOM: usize = 16;

/// How many connections a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub upstreams: usize,
}

impl ConnectionLimits {
    /// Returns the limits of a proxy's only process: half of the capacity for each kind of connection.
    pub fn for_single_process(descriptors: usize) -> ConnectionLimits {
        let capacity = connection_capacity(descriptors);
        let upstreams = capacity / 2;
        ConnectionLimits {
            clients: capacity - upstreams,
            upstreams,
        }
    }

    /// Returns the limits of one of two processes, where `other` is what the other one has open. Backend connections
    /// are limited to slightly more than are open, and clients get all the rest, as clients of the old process stay
    /// connected while new ones connect to the new process.
    fn for_shared_capacity(
        descriptors: usize,
        open_upstreams: usize,
        other: ConnectionCounts,
    ) -> ConnectionLimits {
        let capacity = connection_capacity(descriptors).saturating_sub(SECOND_PROCESS_DESCRIPTORS);
        let upstreams = (open_upstreams + UPSTREAM_HEADROOM).min(capacity / 2);
        let clients = capacity.saturating_sub(other.clients + other.upstreams + upstreams);
        ConnectionLimits {
            clients: clients.max(MIN_CONNECTIONS),
            upstreams: upstreams.max(MIN_CONNECTIONS),
        }
    }
}

/// The proxy's number of descriptors, and how many connections another process of it holds.
#[derive(Debug)]
pub struct DescriptorLimits {
    /// The number of descriptors; a reload can change it.
    descriptors: Cell<usize>,
    /// The open connections of the other process, while there is one.
    other: Cell<Option<ConnectionCounts>>,
}

impl DescriptorLimits {
    /// Creates the limits of a process that knows of no other one.
    pub fn new(descriptors: usize) -> DescriptorLimits {
        DescriptorLimits {
            descriptors: Cell::new(descriptors),
            other: Cell::new(None),
        }
    }

    /// Sets the number of descriptors; what another process uses is still subtracted.
    pub fn set_descriptors(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
    }

    /// Sets the open connections of another process. Returns whether that process appeared or disappeared.
    pub fn set_other(&self, other: Option<ConnectionCounts>) -> bool {
        self.other.replace(other).is_some() != other.is_some()
    }

    /// Returns how many connections the process may hold now, while `open_upstreams` are open to backends.
    pub fn connection_limits(&self, open_upstreams: usize) -> ConnectionLimits {
        let descriptors = self.descriptors.get();
        match self.other.get() {
            Some(other) => {
                ConnectionLimits::for_shared_capacity(descriptors, open_upstreams, other)
            }
            None => ConnectionLimits::for_single_process(descriptors),
        }
    }

    /// Applies the current limits to the server and the connection pool.
    pub fn apply(&self, host: &Host, server: &Server) {
        let limits = self.connection_limits(host.pool.open_connections());
        host.pool.set_max_open(limits.upstreams);
        server.set_max_clients(limits.clients);
    }
}

/// Returns how many connections that many descriptors allow, without the reserved ones.
fn connection_capacity(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2)
}

/// Watches for another process of this proxy, and runs until the process ends. While there are two, they share the
/// proxy's descriptors and the request rate of backends in slow start: what one process uses is not available to the
/// other. Clients move from the old process to the new one by one, and the limits of both follow.
pub async fn track_other_process(
    presence: Rc<Presence>,
    host: Rc<Host>,
    server: Rc<Server>,
    limits: Rc<DescriptorLimits>,
) {
    loop {
        let others = presence.other_processes();
        let own = ConnectionCounts {
            clients: server.client_count(),
            upstreams: host.pool.open_connections(),
        };
        presence.write_counts(own);
        let is_shared = others.any();
        let resident_bytes = is_shared
            .then(|| presence.resident_bytes_of_others())
            .flatten();
        host.pool
            .memory_budget()
            .set_other_processes(resident_bytes);
        let has_changed = limits.set_other(is_shared.then_some(others.connections));
        limits.apply(&host, &server);
        if has_changed {
            process_count_changed(&host, is_shared);
        }
        let interval = if is_shared {
            SHARED_CHECK_INTERVAL
        } else {
            SINGLE_CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

fn process_count_changed(host: &Rc<Host>, is_shared: bool) {
    if is_shared {
        info!("hot restart: sharing connection limits with another process of this proxy");
        host.set_process_count(2);
    } else {
        info!("hot restart is over: this is the only process of this proxy");
        host.set_process_count(1);
    }
}

#[cfg(test)]
mod tests;
