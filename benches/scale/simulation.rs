//! The same membership on one clock of our own, without sockets: every datagram is on its way for 0.3 to 0.5 ms, and no
//! proxy ever waits for a processor. What a size costs and how quick it is there does not depend on the machine.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::balancer_driver::BalancerDriver;
use super::fleet::{FAILING_BACKENDS, PEAK_LOAD};
use super::light_proxy::{Change, Observation};
use super::observations::observe;
use super::plan::{Plan, REGIONS, ZONES};
use super::protocol::{Absence, Cut, Faults, Learned, Load, MAX_DELAY_US};
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

const SECOND: u64 = 1_000_000;
/// Wall time at the beginning.
const START_WALL_US: u64 = 1_700_000_000 * SECOND;
const TRANSIT_US: (u64, u64) = (300, 200);
/// Proxies join so long apart.
const JOIN_INTERVAL_US: u64 = 8_000;
/// The role of these rows.
const ROLE: &str = "clockwork";

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    RunTimers(u32),
    RunBalancer(u32),
    Deliver(u32, Vec<u8>),
}

struct SimProxy {
    membership: Option<Membership>,
    balance: Option<BalancerDriver>,
    sealer: DatagramSealer,
    /// The earliest time at which it is to pass.
    timers_due: u64,
    sent: u64,
    bytes: u64,
    rejoined: u64,
    told: u64,
    heard: u64,
    observations: Vec<Observation>,
}

pub struct Simulation {
    plan: Plan,
    now: u64,
    proxies: Vec<SimProxy>,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    next_sequence: u64,
    faults: Faults,
    random: Pcg32,
}

impl Simulation {
    pub fn new(plan: Plan) -> Simulation {
        let cluster = wire::cluster_id("scale");
        let one = |n: u32| SimProxy {
            membership: None,
            balance: None,
            sealer: DatagramSealer::new(cluster, plan.address(n)),
            timers_due: u64::MAX,
            sent: 0,
            bytes: 0,
            rejoined: 0,
            told: 0,
            heard: 0,
            observations: Vec::new(),
        };
        Simulation {
            plan,
            now: 0,
            proxies: (0..plan.size).map(one).collect(),
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

    fn schedule_timers(&mut self, n: u32) {
        let one = &mut self.proxies[n as usize];
        let Some(at) = one.membership.as_ref().map(|m| m.next_due().0) else {
            return;
        };
        if at < one.timers_due {
            one.timers_due = at;
            self.push_event(at.max(self.now), SimEvent::RunTimers(n));
        }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

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

    /// The module's turn: the verdicts that it tells go out.
    fn run_balancer(&mut self, n: u32) {
        let Some(balance) = self.proxies[n as usize].balance.as_mut() else {
            return;
        };
        let verdicts = balance.run_due(Time(self.now));
        let next = balance.next_due();
        for (backend, verdict) in verdicts {
            self.proxies[n as usize].told += 1;
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
            self.proxies[n as usize].balance = load.map(new);
            self.run_balancer(n);
        }
    }

    fn handle_event(&mut self, n: u32, event: MembershipEvent) {
        if let MembershipEvent::VerdictReceived {
            backend,
            verdict: received,
        } = event
        {
            let (one, now) = (&mut self.proxies[n as usize], Time(self.now));
            one.heard += u64::from(received.origin.is_some());
            one.balance
                .iter_mut()
                .for_each(|balance| balance.receive_verdict(&backend, received.clone(), now));
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

    fn send(&mut self, n: u32, to: SocketAddr, body: Body) {
        let one = &mut self.proxies[n as usize];
        let (Ok(bytes), Some(to)) = (
            one.sealer.seal(body, START_WALL_US + self.now),
            self.plan.proxy(to),
        ) else {
            return;
        };
        one.sent += 1;
        one.bytes += bytes.len() as u64;
        let region = |n: u32| Some(self.plan.region(n));
        let cut = self.faults.cut.is_some()
            && (region(n) == self.faults.cut) != (region(to) == self.faults.cut);
        if cut || self.random_fraction() < self.faults.lost {
            return;
        }
        let copies = if self.random_fraction() < self.faults.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = if self.random_fraction() < self.faults.delayed {
                MAX_DELAY_US as f64
            } else {
                TRANSIT_US.1 as f64
            };
            let transit = TRANSIT_US.0 + (self.random_fraction() * late) as u64;
            self.push_event(self.now + transit, SimEvent::Deliver(to, bytes.clone()));
        }
    }

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

    fn lacking(&self) -> Vec<u32> {
        let live = self
            .proxies
            .iter()
            .filter_map(|one| one.membership.as_ref());
        live.map(|m| self.plan.size - 1 - (m.member_count() as u32).min(self.plan.size - 1))
            .collect()
    }

    /// Plays so long, and counts; with `whole` it looks each tenth of a second whether all know all.
    fn measure(
        &mut self,
        phase: &str,
        span: u64,
        whole: bool,
        absences: &[Absence],
        cut: Option<Cut>,
    ) -> Row {
        let (since, begun) = (self.now, std::time::Instant::now());
        let counts = |c: &Simulation| {
            c.proxies
                .iter()
                .map(|o| [o.sent, o.bytes, o.rejoined, o.told, o.heard])
                .collect::<Vec<_>>()
        };
        let before = counts(self);
        let (mut nearly_s, mut whole_s) = (None, None);
        while self.now < since + span {
            self.run_for((SECOND / 10).min(since + span - self.now));
            let lacking: u64 = self.lacking().into_iter().map(u64::from).sum();
            let seconds = (self.now - since) as f64 / SECOND as f64;
            if whole && lacking * 1000 <= u64::from(self.plan.size).pow(2) {
                nearly_s = nearly_s.or(Some(seconds));
            }
            if whole && lacking == 0 {
                whole_s = whole_s.or(Some(seconds));
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
                .filter(|(_, one)| one.membership.is_some())
        };
        let observers = live().map(|(n, one)| (n as u32, one.observations.as_slice()));
        let observations: Learned = observe(&self.plan, observers, since, absences, &[], cut);
        let (proxies, seconds) = (live().count() as f64, span as f64 / SECOND as f64);
        let sum = |which: usize| increases.iter().map(|g| g[which]).sum::<u64>();
        let lacking = self.lacking();
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
            told: sum(3),
            heard: sum(4) as f64 / seconds / proxies,
            events: absences.len() as u32,
            false_downs: observations.false_downs,
            gone_ms: quantiles(&observations.gone),
            back_ms: quantiles(&observations.back),
            missing: [observations.gone_missing, observations.back_missing, 0],
            nearly_s,
            whole_s,
            lack: lacking.iter().filter(|l| **l > 0).count() as u32,
            lacking: lacking.iter().map(|l| u64::from(*l)).sum(),
            ..Row::default()
        };
        println!("{}", serde_json::to_string(&row).expect("plain data"));
        eprintln!(
            "{} {phase}: {seconds} s in {:.1?}",
            self.plan.size,
            begun.elapsed()
        );
        row
    }

    fn group_failure(&mut self, name: &str, count: u32, rows: &mut Vec<Row>) {
        let from = self.plan.in_zone(ZONES / 2).start;
        let who: Vec<u32> = (from..self.plan.size)
            .take(count.min(self.plan.size / 3) as usize)
            .collect();
        let gone_at = self.now;
        who.iter()
            .for_each(|n| self.proxies[*n as usize].membership = None);
        let gone = |to| {
            who.iter()
                .map(|n| Absence {
                    proxy: *n,
                    from: gone_at,
                    to,
                })
                .collect::<Vec<_>>()
        };
        rows.push(self.measure(
            &format!("{name} gone"),
            30 * SECOND,
            false,
            &gone(None),
            None,
        ));
        let back_at = self.now;
        who.iter().for_each(|n| self.start(*n));
        rows.push(self.measure(
            &format!("{name} back"),
            15 * SECOND,
            true,
            &gone(Some(back_at)),
            None,
        ));
        self.run_for(10 * SECOND);
    }

    fn dead_backends(&mut self, name: &str, load: Load, rows: &mut Vec<Row>) {
        self.set_load(Some(load));
        rows.push(self.measure(&format!("{name}, first"), 10 * SECOND, false, &[], None));
        rows.push(self.measure(&format!("{name}, then"), 10 * SECOND, false, &[], None));
        self.set_load(None);
        self.events
            .retain(|d| !matches!(d.0 .2, SimEvent::RunBalancer(_)));
        self.run_for(10 * SECOND);
    }

    /// These phases, one after the other.
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
        for (name, part) in [("1% lost", 0.01), ("10% lost", 0.1)]
            .into_iter()
            .filter(|_| selected("loss"))
        {
            self.faults = Faults {
                lost: part,
                duplicated: part,
                delayed: part,
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
