//! Duties that one proxy of the fleet holds at a time, and the maintenance windows that the holder of the calendar's duty
//! keeps: the socket side of [`meadowproxy::fleet`].
//!
//! Two threads work beside the request loop: `wire` takes the other proxies' messages, `clock` lets time pass; a third,
//! `copy`, writes a snapshot of the configuration where one is saved. They share six tables. **Lock order**, checked at every
//! lock ([`ranked`]): `leases` before `config` before `calendar` before `roster` before `outbox` before `relay`; whoever holds one takes
//! only later ones. The request loop takes none of them. It gets effects from
//! a bounded channel, and shows what it sees through a watch in which the newest wins; operators' calls go to the clock over a
//! bounded queue and are answered by a oneshot.

mod clock;
mod config;
pub mod config_snapshot;
pub mod door;
mod leases;
mod message;
mod ranked;
mod tables;
mod wire;

use crate::net::admin::{AdminReply, FleetAdmin};
use crate::net::cluster::gossip::GossipDriver;
use crate::net::config::fleet_overrides::FleetOverrides;
use crate::net::config::Voting;
use crate::net::host::{BackendStatus, DisableReason, Host};
use bytes::Bytes;
use clock::{Clock, Command};
use config::ConfigDriver;
use config_snapshot::SnapshotFile;
use hyper::{Method, StatusCode};
use leases::Leases;
use meadowproxy::fleet::calendar::{Budget, Calendar, Rules, Wall};
use meadowproxy::fleet::config::Entry;
use meadowproxy::fleet::relay::Relay;
use meadowproxy::{Micros, Time};
use message::Duty;
use ranked::Ranked;
use rustix::time::{clock_gettime, ClockId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tables::{Outbox, Roster, Tables, Windows};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::info;

/// Messages that wait for the workers at most; more are dropped, as UDP may.
const MESSAGES: usize = 1024;
/// Calls that wait at most.
const CALLS: usize = 64;
/// Effects that wait for the request loop at most: a window may take out a few hundred backends at once.
const EFFECTS: usize = 1024;
/// How often the request loop shows what it sees.
const SHOW: Duration = Duration::from_millis(250);
/// How old the backends may be that it shows where nothing is decided on them.
const KEPT: Micros = Micros(1_000_000);

/// What the workers ask of the request loop.
pub enum Effect {
    /// Nothing new to that backend: a window has it.
    Out(String),
    /// No window has it any more.
    Back(String),
    /// These entries of the configuration changed together; that is its version now.
    Config(u64, Vec<Entry>),
    /// Calendar and configuration are as the others know them: clients may come.
    Ready,
}

/// What the workers need to know of the listed backends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Need {
    Nothing,
    /// Something is out: they are shown now and then.
    KeepsOut,
    /// They are decided on, or this proxy starts: they are shown each time.
    Decides,
}

/// The backends as the request loop sees them.
pub struct Rows {
    pub at: Time,
    pub rows: Vec<BackendStatus>,
}

/// What the request loop sees.
pub struct Seen {
    /// While they are needed.
    pub rows: Option<Arc<Rows>>,
    /// Its open requests at what is out for windows and listed.
    pub open: BTreeMap<String, u32>,
    /// Live members but this proxy.
    pub members: Vec<SocketAddr>,
    /// The configuration's version in force.
    pub config: u64,
    /// The changes up to this one are in the file in force, as that says.
    pub file: u64,
}

/// The monotonic clock, which all processes of a machine share.
pub fn mono() -> Time {
    let now = clock_gettime(ClockId::Monotonic);
    Time(
        (now.tv_sec as u64)
            .saturating_mul(1_000_000)
            .saturating_add(now.tv_nsec as u64 / 1000),
    )
}

fn wall() -> Wall {
    Wall(crate::net::state::snapshot::wall_us())
}

/// This proxy's part in the fleet's duties.
pub struct Duties {
    commands: SyncSender<Command>,
    ready: watch::Receiver<bool>,
    /// What changes are checked against.
    fleet_overrides: Rc<FleetOverrides>,
}

impl Duties {
    /// Starts the workers. `ramp`: how long a backend that is back is in slow start; `config_snapshot`: where this proxy's table of the
    /// configuration is saved, if it is.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub fn start(
        host: Rc<Host>,
        peers: &Rc<GossipDriver>,
        rules: &Voting,
        ramp: Micros,
        fleet_overrides: Rc<FleetOverrides>,
        config_snapshot: Option<SnapshotFile>,
    ) -> io::Result<Rc<Duties>> {
        let own = peers.own_address();
        let leases = rules
            .leases()
            .map_err(|e| io::Error::other(e.to_string()))?;
        let incarnation = RandomState::new().build_hasher().finish();
        let (effects, told) = mpsc::channel(EFFECTS);
        let calendar = Calendar::new(Rules {
            budget: Budget {
                kind: rules.floor,
                zone: rules.zone_floor.unwrap_or(rules.floor),
            },
            ramp,
            max_age: peers.max_age(),
        });
        let windows = Windows {
            calendar,
            out: BTreeSet::new(),
            covered: Some(Vec::new()),
        };
        let tables = Arc::new(Tables {
            leases: Ranked::new(
                0,
                Leases::new(
                    Duty::Calendar,
                    leases,
                    rules.voters.clone(),
                    own,
                    incarnation,
                ),
            ),
            config: Ranked::new(
                1,
                ConfigDriver::new(
                    leases,
                    rules.voters.clone(),
                    own,
                    incarnation,
                    fleet_overrides.newest(),
                ),
            ),
            calendar: Ranked::new(2, windows),
            roster: Ranked::new(3, Roster::starting()),
            outbox: Ranked::new(4, Outbox::new(effects)),
            relay: Ranked::new(5, Relay::new(own, incarnation, peers.max_age())),
            post: peers.sender(),
            incarnation,
        });
        if let Some(table) = config_snapshot.as_ref().and_then(|file| file.load(own)) {
            tables.restore_config(table);
        }
        let (pass, came) = sync_channel(MESSAGES);
        let (commands, calls) = sync_channel(CALLS);
        let (show, seen) = watch::channel(None);
        let (ask, need) = watch::channel(Need::Decides);
        let clock = Clock::new(tables.clone(), seen, ask, own, peers.is_only_proxy());
        let (wake, saved) = (commands.clone(), tables.clone());
        let thread = |name: &str| std::thread::Builder::new().name(format!("duties-{name}"));
        thread("wire").spawn(move || wire::run(&tables, &came, &wake))?;
        thread("clock").spawn(move || clock.run(&calls))?;
        if let Some(file) = config_snapshot {
            thread("copy").spawn(move || file.save_changes(&saved, own))?;
        }
        peers.deliver_coordination_to(pass);
        info!(event = "duties_start", own = %own, voters = rules.voters.len(), lease_ms = rules.lease_ms,
            "takes part in the fleet's duties");
        let applied = Rc::new(Applied {
            out: RefCell::default(),
            fleet_overrides: fleet_overrides.clone(),
        });
        let (tell, ready) = watch::channel(false);
        tokio::task::spawn_local(apply(host.clone(), told, applied.clone(), tell));
        tokio::task::spawn_local(shows(
            host,
            peers.clone(),
            applied,
            show,
            need,
            commands.clone(),
        ));
        Ok(Rc::new(Duties {
            commands,
            ready,
            fleet_overrides,
        }))
    }

    /// Until this proxy knows the calendar as another one does, or has waited long enough for it.
    pub async fn ready(&self) {
        let _ = self.ready.clone().wait_for(|ready| *ready).await;
    }

    /// Gives up what this proxy holds, as it goes.
    pub fn leave(&self) {
        let _ = self.commands.try_send(Command::Leave); // full: the lease runs out by itself
    }
}

impl FleetAdmin for Duties {
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> AdminReply {
        let (answer, wait) = oneshot::channel();
        let path = path.iter().map(std::string::ToString::to_string).collect();
        let call = door::Call {
            method: method.clone(),
            path,
            body,
        };
        let command = match config::parse_change(&call, &self.fleet_overrides) {
            None => Command::Call(call, answer),
            Some(Ok(change)) => Command::Change(change, answer),
            Some(Err(error)) => return Box::pin(std::future::ready(error.answer())),
        };
        let queued = self.commands.try_send(command).is_ok();
        Box::pin(async move {
            let busy = (
                StatusCode::SERVICE_UNAVAILABLE,
                "too many calls at once\n".to_string(),
            );
            if queued {
                wait.await.unwrap_or(busy)
            } else {
                busy
            }
        })
    }
}

/// What was carried out of what the workers asked.
struct Applied {
    /// Backends out for windows.
    out: RefCell<BTreeSet<String>>,
    /// The configuration's entries.
    fleet_overrides: Rc<FleetOverrides>,
}

/// Carries out what the workers ask.
async fn apply(
    host: Rc<Host>,
    mut told: mpsc::Receiver<Effect>,
    applied: Rc<Applied>,
    ready: watch::Sender<bool>,
) {
    while let Some(effect) = told.recv().await {
        match effect {
            Effect::Out(name) => {
                host.disable_even_if_unlisted(&name, DisableReason::MaintenanceWindow);
                info!(
                    event = "window_out",
                    backend = name,
                    mono_us = mono().0,
                    "out for a window"
                );
                applied.out.borrow_mut().insert(name);
            }
            Effect::Back(name) => {
                host.enable_backend(&name, DisableReason::MaintenanceWindow, host.clock.now());
                info!(
                    event = "window_back",
                    backend = name,
                    mono_us = mono().0,
                    "no window has it any more"
                );
                applied.out.borrow_mut().remove(&name);
            }
            Effect::Config(version, entries) => applied.fleet_overrides.apply(version, entries),
            Effect::Ready => {
                applied.fleet_overrides.confirm_file();
                ready.send_replace(true);
            }
        }
    }
}

/// Shows the workers what the request loop sees: at once where they need more than before.
async fn shows(
    host: Rc<Host>,
    peers: Rc<GossipDriver>,
    applied: Rc<Applied>,
    show: watch::Sender<Option<Arc<Seen>>>,
    mut need: watch::Receiver<Need>,
    wake: SyncSender<Command>,
) {
    let (mut rows, mut before) = (None, Need::Nothing);
    loop {
        let (asked, at) = (*need.borrow_and_update(), mono());
        rows = match asked {
            Need::Nothing => None,
            Need::KeepsOut => rows.filter(|rows: &Arc<Rows>| at - rows.at < KEPT),
            Need::Decides => None,
        };
        if rows.is_none() && asked != Need::Nothing {
            rows = Some(Arc::new(Rows {
                at,
                rows: host.backend_statuses(),
            }));
        }
        let (open, overrides) = (
            host.in_flight_at(&applied.out.borrow()),
            &applied.fleet_overrides,
        );
        let (config, file) = (overrides.version(), overrides.file_version());
        let seen = Seen {
            rows: rows.clone(),
            open,
            members: peers.members(),
            config,
            file,
        };
        show.send_replace(Some(Arc::new(seen)));
        if asked != before {
            before = asked;
            let _ = wake.try_send(Command::Wake); // full: it is awake anyway
        }
        tokio::select! {
            () = tokio::time::sleep(SHOW) => {}
            changed = need.changed() => if changed.is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
mod stored_formats;
