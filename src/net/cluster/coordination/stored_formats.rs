//! Test that one message of every kind on duties, windows and the configuration keeps its encoding byte for byte.

use super::message::{
    decode, encode, Announcement, Duty, DutyMessage, HeldDuty, OpenRequestCount, TokenReport,
};
use crate::fixtures::assert_bytes;
use meadowproxy::fleet::calendar::{Digest, DigestRow};
use meadowproxy::fleet::config::{
    self, AcceptedChange, AcceptorState, Change, Edit, Entry, InvalidEntry, Key, Kind, Node,
    PaxosMessage, PositionRange, Submission, SubmitError, Value,
};
use meadowproxy::fleet::lease::{Ballot, Message, Token};
use meadowproxy::fleet::relay::{BroadcastHeader, HashRange};

fn token(number: u64) -> Token {
    Ballot {
        number,
        incarnation: 0x0123_4567_89ab_cdef,
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
            Kind::RequestClass,
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

/// Returns the name of a lease message in the fixture. A new kind of message has to be named in the function for its
/// type and added to the examples below.
fn lease_name(message: &Message) -> &'static str {
    match message {
        Message::PreVote { .. } => "lease ask",
        Message::PreVoteGranted { .. } => "lease free",
        Message::RequestGrant { .. } => "lease propose",
        Message::Granted { .. } => "lease accepted",
        Message::Denied { .. } => "lease refused",
        Message::Release { .. } => "lease release",
    }
}

fn paxos_name(message: &PaxosMessage) -> &'static str {
    match message {
        PaxosMessage::Prepare { .. } => "paxos prepare",
        PaxosMessage::Promise {
            accepted: Some(_), ..
        } => "paxos promise",
        PaxosMessage::Promise { accepted: None, .. } => "paxos promise of none accepted",
        PaxosMessage::Accept { .. } => "paxos accept",
        PaxosMessage::Accepted { .. } => "paxos accepted",
        PaxosMessage::Behind { .. } => "paxos behind",
        PaxosMessage::Nack { .. } => "paxos refused",
        PaxosMessage::Recover { .. } => "paxos recover",
        PaxosMessage::RecoverReply { .. } => "paxos known",
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

fn name(message: &DutyMessage) -> &'static str {
    match message {
        DutyMessage::Lease { message, .. } => lease_name(message),
        DutyMessage::Digest { .. } => "windows digest",
        DutyMessage::RequestWindows { .. } => "windows ask",
        DutyMessage::Windows { .. } => "windows entries",
        DutyMessage::Broadcast(..) => "broadcast",
        DutyMessage::Fenced { .. } => "fenced",
        DutyMessage::OpenRequests { .. } => "report",
        DutyMessage::Config(message) => config_name(message),
    }
}

fn lease_messages() -> Vec<DutyMessage> {
    let (ballot, highest) = (token(1_764_748_800_123), token(1_764_748_800_456));
    let messages = [
        (Duty::Calendar, Message::PreVote { ballot }),
        (Duty::Config, Message::PreVoteGranted { ballot }),
        (Duty::Calendar, Message::RequestGrant { ballot, round: 3 }),
        (Duty::Config, Message::Granted { ballot, round: 300 }),
        (
            Duty::Calendar,
            Message::Denied {
                ballot,
                round: 4,
                highest,
            },
        ),
        (Duty::Config, Message::Release { ballot }),
    ];
    messages
        .map(|(duty, message)| DutyMessage::Lease { duty, message })
        .to_vec()
}

fn paxos_messages() -> Vec<PaxosMessage> {
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
        PaxosMessage::Prepare { token, round },
        PaxosMessage::Promise {
            token,
            round,
            version,
            accepted,
            version_floor: 11,
        },
        PaxosMessage::Promise {
            token,
            round,
            version,
            accepted: None,
            version_floor: 0,
        },
        PaxosMessage::Accept {
            token,
            round,
            change: change(7),
        },
        PaxosMessage::Accepted { token, round },
        PaxosMessage::Behind {
            token,
            round,
            version,
        },
        PaxosMessage::Nack { token, highest },
        PaxosMessage::Recover { nonce: u64::MAX },
        PaxosMessage::RecoverReply {
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

fn digest_message() -> DutyMessage {
    let report = |duty, heartbeat_age_ms| TokenReport {
        duty,
        token: token(5),
        heartbeat_age_ms,
    };
    let tokens = vec![
        report(Duty::Calendar, Some(1500)),
        report(Duty::Config, None),
    ];
    let row = |id_hash, content_hash| DigestRow {
        id_hash,
        content_hash,
    };
    let digest = Digest {
        from: 1,
        to: u64::MAX,
        rows: vec![row(2, 3), row(1 << 63, 0)],
    };
    DutyMessage::Digest {
        tokens,
        digest,
        is_new: false,
        wants_reply: true,
    }
}

fn messages() -> Vec<DutyMessage> {
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
    let held_duty = |duty, number| HeldDuty {
        duty,
        token: token(number),
    };
    let held = vec![held_duty(Duty::Calendar, 5), held_duty(Duty::Config, 6)];
    let windows = vec![vec![1, 2, 3], vec![], vec![255]];
    let count = |backend: &str, open| OpenRequestCount {
        backend: backend.into(),
        open,
    };
    let open = vec![count("s-1", 0), count("größer", 70_000)];
    let mut messages = vec![
        digest_message(),
        DutyMessage::RequestWindows {
            id_hashes: vec![0, 300, u64::MAX],
        },
        DutyMessage::Windows {
            windows: windows.clone(),
        },
        DutyMessage::Broadcast(header, Announcement { held, windows }),
        DutyMessage::Fenced {
            duty: Duty::Config,
            highest: token(1 << 52),
        },
        DutyMessage::OpenRequests { open },
    ];
    messages.extend(lease_messages());
    messages.extend(config_messages().into_iter().map(DutyMessage::Config));
    messages
}

#[test]
fn every_kind_of_coordination_message_keeps_its_bytes() {
    let named: Vec<_> = messages()
        .into_iter()
        .map(|message| (name(&message), message))
        .collect();
    assert_bytes("duties.txt", &named, encode, |bytes| decode(bytes).unwrap());
}
