//! The conductor's side: workers with hollow proxies, real proxies beside them, and what is asked of all.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::light_proxy::mono_us;
use super::plan::Plan;
use super::protocol::{
    Absence, Command, Conditions, Cut, Faults, Isolation, Learned, Load, Reply, Sample,
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

/// No answer of a worker takes as long, however busy the machine is.
const PATIENCE: Duration = Duration::from_secs(60);
/// Backends that proxies know, of which the first so many are dead, and requests a second at each under trouble.
pub const FAILING_BACKENDS: Load = Load {
    backends: 9,
    dead: 3,
    per_second: 4.0,
};
/// The same in a service of the plan's mean size, at the plan's peak.
pub const PEAK_LOAD: Load = Load {
    backends: 43,
    dead: 3,
    per_second: 117.0,
};

/// Where a worker is.
enum WorkerTransport {
    Process(Child, ChildStdin),
    Thread(UnboundedSender<Command>),
}

struct WorkerLink {
    transport: WorkerTransport,
    replies: Receiver<Reply>,
    /// The numbers of the proxies that the worker runs.
    proxies: Vec<u32>,
}

impl WorkerLink {
    /// This executable once more, as a worker.
    fn process(proxies: Vec<u32>) -> WorkerLink {
        let own = std::env::current_exe().expect("this executable");
        let mut command = std::process::Command::new(own);
        let piped = command
            .arg(super::WORKER_ARG)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = piped.spawn().expect("a worker");
        let (input, output) = (
            child.stdin.take().expect("piped"),
            child.stdout.take().expect("piped"),
        );
        let (tell, replies) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let reply =
                    serde_json::from_str(&line).unwrap_or_else(|e| Reply::Failed(e.to_string()));
                if tell.send(reply).is_err() {
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

    fn thread(proxies: Vec<u32>) -> WorkerLink {
        let (tell, replies) = channel();
        let (sender, commands) = tokio::sync::mpsc::unbounded_channel();
        std::thread::spawn(move || {
            worker::run(commands, |reply| {
                let _ = tell.send(reply); // who asked may be gone
            });
        });
        WorkerLink {
            transport: WorkerTransport::Thread(sender),
            replies,
            proxies,
        }
    }

    fn send(&mut self, command: &Command) {
        match &mut self.transport {
            WorkerTransport::Process(_, input) => {
                let line = serde_json::to_string(command).expect("plain data") + "\n";
                input.write_all(line.as_bytes()).expect("a live worker");
            }
            WorkerTransport::Thread(sender) => sender.send(command.clone()).expect("a live worker"),
        }
    }

    fn reply(&self) -> Reply {
        match self.replies.recv_timeout(PATIENCE).expect("an answer") {
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

/// How a fleet is put together.
#[derive(Clone, Copy)]
pub struct FleetOptions {
    pub size: u32,
    pub seed: u64,
    /// Of `size`, so many are real processes, even over the zones: all others join through them, and up to five vote on duties.
    pub real: u32,
    /// These have the plan's whole file, or a small one.
    pub full: bool,
    /// Hollow proxies to a worker.
    pub proxies_per_worker: u32,
    /// Workers are threads of this process.
    pub threads: bool,
}

pub struct Fleet {
    pub plan: Plan,
    pub real: Vec<RealProxy>,
    pub launch: LaunchConfig,
    /// Resident kB of the program with the smallest file.
    pub smallest_kb: u64,
    links: Vec<WorkerLink>,
    conditions: Conditions,
    /// The same for the relays.
    shared: SharedConditions,
    /// Clients of real ones go on.
    clients_running: Arc<AtomicBool>,
    probes: u32,
}

/// A change that was taken: its number, its version, and when it was asked for and answered.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedChange {
    pub number: u32,
    pub version: u64,
    pub requested_us: u64,
    pub answered_us: u64,
}

/// Seconds until all knew all, and until they lacked no more than one pair in [`NEARLY_DIVISOR`]; `None` where that did not
/// come in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Convergence {
    pub full_s: Option<f64>,
    pub nearly_s: Option<f64>,
}

const NEARLY_DIVISOR: u64 = 1000;

/// All that is counted at one moment.
pub struct Measurement {
    pub at: Instant,
    pub light: Vec<Sample>,
    pub real: Vec<RealSample>,
    pub machine: report::Machine,
}

impl Fleet {
    /// Starts the real ones, one after the other, and the workers; hollow proxies start with [`Fleet::join`].
    pub fn new(shape: FleetOptions) -> Fleet {
        let FleetOptions {
            size,
            seed,
            real,
            full,
            proxies_per_worker,
            threads,
        } = shape;
        let plan = Plan {
            size,
            port: free_port(),
            seed,
        };
        let numbers = plan.real(real);
        let votes = real::voter_positions(real);
        let voters: Vec<SocketAddr> = votes
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
            RealProxy::start(&launch, n, *number, votes.contains(&n), shared.clone())
        };
        let started: Vec<RealProxy> = (0..).zip(&numbers).map(start).collect();
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
        let said = Command::Plan {
            plan,
            seeds,
            voters,
            cluster: CLUSTER.into(),
            max_age_s: MAX_AGE_S,
        };
        links.iter_mut().for_each(|link| link.send(&said));
        links.iter().for_each(|link| drop(link.reply()));
        let (conditions, clients_running) = (Conditions::default(), Arc::default());
        let fleet = Fleet {
            plan,
            real: started,
            launch,
            smallest_kb,
            links,
            conditions,
            shared,
            clients_running,
            probes: 0,
        };
        let met = |r: &RealProxy| r.json("/peers")["members"].as_array().map_or(0, Vec::len) + 1;
        let all = || fleet.real.iter().all(|r| met(r) >= fleet.real.len());
        if !wait_until(PATIENCE, all) {
            eprintln!("the real ones do not know each other yet");
        }
        fleet
    }

    /// Starts all hollow proxies, so many of each worker at a time, and waits until all know all.
    pub fn join(&mut self, wave: u32, pause: Duration, patience: Duration) -> Convergence {
        let begun = Instant::now();
        let longest = self
            .links
            .iter()
            .map(|l| l.proxies.len() as u32)
            .max()
            .unwrap_or(0);
        for from in (0..longest).step_by(wave as usize) {
            let part = |link: &WorkerLink| {
                let part = link.proxies.iter().skip(from as usize).take(wave as usize);
                Command::Start(part.copied().collect())
            };
            self.send_each(part);
            std::thread::sleep(pause);
        }
        self.wait_converged(begun, patience)
    }

    /// Waits until each hollow proxy knows all others of the plan, but no longer than so long from then.
    pub fn wait_converged(&mut self, since: Instant, patience: Duration) -> Convergence {
        let size = u64::from(self.plan.size);
        let mut nearly_s = None;
        loop {
            let lacking: u64 = self.samples().iter().map(|s| s.lacking).sum();
            let seconds = since.elapsed().as_secs_f64();
            if lacking * NEARLY_DIVISOR <= size * size {
                nearly_s = nearly_s.or(Some(seconds));
            }
            let full_s = (lacking == 0).then_some(seconds);
            if full_s.is_some() || since.elapsed() > patience {
                return Convergence { full_s, nearly_s };
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Says something of its own to each worker, and waits for all.
    fn send_each(&mut self, command: impl Fn(&WorkerLink) -> Command) -> Vec<Reply> {
        for link in &mut self.links {
            let command = command(link);
            link.send(&command);
        }
        self.links.iter().map(WorkerLink::reply).collect()
    }

    pub fn start(&mut self, who: &[u32]) -> u64 {
        self.send_to_owners(who, Command::Start)
    }

    pub fn stop(&mut self, who: &[u32], leave: bool) -> u64 {
        self.send_to_owners(who, |who| Command::Stop { who, leave })
    }

    /// Tells the workers of these; when that was done at the last one.
    fn send_to_owners(&mut self, who: &[u32], command: impl Fn(Vec<u32>) -> Command) -> u64 {
        self.send_each(|link| {
            command(
                who.iter()
                    .copied()
                    .filter(|n| link.proxies.contains(n))
                    .collect(),
            )
        });
        mono_us()
    }

    pub fn set_faults(&mut self, faults: Faults) -> u64 {
        self.set_conditions(Conditions {
            faults,
            ..self.conditions
        })
    }

    pub fn isolate(&mut self, isolation: Isolation) -> u64 {
        self.set_conditions(Conditions {
            isolation,
            ..self.conditions
        })
    }

    fn set_conditions(&mut self, conditions: Conditions) -> u64 {
        self.conditions = conditions;
        *self.shared.lock().expect("no panic under it") = conditions;
        self.send_each(|_| Command::Conditions(conditions));
        mono_us()
    }

    pub fn set_load(&mut self, load: Option<Load>) {
        self.send_each(|_| Command::Load(load));
    }

    /// Lets that hollow proxy tell a probe; its number and when that was.
    pub fn probe(&mut self, proxy: u32) -> (u32, u64) {
        self.probes += 1;
        let (number, at) = (self.probes, mono_us());
        if let Some(link) = self.links.iter_mut().find(|l| l.proxies.contains(&proxy)) {
            link.send(&Command::Probe { proxy, number });
            link.reply();
        }
        (number, at)
    }

    /// The entry of a change of its own, and the call that sets it from that version.
    pub fn prepare_change(&mut self, from: u64) -> (u32, String, String) {
        self.probes += 1;
        let (number, name) = (self.probes, light_proxy::change_name(self.probes));
        let body =
            format!(r#"{{"version":{from},"value":{{"name":"{name}","quota_rps":{number}.5}}}}"#);
        (number, format!("PUT /config/tenants/{name}"), body)
    }

    /// Asks a real proxy's door to change one entry, from the version that it is at, or why not.
    pub fn change(&mut self, at: usize, from: &mut u64) -> Result<AcceptedChange, String> {
        let (number, line, body) = self.prepare_change(*from);
        let requested_us = mono_us();
        let answer = self.real[at % self.real.len()]
            .call(&line, &body)
            .ok_or("no answer")?;
        let said: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let refused = || {
            format!(
                "{}: {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body).trim()
            )
        };
        let taken = said["version"].as_u64().filter(|_| answer.status() == 200);
        let version = taken.ok_or_else(refused)?;
        *from = version;
        Ok(AcceptedChange {
            number,
            version,
            requested_us,
            answered_us: mono_us(),
        })
    }

    /// The newest version at a real proxy's door.
    pub fn newest_version(&self) -> u64 {
        let version = |r: &RealProxy| r.json("/config")["version"].as_u64().unwrap_or(0);
        self.real.iter().map(version).max().unwrap_or(0)
    }

    /// Milliseconds until each change was in force at the last of these real ones, `None` where it is not at some.
    pub fn slowest_real_activations(
        &self,
        changes: &[AcceptedChange],
        of: impl Fn(&RealProxy) -> bool,
    ) -> BTreeMap<u32, Option<u32>> {
        let mut slowest = BTreeMap::new();
        for came in self
            .real
            .iter()
            .filter(|r| of(r))
            .map(RealProxy::activations)
        {
            for change in changes {
                let at = came.iter().find(|(version, _)| *version >= change.version);
                let ms = at.map(|(_, at)| (at.saturating_sub(change.requested_us) / 1000) as u32);
                activation::merge_slowest(&mut slowest, change.number, ms);
            }
        }
        slowest
    }

    /// Which real one holds the configuration's duty under a token above that one, and its token.
    pub fn holder(
        &self,
        above: Option<&lease_history::Token>,
    ) -> Option<(usize, lease_history::Token)> {
        let lives: Vec<_> = self.real.iter().flat_map(RealProxy::incarnations).collect();
        let all = lease_history::duty_holdings("config", &lives);
        let now = all
            .iter()
            .rfind(|h| h.to == u64::MAX && above.is_none_or(|above| h.token > *above))?;
        let at = self
            .real
            .iter()
            .position(|r| r.number as usize == now.proxy)?;
        Some((at, now.token.clone()))
    }

    /// What contradicts that a version has one content, that no copy goes back, and that one holds the duty at a time.
    pub fn consistency_violations(&self) -> Vec<String> {
        let lives: Vec<_> = self.real.iter().flat_map(RealProxy::incarnations).collect();
        let mut wrong = lease_history::lease_violations(&lives);
        let mut digests: HashMap<u64, String> = HashMap::new();
        for life in &lives {
            let mut last = 0;
            for line in lease_history::event_lines(&life.log, "config_copy") {
                let Some(version) = lease_history::number_field(line, "version") else {
                    continue;
                };
                let digest = lease_history::log_field(line, "digest").unwrap_or_default();
                if version <= last {
                    wrong.push(format!(
                        "proxy {} went from {last} to {version}",
                        life.proxy
                    ));
                }
                last = version;
                if digests.entry(version).or_insert(digest.into()) != digest {
                    wrong.push(format!("two states have version {version}"));
                }
            }
            wrong
                .extend(lease_history::event_lines(&life.log, "config_diverged").map(String::from));
        }
        wrong
    }

    pub fn light_versions(&mut self) -> (u64, u64) {
        let all = self.samples();
        all.iter().fold((u64::MAX, 0), |(low, high), s| {
            (low.min(s.versions.0), high.max(s.versions.1))
        })
    }

    /// Whether every copy, of hollow proxies and of these real ones, is at that version or above.
    pub fn all_reached(&mut self, version: u64, of: impl Fn(&RealProxy) -> bool) -> bool {
        self.real
            .iter()
            .filter(|r| of(r))
            .all(|r| r.active_version() >= version)
            && self.light_versions().0 >= version
    }

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

    pub fn observations(
        &mut self,
        since: u64,
        absences: &[Absence],
        probes: &[(u32, u64)],
        cut: Option<Cut>,
    ) -> Learned {
        let (absences, probes) = (absences.to_vec(), probes.to_vec());
        let said = Command::Learned {
            since,
            absences,
            probes,
            cut,
        };
        let mut all = Learned::default();
        let mut hists = [(); 3].map(|()| BTreeMap::<u32, u32>::new());
        for reply in self.send_each(|_| said.clone()) {
            let Reply::Learned(one) = reply else { continue };
            one.slowest
                .iter()
                .for_each(|(n, ms)| activation::merge_slowest(&mut all.slowest, *n, *ms));
            for (hist, part) in hists.iter_mut().zip([one.gone, one.back, one.heard]) {
                part.into_iter()
                    .for_each(|(ms, n)| *hist.entry(ms).or_default() += n);
            }
            all.gone_missing += one.gone_missing;
            all.back_missing += one.back_missing;
            all.heard_missing += one.heard_missing;
            all.false_downs += one.false_downs;
        }
        let [gone, back, heard] = hists.map(|hist| hist.into_iter().collect());
        Learned {
            gone,
            back,
            heard,
            ..all
        }
    }

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

    /// Asks the real ones as often as the load says, but no more than ten times a second, until that time.
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

    /// Lets clients ask the last so many real ones that do not vote, so often a second each, until [`Fleet::calm`].
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

/// A port that nobody has now, for all addresses of a run.
fn free_port() -> u16 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").port()
}
