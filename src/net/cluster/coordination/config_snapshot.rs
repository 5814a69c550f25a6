//! A snapshot of this proxy's table of the fleet's configuration in a file, so that a process that starts next to or after
//! another one of the same proxy catches up with the differences only. Load it at the start with [`SnapshotFile::load`], and
//! run [`SnapshotFile::save_changes`] on a thread.
//!
//! The file is the magic `SHTC`, the format (u16, little endian), the CRC-32 of the body (u32) and the body in postcard. The
//! table is treated like any replica's: it may be behind the fleet or of a chain that the fleet lost, and catches up from
//! there. A voter's promises are not in it, as it may be older than the last one: who starts with it recovers as a voter.

use super::shared_state::SharedState;
use crate::net::state::snapshot::replace;
use meadowproxy::fleet::config::{Digest, Entry, PositionRange, Table, TableError};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tracing::{info, warn};

/// It stems from the program's former name, and stays so that old files can be read.
const MAGIC: [u8; 4] = *b"SHTC";
/// Raised whenever the body's shape changes.
const FORMAT: u16 = 1;
const PREFIX_BYTES: usize = 10;
/// A larger file is neither written nor read: the table's bound with its entries' versions.
const MAX_FILE_BYTES: usize = 32 << 20;
/// How often the table is compared with the file.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// How often the time of an unchanged file is renewed.
const TOUCH_INTERVAL: Duration = Duration::from_secs(60);
/// The mean rate of writing.
const MAX_BYTES_PER_S: f64 = 65_536.0;
/// An older file is not used: a fleet that was stopped and started meanwhile has only its platform's file.
const MAX_AGE: Duration = Duration::from_secs(3600);
/// Entries that are copied while the table is locked.
const PAGE_ENTRIES: usize = 1024;

/// Where the file is, and of which fleet.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
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

/// Why a file is not used: the proxy catches up from an empty table.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("none yet")]
    Missing,
    #[error("cannot read: {0}")]
    Unreadable(#[source] io::Error),
    #[error("truncated at {0} bytes")]
    Truncated(usize),
    #[error("{0} bytes, over the {MAX_FILE_BYTES} allowed")]
    TooLarge(usize),
    #[error("magic {0:02x?}")]
    Magic([u8; 4]),
    #[error("format {0}, this program reads {FORMAT}")]
    Format(u16),
    #[error("checksum mismatch: truncated or changed")]
    Checksum,
    #[error("body does not decode: {0}")]
    Body(#[source] postcard::Error),
    #[error("of the fleet {0:?}")]
    Cluster(String),
    #[error("{} s old, over {}", .0.as_secs(), MAX_AGE.as_secs())]
    Stale(Duration),
    #[error("invalid table: {0}")]
    Table(#[source] TableError),
}

impl SnapshotError {
    /// A stable name for the log's `cause` field.
    fn cause(&self) -> &'static str {
        match self {
            SnapshotError::Missing => "missing",
            SnapshotError::Unreadable(_) => "unreadable",
            SnapshotError::Truncated(_) => "truncated",
            SnapshotError::TooLarge(_) => "too_large",
            SnapshotError::Magic(_) => "magic",
            SnapshotError::Format(_) => "format",
            SnapshotError::Checksum => "checksum",
            SnapshotError::Body(_) => "body",
            SnapshotError::Cluster(_) => "cluster",
            SnapshotError::Stale(_) => "stale",
            SnapshotError::Table(_) => "table",
        }
    }
}

/// Why a file is not written.
#[derive(Debug, Error)]
enum SaveError {
    #[error(transparent)]
    Encode(#[from] SnapshotError),
    #[error(transparent)]
    Write(#[from] io::Error),
}

fn encode(body: &Body) -> Result<Vec<u8>, SnapshotError> {
    let mut bytes = vec![0; PREFIX_BYTES];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..6].copy_from_slice(&FORMAT.to_le_bytes());
    let mut bytes = postcard::to_extend(body, bytes).map_err(SnapshotError::Body)?;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    let checksum = crc32fast::hash(&bytes[PREFIX_BYTES..]);
    bytes[6..PREFIX_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// The table in a file's bytes; any other bytes give the reason why not, never a panic.
fn decode(bytes: &[u8], cluster: &str) -> Result<Table, SnapshotError> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    let (prefix, body) = bytes
        .split_at_checked(PREFIX_BYTES)
        .ok_or(SnapshotError::Truncated(bytes.len()))?;
    let magic = [prefix[0], prefix[1], prefix[2], prefix[3]];
    if magic != MAGIC {
        return Err(SnapshotError::Magic(magic));
    }
    let format = u16::from_le_bytes([prefix[4], prefix[5]]);
    if format != FORMAT {
        return Err(SnapshotError::Format(format));
    }
    let checksum = u32::from_le_bytes([prefix[6], prefix[7], prefix[8], prefix[9]]);
    if checksum != crc32fast::hash(body) {
        return Err(SnapshotError::Checksum);
    }
    let body: Body = postcard::from_bytes(body).map_err(SnapshotError::Body)?;
    if body.cluster != cluster {
        return Err(SnapshotError::Cluster(body.cluster));
    }
    Table::restore(body.digest, body.entries).map_err(SnapshotError::Table)
}

impl SnapshotFile {
    /// The file's name: proxies that share a folder never write over each other's files.
    fn name(&self, own: SocketAddr) -> String {
        let owner = blake3::hash(
            serde_json::json!([self.cluster, own])
                .to_string()
                .as_bytes(),
        );
        format!("config-{}.table", hex::encode(&owner.as_bytes()[..16]))
    }

    fn read(&self, file: &Path) -> Result<Table, SnapshotError> {
        let unreadable = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound => SnapshotError::Missing,
            _ => SnapshotError::Unreadable(e),
        };
        let metadata = fs::metadata(file).map_err(unreadable)?;
        if !metadata.is_file() {
            return Err(SnapshotError::Unreadable(io::Error::other("not a file")));
        }
        // A time ahead of the clock is no age.
        let age = metadata
            .modified()
            .ok()
            .and_then(|at| SystemTime::now().duration_since(at).ok());
        if let Some(age) = age.filter(|age| *age > MAX_AGE) {
            return Err(SnapshotError::Stale(age));
        }
        let mut bytes = Vec::new();
        let opened = File::open(file).map_err(unreadable)?;
        opened
            .take(MAX_FILE_BYTES as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        decode(&bytes, &self.cluster)
    }

    /// The table that an earlier process of this proxy saved; one log line says what was loaded or why not.
    pub fn load(&self, own: SocketAddr) -> Option<Table> {
        let file = self.dir.join(self.name(own));
        match self.read(&file) {
            Ok(table) => {
                info!(
                    event = "config_snapshot_taken",
                    version = table.version(),
                    entries = table.len(),
                    "starts from the configuration's snapshot"
                );
                Some(table)
            }
            Err(SnapshotError::Missing) => {
                info!(event = "config_snapshot_missing", file = %file.display(), "no snapshot of the configuration: catches up from an empty table");
                None
            }
            Err(error) => {
                warn!(event = "config_snapshot_refused", cause = error.cause(), file = %file.display(), "catches up from an empty table: {error}");
                None
            }
        }
    }

    /// Saves the table whenever it changed, for as long as the program runs.
    pub fn save_changes(&self, shared: &SharedState, own: SocketAddr) {
        let mut saver = Saver {
            file: self,
            name: self.name(own),
            saved_version: 0,
            saved_at: SystemTime::UNIX_EPOCH,
            failed: false,
            pause: SAVE_INTERVAL,
        };
        loop {
            std::thread::sleep(saver.pause);
            saver.step(shared);
        }
    }

    /// The complete table of one version, copied page by page, so that nobody waits long for the lock.
    fn copy_table(&self, shared: &SharedState) -> Body {
        let mut body = Body {
            cluster: self.cluster.clone(),
            digest: Digest::default(),
            entries: Vec::new(),
        };
        let mut next = Some(0);
        while let Some(first) = next {
            let config = shared.config.lock();
            let table = config.replica.table();
            if table.digest() != body.digest {
                // The table changed: start over.
                body.digest = table.digest();
                body.entries.clear();
                if first > 0 {
                    next = Some(0);
                    continue;
                }
            }
            let rest = PositionRange {
                first,
                last: u64::MAX,
            };
            let mut last_position = None;
            let mut count = 0;
            for (position, entry) in table.range(rest).take(PAGE_ENTRIES) {
                body.entries.push(entry.clone());
                last_position = Some(position);
                count += 1;
            }
            next = last_position
                .filter(|_| count == PAGE_ENTRIES)
                .and_then(|position| position.checked_add(1));
        }
        body
    }
}

/// Writes the file while the program runs.
struct Saver<'a> {
    file: &'a SnapshotFile,
    name: String,
    /// The version in the file, 0 where it is to be written anew.
    saved_version: u64,
    /// When the file was written or its time renewed.
    saved_at: SystemTime,
    /// The last attempt failed, and was logged.
    failed: bool,
    /// Until the next step: longer after a write, which keeps the rate.
    pause: Duration,
}

impl Saver<'_> {
    /// Brings the file up to date.
    fn step(&mut self, shared: &SharedState) {
        self.pause = SAVE_INTERVAL;
        let version = shared.config.lock().replica.table().version();
        let now = SystemTime::now();
        if version == 0 {
            return;
        }
        let saved = if version != self.saved_version {
            self.write(shared)
        } else if now
            .duration_since(self.saved_at)
            .is_ok_and(|since| since < TOUCH_INTERVAL)
        {
            return;
        } else {
            self.touch(now)
        };
        self.saved_at = now;
        if let Err(error) = &saved {
            self.saved_version = 0; // the next step writes it anew
            if !self.failed {
                warn!(event = "config_snapshot_not_written", dir = %self.file.dir.display(), "no snapshot of the configuration written: {error}");
            }
        }
        self.failed = saved.is_err();
    }

    /// Writes the table.
    fn write(&mut self, shared: &SharedState) -> Result<(), SaveError> {
        let body = self.file.copy_table(shared);
        self.saved_version = body.digest.version;
        let bytes = encode(&body)?;
        let pause = Duration::from_secs_f64(bytes.len() as f64 / MAX_BYTES_PER_S);
        self.pause = SAVE_INTERVAL.max(pause);
        replace(&self.file.dir, &self.name, &bytes)?;
        Ok(())
    }

    /// Renews the file's time.
    fn touch(&self, now: SystemTime) -> Result<(), SaveError> {
        let file = File::options()
            .write(true)
            .open(self.file.dir.join(&self.name))?;
        file.set_modified(now)?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
