//! The real ones of a fleet: processes of the program with a door, each behind a relay at its place in the plan.

use super::generated::{self, Size};
use super::idle_discovery::IdleDiscovery;
use super::plan::Plan;
use super::relay::{Relay, SharedConditions};
use super::rig::{
    create_temp_dir, entry, lease_history, BackendServer, Client, DiscoveryServer, Message, Proxy,
    RefusingPort, SETTINGS,
};
use super::{rig, worker};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const CLUSTER: &str = "scale";
pub const MAX_AGE_S: f64 = 5.0;
/// The plan's file, and the smallest.
pub const FULL: Size = Size {
    routes: 21_000,
    tenants: 130_000,
    backends: 25_000,
};
const BACKEND_SERVERS: usize = 8;
/// A process has loaded its file by then, and what it was read with is given back.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// Processes of real proxies that live now, for whoever has to end them in a hurry.
pub static LIVE_PROCESSES: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn register(proxy: Proxy) -> Proxy {
    LIVE_PROCESSES
        .lock()
        .expect("the lock is not poisoned")
        .insert(proxy.child.id());
    proxy
}

/// What all real ones are started with.
pub struct LaunchConfig {
    plan: Plan,
    seeds: String,
    voters: String,
    endpoints: Arc<Vec<String>>,
    settings: String,
    pub full: bool,
    /// Behind them.
    _backends: (Vec<BackendServer>, Vec<RefusingPort>),
}

/// Of so many real ones, which vote: five at most, an odd number, even over the others.
pub fn voter_positions(count: u32) -> Vec<u32> {
    let voters = if count < 5 {
        count.saturating_sub(1) / 2 * 2 + count.min(1)
    } else {
        5
    };
    (0..voters).map(|n| n * count / voters).collect()
}

/// As the settings name addresses.
fn quoted_list(addresses: &[SocketAddr]) -> String {
    let each: Vec<String> = addresses.iter().map(|at| format!("\"{at}\"")).collect();
    each.join(",")
}

impl LaunchConfig {
    /// With the plan's whole file, or a small one with `backends` of which the first `dead` refuse.
    pub fn new(
        plan: Plan,
        seeds: &[SocketAddr],
        voters: &[SocketAddr],
        full: bool,
        backends: u32,
        dead: u32,
    ) -> LaunchConfig {
        let dead: Vec<RefusingPort> = (0..if full { 0 } else { dead })
            .map(|_| RefusingPort::new())
            .collect();
        let count = if full {
            BACKEND_SERVERS
        } else {
            backends as usize - dead.len()
        };
        let live: Vec<BackendServer> = (0..count)
            .map(|_| BackendServer::start(|_| rig::ok("x")))
            .collect();
        let total = if full {
            FULL.backends
        } else {
            backends as usize
        };
        let at = dead
            .iter()
            .map(RefusingPort::address)
            .chain(live.iter().map(|b| b.address).cycle());
        let endpoints: Vec<String> = at
            .take(total)
            .enumerate()
            .map(|(n, at)| entry(&format!("b{n}"), at, "SERVING"))
            .collect();
        let settings = if full {
            generated::settings(FULL, 1.0)
        } else {
            SETTINGS.into()
        };
        let (seeds, voters, endpoints) =
            (quoted_list(seeds), quoted_list(voters), Arc::new(endpoints));
        LaunchConfig {
            plan,
            seeds,
            voters,
            endpoints,
            settings,
            full,
            _backends: (live, dead),
        }
    }

    fn start(&self, position: u32, number: u32) -> (Proxy, IdleDiscovery) {
        let group = format!(r#""position":{position},"group_size":{},"#, self.plan.size);
        let settings = self
            .settings
            .replacen(r#""position":0,"group_size":1,"#, &group, 1);
        let advertised = self.plan.address(number);
        let duties = match self.voters.as_str() {
            "" => String::new(),
            voters => format!(r#","duties":{{"voters":[{voters}]}}"#),
        };
        let more = format!(
            r#","peers":{{"listen":"{}:0","advertise":"{advertised}","cluster":"{CLUSTER}","seeds":[{}],"max_age_s":{MAX_AGE_S}}}{duties}"#,
            advertised.ip(),
            self.seeds
        );
        let tmp = (
            "TMPDIR",
            create_temp_dir().to_str().expect("a name").to_string(),
        );
        let seed = self.plan.seed + u64::from(position) + 1;
        let mut proxy = register(Proxy::with_seed(
            seed,
            &self.endpoints,
            &settings,
            &more,
            &[tmp],
        ));
        let server = std::mem::replace(&mut proxy.discovery, DiscoveryServer::start());
        (proxy, IdleDiscovery::start(server, self.endpoints.clone()))
    }

    /// The n-th request of a client.
    pub fn request(&self, n: usize) -> String {
        if self.full {
            generated::request(FULL, n)
        } else {
            rig::read_request(2.0)
        }
    }
}

/// Resident kB of the program with the smallest file and nobody to talk to.
pub fn smallest_kb() -> u64 {
    let tmp = (
        "TMPDIR",
        create_temp_dir().to_str().expect("a name").to_string(),
    );
    let proxy = register(Proxy::with_control(&[], SETTINGS, &[tmp]));
    std::thread::sleep(LOAD_TIME);
    let kb = worker::resident_of(&proxy.child.id().to_string());
    unregister(&proxy);
    kb
}

fn unregister(proxy: &Proxy) {
    LIVE_PROCESSES
        .lock()
        .expect("the lock is not poisoned")
        .remove(&proxy.child.id());
    let _ = std::fs::remove_file(&proxy.config_path); // may be gone
}

pub struct RealProxy {
    /// Among the real ones, and in the plan.
    position: u32,
    pub number: u32,
    pub is_voter: bool,
    /// Clients ask it now.
    pub has_clients: bool,
    pub proxy: Proxy,
    discovery: IdleDiscovery,
    relay: Relay,
    /// When its process was killed, if it is not restarted yet, and what earlier ones logged.
    killed: Option<u64>,
    previous: Vec<lease_history::Incarnation>,
}

impl Drop for RealProxy {
    fn drop(&mut self) {
        unregister(&self.proxy);
    }
}

impl RealProxy {
    pub fn start(
        launch: &LaunchConfig,
        position: u32,
        number: u32,
        is_voter: bool,
        shared: SharedConditions,
    ) -> RealProxy {
        let relay = Relay::start(launch.plan, number, shared).expect("an address of the plan");
        let (proxy, discovery) = launch.start(position, number);
        let (has_clients, killed, previous) = Default::default();
        let real = RealProxy {
            position,
            number,
            is_voter,
            has_clients,
            proxy,
            discovery,
            relay,
            killed,
            previous,
        };
        real.update_relay_target();
        real
    }

    /// Lets the relay know where the process listens.
    fn update_relay_target(&self) {
        let line = self
            .proxy
            .startup_log
            .lines()
            .find(|l| l.contains("peers_start"))
            .expect("it shares state");
        let at = lease_history::log_field(line, "listen")
            .and_then(|at| at.parse().ok())
            .expect("an address");
        self.relay.set_target(at);
    }

    pub fn kill(&mut self) {
        let _ = self.proxy.child.kill();
        let _ = self.proxy.child.wait();
        self.killed = Some(super::light_proxy::mono_us());
    }

    /// Another process in the place of one that was killed, which knows nothing.
    pub fn restart(&mut self, launch: &LaunchConfig) {
        unregister(&self.proxy);
        self.previous.push(self.incarnation());
        (self.proxy, self.discovery) = launch.start(self.position, self.number);
        self.killed = None;
        self.update_relay_target();
    }

    fn incarnation(&self) -> lease_history::Incarnation {
        let log = self.proxy.log_lines("event=").join("\n");
        lease_history::Incarnation {
            proxy: self.number as usize,
            log,
            ended_us: self.killed,
        }
    }

    /// Every process that ever was in its place.
    pub fn incarnations(&self) -> Vec<lease_history::Incarnation> {
        let now = self.incarnation();
        self.previous.iter().cloned().chain([now]).collect()
    }

    /// One call at its door, which may fail as the process may be gone or stand still.
    pub fn call(&self, line: &str, body: &str) -> Option<Message> {
        let address = self.proxy.control_address?;
        let mut client = Client(std::io::BufReader::new(
            std::net::TcpStream::connect(address).ok()?,
        ));
        client
            .0
            .get_ref()
            .set_read_timeout(Some(rig::TEST_TIMEOUT))
            .ok()?;
        client.send(&format_call(line, body));
        client.response()
    }

    pub fn json(&self, path: &str) -> serde_json::Value {
        let answer = self.call(&format!("GET {path}"), "");
        answer
            .and_then(|answer| serde_json::from_slice(&answer.body).ok())
            .unwrap_or_default()
    }

    /// The version of the configuration that its requests go by.
    pub fn active_version(&self) -> u64 {
        self.json("/config")["in_force"].as_u64().unwrap_or(0)
    }

    /// When each version came into force, as its log says, in its order; a version that was passed over came with the next.
    pub fn activations(&self) -> Vec<(u64, u64)> {
        let lines = self.proxy.log_lines("event=\"config_in_force\"");
        let of = |line: &String| {
            Some((
                lease_history::number_field(line, "version")?,
                lease_history::number_field(line, "mono_us")?,
            ))
        };
        lines.iter().filter_map(of).collect()
    }

    pub fn sample(&self) -> RealSample {
        let status = self.json("/peers");
        let count = |name: &str| status[name].as_u64().unwrap_or(0);
        let process = self.proxy.child.id();
        let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
        let mut threads: BTreeMap<String, u64> = BTreeMap::new();
        for task in tasks.into_iter().flatten().flatten().map(|t| t.path()) {
            let name = std::fs::read_to_string(task.join("comm")).unwrap_or_default();
            let ns = worker::first_number(&format!("{}/schedstat", task.display()));
            *threads.entry(name.trim().into()).or_default() += ns;
        }
        let role = match (self.has_clients, self.is_voter) {
            (true, _) => WITH_CLIENTS,
            _ if self.json("/config")["held"].is_string() => HOLDER,
            (_, true) => VOTER,
            _ => OTHER,
        };
        RealSample {
            role,
            sent: count("sent"),
            bytes: count("sent_bytes"),
            verdicts_sent: count("facts_told"),
            verdicts_received: count("facts_heard"),
            members: status["members"].as_array().map_or(0, |m| m.len() as u32),
            cpu_ns: threads.values().sum(),
            threads,
            resident_kb: worker::resident_of(&process.to_string()),
        }
    }
}

/// A call as it is written.
pub fn format_call(line: &str, body: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Roles of real ones: who holds the configuration's duty, the other voters, the others, and of those the ones with clients.
pub const HOLDER: &str = "real, holder";
pub const VOTER: &str = "real, voter";
pub const OTHER: &str = "real, other";
pub const WITH_CLIENTS: &str = "real, asked";

/// What a real one counted: datagrams and bytes sent, facts told and heard, members, processor time and memory.
#[derive(Clone)]
pub struct RealSample {
    pub role: &'static str,
    pub sent: u64,
    pub bytes: u64,
    pub verdicts_sent: u64,
    pub verdicts_received: u64,
    pub members: u32,
    pub cpu_ns: u64,
    /// The same by the names of its threads.
    pub threads: BTreeMap<String, u64>,
    pub resident_kb: u64,
}

/// Waits until something is so, and says whether it came.
pub fn wait_until(patience: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + patience;
    while !done() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
