//! The encoding of datagrams, the replay filter, and the rule by which verdicts are merged.

use super::member::{Member, WallClock};
use super::verdict_broadcast::{VerdictBroadcast, VerdictHandler, VerdictStore};
use super::wire::{cluster_id, decode, encode, Body, Envelope, ReplayFilter, SnapshotChunk};
use crate::interface::{Micros, Verdict};
use foca::BroadcastHandler;
use proptest::prelude::*;
use std::net::SocketAddr;

/// The merge rule: for each origin the latest verdict wins, in whatever order they arrive; stale ones and echoes of the
/// proxy's own are dropped; invalid input is an error and changes nothing.
#[test]
fn the_last_writer_wins_for_each_origin_within_the_maximum_age() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let now = 1_000_000_000_000;
    let clock = WallClock::default();
    clock.set(now);
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
    assert!(receive(2, now - 100, ejected));
    assert!(receive(2, now - 50, Verdict::Readmitted), "a later one");
    assert!(
        !receive(2, now - 100, ejected) && !receive(2, now - 50, ejected),
        "replayed, in any order"
    );
    assert!(receive(3, now - 100, ejected), "from another origin");
    assert!(
        !receive(4, now - 6_000_000, ejected),
        "past the maximum age"
    );
    assert!(!receive(1, now, ejected), "an echo of its own");
    assert!(handler.receive_item(&[0xff; 40], Some(&sender)).is_err());
    let store = store.borrow();
    assert_eq!(
        (store.unreported.len(), store.stale, store.latest_us.len()),
        (3, 1, 2)
    );
}

fn envelope() -> impl Strategy<Value = Envelope> {
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
    /// A datagram decodes to what was sent; with any byte changed, truncated anywhere or with bytes added it is
    /// rejected, and arbitrary input never panics.
    #[test]
    fn only_complete_datagrams_are_decoded(envelope in envelope(), at in any::<prop::sample::Index>(), flip in 1u8..,
                                     cut in any::<prop::sample::Index>(),
                                     junk in proptest::collection::vec(any::<u8>(), 1..64)) {
        let bytes = encode(&envelope).unwrap();
        prop_assert_eq!(&decode(&bytes).unwrap(), &envelope);
        let mut changed = bytes.clone();
        let position = at.index(changed.len());
        changed[position] ^= flip;
        prop_assert!(decode(&changed).is_err(), "a change at byte {} was accepted", position);
        prop_assert!(decode(&bytes[..cut.index(bytes.len())]).is_err());
        prop_assert!(decode(&[&bytes[..], &junk].concat()).is_err());
        let _ = decode(&junk);
    }
}

#[test]
fn each_datagram_of_the_cluster_is_accepted_once_and_fresh() {
    let own_cluster = cluster_id("lagos");
    let mut filter = ReplayFilter::new(own_cluster, Micros(5_000_000));
    let now = 1_000_000_000;
    let envelope = |cluster, sent_us| Envelope {
        cluster,
        from: SocketAddr::from(([127, 0, 0, 1], 7)),
        sent_us,
        body: Body::SnapshotRequest { nonce: 1 },
    };
    let mut cause = |cluster, sent_us, now_us| {
        filter
            .check(&envelope(cluster, sent_us), now_us)
            .err()
            .map_or("", |error| error.cause())
    };
    assert_eq!(cause(own_cluster, now - 10, now), "");
    assert_eq!(cause(own_cluster, now - 10, now + 1), "replayed");
    assert_eq!(
        cause(own_cluster, now - 10, now + 6_000_000),
        "stale",
        "forgotten only once it is too old anyway"
    );
    assert_eq!(
        cause(own_cluster, now - 11, now),
        "",
        "late, out of order, and new"
    );
    assert_eq!(cause(cluster_id("other"), now, now), "cluster");
    assert_eq!(cause(own_cluster, now + 2_000_000, now), "ahead");
}
