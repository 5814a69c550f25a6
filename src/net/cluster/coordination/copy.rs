//! A snapshot of this proxy's copy of the fleet's configuration, so that one that starts beside or after another process of its
//! own has to be told what is different only.
//!
//! The file is the magic `SHTC`, the format (u16, little endian), the CRC-32 of the body (u32) and the body in postcard. It is a
//! copy as a living proxy has one and is treated so: it may be behind the fleet or of a chain that the fleet lost, and goes on
//! from there. It tells nothing of what a voter promised, as it may be older than the last promise: who starts with it has no
//! memory for votes.

use super::tables::Tables;
use crate::net::state::snapshot::replace;
use meadowproxy::fleet::config::{Digest, Entry, Refused as Unsound, Table};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tracing::{info, warn};

const MAGIC: [u8; 4] = *b"SHTC";
/// Raised whenever the body's shape changes.
const FORMAT: u16 = 1;
const PREFIX: usize = 10;
/// A larger file is neither written nor read: the table's bound with its entries' numbers.
const MOST: usize = 32 << 20;
/// How often it is looked whether the copy changed, and whether the file is still this proxy's last word.
const EVERY: Duration = Duration::from_secs(2);
const CONFIRM: Duration = Duration::from_secs(60);
/// Bytes a second that are written at most, in the mean.
const RATE: f64 = 65_536.0;
/// Of a proxy that was away for longer nothing is taken: a fleet that was stopped and started meanwhile has only its file.
const MOST_AGE: Duration = Duration::from_secs(3600);
/// Entries that are copied while the table is locked.
const PAGE: usize = 1024;

/// Where the file is and whose.
#[derive(Clone, Debug)]
pub struct Kept {
    /// The folder.
    pub dir: PathBuf,
    /// The fleet's name.
    pub cluster: String,
}

#[derive(Serialize, Deserialize)]
struct Body {
    cluster: String,
    digest: Digest,
    entries: Vec<Entry>,
}

/// Why a file is not used. Each is logged once, and the proxy asks for all.
#[derive(Debug)]
enum Refused {
    Missing,
    Unreadable(io::Error),
    Short(usize),
    TooLarge(usize),
    Magic([u8; 4]),
    Format(u16),
    Checksum,
    Body(postcard::Error),
    Cluster(String),
    Stale(Duration),
    Table(Unsound),
}

impl Refused {
    /// A stable name for the log's `cause` field.
    fn cause(&self) -> &'static str {
        match self {
            Refused::Missing => "missing",
            Refused::Unreadable(_) => "unreadable",
            Refused::Short(_) => "truncated",
            Refused::TooLarge(_) => "too_large",
            Refused::Magic(_) => "magic",
            Refused::Format(_) => "format",
            Refused::Checksum => "checksum",
            Refused::Body(_) => "body",
            Refused::Cluster(_) => "cluster",
            Refused::Stale(_) => "stale",
            Refused::Table(_) => "table",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Missing => write!(f, "none yet"),
            Refused::Unreadable(e) => write!(f, "cannot read: {e}"),
            Refused::Short(length) => write!(f, "cut short at {length} bytes"),
            Refused::TooLarge(length) => write!(f, "{length} bytes, over the {MOST} allowed"),
            Refused::Magic(magic) => write!(f, "magic {magic:02x?}"),
            Refused::Format(format) => write!(f, "format {format}, this program reads {FORMAT}"),
            Refused::Checksum => write!(f, "its checksum does not hold: cut short or changed"),
            Refused::Body(e) => write!(f, "body does not decode: {e}"),
            Refused::Cluster(name) => write!(f, "of the fleet {name:?}"),
            Refused::Stale(age) => {
                write!(f, "{} s old, over {}", age.as_secs(), MOST_AGE.as_secs())
            }
            Refused::Table(why) => write!(f, "no table: {why}"),
        }
    }
}

fn encode(body: &Body) -> Result<Vec<u8>, Refused> {
    let mut bytes = vec![0; PREFIX];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..6].copy_from_slice(&FORMAT.to_le_bytes());
    let mut bytes = postcard::to_extend(body, bytes).map_err(Refused::Body)?;
    if bytes.len() > MOST {
        return Err(Refused::TooLarge(bytes.len()));
    }
    let sum = crc32fast::hash(&bytes[PREFIX..]);
    bytes[6..PREFIX].copy_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

/// The copy in a file's bytes; any other bytes give the reason why not, never a panic.
fn decode(bytes: &[u8], cluster: &str) -> Result<Table, Refused> {
    if bytes.len() > MOST {
        return Err(Refused::TooLarge(bytes.len()));
    }
    let (prefix, body) = bytes
        .split_at_checked(PREFIX)
        .ok_or(Refused::Short(bytes.len()))?;
    let magic = [prefix[0], prefix[1], prefix[2], prefix[3]];
    if magic != MAGIC {
        return Err(Refused::Magic(magic));
    }
    let format = u16::from_le_bytes([prefix[4], prefix[5]]);
    if format != FORMAT {
        return Err(Refused::Format(format));
    }
    if u32::from_le_bytes([prefix[6], prefix[7], prefix[8], prefix[9]]) != crc32fast::hash(body) {
        return Err(Refused::Checksum);
    }
    let body: Body = postcard::from_bytes(body).map_err(Refused::Body)?;
    if body.cluster != cluster {
        return Err(Refused::Cluster(body.cluster));
    }
    Table::restore(body.digest, body.entries).map_err(Refused::Table)
}

impl Kept {
    /// Proxies that share a folder never write over each other's files.
    fn name(&self, own: SocketAddr) -> String {
        let whose = blake3::hash(
            serde_json::json!([self.cluster, own])
                .to_string()
                .as_bytes(),
        );
        format!("config-{}.table", hex::encode(&whose.as_bytes()[..16]))
    }

    fn read(&self, file: &Path) -> Result<Table, Refused> {
        let unreadable = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound => Refused::Missing,
            _ => Refused::Unreadable(e),
        };
        let of = fs::metadata(file).map_err(unreadable)?;
        if !of.is_file() {
            return Err(Refused::Unreadable(io::Error::other("not a file")));
        }
        // A time ahead of the clock is no age.
        let age = of
            .modified()
            .ok()
            .and_then(|at| SystemTime::now().duration_since(at).ok());
        if let Some(age) = age.filter(|age| *age > MOST_AGE) {
            return Err(Refused::Stale(age));
        }
        let mut bytes = Vec::new();
        let opened = File::open(file).map_err(unreadable)?;
        opened
            .take(MOST as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        decode(&bytes, &self.cluster)
    }

    /// The copy that an earlier process of this proxy left; one line says what was taken or why not.
    pub fn recall(&self, own: SocketAddr) -> Option<Table> {
        let file = self.dir.join(self.name(own));
        match self.read(&file) {
            Ok(table) => {
                let (version, entries) = (table.version(), table.len());
                info!(
                    event = "config_snapshot_taken",
                    version, entries, "begins with its own copy"
                );
                Some(table)
            }
            Err(Refused::Missing) => {
                info!(event = "config_snapshot_missing", file = %file.display(), "no copy of its own: all is asked for");
                None
            }
            Err(why) => {
                warn!(event = "config_snapshot_refused", cause = why.cause(), file = %file.display(), "all is asked for: {why}");
                None
            }
        }
    }

    /// Writes the copy whenever it changed, for as long as the program runs.
    pub fn keep(&self, tables: &Tables, own: SocketAddr) {
        let (name, mut last, mut failed) = (self.name(own), (0, SystemTime::UNIX_EPOCH), false);
        let mut pause = EVERY;
        loop {
            std::thread::sleep(pause);
            pause = EVERY;
            let (version, now) = (
                tables.config.lock().replica.table().version(),
                SystemTime::now(),
            );
            let done = if version == 0 {
                continue;
            } else if version != last.0 {
                let body = self.copied(tables);
                last.0 = body.digest.version;
                encode(&body).map_err(|e| e.to_string()).and_then(|bytes| {
                    pause = EVERY.max(Duration::from_secs_f64(bytes.len() as f64 / RATE));
                    replace(&self.dir, &name, &bytes).map_err(|e| e.to_string())
                })
            } else if now
                .duration_since(last.1)
                .is_ok_and(|since| since < CONFIRM)
            {
                continue;
            } else {
                let file = File::options().write(true).open(self.dir.join(&name));
                file.and_then(|file| file.set_modified(now))
                    .map_err(|e| e.to_string())
            };
            last.1 = now;
            if let Err(why) = &done {
                last.0 = 0; // tried again
                if !failed {
                    warn!(event = "config_snapshot_not_written", dir = %self.dir.display(), "no copy written: {why}");
                }
            }
            failed = done.is_err();
        }
    }

    /// The whole copy of one version, page by page, so that nobody waits long for the table.
    fn copied(&self, tables: &Tables) -> Body {
        let mut body = Body {
            cluster: self.cluster.clone(),
            digest: Digest::default(),
            entries: Vec::new(),
        };
        let mut from = Some(0);
        while let Some(first) = from {
            let config = tables.config.lock();
            let table = config.replica.table();
            if table.digest() != body.digest {
                // It went on: from the beginning.
                (body.digest, from) = (table.digest(), Some(0));
                body.entries.clear();
                if first > 0 {
                    continue;
                }
            }
            let page: Vec<(u64, Entry)> = table
                .range(first, u64::MAX)
                .take(PAGE)
                .map(|(at, entry)| (at, entry.clone()))
                .collect();
            let whole = page.len() < PAGE;
            from = page
                .last()
                .filter(|_| !whole)
                .and_then(|(at, _)| at.checked_add(1));
            body.entries
                .extend(page.into_iter().map(|(_, entry)| entry));
        }
        body
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
