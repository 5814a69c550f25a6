//! The rows of a phase: one for the hollow proxies, one for all real ones without clients, and one for each role of those.

use super::fleet::{Fleet, Measurement};
use super::phases::PhaseEvents;
use super::protocol::{Learned, Sample};
use super::real::{RealSample, HOLDER, OTHER, VOTER, WITH_CLIENTS};
use super::report::{quantiles, Row, LIGHT, MAX_BUSY_PERCENT};
use std::collections::BTreeMap;

/// All real ones but those with clients.
pub const ALL_REAL: &str = "real";

fn percent(ns: u64, seconds: f64) -> f64 {
    ns as f64 / 1e9 / seconds * 100.0
}

pub fn rows(
    fleet: &Fleet,
    phase: &str,
    before: &Measurement,
    after: &Measurement,
    done: &PhaseEvents,
    observations: &Learned,
) -> Vec<Row> {
    let seconds = (after.at - before.at).as_secs_f64();
    let light: Vec<_> = after.light.iter().zip(&before.light).collect();
    let light_ns: u64 = light
        .iter()
        .map(|(a, b)| a.cpu_ns.saturating_sub(b.cpu_ns))
        .sum();
    let real: Vec<(&RealSample, &RealSample)> = after.real.iter().zip(&before.real).collect();
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
        whole_s: done.convergence.full_s,
        nearly_s: done.convergence.nearly_s,
        busy_percent,
        own_percent: percent(light_ns + real_ns, seconds) / cores,
        void: busy_percent > MAX_BUSY_PERCENT,
        ..Row::default()
    };
    let outcome = Row {
        outcome: done.outcome.clone(),
        wrong: done.wrong,
        ..common.clone()
    };
    let mut rows = vec![light_row(outcome, &light, light_ns, observations)];
    let roles = [
        (ALL_REAL, &[HOLDER, VOTER, OTHER][..]),
        (HOLDER, &[HOLDER]),
        (VOTER, &[VOTER]),
        (OTHER, &[OTHER]),
        (WITH_CLIENTS, &[WITH_CLIENTS]),
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

fn light_row(common: Row, samples: &[(&Sample, &Sample)], ns: u64, observations: &Learned) -> Row {
    let seconds = common.seconds;
    let proxies: u32 = samples.iter().map(|(a, _)| a.proxies).sum();
    let each = f64::from(proxies.max(1));
    let increase = |of: fn(&Sample) -> u64| {
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
        role: LIGHT.into(),
        proxies,
        datagrams: increase(|s| s.sent) / seconds / each,
        bytes: bytes.values().sum::<u64>() as f64 / seconds / each,
        most_bytes: bytes.values().max().copied().unwrap_or(0) as f64 / seconds,
        cpu_percent: percent(ns, seconds) / each,
        module_percent: percent(increase(|s| s.balancers_ns) as u64, seconds) / each,
        resident_kb: resident as f64 / each,
        told: increase(|s| s.told) as u64,
        heard: increase(|s| s.heard) / seconds / each,
        rejoined: increase(|s| s.rejoined) as u64,
        false_downs: observations.false_downs,
        gone_ms: quantiles(&observations.gone),
        back_ms: quantiles(&observations.back),
        heard_ms: quantiles(&observations.heard),
        missing: [
            observations.gone_missing,
            observations.back_missing,
            observations.heard_missing,
        ],
        lacking: sum(|s| s.lacking),
        lack: sum(|s| u64::from(s.lack)) as u32,
        least_known: samples.iter().map(|(a, _)| a.least).min().unwrap_or(0),
        ..common
    }
}

fn real_row(common: Row, role: &str, of: &[(&RealSample, &RealSample)]) -> Row {
    let seconds = common.seconds;
    // Of one that was restarted meanwhile only what the new process did counts.
    let increase = |counter: fn(&RealSample) -> u64| {
        of.iter()
            .map(move |(a, b)| counter(a).checked_sub(counter(b)).unwrap_or(counter(a)) as f64)
    };
    let mean = |counter: fn(&RealSample) -> u64| increase(counter).sum::<f64>() / of.len() as f64;
    let most = |counter: fn(&RealSample) -> u64| increase(counter).fold(0.0, f64::max);
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
        told: increase(|r| r.told).sum::<f64>() as u64,
        heard: mean(|r| r.heard) / seconds,
        least_known: of.iter().map(|(a, _)| a.members).min().unwrap_or(0),
        ..common
    }
}
