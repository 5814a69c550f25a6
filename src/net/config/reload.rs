//! Reloads the configuration while the proxy serves requests ([`ConfigReloader`]).
//!
//! On SIGHUP the background thread reads, checks and compares the file, and the event loop then applies it in one step.
//! Changes of the fleet's configuration are applied in the same way.

use crate::net::admin::listener::{AdminListenError, AdminListener};
use crate::net::background_thread::{BackgroundError, BackgroundThread};
use crate::net::cluster::coordination::monotonic_now;
use crate::net::config::fleet_overrides::{self, FleetOverrides, InvalidEntries, PendingEntries};
use crate::net::config::{NodeConfig, NodeConfigError, ReloadedConfig, Source};
use crate::net::descriptor_limits::DescriptorLimits;
use crate::net::downstream::server::{RequestRules, Server};
use crate::net::host::Host;
use crate::net::state::snapshot::ProxyIdentity;
use crate::net::state::snapshot_keeper::SnapshotKeeper;
use meadowproxy::fleet::config::FileError;
use meadowproxy::settings::{ActiveSettings, SettingsChange, SettingsError};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::{info, warn};

/// Why a configuration is not applied. The previous one then remains in force.
#[derive(Debug, Error)]
enum ReloadError {
    /// Reading the file or changing the settings on the background thread failed.
    #[error(transparent)]
    Background(#[from] BackgroundError),
    /// The file is unreadable or invalid.
    #[error(transparent)]
    InvalidConfig(#[from] NodeConfigError),
    /// The file's version is older than the fleet's compacted changes, or newer than any known version.
    #[error(transparent)]
    FleetVersion(#[from] FileError),
    /// The file's settings can't replace those in force.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The fleet's changes are not applicable to the settings in force.
    #[error(transparent)]
    FleetChanges(#[from] InvalidEntries),
    /// The file adds or removes the address of discovery.
    #[error("discovery: cannot be added or removed without a restart")]
    DiscoveryToggled,
    /// The admin interface cannot listen on its new address.
    #[error(transparent)]
    Admin(#[from] AdminListenError),
}

/// The fleet's changes on top of a new file.
struct FleetChanges {
    change: Option<SettingsChange>,
    /// Version of the fleet's configuration, `None` if entries of it were left out.
    version: Option<u64>,
}

/// A file that was read and checked, with the fleet's changes on top of it.
struct ReadConfig {
    file: ReloadedConfig,
    fleet: FleetChanges,
}

/// Applies configuration changes to the running proxy. It holds everything that a new configuration may change, and
/// what the new configuration is compared with.
pub struct ConfigReloader {
    pub host: Rc<Host>,
    pub server: Rc<Server>,
    /// Sends a new address to the discovery client; `None` without discovery.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub source: Source,
    pub background: BackgroundThread,
    /// The settings in force. Their zones and kinds are those of the last change; the host's names include later ones.
    pub in_force: ActiveSettings,
    /// The fleet's changes on top of the file.
    pub fleet_overrides: Rc<FleetOverrides>,
    /// Digest of the settings that must be equal at all proxies of the fleet for them to share learned state.
    pub shared_settings: Rc<Cell<[u8; 32]>>,
    pub keeper: Option<Rc<SnapshotKeeper>>,
    pub identity: ProxyIdentity,
    pub admin: AdminListener,
    /// Limits that follow from the number of file descriptors that the process may have open.
    pub descriptors: Rc<DescriptorLimits>,
    /// Paths of the file's keys, which the next file must have, too.
    pub keys: Arc<BTreeSet<String>>,
    /// Address that clients connect to, which only a restart changes.
    pub listen: SocketAddr,
}

impl ConfigReloader {
    /// Reloads the file on each SIGHUP, and applies the fleet's changes when they arrive. Signals that arrive during a
    /// reload cause a single further one, so that the last file counts and no two files are read at the same time.
    pub async fn run(mut self, mut reload_signal: Signal) {
        loop {
            let fleet_overrides = self.fleet_overrides.clone();
            tokio::select! {
                signal = reload_signal.recv() => match signal {
                    Some(()) => self.reload().await,
                    None => return,
                },
                () = fleet_overrides.changed() => self.apply_fleet_changes().await,
            }
        }
    }

    /// Reads the file, and applies all of it or nothing.
    async fn reload(&mut self) {
        let started = Instant::now();
        let read = self.read().await;
        let read_ms = started.elapsed().as_millis();
        let step_started = Instant::now();
        let result = read.and_then(|config| self.put_in_force(config));
        let step_us = step_started.elapsed().as_micros(); // the event loop ran nothing else during this time
        match result {
            Ok(summary) => info!(
                event = "configuration_taken",
                read_ms, step_us, "configuration taken: {summary}"
            ),
            Err(error) => warn!("configuration not taken, previous one in force: {error}"),
        }
    }

    /// Reads, checks and compares the file on the background thread while requests are served. Meanwhile the settings
    /// in force don't change, except that endpoint lists may add zones and kinds, which
    /// [`ConfigReloader::apply_settings`] handles.
    async fn read(&self) -> Result<ReadConfig, ReloadError> {
        let source = self.source.clone();
        let keys = self.keys.clone();
        let fleet = self.fleet_overrides.view();
        let in_force = self.in_force_with_current_names();
        let read = move || {
            let file = NodeConfig::reload(&source, &keys, &in_force)?;
            let file_version = file.node.file_version;
            fleet.check_file(file_version)?;
            let from_file = file.change.as_ref().ok();
            let applied = from_file.map(|change| {
                fleet_overrides::apply_to_file(&change.to, file_version, &fleet.overrides)
            });
            let all_applied = applied
                .as_ref()
                .is_none_or(|overrides| overrides.all_applied);
            let fleet = FleetChanges {
                change: applied.and_then(|overrides| overrides.change),
                version: all_applied.then_some(fleet.version),
            };
            Ok(ReadConfig { file, fleet })
        };
        self.background.run(read).await?
    }

    fn in_force_with_current_names(&self) -> ActiveSettings {
        ActiveSettings {
            names: self.host.names(),
            ..self.in_force.clone()
        }
    }

    /// Applies the entries that the fleet changed in one step, or none of them if one is not applicable.
    async fn apply_fleet_changes(&mut self) {
        let PendingEntries { version, edits } = match self.fleet_overrides.pending() {
            Ok(pending) => pending,
            Err(error) => {
                warn!(
                    event = "config_file_old",
                    "the fleet's changes are not applied until a newer file is read: {error}"
                );
                return;
            }
        };
        let in_force = self.in_force_with_current_names();
        let file = self.fleet_overrides.file();
        let entry_count = edits.len();
        let change_entries = move || {
            fleet_overrides::change_entries(&in_force, &file, &edits)
                .map_err(ReloadError::FleetChanges)
        };
        let changed = self.background.run(change_entries).await;
        match changed.map_err(ReloadError::from).and_then(|change| change) {
            Ok(change) => self.put_fleet_changes_in_force(change, version, entry_count),
            Err(error) => warn!(
                event = "config_refused",
                version, "the fleet's changes are not applied: {error}"
            ),
        }
    }

    fn put_fleet_changes_in_force(
        &mut self,
        change: SettingsChange,
        version: u64,
        entry_count: usize,
    ) {
        let step_started = Instant::now();
        self.apply_settings(change);
        self.fleet_overrides
            .set_in_force(Some(version), self.in_force.clone());
        let step_us = step_started.elapsed().as_micros();
        info!(
            event = "config_in_force",
            version,
            entries = entry_count,
            step_us,
            mono_us = monotonic_now().0,
            "the fleet's changes are applied"
        );
    }

    /// Replaces the settings in force in one step.
    fn apply_settings(&mut self, mut change: SettingsChange) {
        change.renumber_zones_and_kinds(&self.host.names());
        let before = std::mem::replace(&mut self.in_force, change.to.clone());
        let network = &self.in_force.network;
        self.host.pool.apply_settings(network);
        let rules = RequestRules::new(&self.in_force.config, network);
        self.server.apply_rules(rules);
        self.host.apply_settings(change);
        self.background.discard(before); // may hold the last reference to large tables
    }

    /// Applies a file in one step, during which the event loop runs nothing else; its duration doesn't grow with the
    /// size of the tables. Returns a summary of the changes for the log.
    fn put_in_force(&mut self, config: ReadConfig) -> Result<String, ReloadError> {
        let ReloadedConfig { node, change } = config.file;
        if node.discovery.is_some() != self.discovery.is_some() {
            return Err(ReloadError::DiscoveryToggled);
        }
        let change = change?;
        // The last operation that can fail: those below must all be applied.
        self.admin.move_to(node.admin_address)?;
        let summary = self.summary(&node, &change);
        if *self.keys != node.keys {
            self.keys = Arc::new(node.keys.clone());
        }
        self.apply_descriptor_limit(node.max_descriptors);
        let memory_budget = self.host.pool.memory_budget();
        memory_budget.set_proxy_limit(node.memory_mb);
        self.apply_settings(change);
        self.fleet_overrides
            .set_file(self.in_force.clone(), node.file_version);
        if let Some(change) = config.fleet.change {
            self.apply_settings(change);
        }
        self.fleet_overrides
            .set_in_force(config.fleet.version, self.in_force.clone());
        self.shared_settings.set(node.shared_settings_digest);
        self.identity.discovery = node.discovery;
        if let Some(keeper) = &self.keeper {
            keeper.change_scope(self.identity.clone(), node.settings_digest);
        }
        if let (Some(sender), Some(address)) = (&self.discovery, node.discovery) {
            sender.send_if_modified(|current| std::mem::replace(current, address) != address);
        }
        self.background.discard(node);
        Ok(summary)
    }

    fn summary(&self, node: &NodeConfig, change: &SettingsChange) -> String {
        let mut summary = change.summary.clone();
        if let Some(address) = node.discovery {
            summary += &format!(", discovery at {address}");
        }
        if node.listen != self.listen {
            summary += &format!(", still listening on {}", self.listen);
        }
        summary
    }

    fn apply_descriptor_limit(&self, descriptors: usize) {
        self.descriptors.set_descriptors(descriptors);
        self.descriptors.apply(&self.host, &self.server);
    }
}
