//! Tasks on the request loop's thread: [`apply_effects`] applies the workers' effects, and [`LoopViewTask`] publishes
//! the loop's state to the workers.

use super::clocks::monotonic_now;
use super::command::Command;
use super::request_loop::{BackendDemand, BackendSnapshot, Effect, LoopView};
use crate::net::cluster::gossip::GossipDriver;
use crate::net::config::fleet_overrides::FleetOverrides;
use crate::net::host::{DisableReason, Host};
use meadowproxy::Micros;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tracing::info;

/// How often the request loop publishes its view.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of a snapshot of the backends while no decision depends on it.
const MAX_OCCASIONAL_AGE: Micros = Micros(1_000_000);

/// State that results from the effects applied so far.
pub struct AppliedEffects {
    /// Backends in maintenance.
    in_maintenance: RefCell<BTreeSet<String>>,
    /// The configuration entries of the fleet.
    fleet_overrides: Rc<FleetOverrides>,
}

impl AppliedEffects {
    /// Creates the state before any effect.
    pub fn new(fleet_overrides: Rc<FleetOverrides>) -> AppliedEffects {
        AppliedEffects {
            in_maintenance: RefCell::default(),
            fleet_overrides,
        }
    }
}

/// Applies the workers' effects until the workers are gone.
pub async fn apply_effects(
    host: Rc<Host>,
    mut effects: mpsc::Receiver<Effect>,
    applied: Rc<AppliedEffects>,
    caught_up: watch::Sender<bool>,
) {
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::BeginMaintenance(backend) => {
                host.disable_even_if_unlisted(&backend, DisableReason::MaintenanceWindow);
                info!(
                    event = "window_out",
                    backend,
                    mono_us = monotonic_now().0,
                    "backend is in maintenance and gets no new requests"
                );
                applied.in_maintenance.borrow_mut().insert(backend);
            }
            Effect::EndMaintenance(backend) => {
                host.enable_backend(&backend, DisableReason::MaintenanceWindow, host.clock.now());
                info!(
                    event = "window_back",
                    backend,
                    mono_us = monotonic_now().0,
                    "backend is no longer in maintenance"
                );
                applied.in_maintenance.borrow_mut().remove(&backend);
            }
            Effect::ChangeConfig { version, entries } => {
                applied.fleet_overrides.apply(version, entries);
            }
            Effect::CaughtUp => {
                applied.fleet_overrides.confirm_file();
                caught_up.send_replace(true);
            }
        }
    }
}

/// Publishes the request loop's state to the workers: at regular intervals, and at once when the demand changes.
pub struct LoopViewTask {
    pub host: Rc<Host>,
    pub gossip: Rc<GossipDriver>,
    pub applied: Rc<AppliedEffects>,
    pub view_sender: watch::Sender<Option<Arc<LoopView>>>,
    pub demand: watch::Receiver<BackendDemand>,
    pub commands: SyncSender<Command>,
}

impl LoopViewTask {
    /// Publishes the view until the workers are gone.
    pub async fn run(mut self) {
        let mut backends = None;
        let mut previous_demand = BackendDemand::NotNeeded;
        loop {
            let demand = *self.demand.borrow_and_update();
            backends = self.snapshot_backends(demand, backends);
            self.view_sender
                .send_replace(Some(Arc::new(self.build_view(&backends))));
            if demand != previous_demand {
                previous_demand = demand;
                let _ = self.commands.try_send(Command::Wake); // if the queue is full, the worker is awake anyway
            }
            tokio::select! {
                () = tokio::time::sleep(VIEW_INTERVAL) => {}
                changed = self.demand.changed() => if changed.is_err() {
                    return;
                }
            }
        }
    }

    /// Returns the backends as `demand` requires, reusing the previous snapshot where it is recent enough.
    fn snapshot_backends(
        &self,
        demand: BackendDemand,
        previous: Option<Arc<BackendSnapshot>>,
    ) -> Option<Arc<BackendSnapshot>> {
        let now = monotonic_now();
        let recent = previous.filter(|previous| now - previous.taken_at < MAX_OCCASIONAL_AGE);
        match (demand, recent) {
            (BackendDemand::NotNeeded, _) => None,
            (BackendDemand::Occasional, Some(recent)) => Some(recent),
            (BackendDemand::Occasional, None) | (BackendDemand::EveryUpdate, _) => {
                Some(Arc::new(BackendSnapshot {
                    taken_at: now,
                    rows: self.host.backend_statuses(),
                }))
            }
        }
    }

    fn build_view(&self, backends: &Option<Arc<BackendSnapshot>>) -> LoopView {
        LoopView {
            backends: backends.clone(),
            open: self
                .host
                .in_flight_counts(&self.applied.in_maintenance.borrow()),
            members: self.gossip.members(),
            config_version: self.applied.fleet_overrides.version(),
            file_version: self.applied.fleet_overrides.file_version(),
        }
    }
}
