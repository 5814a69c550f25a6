//! The values of an endpoint that decisions read for all endpoints at once.

use crate::interface::{HardwareClassId, Time, ZoneId};

/// The part of its traffic share that an endpoint weighs beyond its share of the subset: a last resort where all of
/// the subset is full.
const LAST_RESORT_WEIGHT_FRACTION: f64 = 1e-6;

/// What each pass over all endpoints reads of one: what its record says, and what was last solved for it.
#[derive(Clone, Copy, Default)]
pub struct EndpointLoad {
    pub hardware_class: HardwareClassId,
    pub zone: ZoneId,
    /// Index into [`EndpointTable::groups`](super::EndpointTable::groups).
    pub group_index: u32,
    /// Index into [`EndpointTable::zones`](super::EndpointTable::zones).
    pub zone_index: u32,
    /// Index into the weights of its group.
    pub(super) weight_index: u32,
    /// Attempts of this proxy in flight.
    pub in_flight: u32,
    /// Those of them that are part of the table's sum.
    pub(super) counted_in_flight: u32,
    /// Listed as ready, and not disabled by operators.
    pub available: bool,
    /// An attempt has been without a response for suspiciously long.
    pub silent: bool,
    pub ejected: bool,
    /// The part of its responses that were no errors of its own.
    pub success_share: f64,
    pub slow_start_ends_at: Time,
    /// From then on it is neither overloaded nor was it in slow start within the overload window.
    pub(super) unrestricted_at: Time,
    /// That time has not come: time alone may change its weight.
    pub(super) restricted: bool,
    /// The part of its capacity that it may be used for, from 0 (none) to 1 (healthy and warm).
    pub readiness: f64,
    /// Attempts of this proxy that it may have in flight.
    pub capacity: f64,
    /// This proxy's part of what all proxies send it.
    pub own_share: f64,
    /// From 0 to 1: rounds a fractional capacity up at some proxies and down at others, so that the sum over all
    /// proxies is right.
    pub rounding_offset: f64,
}

impl EndpointLoad {
    pub(super) fn new(hardware_class: HardwareClassId, zone: ZoneId) -> EndpointLoad {
        EndpointLoad {
            hardware_class,
            zone,
            ..EndpointLoad::default()
        }
    }

    /// Whether it may have one more attempt in flight, of all its capacity or of half of it.
    pub fn has_capacity(&self, half_only: bool) -> bool {
        let capacity = if half_only {
            (self.capacity / 2.0).ceil()
        } else {
            self.capacity
        };
        self.available
            && !self.silent
            && self.readiness > 0.0
            && f64::from(self.in_flight) < capacity
    }

    /// Its attempts in flight where it is in use: only these contend with others.
    pub(super) fn contending_in_flight(&self) -> u32 {
        if self.readiness > 0.0 && !self.silent {
            self.in_flight
        } else {
            0
        }
    }

    /// Forgets what was solved for it.
    pub(super) fn reset_solution(&mut self) {
        self.readiness = 0.0;
        self.capacity = 0.0;
        self.own_share = 0.0;
        self.rounding_offset = 0.0;
    }
}

/// What an endpoint weighs in a draw.
pub(super) fn draw_weight(subset_share: f64, traffic_share: f64) -> f64 {
    subset_share + traffic_share * LAST_RESORT_WEIGHT_FRACTION
}

/// A proxy's number among all proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyPosition {
    pub index: u32,
    pub count: u32,
}

impl ProxyPosition {
    /// This proxy's rounding offset at an endpoint: the offsets of all proxies are evenly spread from 0 to 1.
    pub(super) fn rounding_offset(self, address_hash: u64) -> f64 {
        let slot = address_hash.wrapping_add(u64::from(self.index));
        ((slot % u64::from(self.count)) as f64 + 0.5) / f64::from(self.count)
    }
}
