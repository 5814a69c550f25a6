//! A lightweight proxy: the library's membership, a configuration replica and, under load, a balancer, on a UDP socket of
//! its own but without HTTP. It lets one machine run fleets that are too large for real proxy processes.

use super::balancer_driver::BalancerDriver;
use super::light_replica::{LightReplica, Messages};
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

/// The maximum number of observations that are recorded of each proxy.
const MAX_OBSERVATIONS: usize = 100_000;

/// The monotonic clock in microseconds; all processes of the machine share it.
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

/// What a lightweight proxy can observe.
#[derive(Clone, Copy, PartialEq)]
pub enum Change {
    Up,
    Down,
    Replaced,
    /// A probe arrived, see [`probe_name`].
    ProbeReceived,
    /// A configuration change became active, see [`change_name`].
    SettingsApplied,
}

/// An observation: the time in microseconds, the number of the proxy, probe or change, and what was observed.
pub type Observation = (u64, u32, Change);

/// The backend name of a probe: no such backend exists, a verdict on it only shows how verdicts spread.
pub fn probe_name(number: u32) -> String {
    format!("probe-{number}")
}

/// The name of a configuration entry that only shows how changes spread.
pub fn change_name(number: u32) -> String {
    format!("change-{number}")
}

/// The counters of a member of the plan, over all its restarts.
#[derive(Default)]
pub struct ProxyCounters {
    /// Datagrams and bytes sent.
    pub sent: Cell<u64>,
    pub bytes: Cell<u64>,
    /// How often the proxy rejoined the cluster.
    pub rejoined: Cell<u64>,
    /// Processor time spent in the balancer.
    pub balancer: Cell<Duration>,
    /// The membership counters before the last restart.
    pub previous: RefCell<Counters>,
    /// At most [`MAX_OBSERVATIONS`] observations, oldest first.
    pub observations: RefCell<Vec<Observation>>,
}

/// A running lightweight proxy.
pub struct LightProxy {
    number: u32,
    plan: Plan,
    socket: UdpSocket,
    /// The same socket, for sending.
    send_socket: Rc<std::net::UdpSocket>,
    sealer: DatagramSealer,
    membership: RefCell<Membership>,
    balancer: RefCell<Option<BalancerDriver>>,
    replica: RefCell<Option<LightReplica>>,
    conditions: Rc<Cell<Conditions>>,
    random: RefCell<Pcg32>,
    pub counters: Rc<ProxyCounters>,
    /// Wakes the proxy's task after its load changed or it was stopped.
    wake: Notify,
    stopped: Cell<bool>,
}

impl LightProxy {
    /// Binds the proxy's address and spawns its task on the current thread; the task runs until [`LightProxy::stop`].
    pub fn start(
        plan: Plan,
        number: u32,
        config: MembershipConfig,
        voters: Vec<SocketAddr>,
        conditions: Rc<Cell<Conditions>>,
        counters: Rc<ProxyCounters>,
    ) -> io::Result<Rc<LightProxy>> {
        let address = plan.address(number);
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let seed = plan.seed ^ (u64::from(number) << 32);
        let proxy = Rc::new(LightProxy {
            number,
            plan,
            socket: UdpSocket::from_std(socket.try_clone()?)?,
            send_socket: Rc::new(socket),
            sealer: DatagramSealer::new(config.cluster, address),
            membership: RefCell::new(Membership::new(config, address, seed, true, now())),
            balancer: RefCell::default(),
            replica: RefCell::new(LightReplica::new(
                voters,
                address,
                seed ^ now().wall_us,
                now().monotonic,
            )),
            conditions,
            random: RefCell::new(Pcg32::seed_from_u64(seed)),
            counters,
            wake: Notify::new(),
            stopped: Cell::new(false),
        });
        tokio::task::spawn_local(proxy.clone().run());
        Ok(proxy)
    }

    /// Receives datagrams and runs what is due until the proxy is stopped.
    async fn run(self: Rc<Self>) {
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        while !self.stopped.get() {
            let balancer = self
                .balancer
                .borrow()
                .as_ref()
                .and_then(BalancerDriver::next_due);
            let replica = self.replica.borrow().as_ref().map(LightReplica::next_due);
            let due = balancer
                .into_iter()
                .chain(replica)
                .fold(self.membership.borrow().next_due(), Time::min);
            let wait = Duration::from_micros((due - Time(mono_us())).0);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => if let Ok((length, from)) = received {
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

    /// Stops the proxy. With `leave` it announces this; otherwise the others have to detect it.
    pub fn stop(&self, leave: bool) {
        if leave {
            self.step(Membership::leave);
        }
        let (mut previous, counts) = (
            self.counters.previous.borrow_mut(),
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

    /// Sets the load of the balancer, or stops it.
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
        *self.balancer.borrow_mut() = load.map(new);
        self.wake.notify_one();
    }

    /// Broadcasts a verdict on a backend to the other proxies.
    pub fn broadcast_verdict(&self, backend: String, verdict: Verdict) {
        self.step(|m, now, out| m.broadcast_verdict(backend, verdict, now, out));
    }

    /// The version of the configuration replica, 0 without one.
    pub fn version(&self) -> u64 {
        self.replica
            .borrow()
            .as_ref()
            .map_or(0, LightReplica::version)
    }

    /// The number of live members that the proxy knows, the number of verdicts to forward, and its counters.
    pub fn status(&self) -> (u32, u64, Counters) {
        let m = self.membership.borrow();
        (
            m.member_count() as u32,
            m.verdict_backlog() as u64,
            m.counters(),
        )
    }

    /// Runs what is due in the balancer and broadcasts the resulting verdicts.
    fn run_balancer(&self) {
        let mut spent = Duration::ZERO;
        let verdicts = self.balancer.borrow_mut().as_mut().map(|balancer| {
            let verdicts = balancer.run_due(Time(mono_us()));
            spent = std::mem::take(&mut balancer.spent);
            verdicts
        });
        self.counters
            .balancer
            .set(self.counters.balancer.get() + spent);
        verdicts
            .into_iter()
            .flatten()
            .for_each(|(backend, verdict)| self.broadcast_verdict(backend, verdict));
    }

    /// Runs one step of the configuration replica, sends its messages and records active changes. Returns whether there is a
    /// replica.
    fn step_replica(&self, step: impl FnOnce(&mut LightReplica, ClockReading) -> Messages) -> bool {
        let done = self
            .replica
            .borrow_mut()
            .as_mut()
            .map(|replica| (step(replica, now()), replica.changed_entries()));
        let Some((messages, changed_names)) = done else {
            return false;
        };
        messages
            .into_iter()
            .for_each(|(to, bytes)| self.send(to, wire::Body::Coordination(bytes)));
        let numbers = changed_names
            .iter()
            .filter_map(|name| name.strip_prefix("change-")?.parse().ok());
        numbers.for_each(|number| self.record(number, Change::SettingsApplied));
        true
    }

    /// Runs one step of the membership and handles its output.
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
                self.counters.rejoined.set(self.counters.rejoined.get() + 1);
            }
            MembershipEvent::VerdictReceived {
                backend,
                verdict: received,
            } => {
                if let Some(number) = backend.strip_prefix("probe-").and_then(|n| n.parse().ok()) {
                    self.record(number, Change::ProbeReceived);
                } else if let Some(balancer) = self.balancer.borrow_mut().as_mut() {
                    balancer.receive_verdict(&backend, received, Time(mono_us()));
                }
            }
            MembershipEvent::CoordinationMessage { from, bytes } => {
                if !self.step_replica(|replica, now| replica.handle(from, &bytes, now)) {
                    self.step(|m, now, out| m.reject_datagram(DatagramError::Unhandled, now, out));
                }
            }
            // A lightweight proxy has no learned state for a snapshot, and writes no log.
            MembershipEvent::SnapshotRequested { .. }
            | MembershipEvent::SnapshotReceived { .. }
            | MembershipEvent::SnapshotUnavailable { .. }
            | MembershipEvent::DatagramRejected(_) => {}
            MembershipEvent::TimerFailed(_) | MembershipEvent::AnnounceFailed { .. } => {}
        }
    }

    /// Records what was observed of a member of the plan.
    fn observe(&self, peer: SocketAddr, change: Change) {
        self.plan
            .proxy(peer)
            .into_iter()
            .for_each(|peer| self.record(peer, change));
    }

    /// Records an observation, unless there are [`MAX_OBSERVATIONS`] already.
    fn record(&self, number: u32, change: Change) {
        let mut observations = self.counters.observations.borrow_mut();
        if observations.len() < MAX_OBSERVATIONS {
            observations.push((mono_us(), number, change));
        }
    }

    /// Whether the network conditions let a datagram from this address arrive. Datagrams of lightweight proxies are lost at
    /// their sender. Real proxies send from another port and inject no faults, so that their datagrams are lost here.
    fn receives_from(&self, from: SocketAddr) -> bool {
        let conditions = self.conditions.get();
        let passes = self
            .plan
            .proxy(from)
            .is_none_or(|from| conditions.passes(&self.plan, from, self.number));
        passes
            && (from.port() == self.plan.port || self.random_fraction() >= conditions.faults.lost)
    }

    /// Seals and sends a datagram, subject to the injected faults.
    fn send(&self, to: SocketAddr, body: wire::Body) {
        let Ok(bytes) = self.sealer.seal(body, now().wall_us) else {
            return;
        };
        self.counters.sent.set(self.counters.sent.get() + 1);
        self.counters
            .bytes
            .set(self.counters.bytes.get() + bytes.len() as u64);
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
                let _ = self.send_socket.send_to(&bytes, to); // ignored as in the proxy: UDP is unreliable
                continue;
            }
            let delay =
                Duration::from_micros((self.random_fraction() * MAX_DELAY_US as f64) as u64);
            let (socket, bytes) = (self.send_socket.clone(), bytes.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&bytes, to);
            });
        }
    }

    /// A random number from 0 to below 1.
    fn random_fraction(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
