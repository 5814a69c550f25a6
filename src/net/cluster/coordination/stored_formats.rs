//! One message of every kind on duties, windows and the configuration, byte for byte.

use super::message::{decode, encode, Duties, Duty, Said, Word};
use crate::fixtures::assert_bytes;
use meadowproxy::fleet::calendar::Digest;
use meadowproxy::fleet::config::{
    self, AcceptedChange, AcceptorState, Change, Edit, Entry, InvalidEntry, Key, Kind, Node, Paxos,
    PositionRange, Submission, SubmitError, Value,
};
use meadowproxy::fleet::lease::{Ballot, Message, Token};
use meadowproxy::fleet::relay::{BroadcastHeader, HashRange};

fn token(number: u64) -> Token {
    Ballot {
        number,
        by: 0x0123_4567_89ab_cdef,
    }
}

fn edits() -> Vec<Edit> {
    let edit = |kind, name: &str, value| Edit {
        key: Key {
            kind,
            name: name.into(),
        },
        value,
    };
    vec![
        edit(
            Kind::Route,
            "/read/*",
            Value::Set(br#"{"name":"/read/*"}"#.to_vec()),
        ),
        edit(Kind::Tenant, "größer", Value::Removed),
        edit(Kind::Tenant, "acme", Value::AsFile),
        Edit::compact_up_to(77),
    ]
}

fn change(version: u64) -> Change {
    Change {
        version,
        previous: version - 1,
        id: 0xfedc_ba98,
        edits: edits(),
    }
}

fn digest() -> config::Digest {
    config::Digest {
        version: 1_764_748_800_123,
        root: u64::MAX - 1,
    }
}

/// A value's name; whoever adds a kind has to name it here and to give one of it below.
fn lease_name(message: &Message) -> &'static str {
    match message {
        Message::Ask { .. } => "lease ask",
        Message::Free { .. } => "lease free",
        Message::Propose { .. } => "lease propose",
        Message::Accepted { .. } => "lease accepted",
        Message::Refused { .. } => "lease refused",
        Message::Release { .. } => "lease release",
    }
}

fn paxos_name(message: &Paxos) -> &'static str {
    match message {
        Paxos::Prepare { .. } => "paxos prepare",
        Paxos::Promise {
            accepted: Some(_), ..
        } => "paxos promise",
        Paxos::Promise { accepted: None, .. } => "paxos promise of none accepted",
        Paxos::Accept { .. } => "paxos accept",
        Paxos::Accepted { .. } => "paxos accepted",
        Paxos::Behind { .. } => "paxos behind",
        Paxos::Nack { .. } => "paxos refused",
        Paxos::Recover { .. } => "paxos recover",
        Paxos::RecoverReply { .. } => "paxos known",
    }
}

fn outcome_name(result: &Result<u64, SubmitError>) -> &'static str {
    match result {
        Ok(_) => "config outcome taken",
        Err(SubmitError::Conflict { .. }) => "config outcome conflict",
        Err(SubmitError::Invalid(_)) => "config outcome invalid",
        Err(SubmitError::Full) => "config outcome full",
        Err(SubmitError::Busy) => "config outcome busy",
        Err(SubmitError::NoLeader) => "config outcome no holder",
        Err(SubmitError::Unknown) => "config outcome unknown",
    }
}

fn config_name(message: &config::Message) -> &'static str {
    match message {
        config::Message::Paxos(message) => paxos_name(message),
        config::Message::Changes { .. } => "config changes",
        config::Message::Digest { .. } => "config digest",
        config::Message::ChangesSince { .. } => "config since",
        config::Message::CompareNode { .. } => "config hashes",
        config::Message::NodeHashes { .. } => "config children",
        config::Message::FetchRange { .. } => "config range",
        config::Message::RangeEntries { .. } => "config part",
        config::Message::Submit(_) => "config submit",
        config::Message::Outcome { result, .. } => outcome_name(result),
    }
}

fn name(message: &Duties) -> &'static str {
    match message {
        Duties::Lease { message, .. } => lease_name(message),
        Duties::Digest { .. } => "windows digest",
        Duties::Ask { .. } => "windows ask",
        Duties::Entries { .. } => "windows entries",
        Duties::Broadcast(..) => "broadcast",
        Duties::Fenced { .. } => "fenced",
        Duties::Report { .. } => "report",
        Duties::Config(message) => config_name(message),
    }
}

fn lease_messages() -> Vec<Duties> {
    let (ballot, highest) = (token(1_764_748_800_123), token(1_764_748_800_456));
    let messages = [
        (Duty::Calendar, Message::Ask { ballot }),
        (Duty::Config, Message::Free { ballot }),
        (Duty::Calendar, Message::Propose { ballot, round: 3 }),
        (Duty::Config, Message::Accepted { ballot, round: 300 }),
        (
            Duty::Calendar,
            Message::Refused {
                ballot,
                round: 4,
                highest,
            },
        ),
        (Duty::Config, Message::Release { ballot }),
    ];
    messages
        .map(|(duty, message)| Duties::Lease { duty, message })
        .to_vec()
}

fn paxos_messages() -> Vec<Paxos> {
    let (token, highest, round, version) = (token(5), token(9), 70_000, 1_764_748_800_123);
    let accepted = Some(AcceptedChange {
        token: highest,
        change: change(6),
    });
    let state = AcceptorState {
        promised: highest,
        version,
        accepted: accepted.clone(),
        version_floor: 12,
    };
    vec![
        Paxos::Prepare { token, round },
        Paxos::Promise {
            token,
            round,
            version,
            accepted,
            version_floor: 11,
        },
        Paxos::Promise {
            token,
            round,
            version,
            accepted: None,
            version_floor: 0,
        },
        Paxos::Accept {
            token,
            round,
            change: change(7),
        },
        Paxos::Accepted { token, round },
        Paxos::Behind {
            token,
            round,
            version,
        },
        Paxos::Nack { token, highest },
        Paxos::Recover { nonce: u64::MAX },
        Paxos::RecoverReply {
            nonce: 1 << 40,
            state,
            is_complete: true,
        },
    ]
}

fn outcomes() -> Vec<config::Message> {
    let key = "tenants.acme".to_string();
    let invalid = InvalidEntry {
        key: key.clone(),
        reason: "expected an object".into(),
    };
    let results = [
        Ok(1_764_748_800_124),
        Err(SubmitError::Conflict { key, version: 8 }),
        Err(SubmitError::Invalid(invalid)),
        Err(SubmitError::Full),
        Err(SubmitError::Busy),
        Err(SubmitError::NoLeader),
        Err(SubmitError::Unknown),
    ];
    results
        .map(|result| config::Message::Outcome { id: 0xabcd, result })
        .to_vec()
}

fn config_messages() -> Vec<config::Message> {
    let (version, node) = (
        digest().version,
        Node {
            level: 3,
            index: 4095,
        },
    );
    let entries = change(9).entries();
    let last = Entry {
        version: 3,
        ..entries[0].clone()
    };
    let mut messages = vec![
        config::Message::Changes {
            changes: vec![change(8), change(9)],
            version,
            push: true,
        },
        config::Message::Digest {
            digest: digest(),
            is_new: true,
            wants_reply: false,
        },
        config::Message::ChangesSince { version },
        config::Message::CompareNode { node },
        config::Message::NodeHashes {
            digest: digest(),
            node,
            hashes: vec![0, 1, u64::MAX],
        },
        config::Message::FetchRange {
            range: PositionRange {
                first: 1,
                last: u64::MAX,
            },
        },
        config::Message::RangeEntries {
            digest: digest(),
            range: PositionRange { first: 2, last: 3 },
            entries: [entries, vec![last]].concat(),
        },
        config::Message::Submit(Submission {
            id: 0x1234,
            base: 8,
            edits: edits(),
        }),
    ];
    messages.extend(outcomes());
    messages.extend(paxos_messages().into_iter().map(config::Message::Paxos));
    messages
}

fn messages() -> Vec<Duties> {
    let word = |duty, age_ms| Word {
        duty,
        token: token(5),
        age_ms,
    };
    let words = vec![word(Duty::Calendar, Some(1500)), word(Duty::Config, None)];
    let windows = Digest {
        from: 1,
        to: u64::MAX,
        rows: vec![(2, 3), (1 << 63, 0)],
    };
    let range = HashRange {
        first: 7,
        last: u32::MAX,
        hops: 2,
    };
    let origin = "10.1.2.3:7000".parse().unwrap();
    let header = BroadcastHeader {
        origin,
        incarnation: 0x55aa,
        sent_us: 1_764_748_800_123_456,
        range,
    };
    let tokens = vec![(Duty::Calendar, token(5)), (Duty::Config, token(6))];
    let entries = vec![vec![1, 2, 3], vec![], vec![255]];
    let open = vec![("s-1".to_string(), 0), ("größer".to_string(), 70_000)];
    let mut messages = vec![
        Duties::Digest {
            words,
            digest: windows,
            new: false,
            ask: true,
        },
        Duties::Ask {
            ids: vec![0, 300, u64::MAX],
        },
        Duties::Entries {
            entries: entries.clone(),
        },
        Duties::Broadcast(header, Said { tokens, entries }),
        Duties::Fenced {
            duty: Duty::Config,
            highest: token(1 << 52),
        },
        Duties::Report { open },
    ];
    messages.extend(lease_messages());
    messages.extend(config_messages().into_iter().map(Duties::Config));
    messages
}

#[test]
fn every_kind_of_message_on_duties_keeps_its_bytes() {
    let forms: Vec<_> = messages()
        .into_iter()
        .map(|message| (name(&message), message))
        .collect();
    assert_bytes("duties.txt", &forms, encode, |bytes| decode(bytes).unwrap());
}
