//! A worker runs a part of the fleet's lightweight proxies on one thread and executes the coordinator's commands. It is a
//! thread of the coordinator's process or a process of its own.

use super::activation::slowest_activations;
use super::light_proxy::{probe_name, LightProxy, ProxyCounters};
use super::observations::observe;
use super::plan::Plan;
use super::protocol::{Absence, Command, Conditions, Cut, Load, Observations, Reply, Sample};
use meadowproxy::fleet::membership::{wire, MembershipConfig};
use meadowproxy::{Micros, Verdict};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// A member of the plan: the proxy while it runs, and its counters over all restarts.
#[derive(Default)]
struct Member {
    proxy: Option<Rc<LightProxy>>,
    counters: Rc<ProxyCounters>,
}

/// The lightweight proxies of a worker and their settings.
pub struct Worker {
    plan: Option<(Plan, MembershipConfig, Vec<SocketAddr>)>,
    members: BTreeMap<u32, Member>,
    conditions: Rc<Cell<Conditions>>,
    load: Option<Load>,
    /// Resident memory of the process before it started its first proxy.
    base_kb: u64,
}

/// Executes commands on this thread until the command channel is closed, and passes each reply to `reply`.
pub fn run(mut commands: UnboundedReceiver<Command>, reply: impl Fn(Reply)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let base_kb = resident_kb();
        let (conditions, members) = (Rc::default(), BTreeMap::new());
        let mut worker = Worker {
            plan: None,
            members,
            conditions,
            load: None,
            base_kb,
        };
        while let Some(command) = commands.recv().await {
            reply(worker.command(command).unwrap_or_else(Reply::Failed));
        }
    });
}

impl Worker {
    fn command(&mut self, command: Command) -> Result<Reply, String> {
        match command {
            Command::Plan {
                plan,
                seeds,
                voters,
                cluster,
                max_age_s,
            } => {
                let (cluster, max_age) =
                    (wire::cluster_id(&cluster), Micros::from_secs_f64(max_age_s));
                self.plan = Some((
                    plan,
                    MembershipConfig {
                        cluster,
                        seeds,
                        max_age,
                        fleet_size: plan.size,
                    },
                    voters,
                ));
            }
            Command::Start(proxies) => proxies
                .into_iter()
                .try_for_each(|number| self.start(number))?,
            Command::Stop { proxies, leave } => {
                for number in proxies {
                    let proxy = self.members.get_mut(&number).and_then(|m| m.proxy.take());
                    proxy
                        .ok_or(format!("cannot stop proxy {number}: it is not running"))?
                        .stop(leave);
                }
            }
            Command::Conditions(conditions) => self.conditions.set(conditions),
            Command::Load(load) => {
                self.load = load;
                self.light_proxies().for_each(|proxy| proxy.set_load(load));
            }
            Command::Probe { proxy, number } => {
                let light_proxy = self.members.get(&proxy).and_then(|m| m.proxy.as_ref());
                light_proxy
                    .ok_or(format!(
                        "cannot send probe {number} from proxy {proxy}: it is not running"
                    ))?
                    .broadcast_verdict(probe_name(number), Verdict::Readmitted);
            }
            Command::Sample => return Ok(Reply::Sample(self.sample())),
            Command::Observations {
                since,
                absences,
                probes,
                cut,
            } => {
                return Ok(Reply::Observed(
                    self.observations(since, &absences, &probes, cut),
                ));
            }
        }
        Ok(Reply::Done)
    }

    fn start(&mut self, number: u32) -> Result<(), String> {
        let (plan, config, voters) = self
            .plan
            .clone()
            .ok_or("cannot start a proxy before the plan is set")?;
        let member = self.members.entry(number).or_default();
        let proxy = LightProxy::start(
            plan,
            number,
            config,
            voters,
            self.conditions.clone(),
            member.counters.clone(),
        )
        .map_err(|e| format!("proxy {number} at {}: {e}", plan.address(number)))?;
        if self.load.is_some() {
            proxy.set_load(self.load);
        }
        member.proxy = Some(proxy);
        Ok(())
    }

    fn light_proxies(&self) -> impl Iterator<Item = &Rc<LightProxy>> {
        self.members.values().filter_map(|m| m.proxy.as_ref())
    }

    fn sample(&self) -> Sample {
        let mut s = Sample {
            proxies: self.light_proxies().count() as u32,
            cpu_ns: thread_cpu_ns(),
            resident_kb: resident_kb(),
            base_kb: self.base_kb,
            fewest_members: u32::MAX,
            versions: (u64::MAX, 0),
            ..Sample::default()
        };
        for (number, member) in &self.members {
            let counters = &member.counters;
            s.sent += counters.sent.get();
            s.rejoined += counters.rejoined.get();
            s.balancers_ns += counters.balancer.get().as_nanos() as u64;
            s.bytes.insert(*number, counters.bytes.get());
            let mut membership_counters = vec![counters.previous.borrow().clone()];
            if let Some((live, backlog, counts)) = member.proxy.as_ref().map(|h| h.status()) {
                (s.fewest_members, s.most_members) =
                    (s.fewest_members.min(live), s.most_members.max(live));
                let unknown = self
                    .plan
                    .as_ref()
                    .map_or(0, |(plan, ..)| plan.size - 1)
                    .saturating_sub(live);
                s.unknown_members += u64::from(unknown);
                s.incomplete_proxies += u32::from(unknown > 0);
                let version = member.proxy.as_ref().map_or(0, |h| h.version());
                s.versions = (s.versions.0.min(version), s.versions.1.max(version));
                s.verdict_backlog = s.verdict_backlog.max(backlog);
                membership_counters.push(counts);
            }
            for counts in membership_counters {
                s.received += counts.received;
                s.verdicts_sent += counts.verdicts_sent;
                s.verdicts_received += counts.verdicts_received;
                for (cause, n) in counts.rejected {
                    *s.rejected.entry(cause.into()).or_default() += n;
                }
            }
        }
        s
    }

    fn observations(
        &self,
        since: u64,
        absences: &[Absence],
        probes: &[(u32, u64)],
        cut: Option<Cut>,
    ) -> Observations {
        let Some((plan, ..)) = &self.plan else {
            return Observations::default();
        };
        let running = self
            .members
            .iter()
            .filter(|(_, member)| member.proxy.is_some());
        let recorded: Vec<_> = running
            .map(|(number, member)| (*number, member.counters.observations.borrow()))
            .collect();
        let observers = recorded
            .iter()
            .map(|(number, observations)| (*number, observations.as_slice()));
        let slowest = slowest_activations(observers.clone(), absences, probes);
        Observations {
            slowest,
            ..observe(plan, observers, since, absences, probes, cut)
        }
    }
}

/// Processor time of this thread in nanoseconds.
fn thread_cpu_ns() -> u64 {
    first_number("/proc/thread-self/schedstat")
}

/// The first number in a file, or 0.
pub fn first_number(path: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Resident memory of this process in kB.
fn resident_kb() -> u64 {
    resident_of("self")
}

/// Resident memory of a process in kB, or 0 if it cannot be read.
pub fn resident_of(process: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Runs this process as a worker: reads commands from standard input and writes replies to standard output, one JSON line
/// each. It returns at the end of the input, so that no worker outlives the coordinator.
pub fn process() {
    let (sender, commands) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else {
                return;
            };
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    run(commands, |reply| {
        if let Ok(line) = serde_json::to_string(&reply) {
            println!("{line}");
        }
    });
}
