//! Tests that the encoded bytes of datagrams, verdicts, members and member lists match the fixtures, so that proxies of
//! different versions understand each other.

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

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The name of a kind of body in the fixtures. A new kind needs a name here and an example in [`sample_bodies`].
fn fixture_name(body: &Body) -> &'static str {
    match body {
        Body::Swim(_) => "swim",
        Body::SnapshotRequest { .. } => "ask",
        Body::SnapshotChunk(_) => "part",
        Body::Coordination(_) => "duty",
        Body::ListDigest(_) => "compare",
        Body::MemberList(_) => "members",
    }
}

fn sample_bodies() -> Vec<Body> {
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
fn encoded_datagrams_match_the_fixture() {
    let envelope = |body| Envelope {
        cluster: cluster_id("lagos"),
        from: address(7000),
        sent_us: WALL_US,
        body,
    };
    let mut samples: Vec<_> = sample_bodies()
        .into_iter()
        .map(|body| (fixture_name(&body), envelope(body)))
        .collect();
    let from = "[2001:db8::1]:7000".parse().unwrap();
    samples.push((
        "from ipv6",
        Envelope {
            from,
            ..envelope(Body::SnapshotRequest { nonce: 1 })
        },
    ));
    let sealed = DatagramSealer::new(cluster_id("lagos"), address(7000))
        .seal(sample_bodies().remove(0), WALL_US);
    assert_eq!(sealed.unwrap(), encode(&samples[0].1).unwrap());
    assert_bytes(
        "datagrams.txt",
        &samples,
        |envelope| encode(envelope).unwrap(),
        |bytes| decode(bytes).unwrap(),
    );
}

/// The name of a kind of verdict in the fixtures.
fn verdict_fixture_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Ejected { .. } => "out",
        Verdict::Readmitted => "back",
    }
}

#[test]
fn encoded_verdict_broadcasts_match_the_fixture() {
    let verdicts = [
        Verdict::Ejected {
            duration: Micros(1_500_000),
            consecutive_ejections: 3,
        },
        Verdict::Readmitted,
    ];
    let broadcast = |verdict| VerdictBroadcast {
        origin: address(7000),
        created_us: WALL_US,
        backend: "größer-1".into(),
        verdict,
    };
    let samples = verdicts.map(|verdict| (verdict_fixture_name(&verdict), broadcast(verdict)));
    assert_bytes(
        "facts.txt",
        &samples,
        |broadcast| broadcast.encode().unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}

#[test]
fn encoded_members_match_the_fixture() {
    let samples = [
        ("ipv4", Member::new(address(7000), WALL_US)),
        (
            "ipv6",
            Member::new("[2001:db8::1]:7000".parse().unwrap(), 0),
        ),
    ];
    let encode = |member: &Member| postcard::to_stdvec(member).unwrap();
    assert_bytes("members.txt", &samples, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
}

/// Two connected proxies on a simulated clock, without latency or loss.
struct ProxyPair {
    proxies: [Membership; 2],
    sealers: [DatagramSealer; 2],
    elapsed_us: u64,
    /// All datagrams sent so far, in the order of sending.
    sent: Vec<SentDatagram>,
}

struct SentDatagram {
    /// The index of the sender in [`ProxyPair::proxies`].
    from: usize,
    /// The bytes of the datagram.
    hex: String,
}

/// The clock readings at `elapsed_us` microseconds after the start.
fn clock_at(elapsed_us: u64) -> ClockReading {
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

impl ProxyPair {
    fn new() -> ProxyPair {
        let config = config(vec![address(1), address(2)], 2);
        let proxy =
            |n: u16| Membership::new(config.clone(), address(n), n.into(), n == 1, clock_at(0));
        let sealer = |n| DatagramSealer::new(config.cluster, address(n));
        ProxyPair {
            proxies: [proxy(1), proxy(2)],
            sealers: [sealer(1), sealer(2)],
            elapsed_us: 0,
            sent: Vec::new(),
        }
    }

    /// Runs one step of a proxy, and delivers its datagrams and all responses to them immediately.
    fn step(
        &mut self,
        n: usize,
        step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>),
    ) {
        let now = clock_at(self.elapsed_us);
        let mut outputs = Vec::new();
        step(&mut self.proxies[n], now, &mut outputs);
        let mut pending = VecDeque::from([(n, outputs)]);
        while let Some((from, outputs)) = pending.pop_front() {
            for output in outputs {
                let Output::Send { to, body } = output else {
                    continue;
                };
                let other = 1 - from;
                assert_eq!(to, address(other as u16 + 1));
                let bytes = self.sealers[from].seal(body, now.wall_us).unwrap();
                let mut responses = Vec::new();
                self.proxies[other].handle_datagram(&bytes, now, &mut responses);
                let hex = hex::encode(&bytes);
                self.sent.push(SentDatagram { from, hex });
                pending.push_back((other, responses));
            }
        }
    }

    /// Advances the clock by `span_us` microseconds, and runs the timers of both proxies at each tick.
    fn run_for(&mut self, span_us: u64) {
        const TICK_US: u64 = 10_000;
        for _ in 0..span_us / TICK_US {
            self.elapsed_us += TICK_US;
            (0..2).for_each(|n| self.step(n, Membership::run_timers));
        }
    }
}

/// Compares all datagrams that two proxies exchange, from the first announcement until one leaves, with the fixture:
/// any change of the content or of the order of the datagrams is detected.
#[test]
fn datagrams_between_two_proxies_match_the_fixture() {
    let mut pair = ProxyPair::new();
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
            .send_snapshot(address(2), 9, &[7; 1500], outputs)
            .unwrap();
    });
    pair.run_for(12_000_000);
    pair.step(1, Membership::leave);
    pair.run_for(1_000_000);
    let names: Vec<String> = (0..)
        .zip(&pair.sent)
        .map(|(n, datagram)| format!("{n} by {}", datagram.from))
        .collect();
    let lines: Vec<(&str, String)> = names
        .iter()
        .zip(&pair.sent)
        .map(|(name, datagram)| (name.as_str(), datagram.hex.clone()))
        .collect();
    assert_lines("membership-dialogue.txt", &lines);
}

/// All proxies have to assign members to the same buckets and compute the same checksums, or else digests of equal
/// lists differ.
#[test]
fn encoded_list_digests_and_member_lists_match_the_fixture() {
    let now = clock_at(0);
    let mut proxy = Membership::new(config(Vec::new(), 120), address(1), 1, false, now);
    let others =
        (2..=120).map(|n| foca::Member::alive(Member::new(address(n), WALL_US + u64::from(n))));
    proxy.swim.merge(others).unwrap();
    let mut outputs = Vec::new();
    let due = ClockReading {
        monotonic: proxy.anti_entropy.next_due(),
        ..now
    };
    proxy.anti_entropy.run(&proxy.swim, due, &mut outputs);
    respond_to_digest(&proxy.swim, address(2), &[0; 12], now, &mut outputs).unwrap();
    let mut envelopes = Vec::new();
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
        envelopes.push((
            format!("{} {}", fixture_name(&envelope.body), envelopes.len()),
            envelope,
        ));
    }
    assert!(envelopes
        .iter()
        .any(|(name, _)| name.starts_with("compare")));
    assert!(envelopes
        .iter()
        .any(|(name, _)| name.starts_with("members")));
    let samples: Vec<_> = envelopes
        .iter()
        .map(|(name, envelope)| (name.as_str(), envelope.clone()))
        .collect();
    assert_bytes(
        "member-lists.txt",
        &samples,
        |envelope| encode(envelope).unwrap(),
        |bytes| decode(bytes).unwrap(),
    );
}
