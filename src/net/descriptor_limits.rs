//! How the descriptors that a process may hold are parted: between clients and upstreams, and between two processes
//! that are one proxy.

use crate::net::downstream::server::Server;
use crate::net::host::Host;
use crate::net::state::hot_restart::{Held, Presence};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Descriptors that are kept for all but clients and upstreams.
const RESERVE: usize = 64;
/// How often a process looks for another one.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const LOOK_BESIDE: Duration = Duration::from_millis(20);
/// Clients, and as many upstreams, that a process may have whatever the other one holds; out of the reserve.
const LEAST_PART: usize = 8;
/// What a second process needs for all else, and for clients over its bound.
const BOTH: usize = 40;
/// Upstreams that a process may open between two looks.
const MORE_UPSTREAMS: usize = 16;

/// While two processes are this proxy they share its descriptors and what cold backends may get. What one holds
/// the other may not: the clients of the old one come over one by one, and each side's part follows them.
pub async fn share(
    presence: Rc<Presence>,
    host: Rc<Host>,
    server: Rc<Server>,
    sockets: Rc<Cell<usize>>,
) {
    let mut shared = false;
    loop {
        let (room, others) = (room(sockets.get()), presence.others());
        presence.tell(Held {
            clients: server.clients(),
            upstreams: host.pool.open(),
        });
        let beside = others.older || others.younger;
        let (clients, upstreams) = if beside {
            parts(room, host.pool.open(), others.held)
        } else {
            (room - room / 2, room / 2)
        };
        host.pool.limit(upstreams);
        server.limit(clients);
        if shared != beside {
            shared = !shared;
            info!(
                "{}",
                if shared {
                    "beside another process"
                } else {
                    "alone again"
                }
            );
            host.beside(if shared { 2 } else { 1 });
        }
        tokio::time::sleep(if shared { LOOK_BESIDE } else { LOOK_EVERY }).await;
    }
}

/// What a process may have of the room beside one that holds so much: upstreams a little above those it has, and
/// clients out of all else, as those of the old one are still waiting when the new one's come.
fn parts(room: usize, upstreams: usize, held: Held) -> (usize, usize) {
    let room = room.saturating_sub(BOTH);
    let upstreams = (upstreams + MORE_UPSTREAMS).min(room / 2);
    let clients = room.saturating_sub(held.clients + held.upstreams + upstreams);
    (clients.max(LEAST_PART), upstreams.max(LEAST_PART))
}

/// Descriptors for clients and upstreams, of so many.
pub fn room(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVE).max(2)
}

#[cfg(test)]
mod tests;
