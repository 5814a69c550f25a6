//! Updates of the endpoint list.

use super::{warmth, Backend, Balancer, Discovery, EndpointRecord, EndpointUpdate, Time};

impl Balancer {
    pub(super) fn members(&mut self, now: Time, update: EndpointUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // Asked for again, later each time and not in step with others: discovery serves all in turn, and
            // calls that come faster than it can answer make each other fail.
            (
                EndpointUpdate::Failed,
                Discovery::Poll {
                    staleness_limit: within,
                },
            ) => {
                self.ask
                    .failed(now, self.cfg.proxy_count, within, self.dice.unit());
                self.log(now, "discovery lost, asking again".into());
            }
            (EndpointUpdate::Incremental | EndpointUpdate::Full, _) => self.ask.answered(),
            _ => {}
        }
        // What a cold one was sent weighs still if it is back within the fall window.
        let (cfg, window) = (&self.cfg, self.cfg.overload_window);
        let recent = |p: &EndpointRecord| p.recent_work.last().is_some_and(|s| now - s.0 < window);
        let kept = |p: &EndpointRecord| p.in_flight > 0 || recent(p) && warmth(cfg, now, p) < 1.0;
        self.backends.apply_update(
            matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached),
            list,
            kept,
        );
        (self.solve_at, self.look_at) = (now, now);
    }
}
