//! Traffic kept in the own zone and region as far as capacity allows.

use crate::interface::{RegionId, ZoneId};
use std::collections::BTreeMap;

/// The part of a proxy's traffic for each zone, of what each zone is due of all (sum 1). Every zone brings as
/// much and keeps what it is due; its surplus goes to those due more, by their room, first inside its region,
/// then to the room that other regions have left over. So all rooms are used exactly, and none beyond.
pub(super) fn spill(
    due: &BTreeMap<ZoneId, f64>,
    own: ZoneId,
    regions: &BTreeMap<ZoneId, RegionId>,
) -> BTreeMap<ZoneId, f64> {
    let zones = due.len() as f64;
    let region = |zone: &ZoneId| regions.get(zone).copied().unwrap_or_default();
    let over = |d: f64| (d * zones - 1.0).max(0.0);
    // By region: what its zones have too much of, and how much room; the lesser of both stays inside.
    let mut sums: BTreeMap<RegionId, (f64, f64)> = BTreeMap::new();
    for (zone, d) in due {
        let sum = sums.entry(region(zone)).or_default();
        *sum = (sum.0 + (1.0 - d * zones).max(0.0), sum.1 + over(*d));
    }
    let part = |of: f64, all: f64| if all > 0.0 { (of / all).min(1.0) } else { 0.0 };
    let home = region(&own);
    let kept = sums
        .get(&home)
        .map_or(0.0, |(surplus, room)| part(*room, *surplus));
    let outside: f64 = sums
        .iter()
        .filter(|s| *s.0 != home)
        .map(|(_, (s, r))| (r - s).max(0.0))
        .sum();
    let surplus = (1.0 - due.get(&own).copied().unwrap_or(0.0) * zones).max(0.0);
    let pull = |(zone, d): (&ZoneId, &f64)| {
        let (to, (short, room)) = (
            region(zone),
            sums.get(&region(zone)).copied().unwrap_or_default(),
        );
        let share = match (*zone == own, to == home) {
            (true, _) => (d * zones).min(1.0),
            (_, true) => surplus * kept * part(over(*d), room),
            _ => {
                surplus
                    * (1.0 - kept)
                    * part((room - short).max(0.0), outside)
                    * part(over(*d), room)
            }
        };
        (*zone, share)
    };
    due.iter().map(pull).collect()
}
