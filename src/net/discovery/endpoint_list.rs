//! The endpoint list in its JSON form.
//!
//! [`List`] is a list in memory, as the configuration file contains it. [`ListAnswer::read`] parses discovery's answer
//! without ever holding all of it as JSON values.

use bytes::Buf;
use compact_str::CompactString;
use meadowproxy::settings::EndpointRow;
use meadowproxy::{Backend, BackendState, CellId, Time};
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;
use tracing::warn;

const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum size of a chunk of entries, in bytes: less than a chunk of the settings' text.
const MAX_CHUNK_BYTES: usize = 1 << 19;

/// A full list, or the changes to one. Entries stay JSON values until each is parsed by itself, so that a malformed
/// entry does not affect the others.
#[derive(Clone, Debug, Default, Deserialize, serde::Serialize)]
pub struct List {
    pub index: u64,
    #[serde(rename = "snapshot")]
    pub is_full: bool,
    pub endpoints: Vec<Value>,
}

/// A valid entry. Short texts are stored inline, as there may be tens of thousands of entries at a time.
pub struct Endpoint {
    pub name: CompactString,
    pub address: SocketAddr,
    pub row: EndpointRow,
}

#[derive(Deserialize)]
struct EntryFields {
    name: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u64,
    status: String,
    #[serde(default)]
    since_ms: f64,
}

/// Why an entry of a list is malformed.
#[derive(Debug, Error)]
enum EntryError {
    /// A key is missing, or has a value of the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("unknown status {0:?}, expected SERVING, DRAINING or DELETED")]
    UnknownStatus(String),
    #[error("invalid socket address {text:?}")]
    BadAddress {
        text: String,
        #[source]
        source: AddrParseError,
    },
}

impl Endpoint {
    fn read(value: &Value) -> Result<Endpoint, EntryError> {
        let entry = EntryFields::deserialize(value)?;
        let state = match entry.status.as_str() {
            "SERVING" => BackendState::Ready,
            "DRAINING" => BackendState::Draining,
            "DELETED" => BackendState::Removed,
            _ => return Err(EntryError::UnknownStatus(entry.status)),
        };
        let address = match entry.address.parse() {
            Ok(address) => address,
            Err(source) => {
                let text = entry.address;
                return Err(EntryError::BadAddress { text, source });
            }
        };
        let started_at = (entry.since_ms > 0.0).then_some(Time((entry.since_ms * 1e3) as u64));
        let backend = Backend {
            cell: CellId(entry.group),
            state,
            started_at,
            ..Backend::default()
        };
        // The row is keyed by name, which is the same at every proxy; the address may differ.
        let row = EndpointRow::new(&entry.name, &entry.zone, &entry.kind, backend);
        Ok(Endpoint {
            name: entry.name.into(),
            address,
            row,
        })
    }
}

/// An entry of the list.
pub enum ListEntry {
    Endpoint(Endpoint),
    /// A malformed entry of which only the backend's name could be read.
    Unreadable(CompactString),
}

/// Entries in chunks of limited size. The allocator obtains each chunk from the operating system and returns it when it
/// is freed; afterwards it keeps freed blocks that are smaller than the largest chunk. A single vector for a full list
/// would thus make it keep all texts of a configuration.
#[derive(Default)]
pub struct EntryChunks(Vec<Vec<ListEntry>>);

impl EntryChunks {
    const MAX_CHUNK_ENTRIES: usize = MAX_CHUNK_BYTES / size_of::<ListEntry>();

    fn push(&mut self, entry: ListEntry) {
        match self.0.last_mut() {
            Some(chunk) if chunk.len() < EntryChunks::MAX_CHUNK_ENTRIES => chunk.push(entry),
            Some(_) => {
                self.0
                    .push(Vec::with_capacity(EntryChunks::MAX_CHUNK_ENTRIES));
                self.push(entry);
            }
            None => self.0.push(vec![entry]),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.iter().map(Vec::len).sum()
    }

    /// Iterates over all entries in order.
    pub fn iter(&self) -> impl Iterator<Item = &ListEntry> {
        self.0.iter().flatten()
    }
}

/// The parsed entries of a list: valid ones, and malformed ones that at least name their backend.
#[derive(Default)]
pub struct ParsedEntries {
    entries: EntryChunks,
    malformed_count: usize,
    first_malformed: Option<String>,
}

impl ParsedEntries {
    /// Parses an entry and adds it.
    pub fn read(&mut self, value: &Value) {
        match Endpoint::read(value) {
            Ok(endpoint) => self.entries.push(ListEntry::Endpoint(endpoint)),
            Err(error) => {
                self.malformed_count += 1;
                self.first_malformed
                    .get_or_insert_with(|| format!("{error}: {value:.200}"));
                if let Some(name) = value.get("name").and_then(Value::as_str) {
                    self.entries.push(ListEntry::Unreadable(name.into()));
                }
            }
        }
    }

    /// Returns the entries. Logs only the first malformed one and the number of them, as a list may be long.
    pub fn into_entries(self) -> EntryChunks {
        if let Some(first) = self.first_malformed {
            warn!(
                count = self.malformed_count,
                "{} malformed entries in the endpoint list; the first: {first:.400}",
                self.malformed_count
            );
        }
        self.entries
    }
}

/// Converts each entry as it is read, so that a long list is never held in memory as JSON values.
impl<'de> Deserialize<'de> for ParsedEntries {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<ParsedEntries, D::Error> {
        struct EntriesVisitor;
        impl<'de> Visitor<'de> for EntriesVisitor {
            type Value = ParsedEntries;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("an array of entries")
            }
            fn visit_seq<A: SeqAccess<'de>>(
                self,
                mut entries: A,
            ) -> Result<ParsedEntries, A::Error> {
                let mut parsed = ParsedEntries::default();
                while let Some(value) = entries.next_element::<Value>()? {
                    parsed.read(&value);
                }
                Ok(parsed)
            }
        }
        from.deserialize_seq(EntriesVisitor)
    }
}

impl List {
    /// Parses the entries.
    pub fn entries(&self) -> EntryChunks {
        let mut parsed = ParsedEntries::default();
        for value in &self.endpoints {
            parsed.read(value);
        }
        parsed.into_entries()
    }
}

/// Discovery's answer: a full list or the changes to one.
pub struct ListAnswer {
    /// Discovery's version of the list.
    pub index: u64,
    /// Whether this is a full list rather than changes.
    pub is_full: bool,
    pub entries: EntryChunks,
}

#[derive(Deserialize)]
struct AnswerBody {
    index: u64,
    #[serde(rename = "snapshot")]
    is_full: bool,
    endpoints: ParsedEntries,
}

/// Why an answer of discovery is rejected.
#[derive(Debug, Error)]
pub enum AnswerError {
    #[error("invalid answer: {0}")]
    Json(#[source] serde_json::Error),
    /// All entries of a full list are malformed. It is rejected, as applying it would remove all backends at once.
    #[error("no entry of the full list is valid")]
    NoUsableEntry,
}

impl ListAnswer {
    /// Parses a body directly from the buffers that it arrived in, without joining them, as it may be long.
    pub fn read(body: impl Buf) -> Result<ListAnswer, AnswerError> {
        let body = io::BufReader::with_capacity(READ_BUFFER_BYTES, body.reader());
        let AnswerBody {
            index,
            is_full,
            endpoints,
        } = serde_json::from_reader(body).map_err(AnswerError::Json)?;
        let has_usable_entry = endpoints
            .entries
            .iter()
            .any(|entry| matches!(entry, ListEntry::Endpoint(_)));
        if is_full && endpoints.malformed_count > 0 && !has_usable_entry {
            return Err(AnswerError::NoUsableEntry);
        }
        Ok(ListAnswer {
            index,
            is_full,
            entries: endpoints.into_entries(),
        })
    }
}
