//! Ballots, by which voters order the bids for a duty, and the fencing tokens that successful ballots become.

use serde::{Deserialize, Serialize};

/// A bid for a duty, ordered by number and then by candidate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Above every number that the candidate had seen, and at least its wall clock in milliseconds since 1970.
    pub number: u64,
    /// The candidate's incarnation: a number that its host draws at random at each start.
    #[serde(rename = "by")]
    pub incarnation: u64,
}

impl Ballot {
    /// The least ballot above this one.
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

/// The fencing token of one lease from its acquisition to its loss, over all renewals: the ballot that won it. Every
/// effect of the holder carries it.
pub type Token = Ballot;
