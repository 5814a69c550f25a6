//! Which requests are admitted and which load is shed.

use super::{
    Balancer, Micros, PendingRequest, RequestArrival, Tenant, Time, HOLD, KIND_SAMPLES, RETRY_RATIO,
};

/// What a proxy holds tells it nothing of the others before it has watched for so long, s.
pub(super) const CROWD_KNOWN: f64 = 0.25;
/// The whole fleet may get so many times its usual traffic for a while: so much is no proxy's own part.
pub(super) const BURST: f64 = 1.5;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
pub(super) const LOW: f64 = 0.5;
/// Memory of this proxy's part of all traffic, s: the front moves it slowly, and a crowd comes faster.
pub(super) const PART_MEMORY: f64 = 10.0;

impl Balancer {
    pub(super) fn request(&mut self, now: Time, new: RequestArrival) {
        let Some(c) = self.cfg.classes.get(new.class.0) else {
            return;
        };
        if self.requests.contains_key(&new.request) {
            return;
        }
        self.rate.add(now, 1.0);
        self.extra = (self.extra + RETRY_RATIO).min(RETRY_RATIO * KIND_SAMPLES);
        if !new.client_retry {
            self.firsts.add(now, 1.0);
        }
        let busy = self.busy();
        let tenant = new
            .tenant
            .and_then(|t| Some((t, self.cfg.tenants.get(t.0)?)));
        // More traffic than others get is more of each quota; a repeat belongs to its first try, which took
        // its part.
        let part = |t: &Tenant| t.quota_per_s / f64::from(self.cfg.proxy_count) * busy;
        let over_quota =
            !new.client_retry && tenant.is_some_and(|(id, t)| !self.buckets.take(id, now, part(t)));
        let aim = c.latency_objective.0
            + new
                .work_hint
                .unwrap_or_default()
                .mul_f64(c.objective_per_work)
                .0;
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.client_retry { c.late_weight } else { 1.0 };
        let quota = if over_quota {
            self.cfg.over_quota_weight
        } else {
            1.0
        };
        let value = again * quota;
        if !new.client_retry {
            self.classes[new.class.0].asked += c.priority_weight * quota;
        }
        let (class, came, sent) = (new.class.0, now, Vec::new());
        let (streaming, uploading) = (false, false);
        let most = self.cfg.max_attempts as usize;
        self.requests.insert(
            new.request,
            PendingRequest {
                class,
                came,
                aim,
                deadline,
                value,
                streaming,
                uploading,
                most,
                sent,
            },
        );
        self.held.push(new.request);
    }

    /// How many times an even part of all traffic comes here, one at least: the front spreads it unevenly.
    /// What the fleet is meant to carry, the quotas' sum, is the one figure on all of it that it is told.
    pub(super) fn busy(&self) -> f64 {
        let even = self.cfg.quota_sum_per_s() / f64::from(self.cfg.proxy_count);
        self.firsts
            .per_s()
            .filter(|_| even > 0.0)
            .map_or(1.0, |here| (here / even).max(1.0))
    }

    /// Whether all proxies together hold too much for one more: with load / (1 - load) held, twice the hold
    /// is a load of eight ninths, half of it two thirds. That is one core; on many a lower load holds as
    /// much, and while every class is well inside its aim nobody waits for what is worth little. Turned
    /// away at once does no harm; waiting here would make no room.
    pub(super) fn crowded(&self, value: f64) -> bool {
        self.fuller(match value < LOW && self.tight > 0 {
            true => HOLD / 2.0,
            false if value < LOW => HOLD * 1.5,
            false => HOLD * 2.0,
        })
    }

    /// Whether it has less time left than its answer usually takes, where others wait for that room: a
    /// client that came again brings what is left of its time, and its attempt would mostly be called back
    /// unfinished.
    pub(super) fn hopeless(&self, now: Time, r: &PendingRequest) -> bool {
        now + self.usual(r.class) > r.deadline && !r.uploading && self.fuller(HOLD / 2.0)
    }

    /// Whether all proxies together hold more than so many on each ready backend, as far as one tells that
    /// has no room to count: it takes the others to be like itself, but for its part of the traffic.
    pub(super) fn fuller(&self, limit: f64) -> bool {
        let proxies = f64::from(self.cfg.proxy_count);
        let ready: f64 = self.kinds.values().map(|k| k.ready_endpoints).sum();
        let held = self.crowd.per_s().unwrap_or(0.0) * proxies / (self.busy() / BURST).max(1.0);
        proxies > HOLD && self.crowd.seen() > CROWD_KNOWN && held > limit * ready
    }
}
