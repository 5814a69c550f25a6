//! The stored format of snapshots, byte for byte, and the names of their files and of the folders that processes share.

use super::*;
use crate::fixtures::{assert_bytes, assert_lines};

fn owner() -> ProxyIdentity {
    let discovery = Some("127.0.0.1:7001".parse().unwrap());
    ProxyIdentity {
        name: "proxy-1".into(),
        listen: "127.0.0.1:8080".parse().unwrap(),
        discovery,
    }
}

fn header(owner: Option<[u8; 32]>) -> Header {
    let settings = std::array::from_fn(|n| n as u8);
    Header {
        program: "0.1.0".into(),
        written_us: 1_764_748_800_123_456,
        scope: SnapshotScope { owner, settings },
    }
}

fn saved() -> SavedState {
    let sampled = |value, count| SampledMean { value, count };
    let kind = |base: f64| LearnedHardwareClass {
        latency: sampled(base + 0.125, base + 1.5),
        recent_latency: sampled(base + 0.25, base + 2.5),
        uncontended_latency_s: base + 0.0625,
        concurrency_limit: base + 7.75,
    };
    let ejected = LearnedBackend {
        ejected_for: Some(Micros(2_500_000)),
        consecutive_ejections: 3,
        enabled_ago: None,
    };
    let returned = LearnedBackend {
        ejected_for: None,
        consecutive_ejections: -1,
        enabled_ago: Some(Micros(40)),
    };
    SavedState {
        hardware_classes: vec![("small".into(), kind(0.0)), ("größer".into(), kind(1.0))],
        classes: vec![
            ("read".into(), sampled(0.03125, 100.0)),
            ("write".into(), sampled(0.5, 0.1)),
        ],
        overall_latency: sampled(0.046875, 1234.5),
        backends: vec![("s-1".into(), ejected), ("s-2".into(), returned)],
        disabled: vec!["s-3".into(), "s-4".into()],
    }
}

#[test]
fn snapshots_keep_their_bytes() {
    let own = Snapshot {
        header: header(Some(owner().hash())),
        saved: saved(),
    };
    let fleet = Snapshot {
        header: header(None),
        saved: saved(),
    };
    let empty = Snapshot {
        header: header(None),
        saved: SavedState::default(),
    };
    let forms = [
        ("of its owner", own),
        ("for another proxy", fleet),
        ("nothing learned", empty),
    ];
    assert_bytes(
        "snapshot.txt",
        &forms,
        |s| encode(s).unwrap(),
        |bytes| decode(bytes).unwrap(),
    );
}

#[test]
fn snapshot_files_and_shared_folders_keep_their_names() {
    let alone = ProxyIdentity {
        discovery: None,
        ..owner()
    };
    let forms = [
        ("file", file_name(&owner())),
        ("file without discovery", file_name(&alone)),
        ("folder", owner().folder_name()),
        ("folder without discovery", alone.folder_name()),
    ];
    assert_lines("snapshot-names.txt", &forms);
}
