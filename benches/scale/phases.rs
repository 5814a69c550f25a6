//! What befalls the fleet, and what is counted meanwhile.

use super::figures::{quantiles, Row, HOLLOW};
use super::fleet::{Fleet, Moment, Whole, STORM, TROUBLE};
use super::hollow::mono_us;
use super::protocol::{Absence, Cut, Faults, Learned, Load};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The plan's day over 1,800 proxies: restarts and replacements, and failures.
const RESTARTS: f64 = 2200.0;
const FAILURES: f64 = 120.0;
const DAY: f64 = 86_400.0;
const PLANNED: f64 = 1800.0;
/// Out of so many events one is a failure.
const ONE_FAILS_OF: u32 = 20;
/// A restarted proxy is away so long, a failed one's replacement comes so late.
const RESTARTED: Duration = Duration::from_secs(2);
const REPLACED: Duration = Duration::from_secs(20);

pub const ALL: [&str; 13] = [
    "quiet",
    "churn",
    "probes",
    "facts",
    "storm",
    "changes",
    "changes-churn",
    "changes-lost",
    "changes-worst",
    "loss",
    "rack",
    "zone",
    "region",
];

/// How long the phases last.
#[derive(Clone, Copy)]
pub struct Spans {
    pub quiet: Duration,
    pub churn: Duration,
    pub facts: Duration,
    pub changes: Duration,
    pub loss: Duration,
    /// After proxies went, until the others must know.
    pub gone: Duration,
    pub back: Duration,
    pub cut: Duration,
    /// Until all know all again, at most.
    pub heal: Duration,
    /// Until the news of a change has died down.
    pub settle: Duration,
}

/// What happened in a phase.
#[derive(Default)]
struct Done {
    absences: Vec<Absence>,
    probes: Vec<(u32, u64)>,
    cut: Option<Cut>,
    whole: Whole,
    /// Milliseconds until each change was answered.
    answered: Vec<u32>,
    events: u32,
}

pub struct Play {
    pub fleet: Fleet,
    pub spans: Spans,
    random: Pcg32,
    rows: Vec<Row>,
}

impl Play {
    pub fn new(fleet: Fleet, spans: Spans) -> Play {
        let random = Pcg32::seed_from_u64(fleet.plan.seed);
        Play { fleet, spans, random, rows: Vec::new() }
    }

    pub fn rows(self) -> Vec<Row> {
        self.rows
    }

    pub fn phase(&mut self, name: &str) {
        match name {
            "quiet" => self.watch("quiet", self.spans.quiet, |_| Done::default()),
            "churn" => {
                self.churn("churn", 1.0);
                self.churn("churn x10", 10.0);
            }
            "probes" => self.watch("probes", self.spans.quiet, Play::probes),
            "facts" => self.facts("3 of 9 dead", TROUBLE),
            "storm" => self.facts("3 of 43 dead at 117/s", STORM),
            "changes" => self.changes("changes", Faults::default(), 0.0),
            "changes-churn" => self.changes("changes, churn x10", Faults::default(), 10.0),
            "changes-lost" => {
                self.changes("changes, 1% lost", Faults { lost: 0.01, ..Faults::default() }, 0.0)
            }
            "changes-worst" => {
                let faults = Faults { lost: 0.1, doubled: 0.1, late: 0.1, cut: None };
                self.changes("changes, 10% lost", faults, 0.0);
            }
            "loss" => {
                self.loss("1% lost", 0.01);
                self.loss("10% lost", 0.1);
            }
            "rack" => self.group("rack", 40),
            "zone" => self.group("zone", self.fleet.plan.size.div_ceil(super::plan::ZONES)),
            "region" => self.region(),
            other => panic!("no phase {other}: expected some of {ALL:?}"),
        }
    }

    /// Counts over a span what comes of it.
    fn watch(&mut self, phase: &str, span: Duration, during: impl FnOnce(&mut Play) -> Done) {
        let (since, before) = (mono_us(), self.fleet.moment());
        let done = during(self);
        std::thread::sleep(span.saturating_sub(before.at.elapsed()));
        let after = self.fleet.moment();
        let learned = self.fleet.learned(since, &done.absences, &done.probes, done.cut);
        let rows = rows(self.fleet.plan.size, phase, &before, &after, &done, &learned);
        for row in &rows {
            println!("{}", serde_json::to_string(row).expect("plain data"));
        }
        self.rows.extend(rows);
    }

    /// A hollow proxy that is none of these, and no seed.
    fn drawn(&mut self, but: &[Absence]) -> u32 {
        let first = (self.fleet.real.len() as u32).max(3);
        loop {
            let n = first + self.random.next_u32() % (self.fleet.plan.size - first);
            if but.iter().all(|a| a.proxy != n) {
                return n;
            }
        }
    }

    fn settle(&mut self) {
        self.fleet.whole(Instant::now(), self.spans.heal);
        std::thread::sleep(self.spans.settle);
    }

    /// Restarts and failures at so many times the plan's rate a proxy, drawn by the seed, all back by the end.
    fn churn(&mut self, name: &str, times: f64) {
        let span = self.spans.churn;
        let events = self.events_in(span, times);
        self.watch(name, span, |play| {
            let begun = Instant::now();
            let mut done = Done { events, ..Done::default() };
            let mut returns: Vec<(Instant, usize)> = Vec::new();
            for n in 0..events {
                let at = begun + span.mul_f64(0.75 * f64::from(n) / f64::from(events));
                play.back_until(at, &mut returns, &mut done.absences);
                let (proxy, fails) = (play.drawn(&done.absences), n % ONE_FAILS_OF == ONE_FAILS_OF / 2);
                let from = mono_us();
                play.fleet.stop(&[proxy], !fails);
                done.absences.push(Absence { proxy, from, to: None });
                let away = if fails { REPLACED } else { RESTARTED };
                returns.push((Instant::now() + away, done.absences.len() - 1));
            }
            play.back_until(begun + span, &mut returns, &mut done.absences);
            done
        });
        self.settle();
    }

    /// Waits until then, and meanwhile brings back whoever is due.
    fn back_until(&mut self, end: Instant, returns: &mut Vec<(Instant, usize)>, absences: &mut [Absence]) {
        loop {
            returns.sort();
            let due = returns.first().copied().filter(|r| r.0 <= end);
            let at = due.map_or(end, |r| r.0);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let Some((_, which)) = due else { return };
            returns.remove(0);
            absences[which].to = Some(mono_us());
            self.fleet.start(&[absences[which].proxy]);
        }
    }

    /// Verdicts that spread, one after the other, from proxies drawn by the seed.
    fn probes(&mut self) -> Done {
        let (begun, count) = (Instant::now(), 20);
        let mut probes = Vec::new();
        for n in 0..count {
            let at = begun + self.spans.quiet.mul_f64(0.7 * f64::from(n) / f64::from(count));
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let proxy = self.drawn(&[]);
            probes.push(self.fleet.probe(proxy));
        }
        Done { events: count, probes, ..Done::default() }
    }

    /// Backends are dead of a sudden: first every proxy finds out by itself or hears of it, then some try again at times.
    fn facts(&mut self, name: &str, load: Load) {
        let span = self.spans.facts;
        self.watch(&format!("{name}, first"), span, |play| {
            play.fleet.ask_real(load, Instant::now() + 2 * span);
            play.fleet.load(Some(load));
            Done { events: load.dead, ..Done::default() }
        });
        self.watch(&format!("{name}, then"), span, |_| Done { events: load.dead, ..Done::default() });
        self.fleet.load(None);
        self.settle();
    }

    /// Operators change the configuration five times a second, at one real proxy's door after the other.
    fn changes(&mut self, name: &str, faults: Faults, churn: f64) {
        self.fleet.faults(faults);
        let span = self.spans.changes;
        self.watch(name, span + Duration::from_secs(5), |play| {
            let (begun, mut from) = (Instant::now(), play.fleet.version());
            let count = (span.as_secs_f64() * 5.0) as u32;
            let mut done = Done::default();
            let mut returns = Vec::new();
            let rate = play.events_in(span, churn);
            for n in 0..count {
                let at = begun + span.mul_f64(f64::from(n) / f64::from(count));
                play.back_until(at, &mut returns, &mut done.absences);
                if rate > 0 && n % (count / rate).max(1) == 0 {
                    let proxy = play.drawn(&done.absences);
                    done.absences.push(Absence { proxy, from: mono_us(), to: None });
                    play.fleet.stop(&[proxy], true);
                    returns.push((Instant::now() + RESTARTED, done.absences.len() - 1));
                }
                match play.fleet.change(n as usize, &mut from) {
                    Ok((number, asked, answered)) => {
                        done.probes.push((number, asked));
                        done.answered.push(((answered - asked) / 1000) as u32);
                    }
                    Err(why) => {
                        eprintln!("{name}: change {n}: {why}");
                        from = play.fleet.version();
                    }
                }
            }
            play.back_until(begun + span, &mut returns, &mut done.absences);
            done.answered.sort_unstable();
            let last = done.answered.last().copied();
            eprintln!("{name}: {} of {count} taken, answered after ms: last {last:?}", done.probes.len());
            Done { events: done.probes.len() as u32, ..done }
        });
        self.fleet.faults(Faults::default());
        let versions = self
            .fleet
            .samples()
            .iter()
            .fold((u64::MAX, 0), |(low, high), s| (low.min(s.versions.0), high.max(s.versions.1)));
        eprintln!("{name}: versions at the end {versions:?}, at the door {}", self.fleet.version());
        self.settle();
    }

    /// Restarts and failures in a span at so many times the plan's rate a proxy.
    fn events_in(&self, span: Duration, times: f64) -> u32 {
        let rate = (RESTARTS + FAILURES) / DAY / PLANNED * f64::from(self.fleet.plan.size) * times;
        (rate * span.as_secs_f64()).round() as u32
    }

    fn loss(&mut self, name: &str, part: f64) {
        self.fleet.faults(Faults { lost: part, doubled: part, late: part, cut: None });
        self.watch(name, self.spans.loss, |_| Done::default());
        self.fleet.faults(Faults::default());
        self.settle();
    }

    /// So many at one place gone at once without a word, a third of the fleet at most, and back cold.
    fn group(&mut self, name: &str, count: u32) {
        let size = self.fleet.plan.size;
        let from = self.fleet.plan.in_zone(super::plan::ZONES / 2).start;
        let who: Vec<u32> = (from..size).take(count.min(size / 3) as usize).collect();
        let mut gone_at = 0;
        self.watch(&format!("{name} gone"), self.spans.gone, |play| {
            gone_at = mono_us();
            play.fleet.stop(&who, false);
            let absences = who.iter().map(|n| Absence { proxy: *n, from: gone_at, to: None }).collect();
            Done { absences, events: who.len() as u32, ..Done::default() }
        });
        self.watch(&format!("{name} back"), self.spans.back, |play| {
            let (at, begun) = (mono_us(), Instant::now());
            play.fleet.start(&who);
            let whole = play.fleet.whole(begun, play.spans.heal);
            let back = |n: &u32| Absence { proxy: *n, from: gone_at, to: Some(at) };
            let absences = who.iter().map(back).collect();
            Done { absences, whole, events: who.len() as u32, ..Done::default() }
        });
        self.settle();
    }

    /// The last region hears nobody else, and nobody hears it, until it heals.
    fn region(&mut self) {
        let region = super::plan::REGIONS - 1;
        let events =
            (0..self.fleet.plan.size).filter(|n| self.fleet.plan.region(*n) == region).count() as u32;
        let from = mono_us();
        self.fleet.faults(Faults { cut: Some(region), ..Faults::default() });
        let cut = Some(Cut { region, from, to: u64::MAX / 2 });
        self.watch("region cut", self.spans.cut, |_| Done { cut, events, ..Done::default() });
        self.watch("region healed", self.spans.back, |play| {
            let (to, begun) = (play.fleet.faults(Faults::default()), Instant::now());
            let whole = play.fleet.whole(begun, play.spans.heal);
            Done { cut: Some(Cut { region, from, to }), whole, events, ..Done::default() }
        });
        self.settle();
    }
}

/// The rows of a phase: one for the hollow proxies, and of real ones one for who sent most and one for the others.
fn rows(size: u32, phase: &str, before: &Moment, after: &Moment, done: &Done, learned: &Learned) -> Vec<Row> {
    let seconds = (after.at - before.at).as_secs_f64();
    let busy_percent = after.machine.busy_since(before.machine);
    let hollow_ns: u64 =
        after.hollow.iter().zip(&before.hollow).map(|(a, b)| a.cpu_ns.saturating_sub(b.cpu_ns)).sum();
    let real: Vec<_> = after.real.iter().zip(&before.real).collect();
    let real_ns: u64 = real.iter().map(|(a, b)| a.cpu_ns.saturating_sub(b.cpu_ns)).sum();
    let cores = std::thread::available_parallelism().map_or(1, usize::from) as f64;
    let percent = |ns: u64| ns as f64 / 1e9 / seconds * 100.0;
    let common = Row {
        size,
        phase: phase.into(),
        seconds,
        events: done.events,
        whole_s: done.whole.all_s,
        nearly_s: done.whole.nearly_s,
        busy_percent,
        own_percent: percent(hollow_ns + real_ns) / cores,
        ..Row::default()
    };
    let proxies: u32 = after.hollow.iter().map(|s| s.proxies).sum();
    let each = f64::from(proxies.max(1));
    let grown = |of: fn(&super::protocol::Sample) -> u64| {
        let sum: u64 =
            after.hollow.iter().zip(&before.hollow).map(|(a, b)| of(a).saturating_sub(of(b))).sum();
        sum as f64
    };
    let mut bytes: BTreeMap<u32, u64> = BTreeMap::new();
    after.hollow.iter().for_each(|s| bytes.extend(&s.bytes));
    for (proxy, earlier) in before.hollow.iter().flat_map(|s| &s.bytes) {
        bytes.entry(*proxy).and_modify(|b| *b -= earlier);
    }
    let resident: u64 = after.hollow.iter().map(|s| s.resident_kb.saturating_sub(s.base_kb)).sum();
    let hollow = Row {
        role: HOLLOW.into(),
        proxies,
        datagrams: grown(|s| s.sent) / seconds / each,
        bytes: bytes.values().sum::<u64>() as f64 / seconds / each,
        most_bytes: bytes.values().max().copied().unwrap_or(0) as f64 / seconds,
        cpu_percent: percent(hollow_ns) / each,
        module_percent: percent(grown(|s| s.balancers_ns) as u64) / each,
        resident_kb: resident as f64 / each,
        told: grown(|s| s.told) as u64,
        heard: grown(|s| s.heard) / seconds / each,
        rejoined: grown(|s| s.rejoined) as u64,
        false_downs: learned.false_downs,
        gone_ms: quantiles(&learned.gone),
        back_ms: quantiles(&learned.back),
        heard_ms: quantiles(&learned.heard),
        missing: [learned.gone_missing, learned.back_missing, learned.heard_missing],
        lacking: after.hollow.iter().map(|s| s.lacking).sum(),
        lack: after.hollow.iter().map(|s| s.lack).sum(),
        least_known: after.hollow.iter().map(|s| s.least).min().unwrap_or(0),
        ..common.clone()
    };
    let mut rows = vec![hollow];
    let holder = real.iter().enumerate().max_by_key(|(_, (a, b))| a.bytes - b.bytes).map(|(n, _)| n);
    for (role, holds) in [("real, holder", true), ("real, voter", false)] {
        let of: Vec<_> =
            real.iter().enumerate().filter(|(n, _)| (Some(*n) == holder) == holds).map(|(_, r)| r).collect();
        let each = of.len() as f64;
        let mean = |figure: fn(&super::fleet::Real) -> u64| {
            of.iter().map(|(a, b)| figure(a).saturating_sub(figure(b)) as f64).sum::<f64>() / each
        };
        if of.is_empty() {
            continue;
        }
        rows.push(Row {
            role: role.into(),
            proxies: of.len() as u32,
            datagrams: mean(|r| r.sent) / seconds,
            bytes: mean(|r| r.bytes) / seconds,
            most_bytes: of.iter().map(|(a, b)| a.bytes - b.bytes).max().unwrap_or(0) as f64 / seconds,
            cpu_percent: percent(mean(|r| r.cpu_ns) as u64),
            resident_kb: of.iter().map(|(a, _)| a.resident_kb as f64).sum::<f64>() / each,
            told: of.iter().map(|(a, b)| a.told - b.told).sum(),
            heard: mean(|r| r.heard) / seconds,
            least_known: of.iter().map(|(a, _)| a.members).min().unwrap_or(0),
            ..common.clone()
        });
    }
    rows
}
