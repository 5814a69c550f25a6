//! The conductor's side: workers with hollow proxies, real proxies beside them, and what is asked of all.

use super::hollow::mono_us;
use super::plan::Plan;
use super::protocol::{Absence, Command, Cut, Faults, Learned, Load, Reply, Sample};
use super::rig::{entry, folder, BackendServer, Client, Proxy, Refusing, SETTINGS};
use super::{figures, hollow, rig, worker};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

const CLUSTER: &str = "scale";
const MAX_AGE_S: f64 = 5.0;
/// No answer of a worker takes as long, however busy the machine is.
const PATIENCE: Duration = Duration::from_secs(60);
/// Backends that proxies know, of which the first so many are dead, and requests a second at each under trouble.
pub const TROUBLE: Load = Load { backends: 9, dead: 3, per_second: 4.0 };
/// The same in a service of the plan's mean size, at the plan's peak.
pub const STORM: Load = Load { backends: 43, dead: 3, per_second: 117.0 };

/// Where a worker is.
enum Seat {
    Process(Child, ChildStdin),
    Thread(UnboundedSender<Command>),
}

struct Link {
    seat: Seat,
    replies: Receiver<Reply>,
    /// Its proxies.
    of: std::ops::Range<u32>,
}

impl Link {
    /// This executable once more, as a worker.
    fn process(of: std::ops::Range<u32>) -> Link {
        let own = std::env::current_exe().expect("this executable");
        let mut command = std::process::Command::new(own);
        let piped = command.arg(super::HIDDEN).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = piped.spawn().expect("a worker");
        let (input, output) = (child.stdin.take().expect("piped"), child.stdout.take().expect("piped"));
        let (tell, replies) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let reply = serde_json::from_str(&line).unwrap_or_else(|e| Reply::Failed(e.to_string()));
                if tell.send(reply).is_err() {
                    return;
                }
            }
        });
        Link { seat: Seat::Process(child, input), replies, of }
    }

    fn thread(of: std::ops::Range<u32>) -> Link {
        let (tell, replies) = channel();
        let (say, commands) = tokio::sync::mpsc::unbounded_channel();
        std::thread::spawn(move || {
            worker::run(commands, |reply| {
                let _ = tell.send(reply); // who asked may be gone
            });
        });
        Link { seat: Seat::Thread(say), replies, of }
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
    /// Of `size`, so many are real processes: the first, which all others join through, and voters on duties.
    pub real: u32,
    /// Hollow proxies to a worker.
    pub each: u32,
    /// Workers are threads of this process.
    pub threads: bool,
}

pub struct Fleet {
    pub plan: Plan,
    pub real: Vec<Proxy>,
    links: Vec<Link>,
    /// Behind the real ones.
    backends: Option<(Vec<BackendServer>, Vec<Refusing>)>,
    probes: u32,
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
    /// Each real one's datagrams and bytes sent, facts told and heard, members, then processor time and memory.
    pub real: Vec<Real>,
    pub machine: figures::Machine,
}

#[derive(Clone, Copy)]
pub struct Real {
    pub sent: u64,
    pub bytes: u64,
    pub told: u64,
    pub heard: u64,
    pub members: u32,
    pub cpu_ns: u64,
    pub resident_kb: u64,
}

impl Fleet {
    /// Starts the real ones and the workers; hollow proxies start with [`Fleet::join`].
    pub fn new(shape: Shape) -> Fleet {
        let Shape { size, seed, real, each, threads } = shape;
        let plan = Plan { size, port: free_port(), seed };
        let starts = (real..size).step_by(each as usize);
        let ranges = starts.map(|from| from..(from + each).min(size));
        let mut links: Vec<Link> =
            ranges.map(|of| if threads { Link::thread(of) } else { Link::process(of) }).collect();
        let seeds: Vec<SocketAddr> = (0..real.max(3).min(size)).map(|n| plan.address(n)).collect();
        let voters = (0..real).map(|n| plan.address(n)).collect();
        let said = Command::Plan { plan, seeds, voters, cluster: CLUSTER.into(), max_age_s: MAX_AGE_S };
        links.iter_mut().for_each(|link| link.say(&said));
        links.iter().for_each(|link| drop(link.reply()));
        let mut fleet = Fleet { plan, real: Vec::new(), links, backends: None, probes: 0 };
        fleet.start_real(real);
        fleet
    }

    fn start_real(&mut self, count: u32) {
        if count == 0 {
            return;
        }
        let dead: Vec<Refusing> = (0..TROUBLE.dead).map(|_| Refusing::new()).collect();
        let live: Vec<BackendServer> =
            (TROUBLE.dead..TROUBLE.backends).map(|_| BackendServer::start(|_| rig::ok("x"))).collect();
        let at = dead.iter().map(Refusing::address).chain(live.iter().map(|b| b.address));
        let known: Vec<String> =
            at.enumerate().map(|(n, at)| entry(&format!("b{n}"), at, "SERVING")).collect();
        let all: Vec<String> = (0..count).map(|n| format!("\"{}\"", self.plan.address(n))).collect();
        let all = all.join(",");
        for n in 0..count {
            let group = format!(r#""position":{n},"group_size":{},"#, self.plan.size);
            let settings = SETTINGS.replace(r#""position":0,"group_size":1,"#, &group);
            let at = self.plan.address(n);
            let voters =
                if count % 2 == 1 { format!(r#","duties":{{"voters":[{all}]}}"#) } else { String::new() };
            let more = format!(
                r#","peers":{{"listen":"{at}","cluster":"{CLUSTER}","seeds":[{all}],"max_age_s":{MAX_AGE_S}}}{voters}"#
            );
            let tmp = ("TMPDIR", folder().to_str().expect("a name").to_string());
            let seed = self.plan.seed + u64::from(n) + 1;
            self.real.push(Proxy::seeded(seed, &known, &settings, &more, &[tmp]));
        }
        self.backends = Some((live, dead));
    }

    /// Starts all hollow proxies, so many of each worker at a time, and waits until all know all.
    pub fn join(&mut self, wave: u32, pause: Duration, patience: Duration) -> Whole {
        let begun = Instant::now();
        let longest = self.links.iter().map(|l| l.of.len() as u32).max().unwrap_or(0);
        for from in (0..longest).step_by(wave as usize) {
            let part = |link: &Link| {
                let at = |n: u32| (link.of.start + n).min(link.of.end);
                Command::Start((at(from)..at(from + wave)).collect())
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
        self.each(|link| command(who.iter().copied().filter(|n| link.of.contains(n)).collect()));
        mono_us()
    }

    pub fn faults(&mut self, faults: Faults) -> u64 {
        self.each(|_| Command::Faults(faults));
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

    /// Asks a real proxy's door to change one entry, from the version that it is at; the change's number, when it was
    /// asked and when it was answered, or why not.
    pub fn change(&mut self, at: usize, from: &mut u64) -> Result<(u32, u64, u64), String> {
        self.probes += 1;
        let (number, asked) = (self.probes, mono_us());
        let body = format!(r#"{{"version":{from},"value":{{"quota_rps":{number}.5}}}}"#);
        let head = format!("PUT /config/tenants/{} HTTP/1.1\r\nHost: door\r\n", hollow::change(number));
        let door = self.real[at % self.real.len()].control.ok_or("no door")?;
        let answer =
            Client::connect(door).ask(&format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
        let said: serde_json::Value = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
        *from = said["version"].as_u64().ok_or(format!("{}: {said}", answer.status()))?;
        Ok((number, asked, mono_us()))
    }

    /// The version at a real proxy's door.
    pub fn version(&self) -> u64 {
        let said = self.real.first().map(|p| p.call("GET /config").body).unwrap_or_default();
        let said: serde_json::Value = serde_json::from_slice(&said).unwrap_or_default();
        said["version"].as_u64().unwrap_or(0)
    }

    pub fn samples(&mut self) -> Vec<Sample> {
        let replies = self.each(|_| Command::Sample);
        replies.into_iter().filter_map(|r| if let Reply::Sample(s) = r { Some(s) } else { None }).collect()
    }

    pub fn learned(
        &mut self, since: u64, absences: &[Absence], probes: &[(u32, u64)], cut: Option<Cut>,
    ) -> Learned {
        let (absences, probes) = (absences.to_vec(), probes.to_vec());
        let said = Command::Learned { since, absences, probes, cut };
        let mut all = Learned::default();
        let mut hists = [(); 3].map(|()| BTreeMap::<u32, u32>::new());
        for reply in self.each(|_| said.clone()) {
            let Reply::Learned(one) = reply else { continue };
            for (hist, part) in hists.iter_mut().zip([one.gone, one.back, one.heard]) {
                part.into_iter().for_each(|(ms, n)| *hist.entry(ms).or_default() += n);
            }
            all.gone_missing += one.gone_missing;
            all.back_missing += one.back_missing;
            all.heard_missing += one.heard_missing;
            all.false_downs += one.false_downs;
        }
        let [gone, back, heard] = hists.map(|hist| hist.into_iter().collect());
        Learned { gone, back, heard, ..all }
    }

    pub fn moment(&mut self) -> Moment {
        let real = self.real.iter().map(Real::of).collect();
        let hollow = self.samples();
        Moment { at: Instant::now(), hollow, real, machine: figures::Machine::now() }
    }

    /// Asks the real ones as often as the load says, but no more than ten times a second, until that time.
    pub fn ask_real(&self, load: Load, end: Instant) {
        let pause = Duration::from_secs_f64(1.0 / load.per_second.min(10.0));
        for at in self.real.iter().map(|p| p.address) {
            std::thread::spawn(move || {
                let mut client = Client::connect(at);
                while Instant::now() < end {
                    client.ask(&rig::read(3.0));
                    std::thread::sleep(pause);
                }
            });
        }
    }
}

impl Real {
    fn of(proxy: &Proxy) -> Real {
        let status: serde_json::Value =
            serde_json::from_slice(&proxy.call("GET /peers").body).expect("JSON at the door");
        let count = |name: &str| status[name].as_u64().expect("a count");
        let process = proxy.child.id();
        let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
        let each = tasks.into_iter().flatten().flatten();
        let cpu_ns = each.map(|t| worker::first_number(&format!("{}/schedstat", t.path().display()))).sum();
        Real {
            sent: count("sent"),
            bytes: count("sent_bytes"),
            told: count("facts_told"),
            heard: count("facts_heard"),
            members: status["members"].as_array().map_or(0, |m| m.len() as u32),
            cpu_ns,
            resident_kb: worker::resident_of(&process.to_string()),
        }
    }
}

/// A port that nobody has now, for all addresses of a run.
fn free_port() -> u16 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").port()
}
