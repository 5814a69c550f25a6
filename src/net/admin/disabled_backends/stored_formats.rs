//! The stored format of disabled backends: the files by which the processes of a proxy share them.

use super::*;
use crate::fixtures::assert_lines;
use crate::net::discovery::endpoint_list::List;
use meadowproxy::EndpointUpdate;

fn host() -> Rc<Host> {
    let host = Host::example();
    let entry = |name: &str| {
        serde_json::json!({"name": name, "address": "127.0.0.1:9", "status": "SERVING", "zone": "east",
            "type": "small", "group": 7})
    };
    let endpoints = ["s-1", "größer/2", "s 3"].map(entry).to_vec();
    host.update_endpoints(
        EndpointUpdate::Full,
        &List {
            index: 1,
            is_full: true,
            endpoints,
        },
    );
    host
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("fixtures-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Returns the names and contents of the files in a folder, sorted by name.
fn files(dir: &Path) -> Vec<String> {
    let of = |entry: io::Result<std::fs::DirEntry>| {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        format!("{name}={}", std::fs::read_to_string(path).unwrap())
    };
    let mut files: Vec<String> = std::fs::read_dir(dir).unwrap().map(of).collect();
    files.sort();
    files
}

/// The files are written with the names of the fixture, and a process that reads these names applies them.
#[test]
fn disabled_backends_keep_their_file_names() {
    let dir = folder("disabled");
    let writer = DisabledBackends::new(host(), Some(dir.clone()), None);
    assert!(writer.disable("s-1") && writer.disable("größer/2") && writer.disable("s 3"));
    let out = files(&dir).join(" ");
    assert!(writer.enable("s 3"));
    let back = files(&dir).join(" ");
    std::fs::remove_dir_all(&dir).unwrap();
    let stored = assert_lines(
        "bans.txt",
        &[("three out", out), ("one of them back", back)],
    );

    let dir = folder("disabled-read");
    for file in stored[1].split(' ') {
        let (name, content) = file.split_once('=').unwrap();
        std::fs::write(dir.join(name), content).unwrap();
    }
    let reader = DisabledBackends::new(host(), Some(dir.clone()), None);
    let mut disabled = reader.host.learned_state().disabled;
    disabled.sort();
    assert_eq!(disabled, ["größer/2", "s-1"]);
    let enabled = reader
        .host
        .learned_state()
        .backends
        .into_iter()
        .find(|(name, _)| name == "s 3");
    assert!(
        enabled.is_some_and(|(_, learned)| learned.enabled_ago.is_some()),
        "the enabled backend is not in slow start"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}
