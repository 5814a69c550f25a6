//! Leases: elect the one proxy of the fleet that performs a duty, by majority vote and without stable storage.
//!
//! A duty is work that at most one proxy may do at a time. Use this module to elect that proxy, and check each of its
//! effects with a [`Fence`](crate::fleet::fencing::Fence) where the effect is carried out.
//!
//! A [`Candidate`] sends requests to the [`Voter`]s, a small fixed set of proxies. Each voter grants the duty to one
//! candidate at a time, for a limited time. The candidate with grants from a quorum is the lease holder for one term, and
//! keeps renewing the lease. Each duty has its own candidates and voters; the host sends the duty's name along with the
//! [`Message`].
//!
//! # Why there is at most one holder
//! Any two quorums share a voter, and a voter has one live grant at a time. A holder counts its term from before it sent
//! the request, and a grant outlasts that term if both clocks run within `1 +- drift` of true time. A voter that has just
//! started, without memory, doesn't answer for the duration of one grant, so that all its earlier grants have expired. A
//! response counts only for the round that it names, so late responses are ignored.
//!
//! # Why fencing tokens grow
//! A voter grants no ballot below the highest one that it granted, and any two quorums share a voter. A voter that lost
//! this state in a restart restores it through [`Voter::observe_token`]. In addition, a ballot's number is at least the
//! wall clock at the start of its election. An election that is not won within [`Rules::election_timeout`] is abandoned, so
//! if the shared voter lost its state between two leases, the elections of these leases began most of a term apart.

mod ballot;
mod candidate;
mod message;
mod rules;
mod voter;

pub use ballot::{Ballot, Token};
pub use candidate::{Candidate, LeaseEvent, LossReason};
pub use message::Message;
pub use rules::{Rules, RulesError};
pub use voter::Voter;
