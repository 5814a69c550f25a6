//! What operators do with the running program: the door, a new version beside the old one, backends taken out
//! by hand, settings that change.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::Duration;

/// A listening socket that every child inherits, and how the platform tells of it.
fn platform() -> (TcpListener, (&'static str, String)) {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&socket).set_cloexec(false).unwrap();
    let variable = ("NODE_SOCKET_FD", socket.as_raw_fd().to_string());
    (socket, variable)
}

fn tmp() -> (&'static str, String) {
    ("TMPDIR", create_temp_dir().to_str().unwrap().into())
}

#[test]
fn the_door_answers_each_call_and_closes() {
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
    assert!(client.is_closed(), "one call to a connection");
    let mut client = Client::connect(proxy.control_address.unwrap());
    client.send("what is this\r\n\r\n");
    assert!(client.response().is_none_or(|a| a.status() == 400));
    assert_eq!(proxy.control_request("GET /status").status(), 200);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    let figures = proxy.control_request("GET /metrics");
    assert_eq!(
        figures.header("content-type"),
        Some("text/plain; version=0.0.4")
    );
    let text = String::from_utf8(figures.body).unwrap();
    assert!(
        text.contains(
            "# TYPE meadowproxy_requests_served_total counter\nmeadowproxy_requests_served_total 1\n"
        ),
        "{text}"
    );
    assert_eq!(proxy.control_request("PUT /metrics").status(), 405);
}

/// Callers that hold their connection with no whole call make way, and each is let go in the end.
#[test]
fn callers_that_say_nothing_do_not_keep_others_out() {
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

/// The old process answers what it has, tells its clients to go, and leaves what comes to the new one.
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
    let ((socket, passed), tmp) = (platform(), tmp());
    let at = socket.local_addr().unwrap();
    let start =
        |known: &[String]| Proxy::with_control(known, SETTINGS, &[passed.clone(), tmp.clone()]);
    let mut old = start(&[entry("b0", first.address, "SERVING")]);
    assert_eq!(old.address, at);
    old.wait_until_serving();
    let (mut busy, mut kept) = (Client::connect(at), Client::connect(at));
    busy.send(&pay_request(3.0));
    first.next_request();
    assert_eq!(kept.request(&read_request(3.0)).body, b"old");
    let new = start(&[entry("b1", second.address, "SERVING")]);
    let (_, answer) = new.discovery.call();
    assert_ne!(
        new.control_request("GET /status").status(),
        200,
        "not before its list is at hand"
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
    let answer = kept.request(&read_request(3.0));
    assert_eq!(
        (&answer.body[..], answer.header("connection")),
        (&b"old"[..], Some("close"))
    );
    gate.open();
    assert_eq!(
        busy.response().expect("the answer that was owed").body,
        b"gated"
    );
    assert!(old.child.wait().unwrap().success());
    assert_eq!(
        Client::connect(at).request(&read_request(3.0)).body,
        b"new",
        "the socket was closed, not shut down"
    );
    assert_eq!(
        second.connections.load(SeqCst),
        1,
        "a warm connection all along"
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

fn names(backends: &[&BackendServer]) -> Vec<String> {
    let each = backends.iter().enumerate();
    each.map(|(n, b)| entry(&format!("b{n}"), b.address, "SERVING"))
        .collect()
}

#[test]
fn a_backend_taken_out_gets_nothing_until_it_is_called_back() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let proxy = Proxy::with_control(&names(&[&a, &b]), SETTINGS, &[tmp()]);
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
        assert!(std::time::Instant::now() < end, "it was never used again");
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
}

/// A ban made at one process reaches the other, and both outlive the process that was told.
#[test]
fn bans_reach_a_new_version_and_are_kept_over_it() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let ((_socket, passed), tmp) = (platform(), tmp());
    let known = names(&[&a, &b]);
    let start = || Proxy::with_control(&known, SETTINGS, &[passed.clone(), tmp.clone()]);
    let old = start();
    let kept = std::fs::read_dir(std::path::Path::new(&tmp.1).join("shaletide"))
        .unwrap()
        .flatten();
    let kept: Vec<_> = kept.map(|e| e.path()).collect();
    assert_eq!(kept.len(), 1, "one proxy, one folder");
    std::fs::write(kept[0].join("out-6x"), "").unwrap(); // foreign: skipped
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
            "read before the first request"
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
    std::thread::sleep(Duration::from_millis(300)); // the grace is half a second
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
        "kept though no process ran"
    );
}

/// Without a folder the ban holds all the same.
#[test]
fn a_missing_folder_does_not_undo_a_ban() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let nowhere = ("TMPDIR", "/proc/none".to_string());
    let proxy = Proxy::with_control(&names(&[&a, &b]), SETTINGS, &[nowhere]);
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

/// Writes the proxy's configuration anew, with some of its text replaced.
fn rewrite(proxy: &Proxy, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    assert!(text.contains(from), "{from}");
    std::fs::write(&proxy.config_path, text.replacen(from, to, 1)).unwrap();
    text
}

fn log(left: f64) -> String {
    read_request(left).replace("GET /read", "GET /log")
}

const LOG: &str = r#"{"name":"log","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}"#;

/// Asks until the answer is that one: a signal takes its time.
fn until(proxy: &Proxy, request: impl Fn(f64) -> String, status: u16) {
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    while proxy.request(&request(3.0)).status() != status {
        assert!(std::time::Instant::now() < end, "{status} never came");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn on_a_reload_classes_come_and_go_and_open_requests_keep_theirs() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n == 0 {
            Reply::Gate(wait.clone())
        } else {
            ok("x")
        }
    });
    let proxy = Proxy::with_control(&names(&[&backend]), SETTINGS, &[tmp()]);
    let mut open = proxy.client();
    open.send(&pay_request(3.0));
    backend.next_request();
    assert_eq!(proxy.request(&log(3.0)).status(), 404);
    // `pay` makes way for `log`, and `read` becomes one that must not be repeated.
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let (from, to) = (
        text.find(r#"{"name":"pay""#).unwrap(),
        text.find(r#"{"name":"vote""#).unwrap(),
    );
    rewrite(&proxy, &text[from..to], &format!("{LOG},"));
    rewrite(&proxy, r#""effect":"free""#, r#""effect":"single_shot""#);
    proxy.signal("-HUP");
    until(&proxy, log, 200);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 404);
    assert_eq!(
        proxy.request(&read_request(3.0)).status(),
        400,
        "no GET for what must not be repeated"
    );
    assert_eq!(
        proxy
            .request(&read_request(3.0).replace("GET", "POST"))
            .status(),
        200
    );
    gate.open();
    assert_eq!(open.response().expect("an answer").body, b"gated");
    std::fs::write(&proxy.config_path, text).unwrap();
    proxy.signal("-HUP");
    until(&proxy, log, 404);
    assert_eq!(
        (
            proxy.request(&pay_request(3.0)).status(),
            proxy.request(&read_request(3.0)).status()
        ),
        (200, 200)
    );
}

/// Each file is broken in one way and would bring a new class: nothing of it is taken, and a sound one is.
#[test]
fn nothing_is_taken_from_a_broken_file() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::with_control(&names(&[&backend]), SETTINGS, &[tmp()]);
    let sound = rewrite(
        &proxy,
        r#"{"name":"read""#,
        &format!(r#"{LOG},{{"name":"read""#),
    );
    let new = std::fs::read_to_string(&proxy.config_path).unwrap();
    let swap = |from: &str, to: &str| {
        assert!(new.contains(from), "{from}");
        new.replacen(from, to, 1)
    };
    let half = new.len() / 2;
    let deadline = r#""deadline_us":3000000"#;
    let attempts = r#""max_attempts":4"#;
    for broken in [
        String::new(),
        "{}".into(),
        new[..half].into(),
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
        std::fs::write(&proxy.config_path, &broken).unwrap();
        proxy.signal("-HUP");
        std::thread::sleep(Duration::from_millis(60));
        assert_eq!(proxy.request(&log(3.0)).status(), 404, "{broken}");
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    std::fs::write(&proxy.config_path, &new).unwrap();
    proxy.signal("-HUP");
    until(&proxy, log, 200);
    assert_ne!(new, sound);
}
