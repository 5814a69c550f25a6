//! The life of the proxy's process: start-up step by step, service, and graceful shutdown.
//!
//! [`serve`] reads the configuration, restores what an earlier process left, binds the sockets, starts the background
//! tasks, and serves clients until a signal stops it. The order of the steps matters: disabled backends and learned state
//! are in place before the first request, and a process becomes visible to the other one only once it can serve.

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

/// Why the proxy does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The inherited socket cannot be used.
    #[error(transparent)]
    Inherit(#[from] InheritError),
    /// There is no event loop.
    #[error("no event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// Signals cannot be received.
    #[error("no signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration cannot be read in the background.
    #[error(transparent)]
    Background(#[from] BackgroundError),
    /// The configuration is wrong.
    #[error(transparent)]
    Config(#[from] NodeConfigError),
    /// Snapshots cannot be kept.
    #[error(transparent)]
    Snapshots(#[from] SnapshotKeeperError),
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// State cannot be shared with the fleet's proxies.
    #[error("peers: {0}")]
    Gossip(#[source] io::Error),
    /// Leases and maintenance windows cannot be coordinated with the fleet's proxies.
    #[error("duties: {0}")]
    Coordination(#[source] io::Error),
}

/// Where the configuration came from, what of it is in force, and the thread that reads it again.
struct LoadedConfig {
    source: Source,
    in_force: ActiveSettings,
    background: BackgroundThread,
}

/// Signals that stop the program. A second one changes nothing: accepted requests are answered first.
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

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        info!("stopping");
    }
}

/// Runs the proxy until it is stopped.
pub fn serve(source: Source) -> Result<(), StartError> {
    let inherited = hot_restart::inherited_listener()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::EventLoop)?;
    // A SIGHUP without a handler would end the program, so the handler is in place before anything takes time.
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
