//! The tables that the workers share, and what is done with several of them at once.

use super::config::Configuring;
use super::leases::{Leases, Mail};
use super::message::{self, Duties, Refused, Said};
use super::ranked::Ranked;
use super::{mono, wall, Effect, Rows, Seen};
use crate::net::cluster::gossip::post::Post;
use crate::net::cluster::gossip::wire::Body;
use crate::net::host::RosterRow;
use meadowproxy::fleet::calendar::{
    Backend, Calendar, Digest, Fleet, OpenRequestReport, OpenRequestReports,
};
use meadowproxy::fleet::relay::{Header, Relay};
use meadowproxy::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tracing::warn;

/// A member's count of open requests counts for so long.
const REPORTED: Micros = Micros(2_500_000);
/// A complaint of each cause is logged so often at most.
const COMPLAIN: Micros = Micros(1_000_000);

pub struct Tables {
    pub leases: Ranked<Leases>,
    pub config: Ranked<Configuring>,
    pub calendar: Ranked<Windows>,
    pub roster: Ranked<Roster>,
    pub outbox: Ranked<Outbox>,
    pub relay: Ranked<Relay>,
    /// The socket's sending side, which needs no lock.
    pub post: Arc<Post>,
    /// Drawn at this start, as no other.
    pub incarnation: u64,
}

/// The calendar, and what follows from it here.
pub struct Windows {
    pub calendar: Calendar,
    /// What the request loop was told to keep out.
    pub out: BTreeSet<String>,
    /// Ranges of ids of which this proxy, after its start, was shown to lack nothing; `None` once it takes part.
    pub covered: Option<Vec<(u64, u64)>>,
}

/// The backends and members as this proxy sees them, and what the others report.
#[derive(Default)]
pub struct Roster {
    /// As the request loop last told; `None` until it did.
    pub seen: Option<Arc<Seen>>,
    /// Since when the backends are decided on: what was shown before does not count.
    pub decides: Option<Time>,
    /// The listed backends as they follow from what was shown and what is out.
    fleet: Option<(Arc<Rows>, BTreeSet<String>, Arc<Fleet>)>,
    /// Open requests on backends out for windows, by the member that reported them.
    pub reports: BTreeMap<SocketAddr, BTreeMap<String, (u32, Time)>>,
}

/// What goes out of the workers, and the counts of what came in.
pub struct Outbox {
    /// To the request loop.
    pub effects: mpsc::Sender<Effect>,
    /// What is said to all again, in the order of the times, as a datagram may be lost.
    pub again: BTreeMap<Time, Vec<Said>>,
    pub sent: u64,
    pub received: u64,
    pub refused: BTreeMap<&'static str, u64>,
    complained: BTreeMap<&'static str, Time>,
}

impl Outbox {
    pub fn new(effects: mpsc::Sender<Effect>) -> Outbox {
        let (again, refused, complained) = Default::default();
        Outbox {
            effects,
            again,
            sent: 0,
            received: 0,
            refused,
            complained,
        }
    }

    /// Counts a message that is not used, and says why, so often at most.
    pub fn refuse(&mut self, from: SocketAddr, why: &Refused) {
        let (now, cause) = (mono(), why.cause());
        *self.refused.entry(cause).or_default() += 1;
        let last = self.complained.get(cause);
        if last.is_some_and(|last| now - *last < COMPLAIN) {
            return;
        }
        self.complained.insert(cause, now);
        let event = if matches!(why, Refused::Token) {
            "effect_refused"
        } else {
            "duties_refused"
        };
        warn!(event, cause, from = %from, mono_us = now.0, "refused: {why}");
    }
}

impl Windows {
    /// Takes note that of this range nothing is lacking; whether that is now so of every one.
    pub fn cover(&mut self, digest: &Digest) -> bool {
        let Some(covered) = &mut self.covered else {
            return false;
        };
        covered.push((digest.from, digest.to));
        covered.sort_unstable();
        let mut next = Some(0);
        for (from, to) in covered.iter() {
            match next {
                Some(at) if *from <= at => next = to.checked_add(1).map(|after| after.max(at)),
                _ => break,
            }
        }
        next.is_none()
    }
}

impl Roster {
    /// At the start whatever is shown is new enough.
    pub fn starting() -> Roster {
        Roster {
            decides: Some(Time(0)),
            ..Roster::default()
        }
    }

    pub fn members(&self) -> Vec<SocketAddr> {
        self.seen
            .as_ref()
            .map(|s| s.members.clone())
            .unwrap_or_default()
    }

    /// Takes what the request loop shows.
    pub fn see(&mut self, seen: Arc<Seen>) {
        if seen.rows.is_none() {
            self.fleet = None;
        }
        self.seen = Some(seen);
    }

    /// The listed backends, where they are shown; `decide`: as shown since they are decided on. What one that is out for
    /// a window could take is not known: as much as any other.
    pub fn fleet(&mut self, out: &BTreeSet<String>, decide: bool) -> Option<Arc<Fleet>> {
        let shown = self.seen.as_ref()?.rows.as_ref()?;
        if decide && self.decides.is_none_or(|since| shown.at < since) {
            return None;
        }
        let same = |(rows, without, _): &&(Arc<Rows>, BTreeSet<String>, _)| {
            Arc::ptr_eq(rows, shown) && without == out
        };
        if let Some((.., fleet)) = self.fleet.as_ref().filter(same) {
            return Some(fleet.clone());
        }
        let backend = |row: &RosterRow| Backend {
            zone: row.zone.clone(),
            kind: row.kind.clone(),
            cell: row.cell,
            serving: row.serving,
            readiness: if out.contains(&row.name) {
                1.0
            } else {
                row.ready
            },
            disabled: row.by_hand,
            capacity: 1.0,
        };
        let rows = shown.rows.iter().filter(|row| row.listed);
        let fleet: Arc<Fleet> =
            Arc::new(rows.map(|row| (row.name.clone(), backend(row))).collect());
        self.fleet = Some((shown.clone(), out.clone(), fleet.clone()));
        Some(fleet)
    }

    /// Open requests on the backends that are out, as all live members and this proxy say. Of whom did not say, one
    /// request is taken to be open on each.
    pub fn reports(&self, own: SocketAddr, out: &BTreeSet<String>) -> OpenRequestReports {
        let now = mono();
        let nothing = BTreeMap::new();
        let of = |member: SocketAddr| {
            let said = self.reports.get(&member).unwrap_or(&nothing);
            let count = |name: &String| {
                said.get(name)
                    .filter(|(_, at)| now - *at < REPORTED)
                    .copied()
            };
            let open = out
                .iter()
                .map(|name| (name.clone(), count(name).map_or(1, |(open, _)| open)))
                .collect();
            let age = out
                .iter()
                .map(|name| count(name).map_or(Micros(0), |(_, at)| now - at))
                .max();
            OpenRequestReport {
                age: age.unwrap_or_default(),
                open,
            }
        };
        let members = self.members().into_iter().chain([own]);
        members
            .enumerate()
            .map(|(n, member)| (n as u64, of(member)))
            .collect()
    }

    /// Takes a report, with the time at which it came.
    pub fn report(&mut self, from: SocketAddr, open: Vec<(String, u32)>, most: usize) {
        let now = mono();
        let said = self.reports.entry(from).or_default();
        said.retain(|_, (_, at)| now - *at < REPORTED);
        for (name, open) in open {
            if said.len() < most || said.contains_key(&name) {
                said.insert(name, (open, now));
            }
        }
    }
}

impl Tables {
    /// Sends what goes to others.
    pub fn send(&self, mail: Mail) {
        let count = mail.len() as u64;
        for (to, message) in mail {
            self.post.send(to, Body::Duty(message::encode(&message)));
        }
        if count > 0 {
            self.outbox.lock().sent += count;
        }
    }

    /// Says something to all live members, and once more after each of these pauses.
    pub fn spread(&self, said: Vec<Said>, again: &[Micros]) {
        if said.is_empty() {
            return;
        }
        for said in &said {
            let header = self.relay.lock().begin(wall().0);
            self.pass_on(&header, said);
        }
        let now = mono();
        let mut outbox = self.outbox.lock();
        for pause in again {
            outbox
                .again
                .entry(now + *pause)
                .or_default()
                .extend(said.iter().cloned());
        }
    }

    /// Says a broadcast to those that are to pass it on from here.
    pub fn pass_on(&self, header: &Header, said: &Said) {
        let seen = self.roster.lock().seen.clone();
        let members = seen.as_ref().map_or(&[][..], |seen| &seen.members);
        let next = self.relay.lock().pass_on(header, members);
        self.send(
            next.into_iter()
                .map(|(to, h)| (to, Duties::Broadcast(h, said.clone())))
                .collect(),
        );
    }

    /// Derives what this proxy keeps out, and tells the request loop what changed. What the queue has no room for
    /// comes with the next call.
    pub fn derive(&self) {
        let heard = self.leases.lock().heard();
        let mut windows = self.calendar.lock();
        let (windows, now) = (&mut *windows, wall());
        let decides =
            heard > windows.calendar.rules.max_holder_silence && windows.calendar.needs_fleet(now);
        if !decides && windows.out.is_empty() && !windows.calendar.any_in_effect() {
            return;
        }
        let fleet = match self.roster.lock().fleet(&windows.out, decides) {
            Some(fleet) => fleet,
            // Which backends a zone has is not known yet. Windows that name theirs need not wait for that.
            None if decides || windows.covered.is_some() => return,
            None => Arc::default(),
        };
        let out = windows.calendar.backends_in_maintenance(now, heard, &fleet);
        let outbox = self.outbox.lock();
        for name in &out {
            if !windows.out.contains(name)
                && outbox.effects.try_send(Effect::Out(name.clone())).is_ok()
            {
                windows.out.insert(name.clone());
            }
        }
        // One that left the list stays out, as it may be listed again before its window is over.
        windows.out.retain(|name| {
            let back = !out.contains(name) && fleet.contains_key(name);
            !back || outbox.effects.try_send(Effect::Back(name.clone())).is_err()
        });
    }

    /// This proxy takes part from now on: what was repaired is in force before it takes clients.
    pub fn ready(&self) {
        self.derive();
        self.leases.lock().ready();
        self.calendar.lock().covered = None;
        self.welcome();
    }

    /// Lets clients come once both the calendar and the configuration are as others know them.
    pub fn welcome(&self) {
        let new = self.config.lock().replica.is_new();
        if !new && self.calendar.lock().covered.is_none() {
            let _ = self.outbox.lock().effects.try_send(Effect::Ready);
        }
    }
}

#[cfg(test)]
impl Tables {
    /// The tables of a voter that serves, and what the request loop is asked.
    pub fn example() -> (Tables, mpsc::Receiver<Effect>) {
        use super::message::Duty;
        use meadowproxy::fleet::calendar::{DisruptionBudget, Rules};
        use meadowproxy::fleet::lease;
        let own = SocketAddr::from(([127, 0, 0, 1], 9));
        let voters = [9, 10, 11]
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .to_vec();
        let rules = lease::Rules::new(voters.len(), Micros(1_000_000), 0.01).unwrap();
        let (ramp, max_age) = (Micros(1_000_000), Micros(5_000_000));
        let calendar = Calendar::new(Rules {
            budget: DisruptionBudget {
                kind_floor: 0.5,
                zone_floor: 0.5,
            },
            slow_start: ramp,
            max_holder_silence: max_age,
        });
        let windows = Windows {
            calendar,
            out: BTreeSet::new(),
            covered: Some(Vec::new()),
        };
        let mut config = Configuring::new(rules, voters.clone(), own, 7, Default::default());
        config.replica.take_part();
        let rows = Some(Arc::new(Rows {
            at: mono(),
            rows: Vec::new(),
        }));
        let (open, members) = (BTreeMap::new(), voters[1..].to_vec());
        let seen = Some(Arc::new(Seen {
            rows,
            open,
            members,
            config: 0,
            file: 0,
        }));
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let (effects, told) = mpsc::channel(64);
        let tables = Tables {
            leases: Ranked::new(
                0,
                Leases::new(Duty::Calendar, rules, voters.clone(), own, 7),
            ),
            config: Ranked::new(1, config),
            calendar: Ranked::new(2, windows),
            roster: Ranked::new(
                3,
                Roster {
                    seen,
                    ..Roster::starting()
                },
            ),
            outbox: Ranked::new(4, Outbox::new(effects)),
            relay: Ranked::new(5, Relay::new(own, 7, max_age)),
            post: Arc::new(Post::new(socket, [0; 8], own)),
            incarnation: 7,
        };
        (tables, told)
    }
}
