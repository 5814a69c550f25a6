//! Optional sections of the configuration file, under the names that the file has for them.

use super::error::CoordinationError;
use meadowproxy::fleet::lease;
use meadowproxy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// `snapshot` in the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotSection {
    /// The folder of the file; made where it is missing.
    pub dir: PathBuf,
    /// Milliseconds between two writes.
    #[serde(default = "SnapshotSection::every_ms")]
    pub every_ms: u64,
    /// Seconds after which a snapshot is refused.
    #[serde(default = "SnapshotSection::max_age_s")]
    pub max_age_s: f64,
}

/// `peers` in the configuration: state shared with the fleet's other proxies.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GossipSection {
    /// Where this proxy takes datagrams (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it; without it the address that it listens at.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// The fleet's name: datagrams of others are refused.
    pub cluster: String,
    /// Members to join through, this one or not.
    pub seeds: Vec<SocketAddr>,
    /// Seconds after which a shared fact is neither used nor passed on.
    #[serde(default = "GossipSection::max_age_s")]
    pub max_age_s: f64,
}

impl GossipSection {
    fn max_age_s() -> f64 {
        5.0
    }
}

/// `duties` in the configuration: leases between proxies and the calendar of windows.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinationSection {
    /// The advertised addresses of the members that vote: 1, 3, 5 or 7.
    pub voters: Vec<SocketAddr>,
    /// Milliseconds that a holding lasts unless it is renewed.
    #[serde(default = "CoordinationSection::lease_ms")]
    pub lease_ms: u64,
    /// Clock rates differ from true time by this part at most.
    #[serde(default = "CoordinationSection::drift")]
    pub drift: f64,
    /// The share of each kind's capacity below which no window drains.
    #[serde(default = "CoordinationSection::floor")]
    pub floor: f64,
    /// The same of each zone; without it `floor`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone_floor: Option<f64>,
}

impl CoordinationSection {
    fn lease_ms() -> u64 {
        3000
    }
    fn drift() -> f64 {
        0.01
    }
    fn floor() -> f64 {
        0.5
    }

    /// What all voters and candidates agree on.
    pub fn lease_rules(&self) -> Result<lease::Rules, lease::RulesError> {
        lease::Rules::new(
            self.voters.len(),
            Micros(self.lease_ms.saturating_mul(1000)),
            self.drift,
        )
    }

    /// Checks the section, and that the configuration has the `peers` that it needs.
    pub fn check(&self, peers: Option<&GossipSection>) -> Result<(), CoordinationError> {
        let peers = peers.ok_or(CoordinationError::MissingPeers)?;
        if peers.max_age_s < CoordinationSection::MIN_MAX_AGE_S {
            let min_s = CoordinationSection::MIN_MAX_AGE_S;
            return Err(CoordinationError::MaxAgeTooShort { min_s });
        }
        let distinct: BTreeSet<&SocketAddr> = self.voters.iter().collect();
        if distinct.len() < self.voters.len() {
            return Err(CoordinationError::DuplicateVoter);
        }
        if self.lease_ms < CoordinationSection::MIN_LEASE_MS {
            let min_ms = CoordinationSection::MIN_LEASE_MS;
            return Err(CoordinationError::LeaseTooShort { min_ms });
        }
        check_fraction("floor", Some(self.floor))?;
        check_fraction("zone_floor", self.zone_floor)?;
        self.lease_rules()?;
        Ok(())
    }

    /// Below this a lease would end between two turns of the worker that renews it.
    const MIN_LEASE_MS: u64 = 500;
    /// The leader's heartbeat comes once a second: with less, it would be too old before the next one.
    const MIN_MAX_AGE_S: f64 = 3.0;
}

fn check_fraction(key: &'static str, part: Option<f64>) -> Result<(), CoordinationError> {
    if part.is_some_and(|part| !(0.0..=1.0).contains(&part)) {
        return Err(CoordinationError::OutOfRange { key });
    }
    Ok(())
}

impl Default for SnapshotSection {
    fn default() -> SnapshotSection {
        SnapshotSection {
            dir: PathBuf::new(),
            every_ms: SnapshotSection::every_ms(),
            max_age_s: SnapshotSection::max_age_s(),
        }
    }
}

impl SnapshotSection {
    fn every_ms() -> u64 {
        2000
    }
    fn max_age_s() -> f64 {
        300.0
    }
}
