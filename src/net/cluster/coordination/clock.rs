//! The worker that lets time pass: lease timers, the holder's steps, digests, reports, and the operators' calls.

use super::door;
use super::leases::{text, Mail};
use super::message::{self, Duties, Duty, Said};
use super::tables::Tables;
use super::wire::digests;
use super::{mono, wall, Need, Seen};
use meadowproxy::fleet::calendar::{OpenRequestReports, Transition, Window};
use meadowproxy::fleet::config::Edit;
use meadowproxy::fleet::lease::Token;
use meadowproxy::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tracing::info;

/// The longest time between two turns.
const TURN: Micros = Micros(100_000);
/// How often a holder says that it is there, reports go out, and digests.
const BEAT: Micros = Micros(1_000_000);
/// The same of digests until this proxy, after its start, lacks nothing; and when it takes part without.
const CATCH_UP: Micros = Micros(200_000);
const CAUGHT_UP: Micros = Micros(3_000_000);
/// To how many members a digest goes.
const TOLD: usize = 2;
/// Schedule a change is said again.
pub const AGAIN: [Micros; 2] = [Micros(200_000), Micros(600_000)];

/// What the request loop asks of this worker.
pub enum Command {
    /// An operator's call, and where its answer goes.
    Call(door::Call, oneshot::Sender<door::Answer>),
    /// An operator's change of the configuration, the version it was made from first.
    Change(u64, Vec<Edit>, oneshot::Sender<door::Answer>),
    /// This proxy goes: its duties are given up.
    Leave,
    /// Something is due now.
    Wake,
}

pub struct Clock {
    tables: Arc<Tables>,
    seen: watch::Receiver<Option<Arc<Seen>>>,
    /// What the request loop is to show.
    need: watch::Sender<Need>,
    own: SocketAddr,
    /// The fleet is this proxy: there is nobody to learn from.
    alone: bool,
    started: Time,
    /// Where the next digest goes.
    turn: usize,
    digest_at: Time,
    beat_at: Time,
    report_at: Time,
    /// Open requests as they were last reported.
    reported: BTreeMap<String, u32>,
    /// What this proxy held at the last beat.
    held: Vec<(Duty, Token)>,
}

impl Clock {
    pub fn new(
        tables: Arc<Tables>,
        seen: watch::Receiver<Option<Arc<Seen>>>,
        need: watch::Sender<Need>,
        own: SocketAddr,
        alone: bool,
    ) -> Clock {
        let now = mono();
        let (digest_at, beat_at, report_at) = (now, now, now);
        let (turn, reported, held) = (tables.incarnation as usize, BTreeMap::new(), Vec::new());
        Clock {
            tables,
            seen,
            need,
            own,
            alone,
            started: now,
            turn,
            digest_at,
            beat_at,
            report_at,
            reported,
            held,
        }
    }

    /// Works until the request loop is gone.
    pub fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let due = self.pass();
            let wait = Duration::from_micros((due - mono()).0.min(TURN.0));
            match commands.recv_timeout(wait) {
                Ok(Command::Call(call, answer)) => {
                    let _ = answer.send(door::answer(&self.tables, &call)); // who asked may be gone
                }
                Ok(Command::Change(base, edits, answer)) => {
                    self.tables.config_change(base, edits, answer);
                }
                Ok(Command::Leave) => {
                    let mut mail = Mail::new();
                    self.tables.leases.lock().leave(&mut mail);
                    self.tables.config.lock().leases.leave(&mut mail);
                    self.tables.send(mail);
                }
                Ok(Command::Wake) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// All that is due now; gives the time of the next lease timer.
    fn pass(&mut self) -> Time {
        if let Some(seen) = self.seen.borrow_and_update().clone() {
            self.tables.roster.lock().see(seen);
        }
        self.catch_up();
        let mut mail = Mail::new();
        let next = self.tables.leases.lock().tick(&mut mail);
        self.tables.send(mail);
        let config = self.tables.config_tick();
        self.need();
        let calendar = self.step().map(|token| (Duty::Calendar, token));
        let ordering = self
            .tables
            .config
            .lock()
            .leases
            .holds()
            .map(|token| (Duty::Config, token));
        self.beat(calendar.into_iter().chain(ordering).collect());
        self.repeat();
        self.tables.derive();
        self.digest();
        self.report();
        next.into_iter()
            .chain(config)
            .min()
            .unwrap_or_else(|| mono() + TURN)
    }

    /// Takes part once there is nobody to learn from, or nobody answered for long.
    fn catch_up(&self) {
        let catching = self.tables.calendar.lock().covered.is_some();
        let seen = self.tables.roster.lock().seen.is_some();
        let enough = self.alone && seen || mono() - self.started > CAUGHT_UP;
        if catching && enough {
            self.tables.ready();
        }
        let new = self.tables.config.lock().replica.is_new();
        if new && enough {
            self.tables.config.lock().replica.take_part();
            self.tables.welcome();
        }
    }

    /// Asks the request loop to show the listed backends, where they are looked at: most proxies of a quiet fleet never do.
    fn need(&self) {
        let (holds, heard) = {
            let leases = self.tables.leases.lock();
            (leases.holds().is_some(), leases.heard())
        };
        let windows = self.tables.calendar.lock();
        let calendar = &windows.calendar;
        let decides =
            (holds || heard > calendar.rules.max_holder_silence) && calendar.needs_fleet(wall());
        // What windows name is out without more; whether one that is to come back is listed has to be seen.
        let known =
            |named: &BTreeSet<&str>| windows.out.iter().all(|name| named.contains(name.as_str()));
        let need = match windows.covered.is_some() || decides {
            true => Need::Decides,
            false if calendar.named_in_maintenance().as_ref().is_some_and(known) => Need::Nothing,
            false => Need::KeepsOut,
        };
        let mut roster = self.tables.roster.lock();
        match need {
            Need::Decides => drop(roster.decides.get_or_insert(mono())),
            _ => roster.decides = None,
        }
        self.need
            .send_if_modified(|before| std::mem::replace(before, need) != need);
    }

    /// The holder's steps. The clock is read for the lease after all locks are there, right before the step.
    fn step(&self) -> Option<Token> {
        let (token, at, steps, changed) = {
            let leases = self.tables.leases.lock();
            leases.holds()?;
            let mut windows = self.tables.calendar.lock();
            let mut roster = self.tables.roster.lock();
            let (now, mut fleet, mut reports) = (wall(), Arc::default(), OpenRequestReports::new());
            if windows.calendar.needs_fleet(now) {
                let Some(shown) = roster.fleet(&windows.out, true) else {
                    return leases.holds(); // a step waits for what is seen now
                };
                (fleet, reports) = (shown, roster.reports(self.own, &windows.out));
            }
            let at = mono();
            let token = leases.holds()?;
            let steps = windows.calendar.advance(now, token, &fleet, &reports);
            (token, at, steps, windows.calendar.take_changed())
        };
        steps.iter().for_each(|step| tell(step, at));
        let effect = |entries| Said {
            tokens: vec![(Duty::Calendar, token)],
            entries,
        };
        self.tables
            .spread(entries(changed).into_iter().map(effect).collect(), &AGAIN);
        Some(token)
    }

    /// A holder says that it is there: at once when it comes to hold a duty, then each second, one word for all it holds.
    fn beat(&mut self, held: Vec<(Duty, Token)>) {
        let gained = held.iter().any(|duty| !self.held.contains(duty));
        self.held = held.clone();
        let now = mono();
        if gained || !held.is_empty() && now >= self.beat_at {
            self.beat_at = now + BEAT;
            self.tables.spread(
                vec![Said {
                    tokens: held,
                    entries: Vec::new(),
                }],
                &[],
            );
        }
    }

    /// Says again what is due; a holder's effects only while it holds the duty.
    fn repeat(&self) {
        let due = {
            let mut outbox = self.tables.outbox.lock();
            let later = outbox.again.split_off(&(mono() + Micros(1)));
            std::mem::replace(&mut outbox.again, later)
        };
        let ours = |said: &Said| said.tokens.iter().all(|duty| self.held.contains(duty));
        self.tables
            .spread(due.into_values().flatten().filter(ours).collect(), &[]);
    }

    /// Tells two members, in turn, what this proxy knows.
    fn digest(&mut self) {
        let now = mono();
        let members = self.tables.roster.lock().members();
        if now < self.digest_at || members.is_empty() {
            return;
        }
        let new = self.tables.calendar.lock().covered.is_some();
        self.digest_at = now + if new { CATCH_UP } else { BEAT };
        let said = digests(&self.tables, new);
        let mut mail = Mail::new();
        for _ in 0..TOLD.min(members.len()) {
            self.turn = self.turn.wrapping_add(1);
            let to = members[self.turn % members.len()];
            mail.extend(said.iter().map(|m| (to, m.clone())));
        }
        self.tables.send(mail);
    }

    /// Tells the holder of the requests that are open on what is out: each second, and at once where the last one ended.
    fn report(&mut self) {
        let holder = self.tables.leases.lock().holder();
        let out = self.tables.calendar.lock().out.clone();
        let seen = self.tables.roster.lock().seen.clone();
        let Some((holder, seen)) = holder.zip(seen).filter(|_| !out.is_empty()) else {
            return self.reported.clear();
        };
        let now = mono();
        let open = seen.open.iter().filter(|(name, _)| out.contains(*name));
        let open: BTreeMap<String, u32> = open.map(|(name, open)| (name.clone(), *open)).collect();
        let news = open
            .iter()
            .any(|(name, open)| *open == 0 && self.reported.get(name) != Some(&0));
        if open.is_empty() || now < self.report_at && !news {
            return;
        }
        self.report_at = now + BEAT;
        self.reported = open.clone();
        let open: Vec<(String, u32)> = open.into_iter().collect();
        if holder == self.own {
            let most = open.len();
            return self.tables.roster.lock().report(holder, open, most);
        }
        let parts = message::parts(open, |(name, _)| name.len() + 8);
        self.tables.send(
            parts
                .into_iter()
                .map(|open| (holder, Duties::Report { open }))
                .collect(),
        );
    }
}

/// One line for each step of a window, with the time at which the lease was looked at.
fn tell(step: &Transition, at: Time) {
    info!(event = "window", window = step.window, from = step.from.name(), to = step.to.name(), at = %step.at,
        reason = step.reason, token = %text(step.token), mono_us = at.0, "window");
}

/// Entries in bytes, in parts that fit into a message each.
pub fn entries(entries: Vec<Window>) -> Vec<Vec<Vec<u8>>> {
    message::parts(entries.iter().map(Window::encode).collect(), |bytes| {
        bytes.len() + 2
    })
}

#[cfg(test)]
mod tests;
