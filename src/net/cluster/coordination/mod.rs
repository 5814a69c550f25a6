//! Duties that one proxy of the fleet holds at a time, and the maintenance windows that the holder of the calendar's duty
//! keeps: the socket side of [`meadowproxy::fleet`].
//!
//! Two threads work beside the request loop: `wire` takes the other proxies' messages, `clock` lets time pass; a third,
//! `copy`, writes a snapshot of the configuration where one is kept. They share six tables. **Lock order**, checked at every
//! lock ([`ranked`]): `leases` before `config` before `calendar` before `roster` before `outbox` before `relay`; whoever holds one takes
//! only later ones. The request loop takes none of them. It gets effects from
//! a bounded channel, and shows what it sees through a watch in which the newest wins; operators' calls go to the clock over a
//! bounded queue and are answered by a oneshot.

mod clock;
mod config;
pub mod copy;
pub mod door;
mod leases;
mod message;
mod ranked;
mod tables;
mod wire;

use crate::net::admin::{DutiesDoor, Later};
use crate::net::cluster::gossip::Peers;
use crate::net::config::overlay::Overlay;
use crate::net::config::Voting;
use crate::net::host::{Host, RosterRow, Why};
use bytes::Bytes;
use clock::{Clock, Command};
use config::Configuring;
use copy::Kept;
use hyper::{Method, StatusCode};
use leases::Leases;
use meadowproxy::fleet::calendar::{Calendar, DisruptionBudget, Rules, WallTime};
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
    pub rows: Vec<RosterRow>,
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

fn wall() -> WallTime {
    WallTime(crate::net::state::snapshot::wall_us())
}

/// This proxy's part in the fleet's duties.
pub struct Duties {
    commands: SyncSender<Command>,
    ready: watch::Receiver<bool>,
    /// What changes are checked against.
    overlay: Rc<Overlay>,
}

impl Duties {
    /// Starts the workers. `ramp`: how long a backend that is back is in slow start; `kept`: where this proxy's copy of the
    /// configuration is kept, if it is.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub fn start(
        host: Rc<Host>,
        peers: &Rc<Peers>,
        rules: &Voting,
        ramp: Micros,
        overlay: Rc<Overlay>,
        kept: Option<Kept>,
    ) -> io::Result<Rc<Duties>> {
        let own = peers.own();
        let leases = rules
            .leases()
            .map_err(|e| io::Error::other(e.to_string()))?;
        let incarnation = RandomState::new().build_hasher().finish();
        let (effects, told) = mpsc::channel(EFFECTS);
        let calendar = Calendar::new(Rules {
            budget: DisruptionBudget {
                kind_floor: rules.floor,
                zone_floor: rules.zone_floor.unwrap_or(rules.floor),
            },
            slow_start: ramp,
            max_holder_silence: peers.max_age(),
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
                Configuring::new(
                    leases,
                    rules.voters.clone(),
                    own,
                    incarnation,
                    overlay.newest(),
                ),
            ),
            calendar: Ranked::new(2, windows),
            roster: Ranked::new(3, Roster::starting()),
            outbox: Ranked::new(4, Outbox::new(effects)),
            relay: Ranked::new(5, Relay::new(own, incarnation, peers.max_age())),
            post: peers.post(),
            incarnation,
        });
        if let Some(table) = kept.as_ref().and_then(|kept| kept.recall(own)) {
            tables.restore(table);
        }
        let (pass, came) = sync_channel(MESSAGES);
        let (commands, calls) = sync_channel(CALLS);
        let (show, seen) = watch::channel(None);
        let (ask, need) = watch::channel(Need::Decides);
        let clock = Clock::new(tables.clone(), seen, ask, own, peers.alone());
        let (wake, copied) = (commands.clone(), tables.clone());
        let thread = |name: &str| std::thread::Builder::new().name(format!("duties-{name}"));
        thread("wire").spawn(move || wire::run(&tables, &came, &wake))?;
        thread("clock").spawn(move || clock.run(&calls))?;
        if let Some(kept) = kept {
            thread("copy").spawn(move || kept.keep(&copied, own))?;
        }
        peers.pass_duties(pass);
        info!(event = "duties_start", own = %own, voters = rules.voters.len(), lease_ms = rules.lease_ms,
            "takes part in the fleet's duties");
        let applied = Rc::new(Applied {
            out: RefCell::default(),
            overlay: overlay.clone(),
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
            overlay,
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

impl DutiesDoor for Duties {
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> Later {
        let (answer, wait) = oneshot::channel();
        let path = path.iter().map(std::string::ToString::to_string).collect();
        let call = door::Call {
            method: method.clone(),
            path,
            body,
        };
        let command = match config::change(&call, &self.overlay) {
            None => Command::Call(call, answer),
            Some(Ok((base, edits))) => Command::Change(base, edits, answer),
            Some(Err(said)) => return Box::pin(std::future::ready(said)),
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
    overlay: Rc<Overlay>,
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
                host.withdraw_unheard(&name, Why::Window);
                info!(
                    event = "window_out",
                    backend = name,
                    mono_us = mono().0,
                    "out for a window"
                );
                applied.out.borrow_mut().insert(name);
            }
            Effect::Back(name) => {
                host.restore(&name, Why::Window, host.clock.now());
                info!(
                    event = "window_back",
                    backend = name,
                    mono_us = mono().0,
                    "no window has it any more"
                );
                applied.out.borrow_mut().remove(&name);
            }
            Effect::Config(version, entries) => applied.overlay.add(version, entries),
            Effect::Ready => {
                applied.overlay.hear();
                ready.send_replace(true);
            }
        }
    }
}

/// Shows the workers what the request loop sees: at once where they need more than before.
async fn shows(
    host: Rc<Host>,
    peers: Rc<Peers>,
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
                rows: host.roster(),
            }));
        }
        let (open, overlay) = (host.open_at(&applied.out.borrow()), &applied.overlay);
        let (config, file) = (overlay.version(), overlay.file_version());
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
