//! When changes of the configuration were in force at the last proxy.

use super::light_proxy::{Change, Observation};
use super::protocol::Absence;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Milliseconds until each change, by its number and when it was asked for, was in force at the last of these proxies;
/// `None` where it is not at some. Those that were absent meanwhile are not asked.
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

/// Takes in when a change was in force at some more.
pub fn merge_slowest(slowest: &mut BTreeMap<u32, Option<u32>>, number: u32, ms: Option<u32>) {
    let last = slowest.entry(number).or_insert(Some(0));
    *last = last.zip(ms).map(|(one, other)| one.max(other));
}
