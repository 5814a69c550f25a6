//! The state that the workers share, each part behind a lock of its own, and the operations that need several parts.
//!
//! Lock order, checked with every lock taken: `calendar_lease`, `config`, `maintenance`, `fleet_view`, `effect_queue`,
//! `relay`. The request loop takes none of these locks.

use super::clocks::wall_now;
use super::config_driver::ConfigDriver;
use super::duty_lease::{DutyLease, DutyMessages};
use super::effect_queue::EffectQueue;
use super::fleet_view::FleetView;
use super::maintenance::MaintenanceState;
use super::message;
use super::message::Duty;
use super::ordered_locks::OrderedLock;
use super::request_loop::Effect;
use crate::net::cluster::gossip::wire::Body;
use crate::net::cluster::gossip::DatagramSender;
use meadowproxy::fleet::calendar::ListedBackends;
use meadowproxy::fleet::lease::Token;
use meadowproxy::fleet::relay::Relay;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The state that the workers share.
pub struct SharedState {
    /// The lease of the calendar duty.
    pub calendar_lease: OrderedLock<DutyLease>,
    /// The configuration, with the lease of the configuration duty.
    pub config: OrderedLock<ConfigDriver>,
    pub maintenance: OrderedLock<MaintenanceState>,
    pub fleet_view: OrderedLock<FleetView>,
    pub effect_queue: OrderedLock<EffectQueue>,
    pub relay: OrderedLock<Relay>,
    /// The socket's sending side, which needs no lock.
    pub datagrams: Arc<DatagramSender>,
    /// Random number of this process, drawn at its start.
    pub incarnation: u64,
}

/// The parts of [`SharedState`] without their locks.
pub struct SharedStateParts {
    pub calendar_lease: DutyLease,
    pub config: ConfigDriver,
    pub maintenance: MaintenanceState,
    pub fleet_view: FleetView,
    pub effect_queue: EffectQueue,
    pub relay: Relay,
    pub datagrams: Arc<DatagramSender>,
    pub incarnation: u64,
}

impl SharedState {
    /// Puts each part behind a lock with its rank in the lock order.
    pub fn new(parts: SharedStateParts) -> SharedState {
        SharedState {
            calendar_lease: OrderedLock::new(0, parts.calendar_lease),
            config: OrderedLock::new(1, parts.config),
            maintenance: OrderedLock::new(2, parts.maintenance),
            fleet_view: OrderedLock::new(3, parts.fleet_view),
            effect_queue: OrderedLock::new(4, parts.effect_queue),
            relay: OrderedLock::new(5, parts.relay),
            datagrams: parts.datagrams,
            incarnation: parts.incarnation,
        }
    }

    /// Calls `access` with the lease of a duty, locked.
    pub fn with_lease<T>(&self, duty: Duty, access: impl FnOnce(&mut DutyLease) -> T) -> T {
        match duty {
            Duty::Calendar => access(&mut self.calendar_lease.lock()),
            Duty::Config => access(&mut self.config.lock().lease),
        }
    }

    /// Returns the tokens under which this proxy holds the calendar and the configuration duty.
    pub fn held_tokens(&self) -> [Option<Token>; 2] {
        [Duty::Calendar, Duty::Config].map(|duty| self.with_lease(duty, |lease| lease.held_token()))
    }

    /// Sends messages to other proxies, and counts them.
    pub fn send(&self, outgoing: DutyMessages) {
        let count = outgoing.len() as u64;
        for (to, message) in outgoing {
            self.datagrams
                .send(to, Body::Coordination(message::encode(&message)));
        }
        if count > 0 {
            self.effect_queue.lock().sent += count;
        }
    }

    /// Determines which backends are in maintenance for this proxy, and notifies the request loop of changes. Changes
    /// that do not fit into the effect queue are sent with the next call.
    pub fn update_maintenance(&self) {
        let since_heartbeat = self.calendar_lease.lock().since_heartbeat();
        let mut maintenance = self.maintenance.lock();
        let maintenance = &mut *maintenance;
        let now = wall_now();
        let calendar = &maintenance.calendar;
        let is_isolated = since_heartbeat > calendar.rules.isolation_timeout;
        let decides_locally = is_isolated && calendar.needs_backends(now);
        if !decides_locally
            && maintenance.in_maintenance.is_empty()
            && !calendar.any_window_in_effect()
        {
            return;
        }
        let backends = self
            .fleet_view
            .lock()
            .listed_backends(&maintenance.in_maintenance, decides_locally);
        let backends = match backends {
            Some(backends) => backends,
            // The backends of zones are not known yet; windows that name their backends take effect without them.
            None if decides_locally || !maintenance.has_caught_up() => return,
            None => Arc::default(),
        };
        let target = maintenance
            .calendar
            .backends_in_maintenance(now, since_heartbeat, &backends);
        self.notify_request_loop(&mut maintenance.in_maintenance, &target, &backends);
    }

    /// Sends the effects that turn `notified` into `target`, and updates `notified` by those that were queued.
    fn notify_request_loop(
        &self,
        notified: &mut BTreeSet<String>,
        target: &BTreeSet<String>,
        backends: &ListedBackends,
    ) {
        let effect_queue = self.effect_queue.lock();
        let try_send = |effect| effect_queue.effects.try_send(effect).is_ok();
        for name in target {
            if !notified.contains(name) && try_send(Effect::BeginMaintenance(name.clone())) {
                notified.insert(name.clone());
            }
        }
        // A backend that is no longer listed stays in maintenance, as it may be listed again before its window ends.
        notified.retain(|name| {
            let is_over = !target.contains(name) && backends.contains_key(name);
            !is_over || !try_send(Effect::EndMaintenance(name.clone()))
        });
    }

    /// Marks the calendar as caught up, so that this proxy may campaign for its duty. The maintenance that follows from
    /// the calendar is queued first, so that it is in force before this proxy accepts clients.
    pub fn set_caught_up(&self) {
        self.update_maintenance();
        self.calendar_lease.lock().set_eligible();
        self.maintenance.lock().compared_ranges = None;
        self.signal_ready_if_caught_up();
    }

    /// Notifies the request loop that clients may be accepted, once the calendar and the configuration have caught up.
    pub fn signal_ready_if_caught_up(&self) {
        let is_new = self.config.lock().replica.is_new();
        if !is_new && self.maintenance.lock().has_caught_up() {
            let _ = self.effect_queue.lock().effects.try_send(Effect::CaughtUp);
        }
    }
}

#[cfg(test)]
mod example;
