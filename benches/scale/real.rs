//! The real proxies of a fleet: proxy processes with a control address, each behind a UDP relay at its address in the plan.

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

/// The name of the cluster.
pub const CLUSTER: &str = "scale";
/// The maximum age of datagrams in seconds.
pub const MAX_AGE_S: f64 = 5.0;
/// The size of the target deployment's configuration.
pub const FULL: Size = Size {
    routes: 21_000,
    tenants: 130_000,
    backends: 25_000,
};
/// The number of servers behind the full configuration's backends.
const BACKEND_SERVERS: usize = 8;
/// By then a process has loaded its configuration and freed the memory that it needed for reading it.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// The ids of the running proxy processes, so that the watchdog can kill them.
pub static LIVE_PROCESSES: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Adds the proxy's process to [`LIVE_PROCESSES`].
fn register(proxy: Proxy) -> Proxy {
    LIVE_PROCESSES
        .lock()
        .expect("the lock is not poisoned")
        .insert(proxy.child.id());
    proxy
}

/// The settings with which all real proxies of a fleet are started.
pub struct LaunchConfig {
    plan: Plan,
    seeds: String,
    voters: String,
    endpoints: Arc<Vec<String>>,
    settings: String,
    pub full: bool,
    /// The servers and refusing ports behind the endpoints, which run as long as this value exists.
    _backends: (Vec<BackendServer>, Vec<RefusingPort>),
}

/// The indices of the voters among `count` real proxies: an odd number of at most five, spread evenly.
pub fn voter_positions(count: u32) -> Vec<u32> {
    let voters = if count < 5 {
        count.saturating_sub(1) / 2 * 2 + count.min(1)
    } else {
        5
    };
    (0..voters).map(|n| n * count / voters).collect()
}

/// The addresses as JSON strings, separated by commas.
fn quoted_list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|at| format!("\"{at}\"")).collect();
    quoted.join(",")
}

impl LaunchConfig {
    /// Settings with the target deployment's configuration if `full`, or else with a small one that has `backends` backends,
    /// of which the first `dead` refuse connections.
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
        let addresses = dead
            .iter()
            .map(RefusingPort::address)
            .chain(live.iter().map(|b| b.address).cycle());
        let endpoints: Vec<String> = addresses
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

    /// Starts a proxy process and its discovery service.
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
        let peer_settings = format!(
            r#","peers":{{"listen":"{}:0","advertise":"{advertised}","cluster":"{CLUSTER}","seeds":[{}],"max_age_s":{MAX_AGE_S}}}{duties}"#,
            advertised.ip(),
            self.seeds
        );
        let tmp = (
            "TMPDIR",
            create_temp_dir()
                .to_str()
                .expect("a UTF-8 path")
                .to_string(),
        );
        let seed = self.plan.seed + u64::from(position) + 1;
        let mut proxy = register(Proxy::with_seed(
            seed,
            &self.endpoints,
            &settings,
            &peer_settings,
            &[tmp],
        ));
        let server = std::mem::replace(&mut proxy.discovery, DiscoveryServer::start());
        (proxy, IdleDiscovery::start(server, self.endpoints.clone()))
    }

    /// The n-th request of a client, in HTTP/1.1.
    pub fn request(&self, n: usize) -> String {
        if self.full {
            generated::request(FULL, n)
        } else {
            rig::read_request(2.0)
        }
    }
}

/// Resident memory in kB of a proxy process with a minimal configuration and no peers.
pub fn smallest_kb() -> u64 {
    let tmp = (
        "TMPDIR",
        create_temp_dir()
            .to_str()
            .expect("a UTF-8 path")
            .to_string(),
    );
    let proxy = register(Proxy::with_control(&[], SETTINGS, &[tmp]));
    std::thread::sleep(LOAD_TIME);
    let kb = worker::resident_of(&proxy.child.id().to_string());
    unregister(&proxy);
    kb
}

/// Removes the proxy's process from [`LIVE_PROCESSES`] and deletes its configuration file.
fn unregister(proxy: &Proxy) {
    LIVE_PROCESSES
        .lock()
        .expect("the lock is not poisoned")
        .remove(&proxy.child.id());
    let _ = std::fs::remove_file(&proxy.config_path); // it may not exist
}

/// A real proxy of the fleet, which may be restarted as a new process.
pub struct RealProxy {
    /// Its index among the real proxies, and its number in the plan.
    position: u32,
    pub number: u32,
    pub is_voter: bool,
    /// Whether clients are sending requests to it.
    pub has_clients: bool,
    pub proxy: Proxy,
    discovery: IdleDiscovery,
    relay: Relay,
    /// When its process was killed, in microseconds of the monotonic clock, unless it was restarted since.
    killed: Option<u64>,
    /// The logs of its earlier processes.
    previous: Vec<lease_history::Incarnation>,
}

impl Drop for RealProxy {
    fn drop(&mut self) {
        unregister(&self.proxy);
    }
}

impl RealProxy {
    /// Starts a proxy process and the relay at its address in the plan.
    pub fn start(
        launch: &LaunchConfig,
        position: u32,
        number: u32,
        is_voter: bool,
        shared: SharedConditions,
    ) -> RealProxy {
        let relay = Relay::start(launch.plan, number, shared).expect("a free address of the plan");
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

    /// Makes the relay forward to the address at which the process listens, which it reads from the startup log.
    fn update_relay_target(&self) {
        let line = self
            .proxy
            .startup_log
            .lines()
            .find(|l| l.contains("peers_start"))
            .expect("a peers_start line in the startup log");
        let at = lease_history::log_field(line, "listen")
            .and_then(|at| at.parse().ok())
            .expect("a listen address in the peers_start line");
        self.relay.set_target(at);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.proxy.child.kill();
        let _ = self.proxy.child.wait();
        self.killed = Some(super::light_proxy::mono_us());
    }

    /// Starts a new process, without state, in place of the killed one.
    pub fn restart(&mut self, launch: &LaunchConfig) {
        unregister(&self.proxy);
        self.previous.push(self.incarnation());
        (self.proxy, self.discovery) = launch.start(self.position, self.number);
        self.killed = None;
        self.update_relay_target();
    }

    /// The log of the current process.
    fn incarnation(&self) -> lease_history::Incarnation {
        let log = self.proxy.log_lines("event=").join("\n");
        lease_history::Incarnation {
            proxy: self.number as usize,
            log,
            ended_us: self.killed,
        }
    }

    /// The logs of all its processes, oldest first.
    pub fn incarnations(&self) -> Vec<lease_history::Incarnation> {
        let current = self.incarnation();
        self.previous.iter().cloned().chain([current]).collect()
    }

    /// Sends a request to its control address. Returns `None` if that fails, since the process may be killed or suspended.
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

    /// The JSON response to a GET of this path at its control address, or `null`.
    pub fn json(&self, path: &str) -> serde_json::Value {
        let response = self.call(&format!("GET {path}"), "");
        response
            .and_then(|answer| serde_json::from_slice(&answer.body).ok())
            .unwrap_or_default()
    }

    /// The version of the configuration that its requests use.
    pub fn active_version(&self) -> u64 {
        self.json("/config")["in_force"].as_u64().unwrap_or(0)
    }

    /// When each version became active, as `(version, microseconds)` in the order of its log. A skipped version became active
    /// with the next one in the list.
    pub fn activations(&self) -> Vec<(u64, u64)> {
        let lines = self.proxy.log_lines("event=\"config_in_force\"");
        let fields = |line: &String| {
            Some((
                lease_history::number_field(line, "version")?,
                lease_history::number_field(line, "mono_us")?,
            ))
        };
        lines.iter().filter_map(fields).collect()
    }

    /// Reads its counters, processor time and memory.
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

/// An HTTP/1.1 request to a control address.
pub fn format_call(line: &str, body: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The roles of real proxies: the holder of the configuration's duty, the other voters, proxies without a vote, and those
/// with clients.
pub const HOLDER: &str = "real, holder";
pub const VOTER: &str = "real, voter";
pub const OTHER: &str = "real, other";
pub const WITH_CLIENTS: &str = "real, asked";

/// The counters of a real proxy: datagrams and bytes sent, verdicts sent and received, known members, processor time and
/// memory.
#[derive(Clone)]
pub struct RealSample {
    pub role: &'static str,
    pub sent: u64,
    pub bytes: u64,
    pub verdicts_sent: u64,
    pub verdicts_received: u64,
    pub members: u32,
    pub cpu_ns: u64,
    /// Processor time in nanoseconds by thread name.
    pub threads: BTreeMap<String, u64>,
    pub resident_kb: u64,
}

/// Waits until the condition holds or the timeout passes. Returns whether it holds.
pub fn wait_until(timeout: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while !done() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
