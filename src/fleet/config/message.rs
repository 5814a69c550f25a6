//! The messages that proxies exchange about the replicated configuration. Their encoding depends on the order of the
//! variants and fields, which must not change.

use super::change::Change;
use super::entry::Entry;
use super::error::MessageError;
use super::merkle::{Digest, Node, PositionRange, CHILDREN};
use super::submission::{Submission, SubmitError};
use crate::fleet::lease::Token;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A change that a voter accepted and that it doesn't know to be committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The token under which the change was accepted.
    pub token: Token,
    /// The change.
    pub change: Change,
}

/// The Paxos messages between the leader and the voters, and among voters. The leader's fencing token is the ballot. Rounds
/// and nonces match a reply to its request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PaxosMessage {
    /// Leader to voter: asks for a promise to accept nothing under a lower token, and for the change that it accepted.
    Prepare {
        /// The leader's token.
        token: Token,
        /// The number of the leader's round.
        round: u32,
    },
    /// Voter to leader: promises to accept nothing under a lower token.
    Promise {
        /// The promised token.
        token: Token,
        /// The round of the request.
        round: u32,
        /// The version of the voter's table.
        version: u64,
        /// The change that the voter accepted after that version.
        accepted: Option<AcceptedChange>,
        /// New versions have to be above this one, as lower ones may have been used by changes that the voter lost.
        version_floor: u64,
    },
    /// Leader to voter: asks to accept a change.
    Accept {
        /// The leader's token.
        token: Token,
        /// The number of the leader's round.
        round: u32,
        /// The change to accept.
        change: Change,
    },
    /// Voter to leader: accepted the change.
    Accepted {
        /// The token under which the change was accepted.
        token: Token,
        /// The round of the request.
        round: u32,
    },
    /// Voter to leader: did not accept the change, because the voter's table lacks earlier changes.
    Behind {
        /// The token of the request.
        token: Token,
        /// The round of the request.
        round: u32,
        /// The version of the voter's table.
        version: u64,
    },
    /// Voter to leader: rejects the request, because the voter promised a higher token.
    Nack {
        /// The rejected token.
        token: Token,
        /// The highest promised token.
        highest: Token,
    },
    /// Restarted voter to the other voters: requests their states.
    Recover {
        /// Identifies the request.
        nonce: u64,
    },
    /// Voter to restarted voter: the reply to [`PaxosMessage::Recover`].
    RecoverReply {
        /// The nonce of the request.
        nonce: u64,
        /// The replying voter's state.
        state: AcceptorState,
        /// Whether the replying voter is voting, and not itself recovering.
        is_complete: bool,
    },
}

/// The state that a voter has to keep, or recover after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest promised token.
    pub promised: Token,
    /// The version of the voter's table.
    pub version: u64,
    /// The change that the voter accepted after that version.
    pub accepted: Option<AcceptedChange>,
    /// New versions have to be above this one.
    pub version_floor: u64,
}

/// A message about the replicated configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Consensus on the next change.
    Paxos(PaxosMessage),
    /// Committed changes, in order.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// The version of the sender's table.
        version: u64,
        /// Whether the changes were new to the sender as well, so the receiver has to forward them.
        push: bool,
    },
    /// The digest of the sender's table.
    Digest {
        /// The version and the root hash.
        digest: Digest,
        /// Whether the sender has just started and may lack any number of changes.
        is_new: bool,
        /// Whether the receiver has to reply with its own digest, even if it is equal.
        wants_reply: bool,
    },
    /// A request for the changes after the sender's version.
    ChangesSince {
        /// The version of the sender's table.
        version: u64,
    },
    /// A request for the hashes of a node's children.
    CompareNode {
        /// The node to compare.
        node: Node,
    },
    /// The reply to [`Message::CompareNode`], and to [`Message::ChangesSince`] if the log does not reach back so far.
    NodeHashes {
        /// The digest of the sender's table.
        digest: Digest,
        /// The compared node.
        node: Node,
        /// The hashes of the node's children, in order.
        hashes: Vec<u64>,
    },
    /// A request for the entries of a range.
    FetchRange {
        /// The requested range.
        range: PositionRange,
    },
    /// The reply to [`Message::FetchRange`]: all entries of a range, which ends early if the message is full.
    RangeEntries {
        /// The digest of the sender's table.
        digest: Digest,
        /// The covered range, which may be shorter than the requested one.
        range: PositionRange,
        /// All entries in the range.
        entries: Vec<Entry>,
    },
    /// A proxy to the leader: submits an operator's change.
    Submit(Submission),
    /// The leader's reply to [`Message::Submit`].
    Outcome {
        /// The id of the submission.
        id: u64,
        /// The version of the change, or why the submission was rejected.
        result: Result<u64, SubmitError>,
    },
}

impl Message {
    /// Returns all fencing tokens in the message.
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

    /// Checks that nodes, hashes and ranges are valid. Changes and entries are checked where they are applied.
    ///
    /// # Errors
    /// The message has an invalid node or range, or too many hashes.
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

/// A message to send to another proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The message to send.
    pub message: Message,
}

/// The messages that a replica has to send after a method call, in order.
pub type Outbox = Vec<Outgoing>;
