//! Reloading the configuration while the proxy serves.
//!
//! On SIGHUP the file is read, checked and compared on the background thread, and put in force on the event loop in one
//! step. Changes to the fleet's configuration are put in force the same way.

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

/// Why a configuration is not taken; everything stays as it was.
#[derive(Debug, Error)]
enum ReloadError {
    /// It was not read to its end.
    #[error(transparent)]
    Background(#[from] BackgroundError),
    /// The file is wrong.
    #[error(transparent)]
    InvalidConfig(#[from] NodeConfigError),
    /// The file is older than the fleet's configuration in force, or newer than any known.
    #[error(transparent)]
    FleetVersion(#[from] FileError),
    /// The file's settings do not fit those in force.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The fleet's changes do not fit the settings in force.
    #[error(transparent)]
    FleetChanges(#[from] InvalidEntries),
    /// Discovery was added or removed.
    #[error("discovery: expected as before, it comes and goes only with a restart")]
    DiscoveryToggled,
    /// The operators' new address cannot be listened at.
    #[error(transparent)]
    Admin(#[from] AdminListenError),
}

/// The fleet's changes on top of a file that was read.
struct FleetChanges {
    change: Option<SettingsChange>,
    /// The fleet's version, where the change contains all of it.
    version: Option<u64>,
}

/// A file that was read and checked.
struct ReadConfig {
    file: ReloadedConfig,
    fleet: FleetChanges,
}

/// Everything that a new configuration may change, and what it is checked against.
pub struct ConfigReloader {
    pub host: Rc<Host>,
    pub server: Rc<Server>,
    /// Moves discovery to another address; `None` without discovery.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub source: Source,
    pub background: BackgroundThread,
    /// Its zones and kinds are those of the last reading: the host's names include later ones.
    pub in_force: ActiveSettings,
    /// The fleet's changes on top of the file.
    pub fleet_overrides: Rc<FleetOverrides>,
    /// Digest of the settings that all proxies of the fleet have in common: state learned under them can be shared.
    pub shared_settings: Rc<Cell<[u8; 32]>>,
    pub keeper: Option<Rc<SnapshotKeeper>>,
    pub identity: ProxyIdentity,
    pub admin: AdminListener,
    /// The descriptors that the process may hold.
    pub descriptors: Rc<DescriptorLimits>,
    /// All keys of the file but those inside lists.
    pub keys: Arc<BTreeSet<String>>,
    pub listen: SocketAddr,
}

impl ConfigReloader {
    /// Reads the configuration again on each SIGHUP, and puts the fleet's changes in force as they come. Signals that
    /// arrive during a reading are followed by one more reading: the last file counts, and never two are read at once.
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

    /// Reads the file and puts it in force as a whole, or not at all.
    async fn reload(&mut self) {
        let started = Instant::now();
        let read = self.read().await;
        let read_ms = started.elapsed().as_millis();
        let step = Instant::now();
        let taken = read.and_then(|config| self.put_in_force(config));
        let step_us = step.elapsed().as_micros(); // nothing else ran for so long
        match taken {
            Ok(summary) => info!(
                event = "configuration_taken",
                read_ms, step_us, "configuration taken: {summary}"
            ),
            Err(error) => warn!("configuration not taken, all stays as it was: {error}"),
        }
    }

    /// Reads, checks and compares the file while requests go on. Only [`ConfigReloader::put_in_force`] changes what it
    /// is compared with, apart from zones and kinds that endpoint lists add meanwhile, which that step accounts for.
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
            let amended = from_file.map(|change| {
                fleet_overrides::apply_to_file(&change.to, file_version, &fleet.overrides)
            });
            let all_fit = amended.as_ref().is_none_or(|amended| amended.all_fit);
            let fleet = FleetChanges {
                change: amended.and_then(|amended| amended.change),
                version: all_fit.then_some(fleet.version),
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

    /// Puts the entries that the fleet changed in force, all in one step: none of them where one does not fit.
    async fn apply_fleet_changes(&mut self) {
        let PendingEntries { version, edits } = match self.fleet_overrides.pending() {
            Ok(pending) => pending,
            Err(error) => {
                warn!(
                    event = "config_file_old",
                    "not in force until a newer file is read, all stays as it was: {error}"
                );
                return;
            }
        };
        let in_force = self.in_force_with_current_names();
        let file = self.fleet_overrides.file();
        let entry_count = edits.len();
        let amend = move || {
            fleet_overrides::change_entries(&in_force, &file, &edits)
                .map_err(ReloadError::FleetChanges)
        };
        let amended = self.background.run(amend).await;
        match amended.map_err(ReloadError::from).and_then(|change| change) {
            Ok(change) => self.put_fleet_changes_in_force(change, version, entry_count),
            Err(error) => warn!(
                event = "config_refused",
                version, "not in force, all stays as it was: {error}"
            ),
        }
    }

    fn put_fleet_changes_in_force(
        &mut self,
        change: SettingsChange,
        version: u64,
        entry_count: usize,
    ) {
        let step = Instant::now();
        self.apply_settings(change);
        self.fleet_overrides
            .set_in_force(Some(version), self.in_force.clone());
        let step_us = step.elapsed().as_micros();
        info!(
            event = "config_in_force",
            version,
            entries = entry_count,
            step_us,
            mono_us = monotonic_now().0,
            "another version of the configuration"
        );
    }

    /// Replaces the settings in force, in one step.
    fn apply_settings(&mut self, mut change: SettingsChange) {
        change.renumber_zones_and_kinds(&self.host.names());
        let before = std::mem::replace(&mut self.in_force, change.to.clone());
        let network = &self.in_force.network;
        self.host.pool.apply_settings(network);
        let rules = RequestRules::new(&self.in_force.config, network);
        self.server.apply_rules(rules);
        self.host.apply_settings(change);
        self.background.discard(before); // nobody else refers to what is only there
    }

    /// Puts a file in force: in one step in which nothing else runs, and whose parts take no time by the size of the
    /// tables. Returns a summary of what changed, for the log.
    fn put_in_force(&mut self, config: ReadConfig) -> Result<String, ReloadError> {
        let ReloadedConfig { node, change } = config.file;
        if node.discovery.is_some() != self.discovery.is_some() {
            return Err(ReloadError::DiscoveryToggled);
        }
        let change = change?;
        // The last step that can fail; from here on nothing does.
        self.admin.move_to(node.admin_address)?;
        let summary = self.summary(&node, &change);
        if *self.keys != node.keys {
            self.keys = Arc::new(node.keys.clone());
        }
        self.apply_descriptor_limit(node.max_descriptors);
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
        if let (Some(moved), Some(address)) = (&self.discovery, node.discovery) {
            moved.send_if_modified(|current| std::mem::replace(current, address) != address);
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
            summary += &format!(", clients still at {}", self.listen);
        }
        summary
    }

    fn apply_descriptor_limit(&self, descriptors: usize) {
        self.descriptors.set_descriptors(descriptors);
        self.descriptors.apply(&self.host, &self.server);
    }
}
