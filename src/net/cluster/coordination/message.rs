//! What proxies say to each other about duties, windows and the configuration: a version byte and one message in postcard, as the body
//! [`Body::Coordination`](crate::net::cluster::gossip::wire::Body::Coordination) of a checked datagram. Nothing here panics on input.

use crate::net::cluster::gossip::wire::MAX_BODY_BYTES;
use meadowproxy::fleet::calendar::Digest;
use meadowproxy::fleet::config;
use meadowproxy::fleet::lease::{Message, Token};
use meadowproxy::fleet::relay::{self, BroadcastHeader};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Raised whenever a message's shape changes.
const VERSION: u8 = 3;
/// Bytes of the entries or names in one message at most, so that it fits a body with all else in it.
const MOST_LOAD: usize = MAX_BODY_BYTES - 80;

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
    Broadcast(BroadcastHeader, Said),
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
    Broadcast(relay::BroadcastError),
    /// About the configuration: why its state machine does not use it.
    Config(config::MessageError),
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
                Message::Refused {
                    ballot, highest, ..
                } => sound(*ballot).and_then(|()| sound(*highest)),
                Message::Ask { ballot }
                | Message::Free { ballot }
                | Message::Propose { ballot, .. }
                | Message::Accepted { ballot, .. }
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
pub mod tests {
    use super::*;
    use meadowproxy::fleet::lease::Ballot;
    use proptest::prelude::*;

    fn range() -> impl Strategy<Value = config::PositionRange> {
        (any::<u64>(), any::<u64>()).prop_map(|(first, last)| config::PositionRange { first, last })
    }

    /// Messages about the configuration; the machine's own tests have all kinds.
    fn config() -> impl Strategy<Value = Duties> {
        use config::{Change, Digest, Edit, Key, Kind, Message, Node, Paxos, Value};
        let token =
            || (0..MOST_NUMBER, any::<u64>()).prop_map(|(number, by)| Ballot { number, by });
        let edit = (
            "[a-c]{0,3}",
            prop::option::of(prop::collection::vec(any::<u8>(), 0..200)),
        )
            .prop_map(|(name, value)| Edit {
                key: Key {
                    kind: Kind::Tenant,
                    name,
                },
                value: value.map_or(Value::Removed, Value::Set),
            });
        let change = (
            0u64..5,
            0u64..5,
            any::<u64>(),
            prop::collection::vec(edit, 0..3),
        )
            .prop_map(|(version, previous, id, edits)| Change {
                version,
                previous,
                id,
                edits,
            });
        let message = prop_oneof![
            (token(), any::<u32>())
                .prop_map(|(token, round)| Message::Paxos(Paxos::Prepare { token, round })),
            (token(), any::<u32>(), change.clone()).prop_map(|(token, round, change)| {
                Message::Paxos(Paxos::Accept {
                    token,
                    round,
                    change,
                })
            }),
            (token(), token())
                .prop_map(|(token, highest)| Message::Paxos(Paxos::Nack { token, highest })),
            (prop::collection::vec(change, 0..3), 0u64..9, any::<bool>()).prop_map(
                |(changes, version, push)| Message::Changes {
                    changes,
                    version,
                    push
                }
            ),
            (any::<(u64, u64)>(), any::<(bool, bool)>()).prop_map(
                |((version, root), (is_new, wants_reply))| {
                    Message::Digest {
                        digest: Digest { version, root },
                        is_new,
                        wants_reply,
                    }
                }
            ),
            (0u8..5, any::<u16>()).prop_map(|(level, index)| Message::CompareNode {
                node: Node { level, index }
            }),
            range().prop_map(|range| Message::FetchRange { range }),
        ];
        message.prop_map(Duties::Config)
    }

    /// Any message, of any of its kinds.
    pub fn message() -> impl Strategy<Value = Duties> {
        prop_oneof![7 => of_duty(Duty::Calendar), 2 => of_duty(Duty::Config), 3 => config()]
    }

    /// Some that are fit to be taken now, some that are not.
    fn header() -> impl Strategy<Value = BroadcastHeader> {
        let range = (0u32..9, (u32::MAX - 9).., 0u8..12);
        let range = range.prop_map(|(first, last, hops)| relay::HashRange { first, last, hops });
        let wall = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let said = prop_oneof![Just(wall.as_micros() as u64), any::<u64>()];
        (9u16..14, 0u64..4, said, range).prop_map(|(port, incarnation, sent_us, range)| {
            let origin = std::net::SocketAddr::from(([127, 0, 0, 1], port));
            BroadcastHeader {
                origin,
                incarnation,
                sent_us,
                range,
            }
        })
    }

    fn of_duty(duty: Duty) -> impl Strategy<Value = Duties> {
        let token =
            || (0..MOST_NUMBER, any::<u64>()).prop_map(|(number, by)| Ballot { number, by });
        let entries = || prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..6);
        let word = move |(token, age_ms)| Word {
            duty,
            token,
            age_ms,
        };
        let rows = prop::collection::vec(any::<(u64, u64)>(), 0..50);
        let words = prop::collection::vec((token(), any::<Option<u32>>()).prop_map(word), 0..2);
        prop_oneof![
            (token(), token(), any::<u32>(), 0..6).prop_map(
                move |(ballot, highest, round, kind)| {
                    let message = match kind {
                        0 => Message::Ask { ballot },
                        1 => Message::Free { ballot },
                        2 => Message::Propose { ballot, round },
                        3 => Message::Accepted { ballot, round },
                        4 => Message::Refused {
                            ballot,
                            round,
                            highest,
                        },
                        _ => Message::Release { ballot },
                    };
                    Duties::Lease { duty, message }
                }
            ),
            (words, any::<(u64, u64, bool)>(), rows).prop_map(|(words, (from, to, new), rows)| {
                Duties::Digest {
                    words,
                    digest: Digest { from, to, rows },
                    new,
                    ask: !new,
                }
            }),
            prop::collection::vec(any::<u64>(), 0..50).prop_map(|ids| Duties::Ask { ids }),
            entries().prop_map(|entries| Duties::Entries { entries }),
            (header(), prop::collection::vec(token(), 0..3), entries()).prop_map(
                move |(header, tokens, entries)| {
                    let tokens = tokens.into_iter().map(|token| (duty, token)).collect();
                    Duties::Broadcast(header, Said { tokens, entries })
                }
            ),
            token().prop_map(move |highest| Duties::Fenced { duty, highest }),
            prop::collection::vec(("[a-z0-9-]{0,64}", any::<u32>()), 0..9)
                .prop_map(|open| Duties::Report { open }),
        ]
    }

    proptest! {
        /// A message decodes to what was said; cut or with more behind it it is refused, and one with changed bytes, or
        /// junk, never panics and never becomes another version's.
        #[test]
        fn only_whole_messages_are_read(m in message(), at in any::<prop::sample::Index>(), flip in 1u8..,
                                        junk in prop::collection::vec(any::<u8>(), 1..64)) {
            let bytes = encode(&m);
            prop_assert_eq!(&decode(&bytes).unwrap(), &m);
            prop_assert!(decode(&bytes[..at.index(bytes.len())]).is_err());
            prop_assert!(decode(&[&bytes[..], &junk].concat()).is_err());
            let mut changed = bytes.clone();
            changed[at.index(bytes.len())] ^= flip;
            prop_assert!(changed[0] == VERSION || decode(&changed).is_err());
            let _ = decode(&changed);
            let _ = decode(&junk);
        }

        /// A token above which no other could come is refused, wherever it stands.
        #[test]
        fn no_token_is_the_last(m in message(), number in MOST_NUMBER..) {
            let last = Ballot { number, by: 0 };
            let said = match m {
                Duties::Lease { duty, message: Message::Refused { ballot, round, .. } } => {
                    Duties::Lease { duty, message: Message::Refused { ballot, round, highest: last } }
                }
                Duties::Lease { duty, .. } => Duties::Lease { duty, message: Message::Ask { ballot: last } },
                Duties::Digest { mut words, digest, new, ask } => {
                    words.push(Word { duty: Duty::Calendar, token: last, age_ms: None });
                    Duties::Digest { words, digest, new, ask }
                }
                Duties::Broadcast(header, mut said) => {
                    said.tokens.push((Duty::Config, last));
                    Duties::Broadcast(header, said)
                }
                Duties::Config(_) => {
                    let prepare = config::Paxos::Prepare { token: last, round: 1 };
                    Duties::Config(config::Message::Paxos(prepare))
                }
                _ => Duties::Fenced { duty: Duty::Calendar, highest: last },
            };
            prop_assert!(matches!(decode(&encode(&said)), Err(Refused::Number(n)) if n == number));
        }

        /// Every item is in one part, in order, and no part is over the bound unless it is one item.
        #[test]
        fn parts_hold_all_and_fit(sizes in prop::collection::vec(0usize..1400, 0..40)) {
            let parts = parts(sizes.clone(), |size| *size);
            prop_assert_eq!(parts.concat(), sizes);
            for part in parts {
                prop_assert!(part.len() == 1 || part.iter().sum::<usize>() <= MOST_LOAD);
            }
        }
    }
}
