//! The file of the configuration's snapshot, byte for byte, and its name.

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

/// What of a table is in its snapshot: all but the log.
type Saved = (Digest, Vec<(u64, Entry)>);

fn saved(table: &Table) -> Saved {
    (
        table.digest(),
        table
            .range(PositionRange::ALL)
            .map(|(at, entry)| (at, entry.clone()))
            .collect(),
    )
}

#[test]
fn the_snapshot_of_the_configuration_keeps_its_bytes() {
    let restored =
        |of: &Saved| Table::restore(of.0, of.1.iter().map(|(_, e)| e.clone()).collect()).unwrap();
    let forms = [
        ("four entries", saved(&table())),
        ("none", saved(&Table::default())),
    ];
    assert_eq!(
        forms[0].1 .1.len(),
        4,
        "what the platform's file contains is dropped"
    );
    assert_bytes(
        "config-copy.txt",
        &forms,
        |of| body(&restored(of)),
        |bytes| saved(&decode(bytes, "lagos").unwrap()),
    );
}

#[test]
fn the_file_of_the_snapshot_keeps_its_name() {
    let of = |cluster: &str| SnapshotFile {
        dir: PathBuf::new(),
        cluster: cluster.into(),
    };
    let (v4, v6) = (
        "127.0.0.1:7000".parse().unwrap(),
        "[::1]:7000".parse().unwrap(),
    );
    let forms = [
        ("ipv4", of("lagos").name(v4)),
        ("ipv6", of("lagos").name(v6)),
        ("other", of("x").name(v4)),
    ];
    assert_lines("config-copy-names.txt", &forms);
}
