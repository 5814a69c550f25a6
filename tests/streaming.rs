//! Requests and responses that are too long to buffer, and slow ones: they are streamed, bounded in memory, and a break
//! in one is visible to the client.

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::Duration;

const LONG: usize = 1_000_000;

/// A body of `length` bytes with a repeating pattern.
fn text(length: usize) -> String {
    (0..length)
        .map(|n| char::from(b'a' + (n % 23) as u8))
        .collect()
}

/// Starts a backend that reads one request head on each connection and passes the connection to `act`, with its number.
fn start_raw_backend(
    act: impl Fn(usize, TcpStream) + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, count, act) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(act),
    );
    let seen = count.clone();
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let (seen, act) = (seen.clone(), act.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp.try_clone().unwrap());
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                    line.clear();
                }
                act(seen.fetch_add(1, SeqCst), tcp);
            });
        }
    });
    (address, count)
}

/// The head of a response with a body of `length` bytes.
fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

/// Starts a proxy with one endpoint.
fn start_with_backend(address: SocketAddr) -> Proxy {
    Proxy::start(&[entry("b0", address, "SERVING")])
}

#[test]
fn long_requests_and_responses_pass_unchanged() {
    let response = text(LONG + 7);
    let reply = response.clone();
    let backend = BackendServer::start(move |_| ok(&reply));
    let proxy = start_with_backend(backend.address);
    let body = text(LONG);
    let mut client = proxy.client();
    let received = client.request(
        &pay_request(3.0)
            .replace("Length: 4", &format!("Length: {LONG}"))
            .replace("cash", &body),
    );
    assert_eq!(
        (received.status(), received.body == response.as_bytes()),
        (200, true)
    );
    assert!(backend.next_request().body == body.as_bytes());
    // A chunked body, followed by another request on the same connection.
    let chunked = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    client.send(
        &pay_request(3.0)
            .replace("Content-Length: 4", "Transfer-Encoding: chunked")
            .replace("cash", &chunked),
    );
    assert!(client.response().expect("no response").body == response.as_bytes());
    assert!(backend.next_request().body == body.as_bytes());
    let received = client.request(&read_request(3.0));
    assert_eq!(
        (received.status(), received.body == response.as_bytes()),
        (200, true)
    );
}

/// The deadline applies to the first bytes of a response. The rest may take longer than the client's time.
#[test]
fn a_long_response_streams_past_the_deadline() {
    for framing in [
        head(2 * LONG),
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
    ] {
        let gate = Arc::new(Gate::default());
        let wait = gate.clone();
        let (address, _) = start_raw_backend(move |_, mut tcp| {
            tcp.write_all(framing.as_bytes()).unwrap();
            tcp.write_all(text(LONG).as_bytes()).unwrap();
            wait.wait();
            tcp.write_all(text(LONG).as_bytes()).unwrap();
        });
        let proxy = start_with_backend(address);
        let mut client = proxy.client();
        client.send(&read_request(0.4));
        let mut first = vec![0; LONG / 2];
        client.0.read_exact(&mut first).unwrap();
        assert!(first.starts_with(b"HTTP/1.1 200"));
        std::thread::sleep(Duration::from_millis(600));
        gate.open();
        client
            .0
            .read_exact(&mut vec![0; LONG + LONG / 2])
            .expect("the response broke off"); // without the head and the last chunk
    }
}

/// A response that breaks off while it is streamed is visibly truncated for the client, and the request is not retried.
#[test]
fn a_long_response_that_breaks_off_is_visibly_truncated() {
    let (address, count) = start_raw_backend(|_, mut tcp| {
        tcp.write_all(head(2 * LONG).as_bytes()).unwrap();
        tcp.write_all(text(LONG).as_bytes()).unwrap();
    });
    let proxy = start_with_backend(address);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    let mut received = Vec::new();
    let _ = client.0.read_to_end(&mut received);
    assert!(
        received.starts_with(b"HTTP/1.1 200") && received.len() < 2 * LONG,
        "{}",
        received.len()
    );
    assert_eq!(count.load(SeqCst), 1);
    // An HTTP/1.0 client gets neither chunks nor a length: only a reset shows that the response is truncated.
    let (address, _) = start_raw_backend(|_, mut tcp| {
        tcp.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        tcp.write_all(format!("{LONG:x}\r\n{}\r\n", text(LONG)).as_bytes())
            .unwrap();
    });
    let proxy = start_with_backend(address);
    let mut client = proxy.client();
    client.send(&read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"));
    assert!(
        client.0.read_to_end(&mut Vec::new()).is_err(),
        "the connection was closed without a reset"
    );
}

/// A request body is forwarded while it arrives. If the backend closes the connection, the rest goes to no other
/// backend.
#[test]
fn a_long_body_goes_to_one_backend_only() {
    let (sender, forwarded) = mpsc::channel();
    let sender = std::sync::Mutex::new(sender);
    let first = start_raw_backend(move |_, mut tcp| {
        let mut chunk = vec![0; 100_000];
        tcp.read_exact(&mut chunk).unwrap();
        sender.lock().unwrap().send(()).unwrap();
    });
    let proxy = start_with_backend(first.0);
    let mut client = proxy.client();
    let all = pay_request(3.0)
        .replace("Length: 4", &format!("Length: {LONG}"))
        .replace("cash", &text(LONG / 2));
    client.send(&all);
    forwarded
        .recv_timeout(TEST_TIMEOUT)
        .expect("the body was not forwarded before it was complete");
    assert_eq!(
        client.response().expect("no response").status(),
        503,
        "a request that did not run must get 503"
    );
    assert_eq!(first.1.load(SeqCst), 1);
}

/// Backpressure: if a client does not read a response, the proxy stops reading it from the backend.
#[test]
fn a_client_that_does_not_read_stops_reading_from_the_backend() {
    const HUGE: usize = 256 << 20;
    let (sent, stopped) = (Arc::new(AtomicUsize::new(0)), Arc::new(Gate::default()));
    let (count, stop) = (sent.clone(), stopped.clone());
    let (address, _) = start_raw_backend(move |_, mut tcp| {
        tcp.set_write_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        tcp.write_all(head(HUGE).as_bytes()).unwrap();
        let chunk = text(1 << 16);
        while count.load(SeqCst) < HUGE && tcp.write_all(chunk.as_bytes()).is_ok() {
            count.fetch_add(1 << 16, SeqCst);
        }
        stop.open();
    });
    let proxy = start_with_backend(address);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    stopped.wait();
    assert!(sent.load(SeqCst) < HUGE / 4, "{}", sent.load(SeqCst));
    assert_eq!(
        proxy
            .client()
            .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
}

/// A body that takes 4 s, longer than the stall timeout and the deadline of its class, is accepted while it makes
/// progress.
#[test]
fn a_slow_body_is_accepted_while_it_makes_progress() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = start_with_backend(backend.address);
    let mut client = proxy.client();
    let length = 64 * 4000;
    client.send(
        pay_request(1.0)
            .replace("Length: 4", &format!("Length: {length}"))
            .strip_suffix("cash")
            .unwrap(),
    );
    for _ in 0..64 {
        client.send(&text(4000));
        std::thread::sleep(Duration::from_millis(62));
    }
    assert_eq!(client.response().expect("no response").status(), 200);
    assert_eq!(backend.next_request().body.len(), length);
}

#[test]
fn absolute_targets_expect_pipelining_and_http_1_0_are_supported() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = start_with_backend(backend.address);
    let mut client = proxy.client();
    client.send(
        &read_request(3.0).replace("GET /read/k1", "GET http://service.internal/read/k1?a=b"),
    );
    assert_eq!(client.response().expect("no response").status(), 200);
    assert_eq!(
        backend.next_request().start_line,
        "GET /read/k1?a=b HTTP/1.1"
    );
    let ask = pay_request(3.0).replace("Host: s", "Host: s\r\nExpect: 100-continue");
    client.send(ask.strip_suffix("cash").unwrap());
    assert_eq!(
        client.response().expect("no interim response").status(),
        100
    );
    client.send("cash");
    assert_eq!(client.response().expect("no response").status(), 200);
    client.send(&(read_request(3.0) + &read_request(3.0)));
    assert_eq!(client.response().expect("no first response").status(), 200);
    assert_eq!(client.response().expect("no second response").status(), 200);
    let mut http_1_0_client = proxy.client();
    http_1_0_client.send(&read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"));
    assert_eq!(
        http_1_0_client.response().expect("no response").status(),
        200
    );
    assert!(http_1_0_client.is_closed());
    for bad in [
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4, 5",
        "Transfer-Encoding: chunked, x",
    ] {
        let response = proxy.request(&pay_request(3.0).replace("Content-Length: 4", bad));
        assert_eq!(response.status(), 400, "{bad}");
    }
}

/// If a backend stops reading a request body but keeps the connection open, the proxy abandons the request.
#[test]
fn a_backend_that_stops_reading_a_body_is_abandoned() {
    const HUGE: usize = 64 << 20;
    let (address, _) = start_raw_backend(move |_, tcp| {
        std::thread::sleep(4 * TEST_TIMEOUT);
        drop(tcp);
    });
    let body = text(1 << 20);
    let proxy = start_with_backend(address);
    let mut client = proxy.client();
    client.send(
        pay_request(3.0)
            .replace("Length: 4", &format!("Length: {HUGE}"))
            .strip_suffix("cash")
            .unwrap(),
    );
    let mut writer = client.0.get_ref().try_clone().unwrap();
    let sending =
        std::thread::spawn(move || (0..64).all(|_| writer.write_all(body.as_bytes()).is_ok()));
    let mut first = [0; 12];
    let received = client.0.read(&mut first);
    let ended = received.map_or_else(
        |e| e.kind() != std::io::ErrorKind::WouldBlock,
        |n| !first[..n].ends_with(b"200"),
    );
    assert!(
        ended,
        "neither an error nor the end of the connection in time"
    );
    drop((client, proxy));
    assert!(!sending.join().unwrap(), "the whole body was read");
}

/// A request is rejected while its body, which is larger than the memory limit, still arrives: the client gets the
/// response, and the rest of the body is read and discarded.
#[test]
fn the_rest_of_a_rejected_body_is_read_and_discarded() {
    const HUGE: usize = 48_000_000;
    let refusing = RefusingPort::new();
    let proxy = start_with_backend(refusing.address());
    let peak_memory = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
        let peak = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap()
            .trim()
            .to_string();
        peak.split(' ').next().unwrap().parse::<usize>().unwrap() * 1024
    };
    let before = peak_memory();
    let mut client = proxy.client();
    client.send(
        &pay_request(3.0)
            .replace("Length: 4", &format!("Length: {HUGE}"))
            .replace("cash", ""),
    );
    let chunk = text(100_000);
    (0..HUGE / chunk.len()).for_each(|_| client.send(&chunk));
    assert_eq!(client.response().expect("no response").status(), 503);
    let grown = peak_memory() - before;
    assert!(
        grown < HUGE / 4,
        "{grown} bytes more of memory for a rejected body of {HUGE} bytes"
    );
}
