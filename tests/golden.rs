//! Golden tests of the decisions: plays long seeded streams of events to a balancer and compares digests of all its
//! actions with recorded ones. They detect any unintended change of a decision, to the microsecond of each Retry-After
//! delay and the last bit of the learned state.
//!
//! `tests/golden/digests.txt` holds one line per stream and one digest per hundred events, so that the first difference
//! tells which hundred events to look at. After an intended change of decisions, record the digests again with
//! `cargo test --test golden -- --ignored --nocapture record` and give the reason in the commit. They are valid where
//! `exp` rounds as when they were recorded (x86-64 with a current C library).
//!
//! The digests cover the encoding in `tests/golden/encoding.rs`, which contains values but no names or log texts.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

#[path = "golden/encoding.rs"]
mod encoding;
#[path = "golden/world.rs"]
mod world;

use std::collections::BTreeMap;
use world::{Stream, World};

const RECORDED: &str = include_str!("golden/digests.txt");
/// Events per digest.
const BLOCK: usize = 100;

/// Streams with few and many of each entity, in which every rule is on in some and off in others.
fn streams() -> Vec<Stream> {
    let base = Stream {
        name: "few",
        seed: 1,
        proxies: 3,
        backends: 8,
        hardware_classes: 2,
        zones: 1,
        tenants: 3,
        classes: 6,
        mean_arrival_gap_us: 4_000,
        mean_change_gap_us: 100_000,
        event_count: 16_000,
        cross_zone_cost: false,
        zone_failover: false,
        poll_discovery: false,
        hedging: true,
        cancellation: true,
        starting_backends: false,
        relocating_backends: false,
    };
    vec![
        base.clone(),
        Stream {
            name: "zones",
            seed: 2,
            proxies: 27,
            backends: 60,
            hardware_classes: 3,
            zones: 9,
            cross_zone_cost: true,
            ..base
        },
        Stream {
            name: "locality",
            seed: 3,
            proxies: 30,
            backends: 90,
            hardware_classes: 3,
            zones: 6,
            zone_failover: true,
            mean_arrival_gap_us: 2_000,
            mean_change_gap_us: 50_000,
            ..base
        },
        Stream {
            name: "crowd",
            seed: 4,
            proxies: 40,
            backends: 12,
            mean_arrival_gap_us: 60_000,
            mean_change_gap_us: 500_000,
            ..base
        },
        Stream {
            name: "flood",
            seed: 5,
            proxies: 5,
            backends: 10,
            hardware_classes: 3,
            mean_arrival_gap_us: 900,
            ..base
        },
        Stream {
            name: "slices",
            seed: 6,
            proxies: 180,
            backends: 400,
            hardware_classes: 5,
            zones: 7,
            cross_zone_cost: true,
            ..base
        },
        Stream {
            name: "cold",
            seed: 7,
            proxies: 12,
            backends: 100,
            hardware_classes: 4,
            zones: 3,
            starting_backends: true,
            mean_change_gap_us: 40_000,
            ..base
        },
        Stream {
            name: "moves",
            seed: 12,
            proxies: 30,
            backends: 40,
            hardware_classes: 4,
            zones: 5,
            cross_zone_cost: true,
            relocating_backends: true,
            mean_change_gap_us: 40_000,
            ..base
        },
        Stream {
            name: "careful",
            seed: 8,
            proxies: 9,
            backends: 30,
            poll_discovery: true,
            hedging: false,
            ..base
        },
        Stream {
            name: "no cancel",
            seed: 9,
            backends: 20,
            zones: 2,
            poll_discovery: true,
            cancellation: false,
            ..base
        },
        Stream {
            name: "tables",
            seed: 10,
            proxies: 60,
            tenants: 3_000,
            classes: 300,
            backends: 40,
            ..base
        },
        Stream {
            name: "large",
            seed: 11,
            proxies: 1_800,
            backends: 2_000,
            hardware_classes: 12,
            zones: 27,
            cross_zone_cost: true,
            zone_failover: true,
            starting_backends: true,
            mean_change_gap_us: 30_000,
            event_count: 6_000,
            ..base
        },
    ]
}

/// Plays the stream; returns the digest after each hundred events and how often each action and log event occurred.
fn run_stream(stream: &Stream) -> (Vec<u32>, BTreeMap<String, usize>) {
    let mut world = World::new(stream);
    let mut digests = Vec::new();
    for step in 1..=stream.event_count {
        world.step();
        if step % BLOCK == 0 {
            digests.push(world.digest());
        }
    }
    (digests, world.counts)
}

fn line(stream: &Stream, digests: &[u32]) -> String {
    let numbers: Vec<String> = digests.iter().map(|d| format!("{d:08x}")).collect();
    format!("{}: {}", stream.name, numbers.join(" "))
}

fn check(stream: &Stream) -> BTreeMap<String, usize> {
    let (digests, counts) = run_stream(stream);
    let prefix = format!("{}: ", stream.name);
    let recorded = RECORDED
        .lines()
        .find_map(|l| l.strip_prefix(&prefix))
        .expect("a line of digests.txt for each stream");
    let recorded: Vec<u32> = recorded
        .split(' ')
        .map(|d| u32::from_str_radix(d, 16).expect("a digest of hexadecimal digits"))
        .collect();
    assert_eq!(
        digests.len(),
        recorded.len(),
        "{}: number of digests differs from the recorded one",
        stream.name
    );
    let first_difference = digests
        .iter()
        .zip(&recorded)
        .position(|(digest, expected)| digest != expected);
    assert_eq!(
        first_difference.map(|block| block * BLOCK),
        None,
        "{}: the digest of the hundred events from this one differs",
        stream.name
    );
    counts
}

#[test]
fn decisions_match_the_recorded_digests() {
    let mut all: BTreeMap<String, usize> = BTreeMap::new();
    for stream in streams() {
        for (name, count) in check(&stream) {
            *all.entry(name).or_default() += count;
        }
    }
    // The digests are only meaningful if the streams cause each kind of action and event often enough.
    let frequent = [
        "Dispatch",
        "Reject",
        "Fail",
        "Cancel",
        "SetTimer",
        "PublishVerdict",
        "Log",
    ];
    for name in frequent {
        assert!(
            all.get(name).is_some_and(|n| *n >= 20),
            "{name} occurred too rarely: {all:?}"
        );
    }
    for name in [
        "PollDiscovery",
        "second attempts",
        "ejected",
        "on the verdicts",
        "readmitted",
        "zone taken out of use",
        "zone returning",
        "configuration rejected",
    ] {
        assert!(
            all.get(name).is_some_and(|n| *n >= 2),
            "{name} occurred too rarely: {all:?}"
        );
    }
}

/// A different seed of the balancer leads to different actions, which the digests must reflect.
#[test]
fn different_decisions_give_different_digests() {
    let stream = Stream {
        event_count: 500,
        ..streams().remove(0)
    };
    let mut other = World::with_seed(&stream, stream.seed + 1);
    (0..stream.event_count).for_each(|_| other.step());
    assert_ne!(run_stream(&stream).0.last(), Some(&other.digest()));
}

/// Prints the digests of the current code in the format of `digests.txt`.
#[test]
#[ignore = "prints new digests and checks nothing"]
fn record() {
    for stream in streams() {
        let (digests, counts) = run_stream(&stream);
        println!("{}", line(&stream, &digests));
        eprintln!("{}: {counts:?}", stream.name);
    }
}
