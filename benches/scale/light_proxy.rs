//! A hollow proxy: the library's membership, and the module where there is load, on a UDP socket of its own; no HTTP.

use super::balancer_driver::BalancerDriver;
use super::light_replica::{LightReplica, Mail};
use super::plan::Plan;
use super::protocol::{Conditions, Load, MAX_DELAY_US};
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
const MAX_OBSERVATIONS: usize = 100_000;

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
    /// A probe of that number, see [`probe_name`].
    ProbeReceived,
    /// A change of that number, see [`change_name`].
    SettingsApplied,
}

/// When, of whom, and what.
pub type Observation = (u64, u32, Change);

/// The name of a backend that is none: a verdict on it only shows how it spreads.
pub fn probe_name(number: u32) -> String {
    format!("probe-{number}")
}

/// The name of an entry that only shows how its change spreads.
pub fn change_name(number: u32) -> String {
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
    pub previous: RefCell<Counters>,
    pub observations: RefCell<Vec<Observation>>,
}

pub struct LightProxy {
    number: u32,
    plan: Plan,
    socket: UdpSocket,
    /// The same socket's send_socket side.
    send_socket: Rc<std::net::UdpSocket>,
    sealer: DatagramSealer,
    membership: RefCell<Membership>,
    balance: RefCell<Option<BalancerDriver>>,
    replica: RefCell<Option<LightReplica>>,
    conditions: Rc<Cell<Conditions>>,
    random: RefCell<Pcg32>,
    pub tally: Rc<Tally>,
    /// Something changed, or this proxy is to stop.
    wake: Notify,
    stopped: Cell<bool>,
}

impl LightProxy {
    /// Takes its socket and works until it is stopped.
    pub fn start(
        plan: Plan,
        number: u32,
        config: MembershipConfig,
        voters: Vec<SocketAddr>,
        conditions: Rc<Cell<Conditions>>,
        tally: Rc<Tally>,
    ) -> io::Result<Rc<LightProxy>> {
        let address = plan.address(number);
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let seed = plan.seed ^ (u64::from(number) << 32);
        let light_proxy = Rc::new(LightProxy {
            number,
            plan,
            socket: UdpSocket::from_std(socket.try_clone()?)?,
            send_socket: Rc::new(socket),
            sealer: DatagramSealer::new(config.cluster, address),
            membership: RefCell::new(Membership::new(config, address, seed, true, now())),
            balance: RefCell::default(),
            replica: RefCell::new(LightReplica::new(
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
        tokio::task::spawn_local(light_proxy.clone().run());
        Ok(light_proxy)
    }

    async fn run(self: Rc<Self>) {
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        while !self.stopped.get() {
            let balance = self
                .balance
                .borrow()
                .as_ref()
                .and_then(BalancerDriver::next_due);
            let replica = self.replica.borrow().as_ref().map(LightReplica::next_due);
            let due = balance
                .into_iter()
                .chain(replica)
                .fold(self.membership.borrow().next_due(), Time::min);
            let wait = Duration::from_micros((due - Time(mono_us())).0);
            tokio::select! {
                got = self.socket.recv_from(&mut buffer) => if let Ok((length, from)) = got {
                    if self.receives_from(from) {
                        self.step(|m, now, out| m.handle_datagram(&buffer[..length], now, out));
                    }
                },
                () = tokio::time::sleep_until(Instant::now() + wait) => {
                    self.step(Membership::run_timers);
                    self.run_balancer();
                    self.step_replica(|replica, now| replica.tick(now, &self.membership.borrow()));
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// The others find out, or are told.
    pub fn stop(&self, leave: bool) {
        if leave {
            self.step(Membership::leave);
        }
        let (mut previous, counts) = (
            self.tally.previous.borrow_mut(),
            self.membership.borrow().counters(),
        );
        previous.received += counts.received;
        previous.verdicts_sent += counts.verdicts_sent;
        previous.verdicts_received += counts.verdicts_received;
        counts
            .rejected
            .into_iter()
            .for_each(|(cause, n)| *previous.rejected.entry(cause).or_default() += n);
        self.stopped.set(true);
        self.wake.notify_one();
    }

    pub fn set_load(&self, load: Option<Load>) {
        let new = |load| {
            BalancerDriver::new(
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

    pub fn broadcast_verdict(&self, backend: String, verdict: Verdict) {
        self.step(|m, now, out| m.broadcast_verdict(backend, verdict, now, out));
    }

    /// The version of its copy of the configuration, 0 without one.
    pub fn version(&self) -> u64 {
        self.replica
            .borrow()
            .as_ref()
            .map_or(0, LightReplica::version)
    }

    /// Live members that it knows, facts that wait, and its counts.
    pub fn status(&self) -> (u32, u64, Counters) {
        let m = self.membership.borrow();
        (
            m.member_count() as u32,
            m.verdict_backlog() as u64,
            m.counters(),
        )
    }

    fn run_balancer(&self) {
        let mut spent = Duration::ZERO;
        let verdicts = self.balance.borrow_mut().as_mut().map(|balance| {
            let verdicts = balance.run_due(Time(mono_us()));
            spent = std::mem::take(&mut balance.spent);
            verdicts
        });
        self.tally.balancer.set(self.tally.balancer.get() + spent);
        verdicts
            .into_iter()
            .flatten()
            .for_each(|(backend, verdict)| self.broadcast_verdict(backend, verdict));
    }

    /// One turn of the copy of the configuration, and what comes of it; whether there is one.
    fn step_replica(&self, step: impl FnOnce(&mut LightReplica, ClockReading) -> Mail) -> bool {
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
        numbers.for_each(|number| self.record(number, Change::SettingsApplied));
        true
    }

    fn step(&self, step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.membership.borrow_mut(), now(), &mut out);
        for output in out {
            match output {
                Output::Send { to, body } => self.send(to, body),
                Output::Event(event) => self.handle_event(event),
            }
        }
    }

    fn handle_event(&self, event: MembershipEvent) {
        match event {
            MembershipEvent::MemberUp { peer, .. } => self.observe(peer, Change::Up),
            MembershipEvent::MemberDown { peer, .. } => self.observe(peer, Change::Down),
            MembershipEvent::MemberReplaced { peer } => self.observe(peer, Change::Replaced),
            MembershipEvent::Rejoined { .. } => {
                self.tally.rejoined.set(self.tally.rejoined.get() + 1);
            }
            MembershipEvent::VerdictReceived {
                backend,
                verdict: received,
            } => {
                if let Some(number) = backend.strip_prefix("probe-").and_then(|n| n.parse().ok()) {
                    self.record(number, Change::ProbeReceived);
                } else if let Some(balance) = self.balance.borrow_mut().as_mut() {
                    balance.receive_verdict(&backend, received, Time(mono_us()));
                }
            }
            MembershipEvent::CoordinationMessage { from, bytes } => {
                if !self.step_replica(|replica, now| replica.handle(from, &bytes, now)) {
                    self.step(|m, now, out| m.reject_datagram(DatagramError::Unhandled, now, out));
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

    fn observe(&self, peer: SocketAddr, change: Change) {
        self.plan
            .proxy(peer)
            .into_iter()
            .for_each(|peer| self.record(peer, change));
    }

    fn record(&self, number: u32, change: Change) {
        let mut observations = self.tally.observations.borrow_mut();
        if observations.len() < MAX_OBSERVATIONS {
            observations.push((mono_us(), number, change));
        }
    }

    /// Whether a datagram from there arrives. One of a real proxy, whose socket has another port, is lost here, as it has no
    /// send_socket side of ours; those of hollow ones are lost where they are sent.
    fn receives_from(&self, from: SocketAddr) -> bool {
        let conditions = self.conditions.get();
        let passes = self
            .plan
            .proxy(from)
            .is_none_or(|from| conditions.passes(&self.plan, from, self.number));
        passes
            && (from.port() == self.plan.port || self.random_fraction() >= conditions.faults.lost)
    }

    /// Seals and sends, as far as the faults let it.
    fn send(&self, to: SocketAddr, body: wire::Body) {
        let Ok(bytes) = self.sealer.seal(body, now().wall_us) else {
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
        if !passes || self.random_fraction() < faults.lost {
            return;
        }
        let copies = if self.random_fraction() < faults.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random_fraction() >= faults.delayed {
                let _ = self.send_socket.send_to(&bytes, to); // as in service: UDP is not sure to arrive
                continue;
            }
            let late = Duration::from_micros((self.random_fraction() * MAX_DELAY_US as f64) as u64);
            let (socket, bytes) = (self.send_socket.clone(), bytes.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(late).await;
                let _ = socket.send_to(&bytes, to);
            });
        }
    }

    /// From 0 to below 1.
    fn random_fraction(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
