//! The timer worker: runs everything that is due by time, which is lease timers, the holder's transitions of windows,
//! heartbeats, digests and reports of open requests. It also handles the operators' calls.

use super::admin_calls;
use super::clocks::{monotonic_now, wall_now};
use super::command::Command;
use super::duty_lease::{format_token, DutyMessages};
use super::message::{self, Announcement, Duty, DutyMessage, HeldDuty, OpenRequestCount};
use super::request_loop::{BackendDemand, LoopView};
use super::shared_state::SharedState;
use meadowproxy::fleet::calendar::{OpenRequestReports, Transition, Window};
use meadowproxy::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::info;

/// Longest time between two rounds of the worker.
const MAX_ROUND_INTERVAL: Micros = Micros(100_000);
/// How often holders send heartbeats, and all proxies send digests and reports.
const HEARTBEAT_INTERVAL: Micros = Micros(1_000_000);
/// How often this proxy sends digests after its start, until it has caught up.
const CATCH_UP_INTERVAL: Micros = Micros(200_000);
/// Time after the start at which a proxy that has not caught up takes part anyway.
const CATCH_UP_TIMEOUT: Micros = Micros(3_000_000);
/// Number of members that receive each digest.
const DIGEST_FANOUT: usize = 2;
/// Encoded size of a count of open requests without the backend's name, in bytes.
const COUNT_OVERHEAD_BYTES: usize = 8;

/// State of the timer worker alone; what it shares with other threads is in [`SharedState`].
pub struct TimerWorker {
    shared: Arc<SharedState>,
    loop_view: watch::Receiver<Option<Arc<LoopView>>>,
    /// Which snapshots of the backends the request loop is to publish.
    demand: watch::Sender<BackendDemand>,
    own_address: SocketAddr,
    /// This proxy is the whole fleet: there is no other proxy to catch up with.
    is_only_proxy: bool,
    started_at: Time,
    /// Counts the digests sent, to choose the members that receive them in turn.
    digest_turn: usize,
    next_digest_at: Time,
    next_heartbeat_at: Time,
    next_report_at: Time,
    /// Open requests by backend, as last reported.
    reported: BTreeMap<String, u32>,
    /// The duties that this proxy held in the last round.
    held: Vec<HeldDuty>,
}

/// Result of advancing the calendar as its holder.
struct CalendarAdvance {
    held: HeldDuty,
    /// When the lease was checked, on the monotonic clock.
    checked_at: Time,
    transitions: Vec<Transition>,
    changed: Vec<Window>,
}

impl TimerWorker {
    pub fn new(
        shared: Arc<SharedState>,
        loop_view: watch::Receiver<Option<Arc<LoopView>>>,
        demand: watch::Sender<BackendDemand>,
        own_address: SocketAddr,
        is_only_proxy: bool,
    ) -> TimerWorker {
        let now = monotonic_now();
        TimerWorker {
            digest_turn: shared.incarnation as usize,
            shared,
            loop_view,
            demand,
            own_address,
            is_only_proxy,
            started_at: now,
            next_digest_at: now,
            next_heartbeat_at: now,
            next_report_at: now,
            reported: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    /// Runs rounds and handles commands until the request loop is gone.
    pub fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let due_at = self.run_round();
            let wait_us = (due_at - monotonic_now()).0.min(MAX_ROUND_INTERVAL.0);
            match commands.recv_timeout(Duration::from_micros(wait_us)) {
                Ok(Command::Call(call, response_sender)) => {
                    // Sending fails if the caller is gone.
                    let _ = response_sender.send(admin_calls::handle_call(&self.shared, &call));
                }
                Ok(Command::ChangeConfig(change, response_sender)) => {
                    self.shared.submit_config_change(change, response_sender);
                }
                Ok(Command::Leave) => self.leave(),
                Ok(Command::Wake) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Releases the leases of all duties.
    fn leave(&self) {
        let mut outgoing = DutyMessages::new();
        for duty in [Duty::Calendar, Duty::Config] {
            self.shared
                .with_lease(duty, |lease| lease.leave(&mut outgoing));
        }
        self.shared.send(outgoing);
    }

    /// Does everything that is due now, and returns the time of the next lease timer.
    fn run_round(&mut self) -> Time {
        if let Some(loop_view) = self.loop_view.borrow_and_update().clone() {
            self.shared.fleet_view.lock().update(loop_view);
        }
        self.catch_up();
        let mut outgoing = DutyMessages::new();
        let calendar_due_at = self.shared.calendar_lease.lock().tick(&mut outgoing);
        self.shared.send(outgoing);
        let config_due_at = self.shared.config_tick();
        self.update_demand();
        let calendar = self.advance_calendar();
        let config = self.shared.config.lock().lease.held_token();
        let config = config.map(|token| HeldDuty {
            duty: Duty::Config,
            token,
        });
        self.send_heartbeat(calendar.into_iter().chain(config).collect());
        self.send_repeats();
        self.shared.update_maintenance();
        self.send_digests();
        self.report_open_requests();
        calendar_due_at
            .into_iter()
            .chain(config_due_at)
            .min()
            .unwrap_or_else(|| monotonic_now() + MAX_ROUND_INTERVAL)
    }

    /// Marks the calendar and the configuration as caught up if there is no other proxy to catch up with, or if
    /// catching up has timed out.
    fn catch_up(&self) {
        let has_caught_up = self.shared.maintenance.lock().has_caught_up();
        let has_loop_view = self.shared.fleet_view.lock().loop_view.is_some();
        let has_timed_out = monotonic_now() - self.started_at > CATCH_UP_TIMEOUT;
        let ends_catch_up = self.is_only_proxy && has_loop_view || has_timed_out;
        if !has_caught_up && ends_catch_up {
            self.shared.set_caught_up();
        }
        let is_new = self.shared.config.lock().replica.is_new();
        if is_new && ends_catch_up {
            self.shared.config.lock().replica.assume_up_to_date();
            self.shared.signal_ready_if_caught_up();
        }
    }

    /// Has the request loop publish the listed backends while they are needed. Most proxies of a fleet without windows
    /// in effect never need them.
    fn update_demand(&self) {
        let (is_holder, since_heartbeat) = {
            let lease = self.shared.calendar_lease.lock();
            (lease.held_token().is_some(), lease.since_heartbeat())
        };
        let maintenance = self.shared.maintenance.lock();
        let calendar = &maintenance.calendar;
        let is_isolated = since_heartbeat > calendar.rules.isolation_timeout;
        let needs_backends = (is_holder || is_isolated) && calendar.needs_backends(wall_now());
        // If the windows name all backends in maintenance, the list is not needed: it only tells whether a backend
        // whose maintenance is over is still listed.
        let names_all = |named: &BTreeSet<&str>| {
            let mut in_maintenance = maintenance.in_maintenance.iter();
            in_maintenance.all(|name| named.contains(name.as_str()))
        };
        let demand = if !maintenance.has_caught_up() || needs_backends {
            BackendDemand::EveryUpdate
        } else if calendar
            .named_backends_in_maintenance()
            .as_ref()
            .is_some_and(names_all)
        {
            BackendDemand::NotNeeded
        } else {
            BackendDemand::Occasional
        };
        let mut fleet_view = self.shared.fleet_view.lock();
        if demand == BackendDemand::EveryUpdate {
            fleet_view.decisions_since.get_or_insert_with(monotonic_now);
        } else {
            fleet_view.decisions_since = None;
        }
        self.demand
            .send_if_modified(|previous| std::mem::replace(previous, demand) != demand);
    }

    /// Advances the calendar while this proxy holds its duty, and announces the changes. Returns the duty if it is
    /// held.
    fn advance_calendar(&self) -> Option<HeldDuty> {
        let CalendarAdvance {
            held,
            checked_at,
            transitions,
            changed,
        } = self.advance_locked()?;
        for transition in &transitions {
            log_transition(transition, checked_at);
        }
        self.shared.announce_windows(&changed, Some(held));
        Some(held)
    }

    /// Advances the calendar under the locks of all that it depends on. The lease is checked once they are taken, right
    /// before the transitions, so that waiting for a lock cannot outlast the lease unnoticed.
    fn advance_locked(&self) -> Option<CalendarAdvance> {
        let lease = self.shared.calendar_lease.lock();
        lease.held_token()?;
        let mut maintenance = self.shared.maintenance.lock();
        let mut fleet_view = self.shared.fleet_view.lock();
        let now = wall_now();
        let mut backends = Some(Arc::default());
        let mut reports = OpenRequestReports::new();
        if maintenance.calendar.needs_backends(now) {
            backends = fleet_view.listed_backends(&maintenance.in_maintenance, true);
            reports = fleet_view.open_requests(self.own_address, &maintenance.in_maintenance);
        }
        let checked_at = monotonic_now();
        let held = HeldDuty {
            duty: Duty::Calendar,
            token: lease.held_token()?,
        };
        let mut advance = CalendarAdvance {
            held,
            checked_at,
            transitions: Vec::new(),
            changed: Vec::new(),
        };
        // Transitions wait for an up-to-date list of the backends.
        if let Some(backends) = backends {
            let calendar = &mut maintenance.calendar;
            advance.transitions = calendar.advance(now, held.token, &backends, &reports);
            advance.changed = calendar.take_changed();
        }
        Some(advance)
    }

    /// Sends a heartbeat for all duties that this proxy holds: at once when it acquires one, then each second.
    fn send_heartbeat(&mut self, held: Vec<HeldDuty>) {
        let is_acquired = held.iter().any(|duty| !self.held.contains(duty));
        self.held.clone_from(&held);
        let now = monotonic_now();
        let is_due = !held.is_empty() && now >= self.next_heartbeat_at;
        if is_acquired || is_due {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.shared.announce_once(&[Announcement {
                held,
                windows: Vec::new(),
            }]);
        }
    }

    /// Repeats the announcements that are due; those made as a holder only while this proxy still holds the duty.
    fn send_repeats(&self) {
        let mut due = self
            .shared
            .effect_queue
            .lock()
            .take_due_repeats(monotonic_now());
        due.retain(|announcement| {
            let mut held = announcement.held.iter();
            held.all(|duty| self.held.contains(duty))
        });
        self.shared.announce_once(&due);
    }

    /// Sends digests to [`DIGEST_FANOUT`] members, chosen in turn.
    fn send_digests(&mut self) {
        let now = monotonic_now();
        let members = self.shared.fleet_view.lock().members();
        if now < self.next_digest_at || members.is_empty() {
            return;
        }
        let is_new = !self.shared.maintenance.lock().has_caught_up();
        let interval = if is_new {
            CATCH_UP_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        self.next_digest_at = now + interval;
        let digests = self.shared.digests(is_new);
        let mut outgoing = DutyMessages::new();
        for _ in 0..DIGEST_FANOUT.min(members.len()) {
            self.digest_turn = self.digest_turn.wrapping_add(1);
            let to = members[self.digest_turn % members.len()];
            outgoing.extend(digests.iter().map(|digest| (to, digest.clone())));
        }
        self.shared.send(outgoing);
    }

    /// Reports the number of open requests at each backend in maintenance to the holder: each second, and at once when
    /// it falls to zero at a backend.
    fn report_open_requests(&mut self) {
        let holder = self.shared.calendar_lease.lock().holder();
        let in_maintenance = self.shared.maintenance.lock().in_maintenance.clone();
        let loop_view = self.shared.fleet_view.lock().loop_view.clone();
        let (Some(holder), Some(loop_view)) = (holder, loop_view) else {
            return self.reported.clear();
        };
        if in_maintenance.is_empty() {
            return self.reported.clear();
        }
        let now = monotonic_now();
        let open: BTreeMap<String, u32> = loop_view
            .open
            .iter()
            .filter(|(name, _)| in_maintenance.contains(*name))
            .map(|(name, open)| (name.clone(), *open))
            .collect();
        let is_drained = open
            .iter()
            .any(|(name, open)| *open == 0 && self.reported.get(name) != Some(&0));
        if open.is_empty() || now < self.next_report_at && !is_drained {
            return;
        }
        self.next_report_at = now + HEARTBEAT_INTERVAL;
        self.reported.clone_from(&open);
        self.send_report(holder, open);
    }

    /// Sends a report to the holder, or records it here if this proxy is the holder.
    fn send_report(&self, holder: SocketAddr, open: BTreeMap<String, u32>) {
        let counts: Vec<OpenRequestCount> = open
            .into_iter()
            .map(|(backend, open)| OpenRequestCount { backend, open })
            .collect();
        if holder == self.own_address {
            let max_backends = counts.len();
            let mut fleet_view = self.shared.fleet_view.lock();
            return fleet_view.record_report(holder, counts, max_backends);
        }
        let size_bytes = |count: &OpenRequestCount| count.backend.len() + COUNT_OVERHEAD_BYTES;
        let outgoing = message::split_to_fit(counts, size_bytes)
            .into_iter()
            .map(|open| (holder, DutyMessage::OpenRequests { open }))
            .collect();
        self.shared.send(outgoing);
    }
}

/// Logs a transition of a window, with the time at which the lease was checked.
fn log_transition(transition: &Transition, checked_at: Time) {
    info!(event = "window", window = transition.window, from = transition.from.name(), to = transition.to.name(),
        at = %transition.at, reason = transition.reason, token = %format_token(transition.token), mono_us = checked_at.0,
        "maintenance window entered its next phase");
}

#[cfg(test)]
mod tests;
