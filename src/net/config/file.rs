//! The schema of the configuration file, and functions that read a file ([`parse`]) and print it ([`show`]).

use super::error::NodeConfigError;
use super::sections::{CoordinationSection, GossipSection, SnapshotSection};
use super::source::{is_toml, Source};
use super::text_reader::TextReader;
use crate::net::discovery::endpoint_list::{EntryChunks, List, ParsedEntries};
use meadowproxy::fleet::config::VERSION_LIMIT;
use meadowproxy::settings::{
    extract_lists, ActiveSettings, ListSink, LongLists, ReadOptions, Settings,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;

/// Size of the buffer for streaming a JSON file, in bytes.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Keys that a reload may add or remove. A reload that removes any other key is rejected as incomplete.
const OPTIONAL_KEYS: [&str; 2] = ["control", "version"];

/// Schema of the configuration file.
#[derive(Deserialize, Serialize)]
pub(super) struct ConfigFile {
    pub name: String,
    /// Version of the fleet's configuration up to which the file contains all changes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    pub listen: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    pub seed: Value,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub known: List,
    pub settings: Value,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotSection>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<GossipSection>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub duties: Option<CoordinationSection>,
}

/// Resource limits of the process.
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub(super) struct Limits {
    /// Number of file descriptors that the process may have open.
    pub sockets: usize,
    /// Number of CPU cores, for the platform that runs the proxy. The proxy does not use it.
    #[serde(skip_serializing_if = "Option::is_none")]
    cores: Option<f64>,
    /// Memory that the process may use, in megabytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            sockets: 1024,
            cores: None,
            memory_mb: None,
        }
    }
}

impl ConfigFile {
    /// Checks the version and the section `duties`.
    pub fn check_fleet(&self) -> Result<(), NodeConfigError> {
        if self.version.is_some_and(|version| version >= VERSION_LIMIT) {
            return Err(NodeConfigError::VersionTooLarge);
        }
        if let Some(duties) = &self.duties {
            duties.check(self.peers.as_ref())?;
        }
        Ok(())
    }

    /// Returns the seed, which is a number or a text of up to 16 hex digits.
    pub fn parse_seed(&self) -> Result<u64, NodeConfigError> {
        let digits = self.seed.as_str();
        let from_hex = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        from_hex
            .or(self.seed.as_u64())
            .ok_or(NodeConfigError::InvalidSeed)
    }
}

/// The endpoint list in the file, used until discovery sends a newer one.
#[derive(Default)]
pub struct KnownEndpoints {
    /// Discovery's index of the list, after which the proxy asks for changes.
    pub index: u64,
    pub entries: EntryChunks,
}

/// What a file is read for, which decides what is kept of it.
#[derive(Clone, Copy)]
pub(super) enum Purpose<'a> {
    /// Finding errors only: without the endpoint list and digests.
    Check,
    /// Starting the process, which uses the whole file.
    Start,
    /// Replacing the given settings in force: without the endpoint list.
    Reload(&'a ActiveSettings),
}

/// A file that matches the schema; its values may still be out of range.
pub(super) struct ParsedFile {
    /// The file, without its settings and endpoint list.
    pub file: ConfigFile,
    pub known: KnownEndpoints,
    pub settings: Settings,
    /// Paths of the file's keys, except [`OPTIONAL_KEYS`] and keys inside lists.
    pub keys: BTreeSet<String>,
    /// Paths of unknown keys that count as errors.
    pub unknown: Vec<String>,
}

/// Reads the file of a source and applies the overrides.
pub(super) fn parse(source: &Source, purpose: Purpose<'_>) -> Result<ParsedFile, NodeConfigError> {
    let path = source
        .file
        .as_deref()
        .ok_or(NodeConfigError::FileNotSpecified)?;
    let mut lists = FileLists::new(source, purpose);
    let rest = read_without_lists(source, path, &mut lists)?;
    let mut keys = BTreeSet::new();
    collect_keys(&rest, "", &mut keys);
    let mut unknown = Vec::new();
    let mut file = deserialize(rest, path, &mut unknown)?;
    let entries = lists
        .endpoints
        .map_or_else(EntryChunks::default, ParsedEntries::into_entries);
    let settings = Settings::new(std::mem::take(&mut file.settings), lists.settings);
    if source.is_strict() {
        let inside = settings.unknown_paths();
        unknown.extend(inside.into_iter().map(|key| format!("settings.{key}")));
    }
    if !is_toml(path) {
        let is_override = |key: &String| source.overrides.iter().any(|set| set.path == *key);
        unknown.retain(is_override);
    }
    Ok(ParsedFile {
        known: KnownEndpoints {
            index: file.known.index,
            entries,
        },
        file,
        settings,
        keys,
        unknown,
    })
}

/// Returns the file with the overrides applied, as TOML that includes all defaults.
pub fn show(source: &Source) -> Result<String, NodeConfigError> {
    let path = source
        .file
        .as_deref()
        .ok_or(NodeConfigError::FileNotSpecified)?;
    let file = deserialize(read_document(source, path)?, path, &mut Vec::new())?;
    // Converting to a table first puts plain values before subtables, as TOML requires.
    let table = toml::Table::try_from(&file).map_err(|error| malformed(path, &error))?;
    toml::to_string_pretty(&table).map_err(|error| malformed(path, &error))
}

fn malformed(path: &Path, problem: &impl ToString) -> NodeConfigError {
    NodeConfigError::Malformed {
        path: path.into(),
        problem: problem.to_string(),
    }
}

fn unreadable(path: &Path, source: std::io::Error) -> NodeConfigError {
    NodeConfigError::Unreadable {
        path: path.into(),
        source,
    }
}

/// Reads the file as a JSON document. Its long lists go to `lists` and are empty in the result.
fn read_without_lists(
    source: &Source,
    path: &Path,
    lists: &mut FileLists,
) -> Result<Value, NodeConfigError> {
    if source.is_strict() {
        let document = read_document(source, path)?;
        extract_lists(document, lists).map_err(|error| malformed(path, &error))
    } else {
        stream_document(path, lists)
    }
}

/// Parses a JSON file while reading it, without loading the whole text into memory.
fn stream_document(path: &Path, lists: &mut FileLists) -> Result<Value, NodeConfigError> {
    let text = TextReader::open(path).map_err(|error| unreadable(path, error))?;
    let reader = BufReader::with_capacity(READ_BUFFER_BYTES, text);
    let mut json = serde_json::Deserializer::from_reader(reader);
    let document = extract_lists(&mut json, lists);
    let document = document.and_then(|document| json.end().map(|()| document));
    document.map_err(|error| {
        if error.is_io() {
            unreadable(path, error.into())
        } else {
            malformed(path, &error)
        }
    })
}

/// Reads a file, TOML or JSON, as a JSON document and applies the overrides.
fn read_document(source: &Source, path: &Path) -> Result<Value, NodeConfigError> {
    let mut text = String::new();
    let read = TextReader::open(path).and_then(|mut reader| reader.read_to_string(&mut text));
    read.map_err(|error| unreadable(path, error))?;
    let mut document: Value = if is_toml(path) {
        toml::from_str(&text).map_err(|error| malformed(path, &error))?
    } else {
        serde_json::from_str(&text).map_err(|error| malformed(path, &error))?
    };
    for value in &source.overrides {
        value.apply(&mut document)?;
    }
    Ok(document)
}

/// Converts a document to the schema, and adds the paths of keys that are not in the schema to `unknown`.
fn deserialize(
    document: Value,
    path: &Path,
    unknown: &mut Vec<String>,
) -> Result<ConfigFile, NodeConfigError> {
    let mut note_unknown = |key: serde_ignored::Path<'_>| unknown.push(key.to_string());
    let reader = serde_ignored::Deserializer::new(document, &mut note_unknown);
    serde_path_to_error::deserialize(reader).map_err(|error| {
        let key = error.path().to_string();
        if key == "." {
            malformed(path, error.inner())
        } else {
            malformed(path, &format!("{key}: {}", error.inner()))
        }
    })
}

/// Adds the paths of all keys in `value`, except [`OPTIONAL_KEYS`] and keys inside lists.
fn collect_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    for (name, inner) in value.as_object().into_iter().flatten() {
        let inner_path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        collect_keys(inner, &inner_path, keys);
        if !OPTIONAL_KEYS.contains(&inner_path.as_str()) {
            keys.insert(inner_path);
        }
    }
}

/// Receives the items of the file's long lists while it is read.
struct FileLists {
    settings: LongLists,
    /// The entries of `known.endpoints`, `None` if they are not needed.
    endpoints: Option<ParsedEntries>,
}

impl FileLists {
    const ENDPOINTS: &'static str = "known.endpoints";
    const SETTINGS_PREFIX: &'static str = "settings.";
    const PATHS: [&'static str; 3] = [
        FileLists::ENDPOINTS,
        "settings.profiles",
        "settings.customers",
    ];

    fn new(source: &Source, purpose: Purpose<'_>) -> FileLists {
        let options = ReadOptions {
            strict: source.is_strict(),
            compute_digest: !matches!(purpose, Purpose::Check),
        };
        let settings = match purpose {
            Purpose::Reload(in_force) => LongLists::replacing(options, in_force),
            Purpose::Check | Purpose::Start => LongLists::new(options),
        };
        let keep_endpoints = matches!(purpose, Purpose::Start);
        FileLists {
            settings,
            endpoints: keep_endpoints.then(ParsedEntries::default),
        }
    }
}

impl ListSink for FileLists {
    fn list_paths(&self) -> &[&'static str] {
        &FileLists::PATHS
    }

    fn begin(&mut self, list: &'static str) {
        if let Some(list) = list.strip_prefix(FileLists::SETTINGS_PREFIX) {
            self.settings.begin(list);
        } else if let Some(endpoints) = &mut self.endpoints {
            *endpoints = ParsedEntries::default();
        }
    }

    fn item(&mut self, list: &'static str, item: Value) {
        if let Some(list) = list.strip_prefix(FileLists::SETTINGS_PREFIX) {
            self.settings.item(list, &item);
        } else if let Some(endpoints) = &mut self.endpoints {
            endpoints.read(&item);
        }
    }
}
