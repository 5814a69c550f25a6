//! Starts and stops the services that connect this proxy to its fleet: gossip, and coordination, which uses gossip for
//! leases, maintenance windows and the fleet's configuration.
//!
//! Both are optional. Each runs only if the configuration has its section.

use super::bind::bind_with_retry;
use super::StartError;
use crate::net::admin::FleetAdmin;
use crate::net::cluster::coordination::{config_snapshot::SnapshotFile, Coordinator};
use crate::net::cluster::gossip::{GossipDriver, GossipOptions};
use crate::net::config::fleet_overrides::FleetOverrides;
use crate::net::config::NodeConfig;
use crate::net::host::Host;
use meadowproxy::Config;
use std::cell::Cell;
use std::net::UdpSocket;
use std::rc::Rc;

/// The parameters of [`Fleet::start`].
pub struct FleetOptions<'a> {
    pub node: &'a NodeConfig,
    pub config: &'a Config,
    pub host: &'a Rc<Host>,
    /// Digest of the settings that are the same on all proxies of the fleet. A reload changes it.
    pub shared_settings: &'a Rc<Cell<[u8; 32]>>,
    pub fleet_overrides: &'a Rc<FleetOverrides>,
    /// Whether no snapshot was restored; learned state is then requested from the other proxies.
    pub is_cold_start: bool,
}

/// The running services that connect this proxy to its fleet.
pub struct Fleet {
    /// Gossip with the other proxies; `None` without the section `peers`.
    pub gossip: Option<Rc<GossipDriver>>,
    /// Leases, maintenance windows and the fleet's configuration; `None` without the section `duties`.
    coordinator: Option<Rc<Coordinator>>,
}

impl Fleet {
    /// Starts the services that the configuration has sections for.
    pub async fn start(options: FleetOptions<'_>) -> Result<Fleet, StartError> {
        let gossip = start_gossip(&options).await?;
        let coordinator = match &gossip {
            Some(gossip) => start_coordinator(&options, gossip)?,
            None => None,
        };
        Ok(Fleet {
            gossip,
            coordinator,
        })
    }

    /// Returns the handler of the admin API's calls on windows, leases and the fleet's configuration.
    pub fn admin(&self) -> Option<Rc<dyn FleetAdmin>> {
        self.coordinator
            .clone()
            .map(|coordinator| coordinator as Rc<dyn FleetAdmin>)
    }

    /// Waits until the maintenance calendar and the configuration are up to date with the fleet, or a timeout expires.
    pub async fn wait_until_ready(&self) {
        if let Some(coordinator) = &self.coordinator {
            coordinator.wait_until_ready().await;
        }
    }

    /// Releases the leases that this proxy holds.
    pub fn release_leases(&self) {
        if let Some(coordinator) = &self.coordinator {
            coordinator.release_leases();
        }
    }

    /// Announces to the other proxies that this one leaves the fleet.
    pub fn leave(&self) {
        if let Some(gossip) = &self.gossip {
            gossip.leave();
        }
    }
}

async fn start_gossip(options: &FleetOptions<'_>) -> Result<Option<Rc<GossipDriver>>, StartError> {
    let Some(section) = options.node.peers.clone() else {
        return Ok(None);
    };
    let socket = bind_with_retry("peers: ", section.listen, UdpSocket::bind).await?;
    let gossip_options = GossipOptions {
        section,
        settings_hash: options.shared_settings.clone(),
        fleet_size: options.config.proxy_count,
        seed: options.node.seed,
        wants_snapshot: options.is_cold_start,
    };
    let gossip = GossipDriver::start(options.host.clone(), socket, gossip_options);
    gossip.map(Some).map_err(StartError::Gossip)
}

fn start_coordinator(
    options: &FleetOptions<'_>,
    gossip: &Rc<GossipDriver>,
) -> Result<Option<Rc<Coordinator>>, StartError> {
    let Some(section) = &options.node.duties else {
        return Ok(None);
    };
    let coordinator = Coordinator::start(
        options.host.clone(),
        gossip,
        section,
        options.config.slow_start_duration,
        options.fleet_overrides.clone(),
        config_snapshot_file(options.node),
    );
    coordinator.map(Some).map_err(StartError::Coordination)
}

/// Returns where this proxy stores its copy of the fleet's configuration: in the folder of its snapshots. `None` if no
/// snapshots are configured.
fn config_snapshot_file(node: &NodeConfig) -> Option<SnapshotFile> {
    let snapshots = node.snapshot.as_ref()?;
    let peers = node.peers.as_ref()?;
    Some(SnapshotFile {
        dir: snapshots.dir.clone(),
        cluster: peers.cluster.clone(),
    })
}
