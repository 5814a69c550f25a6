//! Ballots order the elections for a duty; the ballot that wins an election is the fencing token of the lease.

use serde::{Deserialize, Serialize};

/// Identifies one election of one candidate for a duty. Ballots are ordered by number, then by incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Higher than every number that the candidate had seen, and at least its wall clock in milliseconds since 1970.
    pub number: u64,
    /// The candidate's incarnation, a random number that its host draws at each start.
    #[serde(rename = "by")]
    pub incarnation: u64,
}

impl Ballot {
    /// Returns the lowest ballot above this one.
    pub(crate) fn successor(self) -> Ballot {
        match self.incarnation.checked_add(1) {
            Some(incarnation) => Ballot {
                incarnation,
                ..self
            },
            None => Ballot {
                number: self.number.saturating_add(1),
                incarnation: 0,
            },
        }
    }
}

/// The fencing token of a lease: the ballot that won it. It stays the same over all renewals, and every effect of the
/// holder carries it.
pub type Token = Ballot;
