//! The results of a run: the measured [`Row`]s, their quantiles, linear fits over the fleet sizes, and the printed tables.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The processor time of the machine since its boot, in ticks summed over all cores.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    busy: u64,
    all: u64,
}

impl Machine {
    /// Reads the times from `/proc/stat`.
    pub fn now() -> Machine {
        let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let first = text.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = first
            .split_whitespace()
            .skip(1)
            .take(8)
            .flat_map(str::parse)
            .collect();
        let all = ticks.iter().sum();
        let idle: u64 = ticks.iter().skip(3).take(2).sum(); // idle and iowait
        Machine {
            busy: all - idle,
            all,
        }
    }

    /// The share of processor time that was busy since `earlier`, in percent.
    pub fn busy_since(self, earlier: Machine) -> f64 {
        100.0 * (self.busy - earlier.busy) as f64 / (self.all - earlier.all).max(1) as f64
    }
}

/// Available memory in kB.
pub fn available_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("MemAvailable:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// The median, the 99th percentile and the maximum, in milliseconds, of a histogram of `(milliseconds, count)` sorted by
/// time; `None` if it is empty.
pub fn quantiles(hist: &[(u32, u32)]) -> Option<[u32; 3]> {
    let all: u64 = hist.iter().map(|(_, n)| u64::from(*n)).sum();
    let at = |fraction: f64| {
        let rank = ((all as f64 * fraction).ceil() as u64).max(1);
        let mut seen = 0;
        hist.iter().find(|(_, n)| {
            seen += u64::from(*n);
            seen >= rank
        })
    };
    Some([at(0.5)?.0, at(0.99)?.0, at(1.0)?.0])
}

/// If the machine is busier than this, its measurements say nothing about the program.
pub const MAX_BUSY_PERCENT: f64 = 90.0;

/// How long configuration changes took until they were active at the last proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Spread")]
pub struct PropagationTimes {
    pub changes: u32,
    /// Median, 99th percentile and maximum in milliseconds, of the changes that became active.
    pub ms: Option<[u32; 3]>,
    /// The number of changes that became active within 2 s, the target, and within 5 s, the limit.
    pub within_2s: u32,
    pub within_5s: u32,
    /// The number of changes that did not become active within the phase.
    pub never: u32,
}

impl PropagationTimes {
    /// Summarizes the milliseconds of each change; `None` stands for a change that is not active everywhere. Returns `None`
    /// if there are no changes.
    pub fn of(slowest: impl Iterator<Item = Option<u32>>) -> Option<PropagationTimes> {
        let all: Vec<Option<u32>> = slowest.collect();
        let mut completed: Vec<u32> = all.iter().copied().flatten().collect();
        completed.sort_unstable();
        let hist: Vec<(u32, u32)> = completed.iter().map(|ms| (*ms, 1)).collect();
        let within = |bound: u32| completed.iter().filter(|ms| **ms <= bound).count() as u32;
        let (within_2s, within_5s) = (within(2000), within(5000));
        let (changes, never) = (all.len() as u32, (all.len() - completed.len()) as u32);
        (changes > 0).then(|| PropagationTimes {
            changes,
            ms: quantiles(&hist),
            within_2s,
            within_5s,
            never,
        })
    }
}

/// The role of the rows of lightweight proxies.
pub const LIGHT: &str = "hollow";

/// The measurements of one phase at one fleet size, for one role. The `rename` attributes keep the names of the JSON lines
/// that earlier runs wrote.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    pub size: u32,
    pub phase: String,
    pub role: String,
    /// The number of proxies of the role.
    pub proxies: u32,
    pub seconds: f64,
    /// Datagrams and bytes sent per second, averaged over the proxies. Bytes exclude UDP and IP headers.
    pub datagrams: f64,
    pub bytes: f64,
    /// Bytes per second of the proxy that sent most.
    pub most_bytes: f64,
    /// Percent of a core that a proxy used on average, and the part of it spent in the decision module.
    pub cpu_percent: f64,
    pub module_percent: f64,
    /// Resident memory per proxy in kB; for lightweight proxies without what the process used before its first proxy.
    pub resident_kb: f64,
    /// Verdicts sent by all proxies of the role.
    #[serde(rename = "told")]
    pub verdicts_sent: u64,
    /// Verdicts received per proxy and second.
    #[serde(rename = "heard")]
    pub verdicts_received: f64,
    /// How often a live proxy was wrongly considered down.
    pub false_downs: u32,
    /// How often a proxy rejoined the cluster.
    pub rejoined: u64,
    /// The number of injected events, such as stopped proxies or sent probes.
    pub events: u32,
    /// Median, 99th percentile and maximum in milliseconds, over pairs of an observer and an event: until a stopped proxy
    /// was seen as down, until a restarted one was seen as up, and until a probe or change arrived.
    #[serde(rename = "gone_ms")]
    pub down_ms: Option<[u32; 3]>,
    #[serde(rename = "back_ms")]
    pub up_ms: Option<[u32; 3]>,
    #[serde(rename = "heard_ms")]
    pub received_ms: Option<[u32; 3]>,
    /// The number of pairs of each of these three kinds that did not detect the event within the phase.
    pub missing: [u32; 3],
    /// Seconds until every proxy knew all others, and until all but one pair in a thousand did; `None` if that was not
    /// measured or did not happen in time.
    #[serde(rename = "whole_s")]
    pub full_convergence_s: Option<f64>,
    #[serde(rename = "nearly_s")]
    pub near_convergence_s: Option<f64>,
    /// The lowest number of live members that a proxy knew at the end.
    pub least_known: u32,
    /// At the end: the number of pairs of a proxy and a member that it doesn't know as live, and of proxies in such a pair.
    #[serde(rename = "lacking")]
    pub unknown_members: u64,
    #[serde(rename = "lack")]
    pub incomplete_proxies: u32,
    /// Percent of the machine's processor time that was busy, and that this run used.
    pub busy_percent: f64,
    pub own_percent: f64,
    /// Whether the machine was too busy for the row to say anything about the program.
    #[serde(rename = "void")]
    pub machine_overloaded: bool,
    /// From a call at a control address until the change was active at the last proxy of the role.
    #[serde(rename = "in_force")]
    pub propagation: Option<PropagationTimes>,
    /// Percent of a core of the proxy that used most.
    pub most_cpu_percent: f64,
    /// Percent of a core that a real proxy used on average, by thread name.
    pub threads: BTreeMap<String, f64>,
    /// The role's `cpu_percent` in the quiet phase.
    pub quiet_cpu_percent: Option<f64>,
    /// Resident memory of the proxy that used most.
    pub most_resident_kb: f64,
    /// Resident memory of a proxy process with a minimal configuration and no peers.
    pub smallest_kb: f64,
    /// A summary of the phase's result, and whether it differs from what is required.
    pub outcome: Option<String>,
    #[serde(rename = "wrong")]
    pub unexpected: bool,
}

/// A least-squares fit of a straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    pub at_zero: f64,
    pub slope: f64,
    /// The residual standard error, with two degrees of freedom less than points.
    pub residual: f64,
}

impl LinearFit {
    /// Fits a line; `None` if there are fewer than three points or all have the same x.
    pub fn through(points: &[(f64, f64)]) -> Option<LinearFit> {
        let n = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        if points.len() < 3 || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        let at_zero = y - slope * x;
        let squared_residuals: f64 = points
            .iter()
            .map(|p| (p.1 - at_zero - slope * p.0).powi(2))
            .sum();
        Some(LinearFit {
            at_zero,
            slope,
            residual: (squared_residuals / (n - 2.0)).sqrt(),
        })
    }

    /// The value of the line at x.
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}

/// Prints the header of a Markdown table.
fn print_header(columns: &[&str]) {
    println!(
        "| {} |\n|{}",
        columns.join(" | "),
        " --- |".repeat(columns.len())
    );
}

/// Prints Markdown tables of the resources that each role used, and of the detection delays.
pub fn print_cost_table(rows: &[Row]) {
    print_header(&[
        "proxies",
        "phase",
        "role",
        "s",
        "datagrams/s",
        "bytes/s",
        "most bytes/s",
        "% of a core",
        "of it the module",
        "kB resident",
        "facts told",
        "heard/s",
        "machine busy % (own)",
    ]);
    for r in rows {
        println!(
            "| {} | {} | {} ({}) | {:.0} | {:.1} | {:.0} | {:.0} | {:.3} | {:.3} | {:.0} | {} | {:.2} | {} |",
            r.size,
            r.phase,
            r.role,
            r.proxies,
            r.seconds,
            r.datagrams,
            r.bytes,
            r.most_bytes,
            r.cpu_percent,
            r.module_percent,
            r.resident_kb,
            r.verdicts_sent,
            r.verdicts_received,
            machine_load(r),
        );
    }
    println!();
    print_header(&[
        "proxies",
        "phase",
        "events",
        "gone known ms: half / 99% / last (never)",
        "back known ms",
        "probe heard ms",
        "99.9% whole s",
        "whole s",
        "lack some at the end",
        "false downs",
        "rejoined",
    ]);
    for r in rows.iter().filter(|r| r.role == LIGHT) {
        let ms = |q: Option<[u32; 3]>, never: u32| {
            q.map_or("-".into(), |[half, most, last]| {
                format!("{half} / {most} / {last} ({never})")
            })
        };
        let s = |s: Option<f64>| s.map_or("-".into(), |s| format!("{s:.1}"));
        let [down, up, received] = r.missing;
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            r.size,
            r.phase,
            r.events,
            ms(r.down_ms, down),
            ms(r.up_ms, up),
            ms(r.received_ms, received),
            s(r.near_convergence_s),
            s(r.full_convergence_s),
            r.incomplete_proxies,
            r.false_downs,
            r.rejoined,
        );
    }
}

/// The resources that the control plane may use per proxy: percent of a core, kB more than the smallest process, and bytes
/// per second.
const BUDGET: [f64; 3] = [1.4, 32_000.0, 6_000.0];

/// Prints Markdown tables of the propagation times of changes, of the control plane's resources compared with
/// [`BUDGET`], and of the outcomes of the fault phases.
pub fn print_control_table(rows: &[Row]) {
    print_header(&[
        "proxies",
        "phase",
        "role",
        "changes",
        "in force at the last, ms: half / 99% / last",
        "within 2 s",
        "within 5 s",
        "never",
        "machine busy % (own)",
    ]);
    for (r, s) in rows
        .iter()
        .filter_map(|r| Some((r, r.propagation.as_ref()?)))
    {
        let ms = s.ms.map_or("-".into(), |[half, most, last]| {
            format!("{half} / {most} / {last}")
        });
        println!(
            "| {} | {} | {} | {} | {ms} | {} | {} | {} | {} |",
            r.size,
            r.phase,
            r.role,
            s.changes,
            s.within_2s,
            s.within_5s,
            s.never,
            machine_load(r),
        );
    }
    println!();
    print_header(&[
        "proxies",
        "phase",
        "role",
        "% of a core: mean, most (quiet)",
        "by thread",
        "kB over the smallest program: mean, most",
        "bytes/s: mean, most",
        "over 1.4% / 32 MB / 6 KB in the mean",
        "machine busy % (own)",
    ]);
    for r in rows.iter().filter(|r| r.smallest_kb > 0.0) {
        let (mean_kb, most_kb) = (
            r.resident_kb - r.smallest_kb,
            r.most_resident_kb - r.smallest_kb,
        );
        let threads: Vec<String> = r
            .threads
            .iter()
            .map(|(name, percent)| format!("{name} {percent:.2}"))
            .collect();
        let over = [r.cpu_percent, mean_kb, r.bytes]
            .into_iter()
            .zip(BUDGET)
            .map(|(used, allowed)| {
                if used > allowed {
                    format!("+{:.0}%", (used / allowed - 1.0) * 100.0)
                } else {
                    "no".into()
                }
            });
        println!(
            "| {} | {} | {} ({}) | {:.3}, {:.3} ({}) | {} | {mean_kb:.0}, {most_kb:.0} | {:.0}, {:.0} | {} | {} |",
            r.size,
            r.phase,
            r.role,
            r.proxies,
            r.cpu_percent,
            r.most_cpu_percent,
            r.quiet_cpu_percent.map_or("-".into(), |q| format!("{q:.3}")),
            threads.join(", "),
            r.bytes,
            r.most_bytes,
            over.collect::<Vec<_>>().join(" / "),
            machine_load(r),
        );
    }
    println!();
    print_header(&[
        "proxies",
        "phase",
        "outcome",
        "as it must be",
        "machine busy % (own)",
    ]);
    for (r, outcome) in rows.iter().filter_map(|r| Some((r, r.outcome.as_ref()?))) {
        println!(
            "| {} | {} | {outcome} | {} | {} |",
            r.size,
            r.phase,
            if r.unexpected { "**no**" } else { "yes" },
            machine_load(r)
        );
    }
}

/// Formats how busy the machine was, and whether that makes the row void.
fn machine_load(r: &Row) -> String {
    format!(
        "{:.0} ({:.1}){}",
        r.busy_percent,
        r.own_percent,
        if r.machine_overloaded { " void" } else { "" }
    )
}

/// A metric's name in the table, and its value in a row.
type Metric = (&'static str, fn(&Row) -> Option<f64>);

const METRICS: [Metric; 8] = [
    ("datagrams/s", |r| Some(r.datagrams)),
    ("bytes/s", |r| Some(r.bytes)),
    ("% of a core", |r| Some(r.cpu_percent)),
    ("kB resident", |r| Some(r.resident_kb)),
    ("gone, last ms", |r| r.down_ms.map(|q| f64::from(q[2]))),
    ("back, last ms", |r| r.up_ms.map(|q| f64::from(q[2]))),
    ("probe, last ms", |r| r.received_ms.map(|q| f64::from(q[2]))),
    ("99.9% whole after s", |r| r.near_convergence_s),
];

/// Prints a linear fit of each metric over the fleet sizes, and its value at the target size beside the measured one. A
/// second value comes from a fit through the smaller sizes only.
pub fn print_fits(rows: &[Row], target_size: u32) {
    let (line_at, measured_at) = (
        format!("line at {target_size}"),
        format!("measured at {target_size}"),
    );
    print_header(&[
        "phase",
        "role",
        "figure",
        "sizes",
        "at 0",
        "slope per 100 proxies",
        "residual",
        &line_at,
        "from the sizes below",
        &measured_at,
    ]);
    let kinds: BTreeSet<(&str, &str)> = rows
        .iter()
        .map(|r| (r.phase.as_str(), r.role.as_str()))
        .collect();
    for (phase, role) in kinds {
        let selected: Vec<&Row> = rows
            .iter()
            .filter(|r| (r.phase.as_str(), r.role.as_str()) == (phase, role))
            .collect();
        for (name, metric) in METRICS {
            let points: Vec<(f64, f64)> = selected
                .iter()
                .filter_map(|r| Some((f64::from(r.size), metric(r)?)))
                .collect();
            let below: Vec<(f64, f64)> = points
                .iter()
                .copied()
                .filter(|p| p.0 < f64::from(target_size))
                .collect();
            let Some(fit) = LinearFit::through(&points) else {
                continue;
            };
            let show = |x: Option<f64>| x.map_or("-".into(), |x| format!("{x:.3}"));
            let measured = points
                .iter()
                .find(|p| p.0 == f64::from(target_size))
                .map(|p| p.1);
            let sizes: Vec<String> = points.iter().map(|p| p.0.to_string()).collect();
            println!(
                "| {phase} | {role} | {name} | {} | {:.3} | {:.4} | {:.3} | {:.3} | {} | {} |",
                sizes.join(" "),
                fit.at_zero,
                fit.slope * 100.0,
                fit.residual,
                fit.at(f64::from(target_size)),
                show(LinearFit::through(&below).map(|l| l.at(f64::from(target_size)))),
                show(measured),
            );
        }
    }
}
