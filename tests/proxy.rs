//! The program as a whole, on loopback sockets: what it must keep whatever backends, clients and discovery do.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

fn one(backend: &BackendServer) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

fn two(a: &BackendServer, b: &BackendServer) -> Proxy {
    Proxy::start(&[
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ])
}

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    let backend =
        BackendServer::start(|_| Reply::Response(200, "Content-Type: text/x", "the body".into()));
    let proxy = one(&backend);
    let answer = proxy.request(
        "POST /vote/k%201?q=%2F HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 00aa\r\nIdempotency-Key: 77\r\n\
         X-Time-Left: 2.5\r\nConnection: x-private\r\nX-Private: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
         3\r\nabc\r\n0\r\n\r\n",
    );
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"the body"[..]));
    assert_eq!(answer.header("content-type"), Some("text/x"));
    let got = backend.next_request();
    assert_eq!(got.start_line, "POST /vote/k%201?q=%2F HTTP/1.1");
    assert_eq!(
        (
            got.header("x-correlation-id"),
            got.header("idempotency-key")
        ),
        (Some("00aa"), Some("77"))
    );
    assert_eq!(
        (&got.body[..], got.header("x-private")),
        (&b"abc"[..], None)
    );
    let left: f64 = got.header("x-time-left").unwrap().parse().unwrap();
    assert!(left > 0.0 && left < 2.5, "{left}");
    assert_eq!(backend.request_count(), 1);
}

/// The module saves up its further attempts from the requests that come: so many pay for several.
fn warm_up(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..25 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
}

/// Serves until the switch is thrown, and does something else from then on.
fn turning(to: impl Fn() -> Reply + Send + Sync + 'static) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let thrown = switch.clone();
    let reply = move |_| if thrown.load(SeqCst) { to() } else { ok("x") };
    (BackendServer::start(reply), switch)
}

/// Each outcome that may have run: an unsafe request is not sent again and is not called harmless.
#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_never_repeated() {
    type Make = fn() -> Reply;
    let cases: [(&str, Make, f64); 6] = [
        ("500", || Reply::Response(500, "", "oops".into()), 3.0),
        ("reset", || Reply::CloseWithoutResponse, 3.0),
        ("silence", || Reply::NoResponse, 0.3),
        ("unlisted", || Reply::Response(404, "", String::new()), 3.0),
        (
            "503 without a word on it",
            || Reply::Response(503, "", String::new()),
            3.0,
        ),
        (
            "the word on another status",
            || Reply::Response(500, "X-Unprocessed: 1", String::new()),
            3.0,
        ),
    ];
    for (what, reply, left) in cases {
        let ((a, first), (b, second)) = (turning(reply), turning(reply));
        let proxy = two(&a, &b);
        warm_up(&proxy);
        let before = a.request_count() + b.request_count();
        first.store(true, SeqCst);
        second.store(true, SeqCst);
        let status = proxy.request(&pay_request(left)).status();
        assert!(status == 502 || status == 504, "{what}: {status}");
        assert_eq!(a.request_count() + b.request_count(), before + 1, "{what}");
    }
}

/// Each outcome that proves that it never ran: even an unsafe request goes on to another backend.
#[test]
fn an_unsafe_request_that_never_ran_is_sent_elsewhere() {
    for status in [503, 504] {
        let away = move || Reply::Response(status, "X-Unprocessed: 1", String::new());
        let ((away, switch), good) = (turning(away), BackendServer::start(|_| ok("paid")));
        let proxy = two(&away, &good);
        warm_up(&proxy);
        switch.store(true, SeqCst);
        let (away_before, good_before) = (away.request_count(), good.request_count());
        let mut sent = 0;
        while away.request_count() == away_before {
            assert!(sent < 100, "the draw never met it");
            assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
            sent += 1;
        }
        assert_eq!(
            good.request_count() - good_before,
            sent,
            "every one was served once"
        );
    }
}

/// A refused connection never ran either. Nobody sees it, so the draw gets many chances to meet it.
#[test]
fn an_unsafe_request_is_sent_elsewhere_when_the_connection_is_refused() {
    let (nobody, good) = (RefusingPort::new(), BackendServer::start(|_| ok("paid")));
    let proxy = one(&good);
    warm_up(&proxy);
    let (_, answer) = proxy.discovery.call();
    let both = [
        entry("b0", good.address, "SERVING"),
        entry("b1", nobody.address(), "SERVING"),
    ];
    answer.send((200, list(9, true, &both))).unwrap();
    let _hold = proxy.discovery.call(); // by now the list is taken in
    let before = good.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    }
    assert_eq!(good.request_count() - before, 30);
}

/// A request that is given up is answered then, not at its deadline, and the client is told when to come back.
#[test]
fn a_refusal_comes_at_once_and_with_advice() {
    let away = BackendServer::start(|_| Reply::Response(503, "X-Unprocessed: 1", String::new()));
    let proxy = one(&away);
    for request in [pay_request(3.0), read_request(3.0)] {
        let answer = proxy.request(&request);
        assert_eq!(answer.status(), 503);
        let advice: f64 = answer
            .header("retry-after")
            .expect("advice")
            .parse()
            .expect("a number");
        assert!(advice > 0.0 && advice <= 2.0, "{advice}");
    }
}

#[test]
fn silence_is_answered_before_the_client_gives_up() {
    let backend = BackendServer::start(|_| Reply::NoResponse);
    let proxy = one(&backend);
    let begun = std::time::Instant::now();
    let status = proxy.request(&pay_request(0.6)).status();
    assert!(status == 502 || status == 504, "{status}");
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "the client's time counts, not the class's"
    );
    backend.wait_for_close(); // the attempt was given up with it
    assert_eq!(
        proxy.request(&read_request(0.3)).status(),
        503,
        "a safe one is harmless to repeat"
    );
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let backend = BackendServer::start(|_| Reply::NoResponse);
    let proxy = one(&backend);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    backend.next_request();
    drop(client);
    backend.wait_for_close();
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn requests_in_turn_share_a_warm_connection() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = one(&backend);
    let mut client = proxy.client();
    for _ in 0..10 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    assert_eq!(backend.connections.load(SeqCst), 1);
}

/// A backend may end a kept connection at any time: a request written to it then would count as a reset.
#[test]
fn a_connection_that_the_backend_closed_is_not_used_again() {
    let backend = BackendServer::start(|_| Reply::ResponseAndClose(200, "x".into()));
    let proxy = one(&backend);
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
fn the_watch_follows_changes_failures_and_gaps() {
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let proxy = one(&old);
    assert_eq!(proxy.request(&read_request(3.0)).body, b"old");
    let (target, answer) = proxy.discovery.call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    let bad = r#"{"name":7},{"name":"x","address":"nowhere","status":"SERVING"}"#.to_string();
    let odd = entry("b9", old.address, "RESTING");
    answer
        .send((
            200,
            list(9, true, &[bad, odd, entry("b0", old.address, "SERVING")]),
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
    let (target, answer) = proxy.discovery.call(); // by now the change is taken in
    assert!(target.contains("after=10&"), "{target}");
    for _ in 0..8 {
        assert_eq!(
            proxy.request(&pay_request(3.0)).body,
            b"new",
            "nothing new for one that drains"
        );
    }
    answer.send((503, String::new())).unwrap();
    let (target, answer) = proxy.discovery.call();
    assert!(
        target.contains("after=10&"),
        "a failure is asked again: {target}"
    );
    answer.send((200, "no list".into())).unwrap();
    let (target, answer) = proxy.discovery.call();
    assert!(target.contains("after=10&"), "so is nonsense: {target}");
    drop(answer); // the connection breaks
    let (_, answer) = proxy.discovery.call();
    answer.send((200, list(3, false, &[]))).unwrap();
    let (target, answer) = proxy.discovery.call();
    assert_eq!(
        target, "GET /api/targets HTTP/1.1",
        "a gap means the whole list"
    );
    answer
        .send((200, list(3, true, &[entry("b0", old.address, "SERVING")])))
        .unwrap();
    let (target, _hold) = proxy.discovery.call();
    assert!(target.contains("after=3&"), "{target}");
    assert_eq!(
        proxy.request(&pay_request(3.0)).body,
        b"old",
        "what is absent from the whole list is gone"
    );
    assert_eq!(old.request_count(), 2);
}

#[test]
fn odd_requests_get_their_own_answers_and_harm_nothing() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = one(&backend);
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
        // The proxy may answer and close before it has read all of it.
        let _ = client.0.get_mut().write_all(request.as_bytes());
        let answer = client
            .response()
            .unwrap_or_else(|| panic!("no answer to {request:.80}"));
        assert_eq!(answer.status(), status, "{request:.80}");
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
        let told: f64 = backend
            .next_request()
            .header("x-time-left")
            .unwrap()
            .parse()
            .unwrap();
        assert!(told > 1.0 && told <= 3.0, "the class's deadline: {told}");
    }
}

#[test]
fn a_missing_or_malformed_configuration_ends_the_program_with_a_plain_message() {
    let sound = r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"zz","settings":{}}"#;
    for (config, expected) in [
        (None, "NODE_CONFIG is not set"),
        (Some("{"), "line 1"),
        (Some("{}"), "name"),
        (Some(sound), "settings"),
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

/// More clients than descriptors allow: the idle make way, and nobody is turned away or crashes it.
#[test]
fn at_the_bound_idle_connections_make_way() {
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
        "the one that was idle longest went first"
    );
}

/// A machine that was cut off leaves its connections open: none that was idle meanwhile is trusted again.
#[test]
fn idle_connections_to_a_silent_backend_are_dropped() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| match n {
        0 | 1 => Reply::Gate(wait.clone()),
        2 => Reply::NoResponse,
        _ => ok("x"),
    });
    let proxy = one(&backend);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    for client in [&mut first, &mut second] {
        client.send(&read_request(3.0));
        backend.next_request();
    }
    gate.open();
    for client in [&mut first, &mut second] {
        assert_eq!(client.response().expect("an answer").status(), 200);
    }
    assert_eq!(backend.connections.load(SeqCst), 2, "both are idle now");
    assert_eq!(proxy.request(&read_request(0.3)).status(), 503);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    assert_eq!(
        backend.connections.load(SeqCst),
        3,
        "a new one, though one was left"
    );
}

/// The kernel may run out of descriptors before the bound is reached: then too the idle make way.
#[test]
fn running_out_of_descriptors_ends_nothing() {
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

/// Where every connection holds half of a head, none is idle: after a while they make way all the same.
#[test]
fn heads_that_never_end_do_not_shut_others_out() {
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

/// Those that stopped half way make way one by one as room is needed, and not all at the end of their wait.
#[test]
fn a_head_that_stopped_makes_way_before_its_time_is_over() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 80, SETTINGS);
    let (half, rest) = (
        "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr",
        "elation-Id: 1\r\n\r\n",
    );
    let mut slow: Vec<Client> = (0..32)
        .map(|_| {
            let mut client = proxy.client();
            client.send(half);
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    slow[31].send(rest);
    assert_eq!(
        slow[31].response().expect("it was left alone").status(),
        200
    );
    assert!(slow[0].is_closed());
}

/// A connection that has just come is not the one to make way, though all others are in use.
#[test]
fn one_that_has_just_connected_is_left_time_to_ask() {
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
    let mut just_come = proxy.client();
    assert_eq!(
        proxy
            .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    just_come.send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
    assert_eq!(
        just_come.response().expect("it was left alone").status(),
        200
    );
    gate.open();
    assert!(busy
        .iter_mut()
        .all(|client| client.response().is_some_and(|a| a.status() == 200)));
}

/// On SIGTERM what is under way is answered, and so is what comes while clients do not know of it yet.
#[test]
fn a_graceful_shutdown_answers_everything_and_ends() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n == 0 {
            Reply::Gate(wait.clone())
        } else {
            ok("late")
        }
    });
    let mut proxy = one(&backend);
    let (mut busy, mut kept, mut idle) = (proxy.client(), proxy.client(), proxy.client());
    for client in [&mut kept, &mut idle] {
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
    // Until the signal has arrived there is nothing to see of it: the first answer that says so shows it.
    loop {
        let answer = proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assert_eq!(answer.status(), 200, "connections are still accepted");
        if answer.header("connection") == Some("close") {
            break;
        }
    }
    for client in [&mut kept, &mut proxy.client()] {
        let answer = client.request(&pay_request(2.0));
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(idle.is_closed(), "an idle connection is closed");
    gate.open();
    assert_eq!(
        busy.response().expect("the answer that was owed").body,
        b"gated"
    );
    assert!(busy.is_closed());
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn keyed_requests_are_repeated_under_the_same_key() {
    let ((bad, switch), good) = (
        turning(|| Reply::CloseWithoutResponse),
        BackendServer::start(|_| ok("counted")),
    );
    let proxy = two(&bad, &good);
    warm_up(&proxy);
    while bad.events.try_recv().is_ok() || good.events.try_recv().is_ok() {}
    switch.store(true, SeqCst);
    let before = bad.request_count();
    for sent in 0.. {
        assert!(sent < 100, "the draw never met it");
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

/// The platform moves discovery: the file names the new address, and SIGHUP says so.
#[test]
fn on_a_reload_the_list_is_taken_whole_from_where_discovery_is_now() {
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let proxy = one(&old);
    let (_, answer) = proxy.discovery.call();
    answer
        .send((200, list(7, true, &[entry("b0", old.address, "SERVING")])))
        .unwrap();
    let (_, _unanswered) = proxy.discovery.call(); // the watch waits there when the signal comes
    let moved = DiscoveryServer::start();
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    std::fs::write(&proxy.config_path, "{").unwrap();
    proxy.signal("-HUP"); // a file that cannot be read changes nothing
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

/// Anyone may connect. Who sends nothing, or never ends what it began, is let go; who waits between requests
/// is not.
#[test]
fn peers_that_never_finish_a_request_are_not_waited_for() {
    let backend = BackendServer::start(|_| ok("x"));
    let patient = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":90000000");
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &patient);
    let (mut kept, mut mute, mut half) = (proxy.client(), proxy.client(), proxy.client());
    assert_eq!(kept.request(&read_request(3.0)).status(), 200);
    half.send("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr");
    let mut bodiless = proxy.client();
    let head = pay_request(80.0);
    bodiless.send(head.strip_suffix("cash").unwrap());
    assert_eq!(bodiless.response().expect("an error").status(), 408);
    assert!(mute.closed_in_time() && half.closed_in_time());
    assert_eq!(kept.request(&read_request(3.0)).status(), 200);
    assert_eq!(backend.request_count(), 2, "nothing of theirs went on");
}
