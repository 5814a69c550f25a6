//! Answers that are not what they should be: each is told from a good one, and none reaches the request that comes next
//! on its connection.

mod rig;

use rig::scripted::*;
use rig::*;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

fn one(backend: &ScriptedBackend) -> Proxy {
    Proxy::start(&[entry("b0", backend.address, "SERVING")])
}

/// A proxy with debug lines.
fn talking(backend: &ScriptedBackend) -> Proxy {
    let level = [
        ("NODE_LOG", "debug".to_string()),
        ("TMPDIR", create_temp_dir().display().to_string()),
    ];
    Proxy::with_control(&[entry("b0", backend.address, "SERVING")], SETTINGS, &level)
}

/// More came than one answer: the first is the client's, and the connection is not used again.
#[test]
fn what_comes_behind_an_answer_is_never_the_next_ones() {
    let second = ok_response("another");
    for more in [&second[..], "HTTP/1.1 2", "x", "\r\n"] {
        let backend = ScriptedBackend::start();
        let proxy = one(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let mut wire = backend.accept();
        wire.next_request();
        wire.send(ok_response("first") + more);
        assert_eq!(
            client.response().expect("an answer").body,
            b"first",
            "{more:?}"
        );
        the_next_goes_elsewhere(&backend, &mut client, wire, more);
    }
}

/// The next request is served on a connection of its own, and the one before carries nothing more.
fn the_next_goes_elsewhere(
    backend: &ScriptedBackend,
    client: &mut Client,
    before: BackendConnection,
    case: &str,
) {
    client.send(&pay_request(3.0));
    let mut next = backend.accept();
    next.next_request();
    next.send_response("second");
    assert_eq!(
        client.response().expect("an answer").body,
        b"second",
        "{case:?}"
    );
    assert_eq!(before.read_until_closed(), b"", "{case:?}");
}

/// The same where it comes once the connection rests.
#[test]
fn what_comes_between_two_requests_is_never_the_next_ones() {
    let second = ok_response("another");
    for more in [&second[..], "HTTP/1.1 2", "x"] {
        let backend = ScriptedBackend::start();
        let proxy = one(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let mut wire = backend.accept();
        wire.next_request();
        wire.send_response("first");
        assert_eq!(client.response().expect("an answer").body, b"first");
        wire.send(more);
        the_next_goes_elsewhere(&backend, &mut client, wire, more);
    }
}

/// A late second answer would be taken for the next request's if that were on its way already: a connection rests before
/// it is used again, however fast requests follow each other.
#[test]
fn a_connection_rests_between_an_answer_and_the_next_request() {
    let backend = ScriptedBackend::start();
    let proxy = one(&backend);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    let mut wire = backend.accept();
    for _ in 0..10 {
        wire.next_request();
        let answered = Instant::now();
        wire.send_response("x");
        assert_eq!(client.response().expect("an answer").body, b"x");
        client.send(&pay_request(3.0));
        wire.0.get_ref().peek(&mut [0]).expect("the next request");
        assert!(
            answered.elapsed() >= Duration::from_millis(3),
            "{:?}",
            answered.elapsed()
        );
    }
    wire.next_request();
    wire.send_response("x");
    assert_eq!(client.response().expect("an answer").status(), 200);
}

/// An answer that comes while its request still goes out cannot be made for it, and the request never runs.
#[test]
fn an_answer_before_the_requests_last_byte_is_not_its_own() {
    const LENGTH: usize = 1_000_000;
    let backend = ScriptedBackend::start();
    let proxy = one(&backend);
    let mut client = proxy.client();
    client.send(
        &pay_request(3.0)
            .replace("Length: 4", &format!("Length: {LENGTH}"))
            .replace("cash", ""),
    );
    client.send(&"y".repeat(LENGTH / 2));
    let mut wire = backend.accept();
    wire.read_bytes(LENGTH / 2);
    wire.send_response("stale");
    assert_eq!(
        client.response().expect("an answer").status(),
        503,
        "it never ran"
    );
    assert!(
        wire.read_until_closed().len() < LENGTH / 2,
        "the rest did not go out"
    );
}

/// A body without a length that is cut off by a reset is not whole, however much of it came and whatever the client
/// knows of framing. Ended in order it is.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    let (small, large) = ("z".repeat(3_000), "z".repeat(300_000));
    for (old, body, reset) in [
        (false, &small, true),
        (true, &small, true),
        (false, &large, true),
        (true, &large, true),
        (true, &small, false),
        (false, &large, false),
    ] {
        let backend = ScriptedBackend::start();
        let proxy = one(&backend);
        let mut client = proxy.client();
        let ask = pay_request(3.0).replace("Host: s", "Host: s\r\nConnection: close");
        client.send(&ask.replace("HTTP/1.1", if old { "HTTP/1.0" } else { "HTTP/1.1" }));
        let mut wire = backend.accept();
        wire.next_request();
        let (text, long) = (body.clone(), body.len() > 65_536);
        let (sent, all_sent) = std::sync::mpsc::channel();
        let (go, wait) = std::sync::mpsc::channel::<()>();
        let sending = std::thread::spawn(move || {
            wire.send("HTTP/1.1 200 OK\r\n\r\n");
            wire.send(&text);
            sent.send(()).unwrap();
            wait.recv().unwrap();
            if reset {
                wire.reset();
            }
        });
        let mut got = Vec::new();
        if long {
            got = vec![0; 70_000]; // it streams: nothing takes these bytes back
            client.0.read_exact(&mut got).unwrap();
        }
        all_sent
            .recv_timeout(TEST_TIMEOUT)
            .expect("the backend's buffers hold it");
        go.send(()).unwrap();
        sending.join().unwrap();
        let plain_end = client.0.read_to_end(&mut got).is_ok();
        let text = String::from_utf8_lossy(&got);
        let case = format!("old {old}, {} bytes, reset {reset}", body.len());
        match (reset, long) {
            (true, false) => assert!(
                text.starts_with("HTTP/1.1 502") || text.starts_with("HTTP/1.0 502"),
                "{case}: {text}"
            ),
            (true, true) if old => assert!(!plain_end, "{case}: a plain end"),
            (true, true) => assert!(!text.ends_with("0\r\n\r\n"), "{case}"),
            (false, _) => assert!(
                text.contains("200") && text.matches('z').count() == body.len(),
                "{case}"
            ),
        }
    }
}

/// Begun to stream after a second for want of an end, then reset: the client can tell.
#[test]
fn a_slow_answer_without_a_length_that_is_reset_shows_as_broken() {
    for old in [false, true] {
        let backend = ScriptedBackend::start();
        let proxy = one(&backend);
        let mut client = proxy.client();
        client.send(
            &read_request(3.0).replace("HTTP/1.1", if old { "HTTP/1.0" } else { "HTTP/1.1" }),
        );
        let mut wire = backend.accept();
        wire.next_request();
        wire.send("HTTP/1.1 200 OK\r\n\r\nsome");
        let mut got = vec![0; 12];
        client.0.read_exact(&mut got).unwrap(); // it streams
        wire.reset();
        let plain_end = client.0.read_to_end(&mut got).is_ok();
        let text = String::from_utf8_lossy(&got);
        assert!(
            text.contains("some") && !text.ends_with("0\r\n\r\n"),
            "{text}"
        );
        assert!(!old || !plain_end, "a plain end");
    }
}

/// A client's request that reached the backend on a new connection. The one backend may just be out of use for what it
/// did last: a client that is refused comes again.
fn reached(proxy: &Proxy, backend: &ScriptedBackend) -> (Client, BackendConnection) {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        let tcp = client.0.get_ref();
        tcp.set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let wire = loop {
            assert!(Instant::now() < end, "nothing reaches the backend");
            match backend.try_accept() {
                Some(wire) => break Some(wire),
                None if tcp.peek(&mut [0]).is_ok() => break None,
                None => {}
            }
        };
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        match wire {
            Some(wire) => return (client, wire),
            None => {
                assert_eq!(
                    client.response().expect("an answer").status(),
                    503,
                    "only a refusal is harmless"
                );
            }
        }
    }
}

/// What one broken answer of each sort comes to. A request that may have run and must not run twice fails in time,
/// once; one line says why; the next request is served on another connection.
#[test]
fn each_broken_answer_fails_alone_and_says_why() {
    let giant = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "g".repeat(200_000));
    let many = format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: b\r\n".repeat(300));
    let cases: [(&str, &str, bool); 17] = [
        ("nonsense", "\u{1}\u{2}\u{3} what is this\r\n\r\n", false),
        ("a giant head", &giant, false),
        ("many headers", &many, false),
        ("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", false),
        ("no number", "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nabcd", false),
        ("negative", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd", false),
        ("length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", false),
        ("coded", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", false),
        ("another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nabcd", true),
        (
            "cut off, and not run it says",
            "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\nabcd",
            true,
        ),
        ("broken chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n", false),
        ("huge chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabcd", false),
        ("cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabcd", true),
        ("no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", true),
        ("too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd", true),
        ("half a head", "HTTP/1.1 200 OK\r\nContent-Le", true),
        ("switching", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", false),
    ];
    let backend = ScriptedBackend::start();
    let proxy = talking(&backend);
    for (what, bytes, ends) in cases {
        let lines = proxy.log_count("attempt_broken");
        let (mut client, mut wire) = reached(&proxy, &backend);
        wire.next_request();
        wire.send(bytes);
        if ends {
            wire.close();
        } else {
            // It stays open on this side: the answer alone decides.
            assert_eq!(
                client.response().unwrap_or_default().status(),
                502,
                "{what}"
            );
            assert!(wire.read_until_closed().is_empty(), "{what}: used again");
        }
        if ends {
            assert_eq!(
                client.response().unwrap_or_default().status(),
                502,
                "{what}"
            );
        }
        let (mut next, mut wire) = reached(&proxy, &backend);
        wire.next_request();
        // Not kept, so that the next round's request comes on a connection of its own.
        wire.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood");
        assert_eq!(next.response().expect("an answer").body, b"good", "{what}");
        let end = Instant::now() + TEST_TIMEOUT;
        while proxy.log_count("attempt_broken") == lines {
            assert!(Instant::now() < end, "{what}: no line");
            std::thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(proxy.log_count("attempt_broken"), lines + 1, "{what}");
    }
}

/// Words before the answer change nothing.
#[test]
fn interim_answers_are_no_answers() {
    let backend = ScriptedBackend::start();
    let proxy = one(&backend);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    let mut wire = backend.accept();
    wire.next_request();
    wire.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    wire.send("HTTP/1.1 102 Processing\r\n\r\n");
    wire.send_response("own");
    let answer = client.response().expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"own"[..]));
}

/// Trickled for ever before anything goes on, it ends with the client's time; after that the connection is gone.
#[test]
fn an_answer_that_never_ends_is_answered_for_in_time() {
    let heads = [
        "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
        "HTTP/1.1 500 Oops\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: ",
    ];
    for head in heads {
        let backend = ScriptedBackend::start();
        let proxy = one(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(0.6));
        let mut wire = backend.accept();
        wire.next_request();
        wire.send(head);
        let trickle = if head.contains("102") { head } else { "t" };
        let trickling = std::thread::spawn(move || {
            let end = Instant::now() + TEST_TIMEOUT;
            while wire.0.get_mut().write_all(trickle.as_bytes()).is_ok() {
                assert!(Instant::now() < end, "the proxy keeps it");
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let status = client.response().expect("an answer").status();
        assert!(status == 502 || status == 504, "{head:?}: {status}");
        trickling.join().unwrap();
    }
}
