//! The conductor's side: workers with hollow proxies, real proxies beside them, and what is asked of all.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::hollow::mono_us;
use super::plan::Plan;
use super::protocol::{
    Absence, Command, Conditions, Cut, Faults, Isolation, Learned, Load, Reply, Sample,
};
use super::real::{self, wait, Real, RealProxy, Recipe, CLUSTER, MAX_AGE_S};
use super::relay::Shared;
use super::rig::{lease_history, Client};
use super::{figures, hollow, in_force, rig, worker};
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
pub const TROUBLE: Load = Load {
    backends: 9,
    dead: 3,
    per_second: 4.0,
};
/// The same in a service of the plan's mean size, at the plan's peak.
pub const STORM: Load = Load {
    backends: 43,
    dead: 3,
    per_second: 117.0,
};

/// Where a worker is.
enum Seat {
    Process(Child, ChildStdin),
    Thread(UnboundedSender<Command>),
}

struct Link {
    seat: Seat,
    replies: Receiver<Reply>,
    /// Its proxies.
    of: Vec<u32>,
}

impl Link {
    /// This executable once more, as a worker.
    fn process(of: Vec<u32>) -> Link {
        let own = std::env::current_exe().expect("this executable");
        let mut command = std::process::Command::new(own);
        let piped = command
            .arg(super::HIDDEN)
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
        Link {
            seat: Seat::Process(child, input),
            replies,
            of,
        }
    }

    fn thread(of: Vec<u32>) -> Link {
        let (tell, replies) = channel();
        let (say, commands) = tokio::sync::mpsc::unbounded_channel();
        std::thread::spawn(move || {
            worker::run(commands, |reply| {
                let _ = tell.send(reply); // who asked may be gone
            });
        });
        Link {
            seat: Seat::Thread(say),
            replies,
            of,
        }
    }

    fn say(&mut self, command: &Command) {
        match &mut self.seat {
            Seat::Process(_, input) => {
                let line = serde_json::to_string(command).expect("plain data") + "\n";
                input.write_all(line.as_bytes()).expect("a live worker");
            }
            Seat::Thread(say) => say.send(command.clone()).expect("a live worker"),
        }
    }

    fn reply(&self) -> Reply {
        match self.replies.recv_timeout(PATIENCE).expect("an answer") {
            Reply::Failed(why) => panic!("a worker failed: {why}"),
            reply => reply,
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Seat::Process(child, _) = &mut self.seat {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// How a fleet is put together.
#[derive(Clone, Copy)]
pub struct Shape {
    pub size: u32,
    pub seed: u64,
    /// Of `size`, so many are real processes, even over the zones: all others join through them, and up to five vote on duties.
    pub real: u32,
    /// These have the plan's whole file, or a small one.
    pub full: bool,
    /// Hollow proxies to a worker.
    pub each: u32,
    /// Workers are threads of this process.
    pub threads: bool,
}

pub struct Fleet {
    pub plan: Plan,
    pub real: Vec<RealProxy>,
    pub recipe: Recipe,
    /// Resident kB of the program with the smallest file.
    pub smallest_kb: u64,
    links: Vec<Link>,
    conditions: Conditions,
    /// The same for the relays.
    shared: Shared,
    /// Clients of real ones go on.
    asking: Arc<AtomicBool>,
    probes: u32,
}

/// A change that was taken: its number, its version, and when it was asked for and answered.
#[derive(Clone, Copy, Debug)]
pub struct Changed {
    pub number: u32,
    pub version: u64,
    pub asked: u64,
    pub answered: u64,
}

/// Seconds until all knew all, and until they lacked no more than one pair in [`NEARLY`]; `None` where that did not
/// come in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Whole {
    pub all_s: Option<f64>,
    pub nearly_s: Option<f64>,
}

const NEARLY: u64 = 1000;

/// All that is counted at one moment.
pub struct Moment {
    pub at: Instant,
    pub hollow: Vec<Sample>,
    pub real: Vec<Real>,
    pub machine: figures::Machine,
}

impl Fleet {
    /// Starts the real ones, one after the other, and the workers; hollow proxies start with [`Fleet::join`].
    pub fn new(shape: Shape) -> Fleet {
        let Shape {
            size,
            seed,
            real,
            full,
            each,
            threads,
        } = shape;
        let plan = Plan {
            size,
            port: free_port(),
            seed,
        };
        let numbers = plan.real(real);
        let votes = real::voting(real);
        let voters: Vec<SocketAddr> = votes
            .iter()
            .map(|n| plan.address(numbers[*n as usize]))
            .collect();
        let seeds: Vec<SocketAddr> = match numbers.as_slice() {
            [] => (0..size.min(3)).map(|n| plan.address(n)).collect(),
            numbers => numbers.iter().map(|n| plan.address(*n)).collect(),
        };
        let recipe = Recipe::new(plan, &seeds, &voters, full, TROUBLE.backends, TROUBLE.dead);
        let smallest_kb = if real > 0 { real::smallest_kb() } else { 0 };
        let shared = Shared::default();
        let start = |(n, number): (u32, &u32)| {
            RealProxy::start(&recipe, n, *number, votes.contains(&n), shared.clone())
        };
        let started: Vec<RealProxy> = (0..).zip(&numbers).map(start).collect();
        let hollow: Vec<u32> = (0..size).filter(|n| !numbers.contains(n)).collect();
        let parts = hollow.chunks(each as usize).map(<[u32]>::to_vec);
        let mut links: Vec<Link> = parts
            .map(|of| {
                if threads {
                    Link::thread(of)
                } else {
                    Link::process(of)
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
        links.iter_mut().for_each(|link| link.say(&said));
        links.iter().for_each(|link| drop(link.reply()));
        let (conditions, asking) = (Conditions::default(), Arc::default());
        let fleet = Fleet {
            plan,
            real: started,
            recipe,
            smallest_kb,
            links,
            conditions,
            shared,
            asking,
            probes: 0,
        };
        let met = |r: &RealProxy| r.json("/peers")["members"].as_array().map_or(0, Vec::len) + 1;
        let all = || fleet.real.iter().all(|r| met(r) >= fleet.real.len());
        if !wait(PATIENCE, all) {
            eprintln!("the real ones do not know each other yet");
        }
        fleet
    }

    /// Starts all hollow proxies, so many of each worker at a time, and waits until all know all.
    pub fn join(&mut self, wave: u32, pause: Duration, patience: Duration) -> Whole {
        let begun = Instant::now();
        let longest = self
            .links
            .iter()
            .map(|l| l.of.len() as u32)
            .max()
            .unwrap_or(0);
        for from in (0..longest).step_by(wave as usize) {
            let part = |link: &Link| {
                let part = link.of.iter().skip(from as usize).take(wave as usize);
                Command::Start(part.copied().collect())
            };
            self.each(part);
            std::thread::sleep(pause);
        }
        self.whole(begun, patience)
    }

    /// Waits until each hollow proxy knows all others of the plan, but no longer than so long from then.
    pub fn whole(&mut self, since: Instant, patience: Duration) -> Whole {
        let size = u64::from(self.plan.size);
        let mut nearly_s = None;
        loop {
            let lacking: u64 = self.samples().iter().map(|s| s.lacking).sum();
            let seconds = since.elapsed().as_secs_f64();
            if lacking * NEARLY <= size * size {
                nearly_s = nearly_s.or(Some(seconds));
            }
            let all_s = (lacking == 0).then_some(seconds);
            if all_s.is_some() || since.elapsed() > patience {
                return Whole { all_s, nearly_s };
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Says something of its own to each worker, and waits for all.
    fn each(&mut self, command: impl Fn(&Link) -> Command) -> Vec<Reply> {
        for link in &mut self.links {
            let command = command(link);
            link.say(&command);
        }
        self.links.iter().map(Link::reply).collect()
    }

    pub fn start(&mut self, who: &[u32]) -> u64 {
        self.of(who, Command::Start)
    }

    pub fn stop(&mut self, who: &[u32], leave: bool) -> u64 {
        self.of(who, |who| Command::Stop { who, leave })
    }

    /// Tells the workers of these; when that was done at the last one.
    fn of(&mut self, who: &[u32], command: impl Fn(Vec<u32>) -> Command) -> u64 {
        self.each(|link| {
            command(
                who.iter()
                    .copied()
                    .filter(|n| link.of.contains(n))
                    .collect(),
            )
        });
        mono_us()
    }

    pub fn faults(&mut self, faults: Faults) -> u64 {
        self.conditions(Conditions {
            faults,
            ..self.conditions
        })
    }

    pub fn isolate(&mut self, isolation: Isolation) -> u64 {
        self.conditions(Conditions {
            isolation,
            ..self.conditions
        })
    }

    fn conditions(&mut self, conditions: Conditions) -> u64 {
        self.conditions = conditions;
        *self.shared.lock().expect("no panic under it") = conditions;
        self.each(|_| Command::Conditions(conditions));
        mono_us()
    }

    pub fn load(&mut self, load: Option<Load>) {
        self.each(|_| Command::Load(load));
    }

    /// Lets that hollow proxy tell a probe; its number and when that was.
    pub fn probe(&mut self, proxy: u32) -> (u32, u64) {
        self.probes += 1;
        let (number, at) = (self.probes, mono_us());
        if let Some(link) = self.links.iter_mut().find(|l| l.of.contains(&proxy)) {
            link.say(&Command::Probe { proxy, number });
            link.reply();
        }
        (number, at)
    }

    /// The entry of a change of its own, and the call that sets it from that version.
    pub fn next_change(&mut self, from: u64) -> (u32, String, String) {
        self.probes += 1;
        let (number, name) = (self.probes, hollow::change(self.probes));
        let body =
            format!(r#"{{"version":{from},"value":{{"name":"{name}","quota_rps":{number}.5}}}}"#);
        (number, format!("PUT /config/tenants/{name}"), body)
    }

    /// Asks a real proxy's door to change one entry, from the version that it is at, or why not.
    pub fn change(&mut self, at: usize, from: &mut u64) -> Result<Changed, String> {
        let (number, line, body) = self.next_change(*from);
        let asked = mono_us();
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
        Ok(Changed {
            number,
            version,
            asked,
            answered: mono_us(),
        })
    }

    /// The newest version at a real proxy's door.
    pub fn version(&self) -> u64 {
        let version = |r: &RealProxy| r.json("/config")["version"].as_u64().unwrap_or(0);
        self.real.iter().map(version).max().unwrap_or(0)
    }

    /// Milliseconds until each change was in force at the last of these real ones, `None` where it is not at some.
    pub fn real_slowest(
        &self,
        changes: &[Changed],
        of: impl Fn(&RealProxy) -> bool,
    ) -> BTreeMap<u32, Option<u32>> {
        let mut slowest = BTreeMap::new();
        for came in self.real.iter().filter(|r| of(r)).map(RealProxy::came) {
            for change in changes {
                let at = came.iter().find(|(version, _)| *version >= change.version);
                let ms = at.map(|(_, at)| (at.saturating_sub(change.asked) / 1000) as u32);
                in_force::merge(&mut slowest, change.number, ms);
            }
        }
        slowest
    }

    /// Which real one holds the configuration's duty under a token above that one, and its token.
    pub fn holder(
        &self,
        above: Option<&lease_history::Token>,
    ) -> Option<(usize, lease_history::Token)> {
        let lives: Vec<_> = self.real.iter().flat_map(RealProxy::lives).collect();
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
    pub fn contradictions(&self) -> Vec<String> {
        let lives: Vec<_> = self.real.iter().flat_map(RealProxy::lives).collect();
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

    pub fn hollow_versions(&mut self) -> (u64, u64) {
        let all = self.samples();
        all.iter().fold((u64::MAX, 0), |(low, high), s| {
            (low.min(s.versions.0), high.max(s.versions.1))
        })
    }

    /// Whether every copy, of hollow proxies and of these real ones, is at that version or above.
    pub fn reached(&mut self, version: u64, of: impl Fn(&RealProxy) -> bool) -> bool {
        self.real
            .iter()
            .filter(|r| of(r))
            .all(|r| r.in_force() >= version)
            && self.hollow_versions().0 >= version
    }

    pub fn samples(&mut self) -> Vec<Sample> {
        let replies = self.each(|_| Command::Sample);
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

    pub fn learned(
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
        for reply in self.each(|_| said.clone()) {
            let Reply::Learned(one) = reply else { continue };
            one.slowest
                .iter()
                .for_each(|(n, ms)| in_force::merge(&mut all.slowest, *n, *ms));
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

    pub fn moment(&mut self) -> Moment {
        let real = self.real.iter().map(RealProxy::counts).collect();
        let hollow = self.samples();
        Moment {
            at: Instant::now(),
            hollow,
            real,
            machine: figures::Machine::now(),
        }
    }

    /// Asks the real ones as often as the load says, but no more than ten times a second, until that time.
    pub fn ask_real(&self, load: Load, end: Instant) {
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
    pub fn ask(&mut self, count: usize, per_second: f64) {
        self.asking.store(true, Relaxed);
        for real in self.real.iter_mut().rev().filter(|r| !r.votes).take(count) {
            real.asked = true;
            let requests: Vec<String> = (0..1000).map(|n| self.recipe.request(n)).collect();
            let (at, asking, pause) = (
                real.proxy.address,
                self.asking.clone(),
                Duration::from_secs_f64(1.0 / per_second),
            );
            std::thread::spawn(move || {
                let mut client = Client::connect(at);
                for request in requests.iter().cycle() {
                    std::thread::sleep(pause);
                    if !asking.load(Relaxed) {
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

    pub fn calm(&mut self) {
        self.asking.store(false, Relaxed);
        self.real.iter_mut().for_each(|r| r.asked = false);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.calm();
    }
}

/// A port that nobody has now, for all addresses of a run.
fn free_port() -> u16 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").port()
}
