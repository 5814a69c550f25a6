//! The adaptive concurrency limit of each hardware class.

use super::{Balancer, Micros, QUICK_SAMPLES};

/// Requests that all proxies together hold on one backend at least: a single shared processor at four
/// fifths of its capacity holds four on average. How many cores a kind has nobody tells: `learn_holds` does.
pub(super) const HOLD: f64 = 4.0;
/// A kind's hold grows while its answers take less than this multiple of what they take uncrowded: while
/// cores are idle one more makes none later, from then on each adds its wait.
pub(super) const CROWDED: f64 = 1.4;
/// The furthest from that target that one look at the latency counts, either way.
pub(super) const OFF_MOST: f64 = 0.25;
/// How fast a hold first moves, a second; after n seconds of learning 1 + n times slower, as a machine's
/// cores do not come and go while its speed may.
pub(super) const HOLD_PACE: f64 = 5.0;
/// How fast the uncrowded latency is forgotten, a second.
pub(super) const FORGET: f64 = 0.005;

impl Balancer {
    /// How many requests a backend of each kind is worth holding. A kind whose rooms are full and whose
    /// answers take no longer than uncrowded has cores to spare; where they take longer it holds too many.
    pub(super) fn learn_holds(&mut self, gap: Micros) {
        let gap = gap.as_secs_f64().min(1.0);
        let mut crowds = vec![(0.0, 0.0); self.backends.groups.len()];
        for l in self.backends.loads.iter().filter(|l| l.readiness > 0.0) {
            let (out, room) = &mut crowds[l.group_index as usize];
            (*out, *room) = (*out + f64::from(l.in_flight), *room + l.capacity);
        }
        for (kind, k) in &mut self.kinds {
            k.concurrency_limit = k.concurrency_limit.max(HOLD);
            let Some(quick) = k
                .recent_latency
                .get()
                .filter(|_| k.recent_latency.count >= QUICK_SAMPLES)
            else {
                continue;
            };
            let (out, room) = self
                .backends
                .group_index(*kind)
                .map_or((0.0, 0.0), |g| crowds[g]);
            k.uncontended_latency_s = if k.uncontended_latency_s > 0.0 {
                quick.min(k.uncontended_latency_s * (1.0 + FORGET * gap))
            } else {
                quick
            };
            if out < room * 0.8 {
                continue; // not the hold's doing
            }
            if k.concurrency_limit <= HOLD && quick > k.uncontended_latency_s * CROWDED {
                k.uncontended_latency_s = quick; // not its crowd makes it slow: this is what it takes now
            }
            k.limit_learned_s += gap;
            let off = (CROWDED - quick / k.uncontended_latency_s).clamp(-OFF_MOST, OFF_MOST);
            k.concurrency_limit = (k.concurrency_limit
                * (off * gap * HOLD_PACE / (1.0 + k.limit_learned_s)).exp())
            .max(HOLD);
        }
    }
}
