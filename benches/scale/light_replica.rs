//! A lightweight proxy's replica of the fleet's configuration, and its forwarding of broadcasts. It never becomes leader;
//! it forwards changes, compares digests and fetches missing changes, like every proxy.

use super::message::{self, Announcement, Duty, DutyMessage};
use meadowproxy::fleet::config::{Context, Event, Outbox, Replica, Rules};
use meadowproxy::fleet::lease;
use meadowproxy::fleet::membership::{ClockReading, Membership};
use meadowproxy::fleet::relay::{BroadcastHeader, Relay};
use meadowproxy::{Micros, Time};
use std::net::SocketAddr;

/// The interval of ticks, as in the proxy.
const TICK_INTERVAL: Micros = Micros(100_000);
/// The interval at which the list of members is updated, as in the proxy.
const MEMBERS_INTERVAL: Micros = Micros(250_000);
/// The maximum age of a broadcast, which is the proxy's default.
const MAX_AGE: Micros = Micros(5_000_000);
/// The lease's term and clock drift, which are the proxy's defaults.
const TERM: Micros = Micros(3_000_000);
const DRIFT: f64 = 0.01;

/// The configuration replica of a lightweight proxy.
pub struct LightReplica {
    replica: Replica,
    relay: Relay,
    leader: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    tick_due: Time,
    members_due: Time,
}

/// Encoded coordination messages to send, with their destinations.
pub type Messages = Vec<(SocketAddr, Vec<u8>)>;

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

    /// When the next tick is due.
    pub fn next_due(&self) -> Time {
        self.tick_due
    }

    /// Runs a tick if one is due.
    pub fn tick(&mut self, now: ClockReading, membership: &Membership) -> Messages {
        if now.monotonic < self.tick_due {
            return Messages::new();
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

    /// Handles another proxy's message. Returns no messages if it was rejected or does not concern the configuration.
    pub fn handle(&mut self, from: SocketAddr, bytes: &[u8], now: ClockReading) -> Messages {
        match message::decode(bytes) {
            Ok(DutyMessage::Broadcast(header, announcement)) => {
                self.forward_broadcast(&header, &announcement, now)
            }
            Ok(DutyMessage::Config(message)) => self.step(now, |replica, context, out| {
                let _ = replica.handle(now.monotonic, context, from, message, out);
                // a rejected message changes nothing
            }),
            _ => Messages::new(),
        }
    }

    /// Handles a broadcast and forwards it to other proxies, unless it is rejected.
    fn forward_broadcast(
        &mut self,
        header: &BroadcastHeader,
        announcement: &Announcement,
        now: ClockReading,
    ) -> Messages {
        if self.relay.accept(header, now.wall_us).is_err() {
            return Messages::new();
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

    /// Runs one step of the replica and encodes its messages.
    fn step(
        &mut self,
        now: ClockReading,
        step: impl FnOnce(&mut Replica, &Context, &mut Outbox),
    ) -> Messages {
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
