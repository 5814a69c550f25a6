//! A fleet under test: real proxy processes and workers with lightweight proxies, controlled by the coordinator. A run
//! starts it, injects faults and load, and reads counters and observations.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::light_proxy::mono_us;
use super::plan::Plan;
use super::protocol::{
    Absence, Command, Conditions, Cut, Faults, Isolation, Load, Observations, Reply, Sample,
};
use super::real::{self, wait_until, LaunchConfig, RealProxy, RealSample, CLUSTER, MAX_AGE_S};
use super::relay::SharedConditions;
use super::rig::{lease_history, Client};
use super::{activation, light_proxy, report, rig, worker};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// The timeout for a worker's reply, and until the real proxies know each other. It is longer than either takes on a
/// busy machine.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);
/// A low load, with dead backends.
pub const FAILING_BACKENDS: Load = Load {
    backends: 9,
    dead: 3,
    per_second: 4.0,
};
/// The load on a proxy of a service of mean size at the target deployment's peak, with dead backends.
pub const PEAK_LOAD: Load = Load {
    backends: 43,
    dead: 3,
    per_second: 117.0,
};

/// How a worker runs and receives commands.
enum WorkerTransport {
    Process(Child, ChildStdin),
    Thread(UnboundedSender<Command>),
}

/// The coordinator's connection to a worker.
struct WorkerLink {
    transport: WorkerTransport,
    replies: Receiver<Reply>,
    /// The numbers of the proxies that the worker runs.
    proxies: Vec<u32>,
}

impl WorkerLink {
    /// Starts this executable again as a worker process.
    fn process(proxies: Vec<u32>) -> WorkerLink {
        let own = std::env::current_exe().expect("the path of this executable");
        let mut command = std::process::Command::new(own);
        let piped = command
            .arg(super::WORKER_ARG)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = piped.spawn().expect("the worker process starts");
        let (input, output) = (
            child.stdin.take().expect("a piped stream"),
            child.stdout.take().expect("a piped stream"),
        );
        let (reply_sender, replies) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let reply =
                    serde_json::from_str(&line).unwrap_or_else(|e| Reply::Failed(e.to_string()));
                if reply_sender.send(reply).is_err() {
                    return;
                }
            }
        });
        WorkerLink {
            transport: WorkerTransport::Process(child, input),
            replies,
            proxies,
        }
    }

    /// Starts a worker on a thread of this process.
    fn thread(proxies: Vec<u32>) -> WorkerLink {
        let (reply_sender, replies) = channel();
        let (sender, commands) = tokio::sync::mpsc::unbounded_channel();
        std::thread::spawn(move || {
            worker::run(commands, |reply| {
                let _ = reply_sender.send(reply); // the coordinator may have gone
            });
        });
        WorkerLink {
            transport: WorkerTransport::Thread(sender),
            replies,
            proxies,
        }
    }

    /// Sends a command; the worker answers each command with one reply.
    fn send(&mut self, command: &Command) {
        match &mut self.transport {
            WorkerTransport::Process(_, input) => {
                let line = serde_json::to_string(command).expect("serializable data") + "\n";
                input.write_all(line.as_bytes()).expect("a live worker");
            }
            WorkerTransport::Thread(sender) => sender.send(command.clone()).expect("a live worker"),
        }
    }

    /// Waits for the next reply. Panics if the worker failed or does not reply in time.
    fn reply(&self) -> Reply {
        match self
            .replies
            .recv_timeout(REPLY_TIMEOUT)
            .expect("a reply from the worker in time")
        {
            Reply::Failed(why) => panic!("a worker failed: {why}"),
            reply => reply,
        }
    }
}

impl Drop for WorkerLink {
    fn drop(&mut self) {
        if let WorkerTransport::Process(child, _) = &mut self.transport {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Options of a fleet.
#[derive(Clone, Copy)]
pub struct FleetOptions {
    pub size: u32,
    pub seed: u64,
    /// How many of the `size` proxies are real processes, spread evenly over the zones. All others join through them, and up
    /// to five of them vote on duties.
    pub real: u32,
    /// Whether the real proxies load a configuration of the target deployment's size, or a small one.
    pub full: bool,
    /// The maximum number of lightweight proxies in a worker.
    pub proxies_per_worker: u32,
    /// Whether workers are threads of this process.
    pub threads: bool,
}

/// A running fleet; its processes end when it is dropped.
pub struct Fleet {
    pub plan: Plan,
    pub real: Vec<RealProxy>,
    pub launch: LaunchConfig,
    /// Resident memory in kB of a proxy process with a minimal configuration and no peers.
    pub smallest_kb: u64,
    links: Vec<WorkerLink>,
    conditions: Conditions,
    /// The same conditions, as the relays of the real proxies read them.
    shared: SharedConditions,
    /// Whether the clients of the real proxies keep running.
    clients_running: Arc<AtomicBool>,
    /// The number of the last probe or change.
    probes: u32,
}

/// An accepted change: its number, its version, and when it was requested and answered, in microseconds of the monotonic
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedChange {
    pub number: u32,
    pub version: u64,
    pub requested_us: u64,
    pub answered_us: u64,
}

/// Seconds until every proxy knew all others, and until at most one pair in [`NEARLY_DIVISOR`] was missing; `None` if that
/// did not happen in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Convergence {
    pub full_s: Option<f64>,
    pub near_s: Option<f64>,
}

/// The fleet counts as nearly converged once at most one pair in this many is missing.
const NEARLY_DIVISOR: u64 = 1000;

/// All counters of the fleet at one time.
pub struct Measurement {
    pub at: Instant,
    pub light: Vec<Sample>,
    pub real: Vec<RealSample>,
    pub machine: report::Machine,
}

impl Fleet {
    /// Starts the real proxies, one after the other, and the workers. [`Fleet::join`] starts the lightweight proxies.
    pub fn new(options: FleetOptions) -> Fleet {
        let FleetOptions {
            size,
            seed,
            real,
            full,
            proxies_per_worker,
            threads,
        } = options;
        let plan = Plan {
            size,
            port: free_port(),
            seed,
        };
        let numbers = plan.real(real);
        let voter_positions = real::voter_positions(real);
        let voters: Vec<SocketAddr> = voter_positions
            .iter()
            .map(|n| plan.address(numbers[*n as usize]))
            .collect();
        let seeds: Vec<SocketAddr> = match numbers.as_slice() {
            [] => (0..size.min(3)).map(|n| plan.address(n)).collect(),
            numbers => numbers.iter().map(|n| plan.address(*n)).collect(),
        };
        let launch = LaunchConfig::new(
            plan,
            &seeds,
            &voters,
            full,
            FAILING_BACKENDS.backends,
            FAILING_BACKENDS.dead,
        );
        let smallest_kb = if real > 0 { real::smallest_kb() } else { 0 };
        let shared = SharedConditions::default();
        let start = |(n, number): (u32, &u32)| {
            RealProxy::start(
                &launch,
                n,
                *number,
                voter_positions.contains(&n),
                shared.clone(),
            )
        };
        let real_proxies: Vec<RealProxy> = (0..).zip(&numbers).map(start).collect();
        let light: Vec<u32> = (0..size).filter(|n| !numbers.contains(n)).collect();
        let parts = light
            .chunks(proxies_per_worker as usize)
            .map(<[u32]>::to_vec);
        let mut links: Vec<WorkerLink> = parts
            .map(|proxies| {
                if threads {
                    WorkerLink::thread(proxies)
                } else {
                    WorkerLink::process(proxies)
                }
            })
            .collect();
        let command = Command::Plan {
            plan,
            seeds,
            voters,
            cluster: CLUSTER.into(),
            max_age_s: MAX_AGE_S,
        };
        links.iter_mut().for_each(|link| link.send(&command));
        links.iter().for_each(|link| drop(link.reply()));
        let (conditions, clients_running) = (Conditions::default(), Arc::default());
        let fleet = Fleet {
            plan,
            real: real_proxies,
            launch,
            smallest_kb,
            links,
            conditions,
            shared,
            clients_running,
            probes: 0,
        };
        let known = |r: &RealProxy| r.json("/peers")["members"].as_array().map_or(0, Vec::len) + 1;
        let all = || fleet.real.iter().all(|r| known(r) >= fleet.real.len());
        if !wait_until(REPLY_TIMEOUT, all) {
            eprintln!("the real proxies do not all know each other after {REPLY_TIMEOUT:?}");
        }
        fleet
    }

    /// Starts all lightweight proxies, `batch_size` of each worker at a time with a pause after each batch, and waits until
    /// every proxy knows all others.
    pub fn join(&mut self, batch_size: u32, pause: Duration, timeout: Duration) -> Convergence {
        let begun = Instant::now();
        let longest = self
            .links
            .iter()
            .map(|l| l.proxies.len() as u32)
            .max()
            .unwrap_or(0);
        for from in (0..longest).step_by(batch_size as usize) {
            let part = |link: &WorkerLink| {
                let part = link
                    .proxies
                    .iter()
                    .skip(from as usize)
                    .take(batch_size as usize);
                Command::Start(part.copied().collect())
            };
            self.send_each(part);
            std::thread::sleep(pause);
        }
        self.wait_converged(begun, timeout)
    }

    /// Waits until each lightweight proxy knows all others of the plan, or until `timeout` after `since`.
    pub fn wait_converged(&mut self, since: Instant, timeout: Duration) -> Convergence {
        let size = u64::from(self.plan.size);
        let mut near_s = None;
        loop {
            let unknown: u64 = self.samples().iter().map(|s| s.unknown_members).sum();
            let seconds = since.elapsed().as_secs_f64();
            if unknown * NEARLY_DIVISOR <= size * size {
                near_s = near_s.or(Some(seconds));
            }
            let full_s = (unknown == 0).then_some(seconds);
            if full_s.is_some() || since.elapsed() > timeout {
                return Convergence { full_s, near_s };
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Sends each worker its own command and waits for all replies.
    fn send_each(&mut self, command: impl Fn(&WorkerLink) -> Command) -> Vec<Reply> {
        for link in &mut self.links {
            let command = command(link);
            link.send(&command);
        }
        self.links.iter().map(WorkerLink::reply).collect()
    }

    /// Starts these lightweight proxies; returns the time in microseconds.
    pub fn start(&mut self, proxies: &[u32]) -> u64 {
        self.send_to_owners(proxies, Command::Start)
    }

    /// Stops these lightweight proxies; with `leave` they announce it. Returns the time in microseconds.
    pub fn stop(&mut self, proxies: &[u32], leave: bool) -> u64 {
        self.send_to_owners(proxies, |proxies| Command::Stop { proxies, leave })
    }

    /// Sends a command about these proxies to their workers. Returns the time at which the last worker had executed its own.
    fn send_to_owners(&mut self, proxies: &[u32], command: impl Fn(Vec<u32>) -> Command) -> u64 {
        self.send_each(|link| {
            command(
                proxies
                    .iter()
                    .copied()
                    .filter(|n| link.proxies.contains(n))
                    .collect(),
            )
        });
        mono_us()
    }

    /// Sets the injected faults; returns the time in microseconds.
    pub fn set_faults(&mut self, faults: Faults) -> u64 {
        self.set_conditions(Conditions {
            faults,
            ..self.conditions
        })
    }

    /// Sets which proxy is isolated; returns the time in microseconds.
    pub fn isolate(&mut self, isolation: Isolation) -> u64 {
        self.set_conditions(Conditions {
            isolation,
            ..self.conditions
        })
    }

    /// Sets the network conditions at the workers and the relays; returns the time in microseconds.
    fn set_conditions(&mut self, conditions: Conditions) -> u64 {
        self.conditions = conditions;
        *self.shared.lock().expect("the lock is not poisoned") = conditions;
        self.send_each(|_| Command::Conditions(conditions));
        mono_us()
    }

    /// Sets the load of all lightweight proxies, or stops it.
    pub fn set_load(&mut self, load: Option<Load>) {
        self.send_each(|_| Command::Load(load));
    }

    /// Makes a lightweight proxy broadcast a probe verdict. Returns the probe's number and the time in microseconds.
    pub fn probe(&mut self, proxy: u32) -> (u32, u64) {
        self.probes += 1;
        let (number, at) = (self.probes, mono_us());
        if let Some(link) = self.links.iter_mut().find(|l| l.proxies.contains(&proxy)) {
            link.send(&Command::Probe { proxy, number });
            link.reply();
        }
        (number, at)
    }

    /// Prepares a change of a new entry that is based on version `base`. Returns the change's number, and the request line
    /// and body that set the entry.
    pub fn prepare_change(&mut self, base: u64) -> (u32, String, String) {
        self.probes += 1;
        let (number, name) = (self.probes, light_proxy::change_name(self.probes));
        let body =
            format!(r#"{{"version":{base},"value":{{"name":"{name}","quota_rps":{number}.5}}}}"#);
        (number, format!("PUT /config/tenants/{name}"), body)
    }

    /// Requests a change of one entry at a real proxy's control address, based on version `base`, which is then set to the new
    /// version. Returns the reason if the change was not accepted.
    pub fn change(&mut self, index: usize, base: &mut u64) -> Result<AcceptedChange, String> {
        let (number, line, body) = self.prepare_change(*base);
        let requested_us = mono_us();
        let answer = self.real[index % self.real.len()]
            .call(&line, &body)
            .ok_or("no response")?;
        let response: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let rejection = || {
            format!(
                "{}: {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body).trim()
            )
        };
        let accepted = response["version"]
            .as_u64()
            .filter(|_| answer.status() == 200);
        let version = accepted.ok_or_else(rejection)?;
        *base = version;
        Ok(AcceptedChange {
            number,
            version,
            requested_us,
            answered_us: mono_us(),
        })
    }

    /// The newest configuration version that a real proxy reports.
    pub fn newest_version(&self) -> u64 {
        let version = |r: &RealProxy| r.json("/config")["version"].as_u64().unwrap_or(0);
        self.real.iter().map(version).max().unwrap_or(0)
    }

    /// By the number of a change, the milliseconds until it was active at the last of the selected real proxies; `None` if it
    /// is missing at one of them.
    pub fn slowest_real_activations(
        &self,
        changes: &[AcceptedChange],
        selected: impl Fn(&RealProxy) -> bool,
    ) -> BTreeMap<u32, Option<u32>> {
        let mut slowest = BTreeMap::new();
        for activations in self
            .real
            .iter()
            .filter(|r| selected(r))
            .map(RealProxy::activations)
        {
            for change in changes {
                let at = activations
                    .iter()
                    .find(|(version, _)| *version >= change.version);
                let ms = at.map(|(_, at)| (at.saturating_sub(change.requested_us) / 1000) as u32);
                activation::merge_slowest(&mut slowest, change.number, ms);
            }
        }
        slowest
    }

    /// The index of the real proxy that holds the configuration's duty with a token above the given one, and its token.
    pub fn holder(
        &self,
        above: Option<&lease_history::Token>,
    ) -> Option<(usize, lease_history::Token)> {
        let incarnations: Vec<_> = self.real.iter().flat_map(RealProxy::incarnations).collect();
        let all = lease_history::duty_holdings("config", &incarnations);
        let current = all
            .iter()
            .rfind(|h| h.to == u64::MAX && above.is_none_or(|above| h.token > *above))?;
        let index = self
            .real
            .iter()
            .position(|r| r.number as usize == current.proxy)?;
        Some((index, current.token.clone()))
    }

    /// Checks the logs of all real proxies: each version has one content, no replica returns to an older version, and only one
    /// proxy holds a duty at a time. Returns the violations.
    pub fn consistency_violations(&self) -> Vec<String> {
        let incarnations: Vec<_> = self.real.iter().flat_map(RealProxy::incarnations).collect();
        let mut violations = lease_history::lease_violations(&incarnations);
        let mut digests: HashMap<u64, String> = HashMap::new();
        for incarnation in &incarnations {
            let mut last = 0;
            for line in lease_history::event_lines(&incarnation.log, "config_copy") {
                let Some(version) = lease_history::number_field(line, "version") else {
                    continue;
                };
                let digest = lease_history::log_field(line, "digest").unwrap_or_default();
                if version <= last {
                    violations.push(format!(
                        "the replica of proxy {} went from version {last} to {version}",
                        incarnation.proxy
                    ));
                }
                last = version;
                if digests.entry(version).or_insert(digest.into()) != digest {
                    violations.push(format!("version {version} has two digests"));
                }
            }
            violations.extend(
                lease_history::event_lines(&incarnation.log, "config_diverged").map(String::from),
            );
        }
        violations
    }

    /// The lowest and the highest configuration version among the lightweight proxies.
    pub fn light_versions(&mut self) -> (u64, u64) {
        let all = self.samples();
        all.iter().fold((u64::MAX, 0), |(low, high), s| {
            (low.min(s.versions.0), high.max(s.versions.1))
        })
    }

    /// Whether all lightweight and the selected real proxies have this version active or a newer one.
    pub fn all_reached(&mut self, version: u64, selected: impl Fn(&RealProxy) -> bool) -> bool {
        self.real
            .iter()
            .filter(|r| selected(r))
            .all(|r| r.active_version() >= version)
            && self.light_versions().0 >= version
    }

    /// The counters of all workers.
    pub fn samples(&mut self) -> Vec<Sample> {
        let replies = self.send_each(|_| Command::Sample);
        replies
            .into_iter()
            .filter_map(|r| {
                if let Reply::Sample(s) = r {
                    Some(s)
                } else {
                    None
                }
            })
            .collect()
    }

    /// What the lightweight proxies detected of these events; see [`Command::Observations`].
    pub fn observations(
        &mut self,
        since: u64,
        absences: &[Absence],
        probes: &[(u32, u64)],
        cut: Option<Cut>,
    ) -> Observations {
        let (absences, probes) = (absences.to_vec(), probes.to_vec());
        let command = Command::Observations {
            since,
            absences,
            probes,
            cut,
        };
        let mut all = Observations::default();
        let mut hists = [(); 3].map(|()| BTreeMap::<u32, u32>::new());
        for r in self.send_each(|_| command.clone()) {
            let Reply::Observed(one) = r else { continue };
            one.slowest
                .iter()
                .for_each(|(n, ms)| activation::merge_slowest(&mut all.slowest, *n, *ms));
            for (hist, part) in hists.iter_mut().zip([one.down, one.up, one.received]) {
                part.into_iter()
                    .for_each(|(ms, n)| *hist.entry(ms).or_default() += n);
            }
            all.down_missing += one.down_missing;
            all.up_missing += one.up_missing;
            all.received_missing += one.received_missing;
            all.false_downs += one.false_downs;
        }
        let [down, up, received] = hists.map(|hist| hist.into_iter().collect());
        Observations {
            down,
            up,
            received,
            ..all
        }
    }

    /// Reads all counters.
    pub fn measure(&mut self) -> Measurement {
        let real = self.real.iter().map(RealProxy::sample).collect();
        let light = self.samples();
        Measurement {
            at: Instant::now(),
            light,
            real,
            machine: report::Machine::now(),
        }
    }

    /// Sends requests to the real proxies until `end`, at the load's rate but at most ten a second each.
    pub fn load_real_proxies(&self, load: Load, end: Instant) {
        let pause = Duration::from_secs_f64(1.0 / load.per_second.min(10.0));
        for at in self.real.iter().map(|r| r.proxy.address) {
            std::thread::spawn(move || {
                let mut client = Client::connect(at);
                while Instant::now() < end {
                    client.request(&rig::read_request(3.0));
                    std::thread::sleep(pause);
                }
            });
        }
    }

    /// Starts clients of the last `count` real proxies that don't vote, each at `per_second` requests a second. They run until
    /// [`Fleet::stop_clients`].
    pub fn start_clients(&mut self, count: usize, per_second: f64) {
        self.clients_running.store(true, Relaxed);
        for real in self
            .real
            .iter_mut()
            .rev()
            .filter(|r| !r.is_voter)
            .take(count)
        {
            real.has_clients = true;
            let requests: Vec<String> = (0..1000).map(|n| self.launch.request(n)).collect();
            let (at, clients_running, pause) = (
                real.proxy.address,
                self.clients_running.clone(),
                Duration::from_secs_f64(1.0 / per_second),
            );
            std::thread::spawn(move || {
                let mut client = Client::connect(at);
                for request in requests.iter().cycle() {
                    std::thread::sleep(pause);
                    if !clients_running.load(Relaxed) {
                        return;
                    }
                    client.send(request);
                    if client.response().is_none() {
                        client = Client::connect(at);
                    }
                }
            });
        }
    }

    /// Stops the clients that [`Fleet::start_clients`] started.
    pub fn stop_clients(&mut self) {
        self.clients_running.store(false, Relaxed);
        self.real.iter_mut().for_each(|r| r.has_clients = false);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop_clients();
    }
}

/// A currently free UDP port; all proxies of a run use it on their own addresses.
fn free_port() -> u16 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free UDP port");
    socket.local_addr().expect("a local address").port()
}
