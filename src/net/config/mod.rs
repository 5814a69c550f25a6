//! The configuration: what this proxy is told at its start, as JSON by the platform or as TOML by operators.

pub mod overlay;
pub mod reload;

use crate::net::discovery::endpoint_list::{Lines, List, Pieces};
use crate::net::state::snapshot;
use meadowproxy::fleet::config::MOST_NUMBER;
use meadowproxy::fleet::lease;
use meadowproxy::settings::{sift, Change, InForce, Lists, Reading, Settings, Sink};
use meadowproxy::Micros;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// A longer file is refused: five times a fleet of 25,000 backends, 21,000 classes and 130,000 tenants.
const MOST: u64 = 64 * 1024 * 1024;
const READ_AT_ONCE: usize = 32 * 1024;

/// Where the configuration comes from.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// Its file.
    pub file: Option<PathBuf>,
    /// What is put into it after reading.
    pub sets: Vec<Set>,
}

/// One value at a path, such as `settings.profiles[0].aim_us=400000`.
#[derive(Clone, Debug, PartialEq)]
pub struct Set {
    path: String,
    value: Value,
}

impl FromStr for Set {
    type Err = String;

    /// The value is JSON where it reads as such, else text.
    fn from_str(text: &str) -> Result<Set, String> {
        let (path, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
        if path.is_empty() || path.split(['.', '[']).any(str::is_empty) {
            return Err("expected a dotted path before the =".into());
        }
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.into()));
        Ok(Set {
            path: path.into(),
            value,
        })
    }
}

impl Set {
    /// Puts the value in its place; tables on the way are made, items of lists are not.
    fn put(&self, whole: &mut Value) -> Result<(), String> {
        let mut at = whole;
        for part in self.path.split(['.', '[']) {
            let index = part.strip_suffix(']').and_then(|n| n.parse::<usize>().ok());
            at = match (index, at) {
                (Some(n), Value::Array(items)) => items.get_mut(n),
                (None, Value::Object(keys)) => Some(
                    keys.entry(part)
                        .or_insert_with(|| Value::Object(Default::default())),
                ),
                _ => None,
            }
            .ok_or_else(|| format!("--set {}: there is no {part}", self.path))?;
        }
        *at = self.value.clone();
        Ok(())
    }
}

/// The list at hand at the start, which a file read again leaves alone.
#[derive(Default)]
pub struct Known {
    pub index: u64,
    pub lines: Pieces,
}

/// Everything that the program starts with.
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    /// Where discovery is; without it the list at hand stands.
    pub discovery: Option<SocketAddr>,
    /// Where the operators' door is, if there is one.
    pub control: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The list as this proxy last had it.
    pub known: Known,
    /// Digest of the settings.
    pub settings: [u8; 32],
    /// The same of what the proxies of one fleet share of them.
    pub shared: [u8; 32],
    /// The file contains the changes of the fleet's configuration up to this one, 0 for none.
    pub version: u64,
    /// All keys of the file but those inside lists.
    pub keys: BTreeSet<String>,
    /// Where and how often what was learned is kept; without it nothing is.
    pub snapshot: Option<Snapshots>,
    /// How state is shared with other proxies; without it none is.
    pub peers: Option<Sharing>,
    /// What the fleet's proxies decide together; without it nothing.
    pub duties: Option<Voting>,
}

/// `snapshot` in the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshots {
    /// The folder of the file; made where it is missing.
    pub dir: std::path::PathBuf,
    /// Milliseconds between two writes.
    #[serde(default = "Snapshots::every_ms")]
    pub every_ms: u64,
    /// Seconds after which a snapshot is refused.
    #[serde(default = "Snapshots::max_age_s")]
    pub max_age_s: f64,
}

/// `peers` in the configuration: state shared with the fleet's other proxies.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Where this proxy takes datagrams (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it; without it the address that it listens at.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// The fleet's name: datagrams of others are refused.
    pub cluster: String,
    /// Members to join through, this one or not.
    pub seeds: Vec<SocketAddr>,
    /// Seconds after which a shared fact is neither used nor passed on.
    #[serde(default = "Sharing::max_age_s")]
    pub max_age_s: f64,
}

impl Sharing {
    fn max_age_s() -> f64 {
        5.0
    }
}

/// `duties` in the configuration: leases between proxies and the calendar of windows.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Voting {
    /// The advertised addresses of the members that vote: 1, 3, 5 or 7.
    pub voters: Vec<SocketAddr>,
    /// Milliseconds that a holding lasts unless it is renewed.
    #[serde(default = "Voting::lease_ms")]
    pub lease_ms: u64,
    /// Clock rates differ from true time by this part at most.
    #[serde(default = "Voting::drift")]
    pub drift: f64,
    /// The share of each kind's capacity below which no window drains.
    #[serde(default = "Voting::floor")]
    pub floor: f64,
    /// The same of each zone; without it `floor`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone_floor: Option<f64>,
}

impl Voting {
    fn lease_ms() -> u64 {
        3000
    }
    fn drift() -> f64 {
        0.01
    }
    fn floor() -> f64 {
        0.5
    }

    /// What all voters and candidates agree on.
    pub fn leases(&self) -> Result<lease::Rules, lease::RulesError> {
        lease::Rules::new(
            self.voters.len(),
            Micros(self.lease_ms.saturating_mul(1000)),
            self.drift,
        )
    }

    /// The first thing that is wrong, if any.
    fn check(&self, peers: Option<&Sharing>) -> Result<(), String> {
        let peers =
            peers.ok_or("peers is missing: duties are kept between the proxies of a fleet")?;
        if peers.max_age_s < Voting::LEAST_AGE_S {
            // A holder says that it is there each second: its word would be too old before the next one comes.
            return Err(format!(
                "peers.max_age_s: expected at least {} with duties",
                Voting::LEAST_AGE_S
            ));
        }
        let distinct: BTreeSet<&SocketAddr> = self.voters.iter().collect();
        if distinct.len() < self.voters.len() {
            return Err("voters: an address stands twice".into());
        }
        if self.lease_ms < Voting::LEAST_LEASE_MS {
            return Err(format!(
                "lease_ms: expected at least {}",
                Voting::LEAST_LEASE_MS
            ));
        }
        for (key, floor) in [("floor", Some(self.floor)), ("zone_floor", self.zone_floor)] {
            if floor.is_some_and(|floor| !(0.0..=1.0).contains(&floor)) {
                return Err(format!("{key}: expected from 0 to 1"));
            }
        }
        self.leases().map(drop).map_err(|e| e.to_string())
    }

    /// Below this a lease would end between two turns of the worker that renews it.
    const LEAST_LEASE_MS: u64 = 500;
    const LEAST_AGE_S: f64 = 3.0;
}

impl Default for Snapshots {
    fn default() -> Snapshots {
        Snapshots {
            dir: Default::default(),
            every_ms: Snapshots::every_ms(),
            max_age_s: Snapshots::max_age_s(),
        }
    }
}

impl Snapshots {
    fn every_ms() -> u64 {
        2000
    }
    fn max_age_s() -> f64 {
        300.0
    }
}

/// Why there is no usable configuration.
#[derive(Debug)]
pub enum NodeError {
    Unset,
    Unreadable(PathBuf, std::io::Error),
    Malformed(PathBuf, String),
    Control(String),
    Set(String),
    Unknown(Vec<String>),
    Settings(String),
    Duties(String),
    Version(String),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Unset => {
                write!(
                    f,
                    "NODE_CONFIG is not set: expected the path of the configuration there, or --config FILE"
                )
            }
            NodeError::Unreadable(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            NodeError::Malformed(path, e) => write!(f, "{}: {e}", path.display()),
            NodeError::Control(text) => {
                write!(f, "NODE_CONTROL={text}: expected an address and a port")
            }
            NodeError::Set(text) => write!(f, "{text}"),
            NodeError::Unknown(keys) => write!(f, "unknown: {}", keys.join(", ")),
            NodeError::Settings(text) => write!(f, "settings: {text}"),
            NodeError::Duties(text) => write!(f, "duties: {text}"),
            NodeError::Version(text) => write!(f, "version: {text}"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The file's schema.
#[derive(Deserialize, Serialize)]
struct File {
    name: String,
    /// Up to this one the file contains the changes of the fleet's configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    listen: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    discovery: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    control: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Value,
    #[serde(skip_serializing_if = "Option::is_none")]
    snapshot: Option<Snapshots>,
    #[serde(skip_serializing_if = "Option::is_none")]
    peers: Option<Sharing>,
    #[serde(skip_serializing_if = "Option::is_none")]
    duties: Option<Voting>,
}

impl File {
    /// Checks what concerns the fleet.
    fn check(&self) -> Result<(), NodeError> {
        if self.version.is_some_and(|version| version >= MOST_NUMBER) {
            return Err(NodeError::Version(format!(
                "expected a version of the configuration, below {MOST_NUMBER}"
            )));
        }
        let checked = self
            .duties
            .as_ref()
            .map_or(Ok(()), |duties| duties.check(self.peers.as_ref()));
        checked.map_err(NodeError::Duties)
    }
}

#[derive(Deserialize, Serialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
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

/// The paths of all keys. The door and the version may come and go; all else that stood in a file belongs in the next.
fn collect(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    for (name, inner) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        collect(inner, &path, keys);
        if path != "control" && path != "version" {
            keys.insert(path);
        }
    }
}

/// A file that has the schema's shape, and its keys that the schema does not know.
struct Parsed {
    /// Without the settings and the list at hand.
    file: File,
    known: Known,
    settings: Settings,
    keys: BTreeSet<String>,
    unknown: Vec<String>,
}

fn is_toml(path: &Path) -> bool {
    path.extension().is_some_and(|e| e == "toml")
}

/// A file's bytes as they are read: text, and never more of it than a configuration may be long.
struct Text<R> {
    inner: R,
    left: u64,
    /// The first bytes of a character whose others are still to come.
    begun: Vec<u8>,
}

impl Text<fs::File> {
    fn open(path: &Path) -> io::Result<Text<fs::File>> {
        Ok(Text {
            inner: fs::File::open(path)?,
            left: MOST,
            begun: Vec::new(),
        })
    }
}

impl<R: Read> Text<R> {
    /// Goes on with a piece; false where it cannot be text.
    fn goes_on(&mut self, piece: &[u8]) -> bool {
        let joined = [&self.begun[..], piece].concat();
        let (sound, broken) = match std::str::from_utf8(&joined) {
            Ok(_) => (joined.len(), false),
            Err(e) => (e.valid_up_to(), e.error_len().is_some() || piece.is_empty()),
        };
        self.begun = joined[sound..].to_vec();
        !broken
    }
}

impl<R: Read> Read for Text<R> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let length = self.inner.read(to)?;
        self.left = match self.left.checked_sub(length as u64) {
            Some(left) => left,
            None => return Err(io::Error::other(format!("over {MOST} bytes"))),
        };
        match self.goes_on(&to[..length]) {
            true => Ok(length),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "stream did not contain valid UTF-8",
            )),
        }
    }
}

/// The whole of it.
fn text(path: &Path) -> Result<String, NodeError> {
    let mut text = String::new();
    let read = Text::open(path).and_then(|mut file| file.read_to_string(&mut text));
    read.map(|_| text)
        .map_err(|e| NodeError::Unreadable(path.into(), e))
}

/// JSON as it is read, with its long lists taken out: the text is never in memory as a whole.
fn stream(path: &Path, long: &mut Long) -> Result<Value, NodeError> {
    let unreadable = |e| NodeError::Unreadable(path.into(), e);
    let file = Text::open(path).map_err(unreadable)?;
    let mut reader =
        serde_json::Deserializer::from_reader(io::BufReader::with_capacity(READ_AT_ONCE, file));
    let sifted = sift(&mut reader, long).and_then(|value| reader.end().map(|()| value));
    sifted.map_err(|e| match e.is_io() {
        true => unreadable(e.into()),
        false => NodeError::Malformed(path.into(), e.to_string()),
    })
}

/// The file's value with what is put into it.
fn whole(source: &Source, path: &Path) -> Result<Value, NodeError> {
    let text = text(path)?;
    let malformed = |e: String| NodeError::Malformed(path.into(), e);
    let mut whole: Value = match is_toml(path) {
        true => toml::from_str(&text).map_err(|e| malformed(e.to_string()))?,
        false => serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?,
    };
    source
        .sets
        .iter()
        .try_for_each(|set| set.put(&mut whole))
        .map_err(NodeError::Set)?;
    Ok(whole)
}

/// The file's long lists on their way in.
struct Long {
    settings: Lists,
    /// `known.endpoints`, where they are wanted.
    endpoints: Option<Lines>,
}

impl Long {
    const ENDPOINTS: &'static str = "known.endpoints";
    const SETTINGS: &'static str = "settings.";
    const PATHS: [&'static str; 3] = [Long::ENDPOINTS, "settings.profiles", "settings.customers"];
}

impl Sink for Long {
    fn lists(&self) -> &[&'static str] {
        &Long::PATHS
    }
    fn begin(&mut self, list: &'static str) {
        match list.strip_prefix(Long::SETTINGS) {
            Some(list) => self.settings.begin(list),
            None => self
                .endpoints
                .iter_mut()
                .for_each(|lines| *lines = Lines::default()),
        }
    }
    fn item(&mut self, list: &'static str, item: Value) {
        match (list.strip_prefix(Long::SETTINGS), &mut self.endpoints) {
            (Some(list), _) => self.settings.item(list, &item),
            (None, Some(lines)) => lines.read(&item),
            (None, None) => {}
        }
    }
}

/// What is wanted of a file.
#[derive(Clone, Copy)]
enum Want<'a> {
    /// Its errors.
    Errors,
    /// All.
    Start,
    /// All but the list at hand, over the settings in force.
    Again(&'a InForce),
}

fn shape(whole: Value, path: &Path, unknown: &mut Vec<String>) -> Result<File, NodeError> {
    let malformed = |e: String| NodeError::Malformed(path.into(), e);
    let mut ignored = |key: serde_ignored::Path<'_>| unknown.push(key.to_string());
    let reader = serde_ignored::Deserializer::new(whole, &mut ignored);
    serde_path_to_error::deserialize(reader).map_err(|e| match e.path().to_string().as_str() {
        "." => malformed(e.inner().to_string()),
        at => malformed(format!("{at}: {}", e.inner())),
    })
}

fn parse(source: &Source, want: Want<'_>) -> Result<Parsed, NodeError> {
    let path = source.file.as_ref().ok_or(NodeError::Unset)?;
    // The platform's file holds more than a proxy needs; what operators write themselves is meant to count.
    let strict = is_toml(path) || !source.sets.is_empty();
    let reading = Reading {
        strict,
        digested: !matches!(want, Want::Errors),
    };
    let lists = match want {
        Want::Again(in_force) => Lists::over(reading, in_force),
        Want::Errors | Want::Start => Lists::new(reading),
    };
    let mut long = Long {
        settings: lists,
        endpoints: matches!(want, Want::Start).then(Lines::default),
    };
    let slim = match strict {
        true => {
            let sifted = sift(whole(source, path)?, &mut long);
            sifted.map_err(|e| NodeError::Malformed(path.clone(), e.to_string()))?
        }
        false => stream(path, &mut long)?,
    };
    let mut keys = BTreeSet::new();
    collect(&slim, "", &mut keys);
    let mut unknown = Vec::new();
    let mut file = shape(slim, path, &mut unknown)?;
    let known = Known {
        index: file.known.index,
        lines: long.endpoints.map_or_else(Pieces::default, Lines::told),
    };
    let settings = Settings::new(std::mem::take(&mut file.settings), long.settings);
    if strict {
        unknown.extend(
            settings
                .unknown()
                .into_iter()
                .map(|key| format!("settings.{key}")),
        );
    }
    if !is_toml(path) {
        unknown.retain(|key| source.sets.iter().any(|set| set.path == *key));
    }
    Ok(Parsed {
        file,
        known,
        settings,
        keys,
        unknown,
    })
}

/// Every error of a configuration, one a line; empty where it can be run.
pub fn check(source: &Source) -> Vec<String> {
    let parsed = match parse(source, Want::Errors) {
        Ok(parsed) => parsed,
        Err(e) => return vec![e.to_string()],
    };
    let mut errors: Vec<String> = parsed
        .unknown
        .iter()
        .map(|key| format!("{key}: unknown key"))
        .collect();
    let found = parsed
        .settings
        .errors()
        .into_iter()
        .chain(seed(&parsed.file.seed).err());
    errors.extend(found.map(|e| NodeError::Settings(e).to_string()));
    errors.extend(parsed.file.check().err().map(|e| e.to_string()));
    errors
}

/// The configuration in force as TOML, with its defaults.
pub fn show(source: &Source) -> Result<String, NodeError> {
    let path = source.file.as_ref().ok_or(NodeError::Unset)?;
    let file = shape(whole(source, path)?, path, &mut Vec::new())?;
    let failed = |e: String| NodeError::Malformed(path.clone(), e);
    // Through a table, which puts plain values before the tables inside it.
    let table = toml::Table::try_from(&file).map_err(|e| failed(e.to_string()))?;
    toml::to_string_pretty(&table).map_err(|e| failed(e.to_string()))
}

fn seed(value: &Value) -> Result<u64, String> {
    let hex = value.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    hex.or(value.as_u64())
        .ok_or_else(|| "seed: expected a number or up to 16 hex digits".into())
}

/// A configuration that was read again, and what it makes of the settings in force.
pub struct Again {
    pub node: Node,
    pub change: Result<Change, String>,
}

impl Node {
    /// Reads the file again. One that lacks what stood in it before is not whole.
    pub fn read_again(
        source: &Source,
        keys: &BTreeSet<String>,
        in_force: &InForce,
    ) -> Result<Again, NodeError> {
        if let Some(path) = source
            .file
            .as_ref()
            .filter(|path| path.exists() && !path.is_file())
        {
            // A pipe would hold up all that runs until somebody writes to it.
            return Err(NodeError::Unreadable(
                path.clone(),
                io::Error::other("not a file"),
            ));
        }
        let (node, settings) = Node::parsed(parse(source, Want::Again(in_force))?)?;
        match keys.difference(&node.keys).next() {
            Some(key) => Err(NodeError::Settings(format!("{key}: missing"))),
            None => Ok(Again {
                node,
                change: in_force.change(&settings),
            }),
        }
    }

    /// Reads the file, and the settings that it puts in force at the start.
    pub fn read(source: &Source) -> Result<(Node, InForce), NodeError> {
        let (node, settings) = Node::parsed(parse(source, Want::Start)?)?;
        let in_force = InForce::first(&settings).map_err(NodeError::Settings)?;
        Ok((node, in_force))
    }

    fn parsed(parsed: Parsed) -> Result<(Node, Settings), NodeError> {
        let Parsed {
            file,
            known,
            settings,
            keys,
            unknown,
        } = parsed;
        if !unknown.is_empty() {
            return Err(NodeError::Unknown(unknown));
        }
        file.check()?;
        // Two processes may read one file: what only this one is told comes first.
        let control = match std::env::var("NODE_CONTROL") {
            Ok(text) if !text.is_empty() => {
                Some(text.parse().map_err(|_| NodeError::Control(text))?)
            }
            _ => file.control,
        };
        let snapshot = match std::env::var_os("NODE_SNAPSHOT") {
            Some(dir) if !dir.is_empty() => Some(Snapshots {
                dir: dir.into(),
                ..file.snapshot.unwrap_or_default()
            }),
            _ => file.snapshot,
        };
        settings
            .first_error()
            .map_or(Ok(()), Err)
            .map_err(NodeError::Settings)?;
        let node = Node {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            control,
            seed: seed(&file.seed).map_err(NodeError::Settings)?,
            sockets: file.limits.sockets.max(64),
            known,
            settings: settings.digest(&[]),
            shared: settings.digest(&snapshot::OWN),
            version: file.version.unwrap_or_default(),
            keys,
            snapshot,
            peers: file.peers,
            duties: file.duties,
        };
        Ok((node, settings))
    }
}

#[cfg(test)]
mod stored_formats;
