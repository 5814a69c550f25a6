//! A snapshot file of this proxy's table of the fleet's configuration. A process that starts next to or after another
//! process of the same proxy loads it, and so has to catch up with the differences only. Load it at the start with
//! [`SnapshotFile::load`], and run [`SnapshotFile::save_changes`] on a thread.
//!
//! The file consists of the magic bytes `SHTC`, the format version (u16, little endian), the CRC-32 of the body (u32,
//! little endian) and the body in postcard. The restored table is treated like that of any replica: it may be behind
//! the fleet, or belong to a chain of changes that the fleet lost, and catches up from there. It does not contain a
//! voter's promises, as it may be older than the last promise; a voter that starts from it runs the recovery of voters
//! first.

use super::shared_state::SharedState;
use crate::net::state::snapshot::replace_file;
use meadowproxy::fleet::config::{Digest, Entry, PositionRange, Table, TableError};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tracing::{info, warn};

/// First bytes of the file. They derive from a former name of the program and are kept so that old files stay readable.
const MAGIC: [u8; 4] = *b"SHTC";
/// Version of the body's format. Increase it with every change of the body's structure.
const FORMAT: u16 = 1;
/// Size of the prefix, which is magic, format version and checksum, in bytes.
const PREFIX_BYTES: usize = 10;
/// Maximum file size, in bytes: the table's size limit plus its entries' versions. Larger files are neither written nor
/// read.
const MAX_FILE_BYTES: usize = 32 << 20;
/// How often the table's version is compared with the file's.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// How often the modification time of an unchanged file is updated.
const TOUCH_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum mean rate of writing the file, in bytes per second.
const MAX_BYTES_PER_S: f64 = 65_536.0;
/// Maximum age of a file that is loaded. If the whole fleet was stopped and started since the snapshot, only the
/// platform's configuration file applies.
const MAX_AGE: Duration = Duration::from_secs(3600);
/// Maximum number of entries copied while the table is locked.
const PAGE_ENTRIES: usize = 1024;

/// Location of the snapshot file, and the fleet that it belongs to.
#[derive(Clone, Debug)]
pub struct SnapshotFile {
    /// Directory of the file.
    pub dir: PathBuf,
    /// Name of the fleet.
    pub cluster: String,
}

/// The body of the file.
#[derive(Serialize, Deserialize)]
struct Body {
    cluster: String,
    digest: Digest,
    entries: Vec<Entry>,
}

/// Reason why a file is not loaded. The proxy then catches up from an empty table.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("file does not exist")]
    Missing,
    #[error("cannot read the file: {0}")]
    Unreadable(#[source] io::Error),
    #[error("file is truncated: {0} bytes, expected at least {PREFIX_BYTES}")]
    Truncated(usize),
    #[error("file has {0} bytes, expected at most {MAX_FILE_BYTES}")]
    TooLarge(usize),
    #[error("file starts with {0:02x?}, expected {MAGIC:02x?}")]
    Magic([u8; 4]),
    #[error("file has format version {0}, this program reads version {FORMAT}")]
    Format(u16),
    #[error("checksum mismatch: file is truncated or corrupted")]
    Checksum,
    #[error("invalid file body: {0}")]
    Body(#[source] postcard::Error),
    #[error("file belongs to the fleet {0:?}")]
    Cluster(String),
    #[error("file is {} s old, expected at most {} s", .0.as_secs(), MAX_AGE.as_secs())]
    Stale(Duration),
    #[error("file contains an invalid table: {0}")]
    Table(#[source] TableError),
}

impl SnapshotError {
    /// Returns a stable name of the reason for the log's `cause` field.
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

/// Reason why a file is not written.
#[derive(Debug, Error)]
enum SaveError {
    #[error(transparent)]
    Encode(#[from] SnapshotError),
    #[error(transparent)]
    Write(#[from] io::Error),
}

/// Encodes a body as the content of a file.
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

/// Decodes the table from the content of a file. Returns an error for any invalid content and never panics.
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
    /// Returns the file's name, which differs between proxies, so that they can share a directory.
    fn name(&self, own_address: SocketAddr) -> String {
        let proxy_hash = blake3::hash(
            serde_json::json!([self.cluster, own_address])
                .to_string()
                .as_bytes(),
        );
        format!("config-{}.table", hex::encode(&proxy_hash.as_bytes()[..16]))
    }

    /// Reads and decodes a file.
    fn read(&self, file: &Path) -> Result<Table, SnapshotError> {
        let unreadable = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound => SnapshotError::Missing,
            _ => SnapshotError::Unreadable(e),
        };
        let metadata = fs::metadata(file).map_err(unreadable)?;
        if !metadata.is_file() {
            return Err(SnapshotError::Unreadable(io::Error::other(
                "not a regular file",
            )));
        }
        // A modification time in the future has no age; such a file is read.
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

    /// Loads the table that an earlier process of this proxy saved, and logs what was loaded or why nothing was.
    pub fn load(&self, own_address: SocketAddr) -> Option<Table> {
        let file = self.dir.join(self.name(own_address));
        match self.read(&file) {
            Ok(table) => {
                info!(
                    event = "config_snapshot_taken",
                    version = table.version(),
                    entries = table.len(),
                    "loaded the configuration snapshot"
                );
                Some(table)
            }
            Err(SnapshotError::Missing) => {
                info!(event = "config_snapshot_missing", file = %file.display(), "no configuration snapshot: catching up from an empty table");
                None
            }
            Err(error) => {
                warn!(event = "config_snapshot_refused", cause = error.cause(), file = %file.display(), "configuration snapshot rejected, catching up from an empty table: {error}");
                None
            }
        }
    }

    /// Saves the table whenever it has changed. Never returns.
    pub fn save_changes(&self, shared: &SharedState, own_address: SocketAddr) {
        let mut writer = SnapshotWriter {
            file: self,
            name: self.name(own_address),
            saved_version: 0,
            saved_at: SystemTime::UNIX_EPOCH,
            has_failed: false,
            pause: SAVE_INTERVAL,
        };
        loop {
            std::thread::sleep(writer.pause);
            writer.step(shared);
        }
    }

    /// Copies the complete table of one version. It is locked for one page of entries at a time, so that other threads
    /// do not wait long for the lock.
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
                // The table changed since the last page: start over.
                body.digest = table.digest();
                body.entries.clear();
                if first > 0 {
                    next = Some(0);
                    continue;
                }
            }
            let remaining = PositionRange {
                first,
                last: u64::MAX,
            };
            let mut last_position = None;
            let mut count = 0;
            for (position, entry) in table.range(remaining).take(PAGE_ENTRIES) {
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

/// Keeps the file up to date with the table.
struct SnapshotWriter<'a> {
    file: &'a SnapshotFile,
    name: String,
    /// Version of the table in the file; 0 if the file has to be written again.
    saved_version: u64,
    /// When the file was last written or its modification time updated.
    saved_at: SystemTime,
    /// The last attempt to write failed and was logged.
    has_failed: bool,
    /// Time until the next step; longer after a large write, to stay within [`MAX_BYTES_PER_S`].
    pause: Duration,
}

impl SnapshotWriter<'_> {
    /// Writes the file if the table has changed, or updates its modification time if that is due.
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
            self.saved_version = 0; // the next step writes the file again
            if !self.has_failed {
                warn!(event = "config_snapshot_not_written", dir = %self.file.dir.display(), "cannot write the configuration snapshot: {error}");
            }
        }
        self.has_failed = saved.is_err();
    }

    /// Writes the table to the file, and sets the pause that follows.
    fn write(&mut self, shared: &SharedState) -> Result<(), SaveError> {
        let body = self.file.copy_table(shared);
        self.saved_version = body.digest.version;
        let bytes = encode(&body)?;
        let pause = Duration::from_secs_f64(bytes.len() as f64 / MAX_BYTES_PER_S);
        self.pause = SAVE_INTERVAL.max(pause);
        replace_file(&self.file.dir, &self.name, &bytes)?;
        Ok(())
    }

    /// Updates the file's modification time, so that it does not become too old to be loaded.
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
