//! The proxy's components, and the steps that assemble them, start their tasks and shut them down.
//!
//! [`super::serve`] calls these steps in order: [`Proxy::prepare`], [`Proxy::start_services`],
//! [`Proxy::wait_until_ready`], [`Proxy::spawn_descriptor_sharing`] and, once clients are served, [`Proxy::shut_down`].

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
use crate::net::memory_tracker::track_memory;
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

/// Interval of the log line about traffic.
const TRAFFIC_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the debug lines about concurrency limits. Limits converge within one to two seconds, so several lines
/// show how they do.
const CONCURRENCY_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a process that starts beside an older one waits for discovery's first endpoint list.
const FIRST_ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The components that exist before the proxy listens.
pub struct Proxy {
    host: Rc<Host>,
    pub server: Rc<Server>,
    /// The connection limits that follow from the process's number of file descriptors.
    descriptor_limits: Rc<DescriptorLimits>,
    restored_list: RestoredList,
    identity: ProxyIdentity,
    pub handover: Handover,
    keeper: Option<Rc<SnapshotKeeper>>,
    is_cold_start: bool,
    disabled_backends: Rc<DisabledBackends>,
}

/// The version and length of the endpoint list that was restored at the start.
struct RestoredList {
    /// Discovery's version of the list.
    index: u64,
    /// The number of its entries.
    length: usize,
}

impl Proxy {
    /// Creates the components and restores the endpoint list, learned state and disabled backends. `inherited` is the
    /// listening socket that the platform passed on.
    pub fn prepare(
        node: &mut NodeConfig,
        loaded: &LoadedConfig,
        inherited: Option<&std::net::TcpListener>,
    ) -> Result<Proxy, StartError> {
        let host = new_host(node, &loaded.in_force);
        let limits = ConnectionLimits::for_single_process(node.max_descriptors);
        let rules = RequestRules::new(&loaded.in_force.config, &loaded.in_force.network);
        let server = Server::new(host.clone(), rules, limits.clients);
        // The endpoint list from before the restart is applied before any request is served, and before the learned
        // state, which is assigned to the listed backends by name.
        let restored_list = restore_endpoint_list(node, &host, &loaded.background);
        let inherited_address = inherited.and_then(|socket| socket.local_addr().ok());
        let identity = ProxyIdentity {
            name: node.name.clone(),
            listen: inherited_address.unwrap_or(node.listen),
            discovery: node.discovery,
        };
        // Another process of this proxy is possible only if the platform passes on the socket or operators have the
        // admin API.
        let may_have_other_process = inherited.is_some() || node.admin_address.is_some();
        let handover = Handover::new(may_have_other_process.then_some(&identity));
        if handover.has_older_process() {
            // Set before learned state is restored: a restored concurrency limit would count twice while the other
            // process still uses it, so the balancer leaves it out.
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

    /// Starts every background task, the fleet's services and the admin API. Clients are not accepted yet.
    pub async fn start_services(
        &self,
        mut node: NodeConfig,
        loaded: LoadedConfig,
        reload_signal: Signal,
        bound_address: SocketAddr,
    ) -> Result<Fleet, StartError> {
        tokio::task::spawn_local(self.host.clone().run_timers());
        tokio::task::spawn_local(self.host.pool.clone().close_idle_connections());
        let budget = self.host.pool.memory_budget().clone();
        tokio::task::spawn_local(track_memory(self.server.clone(), budget));
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

    /// Starts to poll discovery, if the configuration has its address. The returned sender changes that address.
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

    /// Creates the admin API's listener, and serves calls if the configuration has an address for them.
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

    /// Starts the periodic log lines about traffic and, at debug level, about concurrency limits.
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

    /// Waits until clients may be accepted: always for the fleet's services, and for discovery's endpoint list only if
    /// an older process runs.
    pub async fn wait_until_ready(&self, has_discovery: bool, fleet: &Fleet) {
        if has_discovery && self.handover.has_older_process() {
            // The restored list may be out of date, and the older process serves clients in the meantime.
            info!("hot restart: waiting for discovery's endpoint list beside an older process");
            let answered = self.host.wait_for_discovery();
            let _ = tokio::time::timeout(FIRST_ENDPOINT_LIST_TIMEOUT, answered).await;
        }
        fleet.wait_until_ready().await;
    }

    /// Starts the task that shares file descriptors with another process of this proxy whenever one runs.
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

    /// Writes a last snapshot, leaves the fleet and waits until the snapshot is on disk.
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
    pool.memory_budget().set_proxy_limit(node.memory_mb);
    let balancer = Balancer::from_validated(in_force.config.clone(), node.seed);
    Host::new(
        balancer,
        in_force.names.clone(),
        Clock::new(),
        Rc::new(pool),
    )
}

/// Applies the endpoint list that the configuration contains as `known`, and moves it out of `node`.
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
    background.discard(known); // freeing a long list here would block the event loop
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
