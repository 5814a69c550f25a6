//! What proxies say to each other about their membership, byte for byte.

use super::facts::Fact;
use super::member::Member;
use super::wire::{cluster, decode, encode, Body, Envelope, Seal};
use super::{Membership, Now, Output, Rules};
use crate::fixtures::{assert_bytes, assert_lines};
use crate::interface::{Micros, Time, Verdict};
use std::collections::VecDeque;
use std::net::SocketAddr;

const WALL_US: u64 = 1_764_748_800_123_456;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A body's name; whoever adds a kind has to name it here and to give one of it below.
fn name(body: &Body) -> &'static str {
    match body {
        Body::Swim(_) => "swim",
        Body::Ask { .. } => "ask",
        Body::Part { .. } => "part",
        Body::Duty(_) => "duty",
        Body::Compare(_) => "compare",
        Body::Members(_) => "members",
    }
}

fn bodies() -> Vec<Body> {
    vec![
        Body::Swim(vec![1, 2, 3]),
        Body::Ask { nonce: u64::MAX },
        Body::Part {
            nonce: 1 << 40,
            index: 300,
            of: 301,
            bytes: vec![0, 255],
        },
        Body::Duty(vec![4; 200]),
        Body::Compare(vec![5, 6]),
        Body::Members(vec![]),
    ]
}

#[test]
fn every_kind_of_datagram_keeps_its_bytes() {
    let envelope = |body| Envelope {
        cluster: cluster("lagos"),
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
            ..envelope(Body::Ask { nonce: 1 })
        },
    ));
    let sealed = Seal::new(cluster("lagos"), at(7000)).seal(bodies().remove(0), WALL_US);
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
    let fact = |verdict| Fact {
        origin: at(7000),
        born_us: WALL_US,
        backend: "größer-1".into(),
        verdict,
    };
    let forms = verdicts.map(|verdict| (verdict_name(&verdict), fact(verdict)));
    assert_bytes(
        "facts.txt",
        &forms,
        |f| f.encode().unwrap(),
        |b| postcard::from_bytes(b).unwrap(),
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

/// Two proxies from the first one's knock at the other to its leave, on a clock of their own.
struct Pair {
    proxies: [Membership; 2],
    seals: [Seal; 2],
    us: u64,
    said: Vec<(usize, String)>,
}

impl Pair {
    fn now(us: u64) -> Now {
        Now {
            time: Time(1_000_000 + us),
            wall_us: WALL_US + us,
        }
    }

    fn new() -> Pair {
        let rules = Rules {
            cluster: cluster("lagos"),
            seeds: vec![at(1), at(2)],
            max_age: Micros(5_000_000),
            fleet: 2,
        };
        let proxy = |n: u16| Membership::new(rules.clone(), at(n), n.into(), n == 1, Pair::now(0));
        let seal = |n| Seal::new(rules.cluster, at(n));
        Pair {
            proxies: [proxy(1), proxy(2)],
            seals: [seal(1), seal(2)],
            us: 0,
            said: Vec::new(),
        }
    }

    /// One proxy acts; what it sends arrives at once, and so on.
    fn act(&mut self, who: usize, step: impl FnOnce(&mut Membership, Now, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.proxies[who], Pair::now(self.us), &mut out);
        let mut open = VecDeque::from([(who, out)]);
        while let Some((who, out)) = open.pop_front() {
            for output in out {
                let Output::Send(to, body) = output else {
                    continue;
                };
                let other = 1 - who;
                assert_eq!(to, at(other as u16 + 1));
                let bytes = self.seals[who].seal(body, WALL_US + self.us).unwrap();
                let mut answers = Vec::new();
                self.proxies[other].datagram(&bytes, Pair::now(self.us), &mut answers);
                self.said.push((who, hex::encode(&bytes)));
                open.push_back((other, answers));
            }
        }
    }

    fn pass(&mut self, for_us: u64) {
        for _ in 0..for_us / 10_000 {
            self.us += 10_000;
            (0..2).for_each(|who| self.act(who, Membership::pass));
        }
    }
}

/// A change of what is said at which time records this one anew, and says so.
#[test]
fn two_proxies_say_the_same_datagrams_to_each_other() {
    let mut pair = Pair::new();
    pair.pass(2_000_000);
    let out = Verdict::Ejected {
        duration: Micros(1_000_000),
        consecutive_ejections: 1,
    };
    pair.act(0, |m, now, out_list| {
        m.tell("s-1".into(), out, now, out_list);
    });
    pair.pass(1_000_000);
    pair.act(1, |m, now, out| {
        m.tell("s-2".into(), Verdict::Readmitted, now, out);
    });
    pair.act(0, |m, _, out| m.give(at(2), 9, &[7; 1500], out).unwrap());
    pair.pass(12_000_000);
    pair.act(1, Membership::leave);
    pair.pass(1_000_000);
    let names: Vec<String> = (0..)
        .zip(&pair.said)
        .map(|(n, (who, _))| format!("{n} by {who}"))
        .collect();
    let said = names.iter().zip(&pair.said);
    let forms: Vec<(&str, String)> = said
        .map(|(name, (_, hex))| (name.as_str(), hex.clone()))
        .collect();
    assert_lines("membership-dialogue.txt", &forms);
}

/// The parts into which members fall, and the sums over them, have to be the same at all proxies.
#[test]
fn comparisons_and_lists_of_members_keep_their_bytes() {
    let rules = Rules {
        cluster: cluster("lagos"),
        seeds: Vec::new(),
        max_age: Micros(5_000_000),
        fleet: 120,
    };
    let now = Pair::now(0);
    let mut proxy = Membership::new(rules, at(1), 1, false, now);
    let others = (2..=120).map(|n| foca::Member::alive(Member::new(at(n), WALL_US + u64::from(n))));
    proxy.list(others.collect(), now).unwrap();
    let mut out = Vec::new();
    proxy.compare(now, &mut out);
    proxy.compared(at(2), &[0; 12], now, &mut out).unwrap();
    let mut forms = Vec::new();
    for output in out {
        let Output::Send(to, body) = output else {
            continue;
        };
        let envelope = Envelope {
            cluster: cluster("lagos"),
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
        |e| encode(e).unwrap(),
        |bytes| decode(bytes).unwrap(),
    );
}
