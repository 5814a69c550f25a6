//! Lines and figures on what goes on.

use super::Host;
use meadowproxy::Micros;
use tracing::{debug, info};

impl Host {
    /// One line at debug level with each kind's hold, for timing how soon it settles.
    pub fn report_holds(&self) {
        let s = self.state.borrow();
        let of = |(kind, hold)| Some(format!("{}={hold:.2}", s.names.kind_name(kind)?));
        let holds: Vec<String> = s.balancer.concurrency_limits().filter_map(of).collect();
        debug!(event = "holds", holds = holds.join(" "), "holds");
    }

    /// One line on what went on since the last.
    pub fn report(&self, clients: usize) {
        let mut s = self.state.borrow_mut();
        let c = std::mem::take(&mut s.counts);
        s.told
            .iter_mut()
            .zip(c.named())
            .for_each(|(told, (_, new))| *told += new);
        info!(
            "requests {} served {} refused {} failed {} overdue {} gone {}; attempts {} full {} errors {} \
             resets {} unconnected {} unsent {}; open requests {} clients {} upstreams {} connects {} lag {} us",
            c.requests,
            c.served,
            c.refused,
            c.failed,
            c.timed_out,
            c.gone,
            c.attempts,
            c.full,
            c.errors,
            c.resets,
            c.unconnected,
            c.unsent,
            s.requests.len(),
            clients,
            self.pool.open(),
            self.pool.opened.take(),
            self.lag.get(),
        );
    }

    /// Brings the recorder's figures up to date: at the time of reading, so that requests pay nothing for them.
    pub fn figures(&self, clients: usize) {
        let s = self.state.borrow();
        for (told, (name, new)) in s.told.iter().zip(s.counts.named()) {
            metrics::counter!(name).absolute(told + new);
        }
        metrics::gauge!("meadowproxy_requests_open").set(s.requests.len() as f64);
        metrics::gauge!("meadowproxy_clients").set(clients as f64);
        metrics::gauge!("meadowproxy_upstreams").set(self.pool.open() as f64);
        metrics::gauge!("meadowproxy_timer_lag_seconds").set(Micros(self.lag.get()).as_secs_f64());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::admin::prometheus::Figures;

    /// A line tells what is new since the last, the figures tell of all.
    #[test]
    fn figures_go_on_over_the_lines() {
        let (host, figures) = (Host::example(), Figures::default());
        for n in 1..4 {
            let (id, _wait) = host.example_request();
            host.client_gone(id);
            for _ in 0..2 {
                metrics::with_local_recorder(&figures, || host.figures(n));
                let text = figures.render();
                for line in [
                    format!("meadowproxy_requests_total {n}"),
                    format!("meadowproxy_clients {n}"),
                ] {
                    assert!(text.lines().any(|l| l == line), "{line} not in {text}");
                }
                host.report(n);
            }
        }
    }
}
