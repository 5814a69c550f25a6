//! Coordination of the fleet's proxies: leases for the duties that one proxy performs at a time, the maintenance
//! windows that the holder of the calendar duty advances, and the replicated configuration. The state machines are in
//! [`meadowproxy::fleet`]; this module runs them on sockets, clocks and threads.
//!
//! Start it with [`Coordinator::start`]. Two threads run beside the request loop: the message worker (`duties-wire`)
//! handles the other proxies' messages, and the timer worker (`duties-clock`) runs timers and operators' calls. A third
//! one (`duties-copy`) saves snapshots of the configuration, if enabled. The threads share
//! [`SharedState`](shared_state::SharedState).
//!
//! The request loop takes none of the workers' locks. It receives effects over a bounded channel and publishes its view
//! through a watch channel, which keeps only the newest value. Operators' calls go to the timer worker over a bounded
//! queue and are answered over a oneshot channel.
//!
//! Each module depends only on modules in its own row of this table or in the rows above.
//!
//! | modules | content |
//! | --- | --- |
//! | `message`, `call`, `clocks`, `config_change`, `command`, `ordered_locks`, `request_loop` | messages and plain types |
//! | `voter_contacts`, `duty_lease`, `maintenance`, `effect_queue`, `fleet_view`, `config_driver` | the parts of the shared state |
//! | `shared_state` | the shared state, each part behind its lock |
//! | `announcements`, `config`, `admin_calls`, `config_snapshot` | operations on the shared state |
//! | `message_worker`, `timer_worker`, `request_loop_tasks` | the worker threads and the request loop's tasks |

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

use crate::net::admin::{AdminResponseFuture, FleetAdmin};
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

/// Capacity of the message worker's queue. Further messages are dropped, which senders expect of UDP anyway.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Capacity of the timer worker's command queue.
const MAX_QUEUED_COMMANDS: usize = 64;
/// Capacity of the request loop's effect queue: a window may target a few hundred backends at once.
const MAX_QUEUED_EFFECTS: usize = 1024;

/// Runs the coordination of this proxy with the fleet: leases of duties, maintenance windows and the configuration.
pub struct Coordinator {
    commands: SyncSender<Command>,
    is_caught_up: watch::Receiver<bool>,
    /// The entries that operators' configuration changes are validated against.
    fleet_overrides: Rc<FleetOverrides>,
}

impl Coordinator {
    /// Starts the workers. `slow_start` is how long a backend is in slow start after a window; `config_snapshot` is the
    /// file in which this proxy saves its configuration table, if it does.
    ///
    /// # Errors
    /// Returns an error if the lease settings are out of range or a thread cannot be started.
    pub fn start(
        host: Rc<Host>,
        gossip: &Rc<GossipDriver>,
        section: &CoordinationSection,
        slow_start: Micros,
        fleet_overrides: Rc<FleetOverrides>,
        config_snapshot: Option<SnapshotFile>,
    ) -> io::Result<Rc<Coordinator>> {
        let own_address = gossip.own_address();
        let (effects, pending_effects) = mpsc::channel(MAX_QUEUED_EFFECTS);
        let shared = build_shared_state(gossip, section, slow_start, &fleet_overrides, effects)?;
        if let Some(table) = config_snapshot
            .as_ref()
            .and_then(|file| file.load(own_address))
        {
            shared.restore_config(table);
        }
        let (messages, received_messages) = sync_channel(MAX_QUEUED_MESSAGES);
        let (commands, queued_commands) = sync_channel(MAX_QUEUED_COMMANDS);
        let (view_sender, loop_view) = watch::channel(None);
        let (demand_sender, demand) = watch::channel(BackendDemand::EveryUpdate);
        let timers = TimerWorker::new(
            shared.clone(),
            loop_view,
            demand_sender,
            own_address,
            gossip.is_only_proxy(),
        );
        spawn_workers(
            &shared,
            timers,
            received_messages,
            queued_commands,
            &commands,
        )?;
        if let Some(file) = config_snapshot {
            thread_builder("copy").spawn(move || file.save_changes(&shared, own_address))?;
        }
        gossip.deliver_coordination_to(messages);
        info!(event = "duties_start", own = %own_address, voters = section.voters.len(), lease_ms = section.lease_ms,
            "started coordination with the fleet");
        let applied = Rc::new(AppliedEffects::new(fleet_overrides.clone()));
        let (caught_up, is_caught_up) = watch::channel(false);
        let effects_task = apply_effects(host.clone(), pending_effects, applied.clone(), caught_up);
        tokio::task::spawn_local(effects_task);
        let view_task = LoopViewTask {
            host,
            gossip: gossip.clone(),
            applied,
            view_sender,
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

    /// Waits until this proxy has caught up with the calendar and the configuration, or catching up has timed out.
    pub async fn wait_until_ready(&self) {
        let _ = self.is_caught_up.clone().wait_for(|ready| *ready).await;
    }

    /// Releases the leases that this proxy holds. Called at shutdown.
    pub fn release_leases(&self) {
        let _ = self.commands.try_send(Command::Leave); // if the queue is full, the leases expire by themselves
    }
}

/// Creates the shared state of a proxy that starts.
fn build_shared_state(
    gossip: &GossipDriver,
    section: &CoordinationSection,
    slow_start: Micros,
    fleet_overrides: &FleetOverrides,
    effects: mpsc::Sender<Effect>,
) -> io::Result<Arc<SharedState>> {
    let own_address = gossip.own_address();
    let lease_rules = section
        .lease_rules()
        .map_err(|error| io::Error::other(error.to_string()))?;
    let incarnation = RandomState::new().build_hasher().finish();
    let calendar = Calendar::new(Rules {
        budget: DisruptionBudget {
            kind_floor: section.floor,
            zone_floor: section.zone_floor.unwrap_or(section.floor),
        },
        slow_start,
        isolation_timeout: gossip.max_age(),
    });
    let voters = section.voters.clone();
    let calendar_lease = DutyLease::new(
        Duty::Calendar,
        lease_rules,
        voters.clone(),
        own_address,
        incarnation,
    );
    Ok(Arc::new(SharedState::new(SharedStateParts {
        calendar_lease,
        config: ConfigDriver::new(
            lease_rules,
            voters,
            own_address,
            incarnation,
            fleet_overrides.newest(),
        ),
        maintenance: MaintenanceState::new(calendar),
        fleet_view: FleetView::at_start(),
        effect_queue: EffectQueue::new(effects),
        relay: Relay::new(own_address, incarnation, gossip.max_age()),
        datagrams: gossip.sender(),
        incarnation,
    })))
}

/// Returns the builder of the thread `duties-{name}`.
fn thread_builder(name: &str) -> std::thread::Builder {
    std::thread::Builder::new().name(format!("duties-{name}"))
}

/// Starts the threads of the message worker and the timer worker.
fn spawn_workers(
    shared: &Arc<SharedState>,
    timers: TimerWorker,
    messages: Receiver<CoordinationDatagram>,
    queued_commands: Receiver<Command>,
    commands: &SyncSender<Command>,
) -> io::Result<()> {
    let shared = shared.clone();
    let commands = commands.clone();
    thread_builder("wire").spawn(move || message_worker::run(&shared, &messages, &commands))?;
    thread_builder("clock").spawn(move || timers.run(&queued_commands))?;
    Ok(())
}

impl FleetAdmin for Coordinator {
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> AdminResponseFuture {
        let (response_sender, response) = oneshot::channel();
        let path = path.iter().map(std::string::ToString::to_string).collect();
        let call = Call {
            method: method.clone(),
            path,
            body,
        };
        let command = match config_change::parse_change(&call, &self.fleet_overrides) {
            None => Command::Call(call, response_sender),
            Some(Ok(change)) => Command::ChangeConfig(change, response_sender),
            Some(Err(error)) => return Box::pin(std::future::ready(error.response())),
        };
        let is_queued = self.commands.try_send(command).is_ok();
        Box::pin(async move {
            let busy = (
                StatusCode::SERVICE_UNAVAILABLE,
                "too many calls at once\n".to_string(),
            );
            if is_queued {
                response.await.unwrap_or(busy)
            } else {
                busy
            }
        })
    }
}
