//! What befalls the fleet, and what is counted meanwhile.

use super::fleet::{AcceptedChange, Convergence, Fleet, FAILING_BACKENDS, PEAK_LOAD};
use super::holder::{HeardBy, HolderFailure};
use super::light_proxy::mono_us;
use super::protocol::{Absence, Cut, Faults, Load};
use super::report::{PropagationTimes, Row, LIGHT};
use super::rows::{self, ALL_REAL};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::time::{Duration, Instant};

/// The plan's day over 1,800 proxies: restarts and replacements, and failures.
const RESTARTS_PER_DAY: f64 = 2200.0;
const FAILURES_PER_DAY: f64 = 120.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const PLANNED_PROXIES: f64 = 1800.0;
/// Out of so many events one is a failure.
const EVENTS_PER_FAILURE: u32 = 20;
/// A restarted proxy is away so long, a failed one's replacement comes so late.
pub const RESTART_TIME: Duration = Duration::from_secs(2);
const REPLACEMENT_TIME: Duration = Duration::from_secs(20);

/// A tenth of the datagrams lost, as many doubled, as many late.
pub const HEAVY_FAULTS: Faults = Faults {
    lost: 0.1,
    duplicated: 0.1,
    delayed: 0.1,
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
pub struct PhaseEvents {
    pub absences: Vec<Absence>,
    pub probes: Vec<(u32, u64)>,
    pub cut: Option<Cut>,
    pub convergence: Convergence,
    /// Changes that were taken.
    pub changes: Vec<AcceptedChange>,
    pub events: u32,
    /// What became of it, in words, and whether that is not as it must be.
    pub outcome: Option<String>,
    pub wrong: bool,
}

pub struct PhaseRunner {
    pub fleet: Fleet,
    pub spans: Spans,
    random: Pcg32,
    rows: Vec<Row>,
    /// Each row goes there as soon as it is known.
    output: Option<File>,
    /// Percent of a core that each role took in the quiet phase.
    quiet_cpu: BTreeMap<String, f64>,
}

impl PhaseRunner {
    pub fn new(fleet: Fleet, spans: Spans, output: Option<File>) -> PhaseRunner {
        let random = Pcg32::seed_from_u64(fleet.plan.seed);
        PhaseRunner {
            fleet,
            spans,
            random,
            rows: Vec::new(),
            output,
            quiet_cpu: BTreeMap::new(),
        }
    }

    pub fn rows(self) -> Vec<Row> {
        self.rows
    }

    pub fn run_phase(&mut self, name: &str) {
        match name {
            "quiet" => self.measure("quiet", self.spans.quiet, |_| PhaseEvents::default()),
            "churn" => {
                self.churn("churn", 1.0);
                self.churn("churn x10", 10.0);
            }
            "probes" => self.measure("probes", self.spans.quiet, PhaseRunner::send_probes),
            "facts" => self.dead_backends("3 of 9 dead", FAILING_BACKENDS),
            "storm" => self.dead_backends("3 of 43 dead at 117/s", PEAK_LOAD),
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
                self.changes("changes, 10% lost", HEAVY_FAULTS, 0.0);
            }
            "changes-lost10-rack" => self.changes_without_rack(),
            "changes-region" => self.changes_while_cut(),
            "changes-holder" => {
                for failure in [
                    HolderFailure::Killed,
                    HolderFailure::Stopped,
                    HolderFailure::Partitioned,
                ] {
                    self.holder_failure(HeardBy::Nobody, failure);
                    self.holder_failure(HeardBy::All, failure);
                }
            }
            "loss" => {
                self.packet_loss("1% lost", 0.01);
                self.packet_loss("10% lost", 0.1);
            }
            "rack" => self.group_failure("rack", 40),
            "zone" => self.group_failure("zone", self.fleet.plan.size.div_ceil(super::plan::ZONES)),
            "region" => self.region_partition(),
            other => panic!("no phase {other}: expected some of {ALL:?}"),
        }
    }

    /// Counts over a span what comes of it.
    pub fn measure(
        &mut self,
        phase: &str,
        span: Duration,
        during: impl FnOnce(&mut PhaseRunner) -> PhaseEvents,
    ) {
        let (since, before) = (mono_us(), self.fleet.measure());
        let done = during(self);
        std::thread::sleep(span.saturating_sub(before.at.elapsed()));
        let after = self.fleet.measure();
        let observations = self
            .fleet
            .observations(since, &done.absences, &done.probes, done.cut);
        let mut rows = rows::rows(&self.fleet, phase, &before, &after, &done, &observations);
        let plan = self.fleet.plan;
        let connected = |number: u32| done.cut.is_none_or(|cut| plan.region(number) != cut.region);
        let real_slowest = self
            .fleet
            .slowest_real_activations(&done.changes, |r| connected(r.number));
        for row in &mut rows {
            row.in_force = match row.role.as_str() {
                LIGHT if done.cut.is_none() && !done.changes.is_empty() => {
                    PropagationTimes::of(observations.slowest.values().copied())
                }
                ALL_REAL => PropagationTimes::of(real_slowest.values().copied()),
                _ => None,
            };
            if phase == "quiet" {
                self.quiet_cpu.insert(row.role.clone(), row.cpu_percent);
            }
            row.quiet_cpu_percent = self.quiet_cpu.get(&row.role).copied();
            let line = serde_json::to_string(row).expect("plain data");
            println!("{line}");
            if let Some(Err(why)) = self.output.as_mut().map(|file| writeln!(file, "{line}")) {
                eprintln!("a row is not output: {why}");
            }
        }
        self.rows.extend(rows);
    }

    /// A hollow proxy that is none of these, and no seed.
    pub fn random_proxy(&mut self, excluded: &[Absence]) -> u32 {
        let first = if self.fleet.real.is_empty() { 3 } else { 0 };
        loop {
            let n = first + self.random.next_u32() % (self.fleet.plan.size - first);
            if !self.is_real(n) && excluded.iter().all(|a| a.proxy != n) {
                return n;
            }
        }
    }

    fn is_real(&self, number: u32) -> bool {
        self.fleet.real.iter().any(|r| r.number == number)
    }

    pub fn settle(&mut self) {
        self.fleet.wait_converged(Instant::now(), self.spans.heal);
        std::thread::sleep(self.spans.settle);
    }

    /// Restarts and failures at so many times the plan's rate a proxy, drawn by the seed, all back by the end.
    fn churn(&mut self, name: &str, times: f64) {
        let span = self.spans.churn;
        let events = self.events_in(span, times);
        self.measure(name, span, |play| {
            let begun = Instant::now();
            let mut done = PhaseEvents {
                events,
                ..PhaseEvents::default()
            };
            let mut returns: Vec<(Instant, usize)> = Vec::new();
            for n in 0..events {
                let at = begun + span.mul_f64(0.75 * f64::from(n) / f64::from(events));
                play.back_until(at, &mut returns, &mut done.absences);
                let (proxy, fails) = (
                    play.random_proxy(&done.absences),
                    n % EVENTS_PER_FAILURE == EVENTS_PER_FAILURE / 2,
                );
                let from = mono_us();
                play.fleet.stop(&[proxy], !fails);
                done.absences.push(Absence {
                    proxy,
                    from,
                    to: None,
                });
                let absent_for = if fails {
                    REPLACEMENT_TIME
                } else {
                    RESTART_TIME
                };
                returns.push((Instant::now() + absent_for, done.absences.len() - 1));
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
    fn send_probes(&mut self) -> PhaseEvents {
        let (begun, count) = (Instant::now(), 20);
        let mut probes = Vec::new();
        for n in 0..count {
            let at = begun
                + self
                    .spans
                    .quiet
                    .mul_f64(0.7 * f64::from(n) / f64::from(count));
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let proxy = self.random_proxy(&[]);
            probes.push(self.fleet.probe(proxy));
        }
        PhaseEvents {
            events: count,
            probes,
            ..PhaseEvents::default()
        }
    }

    /// Backends are dead of a sudden: first every proxy finds out by itself or hears of it, then some try again at times.
    fn dead_backends(&mut self, name: &str, load: Load) {
        let span = self.spans.facts;
        self.measure(&format!("{name}, first"), span, |play| {
            play.fleet
                .load_real_proxies(load, Instant::now() + 2 * span);
            play.fleet.set_load(Some(load));
            PhaseEvents {
                events: load.dead,
                ..PhaseEvents::default()
            }
        });
        self.measure(&format!("{name}, then"), span, |_| PhaseEvents {
            events: load.dead,
            ..PhaseEvents::default()
        });
        self.fleet.set_load(None);
        self.settle();
    }

    /// Restarts and failures in a span at so many times the plan's rate a proxy.
    pub fn events_in(&self, span: Duration, times: f64) -> u32 {
        let rate = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY / PLANNED_PROXIES
            * f64::from(self.fleet.plan.size)
            * times;
        (rate * span.as_secs_f64()).round() as u32
    }

    fn packet_loss(&mut self, name: &str, part: f64) {
        self.fleet.set_faults(Faults {
            lost: part,
            duplicated: part,
            delayed: part,
            cut: None,
        });
        self.measure(name, self.spans.loss, |_| PhaseEvents::default());
        self.fleet.set_faults(Faults::default());
        self.settle();
    }

    /// So many at one place gone at once without a word, a third of the fleet at most, and back cold.
    fn group_failure(&mut self, name: &str, count: u32) {
        let who = self.neighbors(count);
        let mut gone_at = 0;
        self.measure(&format!("{name} gone"), self.spans.gone, |play| {
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
            PhaseEvents {
                absences,
                events: who.len() as u32,
                ..PhaseEvents::default()
            }
        });
        self.measure(&format!("{name} back"), self.spans.back, |play| {
            let (at, begun) = (mono_us(), Instant::now());
            play.fleet.start(&who);
            let convergence = play.fleet.wait_converged(begun, play.spans.heal);
            let back = |n: &u32| Absence {
                proxy: *n,
                from: gone_at,
                to: Some(at),
            };
            let absences = who.iter().map(back).collect();
            PhaseEvents {
                absences,
                convergence,
                events: who.len() as u32,
                ..PhaseEvents::default()
            }
        });
        self.settle();
    }

    /// So many hollow ones of one place, a third of the fleet at most.
    pub fn neighbors(&self, count: u32) -> Vec<u32> {
        let size = self.fleet.plan.size;
        let from = self.fleet.plan.in_zone(super::plan::ZONES / 2).start;
        (from..size)
            .filter(|n| !self.is_real(*n))
            .take(count.min(size / 3) as usize)
            .collect()
    }

    /// The last region hears nobody else, and nobody hears it, until it heals.
    fn region_partition(&mut self) {
        let region = super::plan::REGIONS - 1;
        let events = (0..self.fleet.plan.size)
            .filter(|n| self.fleet.plan.region(*n) == region)
            .count() as u32;
        let from = mono_us();
        self.fleet.set_faults(Faults {
            cut: Some(region),
            ..Faults::default()
        });
        let cut = Some(Cut {
            region,
            from,
            to: u64::MAX / 2,
        });
        self.measure("region cut", self.spans.cut, |_| PhaseEvents {
            cut,
            events,
            ..PhaseEvents::default()
        });
        self.measure("region healed", self.spans.back, |play| {
            let (to, begun) = (play.fleet.set_faults(Faults::default()), Instant::now());
            let convergence = play.fleet.wait_converged(begun, play.spans.heal);
            PhaseEvents {
                cut: Some(Cut { region, from, to }),
                convergence,
                events,
                ..PhaseEvents::default()
            }
        });
        self.settle();
    }
}
