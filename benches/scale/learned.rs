//! What the proxies learned of each other, and when.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::hollow::{Change, PeerVerdict};
use super::plan::Plan;
use super::protocol::{Absence, Cut, Learned};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Word of a proxy's absence may come so long after its end, in microseconds, and of a cut region's.
const LATE: u64 = 5_000_000;
const LATE_OF_CUT: u64 = 20_000_000;

/// What these proxies learned since then; those that were absent themselves are not asked.
pub fn learned<'a>(
    plan: &Plan,
    asked: impl Iterator<Item = (u32, &'a [PeerVerdict])>,
    since: u64,
    absences: &[Absence],
    probes: &[(u32, u64)],
    cut: Option<Cut>,
) -> Learned {
    let absent: HashSet<u32> = absences.iter().map(|a| a.proxy).collect();
    let (mut learned, mut hists) = (Learned::default(), [(); 3].map(|()| BTreeMap::new()));
    let mut count = |which: usize, from: u64, at: Option<u64>| {
        let missing = [
            &mut learned.gone_missing,
            &mut learned.back_missing,
            &mut learned.heard_missing,
        ];
        match at {
            Some(at) => *hists[which].entry(((at - from) / 1000) as u32).or_default() += 1,
            None => *missing[which] += 1,
        }
    };
    let mut false_downs = 0;
    for (number, news) in asked {
        let inside = |proxy: u32, cut: Cut| plan.region(proxy) == cut.region;
        let expected = |at: u64, peer: u32| {
            let gone = absences.iter().any(|a| {
                a.proxy == peer
                    && a.from <= at
                    && a.to.is_none_or(|to| at < to.saturating_add(LATE))
            });
            let cut = cut.filter(|c| inside(peer, *c) != inside(number, *c));
            gone || cut.is_some_and(|c| at >= c.from && at < c.to + LATE_OF_CUT)
        };
        let downs = news.iter().filter(|n| n.0 >= since && n.2 == Change::Down);
        false_downs += downs.filter(|n| !expected(n.0, n.1)).count() as u32;
        if absent.contains(&number) {
            continue;
        }
        let mut of: HashMap<u32, Vec<(u64, Change)>> = HashMap::new();
        news.iter()
            .for_each(|(at, peer, change)| of.entry(*peer).or_default().push((*at, *change)));
        let first = |number: u32, from: u64, which: &[Change]| {
            of.get(&number)?
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
                    &[Change::PeerVerdict, Change::ActiveSettings],
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
        ..learned
    }
}
