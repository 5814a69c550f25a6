//! The datagrams' codec, and the rule by which facts are merged.

use super::facts::{Board, Fact, Facts};
use super::member::{Clock, Member};
use super::wire::{cluster, decode, encode, Body, Envelope, Gate};
use crate::interface::{Micros, Verdict};
use foca::BroadcastHandler;
use proptest::prelude::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The merge rule, by hand: later born wins for each origin, whatever the order; stale and own echoes are
/// dropped; garbage is an error and changes nothing.
#[test]
fn the_last_writer_wins_for_each_origin_within_the_bound() {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let board = Rc::new(RefCell::new(Board::default()));
    let (clock, now) = (Clock::default(), 1_000_000_000_000);
    clock.set(now);
    let mut facts = Facts {
        board: board.clone(),
        own: at(1),
        bound: Micros(5_000_000),
        clock,
    };
    let sender = Member::new(at(9), 1);
    let mut hear = |origin: u16, born_us: u64, verdict: Verdict| {
        let fact = Fact {
            origin: at(origin),
            born_us,
            backend: "s-1".into(),
            verdict,
        };
        facts
            .receive_item(&fact.encode().unwrap(), Some(&sender))
            .unwrap()
            .is_some()
    };
    let out = Verdict::Ejected {
        duration: Micros(1_000_000),
        consecutive_ejections: 1,
    };
    assert!(hear(2, now - 100, out));
    assert!(hear(2, now - 50, Verdict::Readmitted), "the later");
    assert!(
        !hear(2, now - 100, out) && !hear(2, now - 50, out),
        "replayed, in any order"
    );
    assert!(hear(3, now - 100, out), "another origin's stands beside it");
    assert!(!hear(4, now - 6_000_000, out), "past the bound");
    assert!(!hear(1, now, out), "its own echo");
    assert!(facts.receive_item(&[0xff; 40], Some(&sender)).is_err());
    let board = board.borrow();
    assert_eq!(
        (board.news.len(), board.stale, board.newest.len()),
        (3, 1, 2)
    );
}

fn envelope() -> impl Strategy<Value = Envelope> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..900);
    let body = prop_oneof![
        bytes().prop_map(Body::Swim),
        bytes().prop_map(Body::Duty),
        bytes().prop_map(Body::Compare),
        bytes().prop_map(Body::Members),
        any::<u64>().prop_map(|nonce| Body::Ask { nonce }),
        (any::<u64>(), any::<u16>(), any::<u16>(), bytes()).prop_map(
            |(nonce, index, of, bytes)| Body::Part {
                nonce,
                index,
                of,
                bytes
            }
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
    /// A datagram decodes to what was sent; with any byte changed, cut anywhere or with bytes added it is
    /// refused, and junk of any sort never panics.
    #[test]
    fn only_whole_datagrams_are_read(e in envelope(), at in any::<prop::sample::Index>(), flip in 1u8..,
                                     cut in any::<prop::sample::Index>(),
                                     junk in proptest::collection::vec(any::<u8>(), 1..64)) {
        let bytes = encode(&e).unwrap();
        prop_assert_eq!(&decode(&bytes).unwrap(), &e);
        let mut changed = bytes.clone();
        let i = at.index(changed.len());
        changed[i] ^= flip;
        prop_assert!(decode(&changed).is_err(), "a change at byte {} was taken", i);
        prop_assert!(decode(&bytes[..cut.index(bytes.len())]).is_err());
        prop_assert!(decode(&[&bytes[..], &junk].concat()).is_err());
        let _ = decode(&junk);
    }
}

#[test]
fn each_datagram_of_the_cluster_is_let_in_once_and_fresh() {
    let mine = cluster("lagos");
    let mut gate = Gate::new(mine, Micros(5_000_000));
    let now = 1_000_000_000;
    let of = |cluster, sent_us| Envelope {
        cluster,
        from: SocketAddr::from(([127, 0, 0, 1], 7)),
        sent_us,
        body: Body::Ask { nonce: 1 },
    };
    let mut cause = |cluster, sent_us, at| {
        gate.admit(&of(cluster, sent_us), at)
            .err()
            .map_or("", |e| e.cause())
    };
    assert_eq!(cause(mine, now - 10, now), "");
    assert_eq!(cause(mine, now - 10, now + 1), "replayed");
    assert_eq!(
        cause(mine, now - 10, now + 6_000_000),
        "stale",
        "forgotten only once too old anyway"
    );
    assert_eq!(
        cause(mine, now - 11, now),
        "",
        "late, out of order, and new"
    );
    assert_eq!(cause(cluster("other"), now, now), "cluster");
    assert_eq!(cause(mine, now + 2_000_000, now), "ahead");
}
