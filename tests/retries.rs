//! Retries that coincide with what forbids them: a reload that makes a class stricter, the end of an idempotency
//! window, and the client's deadline.

mod rig;

use rig::scripted::*;
use rig::*;
use std::time::{Duration, Instant};

/// Starts a proxy with two endpoints that are one listener, so that the test sees every request in order.
fn start_with_two_endpoints(settings: &str) -> (ScriptedBackend, Proxy) {
    let backend = ScriptedBackend::start();
    let known = [
        entry("b0", backend.address, "SERVING"),
        entry("b1", backend.address, "SERVING"),
    ];
    let proxy = Proxy::with_settings(&known, 1024, settings);
    (backend, proxy)
}

/// Waits for the connection with the next request. Returns `None` if the client gets a response first.
fn next_attempt(
    backend: &ScriptedBackend,
    connections: &mut Vec<BackendConnection>,
    client: &Client,
) -> Option<BackendConnection> {
    let tcp = client.0.get_ref().try_clone().unwrap();
    tcp.set_read_timeout(Some(Duration::from_millis(2)))
        .unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    let found = loop {
        assert!(
            Instant::now() < end,
            "neither a request nor a response in time"
        );
        connections.extend(backend.try_accept());
        if let Some(at) = connections.iter().position(BackendConnection::has_data) {
            break Some(connections.remove(at));
        }
        if tcp.peek(&mut [0]).is_ok() {
            break None;
        }
    };
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    found
}

/// Sends requests that succeed, to fill the retry budget.
fn warm_up(
    backend: &ScriptedBackend,
    connections: &mut Vec<BackendConnection>,
    client: &mut Client,
) {
    for _ in 0..25 {
        client.send(&read_request(3.0));
        let mut connection = next_attempt(backend, connections, client).expect("no request");
        connection.next_request();
        connection.send_response("x");
        assert_eq!(client.response().expect("no response").status(), 200);
        connections.push(connection);
    }
}

/// A reload during a request's first attempt makes its class one that must not run twice, or one that needs an
/// idempotency key that the request lacks: the request is not retried. If the class stays free, it is.
#[test]
fn a_request_follows_the_stricter_of_the_settings_before_and_after_a_reload() {
    let guarded = r#""effect":"guarded","key_scope":"all","window_us":500000"#;
    for (effect, retried) in [
        (r#""effect":"single_shot""#, false),
        (guarded, false),
        (r#""effect":"free""#, true),
    ] {
        let (backend, proxy) = start_with_two_endpoints(SETTINGS);
        let (mut client, mut connections) = (proxy.client(), Vec::new());
        warm_up(&backend, &mut connections, &mut client);
        client.send(&read_request(3.0));
        let mut first = next_attempt(&backend, &mut connections, &client).expect("no request");
        first.next_request();
        let text = std::fs::read_to_string(&proxy.config_path).unwrap();
        std::fs::write(
            &proxy.config_path,
            text.replacen(r#""effect":"free""#, effect, 1),
        )
        .unwrap();
        proxy.signal("-HUP");
        let end = Instant::now() + TEST_TIMEOUT;
        while proxy.log_count("configuration taken") == 0 {
            assert!(
                Instant::now() < end,
                "the configuration was not applied in time"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
        first.reset();
        let second = next_attempt(&backend, &mut connections, &client);
        assert_eq!(second.is_some(), retried, "{effect}");
        let status = match second {
            Some(mut second) => {
                second.next_request();
                second.send_response("own");
                200
            }
            None => 502,
        };
        assert_eq!(
            client.response().expect("no response").status(),
            status,
            "{effect}"
        );
    }
}

/// A request with an idempotency key whose first attempt was reset is retried within its window, which starts at its
/// dispatch, and not after it.
#[test]
fn a_keyed_request_is_retried_only_within_its_window() {
    let settings = SETTINGS.replace("\"window_us\":500000", "\"window_us\":300000");
    for (wait, retried) in [(0, true), (301, false)] {
        let (backend, proxy) = start_with_two_endpoints(&settings);
        let (mut client, mut connections) = (proxy.client(), Vec::new());
        warm_up(&backend, &mut connections, &mut client);
        client.send(&vote_request(3.0));
        let mut first = next_attempt(&backend, &mut connections, &client).expect("no request");
        let key = first
            .next_request()
            .header("idempotency-key")
            .map(String::from);
        std::thread::sleep(Duration::from_millis(wait)); // measured from after the dispatch, so that the window is over
        first.reset();
        let second = next_attempt(&backend, &mut connections, &client);
        if !retried {
            assert!(second.is_none(), "retried after its window");
            assert!(client.response().expect("no response").status() >= 500);
        } else if let Some(mut second) = second {
            // `None` if this machine took longer than the window.
            assert_eq!(
                second
                    .next_request()
                    .header("idempotency-key")
                    .map(String::from),
                key
            );
            second.send_response("own");
            assert_eq!(client.response().expect("no response").body, b"own");
        }
    }
}

/// The backend's response and the client's deadline coincide: the client gets exactly one complete response, and its
/// connection stays usable.
#[test]
fn a_response_at_the_deadline_is_the_only_response() {
    let (backend, proxy) = start_with_two_endpoints(SETTINGS);
    let (mut client, mut connections) = (proxy.client(), Vec::new());
    warm_up(&backend, &mut connections, &mut client);
    for step in 0..30u64 {
        client.send(&pay_request(0.06));
        let Some(mut attempt) = next_attempt(&backend, &mut connections, &client) else {
            client.response().expect("no response");
            continue;
        };
        attempt.next_request();
        // The steps cover the time from well before the proxy's own deadline to well after it.
        std::thread::sleep(Duration::from_millis(35 + step));
        use std::io::Write;
        let _ = attempt.0.get_mut().write_all(ok_response("own").as_bytes());
        let response = client.response().expect("no response");
        assert!(
            response.status() != 200 || response.body == b"own",
            "{response:?}"
        );
        if response.status() == 200 {
            connections.push(attempt);
        }
        assert_eq!(
            proxy
                .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
                .status(),
            200
        );
        client.0.get_ref().set_nonblocking(true).unwrap();
        let more = client.0.get_ref().peek(&mut [0]);
        client.0.get_ref().set_nonblocking(false).unwrap();
        assert!(
            more.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock),
            "a second response, or the connection was closed"
        );
    }
}
