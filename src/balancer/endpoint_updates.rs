//! Handling of endpoint list updates and of failed discovery polls.

use super::endpoints::EndpointRecord;
use super::slow_start::SlowStart;
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
        // The record of work sent to a backend in slow start is kept: it still counts if the backend is listed again
        // within the overload window.
        let slow_start = SlowStart::new(&self.config);
        let window = self.config.overload_window;
        let is_kept = |record: &EndpointRecord| {
            let in_slow_start = || slow_start.readiness(now, record.slow_start_began_at()) < 1.0;
            record.in_flight > 0 || record.has_recent_work(now, window) && in_slow_start()
        };
        let complete = matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached);
        self.backends.apply_update(complete, list, is_kept);
        self.split.due_at = now;
        self.schedule.check_at(now);
    }

    /// Schedules the next discovery poll with exponential backoff and jitter.
    fn discovery_failed(&mut self, now: Time) {
        let Discovery::Poll { staleness_limit } = self.config.discovery else {
            return;
        };
        let jitter = self.random.unit();
        self.polling
            .failed(now, self.config.proxy_count, staleness_limit, jitter);
        self.log(now, "discovery poll failed, backing off".into());
    }
}
