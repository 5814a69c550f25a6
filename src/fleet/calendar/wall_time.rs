//! Wall-clock times, which are comparable between proxies.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A wall-clock time, in microseconds since 1970.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The same time as a `jiff` timestamp; `None` after the year 9999.
    pub(crate) fn timestamp(self) -> Option<jiff::Timestamp> {
        jiff::Timestamp::from_microsecond(i64::try_from(self.0).ok()?).ok()
    }
}

impl std::fmt::Display for WallTime {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.timestamp() {
            Some(at) => write!(f, "{at}"),
            None => write!(f, "{} us after 1970", self.0),
        }
    }
}

impl std::ops::Add<Micros> for WallTime {
    type Output = WallTime;
    fn add(self, span: Micros) -> WallTime {
        WallTime(self.0.saturating_add(span.0))
    }
}

impl std::ops::Sub<Micros> for WallTime {
    type Output = WallTime;
    fn sub(self, span: Micros) -> WallTime {
        WallTime(self.0.saturating_sub(span.0))
    }
}

impl std::ops::Sub for WallTime {
    type Output = Micros;
    /// The time since `earlier`; zero if that is in the future.
    fn sub(self, earlier: WallTime) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
