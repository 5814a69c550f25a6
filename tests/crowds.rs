//! Ordinary requests beside a crowd of clients that connect, send a part of a request or read nothing, and stay.

mod rig;

use rig::*;
use std::io::{BufRead, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The least number of descriptors that a proxy is run with.
const DESCRIPTORS: u32 = 256;
/// More connections than the proxy can hold, and than its backlog holds beside them.
const CROWD: usize = 800;
const CROWD_THREADS: usize = 8;
const ORDINARY_CLIENTS: u64 = 4;
/// How long the ordinary clients go on.
const DURATION: Duration = Duration::from_secs(6);
/// The ordinary clients' time in seconds.
const TIME_LEFT_S: f64 = 0.75;
/// How long after its time a request may get its final answer, with the allowance for time limits on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// Of a longer response only the first bytes are due in time.
const TIMED_WHOLE_BYTES: usize = 64 * 1024;

/// What happened to the requests of ordinary clients that were completely written.
#[derive(Debug, Default)]
struct Counts {
    in_time: u32,
    late: u32,
    /// Their connections were closed without an answer.
    turned_back: u32,
}

/// Sends requests on a new connection each until `end`.
fn ordinary_client(address: SocketAddr, end: Instant) -> Counts {
    let mut counts = Counts::default();
    while Instant::now() < end {
        let mut client = Client::connect(address);
        if client
            .0
            .get_mut()
            .write_all(read_request(TIME_LEFT_S).as_bytes())
            .is_err()
        {
            counts.turned_back += 1;
            continue;
        }
        let written_at = Instant::now();
        let _ = client.0.fill_buf();
        let first_byte_after = written_at.elapsed();
        let answer = client.response();
        let waited = match &answer {
            Some(answer) if answer.body.len() > TIMED_WHOLE_BYTES => first_byte_after,
            _ => written_at.elapsed(),
        };
        let in_time = waited <= Duration::from_secs_f64(TIME_LEFT_S) + GRACE;
        match (answer, in_time) {
            (Some(_), true) => counts.in_time += 1,
            (None, true) => counts.turned_back += 1,
            (_, false) => counts.late += 1,
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    counts
}

/// Opens this thread's part of the crowd and holds it until `is_over`.
fn crowd(address: SocketAddr, bytes: &[u8], is_over: &AtomicBool) {
    let mut held = Vec::new();
    for _ in 0..CROWD / CROWD_THREADS {
        let connected = TcpStream::connect_timeout(&address, Duration::from_secs(5));
        let Ok(mut connection) = connected else {
            continue;
        };
        match connection.write_all(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => held.push(connection),
        }
        if is_over.load(Ordering::SeqCst) {
            return;
        }
    }
    while !is_over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Plays ordinary clients beside a crowd each of which sends `bytes` and reads nothing.
fn play(bytes: &[u8], backend: &BackendServer) -> Counts {
    let known = [entry("b0", backend.address, "SERVING")];
    let proxy = Proxy::with_settings(&known, DESCRIPTORS, SETTINGS);
    let is_over = AtomicBool::new(false);
    let end = Instant::now() + DURATION;
    std::thread::scope(|scope| {
        for _ in 0..CROWD_THREADS {
            scope.spawn(|| crowd(proxy.address, bytes, &is_over));
        }
        let clients: Vec<_> = (0..ORDINARY_CLIENTS)
            .map(|_| scope.spawn(|| ordinary_client(proxy.address, end)))
            .collect();
        let mut total = Counts::default();
        for client in clients {
            let counts = client.join().unwrap();
            total.in_time += counts.in_time;
            total.late += counts.late;
            total.turned_back += counts.turned_back;
        }
        is_over.store(true, Ordering::SeqCst);
        total
    })
}

/// Checks that no request was answered late, and that most were answered, beside a crowd that sends `bytes`.
fn check(case: &str, bytes: &[u8]) {
    let counts = play(bytes, &BackendServer::start(|_| ok("x")));
    println!("{case}: {counts:?}");
    assert_eq!(counts.late, 0, "{case}: {counts:?}");
    assert!(
        counts.in_time > 4 * counts.turned_back,
        "{case}: {counts:?}"
    );
}

/// Guards against ordinary requests that waited in the backlog, for seconds, behind a crowd that stops within a head.
#[test]
fn a_crowd_of_partial_heads_delays_no_ordinary_request() {
    check("half a head", b"GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr");
}

/// Guards against the same behind a crowd that stops within a body that is buffered.
#[test]
fn a_crowd_of_partial_short_bodies_delays_no_ordinary_request() {
    let head = pay_request(3.0).replace("Length: 4", "Length: 60000");
    check("a short body", (head + &"x".repeat(30_000)).as_bytes());
}

/// Guards against the same behind a crowd that stops within a body that is streamed.
#[test]
fn a_crowd_of_partial_long_bodies_delays_no_ordinary_request() {
    let head = pay_request(3.0).replace("Length: 4", "Length: 10000000");
    check("a long body", (head + &"x".repeat(200_000)).as_bytes());
}

/// Guards against requests that wait in the backlog without end while every connection carries a response that its client
/// does not read: they are turned back, so that the clients can go elsewhere.
#[test]
fn beside_a_crowd_that_does_not_read_requests_are_turned_back_in_time() {
    const LONG: usize = 6_000_000;
    let body = "x".repeat(LONG);
    let backend = BackendServer::start(move |_| ok(&body));
    let counts = play(read_request(3.0).as_bytes(), &backend);
    println!("{counts:?}");
    assert_eq!(counts.late, 0, "{counts:?}");
}
