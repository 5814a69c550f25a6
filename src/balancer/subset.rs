//! Each proxy's subset of the endpoints, and the capacity it may use there.

use super::{spill, BTreeMap, Balancer, ClassGroup, EndpointLoad, ZoneId, HOLD};

/// Proxies that share a backend, where there are more: each keeps connections to a slice of the fleet
/// only, as a backend takes few and each costs it. The load of so many still evens out, to a fifth of one's.
pub(super) const SHARED_BY: f64 = 20.0;

/// A backend's place in the turns that the proxies take where a part is less than one: evenly from 0 to 1.
pub(super) fn coin(mark: u64, position: u32, proxies: u32) -> f64 {
    let turn = mark.wrapping_add(u64::from(position));
    ((turn % u64::from(proxies)) as f64 + 0.5) / f64::from(proxies)
}

impl Balancer {
    /// Each backend's part of this proxy's traffic: its kind's share by readiness. Where crossing zones costs
    /// traffic stays near so far as all proxies together still give every backend the same part: a zone
    /// whose backends are due less than its proxies bring sends its surplus to the zones due more.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) fn allot(&mut self) {
        let (proxies, backends) = (f64::from(self.cfg.proxy_count), &mut self.backends);
        let kind = |g: &ClassGroup| {
            self.kinds.get(&g.kind).map_or((0.0, 1e-9, HOLD), |k| {
                (
                    k.traffic_share,
                    k.ready_endpoints.max(1e-9),
                    k.concurrency_limit,
                )
            })
        };
        let kinds: Vec<(f64, f64, f64)> = backends.groups.iter().map(kind).collect();
        let part = |l: &EndpointLoad| {
            kinds[l.group_index as usize].0 * l.readiness / kinds[l.group_index as usize].1
        };
        // A zone that is out brings its traffic all the same.
        let mut sums = vec![self.cfg.zone_failover.map(|_| 0.0); backends.zones.len()];
        for l in backends.loads.iter().filter(|l| l.readiness > 0.0) {
            *sums[l.zone_index as usize].get_or_insert(0.0) += part(l);
        }
        let due = backends
            .zones
            .iter()
            .zip(&sums)
            .filter_map(|(z, due)| Some((*z, (*due)?)));
        let due: BTreeMap<ZoneId, f64> = due.collect();
        let zones = due.len() as f64;
        // With fewer proxies than zones some zone has none, and nobody is told which: whatever stays near
        // leaves that zone's backends idle and fills the others.
        let near = self.cfg.cross_zone_cost > 0.0 || self.cfg.zone_failover.is_some();
        let local = near && proxies >= zones;
        let pulls = spill(&due, self.cfg.zone, &self.cfg.regions);
        let bias = |zone: &ZoneId| {
            let here = due.get(zone).map_or(0.0, |d| d.max(1e-9));
            let pull = pulls.get(zone).copied().unwrap_or(0.0);
            if local && here > 0.0 {
                pull / here
            } else {
                1.0
            }
        };
        let biases: Vec<f64> = backends.zones.iter().map(bias).collect();
        let (mut reached, mut pulled) = (0u32, vec![0.0; kinds.len()]);
        backends.assign_rotation_offsets(self.cfg.proxy_index, self.cfg.proxy_count);
        for (l, p_pull) in backends.loads.iter_mut().zip(&mut backends.traffic_share) {
            let bias = biases[l.zone_index as usize];
            // Half of the room for all goes by that part, half evenly; each has a room of one at least, as
            // more proxies than the hold would wait for turns. There `crowded` keeps the hold.
            let fair = kinds[l.group_index as usize].2.max(HOLD) / proxies * l.readiness;
            l.capacity = (fair * (0.5 + 0.5 * bias) + l.rotation_offset)
                .floor()
                .max(1.0);
            // The trace takes the overflow where all that have a part are full.
            let drawn = part(l) * bias;
            *p_pull = drawn + l.readiness * 1e-6;
            reached += u32::from(drawn > 0.0);
            pulled[l.group_index as usize] += *p_pull;
        }
        self.kinds.values_mut().for_each(|k| k.proxy_share = 0.0);
        for (g, pull) in backends.groups.iter().zip(&pulled) {
            self.kinds.entry(g.kind).or_default().proxy_share = *pull;
        }
        // This proxy's slice of each kind: the same width for all, begun at evenly spread places, so that all
        // slices together cover every backend by its pull.
        let width =
            (SHARED_BY / proxies * backends.len() as f64 / f64::from(reached.max(1))).min(1.0);
        let start = (f64::from(self.cfg.proxy_index) * 0.618_033_988_749_895).fract();
        let mut walked = vec![(0.0, 0.0); kinds.len()];
        for &at in &backends.by_address_hash {
            let (at, l) = (at as usize, &mut backends.loads[at as usize]);
            let (sum, from) = walked[l.group_index as usize];
            let sum = sum + backends.traffic_share[at];
            let to = sum / pulled[l.group_index as usize].max(1e-9);
            walked[l.group_index as usize] = (sum, to);
            let inside = |start: f64| (to.min(start + width) - from.max(start)).max(0.0);
            let slice = inside(start) + inside(start - 1.0);
            backends.subset_share[at] = slice;
            l.proxy_share = if slice > 0.0 {
                slice / ((to - from) * width * proxies).max(1e-9)
            } else {
                0.0
            };
        }
    }
}
