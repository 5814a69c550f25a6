//! The optional sections `snapshot`, `peers` and `duties` of the configuration file. Their fields have the names that
//! the file uses.

use super::error::CoordinationError;
use meadowproxy::fleet::lease;
use meadowproxy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The section `snapshot`: snapshots of learned state.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotSection {
    /// Folder of the snapshot file, created if it is missing.
    pub dir: PathBuf,
    /// Interval between two snapshots, in milliseconds.
    #[serde(default = "SnapshotSection::every_ms")]
    pub every_ms: u64,
    /// Age above which a snapshot is rejected, in seconds.
    #[serde(default = "SnapshotSection::max_age_s")]
    pub max_age_s: f64,
}

/// The section `peers`: gossip of shared state with the fleet's other proxies.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GossipSection {
    /// Local UDP address for the other proxies' datagrams.
    pub listen: SocketAddr,
    /// Address at which the other proxies reach this one; `listen` if `None`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Name of the fleet. Datagrams from other fleets are rejected.
    pub cluster: String,
    /// Addresses of members through which to join the fleet; this proxy's own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Age above which a shared fact is neither used nor forwarded, in seconds.
    #[serde(default = "GossipSection::max_age_s")]
    pub max_age_s: f64,
}

impl GossipSection {
    fn max_age_s() -> f64 {
        5.0
    }
}

/// The section `duties`: leases between proxies and the calendar of maintenance windows.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinationSection {
    /// Advertised addresses of the 1, 3, 5 or 7 members that vote.
    pub voters: Vec<SocketAddr>,
    /// Term of a lease unless it is renewed, in milliseconds.
    #[serde(default = "CoordinationSection::lease_ms")]
    pub lease_ms: u64,
    /// Maximum deviation of a clock's rate from true time, as a fraction of that rate.
    #[serde(default = "CoordinationSection::drift")]
    pub drift: f64,
    /// Fraction of each kind's capacity that windows must leave undrained.
    #[serde(default = "CoordinationSection::floor")]
    pub floor: f64,
    /// Fraction of each zone's capacity that windows must leave undrained; `floor` if `None`.
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

    /// Returns the rules of the leases, which must be equal at all voters and candidates.
    pub fn lease_rules(&self) -> Result<lease::Rules, lease::RulesError> {
        lease::Rules::new(
            self.voters.len(),
            Micros(self.lease_ms.saturating_mul(1000)),
            self.drift,
        )
    }

    /// Checks the section, and that the section `peers` exists and fits it.
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

    /// Minimum of `lease_ms`: a shorter lease would expire between two runs of the worker that renews it.
    const MIN_LEASE_MS: u64 = 500;
    /// Minimum of `peers.max_age_s`: the leader sends a heartbeat every second, and with a lower limit the last one
    /// could expire before the next arrives.
    const MIN_MAX_AGE_S: f64 = 3.0;
}

fn check_fraction(key: &'static str, fraction: Option<f64>) -> Result<(), CoordinationError> {
    if fraction.is_some_and(|fraction| !(0.0..=1.0).contains(&fraction)) {
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
