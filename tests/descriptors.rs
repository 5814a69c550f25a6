//! Clients that connect and stay until no more fit, in a process with the smallest limits: what the process needs for
//! discovery, backends and operators is kept for these.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use rig::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SOCKETS: u32 = 256;
/// What is kept for all else, without the clients over their bound (docs/design.md).
const RESERVED: usize = 40;
/// Connections to backends that are allowed, as many as there may be clients.
const UPSTREAMS: usize = (SOCKETS as usize - 64) / 2;
const CROWD: usize = 400;
/// What discovery has to tell counts as told so long after its return.
const TOLD: Duration = Duration::from_secs(6);
/// Calls that were given up are listened to for up to 10 s each: after this their number grows no more.
const OUTAGE: Duration = Duration::from_secs(13);

/// Clients that hold their connections: some say nothing, some stop half way in a head or a body, some rest after an
/// answer. Who is let go comes back at once.
struct Crowd {
    busy: Arc<AtomicBool>,
    back: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    fn start(at: SocketAddr) -> Crowd {
        let (busy, back) = (
            Arc::new(AtomicBool::new(true)),
            Arc::new(AtomicUsize::new(0)),
        );
        let (go_on, count) = (busy.clone(), back.clone());
        let thread = std::thread::spawn(move || {
            let mut all: Vec<Option<TcpStream>> = (0..CROWD).map(|_| None).collect();
            while go_on.load(Ordering::SeqCst) {
                for (n, slot) in all.iter_mut().enumerate() {
                    if !slot.as_mut().is_some_and(open) {
                        *slot = connect(at, n);
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        Crowd {
            busy,
            back,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.busy.store(false, Ordering::SeqCst);
        self.thread
            .take()
            .into_iter()
            .for_each(|t| t.join().unwrap());
    }
}

fn connect(at: SocketAddr, n: usize) -> Option<TcpStream> {
    let mut tcp = TcpStream::connect(at).ok()?;
    let head = read_request(3.0);
    let body = pay_request(3.0).replace("Content-Length: 4", "Content-Length: 400");
    let said = match n % 4 {
        0 => "",
        1 => &head[..head.len() / 2],
        2 => &head,
        _ => &body,
    };
    let _ = tcp.write_all(said.as_bytes());
    tcp.set_nonblocking(true).ok()?;
    Some(tcp)
}

/// Reads what has come; whether the connection is still there.
fn open(tcp: &mut TcpStream) -> bool {
    let mut bytes = [0; 4096];
    loop {
        match tcp.read(&mut bytes) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .count()
}

/// Descriptors that are neither a client's nor an upstream's.
fn beyond(proxy: &Proxy) -> usize {
    let all = descriptors(proxy.child.id());
    let text = String::from_utf8(proxy.control_request("GET /metrics").body).unwrap();
    let figure = |name: &str| -> usize {
        let line = text.lines().find(|l| l.split(' ').next() == Some(name));
        line.and_then(|l| l.split(' ').nth(1)?.parse().ok())
            .unwrap_or_else(|| panic!("{name} in {text}"))
    };
    all.saturating_sub(figure("meadowproxy_clients") + figure("meadowproxy_upstreams"))
}

/// The most descriptors seen, looked at again and again until this is dropped.
struct Most {
    seen: Arc<AtomicUsize>,
    busy: Arc<AtomicBool>,
}

impl Most {
    fn of(pid: u32) -> Most {
        let (seen, busy) = (
            Arc::new(AtomicUsize::new(0)),
            Arc::new(AtomicBool::new(true)),
        );
        let (tell, go_on) = (seen.clone(), busy.clone());
        std::thread::spawn(move || {
            while go_on.load(Ordering::SeqCst) {
                let now = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                tell.fetch_max(now, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        Most { seen, busy }
    }
}

impl Drop for Most {
    fn drop(&mut self) {
        self.busy.store(false, Ordering::SeqCst);
    }
}

/// A list that drains the first of the old backends and brings a new one.
fn news(old: &[BackendServer], new: &BackendServer) -> String {
    let mut entries = entries(old);
    entries[0] = entry("b0", old[0].address, "DRAINING");
    entries.push(entry("new", new.address, "SERVING"));
    list(9, true, &entries)
}

fn entries(all: &[BackendServer]) -> Vec<String> {
    all.iter()
        .enumerate()
        .map(|(n, b)| entry(&format!("b{n}"), b.address, "SERVING"))
        .collect()
}

/// As many requests at once as the clients' bound allows: each leaves a warm connection to a backend.
fn warm(proxy: &Proxy, old: &[BackendServer], gate: &Gate) {
    let mut clients: Vec<Client> = (0..UPSTREAMS).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|c| c.send(&read_request(3.0)));
    let end = Instant::now() + Duration::from_secs(2);
    let arrived = || old.iter().map(BackendServer::request_count).sum::<u32>() as usize;
    while arrived() < UPSTREAMS && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    gate.open();
    assert!(clients
        .iter_mut()
        .all(|c| c.response().is_some_and(|a| a.status() == 200)));
}

/// Under a crowd that fills it a small process goes through an outage of discovery. `back` ends the outage and gives the
/// discovery that answers from then on.
fn an_outage_under_a_crowd(mode: &str, at: SocketAddr, back: impl FnOnce() -> DiscoveryServer) {
    let settings = SETTINGS.replace("\"automatic\"", &format!("{mode:?}"));
    let (first, gate) = (Arc::new(Gate::default()), Arc::new(Gate::default()));
    let gated = |gate: &Arc<Gate>| {
        let gate = gate.clone();
        BackendServer::start(move |_| Reply::Gate(gate.clone()))
    };
    let old: Vec<BackendServer> = (0..UPSTREAMS / 2).map(|_| gated(&first)).collect();
    let new = gated(&gate);
    let known = entries(&old);
    let dir = create_temp_dir();
    let more = [
        ("TMPDIR", dir.to_str().unwrap().to_string()),
        (
            "NODE_SNAPSHOT",
            dir.join("kept").to_str().unwrap().to_string(),
        ),
        ("NODE_CONTROL", "127.0.0.1:0".to_string()),
    ];
    let proxy = Proxy::with_addresses("127.0.0.1:0", at, &known, SOCKETS, &settings, &more);
    let (pid, begun) = (proxy.child.id(), Instant::now());
    let most = Most::of(pid);
    warm(&proxy, &old, &first);
    let crowd = Crowd::start(proxy.address);
    // Staff who hold all the door's connections, too.
    let mut staff: Vec<Option<TcpStream>> = (0..20).map(|_| None).collect();
    let mut asked = 0;
    while begun.elapsed() < OUTAGE {
        for held in &mut staff {
            if !held.as_mut().is_some_and(open) {
                *held = TcpStream::connect(proxy.control_address.unwrap()).ok();
                held.iter()
                    .for_each(|tcp| tcp.set_nonblocking(true).unwrap());
            }
        }
        assert_eq!(
            proxy.request(&read_request(3.0)).status(),
            200,
            "a client among the crowd"
        );
        asked += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    let full = descriptors(pid);
    let rest = (0..5).map(|_| beyond(&proxy)).min().unwrap();
    assert!(rest <= RESERVED, "{rest} beside clients and upstreams");
    let discovery = back();
    let returned = Instant::now();
    let (target, answer) = loop {
        // Calls that were given up meanwhile may have been answered by nobody: the last one counts.
        let (target, answer) = discovery.call();
        if answer.send((200, news(&old, &new))).is_ok() {
            break (target, answer);
        }
    };
    drop(answer);
    let mut busy: Vec<Client> = Vec::new();
    while new.request_count() == 0 {
        assert!(
            returned.elapsed() < TOLD,
            "the list was not taken in time after {target}"
        );
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        busy.push(client);
        std::thread::sleep(Duration::from_millis(20));
    }
    let took = returned.elapsed();
    let before = old[0].request_count();
    for _ in 0..30 {
        let mut client = proxy.client();
        client.send(&read_request(3.0));
        busy.push(client);
    }
    gate.open();
    let answers: Vec<u16> = busy
        .iter_mut()
        .map(|c| c.response().map_or(0, |a| a.status()))
        .collect();
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    let most = most.seen.load(Ordering::SeqCst);
    let back = crowd.back.load(Ordering::SeqCst);
    eprintln!(
        "{mode}: {asked} asked, {back} came, {full} open at the return, {rest} of them reserved, {most} at most, list after {took:?}"
    );
    assert!(back > 2 * CROWD, "the crowd did not fill it: {back}");
    assert_eq!(
        old[0].request_count(),
        before,
        "nothing new for one that drains"
    );
    assert!(
        new.connections.load(Ordering::SeqCst) > 0,
        "attempts open connections"
    );
    assert!(
        full > 200 && most <= SOCKETS as usize,
        "{full}, at most {most}"
    );
    for words in ["Too many open files", "panicked", "accept:"] {
        assert_eq!(proxy.log_count(words), 0, "{words}");
    }
}

#[test]
fn a_crowd_does_not_keep_a_discovery_that_was_silent_from_being_heard() {
    for mode in ["automatic", "subscribe"] {
        let discovery = DiscoveryServer::start();
        an_outage_under_a_crowd(mode, discovery.address, move || {
            while discovery.pending_call().is_some() {} // never answered
            discovery
        });
    }
}

#[test]
fn a_crowd_does_not_keep_a_discovery_that_was_down_from_being_heard() {
    for mode in ["automatic", "subscribe"] {
        let down = RefusingPort::new();
        let at = down.address();
        an_outage_under_a_crowd(mode, at, move || DiscoveryServer::start_on(down.listen()));
    }
}

/// A thousand connections that never speak and never end, more than the descriptors allow, and clients with requests
/// among them, most in the listener's queue at once: the queue moves on however slowly the crowd leaves, and each request
/// is answered within its client's time.
#[test]
fn clients_among_a_silent_crowd_are_answered_in_time() {
    const SILENT: usize = 1000;
    const ASKING: usize = 40;
    const LEFT: Duration = Duration::from_secs(1);
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let proxy = Proxy::with_descriptor_limit(&known, SOCKETS, SETTINGS, SOCKETS);
    let most = Most::of(proxy.child.id());
    let mut dice = Pcg32::seed_from_u64(28);
    let connect = || TcpStream::connect(proxy.address).unwrap();
    let mut silent: Vec<TcpStream> = (0..SOCKETS).map(|_| connect()).collect();
    assert_eq!(
        proxy.request(&read_request(3.0)).status(),
        200,
        "behind a crowd that was taken in"
    );
    proxy.suspend();
    let mut asking = Vec::new();
    while silent.len() < SILENT || asking.len() < ASKING {
        let (quiet, loud) = (SILENT - silent.len(), ASKING - asking.len());
        if (dice.next_u32() as usize) % (quiet + loud) < quiet {
            silent.push(connect());
        } else {
            let mut client = proxy.client();
            client.send(&read_request(LEFT.as_secs_f64()));
            asking.push(client);
        }
    }
    let from = Instant::now();
    proxy.resume();
    for client in &mut asking {
        let status = client.response().map(|answer| answer.status());
        assert_eq!(
            (status, from.elapsed() < LEFT),
            (Some(200), true),
            "after {:?}",
            from.elapsed()
        );
    }
    eprintln!("all answered after {:?}", from.elapsed());
    assert_eq!(backend.request_count() as usize, 1 + ASKING);
    assert!(most.seen.load(Ordering::SeqCst) <= SOCKETS as usize);
    assert_eq!(proxy.log_count("accept:"), 0);
}

/// Fewer descriptors than the process is told of, all taken by clients that are still sending: neither listener fills the
/// log or the processor, and operators are heard once there is room.
#[test]
fn listeners_that_are_out_of_descriptors_neither_spin_nor_flood_the_log() {
    let proxy = Proxy::with_control_and_descriptor_limit(64);
    let begun = Instant::now();
    let stopped = pay_request(3.0).replace("Content-Length: 4", "Content-Length: 400");
    let mut clients: Vec<Client> = (0..80).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&stopped));
    let until = |words: &str| {
        while proxy.log_count(words) == 0 {
            assert!(begun.elapsed() < TEST_TIMEOUT, "never: {words}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    until("server: accept: Too many open files");
    let mut staff = Client::connect(proxy.control_address.unwrap());
    staff.send("GET /status HTTP/1.1\r\nHost: d\r\n\r\n");
    until("control: accept: Too many open files");
    let used = ticks(proxy.child.id());
    std::thread::sleep(Duration::from_millis(500));
    let used = ticks(proxy.child.id()) - used;
    assert!(
        staff.response().is_some_and(|a| a.status() == 200),
        "never heard"
    );
    let most = 2 + begun.elapsed().as_secs() as usize;
    for words in ["control: accept", "server: accept"] {
        assert!(
            proxy.log_count(words) <= most,
            "{} lines: {words}",
            proxy.log_count(words)
        );
    }
    assert!(used < 25, "{used} hundredths of a second of 50");
}

/// Processor time that a process has used, in hundredths of a second.
fn ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}
