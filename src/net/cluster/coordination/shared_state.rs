//! The tables that the workers share, each behind a lock, and what is done with several of them at once.
//!
//! Lock order, checked at every lock: `calendar_lease` before `config` before `calendar` before `roster` before
//! `effect_queue` before `relay`. The request loop takes none of them.

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

/// Everything that the workers share.
pub struct SharedState {
    /// The lease of the calendar's duty.
    pub calendar_lease: OrderedLock<DutyLease>,
    /// The configuration, with the lease of its duty.
    pub config: OrderedLock<ConfigDriver>,
    pub maintenance: OrderedLock<MaintenanceState>,
    pub fleet_view: OrderedLock<FleetView>,
    pub effect_queue: OrderedLock<EffectQueue>,
    pub relay: OrderedLock<Relay>,
    /// The socket's sending side, which needs no lock.
    pub datagrams: Arc<DatagramSender>,
    /// Drawn at random at this start.
    pub incarnation: u64,
}

/// The unlocked parts of [`SharedState`].
pub struct SharedStateParts {
    pub lease: DutyLease,
    pub config: ConfigDriver,
    pub maintenance: MaintenanceState,
    pub fleet_view: FleetView,
    pub effect_queue: EffectQueue,
    pub relay: Relay,
    pub datagrams: Arc<DatagramSender>,
    pub incarnation: u64,
}

impl SharedState {
    /// Puts each part behind a lock of its rank.
    pub fn new(parts: SharedStateParts) -> SharedState {
        SharedState {
            calendar_lease: OrderedLock::new(0, parts.lease),
            config: OrderedLock::new(1, parts.config),
            maintenance: OrderedLock::new(2, parts.maintenance),
            fleet_view: OrderedLock::new(3, parts.fleet_view),
            effect_queue: OrderedLock::new(4, parts.effect_queue),
            relay: OrderedLock::new(5, parts.relay),
            datagrams: parts.datagrams,
            incarnation: parts.incarnation,
        }
    }

    /// Does something with the lease of a duty.
    pub fn with_lease<T>(&self, duty: Duty, act: impl FnOnce(&mut DutyLease) -> T) -> T {
        match duty {
            Duty::Calendar => act(&mut self.calendar_lease.lock()),
            Duty::Config => act(&mut self.config.lock().lease),
        }
    }

    /// The tokens of the duties that this proxy holds.
    pub fn held_tokens(&self) -> [Option<Token>; 2] {
        [Duty::Calendar, Duty::Config].map(|duty| self.with_lease(duty, |lease| lease.held_token()))
    }

    /// Sends messages to other proxies.
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

    /// Derives which backends are in maintenance here, and notifies the request loop of changes. What the queue has no
    /// space for is sent with the next call.
    pub fn update_maintenance(&self) {
        let since_heartbeat = self.calendar_lease.lock().since_heartbeat();
        let mut maintenance = self.maintenance.lock();
        let maintenance = &mut *maintenance;
        let now = wall_now();
        let calendar = &maintenance.calendar;
        let is_isolated = since_heartbeat > calendar.rules.isolation_timeout;
        let decides = is_isolated && calendar.needs_backends(now);
        if !decides && maintenance.in_maintenance.is_empty() && !calendar.any_window_in_effect() {
            return;
        }
        let fleet = self
            .fleet_view
            .lock()
            .fleet(&maintenance.in_maintenance, decides);
        let fleet = match fleet {
            Some(fleet) => fleet,
            // Which backends a zone has is not known yet. Windows that name theirs need not wait for that.
            None if decides || !maintenance.has_caught_up() => return,
            None => Arc::default(),
        };
        let wanted = maintenance
            .calendar
            .backends_in_maintenance(now, since_heartbeat, &fleet);
        self.notify_request_loop(&mut maintenance.in_maintenance, &wanted, &fleet);
    }

    fn notify_request_loop(
        &self,
        notified: &mut BTreeSet<String>,
        wanted: &BTreeSet<String>,
        fleet: &ListedBackends,
    ) {
        let effect_queue = self.effect_queue.lock();
        let is_sent = |effect| effect_queue.effects.try_send(effect).is_ok();
        for name in wanted {
            if !notified.contains(name) && is_sent(Effect::BeginMaintenance(name.clone())) {
                notified.insert(name.clone());
            }
        }
        // One that left the list stays in maintenance, as it may be listed again before its window is over.
        notified.retain(|name| {
            let ends = !wanted.contains(name) && fleet.contains_key(name);
            !ends || !is_sent(Effect::EndMaintenance(name.clone()))
        });
    }

    /// The calendar has caught up: this proxy may bid for its duty from now on. What was repaired is in force before
    /// clients come.
    pub fn set_caught_up(&self) {
        self.update_maintenance();
        self.calendar_lease.lock().set_eligible();
        self.maintenance.lock().compared_ranges = None;
        self.signal_ready_if_caught_up();
    }

    /// Lets clients come once both the calendar and the configuration have caught up.
    pub fn signal_ready_if_caught_up(&self) {
        let is_new = self.config.lock().replica.is_new();
        if !is_new && self.maintenance.lock().has_caught_up() {
            let _ = self.effect_queue.lock().effects.try_send(Effect::CaughtUp);
        }
    }
}

#[cfg(test)]
mod example;
