//! Backends that warm up: their readiness and the budget of work that they may be sent.

use super::{BTreeMap, Balancer, Config, EndpointRecord, HardwareClass, KindId, Time};

/// Part of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
pub(super) const FALL_MARGIN: f64 = 0.8;

/// The part of its capacity that a backend has at least.
pub(super) fn warmth(cfg: &Config, now: Time, p: &EndpointRecord) -> f64 {
    let age = p
        .entry
        .started_at
        .max(p.enabled_at)
        .map_or(f64::MAX, |boot| {
            (now - boot).as_secs_f64() / cfg.slow_start.as_secs_f64().max(1e-6)
        });
    from_cold(cfg, age)
}

/// Readiness after `part` of a ramp: from `cold_from` at its start to 1 at its end and after.
pub(super) fn from_cold(cfg: &Config, part: f64) -> f64 {
    cfg.slow_start_min_readiness + (1.0 - cfg.slow_start_min_readiness) * part.min(1.0)
}

impl Balancer {
    /// Work that this proxy may still send to a cold backend inside the present fall window: its part of what
    /// all may, as those do not send there in whose slice the backend is not.
    pub(super) fn budget(&self, now: Time, at: usize, sure: &mut BTreeMap<KindId, f64>) -> f64 {
        let p = self.backends.record_at(at);
        let warmth = warmth(&self.cfg, now - self.cfg.overload_window, p); // as the window began
        if warmth >= 1.0 {
            return f64::MAX;
        }
        let speed = *sure
            .entry(p.entry.kind)
            .or_insert_with(|| self.sure(p.entry.kind));
        let spent: f64 = p
            .recent_work
            .iter()
            .filter(|s| now - s.0 < self.cfg.overload_window)
            .map(|s| s.1)
            .sum();
        let all =
            self.cfg.overload_multiple * warmth * speed * self.cfg.overload_window.as_secs_f64();
        let before = if now < self.beside.2 {
            self.beside.1
        } else {
            1
        };
        // What a process before this one had sent weighs still, and falls out of the window evenly.
        let own = self.born.map_or(0.0, |born| {
            (now - born).as_secs_f64() / self.cfg.overload_window.as_secs_f64().max(1e-6)
        });
        // One request of all proxies together is chance, however little that is. Else a process that begins
        // among cold backends alone would refuse its first ones.
        let all = (all * FALL_MARGIN * own.min(1.0)).max(1.0);
        all * self.backends.loads[at].proxy_share / f64::from(self.beside.0.max(before)) - spent
    }

    /// Requests of mean work a second that a warm backend of the kind surely serves. As the speed in `solve`,
    /// but by what is carried there: in a flood what is asked of it is more than it can do.
    pub(super) fn sure(&self, kind: KindId) -> f64 {
        let proxies = f64::from(self.cfg.proxy_count);
        let known = |k: &HardwareClass| {
            let carried = k.served_per_endpoint.per_s().unwrap_or(0.0) * proxies;
            // One over a mean of few samples lies above 1/T: by one in their number, scattered as work is.
            let t = k.latency.get().map(|t| t * (1.0 + 1.0 / k.latency.count));
            // Against few ready backends the sum overshoots; twice the bare 1/T is sure.
            t.map(|t| (1.0 / t + carried).min(2.0 / t).max(carried))
        };
        self.kinds.get(&kind).and_then(known).unwrap_or_else(|| {
            // Nothing answered: as the slowest that did, or else one core at what is taken for usual.
            let slowest = self.kinds.values().filter_map(known).reduce(f64::min);
            let least = self
                .live()
                .map(|(n, _)| self.usual(n))
                .min()
                .unwrap_or_default();
            let fair = self.rate.per_s().unwrap_or(1.0) * proxies / self.backends.len() as f64;
            fair.min(slowest.unwrap_or(1.0 / least.as_secs_f64()))
        })
    }
}
