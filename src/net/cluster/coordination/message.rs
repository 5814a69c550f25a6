//! The messages that proxies exchange about duties, maintenance windows and the configuration.
//!
//! One message is a version byte and a [`DutyMessage`] in postcard, as the body
//! [`Body::Duty`](crate::net::cluster::gossip::wire::Body::Duty) of a datagram with a checksum. Nothing here panics on
//! input. Names may change; the order of variants and fields is the format.

use crate::net::cluster::gossip::wire::MAX_DATAGRAM_BODY_BYTES;
use meadowproxy::fleet::calendar::{Digest, WindowError};
use meadowproxy::fleet::config;
use meadowproxy::fleet::lease::{Message, Token};
use meadowproxy::fleet::relay::{self, BroadcastHeader};
use serde::{Deserialize, Serialize};

/// Raised whenever a message's format changes.
const VERSION: u8 = 3;
/// Bytes of the items in one message at most, so that it fits a body with all else in it.
const MAX_ITEMS_BYTES: usize = MAX_DATAGRAM_BODY_BYTES - 80;

/// What one proxy of the fleet, the lease holder, does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// To advance the calendar of maintenance windows.
    Calendar,
    /// To order the changes of the configuration.
    Config,
}

impl Duty {
    /// The name in logs and answers.
    pub fn name(self) -> &'static str {
        match self {
            Duty::Calendar => "calendar",
            Duty::Config => "config",
        }
    }
}

/// The highest token that the sender has seen for a duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenReport {
    pub duty: Duty,
    pub token: Token,
    /// How long ago, in milliseconds, the holder's last heartbeat was sent, over however many proxies it came; `None`
    /// where there never was one.
    pub heartbeat_age_ms: Option<u32>,
}

/// A duty and its holder's token.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldDuty {
    pub duty: Duty,
    pub token: Token,
}

/// What one proxy sends to all members.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The duties that it holds and acts for; none where an operator's call is the cause.
    pub held: Vec<HeldDuty>,
    /// Encoded windows that it changed; none in a holder's heartbeat.
    pub windows: Vec<Vec<u8>>,
}

/// How many requests are open at a backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenRequestCount {
    pub backend: String,
    pub open: u32,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DutyMessage {
    /// Between a candidate and a voter.
    Lease { duty: Duty, message: Message },
    /// Anti-entropy: what the sender knows.
    Digest {
        tokens: Vec<TokenReport>,
        digest: Digest,
        /// The sender has just started and may lack anything.
        is_new: bool,
        /// The receiver's digests are requested.
        wants_reply: bool,
    },
    /// Requests windows by the hashes of their ids.
    RequestWindows { id_hashes: Vec<u64> },
    /// Encoded windows as the sender has them.
    Windows { windows: Vec<Vec<u8>> },
    /// To all members, relayed by all.
    Broadcast(BroadcastHeader, Announcement),
    /// To a former holder: a higher token was seen.
    Fenced { duty: Duty, highest: Token },
    /// To the holder: open requests at backends that are in maintenance at the sender.
    OpenRequests { open: Vec<OpenRequestCount> },
    /// About the configuration.
    Config(config::Message),
}

/// Why a message is not used.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    #[error("empty")]
    Empty,
    #[error("version {0}, this program reads {VERSION}")]
    Version(u8),
    #[error("does not decode: {0}")]
    Malformed(#[source] postcard::Error),
    #[error("a maintenance window: {0}")]
    Window(#[from] WindowError),
    #[error("a voter's response from a proxy that is no voter")]
    NotAVoter,
    #[error("a higher fencing token was seen")]
    StaleToken,
    /// A token with a number that no clock gives: above it none could follow.
    #[error("no token has number {0}")]
    TokenNumber(u64),
    /// A broadcast that is neither used nor relayed.
    #[error("{0}")]
    Broadcast(relay::BroadcastError),
    /// The configuration's state machine does not use it.
    #[error("{0}")]
    Config(config::MessageError),
}

impl MessageError {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            MessageError::Empty | MessageError::Version(_) => "version",
            // The message does not decode: look for a faulty or differing program.
            MessageError::Malformed(_) => "garbled",
            MessageError::Window(WindowError::Full) => "full",
            MessageError::Window(_) => "entry",
            // A voter's response from a proxy that is no voter by this proxy's settings: the settings differ.
            MessageError::NotAVoter => "stranger",
            MessageError::StaleToken => "token",
            // A fencing token that is too high for any clock: see the sender's clock.
            MessageError::TokenNumber(_) => "number",
            MessageError::Broadcast(error) => error.cause(),
            MessageError::Config(error) => error.cause(),
        }
    }
}

/// Tokens' numbers are milliseconds since 1970 or little more: this is far in the future, and far from the largest `u64`.
const MAX_TOKEN_NUMBER: u64 = 1 << 53;

/// Whether other tokens can follow this one.
///
/// # Errors
/// Its number is too high.
pub fn check_token(token: Token) -> Result<(), MessageError> {
    if token.number < MAX_TOKEN_NUMBER {
        Ok(())
    } else {
        Err(MessageError::TokenNumber(token.number))
    }
}

impl DutyMessage {
    /// Whether other tokens can follow every token in it; encoded windows are checked when they are merged.
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

/// The message's bytes.
pub fn encode(message: &DutyMessage) -> Vec<u8> {
    // Plain data always encodes; were it not to, receivers would reject the empty body.
    postcard::to_extend(message, vec![VERSION]).unwrap_or_default()
}

/// A message from a body's bytes.
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

/// Splits a list into parts that each fit into one message; `size_bytes` is about an item's encoded size.
pub fn split_to_fit<T>(items: Vec<T>, size_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut filled = MAX_ITEMS_BYTES;
    for item in items {
        filled += size_bytes(&item);
        match parts.last_mut().filter(|_| filled <= MAX_ITEMS_BYTES) {
            Some(part) => part.push(item),
            None => {
                filled = size_bytes(&item);
                parts.push(vec![item]);
            }
        }
    }
    parts
}

#[cfg(test)]
#[path = "message/tests.rs"]
pub mod tests;
