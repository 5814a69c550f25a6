//! Running estimators: a mean over recent samples, and a rate of recent events.

use crate::interface::{SampledMean, Time};

/// A rate is known once the time constant divided by this has been observed.
const MIN_OBSERVATION_DIVISOR: f64 = 20.0;

/// A mean over recent samples. Each call of [`RunningMean::add`] sets how many.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean {
    pub value: f64,
    /// Number of samples that the value represents.
    pub count: f64,
}

impl RunningMean {
    /// Adds a sample to a mean over approximately the last `max_count` samples.
    pub fn add(&mut self, sample: f64, max_count: f64) {
        self.count = (self.count + 1.0).min(max_count);
        self.value += (sample - self.value) / self.count;
    }

    /// Returns the mean, if there was a sample.
    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }

    /// Returns the mean in the form that is kept across a restart.
    pub fn sampled(&self) -> SampledMean {
        SampledMean {
            value: self.value,
            count: self.count,
        }
    }

    /// Creates a mean from learned state, with its samples discounted by `weight` (0 to 1). The state comes from a
    /// snapshot; values that are not positive and finite give a mean without samples.
    pub fn restored(learned: SampledMean, weight: f64) -> RunningMean {
        let count = learned.count * weight;
        let is_positive = |number: f64| number > 0.0 && number.is_finite();
        if is_positive(learned.value) && is_positive(count) {
            RunningMean {
                value: learned.value,
                count,
            }
        } else {
            RunningMean::default()
        }
    }
}

/// A rate of events per second, exponentially averaged with a time constant of `time_constant_s` seconds. It is
/// unbiased from the first event on.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventRate {
    time_constant_s: f64,
    /// Number of events, each discounted by its age.
    events: f64,
    /// Time observed, in seconds, each discounted by its age.
    observed_s: f64,
    updated_at: Option<Time>,
}

impl EventRate {
    pub fn new(time_constant_s: f64) -> EventRate {
        EventRate {
            time_constant_s,
            events: 0.0,
            observed_s: 0.0,
            updated_at: None,
        }
    }

    /// Counts `level` events per second since the last call.
    pub fn add_level(&mut self, now: Time, level: f64) {
        let elapsed_s = self.elapsed_s(now);
        self.add(
            now,
            level * (1.0 - (-elapsed_s / self.time_constant_s).exp()) * self.time_constant_s,
        );
    }

    /// Counts `events` that happened at `now`; 0 only accounts for the time elapsed.
    pub fn add(&mut self, now: Time, events: f64) {
        let discount = (-self.elapsed_s(now) / self.time_constant_s).exp();
        self.events = self.events * discount + events;
        self.observed_s = self.observed_s * discount + (1.0 - discount) * self.time_constant_s;
        self.updated_at = Some(now);
    }

    /// Returns the time observed, in seconds, each discounted by its age.
    pub fn observed_s(&self) -> f64 {
        self.observed_s
    }

    /// Returns the rate per second; `None` until enough time has been observed.
    pub fn per_s(&self) -> Option<f64> {
        (self.observed_s > self.time_constant_s / MIN_OBSERVATION_DIVISOR)
            .then(|| self.events / self.observed_s)
    }

    fn elapsed_s(&self, now: Time) -> f64 {
        self.updated_at
            .map_or(0.0, |updated_at| (now - updated_at).as_secs_f64())
    }
}
