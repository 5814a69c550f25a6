//! [`NodeConfig`]: the configuration of one proxy process, built from the configuration file.

use super::error::NodeConfigError;
use super::file::{parse, KnownEndpoints, ParsedFile, Purpose};
use super::sections::{CoordinationSection, GossipSection, SnapshotSection};
use super::source::Source;
use crate::net::state::snapshot;
use meadowproxy::settings::{ActiveSettings, Settings, SettingsChange, SettingsError};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// Environment variable that overrides `control`, as two processes of a proxy may read the same file.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_CONTROL";
/// Environment variable that overrides `snapshot.dir`, for the same reason.
const SNAPSHOT_FOLDER_VARIABLE: &str = "NODE_SNAPSHOT";

/// The minimum number of file descriptors: no proxy can run with fewer. A smaller limit in the file is raised to it.
const MIN_DESCRIPTORS: usize = 64;

/// The configuration of a proxy process, except its [`Settings`].
pub struct NodeConfig {
    /// Name of the proxy.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery. Without it, the endpoint list in `known` remains in use.
    pub discovery: Option<SocketAddr>,
    /// Address of the admin interface; disabled if `None`.
    pub admin_address: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process may use, in megabytes; unlimited if `None`.
    pub memory_mb: Option<f64>,
    /// Endpoint list to start with, as far as the file contains one.
    pub known: KnownEndpoints,
    /// Digest of the settings.
    pub settings_digest: [u8; 32],
    /// Digest of the settings that must be equal at all proxies of a fleet.
    pub shared_settings_digest: [u8; 32],
    /// Version of the fleet's configuration up to which the file contains all changes, 0 for none.
    pub file_version: u64,
    /// Paths of the file's keys that a reload must not remove.
    pub keys: BTreeSet<String>,
    /// Snapshots of learned state; disabled if `None`.
    pub snapshot: Option<SnapshotSection>,
    /// Gossip with the fleet's other proxies; disabled if `None`.
    pub peers: Option<GossipSection>,
    /// Coordination with the fleet's other proxies; disabled if `None`.
    pub duties: Option<CoordinationSection>,
}

/// A configuration that was read for a reload, and its change of the settings in force.
pub struct ReloadedConfig {
    /// The new configuration.
    pub node: NodeConfig,
    /// The change of the settings, or why the new settings can't replace those in force.
    pub change: Result<SettingsChange, SettingsError>,
}

impl NodeConfig {
    /// Reads the file at the start of the process, and returns the configuration and the initial settings.
    pub fn read(source: &Source) -> Result<(NodeConfig, ActiveSettings), NodeConfigError> {
        let (node, settings) = NodeConfig::from_file(parse(source, Purpose::Start)?)?;
        let in_force = ActiveSettings::initial(&settings)?;
        Ok((node, in_force))
    }

    /// Reads the file again, to replace the settings `in_force`. `keys` are the paths that the previous file had: a
    /// file that lacks one of them is rejected as incomplete.
    pub fn reload(
        source: &Source,
        keys: &BTreeSet<String>,
        in_force: &ActiveSettings,
    ) -> Result<ReloadedConfig, NodeConfigError> {
        reject_special_file(source)?;
        let (node, settings) = NodeConfig::from_file(parse(source, Purpose::Reload(in_force))?)?;
        if let Some(key) = keys.difference(&node.keys).next() {
            return Err(NodeConfigError::MissingKey(key.clone()));
        }
        let change = in_force.change_to(&settings);
        Ok(ReloadedConfig { node, change })
    }

    fn from_file(parsed: ParsedFile) -> Result<(NodeConfig, Settings), NodeConfigError> {
        let ParsedFile {
            file,
            known,
            settings,
            keys,
            unknown,
        } = parsed;
        if !unknown.is_empty() {
            return Err(NodeConfigError::UnknownKeys(unknown));
        }
        file.check_fleet()?;
        let admin_address = admin_address(file.control)?;
        let snapshot = snapshot_section(file.snapshot.clone());
        if let Some(error) = settings.first_error() {
            return Err(error.into());
        }
        let node = NodeConfig {
            seed: file.parse_seed()?,
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            admin_address,
            memory_mb: file.limits.memory_mb,
            max_descriptors: file.limits.sockets.max(MIN_DESCRIPTORS),
            known,
            settings_digest: settings.digest(&[]),
            shared_settings_digest: settings.digest(&snapshot::PER_PROXY_SETTINGS),
            file_version: file.version.unwrap_or_default(),
            keys,
            snapshot,
            peers: file.peers,
            duties: file.duties,
        };
        Ok((node, settings))
    }
}

/// Returns the text of each error in a configuration; none if a proxy can start with it.
pub fn check(source: &Source) -> Vec<String> {
    let parsed = match parse(source, Purpose::Check) {
        Ok(parsed) => parsed,
        Err(error) => return vec![error.to_string()],
    };
    let unknown = parsed.unknown.iter();
    let mut texts: Vec<String> = unknown.map(|key| format!("{key}: unknown key")).collect();
    let settings = parsed.settings.errors().into_iter();
    let settings = settings.map(NodeConfigError::from);
    let seed = parsed.file.parse_seed().err();
    let fleet = parsed.file.check_fleet().err();
    let errors = settings.chain(seed).chain(fleet);
    texts.extend(errors.map(|error| error.to_string()));
    texts
}

/// Returns an error for anything but a regular file. Opening a pipe would block the reload until a process writes to
/// it.
fn reject_special_file(source: &Source) -> Result<(), NodeConfigError> {
    let Some(path) = &source.file else {
        return Ok(());
    };
    if path.exists() && !path.is_file() {
        return Err(NodeConfigError::Unreadable {
            path: path.clone(),
            source: io::Error::other("not a regular file"),
        });
    }
    Ok(())
}

fn admin_address(from_file: Option<SocketAddr>) -> Result<Option<SocketAddr>, NodeConfigError> {
    match std::env::var(ADMIN_ADDRESS_VARIABLE) {
        Ok(text) if !text.is_empty() => {
            let address = text.parse();
            address
                .map(Some)
                .map_err(|_| NodeConfigError::InvalidAdminAddress(text))
        }
        _ => Ok(from_file),
    }
}

fn snapshot_section(from_file: Option<SnapshotSection>) -> Option<SnapshotSection> {
    match std::env::var_os(SNAPSHOT_FOLDER_VARIABLE) {
        Some(folder) if !folder.is_empty() => Some(SnapshotSection {
            dir: folder.into(),
            ..from_file.unwrap_or_default()
        }),
        _ => from_file,
    }
}
