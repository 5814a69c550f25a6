//! The process's recorder behind the `metrics` facade, and its figures in Prometheus' text form. The exporter's crate
//! would do both, but times the processor's clock as it starts, for up to 0.2 s of a core, for histograms that nothing
//! here has.

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

enum Figure {
    Counter(Arc<AtomicU64>),
    /// The bits of a float.
    Gauge(Arc<AtomicU64>),
}

/// By name and labels as they are written.
type Table = BTreeMap<(String, String), Figure>;

/// Counters and gauges by their names and labels; clones share them.
#[derive(Clone, Default)]
pub struct PrometheusRecorder(Arc<Mutex<Table>>);

impl PrometheusRecorder {
    /// The recorder of the whole process from now on, if there is none yet.
    pub fn install() -> PrometheusRecorder {
        let figures = PrometheusRecorder::default();
        let _ = metrics::set_global_recorder(figures.clone());
        figures
    }

    /// All of them, one a line, after the type of each name.
    pub fn render(&self) -> String {
        let (mut text, mut last) = (String::new(), "");
        for ((name, labels), figure) in self.table().iter() {
            let (kind, value) = match figure {
                Figure::Counter(n) => ("counter", n.load(Ordering::Relaxed).to_string()),
                Figure::Gauge(n) => (
                    "gauge",
                    f64::from_bits(n.load(Ordering::Relaxed)).to_string(),
                ),
            };
            if name != last {
                let _ = writeln!(text, "# TYPE {name} {kind}");
            }
            let _ = writeln!(text, "{name}{labels} {value}");
            last = name;
        }
        text
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The name and the labels of a figure.
fn written(key: &Key) -> (String, String) {
    let escaped = |v: &str| {
        v.replace('\\', r"\\")
            .replace('"', "\\\"")
            .replace('\n', r"\n")
    };
    let labels: Vec<String> = key
        .labels()
        .map(|l| format!("{}=\"{}\"", l.key(), escaped(l.value())))
        .collect();
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{}}}", labels.join(","))
    };
    (key.name().into(), labels)
}

impl Recorder for PrometheusRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let new = || Figure::Counter(Arc::default());
        match self.table().entry(written(key)).or_insert_with(new) {
            Figure::Counter(n) => Counter::from_arc(n.clone()),
            Figure::Gauge(_) => Counter::noop(),
        }
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let new = || Figure::Gauge(Arc::default());
        match self.table().entry(written(key)).or_insert_with(new) {
            Figure::Gauge(n) => Gauge::from_arc(n.clone()),
            Figure::Counter(_) => Gauge::noop(),
        }
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

#[cfg(test)]
mod tests;
