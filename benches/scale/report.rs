//! What is made of the counts: quantiles, lines through the sizes, and the tables.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The machine's time so far, in ticks of all its cores.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    busy: u64,
    all: u64,
}

impl Machine {
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
        let idle: u64 = ticks.iter().skip(3).take(2).sum(); // and waiting for a disk
        Machine {
            busy: all - idle,
            all,
        }
    }

    /// The part of the machine that was busy since then, in percent.
    pub fn busy_since(self, earlier: Machine) -> f64 {
        100.0 * (self.busy - earlier.busy) as f64 / (self.all - earlier.all).max(1) as f64
    }
}

/// Memory that can still be had, in kB.
pub fn available_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("MemAvailable:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Milliseconds until half, 99 in 100 and the last of the pairs knew, of pairs counted by milliseconds.
pub fn quantiles(hist: &[(u32, u32)]) -> Option<[u32; 3]> {
    let all: u64 = hist.iter().map(|(_, n)| u64::from(*n)).sum();
    let at = |part: f64| {
        let rank = ((all as f64 * part).ceil() as u64).max(1);
        let mut seen = 0;
        hist.iter().find(|(_, n)| {
            seen += u64::from(*n);
            seen >= rank
        })
    };
    Some([at(0.5)?.0, at(0.99)?.0, at(1.0)?.0])
}

/// A machine that is busier says nothing of the program.
pub const MAX_BUSY_PERCENT: f64 = 90.0;

/// How long changes took until they were in force at the last proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PropagationTimes {
    pub changes: u32,
    /// Milliseconds of half, 99 in 100 and the last of those that completed.
    pub ms: Option<[u32; 3]>,
    /// So many came within the aim and the bound.
    pub within_2s: u32,
    pub within_5s: u32,
    /// So many did not come in the phase.
    pub never: u32,
}

impl PropagationTimes {
    /// Of each change the milliseconds, `None` where it is not in force at some.
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

/// The role of hollow proxies.
pub const LIGHT: &str = "hollow";

/// One phase at one size, for one role.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Row {
    pub size: u32,
    pub phase: String,
    pub role: String,
    pub proxies: u32,
    pub seconds: f64,
    /// Sent by a proxy in a second, in the mean; bytes are those of datagrams, without headers of UDP and IP.
    pub datagrams: f64,
    pub bytes: f64,
    /// Of the proxy that sent most.
    pub most_bytes: f64,
    /// Of a core, by a proxy, in the mean, and the part of it that the module took.
    pub cpu_percent: f64,
    pub module_percent: f64,
    /// Of a proxy; for hollow ones what the processes had before their first proxy is taken out.
    pub resident_kb: f64,
    /// By all proxies of the role.
    pub told: u64,
    /// By a proxy in a second.
    pub heard: f64,
    pub false_downs: u32,
    pub rejoined: u64,
    /// What befell the fleet in the phase: proxies stopped, probes told.
    pub events: u32,
    /// Milliseconds until half, 99 in 100 and the last of the pairs knew.
    pub gone_ms: Option<[u32; 3]>,
    pub back_ms: Option<[u32; 3]>,
    pub heard_ms: Option<[u32; 3]>,
    /// Pairs that never did within the phase.
    pub missing: [u32; 3],
    /// Seconds until all knew all again, and until they lacked one pair in a thousand; `None` where that was not asked
    /// or did not come in time.
    pub whole_s: Option<f64>,
    pub nearly_s: Option<f64>,
    pub least_known: u32,
    /// At the end: pairs of a proxy and a place of the plan of which it knows no live member, and proxies that lack some.
    pub lacking: u64,
    pub lack: u32,
    /// Of the whole machine, and of it by this run.
    pub busy_percent: f64,
    pub own_percent: f64,
    /// The machine was too busy for the row to say anything of the program.
    pub void: bool,
    /// From the call at a door until a change was in force at the last proxy of the role.
    pub in_force: Option<PropagationTimes>,
    /// Of the proxy of the role that has most; the mean of the role in the quiet phase; resident memory of the smallest
    /// program.
    pub most_cpu_percent: f64,
    /// Its mean by the names of a real one's threads.
    pub threads: BTreeMap<String, f64>,
    pub quiet_cpu_percent: Option<f64>,
    pub most_resident_kb: f64,
    pub smallest_kb: f64,
    /// What became of what was tried, in words, and whether that is as it must be.
    pub outcome: Option<String>,
    pub wrong: bool,
}

/// A straight line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    pub at_zero: f64,
    pub slope: f64,
    /// Root of the mean square of what is left, with two degrees of freedom taken out.
    pub residual: f64,
}

impl LinearFit {
    /// `None` with fewer than three points or all at one place.
    pub fn through(points: &[(f64, f64)]) -> Option<LinearFit> {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
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

    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}

fn print_header(columns: &[&str]) {
    println!(
        "| {} |\n|{}",
        columns.join(" | "),
        " --- |".repeat(columns.len())
    );
}

/// Prints as Markdown tables what the rows cost, and when the last one knew.
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
            r.told,
            r.heard,
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
        let [gone, back, heard] = r.missing;
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            r.size,
            r.phase,
            r.events,
            ms(r.gone_ms, gone),
            ms(r.back_ms, back),
            ms(r.heard_ms, heard),
            s(r.nearly_s),
            s(r.whole_s),
            r.lack,
            r.false_downs,
            r.rejoined,
        );
    }
}

/// What control may spend on a proxy: percent of a core, kB over the smallest program, bytes a second.
const BUDGET: [f64; 3] = [1.4, 32_000.0, 6_000.0];

/// Prints when changes were in force at the last proxy, what control spent, and what became of faults.
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
    for (r, s) in rows.iter().filter_map(|r| Some((r, r.in_force.as_ref()?))) {
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
            .map(|(name, part)| format!("{name} {part:.2}"))
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
            if r.wrong { "**no**" } else { "yes" },
            machine_load(r)
        );
    }
}

/// How busy the machine was, and whether that makes the row void.
fn machine_load(r: &Row) -> String {
    format!(
        "{:.0} ({:.1}){}",
        r.busy_percent,
        r.own_percent,
        if r.void { " void" } else { "" }
    )
}

type Metric = (&'static str, fn(&Row) -> Option<f64>);

const METRICS: [Metric; 8] = [
    ("datagrams/s", |r| Some(r.datagrams)),
    ("bytes/s", |r| Some(r.bytes)),
    ("% of a core", |r| Some(r.cpu_percent)),
    ("kB resident", |r| Some(r.resident_kb)),
    ("gone, last ms", |r| r.gone_ms.map(|q| f64::from(q[2]))),
    ("back, last ms", |r| r.back_ms.map(|q| f64::from(q[2]))),
    ("probe, last ms", |r| r.heard_ms.map(|q| f64::from(q[2]))),
    ("99.9% whole after s", |r| r.nearly_s),
];

/// Prints the line of each figure over the sizes, and what it gives at the plan's size beside what was measured there.
pub fn print_fits(rows: &[Row], plan: u32) {
    let (line_at, measured_at) = (format!("line at {plan}"), format!("measured at {plan}"));
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
        let of: Vec<&Row> = rows
            .iter()
            .filter(|r| (r.phase.as_str(), r.role.as_str()) == (phase, role))
            .collect();
        for (name, metric) in METRICS {
            let points: Vec<(f64, f64)> = of
                .iter()
                .filter_map(|r| Some((f64::from(r.size), metric(r)?)))
                .collect();
            let below: Vec<(f64, f64)> = points
                .iter()
                .copied()
                .filter(|p| p.0 < f64::from(plan))
                .collect();
            let Some(fit) = LinearFit::through(&points) else {
                continue;
            };
            let show = |x: Option<f64>| x.map_or("-".into(), |x| format!("{x:.3}"));
            let measured = points.iter().find(|p| p.0 == f64::from(plan)).map(|p| p.1);
            let sizes: Vec<String> = points.iter().map(|p| p.0.to_string()).collect();
            println!(
                "| {phase} | {role} | {name} | {} | {:.3} | {:.4} | {:.3} | {:.3} | {} | {} |",
                sizes.join(" "),
                fit.at_zero,
                fit.slope * 100.0,
                fit.residual,
                fit.at(f64::from(plan)),
                show(LinearFit::through(&below).map(|l| l.at(f64::from(plan)))),
                show(measured),
            );
        }
    }
}
