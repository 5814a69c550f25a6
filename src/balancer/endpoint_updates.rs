//! Updates of the endpoint list, and failures to get one.

use super::slow_start::warmth;
use super::state::EndpointRecord;
use super::Balancer;
use crate::interface::{Backend, Discovery, EndpointUpdate, Time};

impl Balancer {
    pub(super) fn endpoints_updated(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        list: Vec<Backend>,
    ) {
        match update {
            EndpointUpdate::Failed => self.discovery_failed(now),
            EndpointUpdate::Incremental | EndpointUpdate::Full => self.polling.succeeded(),
            EndpointUpdate::Cached => {}
        }
        // What a backend that warms up was sent still counts if it is listed again within the overload window.
        let cfg = &self.cfg;
        let has_recent_work = |record: &EndpointRecord| {
            let latest = record.recent_work.last();
            latest.is_some_and(|sent| now - sent.0 < cfg.overload_window)
        };
        let is_kept = |record: &EndpointRecord| {
            let warming_up = || warmth(cfg, now, record) < 1.0;
            record.in_flight > 0 || has_recent_work(record) && warming_up()
        };
        let complete = matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached);
        self.backends.apply_update(complete, list, is_kept);
        self.split.due_at = now;
        self.schedule.check_at(now);
    }

    /// Discovery is polled again, later each time and not in step with the other proxies.
    fn discovery_failed(&mut self, now: Time) {
        let Discovery::Poll { staleness_limit } = self.cfg.discovery else {
            return;
        };
        let jitter = self.dice.unit();
        self.polling
            .failed(now, self.cfg.proxy_count, staleness_limit, jitter);
        self.log(now, "discovery poll failed, backing off".into());
    }
}
