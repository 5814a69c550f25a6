//! What proxies say to each other about duties, windows and the configuration: a version byte and one message in postcard, as the body
//! [`Body::Duty`](crate::net::cluster::gossip::wire::Body::Duty) of a checked datagram. Nothing here panics on input.

use crate::net::cluster::gossip::wire::MOST_BODY;
use meadowproxy::fleet::calendar::Digest;
use meadowproxy::fleet::config;
use meadowproxy::fleet::lease::{Message, Token};
use meadowproxy::fleet::relay::{self, Header};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Raised whenever a message's shape changes.
const VERSION: u8 = 3;
/// Bytes of the entries or names in one message at most, so that it fits a body with all else in it.
const MOST_LOAD: usize = MOST_BODY - 80;

/// What one proxy of the fleet does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// To step the calendar of maintenance windows.
    Calendar,
    /// To order the changes of the configuration.
    Config,
}

impl Duty {
    pub fn name(self) -> &'static str {
        match self {
            Duty::Calendar => "calendar",
            Duty::Config => "config",
        }
    }
}

/// The highest token that the sender has seen for a duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub duty: Duty,
    pub token: Token,
    /// How long ago, in milliseconds, its holder was heard of, over however many proxies; `None` where it never was.
    pub age_ms: Option<u32>,
}

/// What one proxy says to all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Said {
    /// The duties that it says it for, as their holder; none where an operator asked for it.
    pub tokens: Vec<(Duty, Token)>,
    /// Windows that it changed, or none where a holder only says that it is there.
    pub entries: Vec<Vec<u8>>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Duties {
    /// Between a candidate and a voter.
    Lease { duty: Duty, message: Message },
    /// What the sender knows. `new`: it has just started and may lack anything. `ask`: the receiver's digests are wanted.
    Digest {
        words: Vec<Word>,
        digest: Digest,
        new: bool,
        ask: bool,
    },
    /// Asks for windows by the hashes of their ids.
    Ask { ids: Vec<u64> },
    /// Windows as the sender keeps them: bytes of entries.
    Entries { entries: Vec<Vec<u8>> },
    /// To all, passed on by all.
    Broadcast(Header, Said),
    /// To a late holder: a higher token was seen.
    Fenced { duty: Duty, highest: Token },
    /// To the holder: open requests on backends that the sender keeps out for windows.
    Report { open: Vec<(String, u32)> },
    /// About the configuration.
    Config(config::Message),
}

/// Why a message is not used.
#[derive(Debug)]
pub enum Refused {
    Version(Option<u8>),
    Garbled(postcard::Error),
    /// An entry inside makes no sense.
    Entry(String),
    /// The calendar is full.
    Full,
    /// An answer that only voters give, from another.
    Stranger,
    /// An effect under a token that a higher one followed.
    Token,
    /// A token with a number that no clock gives: above it none could follow.
    Number(u64),
    /// A broadcast that is neither used nor passed on.
    Broadcast(relay::Refused),
    /// About the configuration: why its state machine does not use it.
    Config(config::Refused),
}

impl Refused {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            Refused::Version(_) => "version",
            Refused::Garbled(_) => "garbled",
            Refused::Entry(_) => "entry",
            Refused::Full => "full",
            Refused::Stranger => "stranger",
            Refused::Token => "token",
            Refused::Number(_) => "number",
            Refused::Broadcast(why) => why.cause(),
            Refused::Config(why) => why.cause(),
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Version(Some(v)) => write!(f, "version {v}, this program reads {VERSION}"),
            Refused::Version(None) => write!(f, "empty"),
            Refused::Garbled(e) => write!(f, "does not decode: {e}"),
            Refused::Entry(why) => write!(f, "an entry of the calendar: {why}"),
            Refused::Full => write!(f, "the calendar is full"),
            Refused::Stranger => write!(f, "a voter's answer from no voter"),
            Refused::Token => write!(f, "a higher token was seen"),
            Refused::Number(number) => write!(f, "no token has number {number}"),
            Refused::Broadcast(why) => write!(f, "{why}"),
            Refused::Config(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for Refused {}

/// Tokens' numbers are milliseconds since 1970 or little more: this is far in the future, and far from the end of numbers.
const MOST_NUMBER: u64 = 1 << 53;

/// A token that others may follow.
pub fn sound(token: Token) -> Result<(), Refused> {
    if token.number < MOST_NUMBER {
        Ok(())
    } else {
        Err(Refused::Number(token.number))
    }
}

impl Duties {
    /// Whether every token in it, entries' aside, is one that others may follow.
    fn check(&self) -> Result<(), Refused> {
        match self {
            Duties::Lease { message, .. } => match message {
                Message::Denied {
                    ballot, highest, ..
                } => sound(*ballot).and_then(|()| sound(*highest)),
                Message::PreVote { ballot }
                | Message::PreVoteGranted { ballot }
                | Message::RequestGrant { ballot, .. }
                | Message::Granted { ballot, .. }
                | Message::Release { ballot } => sound(*ballot),
            },
            Duties::Digest { words, .. } => words.iter().try_for_each(|word| sound(word.token)),
            Duties::Broadcast(_, said) => {
                said.tokens.iter().try_for_each(|(_, token)| sound(*token))
            }
            Duties::Fenced { highest, .. } => sound(*highest),
            Duties::Config(message) => message.tokens().into_iter().try_for_each(sound),
            Duties::Ask { .. } | Duties::Entries { .. } | Duties::Report { .. } => Ok(()),
        }
    }
}

/// The message's bytes.
pub fn encode(message: &Duties) -> Vec<u8> {
    // Plain data always encodes; were it not to, an empty body is refused like any other garbage.
    postcard::to_extend(message, vec![VERSION]).unwrap_or_default()
}

/// A message from a body's bytes.
pub fn decode(bytes: &[u8]) -> Result<Duties, Refused> {
    let (version, body) = bytes.split_first().ok_or(Refused::Version(None))?;
    if *version != VERSION {
        return Err(Refused::Version(Some(*version)));
    }
    match postcard::take_from_bytes::<Duties>(body) {
        Ok((message, [])) => message.check().map(|()| message),
        Ok(_) => Err(Refused::Garbled(postcard::Error::DeserializeBadEncoding)),
        Err(e) => Err(Refused::Garbled(e)),
    }
}

/// Parts of a list that each fit into one message; `size` is about an item's bytes.
pub fn parts<T>(items: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut filled = MOST_LOAD;
    for item in items {
        filled += size(&item);
        match parts.last_mut().filter(|_| filled <= MOST_LOAD) {
            Some(part) => part.push(item),
            None => {
                filled = size(&item);
                parts.push(vec![item]);
            }
        }
    }
    parts
}

#[cfg(test)]
#[path = "message/tests.rs"]
pub mod tests;
