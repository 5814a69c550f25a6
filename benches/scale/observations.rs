//! What the proxies learned of each other, and when.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::light_proxy::{Change, Observation};
use super::plan::Plan;
use super::protocol::{Absence, Cut, Learned};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Word of a proxy's absence may come so long after its end, in microseconds, and of a cut region's.
const ABSENCE_GRACE_US: u64 = 5_000_000;
const PARTITION_GRACE_US: u64 = 20_000_000;

/// What these proxies observations since then; those that were absent themselves are not asked.
pub fn observe<'a>(
    plan: &Plan,
    observers: impl Iterator<Item = (u32, &'a [Observation])>,
    since: u64,
    absences: &[Absence],
    probes: &[(u32, u64)],
    cut: Option<Cut>,
) -> Learned {
    let absent: HashSet<u32> = absences.iter().map(|a| a.proxy).collect();
    let (mut observations, mut hists) = (Learned::default(), [(); 3].map(|()| BTreeMap::new()));
    let mut count = |which: usize, from: u64, at: Option<u64>| {
        let missing = [
            &mut observations.gone_missing,
            &mut observations.back_missing,
            &mut observations.heard_missing,
        ];
        match at {
            Some(at) => *hists[which].entry(((at - from) / 1000) as u32).or_default() += 1,
            None => *missing[which] += 1,
        }
    };
    let mut false_downs = 0;
    for (number, recorded) in observers {
        let inside = |proxy: u32, cut: Cut| plan.region(proxy) == cut.region;
        let expected = |at: u64, peer: u32| {
            let gone = absences.iter().any(|a| {
                a.proxy == peer
                    && a.from <= at
                    && a.to
                        .is_none_or(|to| at < to.saturating_add(ABSENCE_GRACE_US))
            });
            let cut = cut.filter(|c| inside(peer, *c) != inside(number, *c));
            gone || cut.is_some_and(|c| at >= c.from && at < c.to + PARTITION_GRACE_US)
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
        let first = |number: u32, from: u64, which: &[Change]| {
            by_peer
                .get(&number)?
                .iter()
                .find(|(at, change)| *at >= from && which.contains(change))
                .map(|n| n.0)
        };
        for a in absences {
            count(0, a.from, first(a.proxy, a.from, &[Change::Down]));
            if let Some(to) = a.to {
                count(1, to, first(a.proxy, to, &[Change::Up, Change::Replaced]));
            }
        }
        for (probe, told) in probes {
            count(
                2,
                *told,
                first(
                    *probe,
                    *told,
                    &[Change::ProbeReceived, Change::SettingsApplied],
                ),
            );
        }
    }
    let [gone, back, heard] = hists.map(|hist| hist.into_iter().collect());
    Learned {
        gone,
        back,
        heard,
        false_downs,
        ..observations
    }
}
