//! A hollow proxy's copy of the fleet's configuration, and its part in others' broadcasts. It holds no duty: it passes on,
//! compares digests and repairs, as every proxy does.

use super::message::{self, Announcement, Duty, DutyMessage};
use meadowproxy::fleet::config::{Event, Replica, Rules, Surroundings};
use meadowproxy::fleet::lease;
use meadowproxy::fleet::membership::{Membership, Now};
use meadowproxy::fleet::relay::{Header, Relay};
use meadowproxy::{Micros, Time};
use std::net::SocketAddr;

/// How often time passes for the copy, and how often it sees the members, as in service.
const TURN: Micros = Micros(100_000);
const SHOW: Micros = Micros(250_000);
/// How old a broadcast may be, by default.
const MAX_AGE: Micros = Micros(5_000_000);
/// The defaults of a fleet's leases.
const TERM: Micros = Micros(3_000_000);
const DRIFT: f64 = 0.01;

pub struct Carry {
    replica: Replica,
    relay: Relay,
    holder: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    turn_at: Time,
    show_at: Time,
}

/// Messages that go out, sealed as duties'.
pub type Mail = Vec<(SocketAddr, Vec<u8>)>;

impl Carry {
    /// A new copy; `None` where so many voters can't be.
    pub fn new(voters: Vec<SocketAddr>, own: SocketAddr, seed: u64, now: Time) -> Option<Carry> {
        let lease = lease::Rules::new(voters.len(), TERM, DRIFT).ok()?;
        let replica = Replica::new(Rules { lease, voters, own }, seed, now);
        let relay = Relay::new(own, seed, MAX_AGE);
        Some(Carry {
            replica,
            relay,
            holder: None,
            members: Vec::new(),
            turn_at: now,
            show_at: now,
        })
    }

    pub fn due(&self) -> Time {
        self.turn_at
    }

    /// Lets time pass, where it is due.
    pub fn pass(&mut self, now: Now, membership: &Membership) -> Mail {
        if now.time < self.turn_at {
            return Mail::new();
        }
        self.turn_at = now.time + TURN;
        if now.time >= self.show_at {
            self.show_at = now.time + SHOW;
            self.members = membership.members();
        }
        self.act(now, |replica, around, out| {
            replica.tick(now.time, around, out);
        })
    }

    /// Takes another proxy's message; nothing where it is not about the configuration, or not used.
    pub fn take(&mut self, from: SocketAddr, bytes: &[u8], now: Now) -> Mail {
        match message::decode(bytes) {
            Ok(DutyMessage::Broadcast(header, said)) => self.pass_on(&header, &said, now),
            Ok(DutyMessage::Config(message)) => self.act(now, |replica, around, out| {
                let _ = replica.handle(now.time, around, from, message, out); // refused: it changed nothing
            }),
            _ => Mail::new(),
        }
    }

    /// Takes a broadcast and passes it on; nothing where it is not used.
    fn pass_on(&mut self, header: &Header, said: &Announcement, now: Now) -> Mail {
        if self.relay.take(header, now.wall_us).is_err() {
            return Mail::new();
        }
        if said.held.iter().any(|held| held.duty == Duty::Config) {
            self.holder = Some(header.origin);
        }
        let next = self.relay.pass_on(header, &self.members);
        next.into_iter()
            .map(|(to, h)| {
                (
                    to,
                    message::encode(&DutyMessage::Broadcast(h, said.clone())),
                )
            })
            .collect()
    }

    fn act(
        &mut self,
        now: Now,
        step: impl FnOnce(
            &mut Replica,
            &Surroundings,
            &mut Vec<(SocketAddr, meadowproxy::fleet::config::Message)>,
        ),
    ) -> Mail {
        let around = Surroundings {
            wall_ms: now.wall_us / 1000,
            members: &self.members,
            near: &[],
            holding: None,
            holder: self.holder,
        };
        let mut out = Vec::new();
        step(&mut self.replica, &around, &mut out);
        out.into_iter()
            .map(|(to, message)| (to, message::encode(&DutyMessage::Config(message))))
            .collect()
    }

    /// Names of the entries that came into force.
    pub fn in_force(&mut self) -> Vec<String> {
        let names = |event| match event {
            Event::InForce { entries, .. } => {
                entries.into_iter().map(|e| e.edit.key.name).collect()
            }
            _ => Vec::new(),
        };
        self.replica.events().into_iter().flat_map(names).collect()
    }

    /// The version that this copy is at.
    pub fn version(&self) -> u64 {
        self.replica.table().version()
    }
}
