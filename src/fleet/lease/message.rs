//! What candidates and voters exchange about one duty.

use super::ballot::Ballot;
use serde::{Deserialize, Serialize};

/// A candidate's request, which goes to all voters at once, or a voter's response to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Candidate: would this be granted? It binds nobody, so that a bid without a chance takes no voter from a holder.
    PreVote {
        /// What would be requested.
        ballot: Ballot,
    },
    /// Voter: as things are, yes.
    PreVoteGranted {
        /// What the pre-vote named.
        ballot: Ballot,
    },
    /// Candidate: grant this, or renew the grant.
    RequestGrant {
        /// What is to be granted.
        ballot: Ballot,
        /// Which of this ballot's rounds this is, from 1.
        round: u32,
    },
    /// Voter: granted, for the duration of one grant from now.
    Granted {
        /// What was granted.
        ballot: Ballot,
        /// The round that it answers.
        round: u32,
    },
    /// Voter: no, as another's grant is live or a higher ballot was granted.
    Denied {
        /// What was requested.
        ballot: Ballot,
        /// The round that it answers, 0 for [`Message::PreVote`].
        round: u32,
        /// The highest ballot that this voter granted or observed.
        highest: Ballot,
    },
    /// Candidate: what was granted to this ballot is no longer needed, for ever.
    Release {
        /// The ballot.
        ballot: Ballot,
    },
}
