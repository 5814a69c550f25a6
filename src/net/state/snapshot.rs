//! Checked snapshots of what this proxy learned, so that a start after a crash or a power cut is warm.
//!
//! The file is a prefix of [`PREFIX_BYTES`] bytes, then a body in postcard: the prefix is the magic `SHTS`, the format
//! version (u16, little endian), the body's length in bytes (u32) and its CRC-32 (u32). The body is a [`Snapshot`]: a
//! [`Header`] and a [`SavedState`]. A file is replaced atomically: written to a temporary file, synced, renamed, and
//! the folder synced.

use meadowproxy::{LearnedBackend, LearnedHardwareClass, Micros, SampledMean};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// It stems from the program's former name, and stays so that old files can be read.
const MAGIC: [u8; 4] = *b"SHTS";
/// Raised whenever the body's shape changes; older and newer files are rejected.
pub const FORMAT_VERSION: u16 = 4;
const PREFIX_BYTES: usize = 14;
/// Larger snapshots are neither written nor read: a proxy's memory limit is some hundred MB.
pub const MAX_SNAPSHOT_BYTES: usize = 1 << 20;
const FILE_NAME_PREFIX: &str = "snapshot";
/// A snapshot from further in the future is rejected.
const MAX_CLOCK_SETBACK: Micros = Micros(1_000_000);
/// Bytes of a hash that make the name of a file or folder unique.
const SHORT_HASH_BYTES: usize = 16;

/// Who wrote the body, when, and under which settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The program's version, for the log.
    pub program: String,
    /// Wall time of writing, microseconds since 1970.
    pub written_us: u64,
    pub scope: SnapshotScope,
}

impl Header {
    /// Of a body that this program writes now.
    pub fn now(scope: SnapshotScope) -> Header {
        Header {
            program: env!("CARGO_PKG_VERSION").into(),
            written_us: wall_us(),
            scope,
        }
    }
}

/// Which proxy and which settings a snapshot is valid for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotScope {
    /// Whose it is, by [`ProxyIdentity::hash`]; `None` for what goes to the fleet's other proxies.
    pub owner: Option<[u8; 32]>,
    /// BLAKE3 of the settings in force.
    pub settings: [u8; 32],
}

impl SnapshotScope {
    /// For a file: valid only for the proxy that wrote it, under the very same settings.
    pub fn for_proxy(owner: &ProxyIdentity, settings: [u8; 32]) -> SnapshotScope {
        SnapshotScope {
            owner: Some(owner.hash()),
            settings,
        }
    }

    /// For another proxy of the fleet, where `settings` are those that the fleet shares.
    pub fn for_fleet(settings: [u8; 32]) -> SnapshotScope {
        SnapshotScope {
            owner: None,
            settings,
        }
    }
}

/// Which proxy of which deployment this is. Fleets on one machine may share a temporary folder and use equal names;
/// only one of them has the address, and discovery determines its backends.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyIdentity {
    pub name: String,
    /// Where its clients connect.
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
}

impl ProxyIdentity {
    /// Whose a snapshot is.
    pub fn hash(&self) -> [u8; 32] {
        hash(&serde_json::json!([self.name, self.listen, self.discovery]))
    }

    /// The name of a folder for processes that are this proxy, also while discovery moves.
    pub fn folder_name(&self) -> String {
        short(&hash(&serde_json::json!([self.name, self.listen])))
    }
}

fn hash(value: &serde_json::Value) -> [u8; 32] {
    *blake3::hash(value.to_string().as_bytes()).as_bytes()
}

/// Enough of a hash for the name of a file.
fn short(hash: &[u8; 32]) -> String {
    hex::encode(&hash[..SHORT_HASH_BYTES])
}

/// What survives a restart: the balancer's learned state by names, and the backends that operators disabled. The
/// endpoint list is not part of it: the platform provides it at each start as `known`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedState {
    /// By kind name.
    pub hardware_classes: Vec<(String, LearnedHardwareClass)>,
    /// Latency of served requests in seconds, by class name.
    pub classes: Vec<(String, SampledMean)>,
    /// The same over all classes.
    pub overall_latency: SampledMean,
    /// By backend name.
    pub backends: Vec<(String, LearnedBackend)>,
    /// Names of the backends that operators disabled.
    pub disabled: Vec<String>,
}

/// A snapshot: its header and what it restores.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub header: Header,
    pub saved: SavedState,
}

/// A snapshot that may be restored.
pub struct VerifiedSnapshot {
    pub snapshot: Snapshot,
    /// Time since it was written.
    pub age: Micros,
}

/// Why a snapshot is not used. Each is logged once, and the proxy starts cold.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// There is no file yet.
    #[error("no snapshot yet")]
    Missing,
    /// The file cannot be read.
    #[error("cannot read: {0}")]
    Unreadable(#[source] io::Error),
    /// The file ends before its prefix or its body does.
    #[error("cut short at {length_bytes} bytes")]
    Truncated { length_bytes: usize },
    /// The file does not begin with [`MAGIC`].
    #[error("magic {0:02x?}, not a snapshot")]
    Magic([u8; 4]),
    /// The file has another format version.
    #[error("format {0}, this program reads {FORMAT_VERSION}")]
    Format(u16),
    /// The body is longer than the prefix says.
    #[error("body of {found_bytes} bytes where the prefix says {stated_bytes}")]
    Length {
        stated_bytes: usize,
        found_bytes: usize,
    },
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("{0} bytes, over the {MAX_SNAPSHOT_BYTES} allowed")]
    TooLarge(usize),
    /// The body does not match its checksum.
    #[error("CRC {computed:08x} where {stored:08x} was stored")]
    Checksum { stored: u32, computed: u32 },
    /// The body cannot be encoded or decoded.
    #[error("body does not decode: {0}")]
    Body(#[source] postcard::Error),
    /// Another proxy wrote it.
    #[error("written by another proxy")]
    OtherProxy,
    /// It was written under other settings.
    #[error("written under other settings")]
    OtherSettings,
    /// It is older than the configuration allows.
    #[error("{:.1} s old, over {:.1} s", .age.as_secs_f64(), .max_age.as_secs_f64())]
    Stale { age: Micros, max_age: Micros },
    /// Its time of writing lies in the future by so much.
    #[error("written {:.1} s in the future", .0.as_secs_f64())]
    InFuture(Micros),
}

impl SnapshotError {
    /// A stable name for the log's `cause` field.
    pub fn cause(&self) -> &'static str {
        match self {
            SnapshotError::Missing => "missing",
            SnapshotError::Unreadable(_) => "unreadable",
            SnapshotError::Truncated { .. } => "truncated",
            SnapshotError::Magic(_) => "magic",
            SnapshotError::Format(_) => "format",
            SnapshotError::Length { .. } => "length",
            SnapshotError::TooLarge(_) => "too_large",
            SnapshotError::Checksum { .. } => "checksum",
            SnapshotError::Body(_) => "body",
            SnapshotError::OtherProxy => "owner",
            SnapshotError::OtherSettings => "settings",
            SnapshotError::Stale { .. } => "stale",
            SnapshotError::InFuture(_) => "ahead",
        }
    }
}

/// The keys of the settings that differ between the proxies of one fleet, which share what they learned under all the
/// others.
pub const PER_PROXY_SETTINGS: [&str; 2] = ["position", "my_zone"];

/// The file's bytes. Fails only where prefix and body are over [`MAX_SNAPSHOT_BYTES`], or encoding fails.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, SnapshotError> {
    let body = postcard::to_stdvec(snapshot).map_err(SnapshotError::Body)?;
    if PREFIX_BYTES + body.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(PREFIX_BYTES + body.len()));
    }
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// A snapshot from the file's bytes; any other bytes give the reason why not, never a panic.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let length_bytes = bytes.len();
    if length_bytes > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(length_bytes));
    }
    let (prefix, body) = bytes
        .split_at_checked(PREFIX_BYTES)
        .ok_or(SnapshotError::Truncated { length_bytes })?;
    let read_u32 = |at: usize| {
        u32::from_le_bytes([prefix[at], prefix[at + 1], prefix[at + 2], prefix[at + 3]])
    };
    let magic = [prefix[0], prefix[1], prefix[2], prefix[3]];
    if magic != MAGIC {
        return Err(SnapshotError::Magic(magic));
    }
    let format = u16::from_le_bytes([prefix[4], prefix[5]]);
    if format != FORMAT_VERSION {
        return Err(SnapshotError::Format(format));
    }
    let stated_bytes = read_u32(6) as usize;
    if stated_bytes > body.len() {
        return Err(SnapshotError::Truncated { length_bytes });
    }
    if stated_bytes < body.len() {
        return Err(SnapshotError::Length {
            stated_bytes,
            found_bytes: body.len(),
        });
    }
    let stored = read_u32(10);
    let computed = crc32fast::hash(body);
    if stored != computed {
        return Err(SnapshotError::Checksum { stored, computed });
    }
    postcard::from_bytes(body).map_err(SnapshotError::Body)
}

impl Snapshot {
    /// Verifies that the snapshot is valid in this scope and at most `max_age` old.
    pub fn verify(
        self,
        scope: &SnapshotScope,
        max_age: Micros,
    ) -> Result<VerifiedSnapshot, SnapshotError> {
        let age = check(&self.header, scope, wall_us(), max_age)?;
        Ok(VerifiedSnapshot {
            snapshot: self,
            age,
        })
    }
}

/// A snapshot's age at wall time `now_us`, if it is valid in this scope and at most `max_age` old.
fn check(
    header: &Header,
    scope: &SnapshotScope,
    now_us: u64,
    max_age: Micros,
) -> Result<Micros, SnapshotError> {
    if header.scope.owner != scope.owner {
        return Err(SnapshotError::OtherProxy);
    }
    if header.scope.settings != scope.settings {
        return Err(SnapshotError::OtherSettings);
    }
    // A clock may be set back a little after a power cut.
    let ahead = Micros(header.written_us.saturating_sub(now_us));
    if ahead > MAX_CLOCK_SETBACK {
        return Err(SnapshotError::InFuture(ahead));
    }
    let age = Micros(now_us.saturating_sub(header.written_us));
    if age > max_age {
        return Err(SnapshotError::Stale { age, max_age });
    }
    Ok(age)
}

/// The owner's file in `dir`.
pub fn path(dir: &Path, owner: &ProxyIdentity) -> PathBuf {
    dir.join(name(owner))
}

/// Each proxy has a file name of its own, as several may share a folder.
fn name(owner: &ProxyIdentity) -> String {
    format!("{FILE_NAME_PREFIX}-{}", short(&owner.hash()))
}

/// Reads and decodes the owner's file in `dir`, and never more of it than a snapshot may be long.
pub fn read(dir: &Path, owner: &ProxyIdentity) -> Result<Snapshot, SnapshotError> {
    let path = path(dir, owner);
    let read_file = || {
        if !fs::metadata(&path)?.is_file() {
            return Err(io::Error::other("not a file")); // a pipe there would hold up the start
        }
        let mut bytes = Vec::new();
        File::open(&path)?
            .take(MAX_SNAPSHOT_BYTES as u64 + 1)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    };
    match read_file() {
        Ok(bytes) => decode(&bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Err(SnapshotError::Missing),
        Err(e) => Err(SnapshotError::Unreadable(e)),
    }
}

/// Removes temporary files of the owner's writers that were killed while writing. Errors are ignored: such a file is
/// never read.
pub fn remove_temporary_files(dir: &Path, owner: &ProxyIdentity) {
    let own = name(owner) + ".";
    let files = fs::read_dir(dir).into_iter().flatten().flatten();
    let leftovers = files.filter(|e| {
        let name = e.file_name();
        let name = name.to_string_lossy();
        name.starts_with(&own) && name.ends_with(".part")
    });
    for leftover in leftovers {
        let _ = fs::remove_file(leftover.path());
    }
}

/// Replaces the owner's file in `dir` atomically: a crash at any point leaves the old file or the new one.
pub fn write(dir: &Path, owner: &ProxyIdentity, bytes: &[u8]) -> io::Result<()> {
    replace_file(dir, &name(owner), bytes)
}

/// Replaces a file of that name atomically.
pub fn replace_file(dir: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    let temporary = dir.join(format!("{name}.{}.part", std::process::id()));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, dir.join(name))?;
    // The rename is durable only once the folder is.
    File::open(dir)?.sync_all()
}

/// Wall time in microseconds since 1970; a clock before that reads as 0.
pub fn wall_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
