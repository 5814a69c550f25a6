//! The bytes of membership's datagrams and of what they carry.

use super::anti_entropy::respond_to_digest;
use super::member::Member;
use super::verdict_broadcast::VerdictBroadcast;
use super::wire::{cluster_id, decode, encode, Body, DatagramSealer, Envelope, SnapshotChunk};
use super::{ClockReading, Membership, MembershipConfig, Output};
use crate::fixtures::{assert_bytes, assert_lines};
use crate::interface::{Micros, Time, Verdict};
use std::collections::VecDeque;
use std::net::SocketAddr;

const WALL_US: u64 = 1_764_748_800_123_456;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The name of a kind of body in the fixtures; a new kind needs a name here and an example below.
fn name(body: &Body) -> &'static str {
    match body {
        Body::Swim(_) => "swim",
        Body::SnapshotRequest { .. } => "ask",
        Body::SnapshotChunk(_) => "part",
        Body::Coordination(_) => "duty",
        Body::ListDigest(_) => "compare",
        Body::MemberList(_) => "members",
    }
}

fn bodies() -> Vec<Body> {
    vec![
        Body::Swim(vec![1, 2, 3]),
        Body::SnapshotRequest { nonce: u64::MAX },
        Body::SnapshotChunk(SnapshotChunk {
            nonce: 1 << 40,
            index: 300,
            count: 301,
            bytes: vec![0, 255],
        }),
        Body::Coordination(vec![4; 200]),
        Body::ListDigest(vec![5, 6]),
        Body::MemberList(vec![]),
    ]
}

#[test]
fn every_kind_of_datagram_keeps_its_bytes() {
    let envelope = |body| Envelope {
        cluster: cluster_id("lagos"),
        from: at(7000),
        sent_us: WALL_US,
        body,
    };
    let mut forms: Vec<_> = bodies()
        .into_iter()
        .map(|body| (name(&body), envelope(body)))
        .collect();
    let from = "[2001:db8::1]:7000".parse().unwrap();
    forms.push((
        "from ipv6",
        Envelope {
            from,
            ..envelope(Body::SnapshotRequest { nonce: 1 })
        },
    ));
    let sealed =
        DatagramSealer::new(cluster_id("lagos"), at(7000)).seal(bodies().remove(0), WALL_US);
    assert_eq!(sealed.unwrap(), encode(&forms[0].1).unwrap());
    assert_bytes(
        "datagrams.txt",
        &forms,
        |e| encode(e).unwrap(),
        |bytes| decode(bytes).unwrap(),
    );
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Ejected { .. } => "out",
        Verdict::Readmitted => "back",
    }
}

#[test]
fn shared_verdicts_keep_their_bytes() {
    let verdicts = [
        Verdict::Ejected {
            duration: Micros(1_500_000),
            consecutive_ejections: 3,
        },
        Verdict::Readmitted,
    ];
    let broadcast = |verdict| VerdictBroadcast {
        origin: at(7000),
        created_us: WALL_US,
        backend: "größer-1".into(),
        verdict,
    };
    let forms = verdicts.map(|verdict| (verdict_name(&verdict), broadcast(verdict)));
    assert_bytes(
        "facts.txt",
        &forms,
        |broadcast| broadcast.encode().unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}

#[test]
fn a_member_keeps_its_bytes() {
    let forms = [
        ("ipv4", Member::new(at(7000), WALL_US)),
        (
            "ipv6",
            Member::new("[2001:db8::1]:7000".parse().unwrap(), 0),
        ),
    ];
    let encode = |member: &Member| postcard::to_stdvec(member).unwrap();
    assert_bytes("members.txt", &forms, encode, |b| {
        postcard::from_bytes(b).unwrap()
    });
}

/// Two proxies from the first announcement to the leave of one, on simulated clocks.
struct Pair {
    proxies: [Membership; 2],
    sealers: [DatagramSealer; 2],
    elapsed_us: u64,
    /// The datagrams in the order of sending.
    sent: Vec<SentDatagram>,
}

struct SentDatagram {
    from: usize,
    hex: String,
}

/// The clocks at a time after the start.
fn clock(elapsed_us: u64) -> ClockReading {
    ClockReading {
        monotonic: Time(1_000_000 + elapsed_us),
        wall_us: WALL_US + elapsed_us,
    }
}

fn config(seeds: Vec<SocketAddr>, fleet_size: u32) -> MembershipConfig {
    MembershipConfig {
        cluster: cluster_id("lagos"),
        seeds,
        max_age: Micros(5_000_000),
        fleet_size,
    }
}

impl Pair {
    fn new() -> Pair {
        let config = config(vec![at(1), at(2)], 2);
        let proxy = |n: u16| Membership::new(config.clone(), at(n), n.into(), n == 1, clock(0));
        let sealer = |n| DatagramSealer::new(config.cluster, at(n));
        Pair {
            proxies: [proxy(1), proxy(2)],
            sealers: [sealer(1), sealer(2)],
            elapsed_us: 0,
            sent: Vec::new(),
        }
    }

    /// One step of a proxy; what it sends arrives at once, and so do the responses.
    fn step(
        &mut self,
        n: usize,
        step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>),
    ) {
        let now = clock(self.elapsed_us);
        let mut outputs = Vec::new();
        step(&mut self.proxies[n], now, &mut outputs);
        let mut pending = VecDeque::from([(n, outputs)]);
        while let Some((from, outputs)) = pending.pop_front() {
            for output in outputs {
                let Output::Send { to, body } = output else {
                    continue;
                };
                let other = 1 - from;
                assert_eq!(to, at(other as u16 + 1));
                let bytes = self.sealers[from].seal(body, now.wall_us).unwrap();
                let mut responses = Vec::new();
                self.proxies[other].handle_datagram(&bytes, now, &mut responses);
                let hex = hex::encode(&bytes);
                self.sent.push(SentDatagram { from, hex });
                pending.push_back((other, responses));
            }
        }
    }

    fn run_for(&mut self, span_us: u64) {
        const TICK_US: u64 = 10_000;
        for _ in 0..span_us / TICK_US {
            self.elapsed_us += TICK_US;
            (0..2).for_each(|n| self.step(n, Membership::run_timers));
        }
    }
}

/// Compares all datagrams of a dialogue: a change of what is sent at which time differs from the fixture.
#[test]
fn two_proxies_send_each_other_the_same_datagrams() {
    let mut pair = Pair::new();
    pair.run_for(2_000_000);
    let ejected = Verdict::Ejected {
        duration: Micros(1_000_000),
        consecutive_ejections: 1,
    };
    pair.step(0, |membership, now, outputs| {
        membership.broadcast_verdict("s-1".into(), ejected, now, outputs);
    });
    pair.run_for(1_000_000);
    pair.step(1, |membership, now, outputs| {
        membership.broadcast_verdict("s-2".into(), Verdict::Readmitted, now, outputs);
    });
    pair.step(0, |membership, _, outputs| {
        membership
            .send_snapshot(at(2), 9, &[7; 1500], outputs)
            .unwrap();
    });
    pair.run_for(12_000_000);
    pair.step(1, Membership::leave);
    pair.run_for(1_000_000);
    let names: Vec<String> = (0..)
        .zip(&pair.sent)
        .map(|(n, datagram)| format!("{n} by {}", datagram.from))
        .collect();
    let forms: Vec<(&str, String)> = names
        .iter()
        .zip(&pair.sent)
        .map(|(name, datagram)| (name.as_str(), datagram.hex.clone()))
        .collect();
    assert_lines("membership-dialogue.txt", &forms);
}

/// The buckets of members and their checksums have to be the same at all proxies.
#[test]
fn list_digests_and_member_lists_keep_their_bytes() {
    let now = clock(0);
    let mut proxy = Membership::new(config(Vec::new(), 120), at(1), 1, false, now);
    let others = (2..=120).map(|n| foca::Member::alive(Member::new(at(n), WALL_US + u64::from(n))));
    proxy.swim.merge(others).unwrap();
    let mut outputs = Vec::new();
    let due = ClockReading {
        monotonic: proxy.anti_entropy.next_due(),
        ..now
    };
    proxy.anti_entropy.run(&proxy.swim, due, &mut outputs);
    respond_to_digest(&proxy.swim, at(2), &[0; 12], now, &mut outputs).unwrap();
    let mut forms = Vec::new();
    for output in outputs {
        let Output::Send { to, body } = output else {
            continue;
        };
        let envelope = Envelope {
            cluster: cluster_id("lagos"),
            from: to,
            sent_us: WALL_US,
            body,
        };
        forms.push((
            format!("{} {}", name(&envelope.body), forms.len()),
            envelope,
        ));
    }
    assert!(forms.iter().any(|(name, _)| name.starts_with("compare")));
    assert!(forms.iter().any(|(name, _)| name.starts_with("members")));
    let forms: Vec<_> = forms
        .iter()
        .map(|(name, envelope)| (name.as_str(), envelope.clone()))
        .collect();
    assert_bytes(
        "member-lists.txt",
        &forms,
        |envelope| encode(envelope).unwrap(),
        |bytes| decode(bytes).unwrap(),
    );
}
