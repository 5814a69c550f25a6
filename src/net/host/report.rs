//! Log lines and metrics on traffic, connections and concurrency limits.

use super::Host;
use crate::net::memory_budget::MemoryKind;
use meadowproxy::Micros;
use tracing::{debug, info};

const BYTES_PER_KB: usize = 1000;

impl Host {
    /// Logs the concurrency limit of each backend kind at debug level, to observe how fast it converges.
    pub fn report_concurrency_limits(&self) {
        let s = self.state.borrow();
        let limits: Vec<String> = s
            .balancer
            .concurrency_limits()
            .filter_map(|(kind, limit)| Some(format!("{}={limit:.2}", s.names.kind_name(kind)?)))
            .collect();
        debug!(
            event = "holds",
            holds = limits.join(" "),
            "concurrency limits"
        );
    }

    /// Logs one line on the traffic since the last such line. `clients` is the number of open client connections.
    pub fn report_traffic(&self, clients: usize) {
        let mut s = self.state.borrow_mut();
        let counters = std::mem::take(&mut s.counters);
        for (reported, (_, new)) in s.reported_totals.iter_mut().zip(counters.named()) {
            *reported += new;
        }
        info!(
            "requests {} served {} rejected {} failed {} timed out {} client disconnected {}; \
             attempts {} overloaded {} errors {} resets {} connect failed {} not sent {}; \
             open requests {} clients {} upstreams {} connects {} timer lag {} us; memory {}",
            counters.requests,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.timed_out,
            counters.client_disconnected,
            counters.attempts,
            counters.overloaded,
            counters.errors,
            counters.resets,
            counters.connect_failed,
            counters.not_sent,
            s.requests.len(),
            clients,
            self.pool.open_connections(),
            self.pool.take_connect_count(),
            self.timer_lag_us.get(),
            self.memory_summary(),
        );
    }

    /// Returns the memory budget's use by kind, in kB.
    fn memory_summary(&self) -> String {
        let budget = self.pool.memory_budget();
        let kinds = MemoryKind::ALL.map(|kind| {
            format!(
                "{} {}",
                kind.name(),
                budget.reserved_for(kind) / BYTES_PER_KB
            )
        });
        let allocated = budget.allocated_bytes() / BYTES_PER_KB;
        format!("{} allocated {allocated} kB", kinds.join(" "))
    }

    fn update_memory_metrics(&self) {
        let budget = self.pool.memory_budget();
        for kind in MemoryKind::ALL {
            let bytes = budget.reserved_for(kind) as f64;
            metrics::gauge!("meadowproxy_memory_bytes", "kind" => kind.name()).set(bytes);
        }
        let allocated = budget.allocated_bytes() as f64;
        metrics::gauge!("meadowproxy_memory_allocated_bytes").set(allocated);
        if budget.limit_bytes() < usize::MAX {
            metrics::gauge!("meadowproxy_memory_limit_bytes").set(budget.limit_bytes() as f64);
        }
    }

    /// Updates the metrics. Called when they are read, so that requests have no cost for them.
    pub fn update_metrics(&self, clients: usize) {
        let s = self.state.borrow();
        for (reported, (name, new)) in s.reported_totals.iter().zip(s.counters.named()) {
            metrics::counter!(name).absolute(reported + new);
        }
        metrics::gauge!("meadowproxy_requests_open").set(s.requests.len() as f64);
        metrics::gauge!("meadowproxy_clients").set(clients as f64);
        metrics::gauge!("meadowproxy_upstreams").set(self.pool.open_connections() as f64);
        let lag_s = Micros(self.timer_lag_us.get()).as_secs_f64();
        metrics::gauge!("meadowproxy_timer_lag_seconds").set(lag_s);
        self.update_memory_metrics();
    }
}

#[cfg(test)]
mod tests;
