//! Memory of a proxy that serves crowds of several kinds one after another, mixed, and during an upgrade, where members
//! connect again as soon as their connections end. `CROWD_SECONDS=3 cargo test --locked --test memory_rounds -- --nocapture`
//! plays each kind for that long, without the variable for one second; `CROWD_MEMBERS` sets the number of members, and
//! `CROWD_KIND` plays in turn only the kinds whose name contains it.

mod rig;

use rig::crowd::{kind, kinds, play, start_backends, Kind};
use rig::*;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a process built for service uses at rest, in kB. One built for tests uses more, which is left out.
const AT_REST_KB: u64 = 6_200;
/// Members of a crowd, unless `CROWD_MEMBERS` says otherwise: more than the proxy holds at once.
const MEMBERS: usize = 500;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between two kinds.
const REST: Duration = Duration::from_millis(300);

/// Held while a crowd plays: each has hundreds of threads.
static PLAYING: Mutex<()> = Mutex::new(());

/// Memory and descriptors of a proxy.
#[derive(Clone, Copy)]
struct Limits {
    memory_mb: u64,
    sockets: u32,
}

/// The least memory that a proxy is run with, and the most descriptors.
const TIGHTEST: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};

impl Limits {
    fn memory_kb(self) -> u64 {
        self.memory_mb * 1000
    }

    fn start(self, known: &[String], listen: &str, variables: &[(&str, String)]) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config_json(listen, discovery.address, self.sockets, known, SETTINGS);
        let limit = format!("\"memory_mb\":{}", self.memory_mb);
        let config = config.replace("\"memory_mb\":192", &limit);
        Proxy::with_config(&config, self.sockets, discovery, variables)
    }
}

fn number_of(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn kind_duration() -> Duration {
    Duration::from_secs(number_of("CROWD_SECONDS").unwrap_or(1))
}

fn members() -> usize {
    number_of("CROWD_MEMBERS").map_or(MEMBERS, |number| number as usize)
}

/// Returns the resident memory of a process in kB; 0 if it has ended.
fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Observes the resident memory of a proxy's processes together, without what builds for tests use more.
struct MemoryWatch {
    peak_kb: Arc<AtomicU64>,
    second_process: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl MemoryWatch {
    /// Starts to watch a process that is at rest.
    fn start(proxy: &Proxy) -> MemoryWatch {
        let first = proxy.child.id();
        let excess_kb = resident_kb(first).saturating_sub(AT_REST_KB);
        let watch = MemoryWatch {
            peak_kb: Arc::default(),
            second_process: Arc::default(),
            is_over: Arc::default(),
        };
        let (peak_kb, second, is_over) = (
            watch.peak_kb.clone(),
            watch.second_process.clone(),
            watch.is_over.clone(),
        );
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let processes = [first, second.load(Ordering::SeqCst) as u32];
                let used = processes.map(|id| resident_kb(id).saturating_sub(excess_kb));
                peak_kb.fetch_max(used.iter().sum(), Ordering::SeqCst);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        watch
    }

    fn add_process(&self, proxy: &Proxy) {
        let id = u64::from(proxy.child.id());
        self.second_process.store(id, Ordering::SeqCst);
    }

    /// Returns the peak since the last call in kB.
    fn take_peak_kb(&self) -> u64 {
        std::thread::sleep(2 * SAMPLE_INTERVAL);
        self.peak_kb.swap(0, Ordering::SeqCst)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

/// Plays each crowd in turn on one process, and returns a line for each that took more memory than the limit.
fn play_in_turn(limits: Limits, crowds: &[(&str, Vec<Kind>)], members: usize) -> Vec<String> {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let known = start_backends();
    let proxy = limits.start(&known, "127.0.0.1:0", &[]);
    let watch = MemoryWatch::start(&proxy);
    let mut over_limit = Vec::new();
    for (name, crowd) in crowds {
        let ordinary = play(proxy.address, crowd, members, kind_duration());
        std::thread::sleep(REST);
        let peak_kb = watch.take_peak_kb();
        std::thread::sleep(REST);
        let rest_kb = watch.take_peak_kb();
        println!("{name}: peak {peak_kb} kB, after it {rest_kb} kB, {ordinary:?}");
        if peak_kb > limits.memory_kb() {
            over_limit.push(format!("{name}: {peak_kb} kB"));
        }
    }
    let ready = proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
    assert_eq!(ready.status(), 200);
    over_limit
}

fn each_kind() -> Vec<(&'static str, Vec<Kind>)> {
    let wanted = std::env::var("CROWD_KIND").unwrap_or_default();
    let each = kinds()
        .into_iter()
        .filter(|kind| kind.name.contains(&wanted));
    each.map(|kind| (kind.name, vec![kind])).collect()
}

/// Guards against a process that is killed for its memory by crowds of several kinds one after another.
#[test]
fn crowds_of_all_kinds_in_turn_do_not_exceed_the_memory_limit() {
    let over_limit = play_in_turn(TIGHTEST, &each_kind(), members());
    assert!(over_limit.is_empty(), "over the limit: {over_limit:?}");
}

/// Guards against memory that a mixed crowd leaves behind in each round.
#[test]
fn mixed_crowds_do_not_exceed_the_memory_limit() {
    let rounds: Vec<_> = (0..4).map(|_| ("all kinds mixed", kinds())).collect();
    let over_limit = play_in_turn(TIGHTEST, &rounds, members());
    assert!(over_limit.is_empty(), "over the limit: {over_limit:?}");
}

/// Guards against a limit that is kept only at the settings of the tests beside it.
#[test]
fn the_memory_limit_of_the_settings_is_kept_whatever_it_is() {
    let mut over_limit = Vec::new();
    for (memory_mb, sockets, members) in [(48, 384, 300), (96, 512, 340), (32, 1024, 900)] {
        let limits = Limits { memory_mb, sockets };
        let crowds: Vec<_> = ["90 fields of 150 bytes", "responses of 8 MB, chunked"]
            .map(|name| (name, vec![kind(name)]))
            .to_vec();
        println!("{memory_mb} MB, {sockets} descriptors, {members} members");
        over_limit.extend(play_in_turn(limits, &crowds, members));
    }
    assert!(over_limit.is_empty(), "over the limit: {over_limit:?}");
}

/// Guards against ordinary requests that find no place, or wait without end, beside clients that send chunks of one byte:
/// such bodies take most of the processor's time.
#[test]
fn beside_a_crowd_of_small_chunks_ordinary_requests_are_answered_in_time() {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let known = start_backends();
    let proxy = TIGHTEST.start(&known, "127.0.0.1:0", &[]);
    let crowd = [kind("chunks of one byte")];
    let ordinary = play(proxy.address, &crowd, members(), Duration::from_secs(3));
    println!("{ordinary:?}");
    assert_eq!(ordinary.late.load(Ordering::Relaxed), 0, "{ordinary:?}");
    let served = ordinary.served.load(Ordering::Relaxed);
    let others =
        ordinary.rejected.load(Ordering::Relaxed) + ordinary.closed.load(Ordering::Relaxed);
    assert!(served > others, "{ordinary:?}");
}

/// Starts a second process of a proxy beside a crowd, stops the first, and returns the peak of both together in kB.
fn upgrade_beside(crowd: &[Kind]) -> u64 {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let known = start_backends();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    socket2::SockRef::from(&listener)
        .set_cloexec(false)
        .unwrap();
    let folder = create_temp_dir();
    let variables = [
        ("NODE_SOCKET_FD", listener.as_raw_fd().to_string()),
        ("TMPDIR", folder.to_str().unwrap().to_string()),
    ];
    let start = || TIGHTEST.start(&known, &address.to_string(), &variables);
    let old = start();
    let watch = MemoryWatch::start(&old);
    std::thread::scope(|scope| {
        let duration = Duration::from_secs(6);
        let playing = scope.spawn(move || play(address, crowd, members(), duration));
        std::thread::sleep(Duration::from_secs(2));
        let new = start();
        watch.add_process(&new);
        std::thread::sleep(Duration::from_millis(1_500));
        old.terminate();
        println!("{:?}", playing.join().unwrap());
        let peak_kb = watch.take_peak_kb();
        drop(new);
        peak_kb
    })
}

/// Guards against two processes of one proxy each of which uses all of the proxy's memory.
#[test]
fn the_two_processes_of_an_upgrade_share_the_memory_limit() {
    let mut crowds: Vec<_> = [
        "90 fields of 150 bytes",
        "59,000 of 60,000 bytes",
        "responses of 8 MB, chunked",
        "silent",
    ]
    .map(|name| (name, vec![kind(name)]))
    .to_vec();
    crowds.push(("all kinds mixed", kinds()));
    let mut over_limit = Vec::new();
    for (name, crowd) in &crowds {
        let peak_kb = upgrade_beside(crowd);
        println!("{name}: both processes {peak_kb} kB");
        if peak_kb > TIGHTEST.memory_kb() {
            over_limit.push(format!("{name}: {peak_kb} kB"));
        }
    }
    assert!(over_limit.is_empty(), "over the limit: {over_limit:?}");
}
