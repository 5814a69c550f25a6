//! `NODE_CONFIG`: what this proxy is told at its start.

use super::discovery::List;
use serde::Deserialize;
use serde_json::Value;
use shaletide::settings::{self, Names, Network};
use shaletide::Config;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// Everything that the program starts with.
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where the operators' door is, if there is one.
    pub control: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The list as this proxy last had it.
    pub known: List,
    pub config: Config,
    pub names: Names,
    pub network: Network,
    /// The settings as they stand in the file.
    pub settings: Value,
    /// All keys of the file but those inside lists.
    pub keys: BTreeSet<String>,
    /// Where and how often what was learned is kept; without it nothing is.
    pub snapshot: Option<Snapshots>,
    /// How state is shared with other proxies; without it none is.
    pub peers: Option<Sharing>,
}

/// `snapshot` in the configuration.
#[derive(Clone, Debug, Deserialize)]
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
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Where this proxy takes datagrams (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it; without it the address that it listens at.
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
    Unreadable(String, std::io::Error),
    Malformed(String, serde_json::Error),
    Control(String),
    Settings(String),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Unset => write!(f, "NODE_CONFIG is not set: expected the path of the configuration"),
            NodeError::Unreadable(path, e) => write!(f, "cannot read NODE_CONFIG {path}: {e}"),
            NodeError::Malformed(path, e) => write!(f, "NODE_CONFIG {path}: {e}"),
            NodeError::Control(text) => write!(f, "NODE_CONTROL={text}: expected an address and a port"),
            NodeError::Settings(text) => write!(f, "settings: {text}"),
        }
    }
}

impl std::error::Error for NodeError {}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    control: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Value,
    snapshot: Option<Snapshots>,
    peers: Option<Sharing>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024 }
    }
}

/// The paths of all keys. The door may come and go; all else that stood in a file belongs in the next.
fn collect(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    for (name, inner) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        collect(inner, &path, keys);
        if path != "control" {
            keys.insert(path);
        }
    }
}

impl Node {
    /// Reads the file again. One that lacks what stood in it before is not whole.
    pub fn read_again(keys: &BTreeSet<String>) -> Result<Node, NodeError> {
        let node = Node::read()?;
        match keys.difference(&node.keys).next() {
            Some(key) => Err(NodeError::Settings(format!("{key}: missing"))),
            None => Ok(node),
        }
    }

    pub fn read() -> Result<Node, NodeError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| NodeError::Unset)?;
        let text = std::fs::read_to_string(&path).map_err(|e| NodeError::Unreadable(path.clone(), e))?;
        let malformed = |e| NodeError::Malformed(path.clone(), e);
        let whole: Value = serde_json::from_str(&text).map_err(malformed)?;
        let mut keys = BTreeSet::new();
        collect(&whole, "", &mut keys);
        let file = File::deserialize(whole).map_err(malformed)?;
        // Two processes may read one file: what only this one is told comes first.
        let control = match std::env::var("NODE_CONTROL") {
            Ok(text) if !text.is_empty() => Some(text.parse().map_err(|_| NodeError::Control(text))?),
            _ => file.control,
        };
        let snapshot = match std::env::var_os("NODE_SNAPSHOT") {
            Some(dir) if !dir.is_empty() => {
                Some(Snapshots { dir: dir.into(), ..file.snapshot.unwrap_or_default() })
            }
            _ => file.snapshot,
        };
        let (config, names) = settings::read(&file.settings).map_err(NodeError::Settings)?;
        let network = settings::network(&file.settings).map_err(NodeError::Settings)?;
        let hex = file.seed.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
        let seed = hex.or(file.seed.as_u64());
        let bad_seed = || NodeError::Settings("seed: expected a number or up to 16 hex digits".into());
        Ok(Node {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            control,
            seed: seed.ok_or_else(bad_seed)?,
            sockets: file.limits.sockets.max(64),
            known: file.known,
            config,
            names,
            network,
            settings: file.settings,
            keys,
            snapshot,
            peers: file.peers,
        })
    }
}
