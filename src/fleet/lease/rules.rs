//! The parameters of leases that all voters and candidates of a fleet share, and the durations derived from them.

use crate::interface::Micros;

/// The longest term. A holder that fails is not replaced before its term ends.
const MAX_TERM: Micros = Micros(24 * 3_600 * 1_000_000);

/// The election timeout is a term divided by this.
const ELECTIONS_PER_TERM: u64 = 4;

/// The parameters of leases. All voters and candidates of a fleet must have the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    voters: u8,
    term: Micros,
    grant_duration: Micros,
}

impl Rules {
    /// Creates rules for 1, 3, 5 or 7 `voters`, leases that last `term` (up to a day) unless they are renewed, and
    /// monotonic clocks that run within `1 +- drift` of true time (0 to below 0.5).
    ///
    /// # Errors
    /// Names the first parameter that is out of its range.
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

    /// Returns the number of voters.
    pub fn voters(&self) -> usize {
        usize::from(self.voters)
    }

    /// Returns how long a lease lasts without a renewal, on the holder's clock.
    pub fn term(&self) -> Micros {
        self.term
    }

    /// Returns how long a grant lasts on a voter's clock, and how long a voter stays silent after its start: a term on the
    /// slowest allowed clock, as measured by the fastest.
    pub fn grant_duration(&self) -> Micros {
        self.grant_duration
    }

    /// Returns the time after which an election that is not won is abandoned.
    pub fn election_timeout(&self) -> Micros {
        self.term_divided_by(ELECTIONS_PER_TERM)
    }

    pub(super) fn term_divided_by(&self, divisor: u64) -> Micros {
        Micros((self.term.0 / divisor).max(1))
    }

    /// Returns the number of voters that have to grant a lease.
    pub(super) fn quorum(&self) -> u32 {
        u32::from(self.voters) / 2 + 1
    }
}

/// Why [`Rules::new`] rejects its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    /// The number of voters is not 1, 3, 5 or 7.
    #[error("voters: expected 1, 3, 5 or 7, not {0}")]
    Voters(usize),
    /// The term is 0 or over a day.
    #[error("term: expected above 0 and up to a day, not {} s", .0.as_secs_f64())]
    Term(Micros),
    /// The drift is not in the range from 0 to below 0.5.
    #[error("drift: expected from 0 to below 0.5")]
    Drift,
}
