//! The messages that proxies exchange about duties, maintenance windows and the configuration, with [`encode`] and
//! [`decode`].
//!
//! A message is a version byte and a [`DutyMessage`] in postcard, sent as the body
//! [`Body::Coordination`](crate::net::cluster::gossip::wire::Body::Coordination) of a datagram with a checksum.
//! Decoding never panics, whatever the bytes. The order of variants and fields is part of the format; their names are
//! not.

use crate::net::cluster::gossip::wire::MAX_DATAGRAM_BODY_BYTES;
use meadowproxy::fleet::calendar::{Digest, WindowError};
use meadowproxy::fleet::config;
use meadowproxy::fleet::lease::{Message, Token};
use meadowproxy::fleet::relay::{self, BroadcastHeader};
use serde::{Deserialize, Serialize};

/// Version of the message format. Increase it with every change of the format.
const VERSION: u8 = 3;
/// Maximum size of the items in one message, in bytes. The rest of the body is reserved for its other fields.
const MAX_ITEMS_BYTES: usize = MAX_DATAGRAM_BODY_BYTES - 80;

/// A task that one proxy of the fleet, the holder of its lease, performs for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Advance the calendar of maintenance windows.
    Calendar,
    /// Order the changes of the configuration.
    Config,
}

impl Duty {
    /// Returns the name of the duty in logs and in responses to operators.
    pub fn name(self) -> &'static str {
        match self {
            Duty::Calendar => "calendar",
            Duty::Config => "config",
        }
    }
}

/// A report of the highest token that the sender has seen for a duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenReport {
    pub duty: Duty,
    pub token: Token,
    /// Time since the holder sent its last heartbeat, in milliseconds, however many proxies relayed it; `None` if no
    /// heartbeat is known or it is too old for this type.
    pub heartbeat_age_ms: Option<u32>,
}

/// A duty and the token of its holder.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldDuty {
    pub duty: Duty,
    pub token: Token,
}

/// A message from one proxy to all members: a holder's heartbeat, or changed windows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The duties that the sender holds and acts for; empty if an operator's call is the cause.
    pub held: Vec<HeldDuty>,
    /// The encoded windows that the sender changed; empty in a holder's heartbeat.
    pub windows: Vec<Vec<u8>>,
}

/// Number of open requests at a backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenRequestCount {
    pub backend: String,
    pub open: u32,
}

/// A coordination message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DutyMessage {
    /// A message between a candidate and a voter.
    Lease { duty: Duty, message: Message },
    /// Anti-entropy: a summary of what the sender knows.
    Digest {
        tokens: Vec<TokenReport>,
        digest: Digest,
        /// The sender has not caught up since its start and may lack windows.
        is_new: bool,
        /// The receiver is to reply with its own digests.
        wants_reply: bool,
    },
    /// Requests windows by the hashes of their ids.
    RequestWindows { id_hashes: Vec<u64> },
    /// Encoded windows, in the sender's version.
    Windows { windows: Vec<Vec<u8>> },
    /// An announcement to all members, which relay it to each other.
    Broadcast(BroadcastHeader, Announcement),
    /// Notifies a former holder that a higher token was seen.
    Fenced { duty: Duty, highest: Token },
    /// Reports the sender's open requests at backends in maintenance to the holder.
    OpenRequests { open: Vec<OpenRequestCount> },
    /// A message about the configuration.
    Config(config::Message),
}

/// Reason why a message is rejected.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    #[error("empty message")]
    Empty,
    #[error("message format version {0}, this program reads version {VERSION}")]
    Version(u8),
    #[error("message cannot be decoded: {0}")]
    Malformed(#[source] postcard::Error),
    #[error("invalid maintenance window: {0}")]
    Window(#[from] WindowError),
    #[error("voter's response from a proxy that is not a voter")]
    NotAVoter,
    #[error("stale fencing token: a higher one was seen")]
    StaleToken,
    /// The token's number is too high for any clock; no higher token could follow it.
    #[error("token number {0}, expected less than {MAX_TOKEN_NUMBER}")]
    TokenNumber(u64),
    /// The broadcast is neither used nor relayed.
    #[error("{0}")]
    Broadcast(relay::BroadcastError),
    /// The configuration's state machine rejects the message.
    #[error("{0}")]
    Config(config::MessageError),
}

impl MessageError {
    /// Returns a stable name of the reason for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            MessageError::Empty | MessageError::Version(_) => "version",
            // Cannot be decoded: the sender runs a faulty or different program.
            MessageError::Malformed(_) => "garbled",
            MessageError::Window(WindowError::Full) => "full",
            MessageError::Window(_) => "entry",
            // A voter's response from a proxy that is not a voter in this proxy's settings: their settings differ.
            MessageError::NotAVoter => "stranger",
            MessageError::StaleToken => "token",
            // A fencing token with a number that no correct clock yields: check the sender's clock.
            MessageError::TokenNumber(_) => "number",
            MessageError::Broadcast(error) => error.cause(),
            MessageError::Config(error) => error.cause(),
        }
    }
}

/// Exclusive upper bound of token numbers. They are about milliseconds since 1970, so this is far in the future, and it
/// is far from the largest `u64`, so higher numbers can always follow.
const MAX_TOKEN_NUMBER: u64 = 1 << 53;

/// Checks that higher tokens can follow a token.
///
/// # Errors
/// Returns [`MessageError::TokenNumber`] if the token's number is too high.
pub fn check_token(token: Token) -> Result<(), MessageError> {
    if token.number < MAX_TOKEN_NUMBER {
        Ok(())
    } else {
        Err(MessageError::TokenNumber(token.number))
    }
}

impl DutyMessage {
    /// Checks every token in the message with [`check_token`], except in encoded windows, which are checked when they
    /// are merged.
    fn check(&self) -> Result<(), MessageError> {
        match self {
            DutyMessage::Lease { message, .. } => check_lease_message(message),
            DutyMessage::Digest { tokens, .. } => tokens
                .iter()
                .try_for_each(|report| check_token(report.token)),
            DutyMessage::Broadcast(_, announcement) => announcement
                .held
                .iter()
                .try_for_each(|held| check_token(held.token)),
            DutyMessage::Fenced { highest, .. } => check_token(*highest),
            DutyMessage::Config(message) => message.tokens().into_iter().try_for_each(check_token),
            DutyMessage::RequestWindows { .. }
            | DutyMessage::Windows { .. }
            | DutyMessage::OpenRequests { .. } => Ok(()),
        }
    }
}

/// Checks every ballot in a lease message with [`check_token`].
fn check_lease_message(message: &Message) -> Result<(), MessageError> {
    match message {
        Message::Denied {
            ballot, highest, ..
        } => {
            check_token(*ballot)?;
            check_token(*highest)
        }
        Message::PreVote { ballot }
        | Message::PreVoteGranted { ballot }
        | Message::RequestGrant { ballot, .. }
        | Message::Granted { ballot, .. }
        | Message::Release { ballot } => check_token(*ballot),
    }
}

/// Encodes a message as the body of a datagram.
pub fn encode(message: &DutyMessage) -> Vec<u8> {
    // Encoding plain data cannot fail; if it did, receivers would reject the empty body.
    postcard::to_extend(message, vec![VERSION]).unwrap_or_default()
}

/// Decodes a message from the body of a datagram.
pub fn decode(bytes: &[u8]) -> Result<DutyMessage, MessageError> {
    let (version, body) = bytes.split_first().ok_or(MessageError::Empty)?;
    if *version != VERSION {
        return Err(MessageError::Version(*version));
    }
    match postcard::take_from_bytes::<DutyMessage>(body) {
        Ok((message, [])) => message.check().map(|()| message),
        Ok(_) => Err(MessageError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
        Err(e) => Err(MessageError::Malformed(e)),
    }
}

/// Splits a list into parts that each fit into one message. `size_bytes` returns the approximate encoded size of an
/// item.
pub fn split_to_fit<T>(items: Vec<T>, size_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut part_bytes = MAX_ITEMS_BYTES;
    for item in items {
        part_bytes += size_bytes(&item);
        match parts.last_mut().filter(|_| part_bytes <= MAX_ITEMS_BYTES) {
            Some(part) => part.push(item),
            None => {
                part_bytes = size_bytes(&item);
                parts.push(vec![item]);
            }
        }
    }
    parts
}

#[cfg(test)]
#[path = "message/tests.rs"]
pub mod tests;
