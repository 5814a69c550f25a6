//! The file's content, and names over two processes.

use super::*;
use crate::net::discovery::endpoint_list::List;
use meadowproxy::EndpointUpdate;

/// A host with an endpoint list of these backends.
fn host(names: &[&str]) -> Rc<Host> {
    let host = Host::example();
    let entry = |name: &&str| {
        serde_json::json!({"name": name, "address": "127.0.0.1:9", "status": "SERVING", "zone": "east",
            "type": "small", "group": 7})
    };
    host.update_endpoints(
        EndpointUpdate::Full,
        &List {
            index: 1,
            is_full: true,
            endpoints: names.iter().map(entry).collect(),
        },
    );
    host
}

/// Guards against a new version of the proxy that answers 404 for a backend that only the old one had in its list. A
/// line that a killed process left incomplete is skipped.
#[test]
fn a_process_knows_what_an_earlier_one_had_in_its_list() {
    let folder = std::env::temp_dir().join(format!("listed-names-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(FILE_NAME);
    let first = ListedNamesFile::restore(host(&["s-1", "größer/2"]), &folder);
    first.append_new();
    first.append_new();
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text, "\nda3b5702f8eefc39\nc249efcf614add9a\n");
    std::fs::write(&path, text + "0123").unwrap();

    let second = ListedNamesFile::restore(host(&["s-3"]), &folder);
    second.append_new();
    let third = ListedNamesFile::restore(host(&[]), &folder);
    for name in ["s-1", "größer/2", "s-3"] {
        assert!(third.host.was_listed(name), "{name}");
    }
    assert!(!third.host.was_listed("s-4"));
    std::fs::remove_dir_all(&folder).unwrap();
}
