//! Connections to backends: what changes between the choice of one and the last byte that goes out on it.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::scripted::*;
use rig::*;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

type Reply = mpsc::Sender<(u16, String)>;

/// Tells the proxy of one change and waits until it has taken it; gives the watch that is open then.
fn told(proxy: &Proxy, watch: Reply, index: u64, address: SocketAddr, status: &str) -> Reply {
    told_of(proxy, watch, index, &[entry("b0", address, status)])
}

/// The same of several.
fn told_of(proxy: &Proxy, watch: Reply, index: u64, entries: &[String]) -> Reply {
    watch.send((200, list(index, false, entries))).unwrap();
    let (call, watch) = proxy.discovery.call();
    assert!(call.contains(&format!("after={index}&")), "{call}");
    watch
}

/// A proxy that has the one backend, and its open watch.
fn watching(address: SocketAddr, settings: &str) -> (Proxy, Reply) {
    let known = [entry("b0", address, "SERVING")];
    let proxy = Proxy::with_settings(&known, 1024, settings);
    let (_, answer) = proxy.discovery.call();
    answer.send((200, list(5, true, &known))).unwrap();
    let (_, watch) = proxy.discovery.call();
    (proxy, watch)
}

/// While the connection comes up its backend moves, drains or goes: not a byte goes out on it.
#[test]
fn a_late_connection_is_not_used_once_its_backend_has_moved_or_drains() {
    let patient = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
    let patient = patient.replace("\"deadline_us\":3000000", "\"deadline_us\":9000000");
    for what in ["moved", "DRAINING", "DELETED"] {
        let (late, elsewhere) = (FullBacklog::start(), ScriptedBackend::start());
        let (proxy, watch) = watching(late.address(), &patient);
        let mut client = proxy.client();
        client.send(&pay_request(9.0));
        std::thread::sleep(Duration::from_millis(100)); // its dial is under way, or begins to the new address
        let (address, status) = if what == "moved" {
            (elsewhere.address, "SERVING")
        } else {
            (late.address(), what)
        };
        let _watch = told(&proxy, watch, 6, address, status);
        let late = late.start_accepting();
        let wire = late.accept();
        assert_eq!(
            client.response().expect("an answer").status(),
            503,
            "{what}: it never ran"
        );
        drop(proxy); // an unused connection may be kept till then
        assert_eq!(wire.read_until_closed(), b"", "{what}");
    }
}

/// Waits until somebody tries to connect there, by the machine's table of connections.
fn dialled(to: SocketAddr) {
    let (begun, port) = (Instant::now(), format!(":{:04X}", to.port()));
    let tried = |line: &str| {
        let mut columns = line.split_whitespace().skip(2);
        columns.next().is_some_and(|remote| remote.ends_with(&port)) && columns.next() == Some("02")
    };
    while !std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .any(tried)
    {
        assert!(begun.elapsed() < TEST_TIMEOUT, "nobody connects to {to}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The same, with another backend to go to: the request that was not sent for its backend's drain is served there, though the process
/// has just begun and has no attempt to spare.
#[test]
fn a_request_whose_backend_drains_before_its_first_byte_is_served_by_another() {
    let patient = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
    let patient = patient.replace("\"deadline_us\":3000000", "\"deadline_us\":9000000");
    let (late, other) = (FullBacklog::start(), ScriptedBackend::start());
    let (proxy, watch) = watching(late.address(), &patient);
    let mut client = proxy.client();
    client.send(&pay_request(9.0));
    dialled(late.address());
    let moved = [
        entry("b0", late.address(), "DRAINING"),
        entry("b1", other.address, "SERVING"),
    ];
    let _watch = told_of(&proxy, watch, 6, &moved);
    let late = late.start_accepting();
    let unused = late.accept();
    let mut wire = other.accept();
    wire.next_request();
    wire.send_response("own");
    assert_eq!(client.response().expect("an answer").body, b"own");
    drop(proxy); // an unused connection may be kept till then
    assert_eq!(unused.read_until_closed(), b"", "nothing went out on it");
}

/// An answer that comes after its backend began to drain, was shut and opened again, or moved: the client has it, and
/// the connection serves nothing that is sent to another address or while it is shut.
#[test]
fn a_connection_is_kept_only_for_the_backend_as_it_is_now() {
    for reopened in [false, true] {
        let backend = ScriptedBackend::start();
        let (proxy, watch) = watching(backend.address, SETTINGS);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let mut wire = backend.accept();
        wire.next_request();
        let mut watch = told(&proxy, watch, 6, backend.address, "DRAINING");
        if reopened {
            watch = told(&proxy, watch, 7, backend.address, "SERVING");
        }
        wire.send_response("own");
        assert_eq!(client.response().expect("an answer").body, b"own");
        if !reopened {
            assert_eq!(wire.read_until_closed(), b"", "not kept");
            told(&proxy, watch, 8, backend.address, "SERVING");
            wire = backend_after(&mut client, &backend);
        } else {
            client.send(&pay_request(3.0));
        }
        wire.next_request();
        wire.send_response("next");
        assert_eq!(
            client.response().expect("an answer").body,
            b"next",
            "reopened {reopened}"
        );
    }
    let (old, new) = (ScriptedBackend::start(), ScriptedBackend::start());
    let (proxy, watch) = watching(old.address, SETTINGS);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    let mut wire = old.accept();
    wire.next_request();
    let _watch = told(&proxy, watch, 6, new.address, "SERVING");
    wire.send_response("own");
    assert_eq!(client.response().expect("an answer").body, b"own");
    let mut next = backend_after(&mut client, &new);
    next.next_request();
    next.send_response("next");
    assert_eq!(client.response().expect("an answer").body, b"next");
    assert_eq!(
        wire.read_until_closed(),
        b"",
        "of no use at the old address"
    );
}

fn backend_after(client: &mut Client, backend: &ScriptedBackend) -> BackendConnection {
    client.send(&pay_request(3.0));
    backend.accept()
}

/// A backend that has written a long answer is idle however long the client takes to read it: past its limit nothing
/// more goes out on that connection.
#[test]
fn a_slow_client_does_not_stretch_the_idle_limit() {
    const HUGE: usize = 24 << 20;
    let settings = SETTINGS.replace("\"conn_idle_us\":60000000", "\"conn_idle_us\":1000000");
    let backend = ScriptedBackend::start();
    let proxy = Proxy::with_settings(&[entry("b0", backend.address, "SERVING")], 1024, &settings);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    let mut wire = backend.accept();
    wire.next_request();
    let sending = std::thread::spawn(move || {
        wire.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {HUGE}\r\n\r\n"));
        wire.send(vec![b'z'; HUGE]);
        wire
    });
    client.0.read_exact(&mut [0; 12]).unwrap();
    std::thread::sleep(Duration::from_millis(1_000));
    let mut left = HUGE;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        std::io::BufRead::read_line(&mut client.0, &mut line).unwrap();
    }
    let mut piece = vec![0; 1 << 16];
    while left > 0 {
        left -= client.0.read(&mut piece[..left.min(1 << 16)]).unwrap();
    }
    let wire = sending.join().unwrap();
    let mut next = backend_after(&mut client, &backend);
    next.next_request();
    next.send_response("next");
    assert_eq!(client.response().expect("an answer").body, b"next");
    assert_eq!(wire.read_until_closed(), b"");
}

/// A backend that ends, or says half a line, in the very moment in which a request goes out on a warm connection: the
/// request may have run, and is neither sent again nor called harmless. Before that moment it goes elsewhere.
#[test]
fn what_a_backend_does_to_a_warm_connection_costs_no_second_run() {
    for (crossing, half, reset) in [
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
        let case = format!("crossing {crossing}, {half:?}, reset {reset}");
        // Until the draw has come upon the scripted one: its first request makes the connection warm.
        let mut wire = loop {
            client.send(&read_request(3.0));
            if let Some(wire) = until(|| backend.try_accept(), &client) {
                break wire;
            }
            assert_eq!(client.response().expect("an answer").body, b"elsewhere");
        };
        wire.next_request();
        wire.send_response("warm");
        assert_eq!(client.response().expect("an answer").body, b"warm");
        if crossing {
            loop {
                client.send(&pay_request(3.0));
                if until(|| wire.has_data().then_some(()), &client).is_some() {
                    wire.next_request();
                    break;
                }
                assert_eq!(client.response().expect("an answer").body, b"elsewhere");
            }
        }
        let before = other.request_count();
        wire.send(half);
        if reset {
            wire.reset();
        } else {
            wire.close();
        }
        if crossing {
            assert_eq!(
                client.response().expect("an answer").status(),
                502,
                "{case}"
            );
            // Its answer is the last that is done for it: a repeat would have come before.
            assert_eq!(other.request_count(), before, "{case}: sent again");
        } else {
            // None of these fails, wherever it goes.
            for _ in 0..8 {
                client.send(&pay_request(3.0));
                if let Some(mut next) = until(|| backend.try_accept(), &client) {
                    next.next_request();
                    next.send_response("next");
                    assert_eq!(
                        client.response().expect("an answer").body,
                        b"next",
                        "{case}"
                    );
                    break;
                }
                assert_eq!(
                    client.response().expect("an answer").body,
                    b"elsewhere",
                    "{case}"
                );
            }
        }
    }
}

/// What comes first: that, or else an answer for the client.
fn until<T>(mut that: impl FnMut() -> Option<T>, client: &Client) -> Option<T> {
    let tcp = client.0.get_ref();
    tcp.set_read_timeout(Some(Duration::from_millis(2)))
        .unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    let came = loop {
        assert!(Instant::now() < end, "neither came");
        if let Some(came) = that() {
            break Some(came);
        }
        if tcp.peek(&mut [0]).is_ok() {
            break None;
        }
    };
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    came
}
