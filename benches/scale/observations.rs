//! Computes from recorded membership events how long the proxies took to detect absences, returns and probes.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::light_proxy::{Change, Observation};
use super::plan::Plan;
use super::protocol::{Absence, Cut, Observations};
use std::collections::{BTreeMap, HashMap, HashSet};

/// How long after the end of an absence a proxy may still be reported as down, in microseconds.
const ABSENCE_GRACE_US: u64 = 5_000_000;
/// How long after the end of a partition a proxy on the other side may still be reported as down, in microseconds.
const PARTITION_GRACE_US: u64 = 20_000_000;

/// Evaluates what the observers recorded. Delays count only at observers that were never absent; false reports of down
/// proxies count at all of them, from `since` on (microseconds of the monotonic clock).
pub fn observe<'a>(
    plan: &Plan,
    observers: impl Iterator<Item = (u32, &'a [Observation])>,
    since: u64,
    absences: &[Absence],
    probes: &[(u32, u64)],
    cut: Option<Cut>,
) -> Observations {
    let absent: HashSet<u32> = absences.iter().map(|a| a.proxy).collect();
    let (mut observations, mut hists) =
        (Observations::default(), [(); 3].map(|()| BTreeMap::new()));
    let mut count = |kind: usize, from: u64, at: Option<u64>| {
        let missing = [
            &mut observations.down_missing,
            &mut observations.up_missing,
            &mut observations.received_missing,
        ];
        match at {
            Some(at) => *hists[kind].entry(((at - from) / 1000) as u32).or_default() += 1,
            None => *missing[kind] += 1,
        }
    };
    let mut false_downs = 0;
    for (number, recorded) in observers {
        let inside = |proxy: u32, cut: Cut| plan.region(proxy) == cut.region;
        let expected = |at: u64, peer: u32| {
            let absent = absences.iter().any(|a| {
                a.proxy == peer
                    && a.from <= at
                    && a.to
                        .is_none_or(|to| at < to.saturating_add(ABSENCE_GRACE_US))
            });
            let cut = cut.filter(|c| inside(peer, *c) != inside(number, *c));
            absent || cut.is_some_and(|c| at >= c.from && at < c.to + PARTITION_GRACE_US)
        };
        let downs = recorded
            .iter()
            .filter(|n| n.0 >= since && n.2 == Change::Down);
        false_downs += downs.filter(|n| !expected(n.0, n.1)).count() as u32;
        if absent.contains(&number) {
            continue;
        }
        let mut by_peer: HashMap<u32, Vec<(u64, Change)>> = HashMap::new();
        recorded
            .iter()
            .for_each(|(at, peer, change)| by_peer.entry(*peer).or_default().push((*at, *change)));
        let first = |number: u32, from: u64, kinds: &[Change]| {
            by_peer
                .get(&number)?
                .iter()
                .find(|(at, change)| *at >= from && kinds.contains(change))
                .map(|n| n.0)
        };
        for a in absences {
            count(0, a.from, first(a.proxy, a.from, &[Change::Down]));
            if let Some(to) = a.to {
                count(1, to, first(a.proxy, to, &[Change::Up, Change::Replaced]));
            }
        }
        for (probe, sent) in probes {
            count(
                2,
                *sent,
                first(
                    *probe,
                    *sent,
                    &[Change::ProbeReceived, Change::SettingsApplied],
                ),
            );
        }
    }
    let [down, up, received] = hists.map(|hist| hist.into_iter().collect());
    Observations {
        down,
        up,
        received,
        false_downs,
        ..observations
    }
}
