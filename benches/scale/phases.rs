//! What befalls the fleet, and what is counted meanwhile.

use super::figures::{Row, Spread, HOLLOW};
use super::fleet::{Changed, Fleet, Whole, STORM, TROUBLE};
use super::holder::{Fate, PeerVerdict};
use super::hollow::mono_us;
use super::protocol::{Absence, Cut, Faults, Load};
use super::rows::{self, ALL_REAL};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::time::{Duration, Instant};

/// The plan's day over 1,800 proxies: restarts and replacements, and failures.
const RESTARTS: f64 = 2200.0;
const FAILURES: f64 = 120.0;
const DAY: f64 = 86_400.0;
const PLANNED: f64 = 1800.0;
/// Out of so many events one is a failure.
const ONE_FAILS_OF: u32 = 20;
/// A restarted proxy is away so long, a failed one's replacement comes so late.
pub const RESTARTED: Duration = Duration::from_secs(2);
const REPLACED: Duration = Duration::from_secs(20);

/// A tenth of the datagrams lost, as many doubled, as many late.
pub const WORST: Faults = Faults {
    lost: 0.1,
    doubled: 0.1,
    late: 0.1,
    cut: None,
};

pub const ALL: [&str; 16] = [
    "quiet",
    "churn",
    "probes",
    "facts",
    "storm",
    "changes",
    "changes-churn",
    "changes-lost",
    "changes-worst",
    "changes-lost10-rack",
    "changes-region",
    "changes-holder",
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
pub struct Done {
    pub absences: Vec<Absence>,
    pub probes: Vec<(u32, u64)>,
    pub cut: Option<Cut>,
    pub whole: Whole,
    /// Changes that were taken.
    pub changes: Vec<Changed>,
    pub events: u32,
    /// What became of it, in words, and whether that is not as it must be.
    pub outcome: Option<String>,
    pub wrong: bool,
}

pub struct Play {
    pub fleet: Fleet,
    pub spans: Spans,
    random: Pcg32,
    rows: Vec<Row>,
    /// Each row goes there as soon as it is known.
    kept: Option<File>,
    /// Percent of a core that each role took in the quiet phase.
    quiet: BTreeMap<String, f64>,
}

impl Play {
    pub fn new(fleet: Fleet, spans: Spans, kept: Option<File>) -> Play {
        let random = Pcg32::seed_from_u64(fleet.plan.seed);
        Play {
            fleet,
            spans,
            random,
            rows: Vec::new(),
            kept,
            quiet: BTreeMap::new(),
        }
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
            "changes-lost" => self.changes(
                "changes, 1% lost",
                Faults {
                    lost: 0.01,
                    ..Faults::default()
                },
                0.0,
            ),
            "changes-worst" => {
                self.changes("changes, 10% lost", WORST, 0.0);
            }
            "changes-lost10-rack" => self.changes_without_rack(),
            "changes-region" => self.changes_while_cut(),
            "changes-holder" => {
                for fate in [Fate::Killed, Fate::Stopped, Fate::CutOff] {
                    self.without_holder(PeerVerdict::Nobody, fate);
                    self.without_holder(PeerVerdict::All, fate);
                }
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
    pub fn watch(&mut self, phase: &str, span: Duration, during: impl FnOnce(&mut Play) -> Done) {
        let (since, before) = (mono_us(), self.fleet.moment());
        let done = during(self);
        std::thread::sleep(span.saturating_sub(before.at.elapsed()));
        let after = self.fleet.moment();
        let learned = self
            .fleet
            .learned(since, &done.absences, &done.probes, done.cut);
        let mut rows = rows::rows(&self.fleet, phase, &before, &after, &done, &learned);
        let plan = self.fleet.plan;
        let connected = |number: u32| done.cut.is_none_or(|cut| plan.region(number) != cut.region);
        let real = self
            .fleet
            .real_slowest(&done.changes, |r| connected(r.number));
        for row in &mut rows {
            row.in_force = match row.role.as_str() {
                HOLLOW if done.cut.is_none() && !done.changes.is_empty() => {
                    Spread::of(learned.slowest.values().copied())
                }
                ALL_REAL => Spread::of(real.values().copied()),
                _ => None,
            };
            if phase == "quiet" {
                self.quiet.insert(row.role.clone(), row.cpu_percent);
            }
            row.quiet_cpu_percent = self.quiet.get(&row.role).copied();
            let line = serde_json::to_string(row).expect("plain data");
            println!("{line}");
            if let Some(Err(why)) = self.kept.as_mut().map(|file| writeln!(file, "{line}")) {
                eprintln!("a row is not kept: {why}");
            }
        }
        self.rows.extend(rows);
    }

    /// A hollow proxy that is none of these, and no seed.
    pub fn drawn(&mut self, but: &[Absence]) -> u32 {
        let first = if self.fleet.real.is_empty() { 3 } else { 0 };
        loop {
            let n = first + self.random.next_u32() % (self.fleet.plan.size - first);
            if !self.is_real(n) && but.iter().all(|a| a.proxy != n) {
                return n;
            }
        }
    }

    fn is_real(&self, number: u32) -> bool {
        self.fleet.real.iter().any(|r| r.number == number)
    }

    pub fn settle(&mut self) {
        self.fleet.whole(Instant::now(), self.spans.heal);
        std::thread::sleep(self.spans.settle);
    }

    /// Restarts and failures at so many times the plan's rate a proxy, drawn by the seed, all back by the end.
    fn churn(&mut self, name: &str, times: f64) {
        let span = self.spans.churn;
        let events = self.events_in(span, times);
        self.watch(name, span, |play| {
            let begun = Instant::now();
            let mut done = Done {
                events,
                ..Done::default()
            };
            let mut returns: Vec<(Instant, usize)> = Vec::new();
            for n in 0..events {
                let at = begun + span.mul_f64(0.75 * f64::from(n) / f64::from(events));
                play.back_until(at, &mut returns, &mut done.absences);
                let (proxy, fails) = (
                    play.drawn(&done.absences),
                    n % ONE_FAILS_OF == ONE_FAILS_OF / 2,
                );
                let from = mono_us();
                play.fleet.stop(&[proxy], !fails);
                done.absences.push(Absence {
                    proxy,
                    from,
                    to: None,
                });
                let away = if fails { REPLACED } else { RESTARTED };
                returns.push((Instant::now() + away, done.absences.len() - 1));
            }
            play.back_until(begun + span, &mut returns, &mut done.absences);
            done
        });
        self.settle();
    }

    /// Waits until then, and meanwhile brings back whoever is due.
    pub fn back_until(
        &mut self,
        end: Instant,
        returns: &mut Vec<(Instant, usize)>,
        absences: &mut [Absence],
    ) {
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
            let at = begun
                + self
                    .spans
                    .quiet
                    .mul_f64(0.7 * f64::from(n) / f64::from(count));
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let proxy = self.drawn(&[]);
            probes.push(self.fleet.probe(proxy));
        }
        Done {
            events: count,
            probes,
            ..Done::default()
        }
    }

    /// Backends are dead of a sudden: first every proxy finds out by itself or hears of it, then some try again at times.
    fn facts(&mut self, name: &str, load: Load) {
        let span = self.spans.facts;
        self.watch(&format!("{name}, first"), span, |play| {
            play.fleet.ask_real(load, Instant::now() + 2 * span);
            play.fleet.load(Some(load));
            Done {
                events: load.dead,
                ..Done::default()
            }
        });
        self.watch(&format!("{name}, then"), span, |_| Done {
            events: load.dead,
            ..Done::default()
        });
        self.fleet.load(None);
        self.settle();
    }

    /// Restarts and failures in a span at so many times the plan's rate a proxy.
    pub fn events_in(&self, span: Duration, times: f64) -> u32 {
        let rate = (RESTARTS + FAILURES) / DAY / PLANNED * f64::from(self.fleet.plan.size) * times;
        (rate * span.as_secs_f64()).round() as u32
    }

    fn loss(&mut self, name: &str, part: f64) {
        self.fleet.faults(Faults {
            lost: part,
            doubled: part,
            late: part,
            cut: None,
        });
        self.watch(name, self.spans.loss, |_| Done::default());
        self.fleet.faults(Faults::default());
        self.settle();
    }

    /// So many at one place gone at once without a word, a third of the fleet at most, and back cold.
    fn group(&mut self, name: &str, count: u32) {
        let who = self.neighbours(count);
        let mut gone_at = 0;
        self.watch(&format!("{name} gone"), self.spans.gone, |play| {
            gone_at = mono_us();
            play.fleet.stop(&who, false);
            let absences = who
                .iter()
                .map(|n| Absence {
                    proxy: *n,
                    from: gone_at,
                    to: None,
                })
                .collect();
            Done {
                absences,
                events: who.len() as u32,
                ..Done::default()
            }
        });
        self.watch(&format!("{name} back"), self.spans.back, |play| {
            let (at, begun) = (mono_us(), Instant::now());
            play.fleet.start(&who);
            let whole = play.fleet.whole(begun, play.spans.heal);
            let back = |n: &u32| Absence {
                proxy: *n,
                from: gone_at,
                to: Some(at),
            };
            let absences = who.iter().map(back).collect();
            Done {
                absences,
                whole,
                events: who.len() as u32,
                ..Done::default()
            }
        });
        self.settle();
    }

    /// So many hollow ones of one place, a third of the fleet at most.
    pub fn neighbours(&self, count: u32) -> Vec<u32> {
        let size = self.fleet.plan.size;
        let from = self.fleet.plan.in_zone(super::plan::ZONES / 2).start;
        (from..size)
            .filter(|n| !self.is_real(*n))
            .take(count.min(size / 3) as usize)
            .collect()
    }

    /// The last region hears nobody else, and nobody hears it, until it heals.
    fn region(&mut self) {
        let region = super::plan::REGIONS - 1;
        let events = (0..self.fleet.plan.size)
            .filter(|n| self.fleet.plan.region(*n) == region)
            .count() as u32;
        let from = mono_us();
        self.fleet.faults(Faults {
            cut: Some(region),
            ..Faults::default()
        });
        let cut = Some(Cut {
            region,
            from,
            to: u64::MAX / 2,
        });
        self.watch("region cut", self.spans.cut, |_| Done {
            cut,
            events,
            ..Done::default()
        });
        self.watch("region healed", self.spans.back, |play| {
            let (to, begun) = (play.fleet.faults(Faults::default()), Instant::now());
            let whole = play.fleet.whole(begun, play.spans.heal);
            Done {
                cut: Some(Cut { region, from, to }),
                whole,
                events,
                ..Done::default()
            }
        });
        self.settle();
    }
}
