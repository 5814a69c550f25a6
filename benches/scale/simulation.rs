//! A discrete-event simulation of the fleet's membership and balancers, without sockets. Each datagram takes 0.3 to 0.5 ms,
//! and no proxy waits for a processor, so that datagram counts and delays don't depend on the machine.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::balancer_driver::BalancerDriver;
use super::fleet::{FAILING_BACKENDS, PEAK_LOAD};
use super::light_proxy::{Change, Observation};
use super::observations::observe;
use super::plan::{Plan, REGIONS, ZONES};
use super::protocol::{Absence, Cut, Faults, Load, Observations, MAX_DELAY_US};
use super::report::{quantiles, Row};
use meadowproxy::fleet::membership::wire::{self, Body, DatagramSealer};
use meadowproxy::fleet::membership::{
    ClockReading, Membership, MembershipConfig, MembershipEvent, Output,
};
use meadowproxy::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// A second in microseconds.
const SECOND: u64 = 1_000_000;
/// The wall clock at the start of the simulation, in microseconds.
const START_WALL_US: u64 = 1_700_000_000 * SECOND;
/// The shortest transit time of a datagram, and the range of the random time added to it, in microseconds.
const TRANSIT_US: (u64, u64) = (300, 200);
/// The time between the starts of two proxies, in microseconds.
const JOIN_INTERVAL_US: u64 = 8_000;
/// The role of the simulation's rows.
const ROLE: &str = "clockwork";

/// What is due at a proxy with this number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    RunTimers(u32),
    RunBalancer(u32),
    Deliver(u32, Vec<u8>),
}

/// A simulated proxy and its counters; it is stopped while `membership` is `None`.
struct SimProxy {
    membership: Option<Membership>,
    balancer: Option<BalancerDriver>,
    sealer: DatagramSealer,
    /// The time of the earliest scheduled [`SimEvent::RunTimers`], in microseconds.
    timers_due: u64,
    sent: u64,
    bytes: u64,
    rejoined: u64,
    verdicts_sent: u64,
    verdicts_received: u64,
    observations: Vec<Observation>,
}

/// A simulated fleet.
pub struct Simulation {
    plan: Plan,
    /// Simulated time in microseconds.
    now: u64,
    proxies: Vec<SimProxy>,
    /// Scheduled events by time, then in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    next_sequence: u64,
    faults: Faults,
    random: Pcg32,
}

impl Simulation {
    pub fn new(plan: Plan) -> Simulation {
        let cluster = wire::cluster_id("scale");
        let proxy = |n: u32| SimProxy {
            membership: None,
            balancer: None,
            sealer: DatagramSealer::new(cluster, plan.address(n)),
            timers_due: u64::MAX,
            sent: 0,
            bytes: 0,
            rejoined: 0,
            verdicts_sent: 0,
            verdicts_received: 0,
            observations: Vec::new(),
        };
        Simulation {
            plan,
            now: 0,
            proxies: (0..plan.size).map(proxy).collect(),
            events: BinaryHeap::new(),
            next_sequence: 0,
            faults: Faults::default(),
            random: Pcg32::seed_from_u64(plan.seed),
        }
    }

    fn clock_reading(&self) -> ClockReading {
        ClockReading {
            monotonic: Time(self.now),
            wall_us: START_WALL_US + self.now,
        }
    }

    fn start(&mut self, n: u32) {
        let seeds: Vec<SocketAddr> = (0..5.min(self.plan.size))
            .map(|n| self.plan.address(n))
            .collect();
        let (cluster, max_age) = (wire::cluster_id("scale"), Micros(5 * SECOND));
        let config = MembershipConfig {
            cluster,
            seeds,
            max_age,
            fleet_size: self.plan.size,
        };
        let seed = self.plan.seed ^ (u64::from(n) << 32);
        let membership = Membership::new(
            config,
            self.plan.address(n),
            seed,
            true,
            self.clock_reading(),
        );
        self.proxies[n as usize].membership = Some(membership);
        self.proxies[n as usize].timers_due = u64::MAX;
        self.schedule_timers(n);
    }

    fn push_event(&mut self, at: u64, event: SimEvent) {
        self.next_sequence += 1;
        self.events.push(Reverse((at, self.next_sequence, event)));
    }

    /// Schedules the membership's next timers, unless an earlier run is scheduled already.
    fn schedule_timers(&mut self, n: u32) {
        let proxy = &mut self.proxies[n as usize];
        let Some(at) = proxy.membership.as_ref().map(|m| m.next_due().0) else {
            return;
        };
        if at < proxy.timers_due {
            proxy.timers_due = at;
            self.push_event(at.max(self.now), SimEvent::RunTimers(n));
        }
    }

    /// A random number from 0 to below 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Runs one step of a proxy's membership and handles its output.
    fn step(&mut self, n: u32, step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>)) {
        let (now, mut out) = (self.clock_reading(), Vec::new());
        let Some(membership) = self.proxies[n as usize].membership.as_mut() else {
            return;
        };
        step(membership, now, &mut out);
        for output in out {
            match output {
                Output::Send { to, body } => self.send(n, to, body),
                Output::Event(event) => self.handle_event(n, event),
            }
        }
        self.schedule_timers(n);
    }

    /// Runs what is due in a proxy's balancer and broadcasts the resulting verdicts.
    fn run_balancer(&mut self, n: u32) {
        let Some(balancer) = self.proxies[n as usize].balancer.as_mut() else {
            return;
        };
        let verdicts = balancer.run_due(Time(self.now));
        let next = balancer.next_due();
        for (backend, verdict) in verdicts {
            self.proxies[n as usize].verdicts_sent += 1;
            self.step(n, |m, now, out| {
                m.broadcast_verdict(backend, verdict, now, out);
            });
        }
        next.into_iter()
            .for_each(|at| self.push_event(at.0.max(self.now), SimEvent::RunBalancer(n)));
    }

    fn set_load(&mut self, load: Option<Load>) {
        for n in 0..self.plan.size {
            let new =
                |load| BalancerDriver::new(load, n, self.plan.size, self.plan.seed, Time(self.now));
            self.proxies[n as usize].balancer = load.map(new);
            self.run_balancer(n);
        }
    }

    fn handle_event(&mut self, n: u32, event: MembershipEvent) {
        if let MembershipEvent::VerdictReceived {
            backend,
            verdict: received,
        } = event
        {
            let (proxy, now) = (&mut self.proxies[n as usize], Time(self.now));
            proxy.verdicts_received += u64::from(received.origin.is_some());
            proxy
                .balancer
                .iter_mut()
                .for_each(|balancer| balancer.receive_verdict(&backend, received.clone(), now));
            return;
        }
        let (peer, change) = match event {
            MembershipEvent::MemberUp { peer, .. } => (peer, Change::Up),
            MembershipEvent::MemberDown { peer, .. } => (peer, Change::Down),
            MembershipEvent::MemberReplaced { peer } => (peer, Change::Replaced),
            MembershipEvent::Rejoined { .. } => return self.proxies[n as usize].rejoined += 1,
            _ => return,
        };
        if let Some(peer) = self.plan.proxy(peer) {
            self.proxies[n as usize]
                .observations
                .push((self.now, peer, change));
        }
    }

    /// Sends a datagram, subject to the injected faults.
    fn send(&mut self, n: u32, to: SocketAddr, body: Body) {
        let proxy = &mut self.proxies[n as usize];
        let (Ok(bytes), Some(to)) = (
            proxy.sealer.seal(body, START_WALL_US + self.now),
            self.plan.proxy(to),
        ) else {
            return;
        };
        proxy.sent += 1;
        proxy.bytes += bytes.len() as u64;
        let region = |n: u32| Some(self.plan.region(n));
        let partitioned = self.faults.cut.is_some()
            && (region(n) == self.faults.cut) != (region(to) == self.faults.cut);
        if partitioned || self.random_fraction() < self.faults.lost {
            return;
        }
        let copies = if self.random_fraction() < self.faults.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let range = if self.random_fraction() < self.faults.delayed {
                MAX_DELAY_US as f64
            } else {
                TRANSIT_US.1 as f64
            };
            let transit = TRANSIT_US.0 + (self.random_fraction() * range) as u64;
            self.push_event(self.now + transit, SimEvent::Deliver(to, bytes.clone()));
        }
    }

    /// Runs the simulation for a span in microseconds.
    fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|d| d.0 .0 < end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            match event {
                SimEvent::Deliver(to, bytes) => {
                    self.step(to, |m, now, out| m.handle_datagram(&bytes, now, out));
                }
                SimEvent::RunTimers(n) if self.proxies[n as usize].timers_due <= at => {
                    self.proxies[n as usize].timers_due = u64::MAX;
                    self.step(n, Membership::run_timers);
                }
                SimEvent::RunTimers(_) => {}
                SimEvent::RunBalancer(n) => self.run_balancer(n),
            }
        }
        self.now = end;
    }

    /// For each running proxy, the number of members that it doesn't know as live.
    fn unknown_members(&self) -> Vec<u32> {
        let live = self
            .proxies
            .iter()
            .filter_map(|proxy| proxy.membership.as_ref());
        live.map(|m| self.plan.size - 1 - (m.member_count() as u32).min(self.plan.size - 1))
            .collect()
    }

    /// Runs the simulation for a span and returns its measurements. With `track_convergence` it checks every tenth of a
    /// second whether every proxy knows all others.
    fn measure(
        &mut self,
        phase: &str,
        span: u64,
        track_convergence: bool,
        absences: &[Absence],
        cut: Option<Cut>,
    ) -> Row {
        let (since, begun) = (self.now, std::time::Instant::now());
        let counts = |c: &Simulation| {
            c.proxies
                .iter()
                .map(|o| {
                    [
                        o.sent,
                        o.bytes,
                        o.rejoined,
                        o.verdicts_sent,
                        o.verdicts_received,
                    ]
                })
                .collect::<Vec<_>>()
        };
        let before = counts(self);
        let (mut near_convergence_s, mut full_convergence_s) = (None, None);
        while self.now < since + span {
            self.run_for((SECOND / 10).min(since + span - self.now));
            let unknown: u64 = self.unknown_members().into_iter().map(u64::from).sum();
            let seconds = (self.now - since) as f64 / SECOND as f64;
            if track_convergence && unknown * 1000 <= u64::from(self.plan.size).pow(2) {
                near_convergence_s = near_convergence_s.or(Some(seconds));
            }
            if track_convergence && unknown == 0 {
                full_convergence_s = full_convergence_s.or(Some(seconds));
            }
        }
        let increases: Vec<[u64; 5]> = counts(self)
            .iter()
            .zip(&before)
            .map(|(a, b)| std::array::from_fn(|n| a[n] - b[n]))
            .collect();
        let live = || {
            self.proxies
                .iter()
                .enumerate()
                .filter(|(_, proxy)| proxy.membership.is_some())
        };
        let observers = live().map(|(n, proxy)| (n as u32, proxy.observations.as_slice()));
        let observations: Observations = observe(&self.plan, observers, since, absences, &[], cut);
        let (proxies, seconds) = (live().count() as f64, span as f64 / SECOND as f64);
        let sum = |counter: usize| increases.iter().map(|g| g[counter]).sum::<u64>();
        let unknown = self.unknown_members();
        let row = Row {
            size: self.plan.size,
            phase: phase.into(),
            role: ROLE.into(),
            proxies: proxies as u32,
            seconds,
            datagrams: sum(0) as f64 / seconds / proxies,
            bytes: sum(1) as f64 / seconds / proxies,
            most_bytes: increases.iter().map(|g| g[1]).max().unwrap_or(0) as f64 / seconds,
            rejoined: sum(2),
            verdicts_sent: sum(3),
            verdicts_received: sum(4) as f64 / seconds / proxies,
            events: absences.len() as u32,
            false_downs: observations.false_downs,
            down_ms: quantiles(&observations.down),
            up_ms: quantiles(&observations.up),
            missing: [observations.down_missing, observations.up_missing, 0],
            near_convergence_s,
            full_convergence_s,
            incomplete_proxies: unknown.iter().filter(|l| **l > 0).count() as u32,
            unknown_members: unknown.iter().map(|l| u64::from(*l)).sum(),
            ..Row::default()
        };
        println!(
            "{}",
            serde_json::to_string(&row).expect("serializable data")
        );
        eprintln!(
            "{} {phase}: {seconds} s in {:.1?}",
            self.plan.size,
            begun.elapsed()
        );
        row
    }

    /// Kills `count` neighboring proxies at once, at most a third of the fleet, and later restarts them without state.
    fn group_failure(&mut self, name: &str, count: u32, rows: &mut Vec<Row>) {
        let from = self.plan.in_zone(ZONES / 2).start;
        let proxies: Vec<u32> = (from..self.plan.size)
            .take(count.min(self.plan.size / 3) as usize)
            .collect();
        let failed_at = self.now;
        proxies
            .iter()
            .for_each(|n| self.proxies[*n as usize].membership = None);
        let absences = |to| {
            proxies
                .iter()
                .map(|n| Absence {
                    proxy: *n,
                    from: failed_at,
                    to,
                })
                .collect::<Vec<_>>()
        };
        rows.push(self.measure(
            &format!("{name} gone"),
            30 * SECOND,
            false,
            &absences(None),
            None,
        ));
        let returned_at = self.now;
        proxies.iter().for_each(|n| self.start(*n));
        rows.push(self.measure(
            &format!("{name} back"),
            15 * SECOND,
            true,
            &absences(Some(returned_at)),
            None,
        ));
        self.run_for(10 * SECOND);
    }

    /// Starts load while some backends refuse connections, and measures the first and the next ten seconds.
    fn dead_backends(&mut self, name: &str, load: Load, rows: &mut Vec<Row>) {
        self.set_load(Some(load));
        rows.push(self.measure(&format!("{name}, first"), 10 * SECOND, false, &[], None));
        rows.push(self.measure(&format!("{name}, then"), 10 * SECOND, false, &[], None));
        self.set_load(None);
        self.events
            .retain(|d| !matches!(d.0 .2, SimEvent::RunBalancer(_)));
        self.run_for(10 * SECOND);
    }

    /// Starts the fleet and runs the named phases one after the other. Returns their rows.
    pub fn run(mut self, phases: &[String]) -> Vec<Row> {
        let selected = |name: &str| phases.iter().any(|phase| phase == name);
        let mut rows = Vec::new();
        for n in 0..self.plan.size {
            self.start(n);
            self.run_for(JOIN_INTERVAL_US);
        }
        rows.push(self.measure("joins", 20 * SECOND, true, &[], None));
        rows.push(self.measure("quiet", 20 * SECOND, true, &[], None));
        if selected("facts") {
            self.dead_backends("3 of 9 dead", FAILING_BACKENDS, &mut rows);
        }
        if selected("storm") {
            self.dead_backends("3 of 43 dead at 117/s", PEAK_LOAD, &mut rows);
        }
        for (name, fraction) in [("1% lost", 0.01), ("10% lost", 0.1)]
            .into_iter()
            .filter(|_| selected("loss"))
        {
            self.faults = Faults {
                lost: fraction,
                duplicated: fraction,
                delayed: fraction,
                cut: None,
            };
            rows.push(self.measure(name, 20 * SECOND, true, &[], None));
            self.faults = Faults::default();
            self.run_for(10 * SECOND);
        }
        if selected("rack") {
            self.group_failure("rack", 40, &mut rows);
        }
        if selected("zone") {
            self.group_failure("zone", self.plan.size.div_ceil(ZONES), &mut rows);
        }
        if !selected("region") {
            return rows;
        }
        let (region, from) = (REGIONS - 1, self.now);
        self.faults.cut = Some(region);
        let cut = |to| Some(Cut { region, from, to });
        rows.push(self.measure("region cut", 60 * SECOND, false, &[], cut(u64::MAX / 2)));
        self.faults.cut = None;
        let healed = self.now;
        rows.push(self.measure("region healed", 30 * SECOND, true, &[], cut(healed)));
        rows
    }
}
