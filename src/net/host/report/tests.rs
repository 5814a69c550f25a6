//! What reports count.

use super::*;
use crate::net::admin::prometheus::PrometheusRecorder;

/// A line tells what is new since the last, the figures tell of all.
#[test]
fn figures_go_on_over_the_lines() {
    let (host, figures) = (Host::example(), PrometheusRecorder::default());
    for n in 1..4 {
        let (id, _wait) = host.example_request();
        host.client_gone(id);
        for _ in 0..2 {
            metrics::with_local_recorder(&figures, || host.update_metrics(n));
            let text = figures.render();
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
