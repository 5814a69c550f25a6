//! Where the proxies of the plan are: 7 regions, 27 zones, each proxy under a loopback address that says its place.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

pub const REGIONS: u32 = 7;
pub const ZONES: u32 = 27;

/// So many proxies on one port, numbered from 0 zone by zone.
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

    /// Which proxies are real processes where so many are: even over the zones.
    pub fn real(&self, count: u32) -> Vec<u32> {
        (0..count).map(|n| n * self.size / count).collect()
    }

    /// All proxies of a zone.
    pub fn in_zone(&self, zone: u32) -> std::ops::Range<u32> {
        let begin = |zone: u32| (zone * self.size).div_ceil(ZONES);
        begin(zone)..begin(zone + 1)
    }

    /// `127.(10 + region).(1 + zone).(1 + place in the zone)`.
    pub fn address(&self, proxy: u32) -> SocketAddr {
        let zone = self.zone(proxy);
        let place = proxy - self.in_zone(zone).start;
        let byte = |n: u32| u8::try_from(n).expect("fewer than 254 in a zone");
        SocketAddr::from((
            [
                127,
                byte(10 + self.region(proxy)),
                byte(1 + zone),
                byte(1 + place),
            ],
            self.port,
        ))
    }

    /// Whose address that is.
    pub fn proxy(&self, address: SocketAddr) -> Option<u32> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, _, zone, place] = ip.octets().map(u32::from);
        let members = self.in_zone(zone.checked_sub(1)?);
        Some(members.start + place.checked_sub(1)?)
            .filter(|n| members.contains(n) && *n < self.size)
    }
}
