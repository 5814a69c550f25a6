//! The process's start-up sequence, its service of clients and its graceful shutdown.
//!
//! [`serve`] reads the configuration, restores the state that an earlier process saved, binds the sockets, starts the
//! background tasks, and serves clients until a signal stops it. The order of the steps matters: disabled backends and
//! learned state are restored before the first request, and during a hot restart the process becomes visible to the
//! older one only once it can serve.

mod bind;
mod fleet;
mod handover;
mod proxy;

use crate::net::background_thread::{BackgroundError, BackgroundThread};
use crate::net::config::{NodeConfig, NodeConfigError, Source};
use crate::net::state::hot_restart::{self, InheritError};
use crate::net::state::snapshot_keeper::SnapshotKeeperError;
use bind::{bind_client_listener, BindError};
use meadowproxy::settings::ActiveSettings;
use proxy::Proxy;
use std::io;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::info;

/// Reasons for which the proxy does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The inherited socket cannot be used.
    #[error(transparent)]
    Inherit(#[from] InheritError),
    /// The event loop cannot be created.
    #[error("cannot create the event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The background thread cannot be started, or it panicked while it read the configuration.
    #[error(transparent)]
    Background(#[from] BackgroundError),
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] NodeConfigError),
    /// The thread that writes snapshots cannot be started.
    #[error(transparent)]
    Snapshots(#[from] SnapshotKeeperError),
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// Gossip with the fleet's other proxies cannot be started. The message names its section of the configuration.
    #[error("peers: cannot start gossip: {0}")]
    Gossip(#[source] io::Error),
    /// Coordination of leases, maintenance windows and the fleet's configuration cannot be started. The message names
    /// its section of the configuration.
    #[error("duties: cannot start coordination: {0}")]
    Coordination(#[source] io::Error),
}

/// The configuration's source, the settings in force, and the thread that reads the source again at a reload.
struct LoadedConfig {
    source: Source,
    in_force: ActiveSettings,
    background: BackgroundThread,
}

/// The signals that stop the program, SIGTERM and SIGINT. A second signal has no effect: accepted requests are still
/// answered.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        info!("stopping");
    }
}

/// Runs the proxy until SIGTERM or SIGINT stops it.
pub fn serve(source: Source) -> Result<(), StartError> {
    let inherited = hot_restart::inherited_listener()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::EventLoop)?;
    // SIGHUP without a handler terminates the process, so the handler is installed before any step that takes time.
    let reload_signal = runtime
        .block_on(async { signal(SignalKind::hangup()) })
        .map_err(StartError::Signals)?;
    let background = BackgroundThread::start()?;
    let file = source.clone();
    let (node, in_force) = runtime.block_on(background.run(move || NodeConfig::read(&file)))??;
    let loaded = LoadedConfig {
        source,
        in_force,
        background,
    };
    let run = run(node, loaded, inherited, reload_signal);
    tokio::task::LocalSet::new().block_on(&runtime, run)
}

async fn run(
    mut node: NodeConfig,
    loaded: LoadedConfig,
    inherited: Option<std::net::TcpListener>,
    reload_signal: Signal,
) -> Result<(), StartError> {
    let mut stop_signals = StopSignals::new().map_err(StartError::Signals)?;
    let proxy = Proxy::prepare(&mut node, &loaded, inherited.as_ref())?;
    let listener = tokio::select! {
        biased;
        bound = bind_client_listener(inherited, node.listen) => bound?,
        () = stop_signals.received() => return Ok(()),
    };
    let bound_address = listener.local_addr().unwrap_or(node.listen);
    let has_discovery = node.discovery.is_some();
    let fleet = proxy
        .start_services(node, loaded, reload_signal, bound_address)
        .await?;
    proxy.wait_until_ready(has_discovery, &fleet).await;
    proxy.handover.publish();
    proxy.spawn_descriptor_sharing();
    let stop = async {
        stop_signals.received().await;
        fleet.release_leases();
    };
    let successor_accepts = || proxy.handover.has_newer_process();
    proxy
        .server
        .clone()
        .run(listener, stop, successor_accepts)
        .await;
    proxy.shut_down(&fleet).await;
    Ok(())
}
