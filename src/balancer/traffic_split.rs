//! The split of the traffic over hardware classes by HALB, and when it is solved anew.

use super::{from_cold, warmth, Balancer, Micros, Time, FEW};

/// The shares are solved this often, s: far faster than the rate's memory.
pub(super) const SOLVE_EVERY: f64 = 0.1;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
pub(super) const PANIC: f64 = 0.5;

/// HALB: the clamped M/G/1/PS optimum. For kinds of (ready count, speed of one backend) and the arrival
/// rate, the part of the traffic for each kind; all zero when nothing is ready.
pub fn halb_shares(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let split = |on: &dyn Fn(&(f64, f64)) -> bool| -> Vec<f64> {
        let total: f64 = kinds.iter().filter(|k| on(k)).map(|k| k.0).sum();
        kinds
            .iter()
            .map(|k| {
                if on(k) && total > 0.0 {
                    k.0 / total
                } else {
                    0.0
                }
            })
            .collect()
    };
    let Some(rate) = rate else {
        return split(&|_| true);
    }; // no rate yet: by ready counts
    let mut live = kinds.to_vec();
    loop {
        let (roots, speeds) = live
            .iter()
            .fold((0.0, 0.0), |s, k| (s.0 + k.0 * k.1.sqrt(), s.1 + k.0 * k.1));
        if rate <= speeds * 1e-6 || speeds <= 0.0 {
            let best = live
                .iter()
                .filter(|k| k.0 > 0.0)
                .map(|k| k.1)
                .fold(0.0, f64::max);
            return split(&|k| k.1 == best); // the limit: the fastest kind takes all
        }
        let flow = |k: &(f64, f64)| k.0 * k.1 - k.0 * k.1.sqrt() * (speeds - rate) / roots;
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|f| *f >= 0.0) {
            return flows.iter().map(|f| f / rate).collect();
        }
        live.iter_mut()
            .zip(&flows)
            .filter(|(_, f)| **f <= 0.0)
            .for_each(|(k, _)| k.0 = 0.0);
    }
}

impl Balancer {
    /// Readiness of every backend, speed and share of every kind.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub(super) fn solve(&mut self, now: Time) {
        self.backends.refresh(now, &self.cfg);
        self.learn_holds(now - self.solved_at);
        self.solved_at = now;
        let few = FEW / self.rate.per_s().unwrap_or(FEW / SOLVE_EVERY).max(1.0);
        self.solve_at = now + Micros::from_secs_f64(SOLVE_EVERY.max(few));
        self.blocked = 0.0;
        let listed = self.backends.loads.iter().filter(|l| l.available);
        let (all, out) = listed.fold((0u32, 0u32), |n, l| (n.0 + 1, n.1 + u32::from(l.ejected)));
        let proxies = f64::from(self.cfg.proxy_count);
        self.kinds.values_mut().for_each(|k| {
            k.ready_endpoints = 0.0;
            k.served_per_endpoint.add(now, 0.0);
        });
        let zones = self.zones(now);
        let zones = self
            .backends
            .zones
            .iter()
            .map(|z| zones.get(z).copied().unwrap_or(1.0));
        let (zones, warm): (Vec<f64>, f64) = (zones.collect(), from_cold(&self.cfg, 1.0));
        let ill = f64::from(f64::from(out) > f64::from(all) * PANIC);
        let mut ready = vec![0.0; self.backends.groups.len()];
        for (l, p) in self.backends.loads_and_records() {
            let health = match l.ejected {
                _ if !l.available => 0.0,
                true => ill,
                false => l.success_share,
            };
            let warmth = if now >= l.slow_start_ends_at {
                warm
            } else {
                warmth(&self.cfg, now, p)
            };
            l.readiness = zones[l.zone_index as usize] * health * warmth;
            ready[l.group_index as usize] += l.readiness;
        }
        for (g, ready) in self.backends.groups.iter().zip(ready) {
            self.kinds.entry(g.kind).or_default().ready_endpoints = ready;
        }
        self.rate.add(now, 0.0);
        let rate = self.rate.per_s().map(|r| r * proxies);
        for k in self.kinds.values_mut() {
            let flow = if k.ready_endpoints > 0.0 {
                rate.unwrap_or(0.0) * k.traffic_share / k.ready_endpoints
            } else {
                0.0
            };
            k.speed_per_s = k.latency.get().map_or(0.0, |t| 1.0 / t + flow);
        }
        let speeds = self
            .kinds
            .values()
            .filter(|k| k.speed_per_s > 0.0)
            .map(|k| k.speed_per_s);
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 }; // kinds without data: as fast as the others
        self.kinds
            .values_mut()
            .filter(|k| k.speed_per_s == 0.0)
            .for_each(|k| k.speed_per_s = mean);
        let table: Vec<(f64, f64)> = self
            .kinds
            .values()
            .map(|k| (k.ready_endpoints, k.speed_per_s))
            .collect();
        let shares = halb_shares(&table, rate.filter(|_| count > 0.0));
        self.kinds
            .values_mut()
            .zip(shares)
            .for_each(|(k, share)| k.traffic_share = share);
        self.allot();
        self.backends.update_weights(now);
    }
}
