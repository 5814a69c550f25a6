//! The time of a request whose body is streamed: it counts from the client's last byte, also where that byte waits for a
//! backend that does not read.

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// More than a connection to a backend takes without its being read, and less than both connections together do.
const BODY_BYTES: usize = 6_000_000;
/// The clients' time in seconds.
const TIME_LEFT_S: f64 = 1.0;
/// How long after its time a request may get its final answer, with the allowance for time limits on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// Starts a backend that reads a request's head on each connection and passes the connection to `act`.
fn start_backend(act: impl Fn(BufReader<TcpStream>) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let act = act.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp);
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                    line.clear();
                }
                act(reader);
            });
        }
    });
    address
}

/// How a request announces the length of its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

const FRAMINGS: [Framing; 2] = [Framing::Length, Framing::Chunked];

impl Framing {
    /// The head of a `pay` request with a body of this framing.
    fn head(self, time_left_s: f64) -> String {
        let header = match self {
            Framing::Length => format!("Content-Length: {BODY_BYTES}"),
            Framing::Chunked => "Transfer-Encoding: chunked".into(),
        };
        let request = pay_request(time_left_s).replace("Content-Length: 4", &header);
        request.strip_suffix("cash").unwrap().into()
    }

    /// A body of [`BODY_BYTES`] bytes.
    fn body(self) -> Vec<u8> {
        let data = vec![b'x'; BODY_BYTES];
        match self {
            Framing::Length => data,
            Framing::Chunked => [
                format!("{BODY_BYTES:x}\r\n").as_bytes(),
                &data,
                b"\r\n0\r\n\r\n",
            ]
            .concat(),
        }
    }
}

/// Sends a request with its whole body at once. Returns the status of its final answer, and how long after the body's
/// last byte was written it came.
fn send_at_once(to: &Proxy, framing: Framing) -> (u16, Duration) {
    let mut client = to.client();
    let mut writer = client.0.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let head = framing.head(TIME_LEFT_S).into_bytes();
        let written = writer
            .write_all(&head)
            .and_then(|()| writer.write_all(&framing.body()));
        written.map(|()| Instant::now())
    });
    let status = client.response().expect("no final answer").status();
    let answered_at = Instant::now();
    let written_at = writing.join().unwrap();
    let written_at =
        written_at.expect("the client could not write the body while its backend hung");
    (status, answered_at.saturating_duration_since(written_at))
}

/// Guards against final answers that came up to 10 s after the client's last byte, once a backend had stopped reading
/// the body.
#[test]
fn a_backend_that_hangs_within_a_body_delays_no_final_answer() {
    let address = start_backend(|connection| {
        std::thread::sleep(TEST_TIMEOUT);
        drop(connection);
    });
    let proxy = Proxy::start(&[entry("b0", address, "SERVING")]);
    for framing in FRAMINGS {
        let (status, after) = send_at_once(&proxy, framing);
        assert_eq!(status, 503, "{framing:?}: the request did not run");
        assert!(
            after <= Duration::from_secs_f64(TIME_LEFT_S) + GRACE,
            "{framing:?}: answered {after:?} after the last byte"
        );
    }
}

/// Guards against a deadline that began anew once a waiting body had been read by its backend, not from the client's last
/// byte.
#[test]
fn a_body_that_waited_for_its_backend_gets_no_more_time() {
    const HANG: Duration = Duration::from_millis(800);
    for framing in FRAMINGS {
        let address = start_backend(|mut connection| {
            std::thread::sleep(HANG);
            let _ = std::io::copy(&mut connection, &mut std::io::sink()); // it reads on, and never answers
        });
        let proxy = Proxy::start(&[entry("b0", address, "SERVING")]);
        let (status, after) = send_at_once(&proxy, framing);
        assert!(status >= 500, "{framing:?}: status {status}");
        assert!(
            after <= Duration::from_secs_f64(TIME_LEFT_S) + GRACE,
            "{framing:?}: answered {after:?} after the last byte"
        );
    }
}

/// The time in which the proxy waits for the client is not the request's: its last byte is still to come.
#[test]
fn a_client_that_pauses_within_a_body_keeps_its_time() {
    const PAUSE: Duration = Duration::from_millis(1_300);
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    for framing in FRAMINGS {
        let body = framing.body();
        let mut client = proxy.client();
        client.send(&framing.head(TIME_LEFT_S));
        let stream = client.0.get_mut();
        for part in body.chunks(BODY_BYTES / 2) {
            stream.write_all(part).unwrap();
            std::thread::sleep(PAUSE);
        }
        assert_eq!(
            client.response().expect("no answer").status(),
            200,
            "{framing:?}"
        );
        assert_eq!(backend.next_request().body.len(), BODY_BYTES);
    }
}

/// A client that sends a body at the pace of a slow backend, for longer than its time, is served: the proxy waits for it
/// again and again.
#[test]
fn a_body_at_the_pace_of_its_backend_is_served() {
    const PIECES: usize = 30;
    const PAUSE: Duration = Duration::from_millis(60);
    let address = start_backend(|mut connection| {
        let mut piece = vec![0; BODY_BYTES / PIECES];
        for _ in 0..PIECES {
            if connection.read_exact(&mut piece).is_err() {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
        let _ = connection.get_mut().write_all(answer);
    });
    let proxy = Proxy::start(&[entry("b0", address, "SERVING")]);
    let mut client = proxy.client();
    client.send(&Framing::Length.head(TIME_LEFT_S));
    for piece in Framing::Length.body().chunks(BODY_BYTES / PIECES) {
        client.0.get_mut().write_all(piece).unwrap();
        std::thread::sleep(PAUSE);
    }
    assert_eq!(client.response().expect("no answer").status(), 200);
}

/// Guards against time that a backend was told and the client no longer had: the whole time, for a body that had waited
/// for capacity.
#[test]
fn the_time_that_a_body_waited_for_capacity_is_not_told_to_its_backend() {
    const WAIT: Duration = Duration::from_millis(400);
    /// How much more than the client's time a backend may be told.
    const SLACK_S: f64 = 0.15;
    /// Fits into the client's send buffer, so that the last byte may have been sent before the wait.
    const SENT_BYTES: usize = 3_000_000;
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    let mut clients: Vec<_> = (0..20).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|c| c.send(&read_request(3.0)));
    std::thread::sleep(Duration::from_millis(200)); // until the backend is full
    let mut client = proxy.client();
    let header = format!("Content-Length: {SENT_BYTES}");
    let request = pay_request(3.0).replace("Content-Length: 4", &header);
    client.send(request.strip_suffix("cash").unwrap());
    let mut writer = client.0.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || writer.write_all(&vec![b'x'; SENT_BYTES]));
    std::thread::sleep(WAIT);
    gate.open();
    assert_eq!(client.response().expect("no answer").status(), 200);
    writing.join().unwrap().unwrap();
    let request = loop {
        let request = backend.next_request();
        if request.start_line.starts_with("POST") {
            break request;
        }
    };
    let told: f64 = request.header("x-time-left").unwrap().parse().unwrap();
    let left = 3.0 - WAIT.as_secs_f64();
    assert!(
        told <= left + SLACK_S,
        "told {told} s, the client had {left} s"
    );
}
