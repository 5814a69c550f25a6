//! Checks that `deploy/balancer.toml` lists exactly the decision modules in `src/balancer/`, and that they depend on
//! their inputs alone: no clock, network, threads, environment or code of the network driver.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const DECISION_FOLDER: &str = "src/balancer";

/// Texts that must not occur in the code of a decision module.
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
    for entry in std::fs::read_dir(folder)
        .expect("a readable folder")
        .flatten()
    {
        let path = entry.path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.insert(
                path.strip_prefix(root())
                    .expect("a path below the repository root")
                    .into(),
            );
        }
    }
}

fn decision_files() -> BTreeSet<PathBuf> {
    let mut files = BTreeSet::new();
    rust_files(&root().join(DECISION_FOLDER), &mut files);
    files
}

/// Whether the file contains only tests and is not a decision module.
fn is_test_file(path: &Path) -> bool {
    path.file_stem()
        .is_some_and(|stem| stem.to_string_lossy().ends_with("tests"))
}

#[test]
fn the_deploy_file_lists_exactly_the_decision_modules() {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let listed = deploy["policy"].as_array().expect("policy is a list");
    let paths: BTreeSet<PathBuf> = listed
        .iter()
        .map(|path| PathBuf::from(path.as_str().expect("an entry of policy is a path")))
        .collect();
    assert_eq!(
        paths.len(),
        listed.len(),
        "deploy/balancer.toml lists a file twice"
    );
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
                    "{}:{}: {word} is not allowed in a decision module",
                    path.display(),
                    number + 1
                );
            }
        }
    }
}

/// The proxy binary is a separate crate, which can reach the decision modules only through the library's interface.
#[test]
fn only_the_library_contains_the_decision_modules() {
    let program = std::fs::read_to_string(root().join("src/main.rs")).unwrap();
    assert!(!program.contains("mod balancer"));
    let library = std::fs::read_to_string(root().join("src/lib.rs")).unwrap();
    assert!(library.contains("#![forbid(unsafe_code)]"));
}
