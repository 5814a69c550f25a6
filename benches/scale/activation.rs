//! Computes when configuration changes were active at the last proxy.

use super::light_proxy::{Change, Observation};
use super::protocol::Absence;
use std::collections::{BTreeMap, HashMap, HashSet};

/// For each change, given by its number and the time of its request in microseconds, the milliseconds until it was active
/// at the last of the observers, or `None` if it is missing at some. Observers that were absent don't count.
pub fn slowest_activations<'a>(
    observers: impl Iterator<Item = (u32, &'a [Observation])>,
    absences: &[Absence],
    changes: &[(u32, u64)],
) -> BTreeMap<u32, Option<u32>> {
    let absent: HashSet<u32> = absences.iter().map(|a| a.proxy).collect();
    let mut slowest: BTreeMap<u32, Option<u32>> = changes
        .iter()
        .map(|(number, _)| (*number, Some(0)))
        .collect();
    for (_, recorded) in observers.filter(|(proxy, _)| !absent.contains(proxy)) {
        let applied = recorded
            .iter()
            .rev()
            .filter(|(.., change)| *change == Change::SettingsApplied);
        let first: HashMap<u32, u64> = applied.map(|(at, number, _)| (*number, *at)).collect();
        for (number, from) in changes {
            merge_slowest(
                &mut slowest,
                *number,
                first
                    .get(number)
                    .map(|at| (at.saturating_sub(*from) / 1000) as u32),
            );
        }
    }
    slowest
}

/// Merges the slowest activation of a change among further proxies into the map; `None` if it is missing at one of them.
pub fn merge_slowest(slowest: &mut BTreeMap<u32, Option<u32>>, number: u32, ms: Option<u32>) {
    let last = slowest.entry(number).or_insert(Some(0));
    *last = last.zip(ms).map(|(a, b)| a.max(b));
}
