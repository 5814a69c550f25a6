//! Tests of the encoding of datagrams, the replay filter, and the merge of verdicts.

use super::member::{Member, WallClock};
use super::verdict_broadcast::{VerdictBroadcast, VerdictHandler, VerdictStore};
use super::wire::{cluster_id, decode, encode, Body, Envelope, ReplayFilter, SnapshotChunk};
use crate::interface::{Micros, Verdict};
use foca::BroadcastHandler;
use proptest::prelude::*;
use std::net::SocketAddr;

/// The merge rule for verdicts: for each origin, the latest verdict wins in any order of arrival. Stale verdicts and
/// echoes of the proxy's own verdicts are dropped. Invalid input is an error and changes nothing.
#[test]
fn latest_verdict_of_each_origin_within_the_maximum_age_wins() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let now_us = 1_000_000_000_000;
    let clock = WallClock::default();
    clock.set(now_us);
    let store = VerdictStore::shared(address(1), Micros(5_000_000), clock);
    let mut handler = VerdictHandler(store.clone());
    let sender = Member::new(address(9), 1);
    let mut receive = |origin: u16, created_us: u64, verdict: Verdict| {
        let broadcast = VerdictBroadcast {
            origin: address(origin),
            created_us,
            backend: "s-1".into(),
            verdict,
        };
        handler
            .receive_item(&broadcast.encode().unwrap(), Some(&sender))
            .unwrap()
            .is_some()
    };
    let ejected = Verdict::Ejected {
        duration: Micros(1_000_000),
        consecutive_ejections: 1,
    };
    assert!(receive(2, now_us - 100, ejected));
    assert!(
        receive(2, now_us - 50, Verdict::Readmitted),
        "a later verdict of the same origin is accepted"
    );
    assert!(
        !receive(2, now_us - 100, ejected) && !receive(2, now_us - 50, ejected),
        "a verdict that is not later than the known one is dropped"
    );
    assert!(
        receive(3, now_us - 100, ejected),
        "a verdict of another origin is accepted"
    );
    assert!(
        !receive(4, now_us - 6_000_000, ejected),
        "a verdict older than the maximum age is dropped"
    );
    assert!(
        !receive(1, now_us, ejected),
        "an echo of the proxy's own verdict is dropped"
    );
    assert!(handler.receive_item(&[0xff; 40], Some(&sender)).is_err());
    let store = store.borrow();
    assert_eq!(
        (store.unreported.len(), store.stale, store.latest_us.len()),
        (3, 1, 2)
    );
}

/// Generates envelopes with all kinds of bodies.
fn any_envelope() -> impl Strategy<Value = Envelope> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..900);
    let body = prop_oneof![
        bytes().prop_map(Body::Swim),
        bytes().prop_map(Body::Coordination),
        bytes().prop_map(Body::ListDigest),
        bytes().prop_map(Body::MemberList),
        any::<u64>().prop_map(|nonce| Body::SnapshotRequest { nonce }),
        (any::<u64>(), any::<u16>(), any::<u16>(), bytes()).prop_map(
            |(nonce, index, count, bytes)| Body::SnapshotChunk(SnapshotChunk {
                nonce,
                index,
                count,
                bytes
            })
        ),
    ];
    (
        any::<[u8; 8]>(),
        any::<([u8; 4], u16)>(),
        any::<u64>(),
        body,
    )
        .prop_map(|(cluster, from, sent_us, body)| Envelope {
            cluster,
            from: from.into(),
            sent_us,
            body,
        })
}

proptest! {
    /// A datagram decodes to the envelope that was encoded. It is rejected if any byte is changed, if it is truncated
    /// anywhere, or if bytes are appended. Arbitrary input does not cause a panic.
    #[test]
    fn only_complete_datagrams_are_decoded(envelope in any_envelope(), changed_at in any::<prop::sample::Index>(),
                                     mask in 1u8.., truncated_at in any::<prop::sample::Index>(),
                                     random_bytes in proptest::collection::vec(any::<u8>(), 1..64)) {
        let bytes = encode(&envelope).unwrap();
        prop_assert_eq!(&decode(&bytes).unwrap(), &envelope);
        let mut changed = bytes.clone();
        let position = changed_at.index(changed.len());
        changed[position] ^= mask;
        prop_assert!(decode(&changed).is_err(), "a datagram with byte {} changed was accepted", position);
        prop_assert!(decode(&bytes[..truncated_at.index(bytes.len())]).is_err());
        prop_assert!(decode(&[&bytes[..], &random_bytes].concat()).is_err());
        let _ = decode(&random_bytes);
    }
}

#[test]
fn replay_filter_accepts_each_recent_datagram_of_the_cluster_once() {
    let own_cluster = cluster_id("lagos");
    let mut filter = ReplayFilter::new(own_cluster, Micros(5_000_000));
    let now_us = 1_000_000_000;
    let envelope = |cluster, sent_us| Envelope {
        cluster,
        from: SocketAddr::from(([127, 0, 0, 1], 7)),
        sent_us,
        body: Body::SnapshotRequest { nonce: 1 },
    };
    let mut rejection_cause = |cluster, sent_us, checked_us| {
        filter
            .check(&envelope(cluster, sent_us), checked_us)
            .err()
            .map_or("", |error| error.cause())
    };
    assert_eq!(rejection_cause(own_cluster, now_us - 10, now_us), "");
    assert_eq!(
        rejection_cause(own_cluster, now_us - 10, now_us + 1),
        "replayed"
    );
    assert_eq!(
        rejection_cause(own_cluster, now_us - 10, now_us + 6_000_000),
        "stale",
        "the filter forgets a datagram only when it is too old to be accepted"
    );
    assert_eq!(
        rejection_cause(own_cluster, now_us - 11, now_us),
        "",
        "a new datagram that arrives out of order is accepted"
    );
    assert_eq!(
        rejection_cause(cluster_id("other"), now_us, now_us),
        "cluster"
    );
    assert_eq!(
        rejection_cause(own_cluster, now_us + 2_000_000, now_us),
        "ahead"
    );
}
