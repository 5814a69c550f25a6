//! The parts of the proxy, and the steps by which they are put together and taken down.

use super::bind::{bind_with_retry, BindError};
use super::fleet::{Fleet, FleetOptions};
use super::handover::Handover;
use super::{LoadedConfig, StartError};
use crate::net::admin::disabled_backends::DisabledBackends;
use crate::net::admin::listener::AdminListener;
use crate::net::admin::prometheus::PrometheusRecorder;
use crate::net::admin::AdminContext;
use crate::net::background_thread::BackgroundThread;
use crate::net::config::fleet_overrides::FleetOverrides;
use crate::net::config::reload::ConfigReloader;
use crate::net::config::NodeConfig;
use crate::net::descriptor_limits::{track_other_process, ConnectionLimits, DescriptorLimits};
use crate::net::discovery::{self, PollSchedule};
use crate::net::downstream::server::{self, RequestRules, Server};
use crate::net::host::Host;
use crate::net::state::snapshot::ProxyIdentity;
use crate::net::state::snapshot_keeper::{SnapshotKeeper, SnapshotKeeperError};
use crate::net::upstream::ConnectionPool;
use crate::net::Clock;
use meadowproxy::settings::ActiveSettings;
use meadowproxy::{Balancer, EndpointUpdate};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::info;

/// Interval of the log line on traffic.
const TRAFFIC_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the debug line on concurrency limits: several within the second or two that they take to converge.
const CONCURRENCY_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a process that takes over from another waits for its first endpoint list.
const FIRST_ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of the proxy that are in place before it has a socket.
pub struct Proxy {
    host: Rc<Host>,
    pub server: Rc<Server>,
    /// The descriptors that the process may hold.
    descriptor_limits: Rc<DescriptorLimits>,
    restored_list: RestoredList,
    identity: ProxyIdentity,
    pub handover: Handover,
    keeper: Option<Rc<SnapshotKeeper>>,
    is_cold_start: bool,
    disabled_backends: Rc<DisabledBackends>,
}

/// What is left of the known endpoint list once its entries are in place.
struct RestoredList {
    /// Discovery's version of the list.
    index: u64,
    length: usize,
}

impl Proxy {
    /// Restores the endpoint list, learned state and disabled backends.
    pub fn prepare(
        node: &mut NodeConfig,
        loaded: &LoadedConfig,
        inherited: Option<&std::net::TcpListener>,
    ) -> Result<Proxy, StartError> {
        let host = new_host(node, &loaded.in_force);
        let limits = ConnectionLimits::for_single_process(node.max_descriptors);
        let rules = RequestRules::new(&loaded.in_force.config, &loaded.in_force.network);
        let server = Server::new(host.clone(), rules, limits.clients);
        // The list from before the restart is in place before anything is served, and before learned state is restored.
        let restored_list = restore_endpoint_list(node, &host, &loaded.background);
        let inherited_address = inherited.and_then(|socket| socket.local_addr().ok());
        let identity = ProxyIdentity {
            name: node.name.clone(),
            listen: inherited_address.unwrap_or(node.listen),
            discovery: node.discovery,
        };
        // A second process is possible only where operators or the platform take part.
        let may_have_other_process = inherited.is_some() || node.admin_address.is_some();
        let handover = Handover::new(may_have_other_process.then_some(&identity));
        if handover.has_older_process() {
            // Before learned state is restored: part of it is still in use by the other process.
            host.set_process_count(2);
        }
        let keeper = new_snapshot_keeper(node, &host, &identity)?;
        let mut is_cold_start = true;
        if let Some(keeper) = keeper.clone() {
            is_cold_start = !keeper.restore();
            tokio::task::spawn_local(keeper.write_periodically());
        }
        let disabled_backends =
            DisabledBackends::new(host.clone(), handover.folder.clone(), keeper.clone());
        tokio::task::spawn_local(disabled_backends.clone().watch_folder());
        Ok(Proxy {
            host,
            server,
            descriptor_limits: Rc::new(DescriptorLimits::new(node.max_descriptors)),
            restored_list,
            identity,
            handover,
            keeper,
            is_cold_start,
            disabled_backends,
        })
    }

    /// Starts every task but the service of clients.
    pub async fn start_services(
        &self,
        mut node: NodeConfig,
        loaded: LoadedConfig,
        reload_signal: Signal,
        bound_address: SocketAddr,
    ) -> Result<Fleet, StartError> {
        tokio::task::spawn_local(self.host.clone().run_timers());
        tokio::task::spawn_local(self.host.pool.clone().close_idle_connections());
        let discovery = self.spawn_discovery(&node, &loaded.in_force);
        let fleet_overrides = Rc::new(FleetOverrides::new(
            loaded.in_force.clone(),
            node.file_version,
        ));
        let shared_settings = Rc::new(Cell::new(node.shared_settings_digest));
        let fleet = Fleet::start(FleetOptions {
            node: &node,
            config: &loaded.in_force.config,
            host: &self.host,
            shared_settings: &shared_settings,
            fleet_overrides: &fleet_overrides,
            is_cold_start: self.is_cold_start,
        })
        .await?;
        let admin = self.start_admin(&node, &fleet).await?;
        let length = self.restored_list.length;
        info!(
            "{} listens on {bound_address}, {length} backends known",
            node.name
        );
        self.spawn_log_reports();
        let reloader = ConfigReloader {
            host: self.host.clone(),
            server: self.server.clone(),
            discovery,
            source: loaded.source,
            background: loaded.background,
            in_force: loaded.in_force,
            fleet_overrides,
            shared_settings,
            keeper: self.keeper.clone(),
            identity: self.identity.clone(),
            admin,
            descriptors: self.descriptor_limits.clone(),
            keys: Arc::new(std::mem::take(&mut node.keys)),
            listen: node.listen,
        };
        tokio::task::spawn_local(reloader.run(reload_signal));
        Ok(fleet)
    }

    /// Follows discovery, if there is one; the sender moves it to another address.
    fn spawn_discovery(
        &self,
        node: &NodeConfig,
        in_force: &ActiveSettings,
    ) -> Option<watch::Sender<SocketAddr>> {
        let (moved, address) = watch::channel(node.discovery?);
        let config = &in_force.config;
        let schedule = PollSchedule::new(config.discovery, config.proxy_count, node.seed);
        let index = self.restored_list.index;
        let watch = discovery::watch(self.host.clone(), address, index, schedule);
        tokio::task::spawn_local(watch);
        Some(moved)
    }

    /// Serves the operators' calls where the configuration has an address for them.
    async fn start_admin(
        &self,
        node: &NodeConfig,
        fleet: &Fleet,
    ) -> Result<AdminListener, BindError> {
        let mut admin = AdminListener::closed(AdminContext {
            host: self.host.clone(),
            server: self.server.clone(),
            disabled_backends: self.disabled_backends.clone(),
            gossip: fleet.gossip.clone(),
            fleet: fleet.admin(),
            metrics: PrometheusRecorder::install(),
        });
        if let Some(address) = node.admin_address {
            let listener = bind_with_retry("control: ", address, server::listen).await?;
            admin.serve(address, listener);
        }
        Ok(admin)
    }

    /// Logs what the proxy does, at intervals.
    fn spawn_log_reports(&self) {
        let host = self.host.clone();
        if tracing::enabled!(tracing::Level::DEBUG) {
            tokio::task::spawn_local(async move {
                loop {
                    tokio::time::sleep(CONCURRENCY_REPORT_INTERVAL).await;
                    host.report_concurrency_limits();
                }
            });
        }
        let host = self.host.clone();
        let server = self.server.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(TRAFFIC_REPORT_INTERVAL).await;
                host.report_traffic(server.client_count());
            }
        });
    }

    /// Waits before clients are accepted: for the fleet always; for discovery beside an older process.
    pub async fn wait_until_ready(&self, has_discovery: bool, fleet: &Fleet) {
        if has_discovery && self.handover.has_older_process() {
            // The older process still serves, and the known list may be out of date.
            info!("hot restart: waiting for discovery's endpoint list beside an older process");
            let answered = self.host.wait_for_discovery();
            let _ = tokio::time::timeout(FIRST_ENDPOINT_LIST_TIMEOUT, answered).await;
        }
        fleet.wait_until_ready().await;
    }

    /// Shares file descriptors with another process of this proxy, whenever there is one.
    pub fn spawn_descriptor_sharing(&self) {
        let Some(presence) = self.handover.presence.clone() else {
            return;
        };
        tokio::task::spawn_local(track_other_process(
            presence,
            self.host.clone(),
            self.server.clone(),
            self.descriptor_limits.clone(),
        ));
    }

    /// Writes the last snapshot and leaves the fleet.
    pub async fn shut_down(&self, fleet: &Fleet) {
        if let Some(keeper) = &self.keeper {
            keeper.write();
        }
        fleet.leave();
        if let Some(keeper) = &self.keeper {
            keeper.wait_until_flushed().await;
        }
        info!("stopped");
    }
}

fn new_host(node: &NodeConfig, in_force: &ActiveSettings) -> Rc<Host> {
    let limits = ConnectionLimits::for_single_process(node.max_descriptors);
    let pool = ConnectionPool::new(&in_force.network, limits.upstreams);
    let balancer = Balancer::from_validated(in_force.config.clone(), node.seed);
    Host::new(
        balancer,
        in_force.names.clone(),
        Clock::new(),
        Rc::new(pool),
    )
}

fn restore_endpoint_list(
    node: &mut NodeConfig,
    host: &Rc<Host>,
    background: &BackgroundThread,
) -> RestoredList {
    let known = std::mem::take(&mut node.known);
    host.apply_endpoints(EndpointUpdate::Cached, &known.entries);
    let list = RestoredList {
        index: known.index,
        length: known.entries.len(),
    };
    background.discard(known); // it may be long
    list
}

fn new_snapshot_keeper(
    node: &NodeConfig,
    host: &Rc<Host>,
    identity: &ProxyIdentity,
) -> Result<Option<Rc<SnapshotKeeper>>, SnapshotKeeperError> {
    let Some(config) = node.snapshot.clone() else {
        return Ok(None);
    };
    SnapshotKeeper::new(config, host.clone(), identity.clone(), node.settings_digest).map(Some)
}
