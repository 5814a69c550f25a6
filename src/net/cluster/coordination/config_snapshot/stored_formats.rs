//! Tests that the configuration snapshot keeps its file format and its file name.

use super::*;
use crate::fixtures::{assert_bytes, assert_lines};
use meadowproxy::fleet::config::{Change, Edit, Key, Kind, Value};

fn table() -> Table {
    let edit = |kind, name: &str, value| Edit {
        key: Key {
            kind,
            name: name.into(),
        },
        value,
    };
    let mut table = Table::default();
    let changes = [
        vec![edit(Kind::Tenant, "old", Value::Set(b"{}".to_vec()))],
        vec![
            edit(
                Kind::RequestClass,
                "/read/*",
                Value::Set(br#"{"name":"/read/*","class":"read"}"#.to_vec()),
            ),
            edit(Kind::Tenant, "acme", Value::Removed),
            edit(Kind::Tenant, "größer", Value::AsFile),
        ],
        vec![Edit::compact_up_to(1000)],
    ];
    for (n, edits) in (1u64..).zip(changes) {
        let change = Change {
            version: n * 1000,
            previous: (n - 1) * 1000,
            id: n,
            edits,
        };
        table.apply(&change).unwrap();
    }
    table
}

fn body(table: &Table) -> Vec<u8> {
    let entries = table
        .range(PositionRange::ALL)
        .map(|(_, entry)| entry.clone())
        .collect();
    encode(&Body {
        cluster: "lagos".into(),
        digest: table.digest(),
        entries,
    })
    .unwrap()
}

/// The parts of a table that are in its snapshot: everything but the log of changes.
type SavedTable = (Digest, Vec<(u64, Entry)>);

fn saved(table: &Table) -> SavedTable {
    (
        table.digest(),
        table
            .range(PositionRange::ALL)
            .map(|(at, entry)| (at, entry.clone()))
            .collect(),
    )
}

#[test]
fn the_configuration_snapshot_keeps_its_bytes() {
    let restored = |saved: &SavedTable| {
        Table::restore(saved.0, saved.1.iter().map(|(_, e)| e.clone()).collect()).unwrap()
    };
    let cases = [
        ("four entries", saved(&table())),
        ("none", saved(&Table::default())),
    ];
    assert_eq!(
        cases[0].1 .1.len(),
        4,
        "expected the entries that the platform's file contains to be dropped"
    );
    assert_bytes(
        "config-copy.txt",
        &cases,
        |saved| body(&restored(saved)),
        |bytes| saved(&decode(bytes, "lagos").unwrap()),
    );
}

#[test]
fn the_snapshot_file_keeps_its_name() {
    let file = |cluster: &str| SnapshotFile {
        dir: PathBuf::new(),
        cluster: cluster.into(),
    };
    let (v4, v6) = (
        "127.0.0.1:7000".parse().unwrap(),
        "[::1]:7000".parse().unwrap(),
    );
    let cases = [
        ("ipv4", file("lagos").name(v4)),
        ("ipv6", file("lagos").name(v6)),
        ("other", file("x").name(v4)),
    ];
    assert_lines("config-copy-names.txt", &cases);
}
