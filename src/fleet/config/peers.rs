//! The state of the fleet as a replica's host knows it, and the random selection of peers.

use crate::fleet::lease::Token;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// A peer to catch up from is chosen from all zones with a probability of one in this many.
const ANY_ZONE_ONE_IN: usize = 4;

/// What the host knows of the fleet when it calls the replica.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The wall clock in milliseconds since 1970.
    pub wall_ms: u64,
    /// The live members except this proxy.
    pub members: &'a [SocketAddr],
    /// The live members in this proxy's zone except this proxy. If empty, peers are chosen from all members.
    pub zone_members: &'a [SocketAddr],
    /// The token of this proxy's lease while the lease is valid and this proxy is the leader.
    pub lease: Option<Token>,
    /// The leader's address, if known.
    pub leader: Option<SocketAddr>,
}

/// Selects peers at random, with a reproducible sequence per seed.
#[derive(Clone, Debug)]
pub(super) struct PeerSampler {
    random: Pcg32,
}

impl PeerSampler {
    pub(super) fn new(random: Pcg32) -> PeerSampler {
        PeerSampler { random }
    }

    /// Returns one of the peers, or `None` if there are none.
    pub(super) fn choose(&mut self, peers: &[SocketAddr]) -> Option<SocketAddr> {
        if peers.is_empty() {
            return None;
        }
        Some(peers[self.random_below(peers.len())])
    }

    /// Returns a member to catch up from. Prefers `zone_members` unless that is empty; the proxy's host leaves it empty.
    pub(super) fn choose_nearby(&mut self, context: &Context) -> Option<SocketAddr> {
        if context.zone_members.is_empty() || self.random_below(ANY_ZONE_ONE_IN) == 0 {
            self.choose(context.members)
        } else {
            self.choose(context.zone_members)
        }
    }

    /// Returns up to `count` different peers.
    pub(super) fn sample(&mut self, peers: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let mut peers = peers.to_vec();
        let count = count.min(peers.len());
        for drawn in 0..count {
            let other = drawn + self.random_below(peers.len() - drawn);
            peers.swap(drawn, other);
        }
        peers.truncate(count);
        peers
    }

    /// Returns a random number below `limit`, which must be above 0.
    fn random_below(&mut self, limit: usize) -> usize {
        ((u64::from(self.random.next_u32()) * limit as u64) >> 32) as usize
    }
}
