//! When each voter of a lease was last heard of, and whether a quorum answers.

use meadowproxy::{Micros, Time};
use std::net::SocketAddr;

/// One of the voters, and when messages of it came.
struct VoterContact {
    address: SocketAddr,
    /// When it last answered this proxy's candidate.
    answered_at: Option<Time>,
    /// When any message of it came.
    message_at: Option<Time>,
}

/// The voters, in the order in which all proxies list them.
pub struct VoterContacts {
    contacts: Vec<VoterContact>,
}

impl VoterContacts {
    /// Voters of which no message came yet.
    pub fn new(voters: Vec<SocketAddr>) -> VoterContacts {
        let contact = |address| VoterContact {
            address,
            answered_at: None,
            message_at: None,
        };
        VoterContacts {
            contacts: voters.into_iter().map(contact).collect(),
        }
    }

    /// How many voters there are.
    pub fn count(&self) -> usize {
        self.contacts.len()
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + use<'_> {
        self.contacts.iter().map(|contact| contact.address)
    }

    /// A voter's place, from 0; `None` for a proxy that is no voter.
    pub fn place(&self, address: SocketAddr) -> Option<usize> {
        self.addresses().position(|voter| voter == address)
    }

    /// The voter at that place answered this proxy's candidate.
    pub fn record_response(&mut self, place: usize, now: Time) {
        self.contacts[place].answered_at = Some(now);
    }

    /// A message came from that proxy, which may be a voter.
    pub fn record_message(&mut self, from: SocketAddr, now: Time) {
        if let Some(place) = self.place(from) {
            self.contacts[place].message_at = Some(now);
        }
    }

    /// How many voters answered within that time.
    pub fn answering(&self, now: Time, within: Micros) -> usize {
        self.contacts
            .iter()
            .filter_map(|contact| contact.answered_at)
            .filter(|answered_at| now - *answered_at <= within)
            .count()
    }

    /// The voters of which any message came within that time, with `own` if this proxy is one.
    pub fn reachable(&self, now: Time, within: Micros, own: SocketAddr) -> Vec<String> {
        self.contacts
            .iter()
            .filter(|contact| {
                let is_recent = contact.message_at.is_some_and(|at| now - at <= within);
                contact.address == own || is_recent
            })
            .map(|contact| contact.address.to_string())
            .collect()
    }
}
