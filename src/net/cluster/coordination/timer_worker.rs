//! The worker that lets time pass: lease timers, the holder's transitions, heartbeats, digests, reports of open requests
//! and the operators' calls.

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

/// The longest time between two rounds of the worker.
const MAX_ROUND_INTERVAL: Micros = Micros(100_000);
/// How often holders send heartbeats, and all send digests and reports.
const HEARTBEAT_INTERVAL: Micros = Micros(1_000_000);
/// How often digests go out until this proxy, after its start, has caught up.
const CATCH_UP_INTERVAL: Micros = Micros(200_000);
/// A proxy that has not caught up by then takes part without.
const CATCH_UP_TIMEOUT: Micros = Micros(3_000_000);
/// To how many members a digest goes.
const DIGEST_FANOUT: usize = 2;
/// What a count of open requests takes in a message beside the backend's name, in bytes.
const COUNT_OVERHEAD_BYTES: usize = 8;

/// The worker's own state; what it shares is in [`SharedState`].
pub struct TimerWorker {
    shared: Arc<SharedState>,
    seen: watch::Receiver<Option<Arc<LoopView>>>,
    /// What the request loop is to show.
    demand: watch::Sender<BackendDemand>,
    own: SocketAddr,
    /// The fleet is this proxy only: there is nobody to learn from.
    is_single: bool,
    started_at: Time,
    /// Which member the next digest goes to.
    digest_turn: usize,
    digest_at: Time,
    heartbeat_at: Time,
    report_at: Time,
    /// Open requests as they were last reported.
    reported: BTreeMap<String, u32>,
    /// What this proxy held at the last round.
    held: Vec<HeldDuty>,
}

/// What a holder's transitions brought.
struct Advanced {
    held: HeldDuty,
    /// When the lease was checked.
    checked_at: Time,
    transitions: Vec<Transition>,
    changed: Vec<Window>,
}

impl TimerWorker {
    pub fn new(
        shared: Arc<SharedState>,
        seen: watch::Receiver<Option<Arc<LoopView>>>,
        demand: watch::Sender<BackendDemand>,
        own: SocketAddr,
        is_single: bool,
    ) -> TimerWorker {
        let now = monotonic_now();
        TimerWorker {
            digest_turn: shared.incarnation as usize,
            shared,
            seen,
            demand,
            own,
            is_single,
            started_at: now,
            digest_at: now,
            heartbeat_at: now,
            report_at: now,
            reported: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    /// Works until the request loop is gone.
    pub fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let due_at = self.run_round();
            let wait_us = (due_at - monotonic_now()).0.min(MAX_ROUND_INTERVAL.0);
            match commands.recv_timeout(Duration::from_micros(wait_us)) {
                Ok(Command::Call(call, answer)) => {
                    let _ = answer.send(admin_calls::handle_call(&self.shared, &call));
                    // the caller may be gone
                }
                Ok(Command::ChangeConfig(change, answer)) => {
                    self.shared.submit_config_change(change, answer);
                }
                Ok(Command::Leave) => self.leave(),
                Ok(Command::Wake) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn leave(&self) {
        let mut outgoing = DutyMessages::new();
        for duty in [Duty::Calendar, Duty::Config] {
            self.shared
                .with_lease(duty, |lease| lease.leave(&mut outgoing));
        }
        self.shared.send(outgoing);
    }

    /// Does all that is due now; gives the time of the next lease timer.
    fn run_round(&mut self) -> Time {
        if let Some(seen) = self.seen.borrow_and_update().clone() {
            self.shared.fleet_view.lock().update(seen);
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

    /// Takes part once there is nobody to learn from, or nobody answered for long.
    fn catch_up(&self) {
        let has_caught_up = self.shared.maintenance.lock().has_caught_up();
        let is_seen = self.shared.fleet_view.lock().seen.is_some();
        let is_timed_out = monotonic_now() - self.started_at > CATCH_UP_TIMEOUT;
        let takes_part = self.is_single && is_seen || is_timed_out;
        if !has_caught_up && takes_part {
            self.shared.set_caught_up();
        }
        let is_new = self.shared.config.lock().replica.is_new();
        if is_new && takes_part {
            self.shared.config.lock().replica.assume_up_to_date();
            self.shared.signal_ready_if_caught_up();
        }
    }

    /// Has the request loop show the listed backends where they are needed: most proxies of a quiet fleet never do.
    fn update_demand(&self) {
        let (is_holder, since_heartbeat) = {
            let lease = self.shared.calendar_lease.lock();
            (lease.held_token().is_some(), lease.since_heartbeat())
        };
        let maintenance = self.shared.maintenance.lock();
        let calendar = &maintenance.calendar;
        let is_isolated = since_heartbeat > calendar.rules.isolation_timeout;
        let decides = (is_holder || is_isolated) && calendar.needs_backends(wall_now());
        // Where windows name their backends, the list is needed only to see whether one that ends is still listed.
        let all_named = |named: &BTreeSet<&str>| {
            let mut in_maintenance = maintenance.in_maintenance.iter();
            in_maintenance.all(|name| named.contains(name.as_str()))
        };
        let demand = if !maintenance.has_caught_up() || decides {
            BackendDemand::EveryUpdate
        } else if calendar
            .named_backends_in_maintenance()
            .as_ref()
            .is_some_and(all_named)
        {
            BackendDemand::NotNeeded
        } else {
            BackendDemand::Occasional
        };
        let mut fleet_view = self.shared.fleet_view.lock();
        if demand == BackendDemand::EveryUpdate {
            fleet_view.deciding_since.get_or_insert_with(monotonic_now);
        } else {
            fleet_view.deciding_since = None;
        }
        self.demand
            .send_if_modified(|previous| std::mem::replace(previous, demand) != demand);
    }

    /// Carries out the calendar's transitions while this proxy is the holder, and announces them; gives what it holds.
    fn advance_calendar(&self) -> Option<HeldDuty> {
        let Advanced {
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

    /// The clock is read for the lease after all locks are taken, right before the transitions.
    fn advance_locked(&self) -> Option<Advanced> {
        let lease = self.shared.calendar_lease.lock();
        lease.held_token()?;
        let mut maintenance = self.shared.maintenance.lock();
        let mut fleet_view = self.shared.fleet_view.lock();
        let now = wall_now();
        let mut fleet = Some(Arc::default());
        let mut reports = OpenRequestReports::new();
        if maintenance.calendar.needs_backends(now) {
            fleet = fleet_view.fleet(&maintenance.in_maintenance, true);
            reports = fleet_view.open_requests(self.own, &maintenance.in_maintenance);
        }
        let checked_at = monotonic_now();
        let held = HeldDuty {
            duty: Duty::Calendar,
            token: lease.held_token()?,
        };
        let mut advanced = Advanced {
            held,
            checked_at,
            transitions: Vec::new(),
            changed: Vec::new(),
        };
        // Without the backends as they are now, transitions wait.
        if let Some(fleet) = fleet {
            let calendar = &mut maintenance.calendar;
            advanced.transitions = calendar.advance(now, held.token, &fleet, &reports);
            advanced.changed = calendar.take_changed();
        }
        Some(advanced)
    }

    /// A holder's heartbeat: at once when it acquires a duty, then each second, one for all duties that it holds.
    fn send_heartbeat(&mut self, held: Vec<HeldDuty>) {
        let is_acquired = held.iter().any(|duty| !self.held.contains(duty));
        self.held.clone_from(&held);
        let now = monotonic_now();
        let is_due = !held.is_empty() && now >= self.heartbeat_at;
        if is_acquired || is_due {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.shared.announce_once(&[Announcement {
                held,
                windows: Vec::new(),
            }]);
        }
    }

    /// Announces again what is due; a holder's effects only while it holds the duty.
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

    /// Sends digests to two members, in turn.
    fn send_digests(&mut self) {
        let now = monotonic_now();
        let members = self.shared.fleet_view.lock().members();
        if now < self.digest_at || members.is_empty() {
            return;
        }
        let is_new = !self.shared.maintenance.lock().has_caught_up();
        let interval = if is_new {
            CATCH_UP_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        self.digest_at = now + interval;
        let digests = self.shared.digests(is_new);
        let mut outgoing = DutyMessages::new();
        for _ in 0..DIGEST_FANOUT.min(members.len()) {
            self.digest_turn = self.digest_turn.wrapping_add(1);
            let to = members[self.digest_turn % members.len()];
            outgoing.extend(digests.iter().map(|digest| (to, digest.clone())));
        }
        self.shared.send(outgoing);
    }

    /// Reports the requests that are open at backends in maintenance to the holder: each second, and at once where the
    /// last one ended.
    fn report_open_requests(&mut self) {
        let holder = self.shared.calendar_lease.lock().holder();
        let in_maintenance = self.shared.maintenance.lock().in_maintenance.clone();
        let seen = self.shared.fleet_view.lock().seen.clone();
        let (Some(holder), Some(seen)) = (holder, seen) else {
            return self.reported.clear();
        };
        if in_maintenance.is_empty() {
            return self.reported.clear();
        }
        let now = monotonic_now();
        let open: BTreeMap<String, u32> = seen
            .open
            .iter()
            .filter(|(name, _)| in_maintenance.contains(*name))
            .map(|(name, open)| (name.clone(), *open))
            .collect();
        let is_drained = open
            .iter()
            .any(|(name, open)| *open == 0 && self.reported.get(name) != Some(&0));
        if open.is_empty() || now < self.report_at && !is_drained {
            return;
        }
        self.report_at = now + HEARTBEAT_INTERVAL;
        self.reported.clone_from(&open);
        self.send_report(holder, open);
    }

    fn send_report(&self, holder: SocketAddr, open: BTreeMap<String, u32>) {
        let counts: Vec<OpenRequestCount> = open
            .into_iter()
            .map(|(backend, open)| OpenRequestCount { backend, open })
            .collect();
        if holder == self.own {
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

/// One line for each transition of a window, with the time at which the lease was checked.
fn log_transition(transition: &Transition, checked_at: Time) {
    info!(event = "window", window = transition.window, from = transition.from.name(), to = transition.to.name(),
        at = %transition.at, reason = transition.reason, token = %format_token(transition.token), mono_us = checked_at.0,
        "a maintenance window entered its next phase");
}

#[cfg(test)]
mod tests;
