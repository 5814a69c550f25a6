//! Malformed, truncated and surplus responses from backends: the proxy detects each one, and none of their bytes become
//! the response to a later request on the same connection.

mod rig;

use rig::scripted::*;
use rig::*;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Starts a proxy with one endpoint.
fn start_with_backend(backend: &ScriptedBackend) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

/// Starts a proxy with a control listener that logs at debug level.
fn start_with_debug_log(backend: &ScriptedBackend) -> Proxy {
    let level = [
        ("NODE_LOG", "debug".to_string()),
        ("TMPDIR", create_temp_dir().display().to_string()),
    ];
    Proxy::with_control(&[entry("b0", backend.address, "SERVING")], SETTINGS, &level)
}

/// Bytes that follow a response at once: the client gets the response, and the connection is not used again.
#[test]
fn bytes_after_a_response_are_never_part_of_the_next_response() {
    let second = ok_response("another");
    for surplus in [&second[..], "HTTP/1.1 2", "x", "\r\n"] {
        let backend = ScriptedBackend::start();
        let proxy = start_with_backend(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let mut connection = backend.accept();
        connection.next_request();
        connection.send(ok_response("first") + surplus);
        assert_eq!(
            client.response().expect("no response").body,
            b"first",
            "{surplus:?}"
        );
        check_next_request_uses_new_connection(&backend, &mut client, connection, surplus);
    }
}

/// Checks that the next request is sent on a new connection and that nothing more is sent on the previous one.
fn check_next_request_uses_new_connection(
    backend: &ScriptedBackend,
    client: &mut Client,
    previous: BackendConnection,
    case: &str,
) {
    client.send(&pay_request(3.0));
    let mut next = backend.accept();
    next.next_request();
    next.send_response("second");
    assert_eq!(
        client.response().expect("no response").body,
        b"second",
        "{case:?}"
    );
    assert_eq!(previous.read_until_closed(), b"", "{case:?}");
}

/// Bytes that arrive while the connection is idle: it is not used for the next request.
#[test]
fn bytes_between_two_requests_are_never_part_of_the_next_response() {
    let second = ok_response("another");
    for surplus in [&second[..], "HTTP/1.1 2", "x"] {
        let backend = ScriptedBackend::start();
        let proxy = start_with_backend(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let mut connection = backend.accept();
        connection.next_request();
        connection.send_response("first");
        assert_eq!(client.response().expect("no response").body, b"first");
        connection.send(surplus);
        check_next_request_uses_new_connection(&backend, &mut client, connection, surplus);
    }
}

/// A surplus response that arrives after the next request was sent would be taken for the response to that request. So
/// the proxy keeps a connection idle for a few milliseconds before it reuses it, even if requests follow each other at
/// once.
#[test]
fn a_connection_is_idle_briefly_between_a_response_and_the_next_request() {
    let backend = ScriptedBackend::start();
    let proxy = start_with_backend(&backend);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    let mut connection = backend.accept();
    for _ in 0..10 {
        connection.next_request();
        let answered = Instant::now();
        connection.send_response("x");
        assert_eq!(client.response().expect("no response").body, b"x");
        client.send(&pay_request(3.0));
        connection.0.get_ref().peek(&mut [0]).expect("no request");
        assert!(
            answered.elapsed() >= Duration::from_millis(3),
            "{:?}",
            answered.elapsed()
        );
    }
    connection.next_request();
    connection.send_response("x");
    assert_eq!(client.response().expect("no response").status(), 200);
}

/// A response that arrives before the whole request was sent cannot belong to it, and the request has not run.
#[test]
fn a_response_before_the_requests_last_byte_is_rejected() {
    const LENGTH: usize = 1_000_000;
    let backend = ScriptedBackend::start();
    let proxy = start_with_backend(&backend);
    let mut client = proxy.client();
    client.send(
        &pay_request(3.0)
            .replace("Length: 4", &format!("Length: {LENGTH}"))
            .replace("cash", ""),
    );
    client.send(&"y".repeat(LENGTH / 2));
    let mut connection = backend.accept();
    connection.read_bytes(LENGTH / 2);
    connection.send_response("stale");
    assert_eq!(
        client.response().expect("no response").status(),
        503,
        "a request that did not run must get 503"
    );
    assert!(
        connection.read_until_closed().len() < LENGTH / 2,
        "the rest of the request was sent"
    );
}

/// A response body without a length is complete if the backend closes the connection, and truncated if it resets it.
/// The proxy must not present a truncated one as complete, however long it is and whatever HTTP version the client
/// uses.
#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
    let (small, large) = ("z".repeat(3_000), "z".repeat(300_000));
    for (http_1_0, body, reset) in [
        (false, &small, true),
        (true, &small, true),
        (false, &large, true),
        (true, &large, true),
        (true, &small, false),
        (false, &large, false),
    ] {
        let backend = ScriptedBackend::start();
        let proxy = start_with_backend(&backend);
        let mut client = proxy.client();
        let request = pay_request(3.0).replace("Host: s", "Host: s\r\nConnection: close");
        client.send(&request.replace("HTTP/1.1", if http_1_0 { "HTTP/1.0" } else { "HTTP/1.1" }));
        let mut connection = backend.accept();
        connection.next_request();
        let (payload, streamed) = (body.clone(), body.len() > 65_536);
        let (sent, all_sent) = std::sync::mpsc::channel();
        let (finish, finish_signal) = std::sync::mpsc::channel::<()>();
        let sending = std::thread::spawn(move || {
            connection.send("HTTP/1.1 200 OK\r\n\r\n");
            connection.send(&payload);
            sent.send(()).unwrap();
            finish_signal.recv().unwrap();
            if reset {
                connection.reset();
            }
        });
        let mut received_bytes = Vec::new();
        if streamed {
            received_bytes = vec![0; 70_000]; // streamed: the proxy can no longer replace the response
            client.0.read_exact(&mut received_bytes).unwrap();
        }
        all_sent
            .recv_timeout(TEST_TIMEOUT)
            .expect("the backend could not send the whole body");
        finish.send(()).unwrap();
        sending.join().unwrap();
        let closed_cleanly = client.0.read_to_end(&mut received_bytes).is_ok();
        let received = String::from_utf8_lossy(&received_bytes);
        let case = format!("HTTP/1.0 {http_1_0}, {} bytes, reset {reset}", body.len());
        match (reset, streamed) {
            (true, false) => assert!(
                received.starts_with("HTTP/1.1 502") || received.starts_with("HTTP/1.0 502"),
                "{case}: {received}"
            ),
            (true, true) if http_1_0 => assert!(!closed_cleanly, "{case}: closed without a reset"),
            (true, true) => assert!(!received.ends_with("0\r\n\r\n"), "{case}"),
            (false, _) => assert!(
                received.contains("200") && received.matches('z').count() == body.len(),
                "{case}"
            ),
        }
    }
}

/// A short response without a length that does not end is streamed after a second. If it is then reset, the client can
/// tell that it is truncated.
#[test]
fn a_slow_response_without_a_length_that_is_reset_is_reported_as_broken() {
    for http_1_0 in [false, true] {
        let backend = ScriptedBackend::start();
        let proxy = start_with_backend(&backend);
        let mut client = proxy.client();
        client.send(
            &read_request(3.0).replace("HTTP/1.1", if http_1_0 { "HTTP/1.0" } else { "HTTP/1.1" }),
        );
        let mut connection = backend.accept();
        connection.next_request();
        connection.send("HTTP/1.1 200 OK\r\n\r\nsome");
        let mut received_bytes = vec![0; 12];
        client.0.read_exact(&mut received_bytes).unwrap(); // it is streamed
        connection.reset();
        let closed_cleanly = client.0.read_to_end(&mut received_bytes).is_ok();
        let received = String::from_utf8_lossy(&received_bytes);
        assert!(
            received.contains("some") && !received.ends_with("0\r\n\r\n"),
            "{received}"
        );
        assert!(!http_1_0 || !closed_cleanly, "closed without a reset");
    }
}

/// Sends requests until one reaches the backend on a new connection. Returns its client and that connection. The only
/// backend may be out of use after its last broken response, so requests that the proxy rejects are repeated.
fn send_until_received(proxy: &Proxy, backend: &ScriptedBackend) -> (Client, BackendConnection) {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let tcp = client.0.get_ref();
        tcp.set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let connection = loop {
            assert!(
                Instant::now() < end,
                "no request reached the backend in time"
            );
            match backend.try_accept() {
                Some(connection) => break Some(connection),
                None if tcp.peek(&mut [0]).is_ok() => break None,
                None => {}
            }
        };
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        match connection {
            Some(connection) => return (client, connection),
            None => {
                assert_eq!(
                    client.response().expect("no response").status(),
                    503,
                    "a request that did not reach the backend must be rejected"
                );
            }
        }
    }
}

/// Each kind of broken response: a request that may have run and must not be repeated fails with 502, one log line
/// gives the reason, and the next request is served on another connection.
#[test]
fn each_broken_response_fails_its_request_alone_and_is_logged() {
    let oversized = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "g".repeat(200_000));
    let many_headers = format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: b\r\n".repeat(300));
    let cases: [(&str, &str, bool); 17] = [
        ("no HTTP", "\u{1}\u{2}\u{3} what is this\r\n\r\n", false),
        ("an oversized head", &oversized, false),
        ("many headers", &many_headers, false),
        ("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", false),
        ("a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nabcd", false),
        ("a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd", false),
        ("length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", false),
        ("a compressed transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", false),
        ("an unknown transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nabcd", true),
        (
            "truncated, with X-Unprocessed",
            "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nabcd",
            true,
        ),
        ("an invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n", false),
        ("an oversized chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabcd", false),
        ("a truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabcd", true),
        ("no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", true),
        ("a body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd", true),
        ("a truncated head", "HTTP/1.1 200 OK\r\nContent-Le", true),
        ("an unrequested upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", false),
    ];
    let backend = ScriptedBackend::start();
    let proxy = start_with_debug_log(&backend);
    for (bad, bytes, close) in cases {
        let lines = proxy.log_count("attempt_broken");
        let (mut client, mut connection) = send_until_received(&proxy, &backend);
        connection.next_request();
        connection.send(bytes);
        if close {
            connection.close();
        } else {
            // The backend keeps the connection open, so the response alone decides.
            assert_eq!(client.response().unwrap_or_default().status(), 502, "{bad}");
            assert!(
                connection.read_until_closed().is_empty(),
                "{bad}: the connection was used again"
            );
        }
        if close {
            assert_eq!(client.response().unwrap_or_default().status(), 502, "{bad}");
        }
        let (mut next, mut connection) = send_until_received(&proxy, &backend);
        connection.next_request();
        // `Connection: close`, so that the next case gets a new connection.
        connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood");
        assert_eq!(next.response().expect("no response").body, b"good", "{bad}");
        let end = Instant::now() + TEST_TIMEOUT;
        while proxy.log_count("attempt_broken") == lines {
            assert!(Instant::now() < end, "{bad}: no log line in time");
            std::thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(proxy.log_count("attempt_broken"), lines + 1, "{bad}");
    }
}

/// Interim (1xx) responses before the final response are ignored.
#[test]
fn interim_responses_are_ignored() {
    let backend = ScriptedBackend::start();
    let proxy = start_with_backend(&backend);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    let mut connection = backend.accept();
    connection.next_request();
    connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    connection.send("HTTP/1.1 102 Processing\r\n\r\n");
    connection.send_response("own");
    let response = client.response().expect("no response");
    assert_eq!((response.status(), &response.body[..]), (200, &b"own"[..]));
}

/// A response that arrives in small pieces without end and of which nothing was passed on: the client gets an error
/// when its time is over, and the proxy closes the backend connection.
#[test]
fn a_response_that_never_ends_fails_within_the_clients_time() {
    let heads = [
        "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
        "HTTP/1.1 500 Oops\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: ",
    ];
    for head in heads {
        let backend = ScriptedBackend::start();
        let proxy = start_with_backend(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(0.6));
        let mut connection = backend.accept();
        connection.next_request();
        connection.send(head);
        let trickle = if head.contains("102") { head } else { "t" };
        let trickling = std::thread::spawn(move || {
            let end = Instant::now() + TEST_TIMEOUT;
            while connection.0.get_mut().write_all(trickle.as_bytes()).is_ok() {
                assert!(
                    Instant::now() < end,
                    "the proxy did not close the connection"
                );
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let status = client.response().expect("no response").status();
        assert!(status == 502 || status == 504, "{head:?}: {status}");
        trickling.join().unwrap();
    }
}
