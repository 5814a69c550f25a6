//! Leases: a duty that one proxy of the fleet performs at a time, agreed on by a majority and without a disk.
//!
//! A [`Candidate`] sends its requests to the [`Voter`]s, a small fixed set of proxies. Each voter grants a duty to one
//! candidate at a time, for a while; the candidate with grants from a quorum is the lease holder for one term, and
//! renews the lease from then on. There is one candidate and one voter machine for each duty; the duty's name travels
//! beside the [`Message`].
//!
//! Use these machines where work may be done by one proxy only, and check each of its effects with a
//! [`Fence`](crate::fleet::fencing::Fence) where it takes place.
//!
//! # Why there is at most one holder
//! Two quorums share a voter, and a voter has one live grant at a time. A holder counts its term from before it sent
//! the request, and a grant outlives that on any clock that runs within `1 +- drift` of true time. A voter that starts
//! with empty memory answers nothing for the duration of one grant, so that whatever it granted before has expired. A
//! response counts only for the round that it names, so a late one proves nothing.
//!
//! # Why fencing tokens grow
//! A voter grants nothing below the highest ballot that it granted, and the shared voter saw both. Where voters forgot
//! that in a restart, [`Voter::observe_token`] restores it, and no ballot's number is below the wall clock at its bid.
//! A bid that is not won within [`Rules::election_timeout`] is given up, so two leases between which a voter forgot were
//! bid for most of a term apart.

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
