//! The file format of snapshots of the proxy's learned state, with which the proxy starts warm after a restart, a crash
//! or a power failure.
//!
//! A file consists of a prefix of [`PREFIX_BYTES`] bytes and a body in postcard encoding. The prefix is the magic
//! `SHTS`, the format version (u16), the body's length in bytes (u32) and its CRC-32 (u32), all little endian. The body
//! is a [`Snapshot`]: a [`Header`] and a [`SavedState`]. Snapshots that the proxies of a fleet send each other have the
//! same encoding.
//!
//! Files are replaced atomically: [`write()`] writes a temporary file, syncs it, renames it and syncs the folder.

use meadowproxy::{LearnedBackend, LearnedHardwareClass, Micros, SampledMean};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first bytes of each file. They derive from the program's former name, and stay so that old files can be read.
const MAGIC: [u8; 4] = *b"SHTS";
/// The format version. It is incremented whenever the body's structure changes; files of all other versions are
/// rejected.
pub const FORMAT_VERSION: u16 = 4;
const PREFIX_BYTES: usize = 14;
/// The maximum size of a snapshot with its prefix. Larger ones are neither written nor read, as a proxy's memory limit
/// is only a few hundred MB.
pub const MAX_SNAPSHOT_BYTES: usize = 1 << 20;
const FILE_NAME_PREFIX: &str = "snapshot";
/// How far the clock may have been set back since a snapshot was written; one from further in the future is rejected.
const MAX_CLOCK_SETBACK: Micros = Micros(1_000_000);
/// The number of a hash's bytes in the name of a file or folder.
const SHORT_HASH_BYTES: usize = 16;

/// The metadata of a snapshot: by which program it was written, when, and for which proxy and settings it is valid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The program's version, for the log.
    pub program: String,
    /// Wall-clock time of writing, in microseconds since 1970.
    pub written_us: u64,
    pub scope: SnapshotScope,
}

impl Header {
    /// Creates the header of a snapshot that this program writes now.
    pub fn now(scope: SnapshotScope) -> Header {
        Header {
            program: env!("CARGO_PKG_VERSION").into(),
            written_us: wall_us(),
            scope,
        }
    }
}

/// The proxy and the settings for which a snapshot is valid.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotScope {
    /// The [`ProxyIdentity::hash`] of the proxy; `None` if the snapshot is sent to the fleet's other proxies.
    pub owner: Option<[u8; 32]>,
    /// BLAKE3 of the settings in force.
    pub settings: [u8; 32],
}

impl SnapshotScope {
    /// Creates the scope of a file, which is valid only for the proxy that wrote it and under exactly these settings.
    pub fn for_proxy(owner: &ProxyIdentity, settings: [u8; 32]) -> SnapshotScope {
        SnapshotScope {
            owner: Some(owner.hash()),
            settings,
        }
    }

    /// Creates the scope of a snapshot for other proxies of the fleet. `settings` is the digest of the settings that
    /// the fleet shares.
    pub fn for_fleet(settings: [u8; 32]) -> SnapshotScope {
        SnapshotScope {
            owner: None,
            settings,
        }
    }
}

/// Identifies a proxy of a deployment. The name alone does not: fleets on one machine may share a temporary folder and
/// use the same names. Only one proxy can listen on an address, and discovery determines its backends.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyIdentity {
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: Option<SocketAddr>,
}

impl ProxyIdentity {
    /// Returns the hash that identifies the owner of a snapshot.
    pub fn hash(&self) -> [u8; 32] {
        hash(&serde_json::json!([self.name, self.listen, self.discovery]))
    }

    /// Returns the name of the folder that the processes of this proxy share. It does not depend on discovery's
    /// address, which can differ between two processes while discovery moves.
    pub fn folder_name(&self) -> String {
        short_hex(&hash(&serde_json::json!([self.name, self.listen])))
    }
}

fn hash(value: &serde_json::Value) -> [u8; 32] {
    *blake3::hash(value.to_string().as_bytes()).as_bytes()
}

/// Returns the first bytes of a hash in hex, for the name of a file or folder.
fn short_hex(hash: &[u8; 32]) -> String {
    hex::encode(&hash[..SHORT_HASH_BYTES])
}

/// The state that survives a restart: the balancer's learned state, with names instead of ids, and the backends that
/// operators disabled. The endpoint list is not part of it, as the platform provides it at each start as `known`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedState {
    /// The learned state of hardware classes, by name.
    pub hardware_classes: Vec<(String, LearnedHardwareClass)>,
    /// Mean latency of served requests in seconds, by request class name.
    pub classes: Vec<(String, SampledMean)>,
    /// Mean latency of served requests of all classes in seconds.
    pub overall_latency: SampledMean,
    /// The learned state of backends, by name.
    pub backends: Vec<(String, LearnedBackend)>,
    /// Names of the backends that operators disabled.
    pub disabled: Vec<String>,
}

/// A snapshot: its header and the saved state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub header: Header,
    pub saved: SavedState,
}

/// A snapshot that was verified to be valid for this proxy.
pub struct VerifiedSnapshot {
    pub snapshot: Snapshot,
    /// Time since it was written.
    pub age: Micros,
}

/// Reasons for which a snapshot is not written or not used. An unused one is logged, and the proxy starts cold.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The file does not exist.
    #[error("the file does not exist")]
    Missing,
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(#[source] io::Error),
    /// The snapshot ends within its prefix or its body.
    #[error("truncated: ends after {length_bytes} bytes")]
    Truncated { length_bytes: usize },
    /// The snapshot does not start with [`MAGIC`].
    #[error("not a snapshot: starts with {0:02x?}, expected {MAGIC:02x?}")]
    Magic([u8; 4]),
    /// The snapshot has another format version than [`FORMAT_VERSION`].
    #[error("format version {0}, this program reads version {FORMAT_VERSION}")]
    Format(u16),
    /// The body is longer than the prefix states.
    #[error("the body has {found_bytes} bytes, but the prefix states {stated_bytes}")]
    Length {
        stated_bytes: usize,
        found_bytes: usize,
    },
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`]. Of a file, at most one byte more than that was read.
    #[error("{0} bytes, more than the {MAX_SNAPSHOT_BYTES} allowed")]
    TooLarge(usize),
    /// The body does not match its checksum.
    #[error("the body's CRC-32 is {computed:08x}, but the prefix states {stored:08x}")]
    Checksum { stored: u32, computed: u32 },
    /// The body cannot be encoded or decoded.
    #[error("invalid body: {0}")]
    Body(#[source] postcard::Error),
    /// The snapshot was written by another proxy.
    #[error("written by another proxy")]
    OtherProxy,
    /// The snapshot was written under other settings.
    #[error("written under other settings")]
    OtherSettings,
    /// The snapshot is older than the configuration allows.
    #[error("{:.1} s old, more than the {:.1} s allowed", .age.as_secs_f64(), .max_age.as_secs_f64())]
    Stale { age: Micros, max_age: Micros },
    /// The snapshot was written further in the future than [`MAX_CLOCK_SETBACK`]. The value is how far.
    #[error("written {:.1} s in the future", .0.as_secs_f64())]
    InFuture(Micros),
}

impl SnapshotError {
    /// Returns the stable name of the error for the log's field `cause`.
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

/// The keys of the settings that may differ between the proxies of a fleet. Proxies share learned state if all other
/// settings are equal.
pub const PER_PROXY_SETTINGS: [&str; 2] = ["position", "my_zone"];

/// Encodes a snapshot. Returns an error if it is larger than [`MAX_SNAPSHOT_BYTES`] with its prefix, or if postcard
/// cannot encode it.
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

/// Decodes a snapshot. Returns an error for any invalid bytes and never panics.
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
    /// Verifies that the snapshot is valid for this scope and at most `max_age` old.
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

/// Returns a snapshot's age at the wall-clock time `now_us`, or an error unless the snapshot is valid for this scope
/// and at most `max_age` old.
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
    // The clock may have been set back slightly after a power failure.
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

/// Returns the path of the owner's file in `dir`.
pub fn file_path(dir: &Path, owner: &ProxyIdentity) -> PathBuf {
    dir.join(file_name(owner))
}

/// Returns the name of the owner's file. It is unique to the proxy, as several proxies may share a folder.
fn file_name(owner: &ProxyIdentity) -> String {
    format!("{FILE_NAME_PREFIX}-{}", short_hex(&owner.hash()))
}

/// Reads and decodes the owner's file in `dir`. Reads at most one byte more than [`MAX_SNAPSHOT_BYTES`], so that a
/// large file does not fill the memory.
pub fn read(dir: &Path, owner: &ProxyIdentity) -> Result<Snapshot, SnapshotError> {
    let path = file_path(dir, owner);
    let read_file = || {
        if !fs::metadata(&path)?.is_file() {
            return Err(io::Error::other("not a regular file")); // opening a pipe would block the start
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

/// Removes the temporary files of the owner's processes that were killed while writing. Errors are ignored, as
/// temporary files are never read.
pub fn remove_temporary_files(dir: &Path, owner: &ProxyIdentity) {
    let own = file_name(owner) + ".";
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

/// Replaces the owner's file in `dir` atomically: after a crash at any point, either the old or the new file is there.
pub fn write(dir: &Path, owner: &ProxyIdentity, bytes: &[u8]) -> io::Result<()> {
    replace_file(dir, &file_name(owner), bytes)
}

/// Replaces the file `name` in `dir` atomically, and creates the folder if it does not exist.
pub fn replace_file(dir: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    let temporary = dir.join(format!("{name}.{}.part", std::process::id()));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, dir.join(name))?;
    // The rename survives a power failure only once the folder is synced.
    File::open(dir)?.sync_all()
}

/// Returns the wall-clock time in microseconds since 1970, or 0 if the clock is set to an earlier time.
pub fn wall_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as u64)
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
