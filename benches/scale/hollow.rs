//! A hollow proxy: the library's membership, and the module where there is load, on a UDP socket of its own; no HTTP.

use super::balance::Balance;
use super::hollow_replica::{HollowReplica, Mail};
use super::plan::Plan;
use super::protocol::{Conditions, Load, LATE_US};
use meadowproxy::fleet::membership::wire::{self, DatagramError, DatagramSealer};
use meadowproxy::fleet::membership::{
    ClockReading, Counters, Membership, MembershipConfig, MembershipEvent, Output,
};
use meadowproxy::{Time, Verdict};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Membership news kept of each proxy.
const MOST_NEWS: usize = 100_000;

/// The machine's monotonic clock, which all processes share, in microseconds.
pub fn mono_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

fn now() -> ClockReading {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockReading {
        monotonic: Time(mono_us()),
        wall_us: wall.as_micros() as u64,
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Change {
    Up,
    Down,
    Replaced,
    /// A probe of that number, see [`probe`].
    PeerVerdict,
    /// A change of that number, see [`change`].
    ActiveSettings,
}

/// When, of whom, and what.
pub type PeerVerdict = (u64, u32, Change);

/// The name of a backend that is none: a verdict on it only shows how it spreads.
pub fn probe(number: u32) -> String {
    format!("probe-{number}")
}

/// The name of an entry that only shows how its change spreads.
pub fn change(number: u32) -> String {
    format!("change-{number}")
}

/// What a place's proxies counted, over all their restarts.
#[derive(Default)]
pub struct Tally {
    pub sent: Cell<u64>,
    pub bytes: Cell<u64>,
    pub rejoined: Cell<u64>,
    pub balancer: Cell<Duration>,
    /// Of proxies that are gone.
    pub past: RefCell<Counters>,
    pub news: RefCell<Vec<PeerVerdict>>,
}

pub struct Hollow {
    number: u32,
    plan: Plan,
    socket: UdpSocket,
    /// The same socket's sending side.
    sending: Rc<std::net::UdpSocket>,
    seal: DatagramSealer,
    membership: RefCell<Membership>,
    balance: RefCell<Option<Balance>>,
    replica: RefCell<Option<HollowReplica>>,
    conditions: Rc<Cell<Conditions>>,
    random: RefCell<Pcg32>,
    pub tally: Rc<Tally>,
    /// Something changed, or this proxy is to stop.
    wake: Notify,
    stopped: Cell<bool>,
}

impl Hollow {
    /// Takes its socket and works until it is stopped.
    pub fn start(
        plan: Plan,
        number: u32,
        rules: MembershipConfig,
        voters: Vec<SocketAddr>,
        conditions: Rc<Cell<Conditions>>,
        tally: Rc<Tally>,
    ) -> io::Result<Rc<Hollow>> {
        let address = plan.address(number);
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let seed = plan.seed ^ (u64::from(number) << 32);
        let hollow = Rc::new(Hollow {
            number,
            plan,
            socket: UdpSocket::from_std(socket.try_clone()?)?,
            sending: Rc::new(socket),
            seal: DatagramSealer::new(rules.cluster, address),
            membership: RefCell::new(Membership::new(rules, address, seed, true, now())),
            balance: RefCell::default(),
            replica: RefCell::new(HollowReplica::new(
                voters,
                address,
                seed ^ now().wall_us,
                now().monotonic,
            )),
            conditions,
            random: RefCell::new(Pcg32::seed_from_u64(seed)),
            tally,
            wake: Notify::new(),
            stopped: Cell::new(false),
        });
        tokio::task::spawn_local(hollow.clone().run());
        Ok(hollow)
    }

    async fn run(self: Rc<Self>) {
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        while !self.stopped.get() {
            let balance = self.balance.borrow().as_ref().and_then(Balance::due);
            let replica = self.replica.borrow().as_ref().map(HollowReplica::due);
            let due = balance
                .into_iter()
                .chain(replica)
                .fold(self.membership.borrow().next_due(), Time::min);
            let wait = Duration::from_micros((due - Time(mono_us())).0);
            tokio::select! {
                got = self.socket.recv_from(&mut buffer) => if let Ok((length, from)) = got {
                    if self.hears(from) {
                        self.turn(|m, now, out| m.handle_datagram(&buffer[..length], now, out));
                    }
                },
                () = tokio::time::sleep_until(Instant::now() + wait) => {
                    self.turn(Membership::run_timers);
                    self.serve();
                    self.step_replica(|replica, now| replica.tick(now, &self.membership.borrow()));
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// The others find out, or are told.
    pub fn stop(&self, leave: bool) {
        if leave {
            self.turn(Membership::leave);
        }
        let (mut past, counts) = (
            self.tally.past.borrow_mut(),
            self.membership.borrow().counters(),
        );
        past.received += counts.received;
        past.verdicts_sent += counts.verdicts_sent;
        past.verdicts_received += counts.verdicts_received;
        counts
            .rejected
            .into_iter()
            .for_each(|(cause, n)| *past.rejected.entry(cause).or_default() += n);
        self.stopped.set(true);
        self.wake.notify_one();
    }

    pub fn load(&self, load: Option<Load>) {
        let new = |load| {
            Balance::new(
                load,
                self.number,
                self.plan.size,
                self.plan.seed,
                now().monotonic,
            )
        };
        *self.balance.borrow_mut() = load.map(new);
        self.wake.notify_one();
    }

    pub fn tell(&self, backend: String, verdict: Verdict) {
        self.turn(|m, now, out| m.broadcast_verdict(backend, verdict, now, out));
    }

    /// The version of its copy of the configuration, 0 without one.
    pub fn version(&self) -> u64 {
        self.replica
            .borrow()
            .as_ref()
            .map_or(0, HollowReplica::version)
    }

    /// Live members that it knows, facts that wait, and its counts.
    pub fn seen(&self) -> (u32, u64, Counters) {
        let m = self.membership.borrow();
        (
            m.member_count() as u32,
            m.verdict_backlog() as u64,
            m.counters(),
        )
    }

    fn serve(&self) {
        let mut spent = Duration::ZERO;
        let told = self.balance.borrow_mut().as_mut().map(|balance| {
            let told = balance.pass(Time(mono_us()));
            spent = std::mem::take(&mut balance.spent);
            told
        });
        self.tally.balancer.set(self.tally.balancer.get() + spent);
        told.into_iter()
            .flatten()
            .for_each(|(backend, verdict)| self.tell(backend, verdict));
    }

    /// One turn of the copy of the configuration, and what comes of it; whether there is one.
    fn step_replica(&self, step: impl FnOnce(&mut HollowReplica, ClockReading) -> Mail) -> bool {
        let done = self
            .replica
            .borrow_mut()
            .as_mut()
            .map(|replica| (step(replica, now()), replica.changed_entries()));
        let Some((mail, names)) = done else {
            return false;
        };
        mail.into_iter()
            .for_each(|(to, bytes)| self.send(to, wire::Body::Coordination(bytes)));
        let numbers = names
            .iter()
            .filter_map(|name| name.strip_prefix("change-")?.parse().ok());
        numbers.for_each(|number| self.keep(number, Change::ActiveSettings));
        true
    }

    fn turn(&self, step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.membership.borrow_mut(), now(), &mut out);
        for output in out {
            match output {
                Output::Send { to, body } => self.send(to, body),
                Output::Event(news) => self.news(news),
            }
        }
    }

    fn news(&self, news: MembershipEvent) {
        match news {
            MembershipEvent::MemberUp { peer, .. } => self.change(peer, Change::Up),
            MembershipEvent::MemberDown { peer, .. } => self.change(peer, Change::Down),
            MembershipEvent::MemberReplaced { peer } => self.change(peer, Change::Replaced),
            MembershipEvent::Rejoined { .. } => {
                self.tally.rejoined.set(self.tally.rejoined.get() + 1);
            }
            MembershipEvent::VerdictReceived {
                backend,
                verdict: heard,
            } => {
                if let Some(number) = backend.strip_prefix("probe-").and_then(|n| n.parse().ok()) {
                    self.keep(number, Change::PeerVerdict);
                } else if let Some(balance) = self.balance.borrow_mut().as_mut() {
                    balance.heard(&backend, heard, Time(mono_us()));
                }
            }
            MembershipEvent::CoordinationMessage { from, bytes } => {
                if !self.step_replica(|replica, now| replica.handle(from, &bytes, now)) {
                    self.turn(|m, now, out| m.reject_datagram(DatagramError::Unhandled, now, out));
                }
            }
            // It learned nothing that a snapshot could hold, and logs nothing.
            MembershipEvent::SnapshotRequested { .. }
            | MembershipEvent::SnapshotReceived { .. }
            | MembershipEvent::SnapshotUnavailable { .. }
            | MembershipEvent::DatagramRejected(_) => {}
            MembershipEvent::TimerFailed(_) | MembershipEvent::AnnounceFailed { .. } => {}
        }
    }

    fn change(&self, peer: SocketAddr, change: Change) {
        self.plan
            .proxy(peer)
            .into_iter()
            .for_each(|peer| self.keep(peer, change));
    }

    fn keep(&self, number: u32, change: Change) {
        let mut news = self.tally.news.borrow_mut();
        if news.len() < MOST_NEWS {
            news.push((mono_us(), number, change));
        }
    }

    /// Whether a datagram from there arrives. One of a real proxy, whose socket has another port, is lost here, as it has no
    /// sending side of ours; those of hollow ones are lost where they are sent.
    fn hears(&self, from: SocketAddr) -> bool {
        let conditions = self.conditions.get();
        let passes = self
            .plan
            .proxy(from)
            .is_none_or(|from| conditions.passes(&self.plan, from, self.number));
        passes && (from.port() == self.plan.port || self.drawn() >= conditions.faults.lost)
    }

    /// Seals and sends, as far as the faults let it.
    fn send(&self, to: SocketAddr, body: wire::Body) {
        let Ok(bytes) = self.seal.seal(body, now().wall_us) else {
            return;
        };
        self.tally.sent.set(self.tally.sent.get() + 1);
        self.tally
            .bytes
            .set(self.tally.bytes.get() + bytes.len() as u64);
        let conditions = self.conditions.get();
        let faults = conditions.faults;
        let passes = self
            .plan
            .proxy(to)
            .is_none_or(|to| conditions.passes(&self.plan, self.number, to));
        if !passes || self.drawn() < faults.lost {
            return;
        }
        let copies = if self.drawn() < faults.doubled { 2 } else { 1 };
        for _ in 0..copies {
            if self.drawn() >= faults.late {
                let _ = self.sending.send_to(&bytes, to); // as in service: UDP is not sure to arrive
                continue;
            }
            let late = Duration::from_micros((self.drawn() * LATE_US as f64) as u64);
            let (socket, bytes) = (self.sending.clone(), bytes.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(late).await;
                let _ = socket.send_to(&bytes, to);
            });
        }
    }

    /// From 0 to below 1.
    fn drawn(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
