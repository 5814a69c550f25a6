//! The same membership on one clock of our own, without sockets: every datagram is on its way for 0.3 to 0.5 ms, and no
//! proxy ever waits for a processor. What a size costs and how quick it is there does not depend on the machine.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::balance::Balance;
use super::figures::{quantiles, Row};
use super::fleet::{STORM, TROUBLE};
use super::hollow::{Change, PeerVerdict};
use super::learned::learned;
use super::plan::{Plan, REGIONS, ZONES};
use super::protocol::{Absence, Cut, Faults, Learned, Load, LATE_US};
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
const WALL: u64 = 1_700_000_000 * SECOND;
const WAY: (u64, u64) = (300, 200);
/// Proxies join so long apart.
const APART: u64 = 8_000;
/// The role of these rows.
const ROLE: &str = "clockwork";

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Pass(u32),
    Serve(u32),
    Comes(u32, Vec<u8>),
}

struct One {
    membership: Option<Membership>,
    balance: Option<Balance>,
    seal: DatagramSealer,
    /// The earliest time at which it is to pass.
    due: u64,
    sent: u64,
    bytes: u64,
    rejoined: u64,
    told: u64,
    heard: u64,
    news: Vec<PeerVerdict>,
}

pub struct Clockwork {
    plan: Plan,
    now: u64,
    ones: Vec<One>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    next: u64,
    faults: Faults,
    random: Pcg32,
}

impl Clockwork {
    pub fn new(plan: Plan) -> Clockwork {
        let cluster = wire::cluster_id("scale");
        let one = |n: u32| One {
            membership: None,
            balance: None,
            seal: DatagramSealer::new(cluster, plan.address(n)),
            due: u64::MAX,
            sent: 0,
            bytes: 0,
            rejoined: 0,
            told: 0,
            heard: 0,
            news: Vec::new(),
        };
        Clockwork {
            plan,
            now: 0,
            ones: (0..plan.size).map(one).collect(),
            due: BinaryHeap::new(),
            next: 0,
            faults: Faults::default(),
            random: Pcg32::seed_from_u64(plan.seed),
        }
    }

    fn clock(&self) -> ClockReading {
        ClockReading {
            monotonic: Time(self.now),
            wall_us: WALL + self.now,
        }
    }

    fn start(&mut self, n: u32) {
        let seeds: Vec<SocketAddr> = (0..5.min(self.plan.size))
            .map(|n| self.plan.address(n))
            .collect();
        let (cluster, max_age) = (wire::cluster_id("scale"), Micros(5 * SECOND));
        let rules = MembershipConfig {
            cluster,
            seeds,
            max_age,
            fleet_size: self.plan.size,
        };
        let seed = self.plan.seed ^ (u64::from(n) << 32);
        let membership = Membership::new(rules, self.plan.address(n), seed, true, self.clock());
        self.ones[n as usize].membership = Some(membership);
        self.ones[n as usize].due = u64::MAX;
        self.schedule(n);
    }

    fn push(&mut self, at: u64, due: Due) {
        self.next += 1;
        self.due.push(Reverse((at, self.next, due)));
    }

    fn schedule(&mut self, n: u32) {
        let one = &mut self.ones[n as usize];
        let Some(at) = one.membership.as_ref().map(|m| m.next_due().0) else {
            return;
        };
        if at < one.due {
            one.due = at;
            self.push(at.max(self.now), Due::Pass(n));
        }
    }

    fn drawn(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn turn(&mut self, n: u32, step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>)) {
        let (now, mut out) = (self.clock(), Vec::new());
        let Some(membership) = self.ones[n as usize].membership.as_mut() else {
            return;
        };
        step(membership, now, &mut out);
        for output in out {
            match output {
                Output::Send { to, body } => self.send(n, to, body),
                Output::Event(news) => self.news(n, news),
            }
        }
        self.schedule(n);
    }

    /// The module's turn: the verdicts that it tells go out.
    fn serve(&mut self, n: u32) {
        let Some(balance) = self.ones[n as usize].balance.as_mut() else {
            return;
        };
        let told = balance.pass(Time(self.now));
        let next = balance.due();
        for (backend, verdict) in told {
            self.ones[n as usize].told += 1;
            self.turn(n, |m, now, out| {
                m.broadcast_verdict(backend, verdict, now, out);
            });
        }
        next.into_iter()
            .for_each(|at| self.push(at.0.max(self.now), Due::Serve(n)));
    }

    fn load(&mut self, load: Option<Load>) {
        for n in 0..self.plan.size {
            let new = |load| Balance::new(load, n, self.plan.size, self.plan.seed, Time(self.now));
            self.ones[n as usize].balance = load.map(new);
            self.serve(n);
        }
    }

    fn news(&mut self, n: u32, news: MembershipEvent) {
        if let MembershipEvent::VerdictReceived {
            backend,
            verdict: heard,
        } = news
        {
            let (one, now) = (&mut self.ones[n as usize], Time(self.now));
            one.heard += u64::from(heard.origin.is_some());
            one.balance
                .iter_mut()
                .for_each(|balance| balance.heard(&backend, heard.clone(), now));
            return;
        }
        let (peer, change) = match news {
            MembershipEvent::MemberUp { peer, .. } => (peer, Change::Up),
            MembershipEvent::MemberDown { peer, .. } => (peer, Change::Down),
            MembershipEvent::MemberReplaced { peer } => (peer, Change::Replaced),
            MembershipEvent::Rejoined { .. } => return self.ones[n as usize].rejoined += 1,
            _ => return,
        };
        if let Some(peer) = self.plan.proxy(peer) {
            self.ones[n as usize].news.push((self.now, peer, change));
        }
    }

    fn send(&mut self, n: u32, to: SocketAddr, body: Body) {
        let one = &mut self.ones[n as usize];
        let (Ok(bytes), Some(to)) = (one.seal.seal(body, WALL + self.now), self.plan.proxy(to))
        else {
            return;
        };
        one.sent += 1;
        one.bytes += bytes.len() as u64;
        let region = |n: u32| Some(self.plan.region(n));
        let cut = self.faults.cut.is_some()
            && (region(n) == self.faults.cut) != (region(to) == self.faults.cut);
        if cut || self.drawn() < self.faults.lost {
            return;
        }
        let copies = if self.drawn() < self.faults.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = if self.drawn() < self.faults.late {
                LATE_US as f64
            } else {
                WAY.1 as f64
            };
            let way = WAY.0 + (self.drawn() * late) as u64;
            self.push(self.now + way, Due::Comes(to, bytes.clone()));
        }
    }

    fn play(&mut self, span: u64) {
        let end = self.now + span;
        while self.due.peek().is_some_and(|d| d.0 .0 < end) {
            let Some(Reverse((at, _, due))) = self.due.pop() else {
                break;
            };
            self.now = at;
            match due {
                Due::Comes(to, bytes) => {
                    self.turn(to, |m, now, out| m.handle_datagram(&bytes, now, out));
                }
                Due::Pass(n) if self.ones[n as usize].due <= at => {
                    self.ones[n as usize].due = u64::MAX;
                    self.turn(n, Membership::run_timers);
                }
                Due::Pass(_) => {}
                Due::Serve(n) => self.serve(n),
            }
        }
        self.now = end;
    }

    fn lacking(&self) -> Vec<u32> {
        let live = self.ones.iter().filter_map(|one| one.membership.as_ref());
        live.map(|m| self.plan.size - 1 - (m.member_count() as u32).min(self.plan.size - 1))
            .collect()
    }

    /// Plays so long, and counts; with `whole` it looks each tenth of a second whether all know all.
    fn watch(
        &mut self,
        phase: &str,
        span: u64,
        whole: bool,
        absences: &[Absence],
        cut: Option<Cut>,
    ) -> Row {
        let (since, begun) = (self.now, std::time::Instant::now());
        let counts = |c: &Clockwork| {
            c.ones
                .iter()
                .map(|o| [o.sent, o.bytes, o.rejoined, o.told, o.heard])
                .collect::<Vec<_>>()
        };
        let before = counts(self);
        let (mut nearly_s, mut whole_s) = (None, None);
        while self.now < since + span {
            self.play((SECOND / 10).min(since + span - self.now));
            let lacking: u64 = self.lacking().into_iter().map(u64::from).sum();
            let seconds = (self.now - since) as f64 / SECOND as f64;
            if whole && lacking * 1000 <= u64::from(self.plan.size).pow(2) {
                nearly_s = nearly_s.or(Some(seconds));
            }
            if whole && lacking == 0 {
                whole_s = whole_s.or(Some(seconds));
            }
        }
        let grown: Vec<[u64; 5]> = counts(self)
            .iter()
            .zip(&before)
            .map(|(a, b)| std::array::from_fn(|n| a[n] - b[n]))
            .collect();
        let there = || {
            self.ones
                .iter()
                .enumerate()
                .filter(|(_, one)| one.membership.is_some())
        };
        let asked = there().map(|(n, one)| (n as u32, one.news.as_slice()));
        let learned: Learned = learned(&self.plan, asked, since, absences, &[], cut);
        let (proxies, seconds) = (there().count() as f64, span as f64 / SECOND as f64);
        let sum = |which: usize| grown.iter().map(|g| g[which]).sum::<u64>();
        let lacking = self.lacking();
        let row = Row {
            size: self.plan.size,
            phase: phase.into(),
            role: ROLE.into(),
            proxies: proxies as u32,
            seconds,
            datagrams: sum(0) as f64 / seconds / proxies,
            bytes: sum(1) as f64 / seconds / proxies,
            most_bytes: grown.iter().map(|g| g[1]).max().unwrap_or(0) as f64 / seconds,
            rejoined: sum(2),
            told: sum(3),
            heard: sum(4) as f64 / seconds / proxies,
            events: absences.len() as u32,
            false_downs: learned.false_downs,
            gone_ms: quantiles(&learned.gone),
            back_ms: quantiles(&learned.back),
            missing: [learned.gone_missing, learned.back_missing, 0],
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

    fn group(&mut self, name: &str, count: u32, rows: &mut Vec<Row>) {
        let from = self.plan.in_zone(ZONES / 2).start;
        let who: Vec<u32> = (from..self.plan.size)
            .take(count.min(self.plan.size / 3) as usize)
            .collect();
        let gone_at = self.now;
        who.iter()
            .for_each(|n| self.ones[*n as usize].membership = None);
        let gone = |to| {
            who.iter()
                .map(|n| Absence {
                    proxy: *n,
                    from: gone_at,
                    to,
                })
                .collect::<Vec<_>>()
        };
        rows.push(self.watch(
            &format!("{name} gone"),
            30 * SECOND,
            false,
            &gone(None),
            None,
        ));
        let back_at = self.now;
        who.iter().for_each(|n| self.start(*n));
        rows.push(self.watch(
            &format!("{name} back"),
            15 * SECOND,
            true,
            &gone(Some(back_at)),
            None,
        ));
        self.play(10 * SECOND);
    }

    fn facts(&mut self, name: &str, load: Load, rows: &mut Vec<Row>) {
        self.load(Some(load));
        rows.push(self.watch(&format!("{name}, first"), 10 * SECOND, false, &[], None));
        rows.push(self.watch(&format!("{name}, then"), 10 * SECOND, false, &[], None));
        self.load(None);
        self.due.retain(|d| !matches!(d.0 .2, Due::Serve(_)));
        self.play(10 * SECOND);
    }

    /// These phases, one after the other.
    pub fn rows(mut self, phases: &[String]) -> Vec<Row> {
        let asked = |name: &str| phases.iter().any(|phase| phase == name);
        let mut rows = Vec::new();
        for n in 0..self.plan.size {
            self.start(n);
            self.play(APART);
        }
        rows.push(self.watch("joins", 20 * SECOND, true, &[], None));
        rows.push(self.watch("quiet", 20 * SECOND, true, &[], None));
        if asked("facts") {
            self.facts("3 of 9 dead", TROUBLE, &mut rows);
        }
        if asked("storm") {
            self.facts("3 of 43 dead at 117/s", STORM, &mut rows);
        }
        for (name, part) in [("1% lost", 0.01), ("10% lost", 0.1)]
            .into_iter()
            .filter(|_| asked("loss"))
        {
            self.faults = Faults {
                lost: part,
                doubled: part,
                late: part,
                cut: None,
            };
            rows.push(self.watch(name, 20 * SECOND, true, &[], None));
            self.faults = Faults::default();
            self.play(10 * SECOND);
        }
        if asked("rack") {
            self.group("rack", 40, &mut rows);
        }
        if asked("zone") {
            self.group("zone", self.plan.size.div_ceil(ZONES), &mut rows);
        }
        if !asked("region") {
            return rows;
        }
        let (region, from) = (REGIONS - 1, self.now);
        self.faults.cut = Some(region);
        let cut = |to| Some(Cut { region, from, to });
        rows.push(self.watch("region cut", 60 * SECOND, false, &[], cut(u64::MAX / 2)));
        self.faults.cut = None;
        let healed = self.now;
        rows.push(self.watch("region healed", 30 * SECOND, true, &[], cut(healed)));
        rows
    }
}
