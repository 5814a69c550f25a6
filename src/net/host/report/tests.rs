//! Counters in log lines and metrics.

use super::*;
use crate::net::admin::prometheus::PrometheusRecorder;
use crate::net::host::PendingRequest;

/// Log lines count from the previous line, metrics from the start of the process.
#[test]
fn log_lines_do_not_reset_metrics() {
    let host = Host::example();
    let recorder = PrometheusRecorder::default();
    for n in 1..4 {
        let PendingRequest { id, answer: _wait } = host.example_request();
        host.client_disconnected(id);
        for _ in 0..2 {
            metrics::with_local_recorder(&recorder, || host.update_metrics(n));
            let text = recorder.render();
            for line in [
                format!("meadowproxy_requests_total {n}"),
                format!("meadowproxy_clients {n}"),
            ] {
                assert!(text.lines().any(|l| l == line), "{line} not in {text}");
            }
            host.report_traffic(n);
        }
    }
}
