//! The backend list in its JSON form.

use bytes::Buf;
use compact_str::CompactString;
use meadowproxy::settings::Row;
use meadowproxy::{Backend, BackendState, CellId, Time};
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use tracing::warn;

const READ_AT_ONCE: usize = 8 * 1024;

/// A list, or the changes to one. Entries are read one by one, so that a bad one spoils no other.
#[derive(Clone, Debug, Default, Deserialize, serde::Serialize)]
pub struct List {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<Value>,
}

/// An entry that made sense. Short texts stand in it and not beside it: there may be tens of thousands at a time.
pub struct Endpoint {
    pub name: CompactString,
    pub address: SocketAddr,
    pub row: Row,
}

#[derive(Deserialize)]
struct Entry {
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

impl Endpoint {
    fn read(value: &Value) -> Result<Endpoint, String> {
        let e = Entry::deserialize(value).map_err(|e| e.to_string())?;
        let state = match e.status.as_str() {
            "SERVING" => BackendState::Ready,
            "DRAINING" => BackendState::Draining,
            "DELETED" => BackendState::Removed,
            other => return Err(format!("unknown status {other:?}")),
        };
        let address = e
            .address
            .parse()
            .map_err(|_| format!("bad address {:?}", e.address))?;
        let booted = (e.since_ms > 0.0).then_some(Time((e.since_ms * 1e3) as u64));
        let entry = Backend {
            cell: CellId(e.group),
            state,
            started_at: booted,
            ..Backend::default()
        };
        // The name is the same at every proxy; the address may not be.
        let row = Row::new(&e.name, &e.zone, &e.kind, entry);
        Ok(Endpoint {
            name: e.name.into(),
            address,
            row,
        })
    }
}

/// A line of the list.
pub enum Line {
    Entry(Endpoint),
    /// It speaks of the backend of that name, and more of it does not make sense.
    Unclear(CompactString),
}

/// Lines in pieces that the allocator takes from the system, and gives back, each by itself. Afterwards it keeps whatever
/// is smaller than the largest of them: a whole list as one table would let it keep all texts of a configuration.
#[derive(Default)]
pub struct Pieces(Vec<Vec<Line>>);

impl Pieces {
    /// Lines in a piece: half a MiB, less than a piece of the settings' text.
    const MOST: usize = (1 << 19) / size_of::<Line>();

    fn push(&mut self, line: Line) {
        match self.0.last_mut() {
            Some(piece) if piece.len() < Pieces::MOST => piece.push(line),
            Some(_) => {
                self.0.push(Vec::with_capacity(Pieces::MOST));
                self.push(line);
            }
            None => self.0.push(vec![line]),
        }
    }

    pub fn len(&self) -> usize {
        self.0.iter().map(Vec::len).sum()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Line> {
        self.0.iter().flatten()
    }
}

/// The lines that say at least which backend they are of.
#[derive(Default)]
pub struct Lines {
    lines: Pieces,
    /// How many do not make sense, and the first of those.
    unclear: usize,
    sample: Option<String>,
}

impl Lines {
    /// Takes one entry more.
    pub fn read(&mut self, value: &Value) {
        match Endpoint::read(value) {
            Ok(entry) => self.lines.push(Line::Entry(entry)),
            Err(e) => {
                self.unclear += 1;
                self.sample
                    .get_or_insert_with(|| format!("{e}: {value:.200}"));
                let name = value.get("name").and_then(Value::as_str);
                name.into_iter()
                    .for_each(|name| self.lines.push(Line::Unclear(name.into())));
            }
        }
    }

    /// Of those that do not make sense one is logged, with their number: a list may be long.
    pub fn told(self) -> Pieces {
        if let Some(sample) = self.sample {
            warn!(
                "{} discovery entries not understood, the first: {sample:.400}",
                self.unclear
            );
        }
        self.lines
    }
}

/// Each entry is read as it comes, so that a long list is never in memory as values.
impl<'de> Deserialize<'de> for Lines {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Lines, D::Error> {
        struct Each;
        impl<'de> Visitor<'de> for Each {
            type Value = Lines;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("an array of entries")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Lines, A::Error> {
                let mut lines = Lines::default();
                while let Some(value) = entries.next_element::<Value>()? {
                    lines.read(&value);
                }
                Ok(lines)
            }
        }
        from.deserialize_seq(Each)
    }
}

impl List {
    /// Its lines, as far as they make sense.
    pub fn lines(&self) -> Pieces {
        let mut lines = Lines::default();
        self.endpoints.iter().for_each(|value| lines.read(value));
        lines.told()
    }
}

/// A list as discovery answers with it, its lines read.
pub struct Answer {
    pub index: u64,
    pub snapshot: bool,
    pub lines: Pieces,
}

#[derive(Deserialize)]
struct Body {
    index: u64,
    snapshot: bool,
    endpoints: Lines,
}

/// Why an answer cannot be used.
#[derive(Debug)]
pub enum Unread {
    Json(serde_json::Error),
    /// A whole list none of whose entries makes sense is no list, rather than all backends gone at once.
    Garbled,
}

impl Answer {
    /// From the pieces that it came in, which are never put together: it may be long.
    pub fn read(body: impl Buf) -> Result<Answer, Unread> {
        let body = io::BufReader::with_capacity(READ_AT_ONCE, body.reader());
        let Body {
            index,
            snapshot,
            endpoints,
        } = serde_json::from_reader(body).map_err(Unread::Json)?;
        let sense = endpoints
            .lines
            .iter()
            .any(|line| matches!(line, Line::Entry(_)));
        if snapshot && endpoints.unclear > 0 && !sense {
            return Err(Unread::Garbled);
        }
        Ok(Answer {
            index,
            snapshot,
            lines: endpoints.told(),
        })
    }
}
