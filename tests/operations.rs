//! Operators' actions on a running proxy: calls to the control listener, a hot restart with a shared socket, disabling
//! backends, and reloads of the configuration.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::Duration;

/// A listening socket that child processes inherit, and the environment variable that passes its descriptor.
fn inherited_socket() -> (TcpListener, (&'static str, String)) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&socket).set_cloexec(false).unwrap();
    let variable = ("NODE_SOCKET_FD", socket.as_raw_fd().to_string());
    (socket, variable)
}

/// A `TMPDIR` variable with a new directory.
fn tmp() -> (&'static str, String) {
    ("TMPDIR", create_temp_dir().to_str().unwrap().into())
}

#[test]
fn the_control_listener_serves_one_call_per_connection() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_control(
        &[entry("b0", backend.address, "SERVING")],
        SETTINGS,
        &[tmp()],
    );
    proxy.wait_until_serving();
    for (status, line) in [
        (404, "GET /"),
        (404, "GET /status/x"),
        (405, "PUT /status"),
        (405, "POST /status"),
    ] {
        assert_eq!(proxy.control_request(line).status(), status, "{line}");
    }
    let mut client = Client::connect(proxy.control_address.unwrap());
    assert_eq!(
        client
            .request("GET /status HTTP/1.1\r\nHost: d\r\n\r\nGET /status HTTP/1.1\r\n\r\n")
            .status(),
        200
    );
    assert!(
        client.is_closed(),
        "the connection must be closed after one call"
    );
    let mut client = Client::connect(proxy.control_address.unwrap());
    client.send("what is this\r\n\r\n");
    assert!(client.response().is_none_or(|a| a.status() == 400));
    assert_eq!(proxy.control_request("GET /status").status(), 200);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    let metrics = proxy.control_request("GET /metrics");
    assert_eq!(
        metrics.header("content-type"),
        Some("text/plain; version=0.0.4")
    );
    let text = String::from_utf8(metrics.body).unwrap();
    assert!(
        text.contains(
            "# TYPE meadowproxy_requests_served_total counter\nmeadowproxy_requests_served_total 1\n"
        ),
        "{text}"
    );
    assert_eq!(proxy.control_request("PUT /metrics").status(), 405);
}

/// Connections to the control listener without a complete call do not block other callers, and all of them are closed.
#[test]
fn silent_callers_do_not_block_the_control_listener() {
    let proxy = Proxy::with_control(&[], SETTINGS, &[tmp()]);
    let mut idle: Vec<Client> = (0..200)
        .map(|n| {
            let mut client = Client::connect(proxy.control_address.unwrap());
            client.send(if n % 2 == 0 { "" } else { "PUT /maint" });
            client
        })
        .collect();
    proxy.wait_until_serving();
    assert!(idle.iter_mut().all(Client::closed_in_time));
}

/// Hot restart: the old process completes its open requests, closes its client connections and leaves new ones to the
/// new process.
#[test]
fn a_new_version_takes_over_without_a_lost_request() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let first = BackendServer::start(move |n| {
        if n == 0 {
            Reply::Gate(wait.clone())
        } else {
            ok("old")
        }
    });
    let second = BackendServer::start(|_| ok("new"));
    let ((socket, passed), tmp) = (inherited_socket(), tmp());
    let at = socket.local_addr().unwrap();
    let start =
        |known: &[String]| Proxy::with_control(known, SETTINGS, &[passed.clone(), tmp.clone()]);
    let mut old = start(&[entry("b0", first.address, "SERVING")]);
    assert_eq!(old.address, at);
    old.wait_until_serving();
    let (mut busy, mut keep_alive) = (Client::connect(at), Client::connect(at));
    busy.send(&pay_request(3.0));
    first.next_request();
    assert_eq!(keep_alive.request(&read_request(3.0)).body, b"old");
    let new = start(&[entry("b1", second.address, "SERVING")]);
    let (_, answer) = new.discovery.call();
    assert_ne!(
        new.control_request("GET /status").status(),
        200,
        "it is ready before it has an endpoint list"
    );
    answer
        .send((
            200,
            list(9, true, &[entry("b1", second.address, "SERVING")]),
        ))
        .unwrap();
    new.wait_until_serving();
    old.terminate();
    while old.control_request("GET /status").status() == 200 {
        std::thread::sleep(Duration::from_millis(5));
    }
    for _ in 0..20 {
        assert_eq!(Client::connect(at).request(&read_request(3.0)).body, b"new");
    }
    let response = keep_alive.request(&read_request(3.0));
    assert_eq!(
        (&response.body[..], response.header("connection")),
        (&b"old"[..], Some("close"))
    );
    gate.open();
    assert_eq!(
        busy.response()
            .expect("no response from the old process")
            .body,
        b"gated"
    );
    assert!(old.child.wait().unwrap().success());
    assert_eq!(
        Client::connect(at).request(&read_request(3.0)).body,
        b"new",
        "the old process shut down the shared socket instead of closing its descriptor"
    );
    assert_eq!(
        second.connections.load(SeqCst),
        1,
        "the new process did not reuse its warm connection"
    );
}

#[test]
fn a_descriptor_that_is_no_listening_socket_ends_the_start() {
    let config = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","settings":{SETTINGS}}}"#
    );
    let bound = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    bound
        .bind(
            &"127.0.0.1:0"
                .parse::<std::net::SocketAddr>()
                .unwrap()
                .into(),
        )
        .unwrap();
    bound.set_cloexec(false).unwrap();
    for value in ["", "x", "2", "999", "-4", &bound.as_raw_fd().to_string()] {
        let out = proxy_command(Some(&config))
            .env("NODE_SOCKET_FD", value)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{value}");
        assert!(
            text.contains("NODE_SOCKET_FD") && !text.contains("panicked"),
            "{value}: {text}"
        );
    }
}

/// Endpoint entries for these backends, named b0, b1 and so on.
fn entries(backends: &[&BackendServer]) -> Vec<String> {
    let each = backends.iter().enumerate();
    each.map(|(n, b)| entry(&format!("b{n}"), b.address, "SERVING"))
        .collect()
}

#[test]
fn a_disabled_backend_gets_no_requests_until_it_is_enabled() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let proxy = Proxy::with_control(&entries(&[&a, &b]), SETTINGS, &[tmp()]);
    proxy.wait_until_serving();
    for (status, line) in [
        (404, "PUT /maintenance/enter?who=b7"),
        (404, "PUT /maintenance/exit?who=b7"),
        (400, "PUT /maintenance/enter"),
        (400, "PUT /maintenance/enter?who="),
        (400, "PUT /maintenance/enter?who=b0&who=b1"),
        (400, "PUT /maintenance/exit?who=%zz"),
        (405, "GET /maintenance/enter?who=b0"),
        (200, "PUT /maintenance/exit?who=b0"),
        (200, "PUT /maintenance/enter?who=b0"),
        (200, "PUT /maintenance/enter?who=%620"),
    ] {
        assert_eq!(proxy.control_request(line).status(), status, "{line}");
    }
    let before = a.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&read_request(3.0)).body, b"b");
    }
    assert_eq!(a.request_count(), before);
    assert_eq!(
        proxy
            .control_request("PUT /maintenance/exit?who=b0")
            .status(),
        200
    );
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    while a.request_count() == before {
        assert!(
            std::time::Instant::now() < end,
            "the enabled backend got no request in time"
        );
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
}

/// A backend disabled or enabled at one process is so at the other one too, and stays so after the first process ends.
#[test]
fn disabled_backends_reach_a_new_process_and_outlive_the_old_one() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let ((_socket, passed), tmp) = (inherited_socket(), tmp());
    let known = entries(&[&a, &b]);
    let start = || Proxy::with_control(&known, SETTINGS, &[passed.clone(), tmp.clone()]);
    let old = start();
    let state_dirs = std::fs::read_dir(std::path::Path::new(&tmp.1).join("shaletide"))
        .unwrap()
        .flatten();
    let state_dirs: Vec<_> = state_dirs.map(|e| e.path()).collect();
    assert_eq!(state_dirs.len(), 1, "one proxy must have one directory");
    std::fs::write(state_dirs[0].join("out-6x"), "").unwrap(); // not a backend's file: skipped
    old.wait_until_serving();
    assert_eq!(
        old.control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    let new = start();
    assert!(
        new.startup_log
            .contains("out-6x: not a backend's id, skipped"),
        "{}",
        new.startup_log
    );
    new.wait_until_serving();
    for _ in 0..30 {
        assert_eq!(
            new.request(&read_request(3.0)).body,
            b"b",
            "the disabled backends must be read before the first request"
        );
    }
    assert_eq!(a.request_count(), 0);
    assert_eq!(
        new.control_request("PUT /maintenance/exit?who=b0").status(),
        200
    );
    assert_eq!(
        old.control_request("PUT /maintenance/enter?who=b1")
            .status(),
        200
    );
    std::thread::sleep(Duration::from_millis(300)); // the change must reach the other process within half a second
    drop(old);
    let before = b.request_count();
    for _ in 0..30 {
        assert_eq!(new.request(&read_request(3.0)).body, b"a");
    }
    assert_eq!(b.request_count(), before);
    drop(new);
    let third = start();
    third.wait_until_serving();
    assert_eq!(
        third.request(&read_request(3.0)).body,
        b"a",
        "the disabled backend was lost while no process ran"
    );
}

/// Guards against a new version that rejects an operator's call about a backend that was not listed while it was started.
#[test]
fn a_new_version_can_disable_what_only_the_old_one_had_in_its_list() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let ((_socket, passed), tmp) = (inherited_socket(), tmp());
    let known = entries(&[&a, &b]);
    let start =
        |known: &[String]| Proxy::with_control(known, SETTINGS, &[passed.clone(), tmp.clone()]);
    let old = start(&known);
    old.wait_until_serving();
    std::thread::sleep(Duration::from_millis(300)); // until the old version has recorded its list
    let new = start(&known[1..]);
    new.wait_until_serving();
    drop(old);
    let status = |line: &str| new.control_request(line).status();
    assert_eq!(status("PUT /maintenance/enter?who=never"), 404);
    assert_eq!(status("PUT /maintenance/enter?who=b0"), 200);
    drop(new);
    let listed_again = start(&known);
    listed_again.wait_until_serving();
    for _ in 0..30 {
        assert_eq!(listed_again.request(&read_request(3.0)).body, b"b");
    }
    assert_eq!(a.request_count(), 0);
}

/// If the directory for disabled backends cannot be written, a backend is still disabled in this process.
#[test]
fn a_missing_directory_does_not_enable_a_disabled_backend() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let nowhere = ("TMPDIR", "/proc/none".to_string());
    let proxy = Proxy::with_control(&entries(&[&a, &b]), SETTINGS, &[nowhere]);
    proxy.wait_until_serving();
    assert_eq!(
        proxy
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..30 {
        assert_eq!(proxy.request(&read_request(3.0)).body, b"b");
    }
}

/// Replaces the first occurrence of `from` in the proxy's configuration file. Returns the previous text.
fn rewrite(proxy: &Proxy, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    assert!(text.contains(from), "{from}");
    std::fs::write(&proxy.config_path, text.replacen(from, to, 1)).unwrap();
    text
}

/// A GET of the class `log`.
fn log(left: f64) -> String {
    read_request(left).replace("GET /read", "GET /log")
}

/// The settings entry of the class `log`.
const LOG: &str = r#"{"name":"log","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}"#;

/// Repeats a request until its response has `status`, because a signal takes effect asynchronously.
fn request_until(proxy: &Proxy, request: impl Fn(f64) -> String, status: u16) {
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    while proxy.request(&request(3.0)).status() != status {
        assert!(
            std::time::Instant::now() < end,
            "no response with status {status} in time"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_reload_adds_and_removes_classes_and_open_requests_keep_theirs() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n == 0 {
            Reply::Gate(wait.clone())
        } else {
            ok("x")
        }
    });
    let proxy = Proxy::with_control(&entries(&[&backend]), SETTINGS, &[tmp()]);
    let mut open = proxy.client();
    open.send(&pay_request(3.0));
    backend.next_request();
    assert_eq!(proxy.request(&log(3.0)).status(), 404);
    // `log` replaces `pay`, and requests of `read` must no longer be repeated.
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let (from, to) = (
        text.find(r#"{"name":"pay""#).unwrap(),
        text.find(r#"{"name":"vote""#).unwrap(),
    );
    rewrite(&proxy, &text[from..to], &format!("{LOG},"));
    rewrite(&proxy, r#""effect":"free""#, r#""effect":"single_shot""#);
    proxy.signal("-HUP");
    request_until(&proxy, log, 200);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 404);
    assert_eq!(
        proxy.request(&read_request(3.0)).status(),
        400,
        "a class that must not be repeated accepts no GET"
    );
    assert_eq!(
        proxy
            .request(&read_request(3.0).replace("GET", "POST"))
            .status(),
        200
    );
    gate.open();
    assert_eq!(open.response().expect("no response").body, b"gated");
    std::fs::write(&proxy.config_path, text).unwrap();
    proxy.signal("-HUP");
    request_until(&proxy, log, 404);
    assert_eq!(
        (
            proxy.request(&pay_request(3.0)).status(),
            proxy.request(&read_request(3.0)).status()
        ),
        (200, 200)
    );
}

/// Each file adds a class and contains one mistake: nothing of it is applied. Without a mistake it is.
#[test]
fn nothing_is_applied_from_an_invalid_file() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_control(&entries(&[&backend]), SETTINGS, &[tmp()]);
    let original = rewrite(
        &proxy,
        r#"{"name":"read""#,
        &format!(r#"{LOG},{{"name":"read""#),
    );
    let new = std::fs::read_to_string(&proxy.config_path).unwrap();
    let swap = |from: &str, to: &str| {
        assert!(new.contains(from), "{from}");
        new.replacen(from, to, 1)
    };
    let middle = new.len() / 2;
    let deadline = r#""deadline_us":3000000"#;
    let attempts = r#""max_attempts":4"#;
    for invalid in [
        String::new(),
        "{}".into(),
        new[..middle].into(),
        swap(r#""seed":"8c1f30d27a5be964","#, ""),
        swap(
            r#""limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"#,
            "",
        ),
        swap(r#""over_share_worth":0.1,"#, ""),
        swap(&format!("{deadline},"), ""),
        swap(deadline, r#""deadline_us":0"#),
        swap(deadline, r#""deadline_us":-1"#),
        swap(deadline, r#""deadline_us":"soon""#),
        swap(&format!("{attempts},"), ""),
        swap(attempts, r#""max_attempts":0"#),
        swap(attempts, r#""max_attempts":-4"#),
        swap(attempts, r#""max_attempts":null"#),
    ] {
        std::fs::write(&proxy.config_path, &invalid).unwrap();
        proxy.signal("-HUP");
        std::thread::sleep(Duration::from_millis(60));
        assert_eq!(proxy.request(&log(3.0)).status(), 404, "{invalid}");
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    std::fs::write(&proxy.config_path, &new).unwrap();
    proxy.signal("-HUP");
    request_until(&proxy, log, 200);
    assert_ne!(new, original);
}
