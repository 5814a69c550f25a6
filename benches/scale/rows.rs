//! Computes the rows of a phase from two measurements: one for the lightweight proxies, one for all real proxies without
//! clients, and one for each role of real proxies.

use super::fleet::{Fleet, Measurement};
use super::phases::PhaseEvents;
use super::protocol::{Observations, Sample};
use super::real::{RealSample, HOLDER, OTHER, VOTER, WITH_CLIENTS};
use super::report::{quantiles, Row, LIGHT, MAX_BUSY_PERCENT};
use std::collections::BTreeMap;

/// The role of the row over all real proxies that have no clients.
pub const ALL_REAL: &str = "real";

/// Processor time in nanoseconds as percent of a core.
fn percent(cpu_ns: u64, seconds: f64) -> f64 {
    cpu_ns as f64 / 1e9 / seconds * 100.0
}

/// The rows of a phase that lasted from `before` to `after`.
pub fn rows(
    fleet: &Fleet,
    phase: &str,
    before: &Measurement,
    after: &Measurement,
    events: &PhaseEvents,
    observations: &Observations,
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
        events: events.event_count,
        full_convergence_s: events.convergence.full_s,
        near_convergence_s: events.convergence.near_s,
        busy_percent,
        own_percent: percent(light_ns + real_ns, seconds) / cores,
        machine_overloaded: busy_percent > MAX_BUSY_PERCENT,
        ..Row::default()
    };
    let outcome = Row {
        outcome: events.outcome.clone(),
        unexpected: events.unexpected,
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
    for (role, members) in roles {
        let samples: Vec<_> = real
            .iter()
            .copied()
            .filter(|(a, _)| members.contains(&a.role))
            .collect();
        if !samples.is_empty() {
            let common = Row {
                smallest_kb: fleet.smallest_kb as f64,
                ..common.clone()
            };
            rows.push(real_row(common, role, &samples));
        }
    }
    rows
}

fn light_row(
    common: Row,
    samples: &[(&Sample, &Sample)],
    cpu_ns: u64,
    observations: &Observations,
) -> Row {
    let seconds = common.seconds;
    let proxies: u32 = samples.iter().map(|(a, _)| a.proxies).sum();
    let each = f64::from(proxies.max(1));
    let increase = |counter: fn(&Sample) -> u64| {
        samples
            .iter()
            .map(|(a, b)| counter(a).saturating_sub(counter(b)))
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
    let sum = |counter: fn(&Sample) -> u64| samples.iter().map(|(a, _)| counter(a)).sum::<u64>();
    Row {
        role: LIGHT.into(),
        proxies,
        datagrams: increase(|s| s.sent) / seconds / each,
        bytes: bytes.values().sum::<u64>() as f64 / seconds / each,
        most_bytes: bytes.values().max().copied().unwrap_or(0) as f64 / seconds,
        cpu_percent: percent(cpu_ns, seconds) / each,
        module_percent: percent(increase(|s| s.balancers_ns) as u64, seconds) / each,
        resident_kb: resident as f64 / each,
        verdicts_sent: increase(|s| s.verdicts_sent) as u64,
        verdicts_received: increase(|s| s.verdicts_received) / seconds / each,
        rejoined: increase(|s| s.rejoined) as u64,
        false_downs: observations.false_downs,
        down_ms: quantiles(&observations.down),
        up_ms: quantiles(&observations.up),
        received_ms: quantiles(&observations.received),
        missing: [
            observations.down_missing,
            observations.up_missing,
            observations.received_missing,
        ],
        unknown_members: sum(|s| s.unknown_members),
        incomplete_proxies: sum(|s| u64::from(s.incomplete_proxies)) as u32,
        least_known: samples
            .iter()
            .map(|(a, _)| a.fewest_members)
            .min()
            .unwrap_or(0),
        ..common
    }
}

fn real_row(common: Row, role: &str, samples: &[(&RealSample, &RealSample)]) -> Row {
    let seconds = common.seconds;
    // A restarted process counts from 0 again, so that only the new process is counted.
    let increase = |counter: fn(&RealSample) -> u64| {
        samples
            .iter()
            .map(move |(a, b)| counter(a).checked_sub(counter(b)).unwrap_or(counter(a)) as f64)
    };
    let mean =
        |counter: fn(&RealSample) -> u64| increase(counter).sum::<f64>() / samples.len() as f64;
    let most = |counter: fn(&RealSample) -> u64| increase(counter).fold(0.0, f64::max);
    let mut threads: BTreeMap<String, f64> = BTreeMap::new();
    for (a, b) in samples {
        for (name, cpu_ns) in &a.threads {
            let increase_ns = cpu_ns
                .checked_sub(b.threads.get(name).copied().unwrap_or(0))
                .unwrap_or(*cpu_ns);
            *threads.entry(name.clone()).or_default() +=
                percent(increase_ns, seconds) / samples.len() as f64;
        }
    }
    Row {
        role: role.into(),
        proxies: samples.len() as u32,
        threads,
        datagrams: mean(|r| r.sent) / seconds,
        bytes: mean(|r| r.bytes) / seconds,
        most_bytes: most(|r| r.bytes) / seconds,
        cpu_percent: percent(mean(|r| r.cpu_ns) as u64, seconds),
        most_cpu_percent: percent(most(|r| r.cpu_ns) as u64, seconds),
        resident_kb: samples
            .iter()
            .map(|(a, _)| a.resident_kb as f64)
            .sum::<f64>()
            / samples.len() as f64,
        most_resident_kb: samples
            .iter()
            .map(|(a, _)| a.resident_kb)
            .max()
            .unwrap_or(0) as f64,
        verdicts_sent: increase(|r| r.verdicts_sent).sum::<f64>() as u64,
        verdicts_received: mean(|r| r.verdicts_received) / seconds,
        least_known: samples.iter().map(|(a, _)| a.members).min().unwrap_or(0),
        ..common
    }
}
