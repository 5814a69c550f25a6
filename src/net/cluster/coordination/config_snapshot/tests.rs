//! Tests of reading and writing the configuration snapshot.

use super::*;
use meadowproxy::fleet::config::{Change, Edit, Key, Kind, Value};
use proptest::prelude::*;

/// A table after `count` changes to up to 700 tenants.
fn table(count: u64) -> Table {
    let mut table = Table::default();
    for n in 0..count {
        let key = Key {
            kind: Kind::Tenant,
            name: format!("t{}", n % 700),
        };
        let edits = vec![Edit {
            key,
            value: Value::Set(vec![n as u8; 20]),
        }];
        table
            .apply(&Change {
                version: n + 1,
                previous: n,
                id: n,
                edits,
            })
            .unwrap();
    }
    table
}

/// The body of the file for a table.
fn body(table: &Table, cluster: &str) -> Body {
    let entries = table
        .range(PositionRange::ALL)
        .map(|(_, entry)| entry.clone())
        .collect();
    Body {
        cluster: cluster.into(),
        digest: table.digest(),
        entries,
    }
}

/// The cause for which a file's content is rejected, or "loaded".
fn cause(bytes: &[u8]) -> &'static str {
    decode(bytes, "fleet").map_or_else(|error| error.cause(), |_| "loaded")
}

#[test]
fn a_snapshot_restores_the_table_or_is_rejected_with_the_cause() {
    let (table, older) = (table(900), table(3));
    let complete = encode(&body(&table, "fleet")).unwrap();
    let restored = decode(&complete, "fleet").unwrap();
    assert_eq!((restored.digest(), restored.len()), (table.digest(), 700));
    let with_byte = |at: usize, byte: u8| {
        let mut bytes = complete.clone();
        bytes[at] = byte;
        bytes
    };
    let with_body = |change: &dyn Fn(&mut Body)| {
        let mut body = body(&table, "fleet");
        change(&mut body);
        encode(&body).unwrap()
    };
    let cases = [
        (complete[..4].to_vec(), "truncated"),
        (complete[..complete.len() / 2].to_vec(), "checksum"),
        (with_byte(0, b'X'), "magic"),
        (with_byte(4, 9), "format"),
        (
            with_byte(complete.len() - 3, complete[complete.len() - 3] ^ 1),
            "checksum",
        ),
        (vec![0; MAX_FILE_BYTES + 1], "too_large"),
        (encode(&body(&table, "other")).unwrap(), "cluster"),
        // A valid body whose digest and entries are not those of one table.
        (with_body(&|body| drop(body.entries.pop())), "table"),
        (with_body(&|body| body.digest = older.digest()), "table"),
        (with_body(&|body| body.digest.version = u64::MAX), "table"),
        (with_body(&|body| body.entries[0].version = 901), "table"),
        (
            with_body(&|body| body.entries[0].edit.key.name.clear()),
            "table",
        ),
        (
            with_body(&|body| body.entries.push(body.entries[0].clone())),
            "table",
        ),
    ];
    for (n, (bytes, expected)) in cases.iter().enumerate() {
        assert_eq!(cause(bytes), *expected, "case {n}");
    }
}

#[test]
fn missing_stale_and_unreadable_files_are_rejected_with_the_cause() {
    let dir = std::env::temp_dir().join(format!("meadowproxy-copy-{}", std::process::id()));
    let snapshot = SnapshotFile {
        dir: dir.clone(),
        cluster: "fleet".into(),
    };
    let file = dir.join("x");
    let cause = || {
        snapshot
            .read(&file)
            .map_or_else(|error| error.cause(), |_| "loaded")
    };
    assert_eq!(cause(), "missing");
    replace_file(&dir, "x", &encode(&body(&table(5), "fleet")).unwrap()).unwrap();
    assert_eq!(cause(), "loaded");
    let old = SystemTime::now() - MAX_AGE - Duration::from_secs(10);
    File::options()
        .write(true)
        .open(&file)
        .unwrap()
        .set_modified(old)
        .unwrap();
    assert_eq!(cause(), "stale");
    fs::remove_file(&file).unwrap();
    fs::create_dir(&file).unwrap();
    assert_eq!(cause(), "unreadable");
    fs::remove_dir_all(&dir).unwrap();
}

proptest! {
    /// Corrupted, truncated and random file contents are rejected without a panic.
    #[test]
    fn corrupted_files_are_rejected(at in any::<prop::sample::Index>(), flip in 1u8.., random_bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = encode(&body(&table(20), "fleet")).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(decode(&bytes, "fleet").is_err());
        prop_assert!(decode(&bytes[..at], "fleet").is_err());
        prop_assert!(decode(&random_bytes, "fleet").is_err());
    }
}
