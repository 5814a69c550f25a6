//! The messages that proxies exchange about the replicated configuration. The encoding depends on the order of variants
//! and fields, which must not change.

use super::change::Change;
use super::entry::Entry;
use super::error::MessageError;
use super::merkle::{Digest, Node, PositionRange, CHILDREN};
use super::submission::{Submission, SubmitError};
use crate::fleet::lease::Token;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A change that a voter accepted and does not know to be committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The token that it was accepted under.
    pub token: Token,
    /// The change.
    pub change: Change,
}

/// The messages of Paxos between the leader and the voters, and among voters. The leader's token is the ballot; rounds and
/// nonces tie a reply to its request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PaxosMessage {
    /// Leader to voter: promise to accept nothing under a lower token, and tell what you accepted.
    Prepare {
        /// The leader's token.
        token: Token,
        /// Which of the leader's rounds.
        round: u32,
    },
    /// Voter to leader: promised.
    Promise {
        /// The token that it promised.
        token: Token,
        /// The round that it answers.
        round: u32,
        /// The version of the voter's table.
        version: u64,
        /// The change that it accepted after that version.
        accepted: Option<AcceptedChange>,
        /// New versions have to be above this: lower ones may have been used and forgotten.
        version_floor: u64,
    },
    /// Leader to voter: accept this change.
    Accept {
        /// The leader's token.
        token: Token,
        /// Which of the leader's rounds.
        round: u32,
        /// The change.
        change: Change,
    },
    /// Voter to leader: accepted.
    Accepted {
        /// The token that it was accepted under.
        token: Token,
        /// The round that it answers.
        round: u32,
    },
    /// Voter to leader: not accepted, as this voter's table lacks earlier changes.
    Behind {
        /// The token of the change.
        token: Token,
        /// The round that it answers.
        round: u32,
        /// The version of the voter's table.
        version: u64,
    },
    /// Voter to leader: rejected, as it promised a higher token.
    Nack {
        /// The token that it rejects.
        token: Token,
        /// The highest that it promised.
        highest: Token,
    },
    /// A voter that restarted to the other voters: tell me your state.
    Recover {
        /// Identifies this request.
        nonce: u64,
    },
    /// Another voter's reply to [`PaxosMessage::Recover`].
    RecoverReply {
        /// The request's.
        nonce: u64,
        /// The replying voter's state.
        state: AcceptorState,
        /// Whether that voter has voted without interruption, and is not itself recovering.
        is_complete: bool,
    },
}

/// What a voter must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest token that it promised.
    pub promised: Token,
    /// The version of its table.
    pub version: u64,
    /// The change that it accepted after that version.
    pub accepted: Option<AcceptedChange>,
    /// New versions have to be above this.
    pub version_floor: u64,
}

/// A message about the replicated configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// About the change that is to be committed.
    Paxos(PaxosMessage),
    /// Committed changes in order.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// The version of the sender's table.
        version: u64,
        /// Whether they are new to the sender as well, and so are to be passed on.
        push: bool,
    },
    /// The state of the sender's table.
    Digest {
        /// Its version and root.
        digest: Digest,
        /// The sender has just started and may lack anything.
        is_new: bool,
        /// The receiver is to reply with its own digest, also where it is equal.
        wants_reply: bool,
    },
    /// A request for the changes after the sender's version.
    ChangesSince {
        /// The version of the sender's table.
        version: u64,
    },
    /// A request for the hashes of a node's children.
    CompareNode {
        /// The node.
        node: Node,
    },
    /// The reply to [`Message::CompareNode`]; also to [`Message::ChangesSince`] where the log does not reach back so far.
    NodeHashes {
        /// The state of the sender's table.
        digest: Digest,
        /// The node.
        node: Node,
        /// Its children's hashes, in order.
        hashes: Vec<u64>,
    },
    /// A request for the entries of a range.
    FetchRange {
        /// The range.
        range: PositionRange,
    },
    /// The reply to [`Message::FetchRange`]: all entries of a range, which ends early where one message is full.
    RangeEntries {
        /// The state of the sender's table.
        digest: Digest,
        /// The range, which may be shorter than the requested one.
        range: PositionRange,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// An operator's change, to the leader.
    Submit(Submission),
    /// The leader's reply to [`Message::Submit`].
    Outcome {
        /// The submission's.
        id: u64,
        /// The change's version, or why it is rejected.
        result: Result<u64, SubmitError>,
    },
}

impl Message {
    /// The tokens in it.
    pub fn tokens(&self) -> Vec<Token> {
        let Message::Paxos(message) = self else {
            return Vec::new();
        };
        match message {
            PaxosMessage::Prepare { token, .. }
            | PaxosMessage::Accept { token, .. }
            | PaxosMessage::Accepted { token, .. }
            | PaxosMessage::Behind { token, .. } => vec![*token],
            PaxosMessage::Promise {
                token, accepted, ..
            } => tokens_with(accepted.as_ref(), *token),
            PaxosMessage::Nack { token, highest } => vec![*token, *highest],
            PaxosMessage::Recover { .. } => Vec::new(),
            PaxosMessage::RecoverReply { state, .. } => {
                tokens_with(state.accepted.as_ref(), state.promised)
            }
        }
    }

    /// Checks what the state machines rely on. Changes and entries are checked where they are applied.
    ///
    /// # Errors
    /// A node or a range that does not exist.
    pub(super) fn check(&self) -> Result<(), MessageError> {
        let valid = match self {
            Message::CompareNode { node } => node.is_valid(),
            Message::NodeHashes { node, hashes, .. } => node.is_valid() && hashes.len() <= CHILDREN,
            Message::FetchRange { range } | Message::RangeEntries { range, .. } => range.is_valid(),
            _ => true,
        };
        if valid {
            Ok(())
        } else {
            Err(MessageError::Unsolicited)
        }
    }
}

fn tokens_with(accepted: Option<&AcceptedChange>, token: Token) -> Vec<Token> {
    let mut tokens: Vec<Token> = accepted
        .map(|accepted| accepted.token)
        .into_iter()
        .collect();
    tokens.push(token);
    tokens
}

/// A message on its way to another proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// The messages that a step of a replica sends, in order.
pub type Outbox = Vec<Outgoing>;
