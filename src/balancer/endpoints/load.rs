//! The values of an endpoint that the balancer reads in passes over all endpoints.

use crate::interface::{HardwareClassId, Time, ZoneId};

/// Fraction of an endpoint's traffic share that is added to its selection weight. It makes endpoints outside the
/// subset a last resort when the whole subset is full.
const LAST_RESORT_WEIGHT_FRACTION: f64 = 1e-6;

/// The values of one endpoint that every pass over all endpoints reads: some derived from its record, others computed
/// by the last solution of the traffic split.
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
    /// Number of this proxy's attempts in flight.
    pub in_flight: u32,
    /// Number of attempts that are included in the table's sum.
    pub(super) counted_in_flight: u32,
    /// Whether it is listed as ready and not disabled by operators.
    pub available: bool,
    /// Whether an attempt has been without a response for longer than the silence limit.
    pub silent: bool,
    pub ejected: bool,
    /// Running fraction (0 to 1) of its outcomes that were not errors.
    pub success_share: f64,
    pub slow_start_ends_at: Time,
    /// Time from which it is neither overloaded nor was in slow start within the overload window.
    pub(super) unrestricted_at: Time,
    /// Whether `unrestricted_at` is still ahead, so that the passage of time alone may change its weight.
    pub(super) restricted: bool,
    /// Fraction of its capacity that may be used, from 0 (none) to 1 (healthy and past its slow start).
    pub readiness: f64,
    /// Maximum number of this proxy's attempts in flight.
    pub capacity: f64,
    /// This proxy's share (0 to 1) of the traffic that all proxies send it.
    pub own_share: f64,
    /// Offset (0 to 1) that rounds a fractional capacity up on some proxies and down on others, so that the sum over
    /// all proxies is right.
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

    /// Returns whether it has capacity for another attempt, within all of its capacity or only within half of it.
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

    /// Returns its attempts in flight, or 0 while it is out of use: only endpoints in use contend for load.
    pub(super) fn contending_in_flight(&self) -> u32 {
        if self.readiness > 0.0 && !self.silent {
            self.in_flight
        } else {
            0
        }
    }

    /// Resets the values computed by the traffic split.
    pub(super) fn reset_solution(&mut self) {
        self.readiness = 0.0;
        self.capacity = 0.0;
        self.own_share = 0.0;
        self.rounding_offset = 0.0;
    }
}

/// Returns the selection weight of an endpoint.
pub(super) fn selection_weight(subset_share: f64, traffic_share: f64) -> f64 {
    subset_share + traffic_share * LAST_RESORT_WEIGHT_FRACTION
}

/// The index of this proxy and the number of proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyPosition {
    pub index: u32,
    pub count: u32,
}

impl ProxyPosition {
    /// Returns this proxy's rounding offset for an endpoint. The offsets of all proxies are evenly spread from 0 to 1.
    pub(super) fn rounding_offset(self, address_hash: u64) -> f64 {
        let slot = address_hash.wrapping_add(u64::from(self.index));
        ((slot % u64::from(self.count)) as f64 + 0.5) / f64::from(self.count)
    }
}
