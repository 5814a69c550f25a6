//! The configuration of one proxy process.

use super::error::NodeConfigError;
use super::file::{parse, KnownEndpoints, ParsedFile, Purpose};
use super::sections::{CoordinationSection, GossipSection, SnapshotSection};
use super::source::Source;
use crate::net::state::snapshot;
use meadowproxy::settings::{ActiveSettings, Settings, SettingsChange, SettingsError};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// Environment variables that take precedence over the file, as two processes of a proxy may read one file.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_CONTROL";
const SNAPSHOT_FOLDER_VARIABLE: &str = "NODE_SNAPSHOT";

/// Fewer descriptors than these are not enough for any proxy.
const MIN_DESCRIPTORS: usize = 64;

/// Everything that the program starts with, but for the settings.
pub struct NodeConfig {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is; without it the endpoint list at hand stands.
    pub discovery: Option<SocketAddr>,
    /// Where operators' calls are answered; without it nowhere.
    pub admin_address: Option<SocketAddr>,
    /// Seed for random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoint list as this proxy last had it.
    pub known: KnownEndpoints,
    /// Digest of the settings.
    pub settings_digest: [u8; 32],
    /// Digest of the settings that all proxies of a fleet share.
    pub shared_settings_digest: [u8; 32],
    /// The file contains the changes of the fleet's configuration up to this version, 0 for none.
    pub file_version: u64,
    /// The paths of the file's keys but those inside lists.
    pub keys: BTreeSet<String>,
    /// How learned state is kept; without it none is.
    pub snapshot: Option<SnapshotSection>,
    /// How state is shared with other proxies; without it none is.
    pub peers: Option<GossipSection>,
    /// What the fleet's proxies decide together; without it nothing.
    pub duties: Option<CoordinationSection>,
}

/// A configuration that was read again, and what it makes of the settings in force.
pub struct ReloadedConfig {
    /// The configuration.
    pub node: NodeConfig,
    /// The change of the settings, or why there is none.
    pub change: Result<SettingsChange, SettingsError>,
}

impl NodeConfig {
    /// Reads the file and the settings that it puts in force at the start.
    pub fn read(source: &Source) -> Result<(NodeConfig, ActiveSettings), NodeConfigError> {
        let (node, settings) = NodeConfig::from_file(parse(source, Purpose::Start)?)?;
        let in_force = ActiveSettings::initial(&settings)?;
        Ok((node, in_force))
    }

    /// Reads the file again. One that lacks a key that stood in it before is refused as incomplete.
    pub fn reload(
        source: &Source,
        keys: &BTreeSet<String>,
        in_force: &ActiveSettings,
    ) -> Result<ReloadedConfig, NodeConfigError> {
        refuse_pipe(source)?;
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

/// Every error of a configuration, one text each; none if it can be run.
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

/// A pipe would hold up the reload until somebody writes to it.
fn refuse_pipe(source: &Source) -> Result<(), NodeConfigError> {
    let Some(path) = &source.file else {
        return Ok(());
    };
    if path.exists() && !path.is_file() {
        return Err(NodeConfigError::Unreadable {
            path: path.clone(),
            source: io::Error::other("not a file"),
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
