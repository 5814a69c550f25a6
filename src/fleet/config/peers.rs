//! What a replica knows of the fleet around it, and how it selects peers at random.

use crate::fleet::lease::Token;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// One in so many catch-ups goes to a proxy of any zone.
const ANY_ZONE_ONE_IN: usize = 4;

/// What the host knows at this instant.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The wall clock in milliseconds since 1970.
    pub wall_ms: u64,
    /// Live members but this proxy.
    pub members: &'a [SocketAddr],
    /// Those of its own zone.
    pub zone_members: &'a [SocketAddr],
    /// The token of this proxy's lease while it is the leader, by the clock.
    pub lease: Option<Token>,
    /// The leader, where one is known.
    pub leader: Option<SocketAddr>,
}

/// Selects peers at random, the same ones for the same seed.
#[derive(Clone, Debug)]
pub(super) struct PeerSampler {
    random: Pcg32,
}

impl PeerSampler {
    pub(super) fn new(random: Pcg32) -> PeerSampler {
        PeerSampler { random }
    }

    /// One of these, none of none.
    pub(super) fn choose(&mut self, peers: &[SocketAddr]) -> Option<SocketAddr> {
        if peers.is_empty() {
            return None;
        }
        Some(peers[self.below(peers.len())])
    }

    /// A member to catch up from; prefers `zone_members`, which the host leaves empty.
    pub(super) fn choose_nearby(&mut self, context: &Context) -> Option<SocketAddr> {
        if context.zone_members.is_empty() || self.below(ANY_ZONE_ONE_IN) == 0 {
            self.choose(context.members)
        } else {
            self.choose(context.zone_members)
        }
    }

    /// Up to `count` different ones of these.
    pub(super) fn sample(&mut self, peers: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let mut peers = peers.to_vec();
        let count = count.min(peers.len());
        for drawn in 0..count {
            let other = drawn + self.below(peers.len() - drawn);
            peers.swap(drawn, other);
        }
        peers.truncate(count);
        peers
    }

    /// Any number below `limit`, which is above 0.
    fn below(&mut self, limit: usize) -> usize {
        ((u64::from(self.random.next_u32()) * limit as u64) >> 32) as usize
    }
}
