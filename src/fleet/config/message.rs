//! What proxies say to each other about the configuration.

use super::submit::{Rejected, Submission};
use super::table::{Digest, Entry};
use super::tree::{Node, CHILDREN};
use super::{Change, Refused};
use crate::fleet::lease::Token;
use serde::{Deserialize, Serialize};

/// Between the holder of the duty and the voters, and among voters. Rounds and nonces tie an answer to its question.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Paxos {
    /// Holder: keep nothing under a lower token any more, and tell what you have.
    Prepare {
        /// The holder's.
        token: Token,
        /// Which of its rounds.
        round: u32,
    },
    /// Voter: so be it.
    Promise {
        /// The token that it promised.
        token: Token,
        /// The round that it answers.
        round: u32,
        /// Its copy's version.
        version: u64,
        /// The change that it keeps after that version, and under which token.
        accepted: Option<(Token, Change)>,
        /// New numbers have to be above this: what had those may be forgotten.
        floor: u64,
    },
    /// Holder: keep this.
    Accept {
        /// The holder's.
        token: Token,
        /// Which of its rounds.
        round: u32,
        /// What is to be kept.
        change: Change,
    },
    /// Voter: it is kept.
    Accepted {
        /// Under which token.
        token: Token,
        /// The round that it answers.
        round: u32,
    },
    /// Voter: not yet, as this copy lacks what comes before.
    Behind {
        /// Whose change it was.
        token: Token,
        /// The round that it answers.
        round: u32,
        /// The voter's version.
        version: u64,
    },
    /// Voter: no, as it promised a higher token.
    Refused {
        /// The token that it refuses.
        token: Token,
        /// The highest that it promised.
        highest: Token,
    },
    /// A voter without memory: what do you know?
    Recover {
        /// Names this question.
        nonce: u64,
    },
    /// Another voter.
    Known {
        /// The question.
        nonce: u64,
        /// What it keeps.
        memory: Memory,
        /// Whether that is all that it ever kept, and not itself still to be recovered.
        remembers: bool,
    },
}

/// What a voter must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// The highest token that it promised.
    pub promised: Token,
    /// Its copy's version.
    pub version: u64,
    /// The change that it keeps after that version, and under which token.
    pub accepted: Option<(Token, Change)>,
    /// New numbers have to be above this.
    pub floor: u64,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// About what is to be decided.
    Paxos(Paxos),
    /// Decided changes in order, and the version of the sender's copy. `push`: they are news.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// The sender's version.
        version: u64,
        /// Whether they are new to the sender as well.
        push: bool,
    },
    /// What the sender has.
    Digest {
        /// Its version and root.
        digest: Digest,
        /// The sender has just started and may lack anything.
        new: bool,
        /// The receiver's own is wanted, also where it is equal.
        ask: bool,
    },
    /// What followed this version?
    Since {
        /// The sender's version.
        version: u64,
    },
    /// What are the hashes of that range's children?
    Hashes {
        /// The range.
        node: Node,
    },
    /// These; also the answer to [`Message::Since`] where the log does not reach.
    Children {
        /// What the sender has.
        digest: Digest,
        /// The range.
        node: Node,
        /// Its children's hashes, in order.
        hashes: Vec<u64>,
    },
    /// What lies between these positions?
    Range {
        /// The first.
        from: u64,
        /// The last.
        to: u64,
    },
    /// All that lies between these positions, as much as one message holds.
    Part {
        /// What the sender has.
        digest: Digest,
        /// The first position.
        from: u64,
        /// The last, which may be less than was asked for.
        to: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// To the holder: an operator's change.
    Submit(Submission),
    /// The holder's answer to it: the change's number, or why not.
    Outcome {
        /// The submission's.
        id: u64,
        /// What became of it.
        result: Result<u64, Rejected>,
    },
}

impl Message {
    /// The tokens in it.
    pub fn tokens(&self) -> Vec<Token> {
        let Message::Paxos(message) = self else {
            return Vec::new();
        };
        match message {
            Paxos::Prepare { token, .. }
            | Paxos::Accept { token, .. }
            | Paxos::Accepted { token, .. }
            | Paxos::Behind { token, .. } => vec![*token],
            Paxos::Promise {
                token, accepted, ..
            } => accepted.iter().map(|(by, _)| *by).chain([*token]).collect(),
            Paxos::Refused { token, highest } => vec![*token, *highest],
            Paxos::Recover { .. } => Vec::new(),
            Paxos::Known { memory, .. } => memory
                .accepted
                .iter()
                .map(|(by, _)| *by)
                .chain([memory.promised])
                .collect(),
        }
    }

    /// Checks what the state machines rely on, entries of parts and changes aside: those are checked where they are taken.
    ///
    /// # Errors
    /// A range that is none.
    pub(super) fn check(&self) -> Result<(), Refused> {
        let sound = match self {
            Message::Hashes { node } => node.is_sound(),
            Message::Children { node, hashes, .. } => node.is_sound() && hashes.len() <= CHILDREN,
            Message::Range { from, to } | Message::Part { from, to, .. } => from <= to,
            _ => true,
        };
        if sound {
            Ok(())
        } else {
            Err(Refused::Unasked)
        }
    }
}
