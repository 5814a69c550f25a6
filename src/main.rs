//! The proxy: configuration, logging, signals and start-up.
#![forbid(unsafe_code)]

mod cli;
#[cfg(test)]
#[path = "../tests/fixtures/mod.rs"]
mod fixtures;
mod net;

use clap::Parser;
use cli::{Cli, Command, LogFormat, Run};
use meadowproxy::settings::InForce;
use meadowproxy::{Balancer, EndpointUpdate};
use net::admin::disabled_backends::Maintenance;
use net::admin::prometheus::Figures;
use net::admin::{DutiesDoor, Keepers};
use net::cluster::coordination::{config_snapshot::SnapshotFile, Duties};
use net::cluster::gossip::Peers;
use net::config::fleet_overrides::FleetOverrides;
use net::config::reload::{Aside, Door, Reload};
use net::config::{self, Node, Source};
use net::descriptor_limits::{room, share};
use net::discovery::Pace;
use net::downstream::server;
use net::downstream::server::{Rules, Server};
use net::host::Host;
use net::state::hot_restart::{self, Presence};
use net::state::snapshot::Owner;
use net::state::snapshot_keeper::Keeper;
use net::upstream::Pool;
use net::{discovery, Clock};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::{info, warn};

/// A new process beside a running one waits so long for its first list.
const FIRST_LIST: Duration = Duration::from_secs(2);
/// A start tries so long for an address that is in use: two seconds less than a restart may take.
const CLAIM: Duration = Duration::from_secs(8);
const CLAIM_EVERY: Duration = Duration::from_millis(50);
const REPORT_EVERY: Duration = Duration::from_secs(5);
/// Folder under `$TMPDIR` that the processes of a proxy share. It keeps the program's former name, as an old and a new
/// version use it together during a handover.
const SHARED_FOLDER: &str = "shaletide";
/// How often the holds are told at debug level: several times in the second or two that they take to settle.
const HOLDS_EVERY: Duration = Duration::from_millis(250);

fn main() -> ExitCode {
    let cli = Cli::parse();
    log_to_stderr(cli.log_format);
    let fail = |text: &str| {
        match cli.log_format {
            LogFormat::Text => eprintln!("meadowproxy: {text}"),
            LogFormat::Json => tracing::error!(event = "start_failed", "{text}"),
        }
        ExitCode::FAILURE
    };
    match cli
        .command
        .unwrap_or_else(|| Command::Run(Run::from_environment()))
    {
        Command::Check(file) => check(&file.source()),
        Command::ShowConfig(file) => match config::show(&file.source()) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e.to_string()),
        },
        Command::Run(run) => serve(run.source()).map_or_else(|e| fail(&e), |()| ExitCode::SUCCESS),
    }
}

fn log_to_stderr(format: LogFormat) {
    let level = std::env::var("NODE_LOG")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(tracing::Level::INFO);
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_max_level(level);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}

/// Prints every error of a configuration; 2 if there is one.
fn check(source: &Source) -> ExitCode {
    let errors = config::check(source);
    errors.iter().for_each(|e| eprintln!("{e}"));
    match errors.is_empty() {
        true => {
            println!("ok");
            ExitCode::SUCCESS
        }
        false => ExitCode::from(2),
    }
}

fn serve(source: Source) -> Result<(), String> {
    let passed = hot_restart::inherited()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("no event loop: {e}"))?;
    // Unheard, this one ends the program: it is heard before anything takes time, and answered once all runs.
    let hangup = runtime.block_on(async { signal(SignalKind::hangup()) });
    let hangup = hangup.map_err(|e| format!("no signals: {e}"))?;
    let (aside, from) = (Aside::start()?, source.clone());
    let read = runtime.block_on(aside.run(move || Node::read(&from)))?;
    let (node, in_force) = read.map_err(|e| e.to_string())?;
    let reading = Reading {
        source,
        in_force,
        aside,
    };
    tokio::task::LocalSet::new().block_on(&runtime, run(node, reading, passed, hangup))
}

/// Where the configuration came from, what of it is in force, and the thread that reads it again.
struct Reading {
    source: Source,
    in_force: InForce,
    aside: Aside,
}

#[expect(
    clippy::cognitive_complexity,
    reason = "issue 32: code that reads as well as it works"
)]
#[expect(
    clippy::too_many_lines,
    reason = "issue 32: code that reads as well as it works"
)]
async fn run(
    mut node: Node,
    reading: Reading,
    passed: Option<std::net::TcpListener>,
    hangup: Signal,
) -> Result<(), String> {
    let clock = Clock::new();
    let mut stop = Stop::new().map_err(|e| format!("no signals: {e}"))?;
    let sockets = Rc::new(Cell::new(node.sockets));
    let room = room(node.sockets);
    let Reading {
        source,
        in_force,
        aside,
    } = reading;
    let config = &in_force.config;
    let pool = Rc::new(Pool::new(&in_force.network, room / 2));
    let rules = Rules::new(config, &in_force.network);
    let balancer = Balancer::from_validated(config.clone(), node.seed);
    let host = Host::new(balancer, in_force.names.clone(), clock, pool.clone());
    // The list from before the restart is in place before anything is served, and before what was learned.
    let known = std::mem::take(&mut node.known);
    host.take(EndpointUpdate::Cached, &known.lines);
    let (index, listed) = (known.index, known.lines.len());
    // It may be long.
    aside.discard(known);
    // Only where operators or the platform take part may there be a second process.
    let paired = passed.is_some() || node.control.is_some();
    let at = passed
        .as_ref()
        .and_then(|s| s.local_addr().ok())
        .unwrap_or(node.listen);
    let owner = Owner {
        name: node.name.clone(),
        listen: at,
        discovery: node.discovery,
    };
    let folder = paired.then(|| folder(&owner)).flatten();
    let presence = folder.as_deref().and_then(presence);
    if presence.as_ref().is_some_and(|p| p.others().older) {
        host.beside(2); // before what was learned is taken: some of it the other process still uses
    }
    let shared = Rc::new(Cell::new(node.shared));
    let config_snapshot = node.snapshot.as_ref().zip(node.peers.as_ref());
    let config_snapshot = config_snapshot.map(|(kept, peers)| SnapshotFile {
        dir: kept.dir.clone(),
        cluster: peers.cluster.clone(),
    });
    let keeper = node
        .snapshot
        .map(|kept| Keeper::new(kept, host.clone(), owner.clone(), node.settings));
    let keeper = keeper.transpose()?;
    let mut cold = true;
    if let Some(keeper) = keeper.clone() {
        cold = !keeper.recall();
        tokio::task::spawn_local(keeper.keep());
    }
    let maintenance = Maintenance::new(host.clone(), folder, keeper.clone());
    tokio::task::spawn_local(maintenance.clone().follow());
    let listener = match passed {
        Some(socket) => {
            TcpListener::from_std(socket).map_err(|e| format!("the passed socket: {e}"))?
        }
        None => tokio::select! {
            claimed = claimed("", node.listen, server::listen) => claimed?,
            () = stop.told() => return Ok(()),
        },
    };
    let bound = listener.local_addr().unwrap_or(node.listen);
    tokio::task::spawn_local(host.clone().timers());
    tokio::task::spawn_local(pool.sweep());
    let watched = node.discovery.map(|to| {
        let (moved, at) = watch::channel(to);
        let pace = Pace::new(config.discovery, config.proxy_count, node.seed);
        tokio::task::spawn_local(discovery::watch(host.clone(), at, index, pace));
        moved
    });
    let server = Server::new(host.clone(), rules, room - room / 2);
    let peers = match node.peers {
        Some(rules) => {
            let socket = claimed("peers: ", rules.listen, UdpSocket::bind).await?;
            let fleet = config.proxy_count;
            let peers = Peers::start(
                host.clone(),
                socket,
                rules,
                shared.clone(),
                fleet,
                node.seed,
                cold,
            );
            Some(peers.map_err(|e| format!("peers: {e}"))?)
        }
        None => None,
    };
    let fleet_overrides = Rc::new(FleetOverrides::new(in_force.clone(), node.version));
    let duties = match peers.as_ref().zip(node.duties.as_ref()) {
        Some((peers, rules)) => {
            let duties = Duties::start(
                host.clone(),
                peers,
                rules,
                config.slow_start,
                fleet_overrides.clone(),
                config_snapshot,
            );
            Some(duties.map_err(|e| format!("duties: {e}"))?)
        }
        None => None,
    };
    let keepers = Keepers {
        host: host.clone(),
        server: server.clone(),
        maintenance,
        peers: peers.clone(),
        duties: duties.clone().map(|d| d as Rc<dyn DutiesDoor>),
        figures: Figures::install(),
    };
    let mut door = Door::closed(keepers);
    if let Some(at) = node.control {
        door.answer(at, claimed("control: ", at, server::listen).await?);
    }
    info!("{} listens on {bound}, {listed} backends known", node.name);
    if tracing::enabled!(tracing::Level::DEBUG) {
        let told = host.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(HOLDS_EVERY).await;
                told.report_holds();
            }
        });
    }
    let (reporter, reported) = (server.clone(), host.clone());
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(REPORT_EVERY).await;
            reported.report(reporter.clients());
        }
    });
    let reload = Reload {
        host: host.clone(),
        server: server.clone(),
        discovery: watched,
        source,
        aside,
        in_force,
        fleet_overrides,
        shared,
        keeper: keeper.clone(),
        owner,
        door,
        sockets: sockets.clone(),
        keys: Arc::new(node.keys),
        listen: node.listen,
    };
    tokio::task::spawn_local(reload.run(hangup));
    let stop = async {
        stop.told().await;
        duties.iter().for_each(|d| d.leave());
    };
    if node.discovery.is_some() && presence.as_ref().is_some_and(|p| p.others().older) {
        // The other one serves on meanwhile, and the list at hand may be old.
        info!("beside another process: waiting for discovery's list");
        let _ = tokio::time::timeout(FIRST_LIST, host.listed()).await;
    }
    if let Some(duties) = &duties {
        duties.ready().await; // a window may be open
    }
    if let Some(Err(e)) = presence.as_ref().map(|p| p.publish()) {
        warn!("TMPDIR: another process will not see this one: {e}");
    }
    if let Some(p) = presence.clone() {
        tokio::task::spawn_local(share(p, host.clone(), server.clone(), sockets));
    }
    let succeeded = || presence.as_ref().is_some_and(|p| p.others().younger);
    server.run(listener, stop, succeeded).await;
    keeper.iter().for_each(|k| k.write());
    peers.iter().for_each(|p| p.leave());
    if let Some(keeper) = &keeper {
        keeper.settled().await;
    }
    info!("stopped");
    Ok(())
}

/// What ends the program. Once heard, a second one changes nothing: what was taken is answered first.
struct Stop {
    term: Signal,
    interrupt: Signal,
}

impl Stop {
    fn new() -> io::Result<Stop> {
        Ok(Stop {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn told(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        info!("stopping");
    }
}

/// Binds an address, and tries again for a while where another process has it, as one that is about to end does.
async fn claimed<T>(
    what: &str,
    at: SocketAddr,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> Result<T, String> {
    let (begun, mut told) = (Instant::now(), false);
    loop {
        match bind(at) {
            Ok(bound) => return Ok(bound),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && begun.elapsed() < CLAIM => {
                if !std::mem::replace(&mut told, true) {
                    warn!(
                        event = "address_in_use",
                        "{what}{at} is another process's, trying on: {e}"
                    );
                }
            }
            Err(e) => return Err(format!("{what}cannot listen on {at}: {e}")),
        }
        tokio::time::sleep(CLAIM_EVERY).await;
    }
}

/// Where processes of this proxy find what they share.
fn folder(owner: &Owner) -> Option<PathBuf> {
    let made = match std::env::var_os("TMPDIR") {
        Some(dir) => {
            let dir = Path::new(&dir).join(SHARED_FOLDER).join(owner.folder());
            std::fs::create_dir_all(&dir).map(|()| dir)
        }
        None => Err(std::io::Error::other("not set")),
    };
    made.inspect_err(|e| warn!("TMPDIR: bans hold in this process only, and no other is seen: {e}"))
        .ok()
}

fn presence(dir: &Path) -> Option<Rc<Presence>> {
    let made = Presence::new(dir);
    made.map(Rc::new)
        .inspect_err(|e| warn!("TMPDIR: no other process of this proxy sees this one: {e}"))
        .ok()
}
