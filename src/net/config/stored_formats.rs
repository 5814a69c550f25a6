//! What of the configuration is stored with what was learned: hashes, which a file has to bring back as they were.

use super::*;
use crate::fixtures::assert_lines;

#[test]
fn the_same_file_gives_the_same_hashes() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/local.toml").into();
    let (node, _) = NodeConfig::read(&Source {
        file: Some(file),
        overrides: Vec::new(),
    })
    .unwrap();
    let keys: Vec<String> = node.keys.iter().cloned().collect();
    let forms = [
        ("settings", hex::encode(node.settings_digest)),
        (
            "settings that a fleet shares",
            hex::encode(node.shared_settings_digest),
        ),
        ("keys", keys.join(" ")),
    ];
    assert_lines("settings.txt", &forms);
}
