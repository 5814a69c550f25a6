//! A hollow proxy's replica of the fleet's configuration, and its part in others' broadcasts. It is never the leader: it passes
//! changes on, compares digests and catches up, as every proxy does.

use super::message::{self, Announcement, Duty, DutyMessage};
use meadowproxy::fleet::config::{Context, Event, Outbox, Replica, Rules};
use meadowproxy::fleet::lease;
use meadowproxy::fleet::membership::{ClockReading, Membership};
use meadowproxy::fleet::relay::{BroadcastHeader, Relay};
use meadowproxy::{Micros, Time};
use std::net::SocketAddr;

/// The interval of ticks, as in service.
const TICK_INTERVAL: Micros = Micros(100_000);
/// The interval at which the members are updated, as in service.
const MEMBERS_INTERVAL: Micros = Micros(250_000);
/// How old a broadcast may be, by default.
const MAX_AGE: Micros = Micros(5_000_000);
/// The defaults of a fleet's leases.
const TERM: Micros = Micros(3_000_000);
const DRIFT: f64 = 0.01;

pub struct LightReplica {
    replica: Replica,
    relay: Relay,
    leader: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    tick_due: Time,
    members_due: Time,
}

/// Messages that go out, sealed as duties'.
pub type Mail = Vec<(SocketAddr, Vec<u8>)>;

impl LightReplica {
    /// A replica with an empty table; `None` for an invalid number of voters.
    pub fn new(
        voters: Vec<SocketAddr>,
        own: SocketAddr,
        seed: u64,
        now: Time,
    ) -> Option<LightReplica> {
        let lease = lease::Rules::new(voters.len(), TERM, DRIFT).ok()?;
        let replica = Replica::new(Rules { lease, voters, own }, seed, now);
        let relay = Relay::new(own, seed, MAX_AGE);
        Some(LightReplica {
            replica,
            relay,
            leader: None,
            members: Vec::new(),
            tick_due: now,
            members_due: now,
        })
    }

    pub fn next_due(&self) -> Time {
        self.tick_due
    }

    /// Lets time pass, where it is due.
    pub fn tick(&mut self, now: ClockReading, membership: &Membership) -> Mail {
        if now.monotonic < self.tick_due {
            return Mail::new();
        }
        self.tick_due = now.monotonic + TICK_INTERVAL;
        if now.monotonic >= self.members_due {
            self.members_due = now.monotonic + MEMBERS_INTERVAL;
            self.members = membership.members();
        }
        self.step(now, |replica, context, out| {
            replica.tick(now.monotonic, context, out);
        })
    }

    /// Handles another proxy's message; sends nothing where it is not about the configuration, or rejected.
    pub fn handle(&mut self, from: SocketAddr, bytes: &[u8], now: ClockReading) -> Mail {
        match message::decode(bytes) {
            Ok(DutyMessage::Broadcast(header, announcement)) => {
                self.forward_broadcast(&header, &announcement, now)
            }
            Ok(DutyMessage::Config(message)) => self.step(now, |replica, context, out| {
                let _ = replica.handle(now.monotonic, context, from, message, out);
                // rejected: it changed nothing
            }),
            _ => Mail::new(),
        }
    }

    /// Handles a broadcast and passes it on, unless it is rejected.
    fn forward_broadcast(
        &mut self,
        header: &BroadcastHeader,
        announcement: &Announcement,
        now: ClockReading,
    ) -> Mail {
        if self.relay.accept(header, now.wall_us).is_err() {
            return Mail::new();
        }
        if announcement
            .held
            .iter()
            .any(|held| held.duty == Duty::Config)
        {
            self.leader = Some(header.origin);
        }
        let next = self.relay.forward(header, &self.members);
        next.into_iter()
            .map(|forward| {
                let message = DutyMessage::Broadcast(forward.header, announcement.clone());
                (forward.to, message::encode(&message))
            })
            .collect()
    }

    fn step(
        &mut self,
        now: ClockReading,
        step: impl FnOnce(&mut Replica, &Context, &mut Outbox),
    ) -> Mail {
        let context = Context {
            wall_ms: now.wall_us / 1000,
            members: &self.members,
            zone_members: &[],
            lease: None,
            leader: self.leader,
        };
        let mut out = Outbox::new();
        step(&mut self.replica, &context, &mut out);
        out.into_iter()
            .map(|sent| (sent.to, message::encode(&DutyMessage::Config(sent.message))))
            .collect()
    }

    /// The names of the entries that changed since the last call.
    pub fn changed_entries(&mut self) -> Vec<String> {
        let names = |event| match event {
            Event::TableChanged { entries, .. } => {
                entries.into_iter().map(|e| e.edit.key.name).collect()
            }
            _ => Vec::new(),
        };
        self.replica
            .take_events()
            .into_iter()
            .flat_map(names)
            .collect()
    }

    /// The table's version.
    pub fn version(&self) -> u64 {
        self.replica.table().version()
    }
}
