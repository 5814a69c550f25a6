//! The rows of a phase: one for the hollow proxies, one for all real ones without clients, and one for each role of those.

use super::figures::{quantiles, Row, HOLLOW, MOST_BUSY};
use super::fleet::{Fleet, Moment};
use super::phases::Done;
use super::protocol::{Learned, Sample};
use super::real::{Real, ASKED, HOLDER, OTHER, VOTER};
use std::collections::BTreeMap;

/// All real ones but those with clients.
pub const ALL_REAL: &str = "real";

fn percent(ns: u64, seconds: f64) -> f64 {
    ns as f64 / 1e9 / seconds * 100.0
}

pub fn rows(
    fleet: &Fleet,
    phase: &str,
    before: &Moment,
    after: &Moment,
    done: &Done,
    learned: &Learned,
) -> Vec<Row> {
    let seconds = (after.at - before.at).as_secs_f64();
    let hollow: Vec<_> = after.hollow.iter().zip(&before.hollow).collect();
    let hollow_ns: u64 = hollow
        .iter()
        .map(|(a, b)| a.cpu_ns.saturating_sub(b.cpu_ns))
        .sum();
    let real: Vec<(&Real, &Real)> = after.real.iter().zip(&before.real).collect();
    let real_ns: u64 = real
        .iter()
        .map(|(a, b)| a.cpu_ns.saturating_sub(b.cpu_ns))
        .sum();
    let cores = std::thread::available_parallelism().map_or(1, usize::from) as f64;
    let busy_percent = after.machine.busy_since(before.machine);
    let common = Row {
        size: fleet.plan.size,
        phase: phase.into(),
        seconds,
        events: done.events,
        whole_s: done.whole.all_s,
        nearly_s: done.whole.nearly_s,
        busy_percent,
        own_percent: percent(hollow_ns + real_ns, seconds) / cores,
        void: busy_percent > MOST_BUSY,
        ..Row::default()
    };
    let outcome = Row {
        outcome: done.outcome.clone(),
        wrong: done.wrong,
        ..common.clone()
    };
    let mut rows = vec![hollow_row(outcome, &hollow, hollow_ns, learned)];
    let roles = [
        (ALL_REAL, &[HOLDER, VOTER, OTHER][..]),
        (HOLDER, &[HOLDER]),
        (VOTER, &[VOTER]),
        (OTHER, &[OTHER]),
        (ASKED, &[ASKED]),
    ];
    for (role, of) in roles {
        let of: Vec<_> = real
            .iter()
            .copied()
            .filter(|(a, _)| of.contains(&a.role))
            .collect();
        if !of.is_empty() {
            let common = Row {
                smallest_kb: fleet.smallest_kb as f64,
                ..common.clone()
            };
            rows.push(real_row(common, role, &of));
        }
    }
    rows
}

fn hollow_row(common: Row, samples: &[(&Sample, &Sample)], ns: u64, learned: &Learned) -> Row {
    let seconds = common.seconds;
    let proxies: u32 = samples.iter().map(|(a, _)| a.proxies).sum();
    let each = f64::from(proxies.max(1));
    let grown = |of: fn(&Sample) -> u64| {
        samples
            .iter()
            .map(|(a, b)| of(a).saturating_sub(of(b)))
            .sum::<u64>() as f64
    };
    let mut bytes: BTreeMap<u32, u64> = BTreeMap::new();
    samples.iter().for_each(|(a, _)| bytes.extend(&a.bytes));
    for (proxy, earlier) in samples.iter().flat_map(|(_, b)| &b.bytes) {
        bytes.entry(*proxy).and_modify(|b| *b -= earlier);
    }
    let resident: u64 = samples
        .iter()
        .map(|(a, _)| a.resident_kb.saturating_sub(a.base_kb))
        .sum();
    let sum = |of: fn(&Sample) -> u64| samples.iter().map(|(a, _)| of(a)).sum::<u64>();
    Row {
        role: HOLLOW.into(),
        proxies,
        datagrams: grown(|s| s.sent) / seconds / each,
        bytes: bytes.values().sum::<u64>() as f64 / seconds / each,
        most_bytes: bytes.values().max().copied().unwrap_or(0) as f64 / seconds,
        cpu_percent: percent(ns, seconds) / each,
        module_percent: percent(grown(|s| s.balancers_ns) as u64, seconds) / each,
        resident_kb: resident as f64 / each,
        told: grown(|s| s.told) as u64,
        heard: grown(|s| s.heard) / seconds / each,
        rejoined: grown(|s| s.rejoined) as u64,
        false_downs: learned.false_downs,
        gone_ms: quantiles(&learned.gone),
        back_ms: quantiles(&learned.back),
        heard_ms: quantiles(&learned.heard),
        missing: [
            learned.gone_missing,
            learned.back_missing,
            learned.heard_missing,
        ],
        lacking: sum(|s| s.lacking),
        lack: sum(|s| u64::from(s.lack)) as u32,
        least_known: samples.iter().map(|(a, _)| a.least).min().unwrap_or(0),
        ..common
    }
}

fn real_row(common: Row, role: &str, of: &[(&Real, &Real)]) -> Row {
    let seconds = common.seconds;
    // Of one that was restarted meanwhile only what the new process did counts.
    let grown = |figure: fn(&Real) -> u64| {
        of.iter()
            .map(move |(a, b)| figure(a).checked_sub(figure(b)).unwrap_or(figure(a)) as f64)
    };
    let mean = |figure: fn(&Real) -> u64| grown(figure).sum::<f64>() / of.len() as f64;
    let most = |figure: fn(&Real) -> u64| grown(figure).fold(0.0, f64::max);
    let mut threads: BTreeMap<String, f64> = BTreeMap::new();
    for (a, b) in of {
        for (name, ns) in &a.threads {
            let grown = ns
                .checked_sub(b.threads.get(name).copied().unwrap_or(0))
                .unwrap_or(*ns);
            *threads.entry(name.clone()).or_default() += percent(grown, seconds) / of.len() as f64;
        }
    }
    Row {
        role: role.into(),
        proxies: of.len() as u32,
        threads,
        datagrams: mean(|r| r.sent) / seconds,
        bytes: mean(|r| r.bytes) / seconds,
        most_bytes: most(|r| r.bytes) / seconds,
        cpu_percent: percent(mean(|r| r.cpu_ns) as u64, seconds),
        most_cpu_percent: percent(most(|r| r.cpu_ns) as u64, seconds),
        resident_kb: of.iter().map(|(a, _)| a.resident_kb as f64).sum::<f64>() / of.len() as f64,
        most_resident_kb: of.iter().map(|(a, _)| a.resident_kb).max().unwrap_or(0) as f64,
        told: grown(|r| r.told).sum::<f64>() as u64,
        heard: mean(|r| r.heard) / seconds,
        least_known: of.iter().map(|(a, _)| a.members).min().unwrap_or(0),
        ..common
    }
}
