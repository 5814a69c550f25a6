//! Updates of the endpoint list.

use super::{Backend, Balancer, Discovery, EndpointRecord, EndpointUpdate, SlowStart, Time};

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
        let slow_start = SlowStart::new(&self.cfg);
        let window = self.cfg.overload_window;
        let is_cold = |p: &EndpointRecord| slow_start.readiness(now, p.slow_start_began_at()) < 1.0;
        let kept =
            |p: &EndpointRecord| p.in_flight > 0 || p.has_recent_work(now, window) && is_cold(p);
        self.backends.apply_update(
            matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached),
            list,
            kept,
        );
        (self.solve_at, self.look_at) = (now, now);
    }
}
