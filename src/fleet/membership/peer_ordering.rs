//! The order in which the proxies health-check a backend after a verdict on it.
//!
//! All proxies derive the same order from the verdict, so that each one knows its own position without coordination.

use super::swim::SwimNode;
use super::verdict_broadcast::VerdictBroadcast;
use crate::interface::{BackendId, Micros, PeerId, PeerVerdict};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A member's address, and the same as text, which determines the member's position.
struct NamedAddress {
    address: SocketAddr,
    text: String,
}

impl NamedAddress {
    fn new(address: SocketAddr) -> NamedAddress {
        NamedAddress {
            address,
            text: address.to_string(),
        }
    }
}

/// A member's position in the order after one verdict: members are sorted by a hash.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    hash: u32,
    /// The tie-breaker between equal hashes.
    address: SocketAddr,
}

/// Determines this proxy's position in the order after each verdict, and numbers the proxies that verdicts come from.
pub(super) struct PeerOrdering {
    own: NamedAddress,
    /// The live members, cached until they change, as formatting all addresses for each verdict would be slow in a
    /// large fleet.
    live: Option<Vec<NamedAddress>>,
    origin_ids: HashMap<SocketAddr, PeerId>,
}

impl PeerOrdering {
    pub(super) fn new(own_address: SocketAddr) -> PeerOrdering {
        PeerOrdering {
            own: NamedAddress::new(own_address),
            live: None,
            origin_ids: HashMap::new(),
        }
    }

    /// Discards the cached members after one came up or went down.
    pub(super) fn on_members_changed(&mut self) {
        self.live = None;
    }

    /// The verdict in the form that the balancer expects, at wall time `now_us`. The driver sets the backend's id,
    /// which it looks up by name.
    pub(super) fn peer_verdict(
        &mut self,
        broadcast: &VerdictBroadcast,
        max_age: Micros,
        swim: &SwimNode,
        now_us: u64,
    ) -> PeerVerdict {
        self.refresh_live(swim);
        let health_check_turn = self.health_check_turn(broadcast);
        PeerVerdict {
            backend: BackendId::default(),
            origin: self.origin_id(broadcast.origin),
            verdict: broadcast.verdict,
            age: Micros(now_us.saturating_sub(broadcast.created_us)),
            max_age,
            live_peers: self.live_count(),
            health_check_turn,
        }
    }

    /// This proxy's position among the live ones in the pseudo-random order of the verdict. The origin of the verdict
    /// is last, as it has just sent requests to the backend.
    fn health_check_turn(&self, broadcast: &VerdictBroadcast) -> u32 {
        if broadcast.origin == self.own.address {
            return self.live_count();
        }
        let order = OrderHasher::new(broadcast.created_us);
        let own_position = order.position(&self.own);
        let is_earlier = |member: &&NamedAddress| {
            member.address != broadcast.origin && order.position(member) < own_position
        };
        let live = self.live.as_deref().unwrap_or_default();
        live.iter().filter(is_earlier).count() as u32
    }

    /// The number of the proxy `origin`, counted in the order of their first verdicts; `None` for this proxy.
    fn origin_id(&mut self, origin: SocketAddr) -> Option<PeerId> {
        if origin == self.own.address {
            return None;
        }
        let next_id = PeerId(self.origin_ids.len() as u32);
        Some(*self.origin_ids.entry(origin).or_insert(next_id))
    }

    fn live_count(&self) -> u32 {
        self.live.as_ref().map_or(0, Vec::len) as u32
    }

    fn refresh_live(&mut self, swim: &SwimNode) {
        let is_current = |live: &Vec<NamedAddress>| live.len() == swim.live_count();
        if !self.live.as_ref().is_some_and(is_current) {
            self.live = Some(swim.live_addresses().map(NamedAddress::new).collect());
        }
    }
}

/// Hashes members to their positions in the order of one verdict.
struct OrderHasher(crc32fast::Hasher);

impl OrderHasher {
    /// The hasher for a verdict created at wall time `created_us`.
    fn new(created_us: u64) -> OrderHasher {
        let mut hasher = crc32fast::Hasher::new_with_initial((created_us >> 8) as u32);
        hasher.update(&created_us.to_le_bytes());
        OrderHasher(hasher)
    }

    fn position(&self, member: &NamedAddress) -> Position {
        let mut hasher = self.0.clone();
        hasher.update(member.text.as_bytes());
        Position {
            hash: hasher.finalize(),
            address: member.address,
        }
    }
}
