//! The layout of a fleet: proxies are numbered zone by zone over 7 regions and 27 zones, and each has a loopback address
//! that encodes its region, zone and index.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

pub const REGIONS: u32 = 7;
pub const ZONES: u32 = 27;

/// A fleet of `size` proxies, numbered from 0 zone by zone, all on the same port of different loopback addresses.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Plan {
    pub size: u32,
    pub port: u16,
    pub seed: u64,
}

impl Plan {
    pub fn zone(&self, proxy: u32) -> u32 {
        proxy * ZONES / self.size
    }

    pub fn region(&self, proxy: u32) -> u32 {
        self.zone(proxy) * REGIONS / ZONES
    }

    /// The proxies that are real processes if `count` of them are, spread evenly over the zones.
    pub fn real(&self, count: u32) -> Vec<u32> {
        (0..count).map(|n| n * self.size / count).collect()
    }

    /// The numbers of the proxies in a zone.
    pub fn in_zone(&self, zone: u32) -> std::ops::Range<u32> {
        let begin = |zone: u32| (zone * self.size).div_ceil(ZONES);
        begin(zone)..begin(zone + 1)
    }

    /// The proxy's address: `127.(10 + region).(1 + zone).(1 + index in the zone)`.
    pub fn address(&self, proxy: u32) -> SocketAddr {
        let zone = self.zone(proxy);
        let index = proxy - self.in_zone(zone).start;
        let byte =
            |n: u32| u8::try_from(n).expect("a region, zone and index that fit into one byte each");
        SocketAddr::from((
            [
                127,
                byte(10 + self.region(proxy)),
                byte(1 + zone),
                byte(1 + index),
            ],
            self.port,
        ))
    }

    /// The proxy that has this address, if one of the plan has.
    pub fn proxy(&self, address: SocketAddr) -> Option<u32> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, _, zone, index] = ip.octets().map(u32::from);
        let members = self.in_zone(zone.checked_sub(1)?);
        Some(members.start + index.checked_sub(1)?)
            .filter(|n| members.contains(n) && *n < self.size)
    }
}
