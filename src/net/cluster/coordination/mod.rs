//! Coordination of the fleet's proxies: the leases of duties that one proxy performs at a time, the maintenance windows
//! that the holder of the calendar's duty advances, and the configuration. The state machines are in
//! [`meadowproxy::fleet`]; here are their sockets, clocks and threads.
//!
//! Start it with [`Coordinator::start`]. Two threads work beside the request loop: the message worker (`duties-wire`)
//! takes the other proxies' messages, the timer worker (`duties-clock`) lets time pass; a third (`duties-copy`) writes a
//! snapshot of the configuration where one is wanted. They share [`shared_state`].
//!
//! The request loop takes none of their locks: it gets effects from a bounded channel,
//! and shows what it sees through a watch in which the newest value wins; operators' calls go to the timer worker over a
//! bounded queue and are answered by a oneshot.
//!
//! Modules use each other in one direction only, each those of the rows above it or of its own.
//!
//! | modules | what they are |
//! | --- | --- |
//! | `message`, `call`, `clocks`, `config_change`, `command`, `ordered_locks`, `request_loop` | messages and plain types |
//! | `voter_contacts`, `duty_lease`, `maintenance`, `effect_queue`, `fleet_view`, `config_driver` | one table each |
//! | `shared_state` | the tables behind their locks |
//! | `announcements`, `config`, `admin_calls`, `config_snapshot` | what is done with the tables |
//! | `message_worker`, `timer_worker`, `request_loop_tasks` | the threads, and the request loop's side |

mod admin_calls;
mod announcements;
mod call;
mod clocks;
mod command;
mod config;
mod config_change;
mod config_driver;
pub mod config_snapshot;
mod duty_lease;
mod effect_queue;
mod fleet_view;
mod maintenance;
mod message;
mod message_worker;
mod ordered_locks;
mod request_loop;
mod request_loop_tasks;
mod shared_state;
#[cfg(test)]
mod stored_formats;
mod timer_worker;
mod voter_contacts;

pub use clocks::monotonic_now;

use crate::net::admin::{AdminReply, FleetAdmin};
use crate::net::cluster::gossip::{CoordinationDatagram, GossipDriver};
use crate::net::config::fleet_overrides::FleetOverrides;
use crate::net::config::CoordinationSection;
use crate::net::host::Host;
use bytes::Bytes;
use call::Call;
use command::Command;
use config_driver::ConfigDriver;
use config_snapshot::SnapshotFile;
use duty_lease::DutyLease;
use effect_queue::EffectQueue;
use fleet_view::FleetView;
use hyper::{Method, StatusCode};
use maintenance::MaintenanceState;
use meadowproxy::fleet::calendar::{Calendar, DisruptionBudget, Rules};
use meadowproxy::fleet::relay::Relay;
use meadowproxy::Micros;
use message::Duty;
use request_loop::{BackendDemand, Effect};
use request_loop_tasks::{apply_effects, AppliedEffects, LoopViewTask};
use shared_state::{SharedState, SharedStateParts};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use timer_worker::TimerWorker;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::info;

/// Messages that wait for the message worker at most; more are dropped, as UDP may.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Commands that wait for the timer worker at most.
const MAX_QUEUED_COMMANDS: usize = 64;
/// Effects that wait for the request loop at most: a window may target a few hundred backends at once.
const MAX_QUEUED_EFFECTS: usize = 1024;
/// This proxy's part in the fleet's duties.
pub struct Coordinator {
    commands: SyncSender<Command>,
    is_caught_up: watch::Receiver<bool>,
    /// What changes of the configuration are checked against.
    fleet_overrides: Rc<FleetOverrides>,
}

impl Coordinator {
    /// Starts the workers. `slow_start`: how long a backend is in slow start after a window; `config_snapshot`: where this
    /// proxy's table of the configuration is saved, if it is.
    ///
    /// # Errors
    /// The rules of the leases are out of their range, or a thread does not start.
    pub fn start(
        host: Rc<Host>,
        peers: &Rc<GossipDriver>,
        voting: &CoordinationSection,
        slow_start: Micros,
        fleet_overrides: Rc<FleetOverrides>,
        config_snapshot: Option<SnapshotFile>,
    ) -> io::Result<Rc<Coordinator>> {
        let own = peers.own_address();
        let (effects, pending_effects) = mpsc::channel(MAX_QUEUED_EFFECTS);
        let shared = build_shared_state(peers, voting, slow_start, &fleet_overrides, effects)?;
        if let Some(table) = config_snapshot.as_ref().and_then(|file| file.load(own)) {
            shared.restore_config(table);
        }
        let (messages, received) = sync_channel(MAX_QUEUED_MESSAGES);
        let (commands, queued_commands) = sync_channel(MAX_QUEUED_COMMANDS);
        let (show, seen) = watch::channel(None);
        let (demanded, demand) = watch::channel(BackendDemand::EveryUpdate);
        let timers = TimerWorker::new(shared.clone(), seen, demanded, own, peers.is_only_proxy());
        spawn_workers(&shared, timers, received, queued_commands, &commands)?;
        if let Some(file) = config_snapshot {
            thread("copy").spawn(move || file.save_changes(&shared, own))?;
        }
        peers.deliver_coordination_to(messages);
        info!(event = "duties_start", own = %own, voters = voting.voters.len(), lease_ms = voting.lease_ms,
            "takes part in the leases of the fleet's duties");
        let applied = Rc::new(AppliedEffects::new(fleet_overrides.clone()));
        let (caught_up, is_caught_up) = watch::channel(false);
        let apply = apply_effects(host.clone(), pending_effects, applied.clone(), caught_up);
        tokio::task::spawn_local(apply);
        let view_task = LoopViewTask {
            host,
            peers: peers.clone(),
            applied,
            show,
            demand,
            commands: commands.clone(),
        };
        tokio::task::spawn_local(view_task.run());
        Ok(Rc::new(Coordinator {
            commands,
            is_caught_up,
            fleet_overrides,
        }))
    }

    /// Until this proxy has caught up with the calendar and the configuration, or has waited long enough for that.
    pub async fn wait_until_ready(&self) {
        let _ = self.is_caught_up.clone().wait_for(|ready| *ready).await;
    }

    /// Releases the leases that this proxy holds, as it shuts down.
    pub fn release_leases(&self) {
        let _ = self.commands.try_send(Command::Leave); // full: the lease expires by itself
    }
}

/// The tables at the start.
fn build_shared_state(
    peers: &GossipDriver,
    voting: &CoordinationSection,
    slow_start: Micros,
    fleet_overrides: &FleetOverrides,
    effects: mpsc::Sender<Effect>,
) -> io::Result<Arc<SharedState>> {
    let own = peers.own_address();
    let lease_rules = voting
        .leases()
        .map_err(|error| io::Error::other(error.to_string()))?;
    let incarnation = RandomState::new().build_hasher().finish();
    let calendar = Calendar::new(Rules {
        budget: DisruptionBudget {
            kind_floor: voting.floor,
            zone_floor: voting.zone_floor.unwrap_or(voting.floor),
        },
        slow_start,
        isolation_timeout: peers.max_age(),
    });
    let voters = voting.voters.clone();
    let lease = DutyLease::new(
        Duty::Calendar,
        lease_rules,
        voters.clone(),
        own,
        incarnation,
    );
    Ok(Arc::new(SharedState::new(SharedStateParts {
        lease,
        config: ConfigDriver::new(
            lease_rules,
            voters,
            own,
            incarnation,
            fleet_overrides.newest(),
        ),
        maintenance: MaintenanceState::new(calendar),
        fleet_view: FleetView::at_start(),
        effect_queue: EffectQueue::new(effects),
        relay: Relay::new(own, incarnation, peers.max_age()),
        datagrams: peers.sender(),
        incarnation,
    })))
}

fn thread(name: &str) -> std::thread::Builder {
    std::thread::Builder::new().name(format!("duties-{name}"))
}

fn spawn_workers(
    shared: &Arc<SharedState>,
    timers: TimerWorker,
    messages: Receiver<CoordinationDatagram>,
    queued_commands: Receiver<Command>,
    commands: &SyncSender<Command>,
) -> io::Result<()> {
    let shared = shared.clone();
    let commands = commands.clone();
    thread("wire").spawn(move || message_worker::run(&shared, &messages, &commands))?;
    thread("clock").spawn(move || timers.run(&queued_commands))?;
    Ok(())
}

impl FleetAdmin for Coordinator {
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> AdminReply {
        let (answer, wait) = oneshot::channel();
        let path = path.iter().map(std::string::ToString::to_string).collect();
        let call = Call {
            method: method.clone(),
            path,
            body,
        };
        let command = match config_change::parse_change(&call, &self.fleet_overrides) {
            None => Command::Call(call, answer),
            Some(Ok(change)) => Command::ChangeConfig(change, answer),
            Some(Err(error)) => return Box::pin(std::future::ready(error.answer())),
        };
        let is_queued = self.commands.try_send(command).is_ok();
        Box::pin(async move {
            let busy = (
                StatusCode::SERVICE_UNAVAILABLE,
                "too many calls at once\n".to_string(),
            );
            if is_queued {
                wait.await.unwrap_or(busy)
            } else {
                busy
            }
        })
    }
}
