//! The messages that candidates and voters exchange about one duty.

use super::ballot::Ballot;
use serde::{Deserialize, Serialize};

/// A request of a candidate, which goes to all voters, or the response of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Candidate: asks whether the voter would grant this ballot. The answer isn't binding, so an election that can't be
    /// won doesn't cost the holder any grant.
    PreVote {
        /// The ballot that the candidate would request.
        ballot: Ballot,
    },
    /// Voter: would grant the ballot at present.
    PreVoteGranted {
        /// The ballot of the pre-vote.
        ballot: Ballot,
    },
    /// Candidate: requests a grant, or its renewal.
    RequestGrant {
        /// The ballot to grant.
        ballot: Ballot,
        /// The number of the round within this ballot, from 1.
        round: u32,
    },
    /// Voter: granted the ballot, for the duration of one grant from now.
    Granted {
        /// The granted ballot.
        ballot: Ballot,
        /// The round of the request.
        round: u32,
    },
    /// Voter: denied, because another candidate's grant is live or a higher ballot was granted or observed.
    Denied {
        /// The requested ballot.
        ballot: Ballot,
        /// The round of the request, 0 for [`Message::PreVote`].
        round: u32,
        /// The highest ballot that the voter granted or observed.
        highest: Ballot,
    },
    /// Candidate: releases the grants of a ballot, for good.
    Release {
        /// The ballot to release.
        ballot: Ballot,
    },
}
