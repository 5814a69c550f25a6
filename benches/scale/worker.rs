//! Holds some of the hollow proxies on one thread, and does what the conductor says.

use super::activation::slowest_activations;
use super::light_proxy::{probe_name, LightProxy, Tally};
use super::observations::observe;
use super::plan::Plan;
use super::protocol::{Absence, Command, Conditions, Cut, Learned, Load, Reply, Sample};
use meadowproxy::fleet::membership::{wire, MembershipConfig};
use meadowproxy::{Micros, Verdict};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// One place of the plan, with the proxy that is there now.
#[derive(Default)]
struct Place {
    light_proxy: Option<Rc<LightProxy>>,
    tally: Rc<Tally>,
}

pub struct Worker {
    plan: Option<(Plan, MembershipConfig, Vec<SocketAddr>)>,
    places: BTreeMap<u32, Place>,
    conditions: Rc<Cell<Conditions>>,
    load: Option<Load>,
    base_kb: u64,
}

/// Works on this thread until nobody commands any more.
pub fn run(mut commands: UnboundedReceiver<Command>, reply: impl Fn(Reply)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let base_kb = resident_kb();
        let (conditions, places) = (Rc::default(), BTreeMap::new());
        let mut worker = Worker {
            plan: None,
            places,
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
            Command::Start(who) => who.into_iter().try_for_each(|number| self.start(number))?,
            Command::Stop { who, leave } => {
                for number in who {
                    let light_proxy = self
                        .places
                        .get_mut(&number)
                        .and_then(|p| p.light_proxy.take());
                    light_proxy
                        .ok_or(format!("proxy {number} is not there"))?
                        .stop(leave);
                }
            }
            Command::Conditions(conditions) => self.conditions.set(conditions),
            Command::Load(load) => {
                self.load = load;
                self.light_proxies()
                    .for_each(|light_proxy| light_proxy.set_load(load));
            }
            Command::Probe { proxy, number } => {
                let light_proxy = self.places.get(&proxy).and_then(|p| p.light_proxy.as_ref());
                light_proxy
                    .ok_or(format!("proxy {proxy} is not there"))?
                    .broadcast_verdict(probe_name(number), Verdict::Readmitted);
            }
            Command::Sample => return Ok(Reply::Sample(self.sample())),
            Command::Learned {
                since,
                absences,
                probes,
                cut,
            } => {
                return Ok(Reply::Learned(
                    self.observations(since, &absences, &probes, cut),
                ));
            }
        }
        Ok(Reply::Done)
    }

    fn start(&mut self, number: u32) -> Result<(), String> {
        let (plan, config, voters) = self.plan.clone().ok_or("no plan yet")?;
        let place = self.places.entry(number).or_default();
        let light_proxy = LightProxy::start(
            plan,
            number,
            config,
            voters,
            self.conditions.clone(),
            place.tally.clone(),
        )
        .map_err(|e| format!("proxy {number} at {}: {e}", plan.address(number)))?;
        if self.load.is_some() {
            light_proxy.set_load(self.load);
        }
        place.light_proxy = Some(light_proxy);
        Ok(())
    }

    fn light_proxies(&self) -> impl Iterator<Item = &Rc<LightProxy>> {
        self.places.values().filter_map(|p| p.light_proxy.as_ref())
    }

    fn sample(&self) -> Sample {
        let mut s = Sample {
            proxies: self.light_proxies().count() as u32,
            cpu_ns: thread_cpu_ns(),
            resident_kb: resident_kb(),
            base_kb: self.base_kb,
            least: u32::MAX,
            versions: (u64::MAX, 0),
            ..Sample::default()
        };
        for (number, place) in &self.places {
            let tally = &place.tally;
            s.sent += tally.sent.get();
            s.rejoined += tally.rejoined.get();
            s.balancers_ns += tally.balancer.get().as_nanos() as u64;
            s.bytes.insert(*number, tally.bytes.get());
            let mut counters = vec![tally.previous.borrow().clone()];
            if let Some((live, waiting, counts)) = place.light_proxy.as_ref().map(|h| h.status()) {
                (s.least, s.most) = (s.least.min(live), s.most.max(live));
                let lacking = self
                    .plan
                    .as_ref()
                    .map_or(0, |(plan, ..)| plan.size - 1)
                    .saturating_sub(live);
                s.lacking += u64::from(lacking);
                s.lack += u32::from(lacking > 0);
                let version = place.light_proxy.as_ref().map_or(0, |h| h.version());
                s.versions = (s.versions.0.min(version), s.versions.1.max(version));
                s.waiting = s.waiting.max(waiting);
                counters.push(counts);
            }
            for counts in counters {
                s.received += counts.received;
                s.told += counts.verdicts_sent;
                s.heard += counts.verdicts_received;
                for (cause, n) in counts.rejected {
                    *s.refused.entry(cause.into()).or_default() += n;
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
    ) -> Learned {
        let Some((plan, ..)) = &self.plan else {
            return Learned::default();
        };
        let there = self
            .places
            .iter()
            .filter(|(_, place)| place.light_proxy.is_some());
        let recorded: Vec<_> = there
            .map(|(number, place)| (*number, place.tally.observations.borrow()))
            .collect();
        let observers = recorded
            .iter()
            .map(|(number, observations)| (*number, observations.as_slice()));
        let slowest = slowest_activations(observers.clone(), absences, probes);
        Learned {
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

fn resident_kb() -> u64 {
    resident_of("self")
}

/// Resident memory of a process in kB.
pub fn resident_of(process: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// The hidden half of the bench: commands come in over standard input, a JSON line each. Ends with its input, so
/// that none outlives the conductor.
pub fn process() {
    let (tell, commands) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else {
                return;
            };
            if tell.send(command).is_err() {
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
