//! Reuse of backend connections while the endpoint list changes, backends close connections or clients read slowly. No
//! request may go out on a connection that is no longer usable, and none may run twice.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::scripted::*;
use rig::*;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Where the response to a call to discovery goes.
type Reply = mpsc::Sender<(u16, String)>;

/// Sends the proxy a change to one endpoint and waits until it is applied. Returns the watch that is open afterwards.
fn send_change(
    proxy: &Proxy,
    watch: Reply,
    index: u64,
    address: SocketAddr,
    status: &str,
) -> Reply {
    send_changes(proxy, watch, index, &[entry("b0", address, status)])
}

/// Like [`send_change`], for several endpoints.
fn send_changes(proxy: &Proxy, watch: Reply, index: u64, entries: &[String]) -> Reply {
    watch.send((200, list(index, false, entries))).unwrap();
    let (call, watch) = proxy.discovery.call();
    assert!(call.contains(&format!("after={index}&")), "{call}");
    watch
}

/// Starts a proxy whose only endpoint is at `address`. Returns the proxy and its open watch.
fn start_with_watch(address: SocketAddr, settings: &str) -> (Proxy, Reply) {
    let known = [entry("b0", address, "SERVING")];
    let proxy = Proxy::with_settings(&known, 1024, settings);
    let (_, answer) = proxy.discovery.call();
    answer.send((200, list(5, true, &known))).unwrap();
    let (_, watch) = proxy.discovery.call();
    (proxy, watch)
}

/// The backend changes its address, drains or is deleted while a connection to it is being established: no byte is
/// sent.
#[test]
fn a_connection_is_not_used_if_its_backend_moved_or_drains_before_it_is_established() {
    let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
    let settings = settings.replace("\"deadline_us\":3000000", "\"deadline_us\":9000000");
    for change in ["moved", "DRAINING", "DELETED"] {
        let (pending, elsewhere) = (FullBacklog::start(), ScriptedBackend::start());
        let (proxy, watch) = start_with_watch(pending.address(), &settings);
        let mut client = proxy.client();
        client.send(&pay_request(9.0));
        std::thread::sleep(Duration::from_millis(100)); // the connect is under way, or starts to the new address
        let (address, status) = if change == "moved" {
            (elsewhere.address, "SERVING")
        } else {
            (pending.address(), change)
        };
        let _watch = send_change(&proxy, watch, 6, address, status);
        let pending = pending.start_accepting();
        let connection = pending.accept();
        assert_eq!(
            client.response().expect("no response").status(),
            503,
            "{change}: a request that did not run must get 503"
        );
        drop(proxy); // an unused connection may stay open until the proxy exits
        assert_eq!(connection.read_until_closed(), b"", "{change}");
    }
}

/// Waits until /proc/net/tcp shows a connect attempt (SYN_SENT) to `to`.
fn wait_for_connect_attempt(to: SocketAddr) {
    let (begun, port) = (Instant::now(), format!(":{:04X}", to.port()));
    let connecting = |line: &str| {
        let mut columns = line.split_whitespace().skip(2);
        columns.next().is_some_and(|remote| remote.ends_with(&port)) && columns.next() == Some("02")
    };
    while !std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .any(connecting)
    {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "no connect attempt to {to} in time"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The backend drains before the first byte of a request was sent to it: another backend serves the request, even if
/// the process has just started and its retry budget is empty.
#[test]
fn a_request_whose_backend_drains_before_its_first_byte_is_served_by_another() {
    let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
    let settings = settings.replace("\"deadline_us\":3000000", "\"deadline_us\":9000000");
    let (pending, other) = (FullBacklog::start(), ScriptedBackend::start());
    let (proxy, watch) = start_with_watch(pending.address(), &settings);
    let mut client = proxy.client();
    client.send(&pay_request(9.0));
    wait_for_connect_attempt(pending.address());
    let moved = [
        entry("b0", pending.address(), "DRAINING"),
        entry("b1", other.address, "SERVING"),
    ];
    let _watch = send_changes(&proxy, watch, 6, &moved);
    let pending = pending.start_accepting();
    let unused = pending.accept();
    let mut connection = other.accept();
    connection.next_request();
    connection.send_response("own");
    assert_eq!(client.response().expect("no response").body, b"own");
    drop(proxy); // an unused connection may stay open until the proxy exits
    assert_eq!(
        unused.read_until_closed(),
        b"",
        "bytes were sent to the draining backend"
    );
}

/// A response arrives after its backend began to drain, drained and returned to service, or changed its address: the
/// client gets it, and the connection serves no request while the backend drains and none for the new address.
#[test]
fn a_connection_is_reused_only_while_its_backend_is_unchanged() {
    for reopened in [false, true] {
        let backend = ScriptedBackend::start();
        let (proxy, watch) = start_with_watch(backend.address, SETTINGS);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let mut connection = backend.accept();
        connection.next_request();
        let mut watch = send_change(&proxy, watch, 6, backend.address, "DRAINING");
        if reopened {
            watch = send_change(&proxy, watch, 7, backend.address, "SERVING");
        }
        connection.send_response("own");
        assert_eq!(client.response().expect("no response").body, b"own");
        if !reopened {
            assert_eq!(
                connection.read_until_closed(),
                b"",
                "the connection to a draining backend was reused"
            );
            send_change(&proxy, watch, 8, backend.address, "SERVING");
            connection = send_and_accept(&mut client, &backend);
        } else {
            client.send(&pay_request(3.0));
        }
        connection.next_request();
        connection.send_response("next");
        assert_eq!(
            client.response().expect("no response").body,
            b"next",
            "reopened {reopened}"
        );
    }
    let (old, new) = (ScriptedBackend::start(), ScriptedBackend::start());
    let (proxy, watch) = start_with_watch(old.address, SETTINGS);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    let mut connection = old.accept();
    connection.next_request();
    let _watch = send_change(&proxy, watch, 6, new.address, "SERVING");
    connection.send_response("own");
    assert_eq!(client.response().expect("no response").body, b"own");
    let mut next = send_and_accept(&mut client, &new);
    next.next_request();
    next.send_response("next");
    assert_eq!(client.response().expect("no response").body, b"next");
    assert_eq!(
        connection.read_until_closed(),
        b"",
        "a request was sent to the old address"
    );
}

fn send_and_accept(client: &mut Client, backend: &ScriptedBackend) -> BackendConnection {
    client.send(&pay_request(3.0));
    backend.accept()
}

/// A backend counts as idle from its last byte on, even if the client takes longer to read the response: after the idle
/// limit the connection is not used again.
#[test]
fn a_slow_client_does_not_extend_the_idle_limit() {
    const HUGE: usize = 24 << 20;
    let settings = SETTINGS.replace("\"conn_idle_us\":60000000", "\"conn_idle_us\":1000000");
    let backend = ScriptedBackend::start();
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    let mut connection = backend.accept();
    connection.next_request();
    let sending = std::thread::spawn(move || {
        connection.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {HUGE}\r\n\r\n"));
        connection.send(vec![b'z'; HUGE]);
        connection
    });
    client.0.read_exact(&mut [0; 12]).unwrap();
    std::thread::sleep(Duration::from_millis(1_000));
    let mut left = HUGE;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        std::io::BufRead::read_line(&mut client.0, &mut line).unwrap();
    }
    let mut buffer = vec![0; 1 << 16];
    while left > 0 {
        left -= client.0.read(&mut buffer[..left.min(1 << 16)]).unwrap();
    }
    let connection = sending.join().unwrap();
    let mut next = send_and_accept(&mut client, &backend);
    next.next_request();
    next.send_response("next");
    assert_eq!(client.response().expect("no response").body, b"next");
    assert_eq!(connection.read_until_closed(), b"");
}

/// A backend closes an idle connection or sends part of a line. If that crosses a request, the request may have run: it
/// is not repeated and fails with 502. If it happens before the next request, that one is sent on another connection.
#[test]
fn a_request_is_not_repeated_after_its_warm_connection_fails() {
    for (crossing, partial_line, reset) in [
        (true, "", false),
        (true, "", true),
        (true, "HTTP/1.1 2", false),
        (false, "HTTP/1.1 2", false),
        (false, "", true),
    ] {
        let (backend, other) = (
            ScriptedBackend::start(),
            BackendServer::start(|_| ok("elsewhere")),
        );
        let known = [
            entry("b0", backend.address, "SERVING"),
            entry("b1", other.address, "SERVING"),
        ];
        let proxy = Proxy::start(&known);
        let mut client = proxy.client();
        let case = format!("crossing {crossing}, {partial_line:?}, reset {reset}");
        // Until a request is assigned to the scripted backend, which opens a connection.
        let mut connection = loop {
            client.send(&read_request(3.0));
            if let Some(connection) = event_before_response(|| backend.try_accept(), &client) {
                break connection;
            }
            assert_eq!(client.response().expect("no response").body, b"elsewhere");
        };
        connection.next_request();
        connection.send_response("warm");
        assert_eq!(client.response().expect("no response").body, b"warm");
        if crossing {
            loop {
                client.send(&pay_request(3.0));
                if event_before_response(|| connection.has_data().then_some(()), &client).is_some()
                {
                    connection.next_request();
                    break;
                }
                assert_eq!(client.response().expect("no response").body, b"elsewhere");
            }
        }
        let before = other.request_count();
        connection.send(partial_line);
        if reset {
            connection.reset();
        } else {
            connection.close();
        }
        if crossing {
            assert_eq!(
                client.response().expect("no response").status(),
                502,
                "{case}"
            );
            // The response is the last step of the request: a retry would have been sent before it.
            assert_eq!(
                other.request_count(),
                before,
                "{case}: the request was sent twice"
            );
        } else {
            // No request fails, whichever backend it is assigned to.
            for _ in 0..8 {
                client.send(&pay_request(3.0));
                if let Some(mut next) = event_before_response(|| backend.try_accept(), &client) {
                    next.next_request();
                    next.send_response("next");
                    assert_eq!(
                        client.response().expect("no response").body,
                        b"next",
                        "{case}"
                    );
                    break;
                }
                assert_eq!(
                    client.response().expect("no response").body,
                    b"elsewhere",
                    "{case}"
                );
            }
        }
    }
}

/// Waits until `poll` returns a value, or returns `None` if the client gets a response first.
fn event_before_response<T>(mut poll: impl FnMut() -> Option<T>, client: &Client) -> Option<T> {
    let tcp = client.0.get_ref();
    tcp.set_read_timeout(Some(Duration::from_millis(2)))
        .unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    let value = loop {
        assert!(
            Instant::now() < end,
            "neither the event nor a response in time"
        );
        if let Some(value) = poll() {
            break Some(value);
        }
        if tcp.peek(&mut [0]).is_ok() {
            break None;
        }
    };
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    value
}
