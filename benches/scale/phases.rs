//! The phases of a run: each injects load, failures or network faults into a [`Fleet`] and measures the result as [`Row`]s.

use super::fleet::{AcceptedChange, Convergence, Fleet, FAILING_BACKENDS, PEAK_LOAD};
use super::holder::{HolderFailure, ReceivedBy};
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

/// Restarts and replacements, and failures, per day in the target deployment of 1,800 proxies.
const RESTARTS_PER_DAY: f64 = 2200.0;
const FAILURES_PER_DAY: f64 = 120.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const TARGET_PROXIES: f64 = 1800.0;
/// One of this many churn events is a failure, the others are restarts.
const EVENTS_PER_FAILURE: u32 = 20;
/// How long a restarted proxy is absent.
pub const RESTART_TIME: Duration = Duration::from_secs(2);
/// How long it takes until a failed proxy is replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(20);

/// A tenth of the datagrams lost, a tenth duplicated and a tenth delayed.
pub const HEAVY_FAULTS: Faults = Faults {
    lost: 0.1,
    duplicated: 0.1,
    delayed: 0.1,
    cut: None,
};

/// The names of all phases, as `--phases` takes them, in the order in which they run.
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

/// Durations of the phases and of the waits between them.
#[derive(Clone, Copy)]
pub struct Spans {
    pub idle: Duration,
    pub churn: Duration,
    pub dead_backends: Duration,
    pub changes: Duration,
    pub packet_loss: Duration,
    /// How long the fleet is measured after proxies failed, after they returned, and while a region is partitioned.
    pub after_failure: Duration,
    pub after_return: Duration,
    pub partition: Duration,
    /// The longest wait until every proxy knows all others again.
    pub convergence_timeout: Duration,
    /// The pause after a phase, until its updates no longer circulate.
    pub settle: Duration,
}

/// What happened in a phase, as far as the measurement needs it.
#[derive(Default)]
pub struct PhaseEvents {
    pub absences: Vec<Absence>,
    /// The number of each probe or change, and when it was sent, in microseconds of the monotonic clock.
    pub probes: Vec<(u32, u64)>,
    pub cut: Option<Cut>,
    pub convergence: Convergence,
    /// Accepted configuration changes.
    pub changes: Vec<AcceptedChange>,
    /// The number of injected events.
    pub event_count: u32,
    /// A summary of the result, and whether it differs from what is required.
    pub outcome: Option<String>,
    pub unexpected: bool,
}

/// Runs phases against a fleet and collects their rows.
pub struct PhaseRunner {
    pub fleet: Fleet,
    pub spans: Spans,
    random: Pcg32,
    rows: Vec<Row>,
    /// The file to which each row is appended as soon as it is measured.
    output: Option<File>,
    /// Percent of a core that each role used in the quiet phase.
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

    /// The rows of all phases that were measured.
    pub fn rows(self) -> Vec<Row> {
        self.rows
    }

    /// Runs the phase with this name. Panics if there is none, or if one of its steps fails.
    pub fn run_phase(&mut self, name: &str) {
        match name {
            "quiet" => self.measure("quiet", self.spans.idle, |_| PhaseEvents::default()),
            "churn" => {
                self.churn("churn", 1.0);
                self.churn("churn x10", 10.0);
            }
            "probes" => self.measure("probes", self.spans.idle, PhaseRunner::send_probes),
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
            "changes-lost10-rack" => self.changes_with_failed_rack(),
            "changes-region" => self.changes_during_partition(),
            "changes-holder" => {
                for failure in [
                    HolderFailure::Killed,
                    HolderFailure::Stopped,
                    HolderFailure::Partitioned,
                ] {
                    self.holder_failure(ReceivedBy::NoProxy, failure);
                    self.holder_failure(ReceivedBy::AllProxies, failure);
                }
            }
            "loss" => {
                self.packet_loss("1% lost", 0.01);
                self.packet_loss("10% lost", 0.1);
            }
            "rack" => self.group_failure("rack", 40),
            "zone" => self.group_failure("zone", self.fleet.plan.size.div_ceil(super::plan::ZONES)),
            "region" => self.region_partition(),
            other => panic!("unknown phase {other}: expected one of {ALL:?}"),
        }
    }

    /// Runs `during`, waits until `span` has passed since the start, and records a row of measurements for each role.
    pub fn measure(
        &mut self,
        phase: &str,
        span: Duration,
        during: impl FnOnce(&mut PhaseRunner) -> PhaseEvents,
    ) {
        let (since, before) = (mono_us(), self.fleet.measure());
        let events = during(self);
        std::thread::sleep(span.saturating_sub(before.at.elapsed()));
        let after = self.fleet.measure();
        let observations =
            self.fleet
                .observations(since, &events.absences, &events.probes, events.cut);
        let mut rows = rows::rows(&self.fleet, phase, &before, &after, &events, &observations);
        let plan = self.fleet.plan;
        let connected = |number: u32| {
            events
                .cut
                .is_none_or(|cut| plan.region(number) != cut.region)
        };
        let real_slowest = self
            .fleet
            .slowest_real_activations(&events.changes, |r| connected(r.number));
        for row in &mut rows {
            row.propagation = match row.role.as_str() {
                LIGHT if events.cut.is_none() && !events.changes.is_empty() => {
                    PropagationTimes::of(observations.slowest.values().copied())
                }
                ALL_REAL => PropagationTimes::of(real_slowest.values().copied()),
                _ => None,
            };
            if phase == "quiet" {
                self.quiet_cpu.insert(row.role.clone(), row.cpu_percent);
            }
            row.quiet_cpu_percent = self.quiet_cpu.get(&row.role).copied();
            let line = serde_json::to_string(row).expect("serializable data");
            println!("{line}");
            if let Some(Err(error)) = self.output.as_mut().map(|file| writeln!(file, "{line}")) {
                eprintln!("cannot write a row to the output file: {error}");
            }
        }
        self.rows.extend(rows);
    }

    /// A random lightweight proxy that is neither a seed nor among the excluded ones.
    pub fn random_proxy(&mut self, excluded: &[Absence]) -> u32 {
        let first = if self.fleet.real.is_empty() { 3 } else { 0 };
        loop {
            let n = first + self.random.next_u32() % (self.fleet.plan.size - first);
            if !self.is_real(n) && excluded.iter().all(|a| a.proxy != n) {
                return n;
            }
        }
    }

    /// Whether this proxy of the plan is a real process.
    fn is_real(&self, number: u32) -> bool {
        self.fleet.real.iter().any(|r| r.number == number)
    }

    /// Waits until every proxy knows all others, then pauses until updates no longer circulate.
    pub fn settle(&mut self) {
        self.fleet
            .wait_converged(Instant::now(), self.spans.convergence_timeout);
        std::thread::sleep(self.spans.settle);
    }

    /// Restarts and fails random proxies at `times` the rate of the target deployment. Proxies whose replacement is due
    /// before the end of the span have returned by then.
    fn churn(&mut self, name: &str, times: f64) {
        let span = self.spans.churn;
        let events = self.events_in(span, times);
        self.measure(name, span, |runner| {
            let begun = Instant::now();
            let mut phase_events = PhaseEvents {
                event_count: events,
                ..PhaseEvents::default()
            };
            let mut returns: Vec<(Instant, usize)> = Vec::new();
            for n in 0..events {
                let at = begun + span.mul_f64(0.75 * f64::from(n) / f64::from(events));
                runner.restart_due_until(at, &mut returns, &mut phase_events.absences);
                let (proxy, is_failure) = (
                    runner.random_proxy(&phase_events.absences),
                    n % EVENTS_PER_FAILURE == EVENTS_PER_FAILURE / 2,
                );
                let from = mono_us();
                runner.fleet.stop(&[proxy], !is_failure);
                phase_events.absences.push(Absence {
                    proxy,
                    from,
                    to: None,
                });
                let absent_for = if is_failure {
                    REPLACEMENT_TIME
                } else {
                    RESTART_TIME
                };
                returns.push((Instant::now() + absent_for, phase_events.absences.len() - 1));
            }
            runner.restart_due_until(begun + span, &mut returns, &mut phase_events.absences);
            phase_events
        });
        self.settle();
    }

    /// Waits until `end`, and meanwhile restarts each proxy whose return is due. `returns` holds the time of each return and
    /// an index into `absences`.
    pub fn restart_due_until(
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
            let Some((_, index)) = due else { return };
            returns.remove(0);
            absences[index].to = Some(mono_us());
            self.fleet.start(&[absences[index].proxy]);
        }
    }

    /// Broadcasts 20 probe verdicts, one after the other, from random proxies.
    fn send_probes(&mut self) -> PhaseEvents {
        let (begun, count) = (Instant::now(), 20);
        let mut probes = Vec::new();
        for n in 0..count {
            let at = begun
                + self
                    .spans
                    .idle
                    .mul_f64(0.7 * f64::from(n) / f64::from(count));
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let proxy = self.random_proxy(&[]);
            probes.push(self.fleet.probe(proxy));
        }
        PhaseEvents {
            event_count: count,
            probes,
            ..PhaseEvents::default()
        }
    }

    /// Starts load while some backends refuse connections. In the first span each proxy ejects them by its own verdict or by
    /// one from a peer; in the second, proxies occasionally try them again.
    fn dead_backends(&mut self, name: &str, load: Load) {
        let span = self.spans.dead_backends;
        self.measure(&format!("{name}, first"), span, |runner| {
            runner
                .fleet
                .load_real_proxies(load, Instant::now() + 2 * span);
            runner.fleet.set_load(Some(load));
            PhaseEvents {
                event_count: load.dead,
                ..PhaseEvents::default()
            }
        });
        self.measure(&format!("{name}, then"), span, |_| PhaseEvents {
            event_count: load.dead,
            ..PhaseEvents::default()
        });
        self.fleet.set_load(None);
        self.settle();
    }

    /// The number of restarts and failures in a span at `times` the target deployment's rate per proxy.
    pub fn events_in(&self, span: Duration, times: f64) -> u32 {
        let rate = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY / TARGET_PROXIES
            * f64::from(self.fleet.plan.size)
            * times;
        (rate * span.as_secs_f64()).round() as u32
    }

    /// Loses, duplicates and delays this fraction of the datagrams each.
    fn packet_loss(&mut self, name: &str, fraction: f64) {
        self.fleet.set_faults(Faults {
            lost: fraction,
            duplicated: fraction,
            delayed: fraction,
            cut: None,
        });
        self.measure(name, self.spans.packet_loss, |_| PhaseEvents::default());
        self.fleet.set_faults(Faults::default());
        self.settle();
    }

    /// Kills `count` neighboring proxies at once, at most a third of the fleet, and later restarts them without state.
    fn group_failure(&mut self, name: &str, count: u32) {
        let proxies = self.neighbors(count);
        let mut failed_at = 0;
        self.measure(
            &format!("{name} gone"),
            self.spans.after_failure,
            |runner| {
                failed_at = mono_us();
                runner.fleet.stop(&proxies, false);
                let absences = proxies
                    .iter()
                    .map(|n| Absence {
                        proxy: *n,
                        from: failed_at,
                        to: None,
                    })
                    .collect();
                PhaseEvents {
                    absences,
                    event_count: proxies.len() as u32,
                    ..PhaseEvents::default()
                }
            },
        );
        self.measure(&format!("{name} back"), self.spans.after_return, |runner| {
            let (at, begun) = (mono_us(), Instant::now());
            runner.fleet.start(&proxies);
            let convergence = runner
                .fleet
                .wait_converged(begun, runner.spans.convergence_timeout);
            let absence = |n: &u32| Absence {
                proxy: *n,
                from: failed_at,
                to: Some(at),
            };
            let absences = proxies.iter().map(absence).collect();
            PhaseEvents {
                absences,
                convergence,
                event_count: proxies.len() as u32,
                ..PhaseEvents::default()
            }
        });
        self.settle();
    }

    /// `count` lightweight proxies with consecutive numbers, at most a third of the fleet.
    pub fn neighbors(&self, count: u32) -> Vec<u32> {
        let size = self.fleet.plan.size;
        let from = self.fleet.plan.in_zone(super::plan::ZONES / 2).start;
        (from..size)
            .filter(|n| !self.is_real(*n))
            .take(count.min(size / 3) as usize)
            .collect()
    }

    /// Partitions the last region from all others, then heals the partition.
    fn region_partition(&mut self) {
        let region = super::plan::REGIONS - 1;
        let event_count = (0..self.fleet.plan.size)
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
        self.measure("region cut", self.spans.partition, |_| PhaseEvents {
            cut,
            event_count,
            ..PhaseEvents::default()
        });
        self.measure("region healed", self.spans.after_return, |runner| {
            let (to, begun) = (runner.fleet.set_faults(Faults::default()), Instant::now());
            let convergence = runner
                .fleet
                .wait_converged(begun, runner.spans.convergence_timeout);
            PhaseEvents {
                cut: Some(Cut { region, from, to }),
                convergence,
                event_count,
                ..PhaseEvents::default()
            }
        });
        self.settle();
    }
}
