//! Checked snapshots of what this proxy learned, so that a start after a crash or a power cut is warm.
//!
//! The file is `PREFIX` then a body in postcard: the prefix is the magic `SHTS`, the format version (u16, little
//! endian), the body's length in bytes (u32) and its CRC-32 (u32). The body holds a [`Header`] and what was
//! [`Saved`]. A file is replaced whole: written beside, synced, renamed over, and the folder synced.

pub mod writer;

use meadowproxy::{LearnedBackend, LearnedKind, Micros, SampledMean};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MAGIC: [u8; 4] = *b"SHTS";
/// Raised whenever the body's shape changes; older and newer files are refused, not guessed at.
pub const FORMAT: u16 = 4;
const PREFIX: usize = 14;
/// Larger snapshots are neither written nor read: a proxy's memory limit is some hundred MB.
pub const MOST: usize = 1 << 20;
const NAME: &str = "snapshot";

/// Who wrote the body, when, and under which settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The program's version, for the log.
    pub program: String,
    /// Wall time of writing, microseconds since 1970.
    pub written_us: u64,
    pub stands: Stands,
}

impl Header {
    /// Of a body that this program writes now.
    pub fn now(stands: Stands) -> Header {
        Header {
            program: env!("CARGO_PKG_VERSION").into(),
            written_us: wall_us(),
            stands,
        }
    }
}

/// What a snapshot holds for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stands {
    /// Whose it is, by [`Owner::hash`]; `None` for what goes to the fleet's other proxies.
    pub owner: Option<[u8; 32]>,
    /// BLAKE3 of the settings in force.
    pub settings: [u8; 32],
}

impl Stands {
    /// For a file, which only its own proxy takes back, under the very same settings.
    pub fn own(owner: &Owner, settings: [u8; 32]) -> Stands {
        Stands {
            owner: Some(owner.hash()),
            settings,
        }
    }

    /// For another proxy of the fleet, where `settings` are those that the fleet shares.
    pub fn fleet(settings: [u8; 32]) -> Stands {
        Stands {
            owner: None,
            settings,
        }
    }
}

/// Which proxy of which deployment this is. Fleets on one machine may have one temporary folder and equal names; only
/// one of them has the address, and its discovery tells its backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    pub name: String,
    /// Where its clients connect.
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
}

impl Owner {
    pub fn hash(&self) -> [u8; 32] {
        hash(&serde_json::json!([self.name, self.listen, self.discovery]))
    }

    /// The name of a folder for processes that are this proxy, also while discovery moves.
    pub fn folder(&self) -> String {
        short(&hash(&serde_json::json!([self.name, self.listen])))
    }
}

fn hash(value: &serde_json::Value) -> [u8; 32] {
    *blake3::hash(value.to_string().as_bytes()).as_bytes()
}

/// Enough of a hash for the name of a file.
fn short(hash: &[u8; 32]) -> String {
    hex::encode(&hash[..16])
}

/// What is kept: the module's memory under names, and the bans by hand. The last list is not: the platform hands
/// it over at each start as `known`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    /// By kind name.
    pub kinds: Vec<(String, LearnedKind)>,
    /// Latency of served requests in seconds, by class name.
    pub classes: Vec<(String, SampledMean)>,
    /// The same over all classes.
    pub overall: SampledMean,
    /// By backend name.
    pub backends: Vec<(String, LearnedBackend)>,
    /// Backends out by hand, by name.
    pub withdrawn: Vec<String>,
}

/// A whole snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub header: Header,
    pub saved: Saved,
}

/// Why a snapshot is not used. Each is logged once, and the proxy starts cold.
#[derive(Debug)]
pub enum Refused {
    Missing,
    Unreadable(io::Error),
    Short { length: usize },
    Magic([u8; 4]),
    Format(u16),
    Length { said: usize, found: usize },
    TooLarge(usize),
    Checksum { stored: u32, computed: u32 },
    Body(postcard::Error),
    Owner,
    Settings,
    Stale { age: Micros, most: Micros },
    Ahead(Micros),
}

impl Refused {
    /// A stable name for the log's `cause` field.
    pub fn cause(&self) -> &'static str {
        match self {
            Refused::Missing => "missing",
            Refused::Unreadable(_) => "unreadable",
            Refused::Short { .. } => "truncated",
            Refused::Magic(_) => "magic",
            Refused::Format(_) => "format",
            Refused::Length { .. } => "length",
            Refused::TooLarge(_) => "too_large",
            Refused::Checksum { .. } => "checksum",
            Refused::Body(_) => "body",
            Refused::Owner => "owner",
            Refused::Settings => "settings",
            Refused::Stale { .. } => "stale",
            Refused::Ahead(_) => "ahead",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Missing => write!(f, "no snapshot yet"),
            Refused::Unreadable(e) => write!(f, "cannot read: {e}"),
            Refused::Short { length } => write!(f, "cut short at {length} bytes"),
            Refused::Magic(m) => write!(f, "magic {m:02x?}, not a snapshot"),
            Refused::Format(v) => write!(f, "format {v}, this program reads {FORMAT}"),
            Refused::Length { said, found } => {
                write!(f, "body of {found} bytes where the prefix says {said}")
            }
            Refused::TooLarge(n) => write!(f, "{n} bytes, over the {MOST} allowed"),
            Refused::Checksum { stored, computed } => {
                write!(f, "CRC {computed:08x} where {stored:08x} was stored")
            }
            Refused::Body(e) => write!(f, "body does not decode: {e}"),
            Refused::Owner => write!(f, "written by another proxy"),
            Refused::Settings => write!(f, "written under other settings"),
            Refused::Stale { age, most } => {
                write!(
                    f,
                    "{:.1} s old, over {:.1} s",
                    age.as_secs_f64(),
                    most.as_secs_f64()
                )
            }
            Refused::Ahead(by) => write!(f, "written {:.1} s in the future", by.as_secs_f64()),
        }
    }
}

impl std::error::Error for Refused {}

/// The keys of the settings that differ between the proxies of one fleet, which share what they learned under all the
/// others.
pub const OWN: [&str; 2] = ["position", "my_zone"];

/// The file's bytes. Fails only where the body is over [`MOST`].
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, Refused> {
    let body = postcard::to_stdvec(snapshot).map_err(Refused::Body)?;
    if PREFIX + body.len() > MOST {
        return Err(Refused::TooLarge(PREFIX + body.len()));
    }
    let mut bytes = Vec::with_capacity(PREFIX + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// A snapshot from the file's bytes; any other bytes give the reason why not, never a panic.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, Refused> {
    let length = bytes.len();
    if length > MOST {
        return Err(Refused::TooLarge(length));
    }
    let (prefix, body) = bytes
        .split_at_checked(PREFIX)
        .ok_or(Refused::Short { length })?;
    let word = |at: usize| {
        u32::from_le_bytes([prefix[at], prefix[at + 1], prefix[at + 2], prefix[at + 3]])
    };
    let magic = [prefix[0], prefix[1], prefix[2], prefix[3]];
    if magic != MAGIC {
        return Err(Refused::Magic(magic));
    }
    let format = u16::from_le_bytes([prefix[4], prefix[5]]);
    if format != FORMAT {
        return Err(Refused::Format(format));
    }
    let said = word(6) as usize;
    if said > body.len() {
        return Err(Refused::Short { length });
    } else if said < body.len() {
        return Err(Refused::Length {
            said,
            found: body.len(),
        });
    }
    let (stored, computed) = (word(10), crc32fast::hash(body));
    if stored != computed {
        return Err(Refused::Checksum { stored, computed });
    }
    postcard::from_bytes(body).map_err(Refused::Body)
}

impl Snapshot {
    /// It and its age, if it stands for the same and is at most `most` old.
    pub fn checked(self, stands: &Stands, most: Micros) -> Result<(Snapshot, Micros), Refused> {
        let age = check(&self.header, stands, wall_us(), most)?;
        Ok((self, age))
    }
}

/// Its age at wall time `now_us`, if it stands for the same and is at most `most` old.
fn check(header: &Header, stands: &Stands, now_us: u64, most: Micros) -> Result<Micros, Refused> {
    if header.stands.owner != stands.owner {
        return Err(Refused::Owner);
    }
    if header.stands.settings != stands.settings {
        return Err(Refused::Settings);
    }
    // A clock set back by a little after a power cut is no reason to refuse; one far ahead is.
    let ahead = Micros(header.written_us.saturating_sub(now_us));
    if ahead > Micros::from_secs_f64(1.0) {
        return Err(Refused::Ahead(ahead));
    }
    let age = Micros(now_us.saturating_sub(header.written_us));
    if age > most {
        return Err(Refused::Stale { age, most });
    }
    Ok(age)
}

/// The owner's file in `dir`.
pub fn path(dir: &Path, owner: &Owner) -> PathBuf {
    dir.join(name(owner))
}

/// Proxies that share a folder never write over each other's files.
fn name(owner: &Owner) -> String {
    format!("{NAME}-{}", short(&owner.hash()))
}

/// Reads and decodes the owner's file in `dir`, and never more of it than a snapshot may be long.
pub fn read(dir: &Path, owner: &Owner) -> Result<Snapshot, Refused> {
    let path = path(dir, owner);
    let whole = || {
        if !fs::metadata(&path)?.is_file() {
            return Err(io::Error::other("not a file")); // a pipe there would hold up the start
        }
        let mut bytes = Vec::new();
        File::open(&path)?
            .take(MOST as u64 + 1)
            .read_to_end(&mut bytes)?;
        Ok(bytes)
    };
    match whole() {
        Ok(bytes) => decode(&bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Err(Refused::Missing),
        Err(e) => Err(Refused::Unreadable(e)),
    }
}

/// Removes what the owner's writers killed half way left behind; what cannot be removed stays, harmless.
pub fn sweep(dir: &Path, owner: &Owner) {
    let own = name(owner) + ".";
    let files = fs::read_dir(dir).into_iter().flatten().flatten();
    let torn = files.filter(|e| {
        let name = e.file_name();
        let name = name.to_string_lossy();
        name.starts_with(&own) && name.ends_with(".part")
    });
    torn.for_each(|e| drop(fs::remove_file(e.path())));
}

/// Replaces the owner's file in `dir` whole: a crash at any point leaves the old file or the new one.
pub fn write(dir: &Path, owner: &Owner, bytes: &[u8]) -> io::Result<()> {
    replace(dir, &name(owner), bytes)
}

/// Replaces a file of that name whole.
pub fn replace(dir: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
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
