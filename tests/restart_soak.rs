//! Seeded soak test of restarts on real sockets. Clients use every connection that stays open until the old process has
//! to have ended, while the process gets several signals and the next one starts beside it. Each request is checked at
//! its client and at the backends. `SOAK_SEEDS=1..50 cargo test --locked --test restart_soak -- --nocapture` runs these
//! seeds, without the variable [`FIXED_SEEDS`].

mod rig;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use rig::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Seeds that are run if `SOAK_SEEDS` is not set.
const FIXED_SEEDS: std::ops::Range<u64> = 1..9;
/// Number of seeds that run at a time.
const CONCURRENT_SEEDS: usize = 2;
/// Longest request deadline in the settings.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time that the old process has after the first SIGTERM, in addition to the longest deadline. The platform kills it no
/// earlier than that.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// How late after its request's deadline a response may arrive. A later one counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// How late after its client left an attempt may still begin.
const MAX_DELAY_AFTER_LEAVING: Duration = Duration::from_millis(100);
/// Time within which the next process has to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Allowed statuses: served, rejected, failed, rejected without an effect, timed out.
const ALLOWED_STATUSES: [u16; 5] = [200, 429, 502, 503, 504];
/// Maximum resident memory of a process in KiB.
const MEMORY_LIMIT_KB: u64 = 192 << 10;
/// Descriptor limit of a process.
const DESCRIPTORS: u32 = 1024;
/// Descriptor limit if there are [`CROWD`] idle connections, which exceed it.
const DESCRIPTORS_WITH_CROWD: u32 = 256;
/// Number of idle connections in every third seed.
const CROWD: usize = 300;
/// Readiness check of the platform.
const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Seeded random draws.
struct Draws(Pcg32);

impl Draws {
    /// Draws a number less than `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        (u64::from(self.0.next_u32()) * limit) >> 32
    }

    /// Draws a number from `min` to `max`, both included.
    fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    /// Draws whether an event of this probability in percent occurs.
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Draws a time in milliseconds, both bounds included.
    fn millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.between(min, max))
    }
}

/// How a backend answers requests.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Quick,
    Slow,
    /// Answers no request from the first SIGTERM on.
    HangsFromSignal,
    /// Closes the connection without a response to 30 % of the requests that must not be repeated.
    Resets,
    /// Rejects 30 % of the requests without an effect.
    Rejects,
    /// Sends a long response in pieces.
    InPieces,
    /// Closes each connection after some responses, without `Connection: close`.
    ClosesIdle,
}

const BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::Quick,
    Behaviour::Slow,
    Behaviour::HangsFromSignal,
    Behaviour::Resets,
    Behaviour::Rejects,
    Behaviour::InPieces,
    Behaviour::ClosesIdle,
];

/// Index of [`Behaviour::HangsFromSignal`] in [`BEHAVIOURS`].
const HANGING: usize = 2;

/// A request that a backend received.
struct Attempt {
    at: Instant,
    /// Whether it took effect, so was not rejected without one.
    ran: bool,
}

/// State that the clients and the backends of a run share.
#[derive(Default)]
struct Run {
    /// Attempts of each request that backends received, by the request's id.
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
    /// Ids of the requests that must not be repeated.
    not_repeatable: Mutex<BTreeSet<String>>,
    /// When a client closed its connection without waiting for the response, by the request's id.
    left: Mutex<BTreeMap<String, Instant>>,
    /// The first SIGTERM was sent: backends with [`Behaviour::HangsFromSignal`] hang.
    signalled: AtomicBool,
    /// Clients may open connections.
    may_connect: AtomicBool,
    /// Clients go on sending requests.
    may_send: AtomicBool,
    /// Descriptions of all violations.
    violations: Mutex<Vec<String>>,
    requests: AtomicU64,
    answered: AtomicU64,
    /// Connections that were refused.
    refused: AtomicU64,
    /// Connections that backends closed after a request without a response.
    resets: AtomicU64,
    /// Requests that were lost because they crossed the close of an idle connection.
    crossed: AtomicU64,
    /// Requests whose clients left without waiting for the response.
    abandoned: AtomicU64,
}

impl Run {
    /// Records a violation.
    fn add_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    /// Returns whether a backend received the request.
    fn was_received(&self, id: &str) -> bool {
        self.attempts.lock().unwrap().contains_key(id)
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Starts a backend of the run on a port that the kernel picks, and returns its address.
fn start_backend(run: &Arc<Run>, behaviour: Behaviour, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let run = run.clone();
    std::thread::spawn(move || {
        for (number, tcp) in (0..).zip(listener.incoming().flatten()) {
            let run = run.clone();
            let draws = Draws(Pcg32::seed_from_u64(seed ^ (number << 32)));
            std::thread::spawn(move || serve_backend(&run, behaviour, draws, tcp));
        }
    });
    address
}

/// Serves one connection of a backend.
fn serve_backend(run: &Run, behaviour: Behaviour, mut draws: Draws, mut tcp: TcpStream) {
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    let answers_until_close = draws.between(1, 20);
    for answered in 0.. {
        let Some(request) = Message::read(&mut reader) else {
            return;
        };
        let id = request.header("x-correlation-id").unwrap_or("").to_string();
        let ran = !(matches!(behaviour, Behaviour::Rejects) && draws.chance(30));
        run.attempts
            .lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push(Attempt {
                at: Instant::now(),
                ran,
            });
        let sent = match behaviour {
            Behaviour::HangsFromSignal if run.signalled.load(Ordering::SeqCst) => continue,
            Behaviour::Resets
                if request.start_line.starts_with("POST /pay") && draws.chance(30) =>
            {
                count(&run.resets);
                return;
            }
            Behaviour::Rejects if !ran => respond(&mut tcp, "503 X", "Retry-After: 1\r\n", &id, 1),
            Behaviour::Slow => {
                std::thread::sleep(draws.millis(20, 300));
                respond(&mut tcp, "200 X", "", &id, 1)
            }
            Behaviour::InPieces => respond(&mut tcp, "200 X", "", &id, 8),
            _ => respond(&mut tcp, "200 X", "", &id, 1),
        };
        let closes = matches!(behaviour, Behaviour::ClosesIdle) && answered >= answers_until_close;
        if !sent || closes {
            return;
        }
    }
}

/// Sends a response whose body is the id repeated `pieces` times, with 15 ms between two pieces. Returns whether all were
/// sent.
fn respond(tcp: &mut TcpStream, status: &str, header: &str, id: &str, pieces: usize) -> bool {
    let length = id.len() * pieces;
    let head = format!("HTTP/1.1 {status}\r\n{header}Content-Length: {length}\r\n\r\n{id}");
    let mut sent = tcp.write_all(head.as_bytes()).is_ok();
    for _ in 1..pieces {
        std::thread::sleep(Duration::from_millis(15));
        sent = sent && tcp.write_all(id.as_bytes()).is_ok();
    }
    sent
}

/// A client's connection to the proxy.
struct Connection {
    client: Client,
    /// Number of responses received on it.
    responses: u32,
}

impl Connection {
    /// Opens a connection, or returns `None` if that fails.
    fn open(address: SocketAddr) -> Option<Connection> {
        let tcp = TcpStream::connect(address).ok()?;
        tcp.set_nodelay(true).ok()?;
        tcp.set_read_timeout(Some(DEADLINE + MAX_LATENESS)).ok()?;
        let client = Client(BufReader::new(tcp));
        Some(Connection {
            client,
            responses: 0,
        })
    }

    /// Writes a part of a request, and returns whether that succeeded.
    fn write(&mut self, part: &str) -> bool {
        self.client.0.get_mut().write_all(part.as_bytes()).is_ok()
    }

    /// Returns whether a response, or the end of the connection, begins to arrive within `patience`.
    fn begins_response_within(&mut self, patience: Duration) -> bool {
        let tcp = self.client.0.get_mut();
        tcp.set_read_timeout(Some(patience)).unwrap();
        let came = tcp.peek(&mut [0]);
        tcp.set_read_timeout(Some(DEADLINE + MAX_LATENESS)).unwrap();
        let waited = [ErrorKind::WouldBlock, ErrorKind::TimedOut];
        !came.is_err_and(|error| waited.contains(&error.kind()))
    }

    /// Sends a request, sometimes in two pieces, and returns whether that succeeded.
    fn send(&mut self, request: &str, draws: &mut Draws) -> bool {
        if !draws.chance(15) {
            return self.write(request);
        }
        let cut = draws.between(1, request.len() as u64 - 1) as usize;
        let first = self.write(&request[..cut]);
        std::thread::sleep(draws.millis(1, 30));
        first && self.write(&request[cut..])
    }
}

/// Runs one client until the run is over.
fn run_client(run: &Run, address: SocketAddr, mut draws: Draws) {
    let mut connection = None;
    while run.may_send.load(Ordering::SeqCst) {
        std::thread::sleep(draws.millis(5, 150));
        let Some(open) = connection.take().or_else(|| connect(run, address)) else {
            continue;
        };
        connection = exchange(run, open, &mut draws);
    }
}

/// Opens a connection if clients may do so. A refused one is a violation.
fn connect(run: &Run, address: SocketAddr) -> Option<Connection> {
    if !run.may_connect.load(Ordering::SeqCst) {
        return None;
    }
    let connection = Connection::open(address);
    if connection.is_none() {
        count(&run.refused);
        if run.may_connect.load(Ordering::SeqCst) {
            run.add_violation("a connection was refused while clients may connect".into());
        }
    }
    connection
}

/// Sends one request and checks its response. Returns the connection if it stays open.
fn exchange(run: &Run, mut connection: Connection, draws: &mut Draws) -> Option<Connection> {
    let seconds = draws.between(5, 30) as f64 / 10.0;
    let request = match draws.below(10) {
        0..=5 => read_request(seconds),
        6..=7 => vote_request(seconds),
        _ => pay_request(seconds),
    };
    let id = header_of(&request, "X-Correlation-Id: ").to_string();
    if request.starts_with("POST /pay") {
        run.not_repeatable.lock().unwrap().insert(id.clone());
    }
    count(&run.requests);
    let begun = Instant::now();
    let sent = connection.send(&request, draws);
    let leaves = match draws.below(100) {
        0..=7 => {
            std::thread::sleep(draws.millis(0, 100));
            true
        }
        8..=39 => !connection.begins_response_within(draws.millis(5, 400)),
        _ => false,
    };
    if sent && leaves {
        let _ = connection.client.0.get_mut().shutdown(Shutdown::Both);
        run.left.lock().unwrap().insert(id, Instant::now());
        count(&run.abandoned);
        return None;
    }
    let Some(response) = connection.client.response() else {
        check_unanswered(run, &connection, &id, begun);
        return None;
    };
    check_response(run, &response, &id, begun, seconds);
    connection.responses += 1;
    (response.header("connection") != Some("close")).then_some(connection)
}

/// Returns the value of a header in the text of a request.
fn header_of<'a>(request: &'a str, name: &str) -> &'a str {
    let value = request.split(name).nth(1).unwrap_or("");
    value.split("\r\n").next().unwrap_or("")
}

/// Checks a request without a response. This is allowed if the request crossed the close of an idle connection, and no
/// backend received it.
fn check_unanswered(run: &Run, connection: &Connection, id: &str, begun: Instant) {
    let waited = begun.elapsed();
    if connection.responses > 0 && !run.was_received(id) && waited < DEADLINE {
        count(&run.crossed);
        return;
    }
    let received = run.was_received(id);
    let responses = connection.responses;
    run.add_violation(format!(
        "no response to {id} after {waited:?}; received by a backend: {received}; earlier responses on the connection: {responses}"
    ));
}

/// Checks the time, the status and the body of a response.
fn check_response(run: &Run, response: &Message, id: &str, begun: Instant, seconds: f64) {
    count(&run.answered);
    let took = begun.elapsed();
    if took > Duration::from_secs_f64(seconds) + MAX_LATENESS {
        run.add_violation(format!(
            "the response to {id} took {took:?}, its deadline was {seconds} s"
        ));
    }
    let status = response.status();
    if !ALLOWED_STATUSES.contains(&status) {
        run.add_violation(format!(
            "the response to {id} has the unexpected status {status}"
        ));
    }
    let body = String::from_utf8_lossy(&response.body);
    if status == 200 && !body.replace(id, "").is_empty() {
        run.add_violation(format!(
            "the response to {id} has the unexpected body {body}"
        ));
    }
}

/// Checks, at the end of the run, the attempts that the backends received: no request that must not be repeated took effect
/// twice, and no attempt began after its client left.
fn check_attempts(run: &Run) {
    let left = run.left.lock().unwrap();
    let not_repeatable = run.not_repeatable.lock().unwrap();
    for (id, attempts) in run.attempts.lock().unwrap().iter() {
        let ran = attempts.iter().filter(|attempt| attempt.ran).count();
        if not_repeatable.contains(id) && ran > 1 {
            run.add_violation(format!(
                "{id} must not be repeated and took effect {ran} times"
            ));
        }
        let Some(at) = left.get(id) else { continue };
        for attempt in attempts {
            let late = attempt.at.saturating_duration_since(*at);
            if late > MAX_DELAY_AFTER_LEAVING {
                run.add_violation(format!(
                    "an attempt of {id} began {late:?} after its client left"
                ));
            }
        }
    }
}

/// Configuration with which each process of a run is started.
#[derive(Clone)]
struct ProxyConfig {
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Vec<String>,
    descriptors: u32,
}

impl ProxyConfig {
    fn start(&self) -> Proxy {
        let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
        Proxy::with_addresses(
            &self.listen.to_string(),
            self.discovery,
            &self.known,
            self.descriptors,
            SETTINGS,
            &[tmp],
        )
    }
}

/// Checks the open descriptors and the memory of a running process against their limits.
fn check_limits(run: &Run, proxy: &Proxy, descriptors: u32) {
    let process = format!("/proc/{}", proxy.child.id());
    if let Ok(open) = std::fs::read_dir(format!("{process}/fd")) {
        let open = open.count();
        if open > descriptors as usize {
            run.add_violation(format!(
                "{open} open descriptors exceed the limit of {descriptors}"
            ));
        }
    }
    let status = std::fs::read_to_string(format!("{process}/status")).unwrap_or_default();
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    if let Some(kb) = resident.filter(|kb| *kb > MEMORY_LIMIT_KB) {
        run.add_violation(format!(
            "{kb} KiB resident memory exceed the limit of {MEMORY_LIMIT_KB} KiB"
        ));
    }
}

/// Sends up to two SIGHUPs and then the first SIGTERM.
fn reload_and_terminate(run: &Run, proxy: &Proxy, draws: &mut Draws) {
    for _ in 0..draws.below(3) {
        proxy.signal("-HUP");
        std::thread::sleep(draws.millis(0, 5));
    }
    run.signalled.store(true, Ordering::SeqCst);
    proxy.terminate();
}

/// Restarts the proxy: sends several signals, usually starts the next process beside the old one, and checks that the old
/// one ends before it would be killed. Returns the next process.
fn restart(run: &Run, mut old: Proxy, config: &ProxyConfig, draws: &mut Draws) -> Proxy {
    reload_and_terminate(run, &old, draws);
    let begun = Instant::now();
    let copy = config.clone();
    let overlaps = draws.chance(70);
    let mut next = overlaps.then(|| std::thread::spawn(move || (copy.start(), Instant::now())));
    if draws.chance(50) {
        old.signal("-HUP");
    }
    // Clients open connections for 200 to 400 ms after the first SIGTERM.
    std::thread::sleep(draws.millis(200, 400).saturating_sub(begun.elapsed()));
    run.may_connect.store(false, Ordering::SeqCst);
    let second_signal = begun + draws.millis(400, 2500);
    let mut terminated_again = draws.chance(50);
    let kill_time = begun + DEADLINE + KILL_AFTER_DEADLINE;
    let mut started = None;
    let status = loop {
        if let Some(status) = old.child.try_wait().unwrap() {
            break Some(status);
        }
        let now = Instant::now();
        if now >= kill_time {
            break None;
        }
        if now >= second_signal && !terminated_again {
            old.terminate();
            terminated_again = true;
        }
        if next
            .as_ref()
            .is_some_and(std::thread::JoinHandle::is_finished)
        {
            let (proxy, ready) = next.take().unwrap().join().unwrap();
            check_ready(run, &proxy, ready - begun);
            run.may_connect.store(true, Ordering::SeqCst);
            started = Some(proxy);
        }
        check_limits(run, &old, config.descriptors);
        std::thread::sleep(Duration::from_millis(10));
    };
    if !status.is_some_and(|status| status.success()) {
        let after = begun.elapsed();
        run.add_violation(format!(
            "the old process did not end with success in time: {status:?} after {after:?}"
        ));
    }
    drop(old);
    let proxy = started.unwrap_or_else(|| {
        let waited_since = if next.is_some() {
            begun
        } else {
            Instant::now()
        };
        let (proxy, ready) = match next.take() {
            Some(thread) => thread.join().unwrap(),
            None => (config.start(), Instant::now()),
        };
        check_ready(run, &proxy, ready - waited_since);
        proxy
    });
    run.may_connect.store(true, Ordering::SeqCst);
    proxy
}

/// Checks that the next process became ready in time, and passes a readiness check.
fn check_ready(run: &Run, proxy: &Proxy, took: Duration) {
    if took > READY_WITHIN {
        run.add_violation(format!(
            "the next process was ready after {took:?}, the limit is {READY_WITHIN:?}"
        ));
    }
    if proxy.request(READY_REQUEST).status() != 200 {
        run.add_violation("the next process failed its readiness check".into());
    }
}

/// Draws a seed's backends and starts them, and returns the configuration of its proxy.
fn draw_config(seed: u64, run: &Arc<Run>, draws: &mut Draws, descriptors: u32) -> ProxyConfig {
    let known = (0..draws.between(4, 12)).map(|n| {
        let index = match n {
            0 | 1 => 0, // two backends are always quick
            // Many hanging backends in even seeds, so that many requests wait while clients leave.
            _ if seed.is_multiple_of(2) && draws.chance(60) => HANGING,
            _ => draws.below(BEHAVIOURS.len() as u64) as usize,
        };
        let address = start_backend(run, BEHAVIOURS[index], seed * 1000 + n);
        entry(&format!("b{n}"), address, "SERVING")
    });
    let known = known.collect();
    // A free port on a separate address, so that no other program gets it while no process listens.
    let own_address = format!("127.0.{}.{}:0", 80 + seed / 200, 1 + seed % 200);
    let listen = TcpListener::bind(own_address)
        .unwrap()
        .local_addr()
        .unwrap();
    ProxyConfig {
        listen,
        discovery: DiscoveryServer::start().address,
        known,
        descriptors,
    }
}

/// Runs a seed, and returns its figures and its violations.
fn run_seed(seed: u64) -> (String, Vec<String>) {
    let mut draws = Draws(Pcg32::seed_from_u64(seed));
    let run = Arc::new(Run::default());
    let has_crowd = seed.is_multiple_of(3);
    let descriptors = if has_crowd {
        DESCRIPTORS_WITH_CROWD
    } else {
        DESCRIPTORS
    };
    let config = draw_config(seed, &run, &mut draws, descriptors);
    let listen = config.listen;
    let mut proxy = config.start();
    run.may_connect.store(true, Ordering::SeqCst);
    run.may_send.store(true, Ordering::SeqCst);
    let crowd = if has_crowd { CROWD } else { 0 };
    let idle: Vec<_> = (0..crowd).map(|_| TcpStream::connect(listen)).collect();
    let clients: Vec<_> = (0..draws.between(20, 120))
        .map(|n| {
            let run = run.clone();
            let draws = Draws(Pcg32::seed_from_u64(seed ^ ((n + 1) << 40)));
            std::thread::spawn(move || run_client(&run, listen, draws))
        })
        .collect();
    for _ in 0..draws.between(1, 2) {
        std::thread::sleep(draws.millis(500, 1200));
        proxy = restart(&run, proxy, &config, &mut draws);
    }
    std::thread::sleep(draws.millis(200, 500));
    run.may_send.store(false, Ordering::SeqCst);
    let count = clients.len();
    for client in clients {
        client.join().unwrap();
    }
    drop(idle);
    drop(proxy);
    check_attempts(&run);
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let figures = format!(
        "seed {seed}: {count} clients, {} backends, crowd {crowd}: {} requests, {} answered, {} refused, {} crossed, {} abandoned, {} resets",
        config.known.len(), load(&run.requests), load(&run.answered), load(&run.refused), load(&run.crossed), load(&run.abandoned), load(&run.resets)
    );
    let violations = std::mem::take(&mut *run.violations.lock().unwrap());
    (figures, violations)
}

/// Returns the seeds of `SOAK_SEEDS`, such as `7` or `1..50`, whose last seed is included, or [`FIXED_SEEDS`].
fn seeds() -> std::ops::Range<u64> {
    let Ok(given) = std::env::var("SOAK_SEEDS") else {
        return FIXED_SEEDS;
    };
    let (first, last) = given.split_once("..").unwrap_or((&given, &given));
    let number = |text: &str| text.trim_start_matches('=').parse::<u64>().unwrap();
    number(first)..number(last) + 1
}

/// Guards against requests that are lost, answered late, repeated without permission or sent to backends after their client
/// left, when a process is restarted under load.
#[test]
fn restarts_under_load_lose_delay_and_repeat_no_request() {
    let next = AtomicU64::new(seeds().start);
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_SEEDS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= seeds().end {
                    return;
                }
                let (figures, seed_violations) = run_seed(seed);
                println!("{figures}, {} violations", seed_violations.len());
                let command = format!("SOAK_SEEDS={seed} cargo test --locked --test restart_soak");
                let seed_violations = seed_violations
                    .into_iter()
                    .map(|what| format!("{command}: {what}"));
                violations.lock().unwrap().extend(seed_violations);
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    for what in &violations {
        println!("{what}");
    }
    assert!(violations.is_empty(), "{} violations", violations.len());
}
