//! The settings of a lease that all voters and candidates share, and the durations that follow from them.

use crate::interface::Micros;

/// The longest term: a dead holder is not replaced before its term is over.
const MAX_TERM: Micros = Micros(24 * 3_600 * 1_000_000);

/// A bid that is not won within this fraction of a term is given up.
const BIDS_PER_TERM: u64 = 4;

/// What all voters and candidates of a fleet agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    voters: u8,
    term: Micros,
    grant_duration: Micros,
}

impl Rules {
    /// Rules for so many voters (1, 3, 5 or 7), a lease that lasts `term` (up to a day) unless it is renewed, and
    /// monotonic clocks that run within `1 +- drift` of true time (0 up to below 0.5).
    ///
    /// # Errors
    /// The first of them that is out of its range.
    pub fn new(voters: usize, term: Micros, drift: f64) -> Result<Rules, RulesError> {
        if !matches!(voters, 1 | 3 | 5 | 7) {
            return Err(RulesError::Voters(voters));
        }
        if term.0 == 0 || term > MAX_TERM {
            return Err(RulesError::Term(term));
        }
        if !(0.0..0.5).contains(&drift) {
            return Err(RulesError::Drift);
        }
        let grant_us = (term.0 as f64 * (1.0 + drift) / (1.0 - drift)).ceil();
        Ok(Rules {
            voters: voters as u8,
            term,
            grant_duration: Micros(grant_us as u64),
        })
    }

    /// How many voters there are.
    pub fn voters(&self) -> usize {
        usize::from(self.voters)
    }

    /// How long a lease lasts without a renewal, on the holder's clock.
    pub fn term(&self) -> Micros {
        self.term
    }

    /// How long a grant lasts on a voter's clock, and how long a voter stays silent after its start: the term on the
    /// slowest clock, measured by the fastest.
    pub fn grant_duration(&self) -> Micros {
        self.grant_duration
    }

    /// A bid that is not won within this time is given up.
    pub fn election_timeout(&self) -> Micros {
        self.term_divided_by(BIDS_PER_TERM)
    }

    pub(super) fn term_divided_by(&self, divisor: u64) -> Micros {
        Micros((self.term.0 / divisor).max(1))
    }

    /// How many voters have to grant a lease.
    pub(super) fn quorum(&self) -> u32 {
        u32::from(self.voters) / 2 + 1
    }
}

/// Why rules were not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    /// So many voters are not 1, 3, 5 or 7.
    #[error("voters: expected 1, 3, 5 or 7, not {0}")]
    Voters(usize),
    /// This term is 0 or over a day.
    #[error("term: expected above 0 and up to a day, not {} s", .0.as_secs_f64())]
    Term(Micros),
    /// The drift is not from 0 to below 0.5.
    #[error("drift: expected from 0 to below 0.5")]
    Drift,
}
