//! The messages between the coordinator of a run and the workers that run its lightweight proxies, one JSON line each.
//! The serialized names are fixed by `rename` attributes where the Rust names differ.

use super::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Faults that are injected into datagrams; the probabilities range from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// The probability that a datagram is lost.
    pub lost: f64,
    /// The probability that a datagram is sent twice.
    #[serde(rename = "doubled")]
    pub duplicated: f64,
    /// The probability that a datagram is delayed, and thus reordered: by a uniformly random time up to [`MAX_DELAY_US`].
    #[serde(rename = "late")]
    pub delayed: f64,
    /// The region that is partitioned from all others, in both directions.
    pub cut: Option<u32>,
}

/// The longest injected delay, in microseconds.
pub const MAX_DELAY_US: u64 = 50_000;

/// Blocks all datagrams of a real or lightweight proxy in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Isolation {
    /// The proxy whose outgoing datagrams are dropped.
    #[serde(rename = "mute")]
    pub outbound_blocked: Option<u32>,
    /// The proxy whose incoming datagrams are dropped.
    #[serde(rename = "deaf")]
    pub inbound_blocked: Option<u32>,
}

/// The state of the network between the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Conditions {
    pub faults: Faults,
    pub isolation: Isolation,
}

impl Conditions {
    /// Whether the network lets datagrams pass from one proxy to another at all.
    pub fn passes(&self, plan: &Plan, from: u32, to: u32) -> bool {
        let Conditions { faults, isolation } = self;
        let cut = faults
            .cut
            .is_some_and(|region| (plan.region(from) == region) != (plan.region(to) == region));
        !cut && isolation.outbound_blocked != Some(from) && isolation.inbound_blocked != Some(to)
    }
}

/// The load on each proxy: its request rate, and its backends, of which the first `dead` refuse connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub backends: u32,
    pub dead: u32,
    pub per_second: f64,
}

/// A period in which a proxy was not running, in microseconds of the monotonic clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Absence {
    pub proxy: u32,
    pub from: u64,
    /// `None` while the proxy is still down.
    pub to: Option<u64>,
}

/// A period in which a region was partitioned from the others, in microseconds of the monotonic clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cut {
    pub region: u32,
    pub from: u64,
    pub to: u64,
}

/// A command of the coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Sets the layout and settings of the fleet; sent first.
    Plan {
        plan: Plan,
        seeds: Vec<SocketAddr>,
        /// The voters on the configuration. If there are none, the proxies replicate no configuration.
        voters: Vec<SocketAddr>,
        cluster: String,
        max_age_s: f64,
    },
    /// Starts these proxies.
    Start(Vec<u32>),
    /// Stops these proxies. With `leave` they announce it to the others first.
    Stop {
        #[serde(rename = "who")]
        proxies: Vec<u32>,
        leave: bool,
    },
    /// Sets the network conditions.
    Conditions(Conditions),
    /// Sets the load of all proxies, or stops it.
    Load(Option<Load>),
    /// Makes this proxy broadcast the probe verdict with this number.
    Probe { proxy: u32, number: u32 },
    /// Asks for the worker's counters.
    Sample,
    /// Asks when the proxies detected these absences, probes and changes, and how often they considered a live proxy down.
    #[serde(rename = "Learned")]
    Observations {
        /// Microseconds of the monotonic clock.
        since: u64,
        absences: Vec<Absence>,
        /// The number of each probe or change, and when it was sent, in microseconds of the monotonic clock.
        probes: Vec<(u32, u64)>,
        cut: Option<Cut>,
    },
}

/// A worker's answer to a command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The command was executed.
    Done,
    /// The command failed, with the reason.
    Failed(String),
    Sample(Sample),
    #[serde(rename = "Learned")]
    Observed(Observations),
}

/// The counters of one worker since its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sample {
    /// The number of running lightweight proxies.
    pub proxies: u32,
    /// Processor time of the worker's thread, and the part of it spent in balancers, in nanoseconds.
    pub cpu_ns: u64,
    pub balancers_ns: u64,
    /// Resident memory of the process now, and before it started its first proxy.
    pub resident_kb: u64,
    pub base_kb: u64,
    /// Datagrams sent by all proxies.
    pub sent: u64,
    /// Bytes sent by each proxy.
    pub bytes: BTreeMap<u32, u64>,
    /// Datagrams received, including rejected ones.
    pub received: u64,
    /// Datagrams rejected, by cause.
    #[serde(rename = "refused")]
    pub rejected: BTreeMap<String, u64>,
    /// Verdicts sent and received.
    #[serde(rename = "told")]
    pub verdicts_sent: u64,
    #[serde(rename = "heard")]
    pub verdicts_received: u64,
    /// How often a proxy rejoined the cluster.
    pub rejoined: u64,
    /// The lowest and the highest number of live members that a proxy knows.
    #[serde(rename = "least")]
    pub fewest_members: u32,
    #[serde(rename = "most")]
    pub most_members: u32,
    /// The number of pairs of a proxy and a member of the plan that it does not know as live.
    #[serde(rename = "lacking")]
    pub unknown_members: u64,
    /// The number of proxies that don't know all others as live.
    #[serde(rename = "lack")]
    pub incomplete_proxies: u32,
    /// The lowest and the highest version among the configuration replicas.
    pub versions: (u64, u64),
    /// The longest queue of verdicts to forward.
    #[serde(rename = "waiting")]
    pub verdict_backlog: u64,
}

/// Detection delays: histograms of `(milliseconds, number of pairs)` over pairs of an observer and an observed event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename = "Learned")]
pub struct Observations {
    /// Until a stopped proxy was seen as down.
    #[serde(rename = "gone")]
    pub down: Vec<(u32, u32)>,
    /// Until a restarted proxy was seen as up.
    #[serde(rename = "back")]
    pub up: Vec<(u32, u32)>,
    /// Until a probe or change arrived.
    #[serde(rename = "heard")]
    pub received: Vec<(u32, u32)>,
    /// Pairs whose observer has not detected the event yet.
    #[serde(rename = "gone_missing")]
    pub down_missing: u32,
    #[serde(rename = "back_missing")]
    pub up_missing: u32,
    #[serde(rename = "heard_missing")]
    pub received_missing: u32,
    /// How often a live proxy was wrongly considered down.
    pub false_downs: u32,
    /// By the number of a change: milliseconds until it was active at the last proxy; `None` if it is still missing at some.
    pub slowest: BTreeMap<u32, Option<u32>>,
}
