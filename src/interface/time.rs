//! Points in time and durations in whole microseconds. The balancer reads no clock; the host passes the time in.

use std::ops::{Add, Sub};

const MICROS_PER_SECOND: f64 = 1e6;

/// A point in time, in microseconds of the host's clock. The clock's origin is arbitrary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Micros(pub u64);

impl Add<Micros> for Time {
    type Output = Time;

    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Micros;

    /// The duration since `earlier`; zero if `earlier` is later than `self`.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Micros> for Time {
    type Output = Time;

    fn sub(self, span: Micros) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Micros {
    /// The duration of `seconds`; zero for negative values.
    pub fn from_secs_f64(seconds: f64) -> Micros {
        Micros((seconds * MICROS_PER_SECOND) as u64)
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The duration multiplied by `factor`; zero for negative factors.
    pub fn mul_f64(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}
