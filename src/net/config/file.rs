//! The configuration file: its schema, and how it is read.

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

const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Keys that may come and go between two readings of a file; any other that stood in it belongs in the next.
const OPTIONAL_KEYS: [&str; 2] = ["control", "version"];

/// The file's schema.
#[derive(Deserialize, Serialize)]
pub(super) struct ConfigFile {
    pub name: String,
    /// The file contains the changes of the fleet's configuration up to this version.
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

#[derive(Deserialize, Serialize)]
#[serde(default)]
pub(super) struct Limits {
    pub sockets: usize,
    /// For the platform that runs the proxy; nothing here depends on them.
    #[serde(skip_serializing_if = "Option::is_none")]
    cores: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    memory_mb: Option<f64>,
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
    /// Checks what concerns the fleet.
    pub fn check_fleet(&self) -> Result<(), NodeConfigError> {
        if self.version.is_some_and(|version| version >= VERSION_LIMIT) {
            return Err(NodeConfigError::VersionTooLarge);
        }
        if let Some(duties) = &self.duties {
            duties.check(self.peers.as_ref())?;
        }
        Ok(())
    }

    /// The seed: a number, or up to 16 hex digits.
    pub fn parse_seed(&self) -> Result<u64, NodeConfigError> {
        let digits = self.seed.as_str();
        let from_hex = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        from_hex
            .or(self.seed.as_u64())
            .ok_or(NodeConfigError::InvalidSeed)
    }
}

/// The endpoint list that the file brings along.
#[derive(Default)]
pub struct KnownEndpoints {
    pub index: u64,
    pub entries: EntryChunks,
}

/// What is wanted of a file.
#[derive(Clone, Copy)]
pub(super) enum Purpose<'a> {
    /// Its errors.
    Check,
    /// All of it.
    Start,
    /// All but the endpoint list, in the place of the settings in force.
    Reload(&'a ActiveSettings),
}

/// A file that has the schema's shape.
pub(super) struct ParsedFile {
    /// The file without settings and endpoint list.
    pub file: ConfigFile,
    pub known: KnownEndpoints,
    pub settings: Settings,
    /// The paths of the file's keys but those inside lists.
    pub keys: BTreeSet<String>,
    /// The paths of keys that nothing reads, if those are errors.
    pub unknown: Vec<String>,
}

/// Reads the file of a source.
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

/// The file with the values of the command line in it, as TOML with every default written out.
pub fn show(source: &Source) -> Result<String, NodeConfigError> {
    let path = source
        .file
        .as_deref()
        .ok_or(NodeConfigError::FileNotSpecified)?;
    let file = deserialize(read_document(source, path)?, path, &mut Vec::new())?;
    // Through a table, which puts plain values before the tables inside it.
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

/// The file's document, with an empty list in the place of each long one.
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

/// The document of a JSON file as it is read: its text is never in memory as a whole.
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

/// The document of a file with the values of the command line in it.
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

/// The document in the schema's shape; the paths of keys that the schema does not know are added to `unknown`.
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

/// Adds the paths of all keys, but those inside lists and those that may come and go.
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

/// The file's long lists while it is read.
struct FileLists {
    settings: LongLists,
    /// `known.endpoints`, if it is wanted.
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
        let wants_endpoints = matches!(purpose, Purpose::Start);
        FileLists {
            settings,
            endpoints: wants_endpoints.then(ParsedEntries::default),
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
