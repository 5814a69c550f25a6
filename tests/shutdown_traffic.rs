//! Planned restarts while requests still arrive and responses are still read: late requests are answered before the platform
//! kills the proxy, and responses are written to their last byte before it exits.

mod rig;

use rig::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request that the proxy answers itself, without a backend.
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Settings whose classes have a deadline of 0.3 s, over long before a long response is.
fn settings_with_short_deadline() -> String {
    SETTINGS
        .replace("\"aim_us\":900000", "\"aim_us\":150000")
        .replace("\"deadline_us\":3000000", "\"deadline_us\":300000")
}

/// Starts a proxy with one endpoint.
fn start_with_backend(backend: &BackendServer) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

/// The platform kills the proxy this long after SIGTERM where the longest deadline is 3 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// When the clients of a shutdown write the last byte of their requests, after SIGTERM.
const LATE_COMPLETION: Duration = Duration::from_millis(1_500);

/// A request that its client writes in two parts.
struct SplitRequest {
    name: &'static str,
    text: String,
    /// The length of the first part in bytes.
    first: usize,
}

/// Requests in all framings, each with 3 s, that are split within the head or within the body.
fn split_requests() -> Vec<SplitRequest> {
    let long_body = "x".repeat(200_000);
    let chunked = |data: &str| {
        let body = format!("{:x}\r\n{data}\r\n0\r\n\r\n", data.len());
        pay_request(3.0)
            .replace("Content-Length: 4", "Transfer-Encoding: chunked")
            .replace("cash", &body)
    };
    let requests = [
        ("head", read_request(3.0)),
        (
            "HTTP/1.0",
            read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"),
        ),
        ("body", pay_request(3.0)),
        ("chunked body", chunked("cash")),
        (
            "long body",
            pay_request(3.0)
                .replace("Length: 4", "Length: 200000")
                .replace("cash", &long_body),
        ),
        ("long chunked body", chunked(&long_body)),
    ];
    let split = |(name, text): (&'static str, String)| SplitRequest {
        first: text.len() - 2,
        name,
        text,
    };
    requests.map(split).into()
}

/// Guards against requests that were complete late in a shutdown, ran at a backend, and had no answer when the platform
/// killed the proxy.
#[test]
fn a_request_that_completes_late_in_a_shutdown_is_answered_before_the_kill() {
    let backend = BackendServer::start(|_| Reply::NoResponse);
    let proxy = start_with_backend(&backend);
    let requests = split_requests();
    let mut clients: Vec<Client> = requests.iter().map(|_| proxy.client()).collect();
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request.text[..request.first]);
    }
    assert_eq!(proxy.request(READY).status(), 200); // by now the first parts have arrived
    proxy.terminate();
    let terminated_at = Instant::now();
    std::thread::sleep(LATE_COMPLETION);
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request.text[request.first..]);
    }
    for (client, request) in clients.iter_mut().zip(&requests) {
        let time_left = KILL_AFTER.saturating_sub(terminated_at.elapsed());
        client
            .0
            .get_ref()
            .set_read_timeout(Some(time_left.max(Duration::from_millis(1))))
            .unwrap();
        let answer = client
            .response()
            .unwrap_or_else(|| panic!("{}: no answer before the kill", request.name));
        assert!(answer.status() >= 500, "{}", request.name);
    }
}

/// A request that completes late in a shutdown and can still be served before the kill is served.
#[test]
fn a_request_that_completes_late_in_a_shutdown_is_served_if_there_is_time() {
    let backend = BackendServer::start(|_| {
        std::thread::sleep(Duration::from_millis(300));
        ok("x")
    });
    let proxy = start_with_backend(&backend);
    let requests = split_requests();
    let mut clients: Vec<Client> = requests.iter().map(|_| proxy.client()).collect();
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request.text[..request.first]);
    }
    assert_eq!(proxy.request(READY).status(), 200);
    proxy.terminate();
    std::thread::sleep(LATE_COMPLETION);
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(&request.text[request.first..]);
    }
    for (client, request) in clients.iter_mut().zip(&requests) {
        let answer = client.response();
        assert_eq!(answer.map(|a| a.status()), Some(200), "{}", request.name);
    }
}

/// Connects a client whose kernel holds little of what the client has not read.
fn client_with_small_buffer(proxy: &Proxy) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(100_000).unwrap();
    socket.connect(&proxy.address.into()).unwrap();
    let tcp: TcpStream = socket.into();
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    tcp
}

/// Starts a backend that answers each request with `length` bytes, chunked if `is_chunked`.
fn start_long_backend(length: usize, is_chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            std::thread::spawn(move || {
                while tcp.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                    let body = vec![b'x'; length];
                    let (framing, end) = match is_chunked {
                        true => (
                            format!("Transfer-Encoding: chunked\r\n\r\n{length:x}"),
                            &b"\r\n0\r\n\r\n"[..],
                        ),
                        false => (format!("Content-Length: {length}\r\n"), &b""[..]),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
                    let message = [head.as_bytes(), &body, end].concat();
                    if tcp.write_all(&message).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against responses whose last bytes were in hyper's buffer when the proxy exited, or when it closed their
/// connections because they seemed idle.
#[test]
fn a_shutdown_waits_until_the_last_bytes_of_responses_are_written() {
    /// More than the kernel takes, so that the last bytes of the response stay in the proxy.
    const LONG: usize = 24_000_000;
    /// Longer than a turn of the proxy's event loop, after which it may exit.
    const READ_PAUSE: Duration = Duration::from_millis(50);
    const PIECE: u64 = 500_000;
    let forms = [
        ("Content-Length", LONG, false, "HTTP/1.1"),
        ("chunked", LONG, true, "HTTP/1.1"),
        ("HTTP/1.0", LONG, false, "HTTP/1.0"),
        ("HTTP/1.0 of unknown length", LONG, true, "HTTP/1.0"),
    ];
    let play = |(name, length, is_chunked, version): (&str, usize, bool, &str)| {
        let address = start_long_backend(length, is_chunked);
        let mut proxy = Proxy::with_settings(
            &[entry("b0", address, "SERVING")],
            1024,
            &settings_with_short_deadline(),
        );
        let request = read_request(0.3).replace("HTTP/1.1", version);
        let mut client = client_with_small_buffer(&proxy);
        client.write_all(request.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(200)); // the response has begun
        proxy.terminate();
        let mut received = Vec::new();
        let ended = loop {
            std::thread::sleep(READ_PAUSE);
            match (&mut client).take(PIECE).read_to_end(&mut received) {
                Ok(0) => break Ok(()),
                Ok(_) => {}
                Err(error) => break Err(error),
            }
        };
        let data = received.iter().filter(|byte| **byte == b'x').count();
        assert!(
            data >= length,
            "{name}: {data} of {length} bytes, {ended:?}"
        );
        assert!(proxy.child.wait().unwrap().success());
    };
    std::thread::scope(|scope| {
        for form in forms {
            scope.spawn(move || play(form));
        }
    });
}
