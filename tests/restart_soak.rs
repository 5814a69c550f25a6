//! Seeded soak of restarts on real sockets: clients keep using every connection that stays open until the process would be
//! killed, while signals come in series and the next process starts beside the old one. Each request is checked from both
//! ends. `SOAK_SEEDS=1..50 cargo test --locked --test restart_soak -- --nocapture` plays these seeds; without the variable
//! a few fixed ones.

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

/// Seeds without `SOAK_SEEDS`.
const FIXED_SEEDS: std::ops::Range<u64> = 1..9;
/// Seeds played at once.
const AT_ONCE: usize = 2;
/// The longest deadline of the settings.
const DEADLINE: Duration = Duration::from_secs(3);
/// From the first SIGTERM on, the kill comes at the earliest after the longest deadline and this.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// An answer later than this after its request's time is lost.
const LATE: Duration = Duration::from_millis(500);
/// No attempt begins later than this after its client left.
const GONE: Duration = Duration::from_millis(100);
/// The next process is ready within.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Served, rejected, failed, rejected without an effect, timed out.
const ANSWERS: [u16; 5] = [200, 429, 502, 503, 504];
const MEMORY_LIMIT_KB: u64 = 192 << 10;
const DESCRIPTORS: u32 = 1024;
/// With a crowd of idle connections.
const DESCRIPTORS_WITH_CROWD: u32 = 256;
const CROWD: usize = 300;
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

struct Draws(Pcg32);

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        (u64::from(self.0.next_u32()) * limit) >> 32
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.between(least, most))
    }
}

#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Quick,
    Slow,
    /// Answers nothing from the first SIGTERM on.
    HangsFromSignal,
    /// Now and then the connection ends after a request that must not be repeated.
    Resets,
    /// Now and then rejects without an effect.
    Rejects,
    /// A long answer in pieces.
    InPieces,
    /// Closes each connection after some answers, without a word.
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

/// The index of [`Behaviour::HangsFromSignal`].
const HANGING: usize = 2;

/// A request at a backend.
struct Attempt {
    at: Instant,
    /// It was not rejected without an effect.
    ran: bool,
}

/// What the clients and the backends of a run share.
#[derive(Default)]
struct Run {
    /// The attempts of each request at the backends, by its id.
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
    /// The requests that must not be repeated.
    paid: Mutex<BTreeSet<String>>,
    /// When the client of a request closed its connection.
    left: Mutex<BTreeMap<String, Instant>>,
    /// The backends that hang do so.
    signalled: AtomicBool,
    /// Clients open connections.
    open: AtomicBool,
    /// Clients send requests.
    sending: AtomicBool,
    broken: Mutex<Vec<String>>,
    requests: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    /// Connections that backends ended after a request.
    resets: AtomicU64,
    crossed: AtomicU64,
    abandoned: AtomicU64,
}

impl Run {
    fn breaks(&self, what: String) {
        self.broken.lock().unwrap().push(what);
    }

    fn was_seen(&self, id: &str) -> bool {
        self.attempts.lock().unwrap().contains_key(id)
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// A backend of the run, on a port of its own.
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

/// Sends the id as the body, so many times over with a pause in between.
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

/// A client's connection.
struct Connection {
    client: Client,
    answers: u32,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Connection> {
        let tcp = TcpStream::connect(address).ok()?;
        tcp.set_nodelay(true).ok()?;
        tcp.set_read_timeout(Some(DEADLINE + LATE)).ok()?;
        let client = Client(BufReader::new(tcp));
        Some(Connection { client, answers: 0 })
    }

    fn write(&mut self, part: &str) -> bool {
        self.client.0.get_mut().write_all(part.as_bytes()).is_ok()
    }

    /// Whether something came within that time, an end included.
    fn begins_answer_within(&mut self, patience: Duration) -> bool {
        let tcp = self.client.0.get_mut();
        tcp.set_read_timeout(Some(patience)).unwrap();
        let came = tcp.peek(&mut [0]);
        tcp.set_read_timeout(Some(DEADLINE + LATE)).unwrap();
        let waited = [ErrorKind::WouldBlock, ErrorKind::TimedOut];
        !came.is_err_and(|error| waited.contains(&error.kind()))
    }

    /// Sends a request, in one piece or two.
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

/// One client, until the run is over.
fn run_client(run: &Run, address: SocketAddr, mut draws: Draws) {
    let mut connection = None;
    while run.sending.load(Ordering::SeqCst) {
        std::thread::sleep(draws.millis(5, 150));
        let Some(open) = connection.take().or_else(|| connect(run, address)) else {
            continue;
        };
        connection = exchange(run, open, &mut draws);
    }
}

fn connect(run: &Run, address: SocketAddr) -> Option<Connection> {
    if !run.open.load(Ordering::SeqCst) {
        return None;
    }
    let connection = Connection::open(address);
    if connection.is_none() {
        count(&run.refused);
        if run.open.load(Ordering::SeqCst) {
            run.breaks("a connection was refused while clients may connect".into());
        }
    }
    connection
}

/// One request and its answer; the connection, where it stays open.
fn exchange(run: &Run, mut connection: Connection, draws: &mut Draws) -> Option<Connection> {
    let seconds = draws.between(5, 30) as f64 / 10.0;
    let request = match draws.below(10) {
        0..=5 => read_request(seconds),
        6..=7 => vote_request(seconds),
        _ => pay_request(seconds),
    };
    let id = header_of(&request, "X-Correlation-Id: ").to_string();
    if request.starts_with("POST /pay") {
        run.paid.lock().unwrap().insert(id.clone());
    }
    count(&run.requests);
    let begun = Instant::now();
    let sent = connection.send(&request, draws);
    let leaves = match draws.below(100) {
        0..=7 => {
            std::thread::sleep(draws.millis(0, 100));
            true
        }
        8..=39 => !connection.begins_answer_within(draws.millis(5, 400)),
        _ => false,
    };
    if sent && leaves {
        let _ = connection.client.0.get_mut().shutdown(Shutdown::Both);
        run.left.lock().unwrap().insert(id, Instant::now());
        count(&run.abandoned);
        return None;
    }
    let Some(answer) = connection.client.response() else {
        check_unanswered(run, &connection, &id, begun);
        return None;
    };
    check_answer(run, &answer, &id, begun, seconds);
    connection.answers += 1;
    (answer.header("connection") != Some("close")).then_some(connection)
}

fn header_of<'a>(request: &'a str, name: &str) -> &'a str {
    let value = request.split(name).nth(1).unwrap_or("");
    value.split("\r\n").next().unwrap_or("")
}

/// No answer came: allowed where the close of a resting connection crossed the request, which no backend saw.
fn check_unanswered(run: &Run, connection: &Connection, id: &str, begun: Instant) {
    let waited = begun.elapsed();
    if connection.answers > 0 && !run.was_seen(id) && waited < DEADLINE {
        count(&run.crossed);
        return;
    }
    let seen = run.was_seen(id);
    let answers = connection.answers;
    run.breaks(format!(
        "no answer to {id} after {waited:?}; seen by a backend: {seen}; answers before on the connection: {answers}"
    ));
}

fn check_answer(run: &Run, answer: &Message, id: &str, begun: Instant, seconds: f64) {
    count(&run.answered);
    let took = begun.elapsed();
    if took > Duration::from_secs_f64(seconds) + LATE {
        run.breaks(format!(
            "the answer to {id} came after {took:?} of {seconds} s"
        ));
    }
    let status = answer.status();
    if !ANSWERS.contains(&status) {
        run.breaks(format!("{id} got the status {status}"));
    }
    let body = String::from_utf8_lossy(&answer.body);
    if status == 200 && !body.replace(id, "").is_empty() {
        run.breaks(format!("{id} got the body {body}"));
    }
}

/// Checks the attempts at the backends, once all is over.
fn check_attempts(run: &Run) {
    let left = run.left.lock().unwrap();
    let paid = run.paid.lock().unwrap();
    for (id, attempts) in run.attempts.lock().unwrap().iter() {
        let ran = attempts.iter().filter(|attempt| attempt.ran).count();
        if paid.contains(id) && ran > 1 {
            run.breaks(format!("{id} must not be repeated and ran {ran} times"));
        }
        let Some(at) = left.get(id) else { continue };
        for attempt in attempts {
            let late = attempt.at.saturating_duration_since(*at);
            if late > GONE {
                run.breaks(format!(
                    "an attempt of {id} began {late:?} after its client left"
                ));
            }
        }
    }
}

/// What a process is started with, each time.
#[derive(Clone)]
struct Place {
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Vec<String>,
    descriptors: u32,
}

impl Place {
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

/// Checks the limits of a process that still runs.
fn check_limits(run: &Run, proxy: &Proxy, descriptors: u32) {
    let process = format!("/proc/{}", proxy.child.id());
    if let Ok(open) = std::fs::read_dir(format!("{process}/fd")) {
        let open = open.count();
        if open > descriptors as usize {
            run.breaks(format!("{open} descriptors of {descriptors}"));
        }
    }
    let status = std::fs::read_to_string(format!("{process}/status")).unwrap_or_default();
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    if let Some(kb) = resident.filter(|kb| *kb > MEMORY_LIMIT_KB) {
        run.breaks(format!("{kb} KiB resident"));
    }
}

/// Some reloads in a row, and the first SIGTERM right after them.
fn signal_in_a_row(run: &Run, proxy: &Proxy, draws: &mut Draws) {
    for _ in 0..draws.below(3) {
        proxy.signal("-HUP");
        std::thread::sleep(draws.millis(0, 5));
    }
    run.signalled.store(true, Ordering::SeqCst);
    proxy.terminate();
}

/// A restart: signals in a series, the next process beside the old one, and the end of the old one before its kill.
fn restart(run: &Run, mut old: Proxy, place: &Place, draws: &mut Draws) -> Proxy {
    signal_in_a_row(run, &old, draws);
    let begun = Instant::now();
    let beside = place.clone();
    let is_beside = draws.chance(70);
    let mut next = is_beside.then(|| std::thread::spawn(move || (beside.start(), Instant::now())));
    if draws.chance(50) {
        old.signal("-HUP");
    }
    // New connections come for a while.
    std::thread::sleep(draws.millis(200, 400).saturating_sub(begun.elapsed()));
    run.open.store(false, Ordering::SeqCst);
    let again = begun + draws.millis(400, 2500);
    let mut terminated_again = draws.chance(50);
    let kill = begun + DEADLINE + KILL_AFTER_DEADLINE;
    let mut started = None;
    let status = loop {
        if let Some(status) = old.child.try_wait().unwrap() {
            break Some(status);
        }
        let now = Instant::now();
        if now >= kill {
            break None;
        }
        if now >= again && !terminated_again {
            old.terminate();
            terminated_again = true;
        }
        if next
            .as_ref()
            .is_some_and(std::thread::JoinHandle::is_finished)
        {
            let (proxy, ready) = next.take().unwrap().join().unwrap();
            check_ready(run, &proxy, ready - begun);
            run.open.store(true, Ordering::SeqCst);
            started = Some(proxy);
        }
        check_limits(run, &old, place.descriptors);
        std::thread::sleep(Duration::from_millis(10));
    };
    if !status.is_some_and(|status| status.success()) {
        let after = begun.elapsed();
        run.breaks(format!(
            "the old process ended with {status:?} after {after:?}"
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
            None => (place.start(), Instant::now()),
        };
        check_ready(run, &proxy, ready - waited_since);
        proxy
    });
    run.open.store(true, Ordering::SeqCst);
    proxy
}

fn check_ready(run: &Run, proxy: &Proxy, took: Duration) {
    if took > READY_WITHIN {
        run.breaks(format!("the next process was ready after {took:?}"));
    }
    if proxy.request(READY).status() != 200 {
        run.breaks("the next process was not ready".into());
    }
}

/// Draws the backends and where the proxy of a seed runs.
fn draw_place(seed: u64, run: &Arc<Run>, draws: &mut Draws, descriptors: u32) -> Place {
    let known = (0..draws.between(4, 12)).map(|n| {
        let index = match n {
            0 | 1 => 0, // always quick
            // So that many requests wait as clients leave.
            _ if seed.is_multiple_of(2) && draws.chance(60) => HANGING,
            _ => draws.below(BEHAVIOURS.len() as u64) as usize,
        };
        let address = start_backend(run, BEHAVIOURS[index], seed * 1000 + n);
        entry(&format!("b{n}"), address, "SERVING")
    });
    let known = known.collect();
    // A free port on an address of its own, so that nobody else is given it meanwhile.
    let own_address = format!("127.0.{}.{}:0", 80 + seed / 200, 1 + seed % 200);
    let listen = TcpListener::bind(own_address)
        .unwrap()
        .local_addr()
        .unwrap();
    Place {
        listen,
        discovery: DiscoveryServer::start().address,
        known,
        descriptors,
    }
}

/// Plays a seed and says what came of it, and what broke.
fn play(seed: u64) -> (String, Vec<String>) {
    let mut draws = Draws(Pcg32::seed_from_u64(seed));
    let run = Arc::new(Run::default());
    let has_crowd = seed.is_multiple_of(3);
    let descriptors = if has_crowd {
        DESCRIPTORS_WITH_CROWD
    } else {
        DESCRIPTORS
    };
    let place = draw_place(seed, &run, &mut draws, descriptors);
    let listen = place.listen;
    let mut proxy = place.start();
    run.open.store(true, Ordering::SeqCst);
    run.sending.store(true, Ordering::SeqCst);
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
        proxy = restart(&run, proxy, &place, &mut draws);
    }
    std::thread::sleep(draws.millis(200, 500));
    run.sending.store(false, Ordering::SeqCst);
    let count = clients.len();
    for client in clients {
        client.join().unwrap();
    }
    drop(idle);
    drop(proxy);
    check_attempts(&run);
    let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let figures = format!(
        "seed {seed}: {count} clients, {} backends, crowd {crowd}: {} requests, {} answered, {} refused, {} crossed, {} abandoned, {} resets",
        place.known.len(), of(&run.requests), of(&run.answered), of(&run.refused), of(&run.crossed), of(&run.abandoned), of(&run.resets)
    );
    let broken = std::mem::take(&mut *run.broken.lock().unwrap());
    (figures, broken)
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(given) = std::env::var("SOAK_SEEDS") else {
        return FIXED_SEEDS;
    };
    let (first, last) = given.split_once("..").unwrap_or((&given, &given));
    let number = |text: &str| text.trim_start_matches('=').parse::<u64>().unwrap();
    number(first)..number(last) + 1
}

/// Requests were lost, answered late, repeated or sent for clients that had left, while processes were restarted.
#[test]
fn restarts_under_load_keep_every_promise_to_clients() {
    let next = AtomicU64::new(seeds().start);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= seeds().end {
                    return;
                }
                let (figures, breaks) = play(seed);
                println!("{figures}, {} broken", breaks.len());
                let command = format!("SOAK_SEEDS={seed} cargo test --locked --test restart_soak");
                let breaks = breaks.into_iter().map(|what| format!("{command}: {what}"));
                broken.lock().unwrap().extend(breaks);
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    for what in &broken {
        println!("{what}");
    }
    assert!(broken.is_empty(), "{} promises broken", broken.len());
}
