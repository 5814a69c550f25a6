//! Guards the digests of the configuration, which snapshots of learned state contain: if a release computed another
//! digest of the same file, it would reject the snapshots of the one before.

use super::*;
use crate::fixtures::assert_lines;

#[test]
fn a_file_has_the_same_digests_in_all_releases() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/local.toml").into();
    let (node, _) = NodeConfig::read(&Source {
        file: Some(file),
        overrides: Vec::new(),
    })
    .unwrap();
    let keys: Vec<String> = node.keys.iter().cloned().collect();
    let lines = [
        ("settings", hex::encode(node.settings_digest)),
        (
            "settings that a fleet shares",
            hex::encode(node.shared_settings_digest),
        ),
        ("keys", keys.join(" ")),
    ];
    assert_lines("settings.txt", &lines);
}
