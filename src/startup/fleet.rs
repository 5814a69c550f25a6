//! What this proxy shares with the other proxies of its fleet, as far as the configuration has it: gossip, and the leases
//! and maintenance windows that build on it.

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

/// What the fleet's parts are started with.
pub struct FleetStart<'a> {
    pub node: &'a NodeConfig,
    pub config: &'a Config,
    pub host: &'a Rc<Host>,
    /// Digest of the settings that all proxies of the fleet have in common.
    pub shared_settings: &'a Rc<Cell<[u8; 32]>>,
    pub fleet_overrides: &'a Rc<FleetOverrides>,
    /// No snapshot was restored: learned state is requested from the other proxies.
    pub is_cold_start: bool,
}

/// This proxy's part in its fleet.
pub struct Fleet {
    /// Gossip with the other proxies.
    pub peers: Option<Rc<GossipDriver>>,
    /// Leases, maintenance windows and the fleet's configuration.
    duties: Option<Rc<Coordinator>>,
}

impl Fleet {
    /// Starts what the configuration names.
    pub async fn start(start: FleetStart<'_>) -> Result<Fleet, StartError> {
        let peers = start_peers(&start).await?;
        let duties = match &peers {
            Some(peers) => start_duties(&start, peers)?,
            None => None,
        };
        Ok(Fleet { peers, duties })
    }

    /// Answers the operators' calls on windows, leases and the fleet's configuration.
    pub fn admin(&self) -> Option<Rc<dyn FleetAdmin>> {
        self.duties
            .clone()
            .map(|duties| duties as Rc<dyn FleetAdmin>)
    }

    /// Waits until calendar and configuration have caught up, or the wait timed out.
    pub async fn caught_up(&self) {
        if let Some(duties) = &self.duties {
            duties.wait_until_ready().await;
        }
    }

    /// Gives up the leases that this proxy holds.
    pub fn release_leases(&self) {
        if let Some(duties) = &self.duties {
            duties.release_leases();
        }
    }

    /// Tells the other proxies that this one leaves.
    pub fn leave(&self) {
        if let Some(peers) = &self.peers {
            peers.leave();
        }
    }
}

async fn start_peers(start: &FleetStart<'_>) -> Result<Option<Rc<GossipDriver>>, StartError> {
    let Some(sharing) = start.node.peers.clone() else {
        return Ok(None);
    };
    let socket = bind_with_retry("peers: ", sharing.listen, UdpSocket::bind).await?;
    let options = GossipOptions {
        section: sharing,
        settings_hash: start.shared_settings.clone(),
        fleet_size: start.config.proxy_count,
        seed: start.node.seed,
        wants_snapshot: start.is_cold_start,
    };
    let peers = GossipDriver::start(start.host.clone(), socket, options);
    peers.map(Some).map_err(StartError::Peers)
}

fn start_duties(
    start: &FleetStart<'_>,
    peers: &Rc<GossipDriver>,
) -> Result<Option<Rc<Coordinator>>, StartError> {
    let Some(voting) = &start.node.duties else {
        return Ok(None);
    };
    let duties = Coordinator::start(
        start.host.clone(),
        peers,
        voting,
        start.config.slow_start_duration,
        start.fleet_overrides.clone(),
        config_snapshot_file(start.node),
    );
    duties.map(Some).map_err(StartError::Duties)
}

/// Where this proxy stores its copy of the fleet's configuration: in the folder of its snapshots.
fn config_snapshot_file(node: &NodeConfig) -> Option<SnapshotFile> {
    let snapshots = node.snapshot.as_ref()?;
    let peers = node.peers.as_ref()?;
    Some(SnapshotFile {
        dir: snapshots.dir.clone(),
        cluster: peers.cluster.clone(),
    })
}
