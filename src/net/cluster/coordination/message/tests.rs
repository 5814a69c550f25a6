//! Tests of encoding and decoding messages, and strategies that generate random messages.

use super::*;
use meadowproxy::fleet::calendar::DigestRow;
use meadowproxy::fleet::lease::Ballot;
use proptest::prelude::*;

fn token() -> impl Strategy<Value = Ballot> {
    (0..MAX_TOKEN_NUMBER, any::<u64>()).prop_map(|(number, incarnation)| Ballot {
        number,
        incarnation,
    })
}

/// Generates changes of the configuration to a few keys.
fn config_change() -> impl Strategy<Value = config::Change> {
    use config::{Change, Edit, Key, Kind, Value};
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
    (
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
        })
}

/// Generates messages of some kinds about the configuration; the tests of its state machine cover all kinds.
fn config_message() -> impl Strategy<Value = DutyMessage> {
    use config::{Digest, Message, Node, PaxosMessage};
    let message = prop_oneof![
        (token(), any::<u32>())
            .prop_map(|(token, round)| Message::Paxos(PaxosMessage::Prepare { token, round })),
        (token(), any::<u32>(), config_change()).prop_map(|(token, round, change)| {
            Message::Paxos(PaxosMessage::Accept {
                token,
                round,
                change,
            })
        }),
        (token(), token())
            .prop_map(|(token, highest)| Message::Paxos(PaxosMessage::Nack { token, highest })),
        (
            prop::collection::vec(config_change(), 0..3),
            0u64..9,
            any::<bool>()
        )
            .prop_map(|(changes, version, push)| Message::Changes {
                changes,
                version,
                push
            }),
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
        (any::<u64>(), any::<u64>()).prop_map(|(first, last)| Message::FetchRange {
            range: config::PositionRange { first, last }
        }),
    ];
    message.prop_map(DutyMessage::Config)
}

/// Generates messages of all kinds.
pub fn message() -> impl Strategy<Value = DutyMessage> {
    prop_oneof![7 => duty_message(Duty::Calendar), 2 => duty_message(Duty::Config), 3 => config_message()]
}

/// Generates headers of broadcasts, some of which are valid now.
fn header() -> impl Strategy<Value = BroadcastHeader> {
    let range = (0u32..9, (u32::MAX - 9).., 0u8..12);
    let range = range.prop_map(|(from, to, hops)| relay::HashRange {
        first: from,
        last: to,
        hops,
    });
    let wall = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    let sent = prop_oneof![Just(wall.as_micros() as u64), any::<u64>()];
    (9u16..14, 0u64..4, sent, range).prop_map(|(port, incarnation, sent_us, range)| {
        let origin = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        BroadcastHeader {
            origin,
            incarnation,
            sent_us,
            range,
        }
    })
}

/// Generates messages about a duty.
fn duty_message(duty: Duty) -> impl Strategy<Value = DutyMessage> {
    let count = ("[a-z0-9-]{0,64}", any::<u32>())
        .prop_map(|(backend, open)| OpenRequestCount { backend, open });
    let windows = || prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..6);
    let report = move |(token, heartbeat_age_ms)| TokenReport {
        duty,
        token,
        heartbeat_age_ms,
    };
    let row = any::<(u64, u64)>().prop_map(|(id_hash, content_hash)| DigestRow {
        id_hash,
        content_hash,
    });
    let rows = prop::collection::vec(row, 0..50);
    let tokens = prop::collection::vec((token(), any::<Option<u32>>()).prop_map(report), 0..2);
    prop_oneof![
        (token(), token(), any::<u32>(), 0..6).prop_map(move |(ballot, highest, round, kind)| {
            let message = match kind {
                0 => Message::PreVote { ballot },
                1 => Message::PreVoteGranted { ballot },
                2 => Message::RequestGrant { ballot, round },
                3 => Message::Granted { ballot, round },
                4 => Message::Denied {
                    ballot,
                    round,
                    highest,
                },
                _ => Message::Release { ballot },
            };
            DutyMessage::Lease { duty, message }
        }),
        (tokens, any::<(u64, u64, bool)>(), rows).prop_map(|(tokens, (from, to, is_new), rows)| {
            DutyMessage::Digest {
                tokens,
                digest: Digest { from, to, rows },
                is_new,
                wants_reply: !is_new,
            }
        }),
        prop::collection::vec(any::<u64>(), 0..50)
            .prop_map(|id_hashes| DutyMessage::RequestWindows { id_hashes }),
        windows().prop_map(|windows| DutyMessage::Windows { windows }),
        (header(), prop::collection::vec(token(), 0..3), windows()).prop_map(
            move |(header, tokens, windows)| {
                let held = tokens
                    .into_iter()
                    .map(|token| HeldDuty { duty, token })
                    .collect();
                DutyMessage::Broadcast(header, Announcement { held, windows })
            }
        ),
        token().prop_map(move |highest| DutyMessage::Fenced { duty, highest }),
        prop::collection::vec(count, 0..9).prop_map(|open| DutyMessage::OpenRequests { open }),
    ]
}

proptest! {
    /// A message decodes to what was encoded. A truncated message or one with trailing bytes is rejected. Decoding a
    /// message with a changed byte, or random bytes, never panics, and never succeeds with another version.
    #[test]
    fn only_complete_messages_are_decoded(original in message(), at in any::<prop::sample::Index>(), flip in 1u8..,
                                    random_bytes in prop::collection::vec(any::<u8>(), 1..64)) {
        let bytes = encode(&original);
        prop_assert_eq!(&decode(&bytes).unwrap(), &original);
        prop_assert!(decode(&bytes[..at.index(bytes.len())]).is_err());
        prop_assert!(decode(&[&bytes[..], &random_bytes].concat()).is_err());
        let mut changed = bytes.clone();
        changed[at.index(bytes.len())] ^= flip;
        prop_assert!(changed[0] == VERSION || decode(&changed).is_err());
        let _ = decode(&changed);
        let _ = decode(&random_bytes);
    }

    /// A token above which no other could follow is rejected, in whichever field it is.
    #[test]
    fn tokens_with_too_high_numbers_are_rejected(original in message(), number in MAX_TOKEN_NUMBER..) {
        let too_high = Ballot { number, incarnation: 0 };
        let message = match original {
            DutyMessage::Lease { duty, message: Message::Denied { ballot, round, .. } } => {
                DutyMessage::Lease { duty, message: Message::Denied { ballot, round, highest: too_high } }
            }
            DutyMessage::Lease { duty, .. } => DutyMessage::Lease { duty, message: Message::PreVote { ballot: too_high } },
            DutyMessage::Digest { mut tokens, digest, is_new, wants_reply } => {
                tokens.push(TokenReport { duty: Duty::Calendar, token: too_high, heartbeat_age_ms: None });
                DutyMessage::Digest { tokens, digest, is_new, wants_reply }
            }
            DutyMessage::Broadcast(header, mut announcement) => {
                announcement.held.push(HeldDuty { duty: Duty::Config, token: too_high });
                DutyMessage::Broadcast(header, announcement)
            }
            DutyMessage::Config(_) => {
                let prepare = config::PaxosMessage::Prepare { token: too_high, round: 1 };
                DutyMessage::Config(config::Message::Paxos(prepare))
            }
            _ => DutyMessage::Fenced { duty: Duty::Calendar, highest: too_high },
        };
        prop_assert!(matches!(decode(&encode(&message)), Err(MessageError::TokenNumber(n)) if n == number));
    }

    /// The parts contain every item once, in order, and no part is over the bound unless it is a single item.
    #[test]
    fn parts_contain_all_items_and_fit_into_messages(sizes in prop::collection::vec(0usize..1400, 0..40)) {
        let parts = split_to_fit(sizes.clone(), |size| *size);
        prop_assert_eq!(parts.concat(), sizes);
        for part in parts {
            prop_assert!(part.len() == 1 || part.iter().sum::<usize>() <= MAX_ITEMS_BYTES);
        }
    }
}
