//! How many client and backend connections a process may hold within its limit of file descriptors.
//!
//! [`DescriptorLimits`] says it at any moment. During a hot restart two processes are one proxy and share its descriptors;
//! [`track_other_process`] keeps their limits in step.

use crate::net::downstream::server::Server;
use crate::net::host::Host;
use crate::net::state::hot_restart::{ConnectionCounts, Presence};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Descriptors reserved for everything but client and backend connections.
const RESERVED_DESCRIPTORS: usize = 64;
/// How often a process that is the only one looks for another.
const SINGLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often one of two processes looks at the other.
const SHARED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Client connections, and as many to backends, that a process may have whatever the other one has. They come out of the
/// reserve.
const MIN_CONNECTIONS: usize = 8;
/// Descriptors that a second process needs for everything else, and for clients over its limit.
const SECOND_PROCESS_DESCRIPTORS: usize = 40;
/// Backend connections that a process may open between two checks.
const UPSTREAM_HEADROOM: usize = 16;

/// How many connections a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// From clients.
    pub clients: usize,
    /// To backends.
    pub upstreams: usize,
}

impl ConnectionLimits {
    /// Half of the capacity each, for a process with that many descriptors to itself.
    pub fn for_single_process(descriptors: usize) -> ConnectionLimits {
        let capacity = connection_capacity(descriptors);
        let upstreams = capacity / 2;
        ConnectionLimits {
            clients: capacity - upstreams,
            upstreams,
        }
    }

    /// For one of two processes, where the other one has `other` open: backend connections a little
    /// above those it has, and clients out of all else, as those of the old process still wait when the new one's come.
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

/// The descriptors that the process may hold, and what another process of this proxy has of them.
#[derive(Debug)]
pub struct DescriptorLimits {
    /// A reload can change the number.
    descriptors: Cell<usize>,
    /// The open connections of the other process, while there is one.
    other: Cell<Option<ConnectionCounts>>,
}

impl DescriptorLimits {
    /// For a process that knows of no other one.
    pub fn new(descriptors: usize) -> DescriptorLimits {
        DescriptorLimits {
            descriptors: Cell::new(descriptors),
            other: Cell::new(None),
        }
    }

    /// Sets the number of descriptors; another process still has its share.
    pub fn set_descriptors(&self, descriptors: usize) {
        self.descriptors.set(descriptors);
    }

    /// Sets what another process has; returns whether it came or went.
    pub fn set_other(&self, other: Option<ConnectionCounts>) -> bool {
        self.other.replace(other).is_some() != other.is_some()
    }

    /// How many connections the process may hold now, with so many open to backends.
    pub fn connection_limits(&self, open_upstreams: usize) -> ConnectionLimits {
        let descriptors = self.descriptors.get();
        match self.other.get() {
            Some(other) => {
                ConnectionLimits::for_shared_capacity(descriptors, open_upstreams, other)
            }
            None => ConnectionLimits::for_single_process(descriptors),
        }
    }

    /// Puts them in force.
    pub fn apply(&self, host: &Host, server: &Server) {
        let limits = self.connection_limits(host.pool.open_connections());
        host.pool.set_max_open(limits.upstreams);
        server.set_max_clients(limits.clients);
    }
}

/// Connections that fit into that many descriptors.
fn connection_capacity(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2)
}

/// Watches for another process of this proxy, for as long as the program runs. While there are two they share the
/// proxy's descriptors and the request rate that backends in slow start may get: what one process has the other may
/// not have. The old process's clients come over one by one, and the limits of each side follow them.
pub async fn track_other_process(
    presence: Rc<Presence>,
    host: Rc<Host>,
    server: Rc<Server>,
    limits: Rc<DescriptorLimits>,
) {
    loop {
        let others = presence.others();
        let own = ConnectionCounts {
            clients: server.client_count(),
            upstreams: host.pool.open_connections(),
        };
        presence.write_counts(own);
        let is_shared = others.any();
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
