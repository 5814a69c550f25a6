//! A proxy with few descriptors and more client connections than it can hold: descriptors for discovery, backends and
//! operators stay reserved, and new clients are still served.
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

/// The process's descriptor limit.
const SOCKETS: u32 = 256;
/// Descriptors reserved for everything else than clients and backends, without the margin of clients above their limit
/// (docs/design.md).
const RESERVED: usize = 40;
/// Limit on backend connections, which equals the limit on client connections.
const UPSTREAMS: usize = (SOCKETS as usize - 64) / 2;
/// Number of client connections that are kept open, more than the proxy can hold.
const CROWD: usize = 400;
/// A change is assumed to be known to the proxy this long after discovery can be reached again.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Length of an outage. Calls that were given up stay open for up to 10 s each, so their number no longer grows after
/// this.
const OUTAGE: Duration = Duration::from_secs(13);

/// Clients that keep their connections open: some send nothing, some stop halfway through a head or a body, some are
/// idle after a response. Those whose connection is closed reconnect at once.
struct OpenClients {
    running: Arc<AtomicBool>,
    reconnects: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl OpenClients {
    fn start(at: SocketAddr) -> OpenClients {
        let (running, reconnects) = (
            Arc::new(AtomicBool::new(true)),
            Arc::new(AtomicUsize::new(0)),
        );
        let (keep_running, count) = (running.clone(), reconnects.clone());
        let thread = std::thread::spawn(move || {
            let mut all: Vec<Option<TcpStream>> = (0..CROWD).map(|_| None).collect();
            while keep_running.load(Ordering::SeqCst) {
                for (n, slot) in all.iter_mut().enumerate() {
                    if !slot.as_mut().is_some_and(open) {
                        *slot = connect(at, n);
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        OpenClients {
            running,
            reconnects,
            thread: Some(thread),
        }
    }
}

impl Drop for OpenClients {
    fn drop(&mut self) {
        self.running.store(false, Ordering::SeqCst);
        self.thread
            .take()
            .into_iter()
            .for_each(|t| t.join().unwrap());
    }
}

/// Opens a connection of one of four kinds, chosen by `n`.
fn connect(at: SocketAddr, n: usize) -> Option<TcpStream> {
    let mut tcp = TcpStream::connect(at).ok()?;
    let head = read_request(3.0);
    let body = pay_request(3.0).replace("Content-Length: 4", "Content-Length: 400");
    let text_sent = match n % 4 {
        0 => "",
        1 => &head[..head.len() / 2],
        2 => &head,
        _ => &body,
    };
    let _ = tcp.write_all(text_sent.as_bytes());
    tcp.set_nonblocking(true).ok()?;
    Some(tcp)
}

/// Reads what has arrived. Returns whether the connection is still open.
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

/// Number of open descriptors of a process.
fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .count()
}

/// Number of open descriptors that are neither client nor backend connections.
fn other_descriptors(proxy: &Proxy) -> usize {
    let all = descriptors(proxy.child.id());
    let text = String::from_utf8(proxy.control_request("GET /metrics").body).unwrap();
    let metric = |name: &str| -> usize {
        let line = text.lines().find(|l| l.split(' ').next() == Some(name));
        line.and_then(|l| l.split(' ').nth(1)?.parse().ok())
            .unwrap_or_else(|| panic!("{name} in {text}"))
    };
    all.saturating_sub(metric("meadowproxy_clients") + metric("meadowproxy_upstreams"))
}

/// Samples a process's number of open descriptors every 2 ms until it is dropped, and records the maximum.
struct MaxDescriptors {
    maximum: Arc<AtomicUsize>,
    running: Arc<AtomicBool>,
}

impl MaxDescriptors {
    fn of(pid: u32) -> MaxDescriptors {
        let (maximum, running) = (
            Arc::new(AtomicUsize::new(0)),
            Arc::new(AtomicBool::new(true)),
        );
        let (recorded, keep_running) = (maximum.clone(), running.clone());
        std::thread::spawn(move || {
            while keep_running.load(Ordering::SeqCst) {
                let now = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                recorded.fetch_max(now, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        MaxDescriptors { maximum, running }
    }
}

impl Drop for MaxDescriptors {
    fn drop(&mut self) {
        self.running.store(false, Ordering::SeqCst);
    }
}

/// An endpoint list in which the first of the old backends drains and a new backend serves.
fn changed_list(old: &[BackendServer], new: &BackendServer) -> String {
    let mut entries = entries(old);
    entries[0] = entry("b0", old[0].address, "DRAINING");
    entries.push(entry("new", new.address, "SERVING"));
    list(9, true, &entries)
}

/// The endpoint entries of backends in service.
fn entries(all: &[BackendServer]) -> Vec<String> {
    all.iter()
        .enumerate()
        .map(|(n, b)| entry(&format!("b{n}"), b.address, "SERVING"))
        .collect()
}

/// Sends as many concurrent requests as the client limit allows, so that each leaves a warm backend connection.
fn warm_up(proxy: &Proxy, old: &[BackendServer], gate: &Gate) {
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

/// A proxy at its client limit goes through a discovery outage and must apply the list from after it in time.
/// `end_outage` ends the outage and returns the discovery server that responds from then on.
fn run_outage_at_client_limit(
    mode: &str,
    at: SocketAddr,
    end_outage: impl FnOnce() -> DiscoveryServer,
) {
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
    let max = MaxDescriptors::of(pid);
    warm_up(&proxy, &old, &first);
    let open_clients = OpenClients::start(proxy.address);
    // Operators also hold all connections of the control listener.
    let mut operators: Vec<Option<TcpStream>> = (0..20).map(|_| None).collect();
    let mut requests = 0;
    while begun.elapsed() < OUTAGE {
        for operator in &mut operators {
            if !operator.as_mut().is_some_and(open) {
                *operator = TcpStream::connect(proxy.control_address.unwrap()).ok();
                operator
                    .iter()
                    .for_each(|tcp| tcp.set_nonblocking(true).unwrap());
            }
        }
        assert_eq!(
            proxy.request(&read_request(3.0)).status(),
            200,
            "a new client among the open connections"
        );
        requests += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    let open_now = descriptors(pid);
    let other = (0..5).map(|_| other_descriptors(&proxy)).min().unwrap();
    assert!(
        other <= RESERVED,
        "{other} descriptors besides client and backend connections"
    );
    let discovery = end_outage();
    let returned = Instant::now();
    let (target, answer) = loop {
        // Earlier calls may be gone without a response: the first one whose response can still be sent counts.
        let (target, answer) = discovery.call();
        if answer.send((200, changed_list(&old, &new))).is_ok() {
            break (target, answer);
        }
    };
    drop(answer);
    let mut waiting: Vec<Client> = Vec::new();
    while new.request_count() == 0 {
        assert!(
            returned.elapsed() < KNOWN_AFTER,
            "the list was not applied in time after {target}"
        );
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        waiting.push(client);
        std::thread::sleep(Duration::from_millis(20));
    }
    let took = returned.elapsed();
    let before = old[0].request_count();
    for _ in 0..30 {
        let mut client = proxy.client();
        client.send(&read_request(3.0));
        waiting.push(client);
    }
    gate.open();
    let statuses: Vec<u16> = waiting
        .iter_mut()
        .map(|c| c.response().map_or(0, |a| a.status()))
        .collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let max = max.maximum.load(Ordering::SeqCst);
    let reconnects = open_clients.reconnects.load(Ordering::SeqCst);
    eprintln!(
        "{mode}: {requests} requests, {reconnects} connects, {open_now} descriptors open after the outage, {other} of them reserved, {max} at most, list applied after {took:?}"
    );
    assert!(
        reconnects > 2 * CROWD,
        "too few reconnects for a proxy at its client limit: {reconnects}"
    );
    assert_eq!(
        old[0].request_count(),
        before,
        "a draining backend got a new request"
    );
    assert!(
        new.connections.load(Ordering::SeqCst) > 0,
        "no connection to the new backend"
    );
    assert!(
        open_now > 200 && max <= SOCKETS as usize,
        "{open_now} descriptors open, at most {max}"
    );
    for words in ["Too many open files", "panicked", "accept:"] {
        assert_eq!(proxy.log_count(words), 0, "{words}");
    }
}

#[test]
fn a_silent_discovery_outage_at_the_client_limit_is_recovered_from() {
    for mode in ["automatic", "subscribe"] {
        let discovery = DiscoveryServer::start();
        run_outage_at_client_limit(mode, discovery.address, move || {
            while discovery.pending_call().is_some() {} // drops the open calls without a response
            discovery
        });
    }
}

#[test]
fn a_refusing_discovery_outage_at_the_client_limit_is_recovered_from() {
    for mode in ["automatic", "subscribe"] {
        let down = RefusingPort::new();
        let at = down.address();
        run_outage_at_client_limit(mode, at, move || DiscoveryServer::start_on(down.listen()));
    }
}

/// A thousand silent connections that are never closed, more than there are descriptors, and clients with requests
/// among them, most in the listener's backlog at once: the proxy closes silent connections fast enough to serve each
/// request within its client's time.
#[test]
fn clients_among_silent_connections_are_served_in_time() {
    const SILENT: usize = 1000;
    const ASKING: usize = 40;
    const LEFT: Duration = Duration::from_secs(1);
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let proxy = Proxy::with_descriptor_limit(&known, SOCKETS, SETTINGS, SOCKETS);
    let max = MaxDescriptors::of(proxy.child.id());
    let mut random = Pcg32::seed_from_u64(28);
    let connect = || TcpStream::connect(proxy.address).unwrap();
    let mut silent: Vec<TcpStream> = (0..SOCKETS).map(|_| connect()).collect();
    assert_eq!(
        proxy.request(&read_request(3.0)).status(),
        200,
        "a client after silent connections that were accepted"
    );
    proxy.suspend();
    let mut asking = Vec::new();
    while silent.len() < SILENT || asking.len() < ASKING {
        let (silent_left, asking_left) = (SILENT - silent.len(), ASKING - asking.len());
        if (random.next_u32() as usize) % (silent_left + asking_left) < silent_left {
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
    eprintln!("all requests served after {:?}", from.elapsed());
    assert_eq!(backend.request_count() as usize, 1 + ASKING);
    assert!(max.maximum.load(Ordering::SeqCst) <= SOCKETS as usize);
    assert_eq!(proxy.log_count("accept:"), 0);
}

/// Fewer descriptors than the configuration says, all used by clients that are still sending: neither listener floods
/// the log or spins, and an operator's call is served when a descriptor is free again.
#[test]
fn listeners_that_are_out_of_descriptors_neither_spin_nor_flood_the_log() {
    let proxy = Proxy::with_control_and_descriptor_limit(64);
    let begun = Instant::now();
    let incomplete = pay_request(3.0).replace("Content-Length: 4", "Content-Length: 400");
    let mut clients: Vec<Client> = (0..80).map(|_| proxy.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.send(&incomplete));
    let wait_for_log = |words: &str| {
        while proxy.log_count(words) == 0 {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "not logged in time: {words}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for_log("server: accept: Too many open files");
    let mut operator = Client::connect(proxy.control_address.unwrap());
    operator.send("GET /status HTTP/1.1\r\nHost: d\r\n\r\n");
    wait_for_log("control: accept: Too many open files");
    let ticks_used = ticks(proxy.child.id());
    std::thread::sleep(Duration::from_millis(500));
    let ticks_used = ticks(proxy.child.id()) - ticks_used;
    assert!(
        operator.response().is_some_and(|a| a.status() == 200),
        "the operator's call was not served"
    );
    let max_lines = 2 + begun.elapsed().as_secs() as usize;
    for words in ["control: accept", "server: accept"] {
        assert!(
            proxy.log_count(words) <= max_lines,
            "{} lines: {words}",
            proxy.log_count(words)
        );
    }
    assert!(
        ticks_used < 25,
        "{ticks_used} of 50 hundredths of a second of processor time used"
    );
}

/// Processor time used by a process, in hundredths of a second.
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
