//! The decisions on a request stand in `src/balancer/`, in modules that `deploy/balancer.toml` lists, and depend on
//! nothing but their inputs: no clock, network, thread, environment or code of the driver.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const DECISION_FOLDER: &str = "src/balancer";

/// What no decision module may name.
const FORBIDDEN: [&str; 22] = [
    "std::time",
    "Instant",
    "SystemTime",
    "std::net",
    "std::thread",
    "std::sync",
    "std::env",
    "std::fs",
    "std::io",
    "std::process",
    "thread::",
    "tokio",
    "hyper",
    "socket2",
    "rustix",
    "foca",
    "tracing",
    "metrics::",
    "crate::fleet",
    "crate::settings",
    "crate::net",
    "unsafe",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn rust_files(folder: &Path, files: &mut BTreeSet<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.insert(path.strip_prefix(root()).expect("below the root").into());
        }
    }
}

fn decision_files() -> BTreeSet<PathBuf> {
    let mut files = BTreeSet::new();
    rust_files(&root().join(DECISION_FOLDER), &mut files);
    files
}

/// Whether the file holds only tests, which are no part of the decisions.
fn is_test_file(path: &Path) -> bool {
    path.file_stem()
        .is_some_and(|stem| stem.to_string_lossy().ends_with("tests"))
}

#[test]
fn the_deploy_file_lists_exactly_the_decision_modules() {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let listed = deploy["policy"].as_array().expect("a list");
    let paths: BTreeSet<PathBuf> = listed
        .iter()
        .map(|path| PathBuf::from(path.as_str().expect("a path")))
        .collect();
    assert_eq!(paths.len(), listed.len(), "a file is listed twice");
    let modules: BTreeSet<PathBuf> = decision_files()
        .into_iter()
        .filter(|path| !is_test_file(path))
        .collect();
    assert!(!modules.is_empty());
    assert_eq!(paths, modules);
}

#[test]
fn decision_modules_depend_on_their_inputs_alone() {
    for path in decision_files() {
        let text = std::fs::read_to_string(root().join(&path)).unwrap();
        for (number, line) in text.lines().enumerate() {
            let code = line.split("//").next().unwrap_or_default();
            for word in FORBIDDEN {
                assert!(
                    !code.contains(word),
                    "{}:{}: {word}",
                    path.display(),
                    number + 1
                );
            }
        }
    }
}

/// The driver reaches the decisions through the library's interface only: it is another crate.
#[test]
fn decision_modules_are_part_of_the_library_alone() {
    let program = std::fs::read_to_string(root().join("src/main.rs")).unwrap();
    assert!(!program.contains("mod balancer"));
    let library = std::fs::read_to_string(root().join("src/lib.rs")).unwrap();
    assert!(library.contains("#![forbid(unsafe_code)]"));
}
