//! When messages of each voter of a lease last arrived, to tell whether a quorum of the voters responds.

use meadowproxy::{Micros, Time};
use std::net::SocketAddr;

/// A voter, and when its messages arrived.
struct VoterContact {
    address: SocketAddr,
    /// When its last response to this proxy's candidate arrived.
    last_response_at: Option<Time>,
    /// When its last message of any kind arrived.
    last_message_at: Option<Time>,
}

/// The voters of a lease, in the order of the settings, which is the same at all proxies.
pub struct VoterContacts {
    contacts: Vec<VoterContact>,
}

impl VoterContacts {
    /// Creates the voters, before any message arrived.
    pub fn new(voters: Vec<SocketAddr>) -> VoterContacts {
        let contact = |address| VoterContact {
            address,
            last_response_at: None,
            last_message_at: None,
        };
        VoterContacts {
            contacts: voters.into_iter().map(contact).collect(),
        }
    }

    /// Number of voters.
    pub fn count(&self) -> usize {
        self.contacts.len()
    }

    /// Addresses of the voters, in their order.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + use<'_> {
        self.contacts.iter().map(|contact| contact.address)
    }

    /// Returns a voter's index; `None` if the proxy is not a voter.
    pub fn index_of(&self, address: SocketAddr) -> Option<usize> {
        self.addresses().position(|voter| voter == address)
    }

    /// Records that the voter at `index` responded to this proxy's candidate.
    pub fn record_response(&mut self, index: usize, now: Time) {
        self.contacts[index].last_response_at = Some(now);
    }

    /// Records a message from a proxy, if it is a voter.
    pub fn record_message(&mut self, from: SocketAddr, now: Time) {
        if let Some(index) = self.index_of(from) {
            self.contacts[index].last_message_at = Some(now);
        }
    }

    /// Number of voters that responded to this proxy's candidate within the time before `now`.
    pub fn responding_count(&self, now: Time, within: Micros) -> usize {
        self.contacts
            .iter()
            .filter_map(|contact| contact.last_response_at)
            .filter(|last_response_at| now - *last_response_at <= within)
            .count()
    }

    /// Returns the addresses of the voters of which a message arrived within the time before `now`. This proxy, if it
    /// is a voter, is always included.
    pub fn reachable(&self, now: Time, within: Micros, own_address: SocketAddr) -> Vec<String> {
        self.contacts
            .iter()
            .filter(|contact| {
                let is_recent = contact.last_message_at.is_some_and(|at| now - at <= within);
                contact.address == own_address || is_recent
            })
            .map(|contact| contact.address.to_string())
            .collect()
    }
}
