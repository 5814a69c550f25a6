//! Subsetting: the endpoints that each proxy uses, and the capacity that it may use at each of them.

use super::concurrency_limit::MIN_CONCURRENCY_LIMIT;
use super::endpoints::{EndpointGroup, EndpointLoad, EndpointTable, ProxyPosition};
use super::hardware_class::HardwareClass;
use super::locality::locality_weighted_shares;
use super::Balancer;
use crate::interface::{Config, HardwareClassId, ZoneId};
use std::collections::BTreeMap;

/// Number of proxies that share an endpoint, if there are more proxies than that. It is limited because connections
/// cost an endpoint resources. The load from this many proxies still evens out, to a fluctuation of about a fifth of
/// that from a single proxy.
const PROXIES_PER_ENDPOINT: f64 = 20.0;
/// Fraction of an endpoint's capacity that is divided in proportion to the proxies' traffic. The rest is divided
/// evenly.
const TRAFFIC_CAPACITY_FRACTION: f64 = 0.5;
/// Fraction of its readiness that is added to an endpoint's traffic share, so that it takes overflow once all others
/// are full.
const OVERFLOW_FRACTION: f64 = 1e-6;
/// Lower bound of a value that is used as a divisor.
const MIN_DIVISOR: f64 = 1e-9;
/// The fractional part of the golden ratio. Its multiples modulo 1 are spread evenly, for any number of them.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The values of a hardware class from which the traffic is split over its endpoints.
#[derive(Clone, Copy, Debug)]
struct GroupSplit {
    /// Share of the traffic of all proxies.
    traffic_share: f64,
    /// Sum of the readiness of its endpoints.
    ready_endpoints: f64,
    /// Maximum number of requests that all proxies together keep in flight at one endpoint.
    concurrency_limit: f64,
}

impl GroupSplit {
    fn of(class: Option<&HardwareClass>) -> GroupSplit {
        class.map_or(
            GroupSplit {
                traffic_share: 0.0,
                ready_endpoints: MIN_DIVISOR,
                concurrency_limit: MIN_CONCURRENCY_LIMIT,
            },
            |class| GroupSplit {
                traffic_share: class.fleet_traffic_share,
                ready_endpoints: class.ready_endpoints.max(MIN_DIVISOR),
                concurrency_limit: class.concurrency_limit.get().max(MIN_CONCURRENCY_LIMIT),
            },
        )
    }

    /// Returns an endpoint's share of the traffic of all proxies.
    fn fair_share(&self, load: &EndpointLoad) -> f64 {
        self.traffic_share * load.readiness / self.ready_endpoints
    }

    /// Returns each proxy's even share of an endpoint's capacity, in requests in flight.
    fn even_capacity(&self, load: &EndpointLoad, proxies: f64) -> f64 {
        self.concurrency_limit / proxies * load.readiness
    }
}

/// This proxy's traffic, as needed for its subset.
struct ProxyTraffic {
    /// For each group, the sum of its endpoints' traffic shares.
    group_shares: Vec<f64>,
    /// Number of endpoints that get traffic.
    reached: u32,
}

/// An arc of the ring of a group's endpoints. The ring has length 1.
#[derive(Clone, Copy, Debug)]
struct RingArc {
    start: f64,
    width: f64,
}

impl RingArc {
    /// Returns the length that the arc covers of the section of the ring between `from` and `to`.
    fn overlap(&self, from: f64, to: f64) -> f64 {
        let inside = |start: f64| (to.min(start + self.width) - from.max(start)).max(0.0);
        inside(self.start) + inside(self.start - 1.0)
    }
}

/// A position on the ring of a group's endpoints, while iterating over them.
#[derive(Clone, Copy, Debug, Default)]
struct RingCursor {
    /// Sum of the traffic shares of the endpoints passed.
    traffic_share: f64,
    /// That sum as a fraction of the group's traffic share.
    position: f64,
}

impl Balancer {
    /// Assigns each endpoint its share of this proxy's traffic, its capacity for this proxy and its share of the
    /// subset.
    ///
    /// The share of a hardware class is divided among its endpoints by readiness. If traffic between zones has a cost,
    /// it stays local as far as all proxies together still give every endpoint its fair share.
    pub(super) fn update_subset(&mut self) {
        let groups = self.backends.groups.iter();
        let splits: Vec<GroupSplit> = groups
            .map(|group| GroupSplit::of(self.hardware_classes.get(&group.hardware_class)))
            .collect();
        let fair_shares = zone_fair_shares(&self.backends, &splits, &self.config);
        let biases = zone_biases(&self.backends, &fair_shares, &self.config);
        self.backends.assign_rounding_offsets(ProxyPosition {
            index: self.config.proxy_index,
            count: self.config.proxy_count,
        });
        let proxies = f64::from(self.config.proxy_count);
        let traffic = assign_traffic(&mut self.backends, &splits, &biases, proxies);
        update_own_traffic_shares(
            &mut self.hardware_classes,
            &self.backends.groups,
            &traffic.group_shares,
        );
        let reached = f64::from(traffic.reached.max(1));
        let width = PROXIES_PER_ENDPOINT / proxies * self.backends.len() as f64 / reached;
        // The arcs of all proxies have the same width and evenly spread starts, so that together they cover every
        // endpoint in proportion to its share.
        let arc = RingArc {
            start: (f64::from(self.config.proxy_index) * GOLDEN_RATIO_FRACTION).fract(),
            width: width.min(1.0),
        };
        assign_subset(&mut self.backends, &traffic.group_shares, arc, proxies);
    }
}

/// Returns the fair share of all traffic for the endpoints of each zone. With zone failover, a zone that is out of use
/// is included with a share of 0, as traffic still originates there.
fn zone_fair_shares(
    endpoints: &EndpointTable,
    splits: &[GroupSplit],
    config: &Config,
) -> BTreeMap<ZoneId, f64> {
    let mut shares = vec![config.zone_failover.map(|_| 0.0); endpoints.zones.len()];
    for load in endpoints.loads.iter().filter(|load| load.readiness > 0.0) {
        let fair_share = splits[load.group_index as usize].fair_share(load);
        *shares[load.zone_index as usize].get_or_insert(0.0) += fair_share;
    }
    let zones = endpoints.zones.iter().zip(&shares);
    zones
        .filter_map(|(zone, share)| Some((*zone, (*share)?)))
        .collect()
}

/// Returns, for each zone, the traffic that this proxy sends to its endpoints as a multiple of their fair share.
fn zone_biases(
    endpoints: &EndpointTable,
    fair_shares: &BTreeMap<ZoneId, f64>,
    config: &Config,
) -> Vec<f64> {
    // With fewer proxies than zones, some zone has no proxy, and no proxy knows which one. Keeping traffic local would
    // leave that zone's endpoints idle and overload the others.
    let is_local = (config.cross_zone_cost > 0.0 || config.zone_failover.is_some())
        && f64::from(config.proxy_count) >= fair_shares.len() as f64;
    let local_shares = locality_weighted_shares(fair_shares, config.zone, &config.regions);
    let bias = |zone: &ZoneId| {
        let fair_share = fair_shares.get(zone).map(|share| share.max(MIN_DIVISOR));
        let local_share = local_shares.get(zone).copied().unwrap_or(0.0);
        match fair_share {
            Some(fair_share) if is_local => local_share / fair_share,
            _ => 1.0,
        }
    };
    endpoints.zones.iter().map(bias).collect()
}

/// Assigns each endpoint its capacity for this proxy and its share of this proxy's traffic.
fn assign_traffic(
    endpoints: &mut EndpointTable,
    splits: &[GroupSplit],
    biases: &[f64],
    proxies: f64,
) -> ProxyTraffic {
    let mut traffic = ProxyTraffic {
        group_shares: vec![0.0; splits.len()],
        reached: 0,
    };
    let shares = endpoints.own_traffic_share.iter_mut();
    for (load, traffic_share) in endpoints.loads.iter_mut().zip(shares) {
        let group = load.group_index as usize;
        let split = &splits[group];
        let bias = biases[load.zone_index as usize];
        // Each proxy gets a capacity of at least one. With more proxies than the limit they would otherwise have to
        // take turns; in that case load shedding enforces the limit.
        let traffic_factor = (1.0 - TRAFFIC_CAPACITY_FRACTION) + TRAFFIC_CAPACITY_FRACTION * bias;
        let capacity = split.even_capacity(load, proxies) * traffic_factor + load.rounding_offset;
        load.capacity = capacity.floor().max(1.0);
        let share = split.fair_share(load) * bias;
        *traffic_share = share + load.readiness * OVERFLOW_FRACTION;
        traffic.reached += u32::from(share > 0.0);
        traffic.group_shares[group] += *traffic_share;
    }
    traffic
}

/// Sets each hardware class's share of this proxy's traffic.
fn update_own_traffic_shares(
    hardware_classes: &mut BTreeMap<HardwareClassId, HardwareClass>,
    groups: &[EndpointGroup],
    group_shares: &[f64],
) {
    for class in hardware_classes.values_mut() {
        class.own_traffic_share = 0.0;
    }
    for (group, share) in groups.iter().zip(group_shares) {
        hardware_classes
            .entry(group.hardware_class)
            .or_default()
            .own_traffic_share = *share;
    }
}

/// Assigns each endpoint its share of this proxy's subset: the length that the arc covers of the endpoint's section of
/// the ring. The ring of a group consists of its endpoints in order of address hash, each with a section as long as its
/// share of the group's traffic.
fn assign_subset(endpoints: &mut EndpointTable, group_shares: &[f64], arc: RingArc, proxies: f64) {
    let mut cursors = vec![RingCursor::default(); group_shares.len()];
    for &index in &endpoints.by_address_hash {
        let index = index as usize;
        let load = &mut endpoints.loads[index];
        let group = load.group_index as usize;
        let from = cursors[group].position;
        let traffic_share = cursors[group].traffic_share + endpoints.own_traffic_share[index];
        let to = traffic_share / group_shares[group].max(MIN_DIVISOR);
        cursors[group] = RingCursor {
            traffic_share,
            position: to,
        };
        let subset_share = arc.overlap(from, to);
        endpoints.subset_share[index] = subset_share;
        load.own_share = if subset_share > 0.0 {
            subset_share / ((to - from) * arc.width * proxies).max(MIN_DIVISOR)
        } else {
            0.0
        };
    }
}
