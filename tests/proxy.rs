//! End-to-end tests of the proxy process: forwarding, retries, connection reuse, discovery, limits, shutdown and
//! reloads.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// Starts a proxy with one endpoint.
fn start_with_one(backend: &BackendServer) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

/// Starts a proxy with two endpoints.
fn start_with_two(a: &BackendServer, b: &BackendServer) -> Proxy {
    Proxy::start(&[
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ])
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let backend =
        BackendServer::start(|_| Reply::Response(200, "Content-Type: text/x", "the body".into()));
    let proxy = start_with_one(&backend);
    let response = proxy.request(
        "POST /vote/k%201?q=%2F HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 00aa\r\nIdempotency-Key: 77\r\n\
         X-Time-Left: 2.5\r\nConnection: x-private\r\nX-Private: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
         3\r\nabc\r\n0\r\n\r\n",
    );
    assert_eq!(
        (response.status(), &response.body[..]),
        (200, &b"the body"[..])
    );
    assert_eq!(response.header("content-type"), Some("text/x"));
    let forwarded = backend.next_request();
    assert_eq!(forwarded.start_line, "POST /vote/k%201?q=%2F HTTP/1.1");
    assert_eq!(
        (
            forwarded.header("x-correlation-id"),
            forwarded.header("idempotency-key")
        ),
        (Some("00aa"), Some("77"))
    );
    assert_eq!(
        (&forwarded.body[..], forwarded.header("x-private")),
        (&b"abc"[..], None)
    );
    let left: f64 = forwarded.header("x-time-left").unwrap().parse().unwrap();
    assert!(left > 0.0 && left < 2.5, "{left}");
    assert_eq!(backend.request_count(), 1);
}

/// Sends enough requests to fill the retry budget, to which each request adds a fraction of an attempt.
fn warm_up(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..25 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
}

/// Starts a backend that responds with 200 until the returned switch is set, and with `to` from then on.
fn switchable_backend(
    to: impl Fn() -> Reply + Send + Sync + 'static,
) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let switched = switch.clone();
    let reply = move |_| if switched.load(SeqCst) { to() } else { ok("x") };
    (BackendServer::start(reply), switch)
}

/// After any outcome in which it may have run, a request that must not run twice is not retried and fails with 502 or
/// 504.
#[test]
fn a_single_shot_request_that_may_have_run_fails_and_is_never_retried() {
    type Make = fn() -> Reply;
    let cases: [(&str, Make, f64); 6] = [
        ("500", || Reply::Response(500, "", "oops".into()), 3.0),
        ("reset", || Reply::CloseWithoutResponse, 3.0),
        ("silence", || Reply::NoResponse, 0.3),
        (
            "an unexpected status",
            || Reply::Response(404, "", String::new()),
            3.0,
        ),
        (
            "503 without X-Unprocessed",
            || Reply::Response(503, "", String::new()),
            3.0,
        ),
        (
            "X-Unprocessed on another status",
            || Reply::Response(500, "X-Unprocessed: 1", String::new()),
            3.0,
        ),
    ];
    for (case, reply, left) in cases {
        let ((a, first), (b, second)) = (switchable_backend(reply), switchable_backend(reply));
        let proxy = start_with_two(&a, &b);
        warm_up(&proxy);
        let before = a.request_count() + b.request_count();
        first.store(true, SeqCst);
        second.store(true, SeqCst);
        let status = proxy.request(&pay_request(left)).status();
        assert!(status == 502 || status == 504, "{case}: {status}");
        assert_eq!(a.request_count() + b.request_count(), before + 1, "{case}");
    }
}

/// After a response that proves that it did not run, even a request that must not run twice is retried at another
/// backend.
#[test]
fn a_single_shot_request_that_did_not_run_is_retried_elsewhere() {
    for status in [503, 504] {
        let rejecting = move || Reply::Response(status, "X-Unprocessed: 1", String::new());
        let ((rejecting, switch), good) = (
            switchable_backend(rejecting),
            BackendServer::start(|_| ok("paid")),
        );
        let proxy = start_with_two(&rejecting, &good);
        warm_up(&proxy);
        switch.store(true, SeqCst);
        let (rejected_before, good_before) = (rejecting.request_count(), good.request_count());
        let mut sent = 0;
        while rejecting.request_count() == rejected_before {
            assert!(sent < 100, "no request was assigned to the backend");
            assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
            sent += 1;
        }
        assert_eq!(
            good.request_count() - good_before,
            sent,
            "each request must be served exactly once"
        );
    }
}

/// A refused connection also proves that a request did not run. It is not observable, so the test sends many requests.
#[test]
fn a_single_shot_request_is_retried_elsewhere_when_the_connection_is_refused() {
    let (refusing, good) = (RefusingPort::new(), BackendServer::start(|_| ok("paid")));
    let proxy = start_with_one(&good);
    warm_up(&proxy);
    let (_, answer) = proxy.discovery.call();
    let both = [
        entry("b0", good.address, "SERVING"),
        entry("b1", refusing.address(), "SERVING"),
    ];
    answer.send((200, list(9, true, &both))).unwrap();
    let _hold = proxy.discovery.call(); // by now the list is applied
    let before = good.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    }
    assert_eq!(good.request_count() - before, 30);
}

/// A rejected request gets its response at once instead of at its deadline, with a `Retry-After` header.
#[test]
fn a_rejection_is_immediate_and_has_a_retry_after() {
    let rejecting =
        BackendServer::start(|_| Reply::Response(503, "X-Unprocessed: 1", String::new()));
    let proxy = start_with_one(&rejecting);
    for request in [pay_request(3.0), read_request(3.0)] {
        let response = proxy.request(&request);
        assert_eq!(response.status(), 503);
        let retry_after: f64 = response
            .header("retry-after")
            .expect("no Retry-After")
            .parse()
            .expect("a number");
        assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    }
}

#[test]
fn a_silent_backend_leads_to_an_error_before_the_client_gives_up() {
    let backend = BackendServer::start(|_| Reply::NoResponse);
    let proxy = start_with_one(&backend);
    let begun = std::time::Instant::now();
    let status = proxy.request(&pay_request(0.6)).status();
    assert!(status == 502 || status == 504, "{status}");
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "the client's time must apply, not the deadline of the class"
    );
    backend.wait_for_close(); // the attempt was cancelled at the same time
    assert_eq!(
        proxy.request(&read_request(0.3)).status(),
        503,
        "a request that may be repeated must be rejected with 503"
    );
}

#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let backend = BackendServer::start(|_| Reply::NoResponse);
    let proxy = start_with_one(&backend);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    backend.next_request();
    drop(client);
    backend.wait_for_close();
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn successive_requests_reuse_a_warm_connection() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = start_with_one(&backend);
    let mut client = proxy.client();
    for _ in 0..10 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    assert_eq!(backend.connections.load(SeqCst), 1);
}

/// A backend may close an idle connection at any time. A request written to it afterwards would count as reset.
#[test]
fn a_connection_that_the_backend_closed_is_not_used_again() {
    let backend = BackendServer::start(|_| Reply::ResponseAndClose(200, "x".into()));
    let proxy = start_with_one(&backend);
    for round in 1..=5 {
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
        assert_eq!(backend.request_count(), round);
        backend.wait_for_close();
    }
}

#[test]
fn a_connection_is_retired_before_the_backends_idle_limit() {
    let backend = BackendServer::start(|_| ok("x"));
    let settings = SETTINGS.replace("\"conn_idle_us\":60000000", "\"conn_idle_us\":1000000");
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    backend.wait_for_close();
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    assert_eq!(backend.connections.load(SeqCst), 2);
}

#[test]
fn the_watch_continues_after_changes_failures_and_gaps() {
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let proxy = start_with_one(&old);
    assert_eq!(proxy.request(&read_request(3.0)).body, b"old");
    let (target, answer) = proxy.discovery.call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    let bad = r#"{"name":7},{"name":"x","address":"nowhere","status":"SERVING"}"#.to_string();
    let unknown_status = entry("b9", old.address, "RESTING");
    answer
        .send((
            200,
            list(
                9,
                true,
                &[bad, unknown_status, entry("b0", old.address, "SERVING")],
            ),
        ))
        .unwrap();
    let (target, answer) = proxy.discovery.call();
    assert!(
        target.starts_with("GET /api/targets?after=9&wait_ms="),
        "{target}"
    );
    let change = [
        entry("b0", old.address, "DRAINING"),
        entry("b1", new.address, "SERVING"),
    ];
    answer.send((200, list(10, false, &change))).unwrap();
    let (target, answer) = proxy.discovery.call(); // by now the change is applied
    assert!(target.contains("after=10&"), "{target}");
    for _ in 0..8 {
        assert_eq!(
            proxy.request(&pay_request(3.0)).body,
            b"new",
            "a draining backend got a new request"
        );
    }
    answer.send((503, String::new())).unwrap();
    let (target, answer) = proxy.discovery.call();
    assert!(
        target.contains("after=10&"),
        "the call must be repeated after a failure: {target}"
    );
    answer.send((200, "no list".into())).unwrap();
    let (target, answer) = proxy.discovery.call();
    assert!(
        target.contains("after=10&"),
        "the call must be repeated after an invalid list: {target}"
    );
    drop(answer); // the connection breaks
    let (_, answer) = proxy.discovery.call();
    answer.send((200, list(3, false, &[]))).unwrap();
    let (target, answer) = proxy.discovery.call();
    assert_eq!(
        target, "GET /api/targets HTTP/1.1",
        "a gap in the versions must lead to a call for the whole list"
    );
    answer
        .send((200, list(3, true, &[entry("b0", old.address, "SERVING")])))
        .unwrap();
    let (target, _hold) = proxy.discovery.call();
    assert!(target.contains("after=3&"), "{target}");
    assert_eq!(
        proxy.request(&pay_request(3.0)).body,
        b"old",
        "an endpoint that is missing in the whole list must no longer be used"
    );
    assert_eq!(old.request_count(), 2);
}

#[test]
fn invalid_requests_are_rejected_and_not_forwarded() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = start_with_one(&backend);
    let cases = [
        (
            404,
            "GET /none/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string(),
        ),
        (
            404,
            "GET / HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string(),
        ),
        (404, "GET /-/load HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
        (400, "GET /read/k\r\nwhat\r\n\r\n".to_string()),
        (400, "GET /read/k HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
        (
            400,
            "GET /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string(),
        ),
        (
            400,
            "POST /vote/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 0\r\n\r\n"
                .to_string(),
        ),
        (200, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
    ];
    for (status, request) in cases {
        let mut client = proxy.client();
        // The proxy may respond and close the connection before it has read the whole request.
        let _ = client.0.get_mut().write_all(request.as_bytes());
        let response = client
            .response()
            .unwrap_or_else(|| panic!("no response to {request:.80}"));
        assert_eq!(response.status(), status, "{request:.80}");
    }
    assert_eq!(backend.request_count(), 0);
    for left in [
        "",
        "X-Time-Left: soon\r\n",
        "X-Time-Left: -1\r\n",
        "X-Time-Left: NaN\r\n",
        "X-Time-Left: 1e300\r\n",
    ] {
        let request =
            format!("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n{left}\r\n");
        assert_eq!(proxy.request(&request).status(), 200, "{left}");
        let time_left: f64 = backend
            .next_request()
            .header("x-time-left")
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            time_left > 1.0 && time_left <= 3.0,
            "not the deadline of the class: {time_left}"
        );
    }
}

#[test]
fn a_missing_or_malformed_configuration_ends_the_start_with_an_error() {
    let invalid = r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"zz","settings":{}}"#;
    for (config, expected) in [
        (None, "NODE_CONFIG is not set"),
        (Some("{"), "line 1"),
        (Some("{}"), "name"),
        (Some(invalid), "settings"),
    ] {
        let out = proxy_command(config).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{config:?}");
        assert!(
            text.contains(expected) && !text.contains("panicked"),
            "{config:?}: {text}"
        );
    }
}

/// More clients than the connection limit: idle connections are closed, so that every new client is served.
#[test]
fn at_the_limit_idle_connections_are_closed() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 80, SETTINGS);
    let mut idle: Vec<Client> = (0..8)
        .map(|_| {
            let mut client = proxy.client();
            assert_eq!(client.request(&read_request(3.0)).status(), 200);
            client
        })
        .collect();
    for _ in 0..100 {
        let mut client = proxy.client();
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        idle.push(client);
    }
    assert!(
        idle[0].is_closed(),
        "the connection that was idle longest must be closed first"
    );
}

/// A machine that lost its network leaves its connections open. After a request to it got no response, connections that
/// were idle meanwhile are not used again.
#[test]
fn idle_connections_to_a_silent_backend_are_dropped() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| match n {
        0 | 1 => Reply::Gate(wait.clone()),
        2 => Reply::NoResponse,
        _ => ok("x"),
    });
    let proxy = start_with_one(&backend);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    for client in [&mut first, &mut second] {
        client.send(&read_request(3.0));
        backend.next_request();
    }
    gate.open();
    for client in [&mut first, &mut second] {
        assert_eq!(client.response().expect("no response").status(), 200);
    }
    assert_eq!(
        backend.connections.load(SeqCst),
        2,
        "two connections must be open"
    );
    assert_eq!(proxy.request(&read_request(0.3)).status(), 503);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    assert_eq!(
        backend.connections.load(SeqCst),
        3,
        "the remaining idle connection was used"
    );
}

/// The process may run out of descriptors below the connection limit: idle connections are closed then, too.
#[test]
fn running_out_of_descriptors_does_not_stop_the_proxy() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_descriptor_limit(
        &[entry("b0", backend.address, "SERVING")],
        1024,
        SETTINGS,
        40,
    );
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = proxy.client();
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        idle.push(client);
    }
    assert!(idle[0].is_closed());
}

/// Connections with a partial request head are not idle, but after a timeout they are closed for new clients, too.
#[test]
fn incomplete_heads_do_not_block_other_clients() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 80, SETTINGS);
    let mut slow: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = proxy.client();
            client.send("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr");
            client
        })
        .collect();
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    assert!(slow[0].is_closed());
}

/// Connections with a stalled request head are closed one by one as capacity is needed, not all when the timeout
/// expires.
#[test]
fn a_stalled_head_is_closed_for_capacity_before_its_timeout() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 80, SETTINGS);
    let (partial, rest) = (
        "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr",
        "elation-Id: 1\r\n\r\n",
    );
    let mut slow: Vec<Client> = (0..32)
        .map(|_| {
            let mut client = proxy.client();
            client.send(partial);
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    slow[31].send(rest);
    assert_eq!(
        slow[31]
            .response()
            .expect("the connection was closed")
            .status(),
        200
    );
    assert!(slow[0].is_closed());
}

/// A connection that was just opened is not closed for capacity, even if all others are in use.
#[test]
fn a_new_connection_is_not_closed_for_capacity() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n < 4 {
            Reply::Gate(wait.clone())
        } else {
            ok("x")
        }
    });
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 72, SETTINGS);
    let mut busy: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    for client in &mut busy {
        client.send(&read_request(3.0));
        backend.next_request();
    }
    let mut new_client = proxy.client();
    assert_eq!(
        proxy
            .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    new_client.send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
    assert_eq!(
        new_client
            .response()
            .expect("the connection was closed")
            .status(),
        200
    );
    gate.open();
    assert!(busy
        .iter_mut()
        .all(|client| client.response().is_some_and(|a| a.status() == 200)));
}

/// After SIGTERM open requests are completed, and so are those that arrive before the clients know of the shutdown.
#[test]
fn a_graceful_shutdown_serves_all_requests_and_exits() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n == 0 {
            Reply::Gate(wait.clone())
        } else {
            ok("late")
        }
    });
    let mut proxy = start_with_one(&backend);
    let (mut busy, mut keep_alive, mut idle) = (proxy.client(), proxy.client(), proxy.client());
    for client in [&mut keep_alive, &mut idle] {
        assert_eq!(
            client
                .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
                .status(),
            200
        );
    }
    busy.send(&pay_request(3.0));
    backend.next_request();
    proxy.terminate();
    // The first response with `Connection: close` shows that the signal was handled.
    loop {
        let response = proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assert_eq!(response.status(), 200, "connections must still be accepted");
        if response.header("connection") == Some("close") {
            break;
        }
    }
    for client in [&mut keep_alive, &mut proxy.client()] {
        let response = client.request(&pay_request(2.0));
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(idle.is_closed(), "an idle connection was not closed");
    gate.open();
    assert_eq!(busy.response().expect("no response").body, b"gated");
    assert!(busy.is_closed());
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn guarded_requests_are_retried_with_the_same_key() {
    let ((bad, switch), good) = (
        switchable_backend(|| Reply::CloseWithoutResponse),
        BackendServer::start(|_| ok("counted")),
    );
    let proxy = start_with_two(&bad, &good);
    warm_up(&proxy);
    while bad.events.try_recv().is_ok() || good.events.try_recv().is_ok() {}
    switch.store(true, SeqCst);
    let before = bad.request_count();
    for sent in 0.. {
        assert!(sent < 100, "no request was assigned to the backend");
        assert_eq!(proxy.request(&vote_request(3.0)).status(), 200);
        let served = good.next_request();
        if bad.request_count() > before {
            let reset = bad.next_request();
            assert_eq!(
                reset.header("idempotency-key"),
                served.header("idempotency-key")
            );
            assert_eq!(
                reset.header("x-correlation-id"),
                served.header("x-correlation-id")
            );
            return;
        }
    }
}

/// The configuration file names a new discovery address, and SIGHUP makes the proxy use it.
#[test]
fn a_reload_fetches_the_whole_list_from_the_new_discovery_address() {
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let proxy = start_with_one(&old);
    let (_, answer) = proxy.discovery.call();
    answer
        .send((200, list(7, true, &[entry("b0", old.address, "SERVING")])))
        .unwrap();
    let (_, _unanswered) = proxy.discovery.call(); // the watch at the old address is open when the signal arrives
    let moved = DiscoveryServer::start();
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    std::fs::write(&proxy.config_path, "{").unwrap();
    proxy.signal("-HUP"); // an invalid file changes nothing
    assert_eq!(proxy.request(&read_request(3.0)).body, b"old");
    let text = text.replace(
        &proxy.discovery.address.to_string(),
        &moved.address.to_string(),
    );
    std::fs::write(&proxy.config_path, text).unwrap();
    proxy.signal("-HUP");
    let (call, answer) = moved.call();
    assert_eq!(call, "GET /api/targets HTTP/1.1");
    answer
        .send((200, list(3, true, &[entry("b1", new.address, "SERVING")])))
        .unwrap();
    let (call, _hold) = moved.call();
    assert!(
        call.starts_with("GET /api/targets?after=3&wait_ms="),
        "{call}"
    );
    assert_eq!(proxy.request(&read_request(3.0)).body, b"new");
}

/// Connections that send nothing or never complete a request head or body are closed after a timeout. Connections that
/// are idle between requests are not.
#[test]
fn clients_that_never_complete_a_request_are_disconnected() {
    let backend = BackendServer::start(|_| ok("x"));
    let settings = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":90000000");
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
    let (mut keep_alive, mut silent, mut partial) =
        (proxy.client(), proxy.client(), proxy.client());
    assert_eq!(keep_alive.request(&read_request(3.0)).status(), 200);
    partial.send("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr");
    let mut without_body = proxy.client();
    let head = pay_request(80.0);
    without_body.send(head.strip_suffix("cash").unwrap());
    assert_eq!(without_body.response().expect("an error").status(), 408);
    assert!(silent.closed_in_time() && partial.closed_in_time());
    assert_eq!(keep_alive.request(&read_request(3.0)).status(), 200);
    assert_eq!(
        backend.request_count(),
        2,
        "an incomplete request was forwarded"
    );
}
