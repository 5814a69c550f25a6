//! A new configuration at run time.

use super::{Balancer, ClassId, ClassState, ClassSuccessor, Time, ValidatedConfig};

impl Balancer {
    /// Classes and tenants keep their numbers, so that all that is open and learned goes on. The host sees to
    /// that; a configuration that forgets a number all the same changes nothing.
    pub(super) fn settings(
        &mut self,
        now: Time,
        cfg: ValidatedConfig,
        turned: [(&Vec<ClassId>, bool); 2],
        successors: &[ClassSuccessor],
    ) {
        let (classes, tenants) = (cfg.classes.len(), cfg.tenants.len());
        if classes < self.classes.len() || tenants < self.cfg.tenants.len() {
            return self.log(now, "settings not taken".into());
        }
        // A class in use keeps its rules under its number: only those that come or go change the sums.
        let come_or_go = turned.iter().flat_map(|(ids, _)| ids.iter().map(|id| id.0));
        let new = self.classes.len()..classes;
        let mut touched: Vec<usize> = come_or_go.filter(|n| *n < classes).chain(new).collect();
        touched.sort_unstable();
        touched.dedup();
        let (free, tight) = self.sums(&touched);
        (self.free, self.tight) = (self.free - free, self.tight - tight);
        self.classes.resize_with(classes, || ClassState {
            live: true,
            ..Default::default()
        });
        for successor in successors {
            let latency = self.classes.get(successor.predecessor.0).map(|s| s.latency);
            self.classes
                .get_mut(successor.class.0)
                .zip(latency)
                .into_iter()
                .for_each(|(s, latency)| s.latency = latency);
        }
        for (id, live) in turned
            .into_iter()
            .flat_map(|(ids, live)| ids.iter().map(move |id| (id, live)))
        {
            self.classes
                .get_mut(id.0)
                .into_iter()
                .for_each(|s| s.live = live);
        }
        if (cfg.slow_start, cfg.overload_window) != (self.cfg.slow_start, self.cfg.overload_window)
        {
            self.backends.mark_all_outdated();
        }
        (self.cfg, self.solve_at, self.look_at) = (cfg, now, now);
        let (free, tight) = self.sums(&touched);
        (self.free, self.tight) = (self.free + free, self.tight + tight);
    }
}
