//! The process's recorder for the `metrics` facade, which renders the metrics in Prometheus' text format.
//!
//! The crate `metrics-exporter-prometheus` would do both. When it starts, however, it calibrates the processor's clock
//! for its histograms, which takes up to 0.2 s of one core, and the proxy has no histograms.

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The type and current value of a metric.
enum Metric {
    Counter(Arc<AtomicU64>),
    /// The bits of an `f64`.
    Gauge(Arc<AtomicU64>),
}

impl Metric {
    fn type_name(&self) -> &'static str {
        match self {
            Metric::Counter(_) => "counter",
            Metric::Gauge(_) => "gauge",
        }
    }

    fn value(&self) -> String {
        match self {
            Metric::Counter(count) => count.load(Ordering::Relaxed).to_string(),
            Metric::Gauge(bits) => f64::from_bits(bits.load(Ordering::Relaxed)).to_string(),
        }
    }
}

/// A metric's name, and its labels in the text format.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MetricId {
    name: String,
    labels: String,
}

impl MetricId {
    fn from_key(key: &Key) -> MetricId {
        let labels: Vec<String> = key
            .labels()
            .map(|label| format!("{}=\"{}\"", label.key(), escape_label_value(label.value())))
            .collect();
        MetricId {
            name: key.name().into(),
            labels: match labels.is_empty() {
                true => String::new(),
                false => format!("{{{}}}", labels.join(",")),
            },
        }
    }
}

/// Escapes a label's value for the text format.
fn escape_label_value(value: &str) -> String {
    value
        .replace('\\', r"\\")
        .replace('"', "\\\"")
        .replace('\n', r"\n")
}

type MetricTable = BTreeMap<MetricId, Metric>;

/// Records counters and gauges by name and labels; clones share them. Histograms are not recorded.
#[derive(Clone, Default)]
pub struct PrometheusRecorder(Arc<Mutex<MetricTable>>);

impl PrometheusRecorder {
    /// Creates a recorder and installs it as the process's global one, unless there already is one.
    pub fn install() -> PrometheusRecorder {
        let recorder = PrometheusRecorder::default();
        let _ = metrics::set_global_recorder(recorder.clone());
        recorder
    }

    /// Renders all metrics in the text format: for each name a line with its type, then one line per metric.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut last_name = "";
        for (id, metric) in self.table().iter() {
            if id.name != last_name {
                let _ = writeln!(text, "# TYPE {} {}", id.name, metric.type_name());
            }
            let _ = writeln!(text, "{}{} {}", id.name, id.labels, metric.value());
            last_name = &id.name;
        }
        text
    }

    fn table(&self) -> MutexGuard<'_, MetricTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Recorder for PrometheusRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let new = || Metric::Counter(Arc::default());
        match self
            .table()
            .entry(MetricId::from_key(key))
            .or_insert_with(new)
        {
            Metric::Counter(n) => Counter::from_arc(n.clone()),
            Metric::Gauge(_) => Counter::noop(),
        }
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let new = || Metric::Gauge(Arc::default());
        match self
            .table()
            .entry(MetricId::from_key(key))
            .or_insert_with(new)
        {
            Metric::Gauge(n) => Gauge::from_arc(n.clone()),
            Metric::Counter(_) => Gauge::noop(),
        }
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

#[cfg(test)]
mod tests;
