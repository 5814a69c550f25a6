//! What the conductor of a run and the workers that hold its hollow proxies say to each other, a JSON line each.

use super::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What befalls datagrams on a hollow proxy's sending side; parts of all, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    pub lost: f64,
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// So many are late by an even draw up to [`MAX_DELAY_US`], and so out of order.
    #[serde(rename = "late")]
    pub delayed: f64,
    /// Nothing passes between this region and the others, either way.
    pub cut: Option<u32>,
}

pub const MAX_DELAY_US: u64 = 50_000;

/// A proxy that the others do not hear, or that does not hear them, of whatever kind they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Isolation {
    /// Nobody hears it.
    #[serde(rename = "mute")]
    pub outbound_blocked: Option<u32>,
    /// It hears nobody.
    #[serde(rename = "deaf")]
    pub inbound_blocked: Option<u32>,
}

/// All that is wrong with the ways between proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Conditions {
    pub faults: Faults,
    pub isolation: Isolation,
}

impl Conditions {
    /// Whether anything passes that way at all.
    pub fn passes(&self, plan: &Plan, from: u32, to: u32) -> bool {
        let Conditions { faults, isolation } = self;
        let cut = faults
            .cut
            .is_some_and(|r| (plan.region(from) == r) != (plan.region(to) == r));
        !cut && isolation.outbound_blocked != Some(from) && isolation.inbound_blocked != Some(to)
    }
}

/// Requests at each proxy, and the backends behind them: the first are dead.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub backends: u32,
    pub dead: u32,
    pub per_second: f64,
}

/// A proxy that was gone for a while, in microseconds of the monotonic clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Absence {
    pub proxy: u32,
    pub from: u64,
    /// `None`: to this day.
    pub to: Option<u64>,
}

/// A region that was cut off.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cut {
    pub region: u32,
    pub from: u64,
    pub to: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    Plan {
        plan: Plan,
        seeds: Vec<SocketAddr>,
        /// Without any there is no configuration to carry.
        voters: Vec<SocketAddr>,
        cluster: String,
        max_age_s: f64,
    },
    Start(Vec<u32>),
    /// With a word to the others, or without.
    Stop {
        who: Vec<u32>,
        leave: bool,
    },
    Conditions(Conditions),
    Load(Option<Load>),
    /// Let this proxy tell a probe of that number.
    Probe {
        proxy: u32,
        number: u32,
    },
    Sample,
    /// What was learned since then of these absences, and who was taken for down wrongly.
    Learned {
        since: u64,
        absences: Vec<Absence>,
        /// Probes and changes by number, and when each was told.
        probes: Vec<(u32, u64)>,
        cut: Option<Cut>,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    Done,
    Failed(String),
    Sample(Sample),
    Learned(Learned),
}

/// Counts of one worker since its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sample {
    /// Hollow proxies that are there.
    pub proxies: u32,
    /// Processor time of the worker's thread, and the part of it that its balancers took.
    pub cpu_ns: u64,
    pub balancers_ns: u64,
    /// Resident memory of the process, and what it was before its first proxy.
    pub resident_kb: u64,
    pub base_kb: u64,
    pub sent: u64,
    /// By proxy.
    pub bytes: BTreeMap<u32, u64>,
    pub received: u64,
    pub refused: BTreeMap<String, u64>,
    pub told: u64,
    pub heard: u64,
    pub rejoined: u64,
    /// Live members that the proxies know: the least and the most.
    pub least: u32,
    pub most: u32,
    /// Pairs of a proxy and a place of the plan of which it knows no live member.
    pub lacking: u64,
    /// Proxies that lack some.
    pub lack: u32,
    /// Of the copies of the configuration, the lowest and the highest.
    pub versions: (u64, u64),
    /// Facts that wait to be passed on, at most.
    pub waiting: u64,
}

/// Pairs of who learned and of whom, by milliseconds until then.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Learned {
    pub gone: Vec<(u32, u32)>,
    pub back: Vec<(u32, u32)>,
    pub heard: Vec<(u32, u32)>,
    /// Pairs that learned nothing yet.
    pub gone_missing: u32,
    pub back_missing: u32,
    pub heard_missing: u32,
    /// Live proxies that were taken for down.
    pub false_downs: u32,
    /// Of each change, by its number, milliseconds until it was in force at the last; `None` where it is not at some.
    pub slowest: BTreeMap<u32, Option<u32>>,
}
