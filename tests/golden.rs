//! Same seed, same events, same actions: long seeded streams of events against digests of all the actions that
//! the module gave when the streams were recorded. A change that is to leave the decisions alone leaves these
//! equal, to the microsecond of each advice and the last bit of what was learned.
//!
//! The digests stand in `tests/golden/digests.txt`, one line a stream, one number for each hundred events: the
//! first that differs says in which hundred to look. A change of decisions that is meant records them anew with
//! `cargo test --test golden -- --ignored --nocapture record`, and says in its commit why. They hold where `exp`
//! rounds as it did then (x86-64 with a present-day C library).
//!
//! The digests are over the encoding in `tests/golden/encoding.rs`, so that names and log texts may change and values
//! may not.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

#[path = "golden/encoding.rs"]
mod encoding;
#[path = "golden/world.rs"]
mod world;

use std::collections::BTreeMap;
use world::{Stream, World};

const RECORDED: &str = include_str!("golden/digests.txt");
/// Events to a digest.
const BLOCK: usize = 100;

/// Few and many of everything, and each rule on and off somewhere.
fn streams() -> Vec<Stream> {
    let plain = Stream {
        name: "few",
        seed: 1,
        proxies: 3,
        backends: 8,
        kinds: 2,
        zones: 1,
        tenants: 3,
        classes: 6,
        gap_us: 4_000,
        churn_us: 100_000,
        steps: 16_000,
        near: false,
        locality: false,
        ask: false,
        copies: true,
        cancel: true,
        cold: false,
        moves: false,
    };
    vec![
        plain.clone(),
        Stream {
            name: "zones",
            seed: 2,
            proxies: 27,
            backends: 60,
            kinds: 3,
            zones: 9,
            near: true,
            ..plain
        },
        Stream {
            name: "locality",
            seed: 3,
            proxies: 30,
            backends: 90,
            kinds: 3,
            zones: 6,
            locality: true,
            gap_us: 2_000,
            churn_us: 50_000,
            ..plain
        },
        Stream {
            name: "crowd",
            seed: 4,
            proxies: 40,
            backends: 12,
            gap_us: 60_000,
            churn_us: 500_000,
            ..plain
        },
        Stream {
            name: "flood",
            seed: 5,
            proxies: 5,
            backends: 10,
            kinds: 3,
            gap_us: 900,
            ..plain
        },
        Stream {
            name: "slices",
            seed: 6,
            proxies: 180,
            backends: 400,
            kinds: 5,
            zones: 7,
            near: true,
            ..plain
        },
        Stream {
            name: "cold",
            seed: 7,
            proxies: 12,
            backends: 100,
            kinds: 4,
            zones: 3,
            cold: true,
            churn_us: 40_000,
            ..plain
        },
        Stream {
            name: "moves",
            seed: 12,
            proxies: 30,
            backends: 40,
            kinds: 4,
            zones: 5,
            near: true,
            moves: true,
            churn_us: 40_000,
            ..plain
        },
        Stream {
            name: "careful",
            seed: 8,
            proxies: 9,
            backends: 30,
            ask: true,
            copies: false,
            ..plain
        },
        Stream {
            name: "no cancel",
            seed: 9,
            backends: 20,
            zones: 2,
            ask: true,
            cancel: false,
            ..plain
        },
        Stream {
            name: "tables",
            seed: 10,
            proxies: 60,
            tenants: 3_000,
            classes: 300,
            backends: 40,
            ..plain
        },
        Stream {
            name: "large",
            seed: 11,
            proxies: 1_800,
            backends: 2_000,
            kinds: 12,
            zones: 27,
            near: true,
            locality: true,
            cold: true,
            churn_us: 30_000,
            steps: 6_000,
            ..plain
        },
    ]
}

/// The digest after each hundred events, and what the module did how often.
fn play(stream: &Stream) -> (Vec<u32>, BTreeMap<String, usize>) {
    let mut world = World::new(stream);
    let mut digests = Vec::new();
    for step in 1..=stream.steps {
        world.step();
        if step % BLOCK == 0 {
            digests.push(world.digest());
        }
    }
    (digests, world.did)
}

fn line(stream: &Stream, digests: &[u32]) -> String {
    let numbers: Vec<String> = digests.iter().map(|d| format!("{d:08x}")).collect();
    format!("{}: {}", stream.name, numbers.join(" "))
}

fn check(stream: &Stream) -> BTreeMap<String, usize> {
    let (digests, did) = play(stream);
    let prefix = format!("{}: ", stream.name);
    let recorded = RECORDED
        .lines()
        .find_map(|l| l.strip_prefix(&prefix))
        .expect("a recorded stream");
    let recorded: Vec<u32> = recorded
        .split(' ')
        .map(|d| u32::from_str_radix(d, 16).expect("a digest"))
        .collect();
    assert_eq!(
        digests.len(),
        recorded.len(),
        "{}: other lengths",
        stream.name
    );
    let differs = digests
        .iter()
        .zip(&recorded)
        .position(|(now, then)| now != then);
    assert_eq!(
        differs.map(|block| block * BLOCK),
        None,
        "{}: the hundred events from here differ",
        stream.name
    );
    did
}

#[test]
fn the_decisions_are_those_recorded() {
    let mut all: BTreeMap<String, usize> = BTreeMap::new();
    for stream in streams() {
        for (what, count) in check(&stream) {
            *all.entry(what).or_default() += count;
        }
    }
    // Streams in which nothing happens would prove nothing.
    let much = [
        "Dispatch", "Refuse", "Fail", "Cancel", "SetTimer", "Tell", "Log",
    ];
    for what in much {
        assert!(
            all.get(what).is_some_and(|n| *n >= 20),
            "too little of {what}: {all:?}"
        );
    }
    for what in [
        "Follow",
        "second attempts",
        "ejected",
        "on the verdicts",
        "readmitted",
        "zone taken out of use",
        "zone returning",
        "configuration rejected",
    ] {
        assert!(
            all.get(what).is_some_and(|n| *n >= 2),
            "too little of {what}: {all:?}"
        );
    }
}

/// Another seed of the module's own gives other actions: the digests see them.
#[test]
fn other_decisions_give_other_digests() {
    let stream = Stream {
        steps: 500,
        ..streams().remove(0)
    };
    let mut other = World::with_seed(&stream, stream.seed + 1);
    (0..stream.steps).for_each(|_| other.step());
    assert_ne!(play(&stream).0.last(), Some(&other.digest()));
}

/// Prints the digests of the program as it is.
#[test]
#[ignore = "records"]
fn record() {
    for stream in streams() {
        let (digests, did) = play(&stream);
        println!("{}", line(&stream, &digests));
        eprintln!("{}: {did:?}", stream.name);
    }
}
