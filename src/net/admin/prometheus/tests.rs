//! Rendering of metrics in the text format.

use super::*;

#[test]
fn metrics_are_rendered_in_prometheus_text_format() {
    let recorder = PrometheusRecorder::default();
    metrics::with_local_recorder(&recorder, || {
        metrics::gauge!("b").set(1.5);
        metrics::counter!("a_total", "cause" => "a \"b\"\\\n").increment(2);
        metrics::counter!("a_total", "cause" => "a \"b\"\\\n").increment(1);
        metrics::counter!("a_total", "cause" => "z").absolute(7);
        metrics::counter!("b").increment(9); // ignored, as `b` is a gauge
    });
    let lines = [
        "# TYPE a_total counter",
        r#"a_total{cause="a \"b\"\\\n"} 3"#,
        r#"a_total{cause="z"} 7"#,
        "# TYPE b gauge",
        "b 1.5",
    ];
    assert_eq!(recorder.render().lines().collect::<Vec<_>>(), lines);
}
