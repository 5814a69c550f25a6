//! Further attempts that cross with what forbids them.

mod rig;

use rig::scripted::*;
use rig::*;
use std::time::{Duration, Instant};

/// Two backends that are one listener, so that the test sees every request wherever it goes.
fn pair(settings: &str) -> (ScriptedBackend, Proxy) {
    let backend = ScriptedBackend::start();
    let known = [
        entry("b0", backend.address, "SERVING"),
        entry("b1", backend.address, "SERVING"),
    ];
    let proxy = Proxy::with_settings(&known, 1024, settings);
    (backend, proxy)
}

/// The connection on which the next request comes, or none where the client has an answer first.
fn next(
    backend: &ScriptedBackend,
    wires: &mut Vec<BackendConnection>,
    client: &Client,
) -> Option<BackendConnection> {
    let tcp = client.0.get_ref().try_clone().unwrap();
    tcp.set_read_timeout(Some(Duration::from_millis(2)))
        .unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    let came = loop {
        assert!(Instant::now() < end, "neither a request nor an answer");
        wires.extend(backend.try_accept());
        if let Some(at) = wires.iter().position(BackendConnection::has_data) {
            break Some(wires.remove(at));
        }
        if tcp.peek(&mut [0]).is_ok() {
            break None;
        }
    };
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    came
}

/// Requests that are served, so that the module has attempts to spare.
fn warm_up(backend: &ScriptedBackend, wires: &mut Vec<BackendConnection>, client: &mut Client) {
    for _ in 0..25 {
        client.send(&read_request(3.0));
        let mut wire = next(backend, wires, client).expect("a request");
        wire.next_request();
        wire.send_response("x");
        assert_eq!(client.response().expect("an answer").status(), 200);
        wires.push(wire);
    }
}

/// While its first attempt is out a request's class becomes one that must not run twice, or one whose repeats are dropped
/// by a key that it has not: it is not sent again. Where it stays free it is.
#[test]
fn a_request_obeys_the_stricter_of_the_settings_before_and_after_a_reload() {
    let keyed = r#""effect":"guarded","key_scope":"all","window_us":500000"#;
    for (effect, repeated) in [
        (r#""effect":"single_shot""#, false),
        (keyed, false),
        (r#""effect":"free""#, true),
    ] {
        let (backend, proxy) = pair(SETTINGS);
        let (mut client, mut wires) = (proxy.client(), Vec::new());
        warm_up(&backend, &mut wires, &mut client);
        client.send(&read_request(3.0));
        let mut first = next(&backend, &mut wires, &client).expect("a request");
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
            assert!(Instant::now() < end, "the settings were not taken");
            std::thread::sleep(Duration::from_millis(2));
        }
        first.reset();
        let second = next(&backend, &mut wires, &client);
        assert_eq!(second.is_some(), repeated, "{effect}");
        let status = match second {
            Some(mut second) => {
                second.next_request();
                second.send_response("own");
                200
            }
            None => 502,
        };
        assert_eq!(
            client.response().expect("an answer").status(),
            status,
            "{effect}"
        );
    }
}

/// A keyed request whose first attempt broke is repeated inside its window and not after it, counted from its dispatch.
#[test]
fn a_keyed_repeat_crosses_the_end_of_its_window() {
    let settings = SETTINGS.replace("\"window_us\":500000", "\"window_us\":300000");
    for (wait, repeated) in [(0, true), (301, false)] {
        let (backend, proxy) = pair(&settings);
        let (mut client, mut wires) = (proxy.client(), Vec::new());
        warm_up(&backend, &mut wires, &mut client);
        client.send(&vote_request(3.0));
        let mut first = next(&backend, &mut wires, &client).expect("a request");
        let key = first
            .next_request()
            .header("idempotency-key")
            .map(String::from);
        std::thread::sleep(Duration::from_millis(wait)); // it was dispatched before
        first.reset();
        let second = next(&backend, &mut wires, &client);
        if !repeated {
            assert!(second.is_none(), "repeated after its window");
            assert!(client.response().expect("an answer").status() >= 500);
        } else if let Some(mut second) = second {
            // Unless this machine took longer than the window for it.
            assert_eq!(
                second
                    .next_request()
                    .header("idempotency-key")
                    .map(String::from),
                key
            );
            second.send_response("own");
            assert_eq!(client.response().expect("an answer").body, b"own");
        }
    }
}

/// The answer and the client's time come together, again and again: each client hears one final answer, whole, and the
/// connection goes on.
#[test]
fn an_answer_at_the_very_deadline_is_one_answer() {
    let (backend, proxy) = pair(SETTINGS);
    let (mut client, mut wires) = (proxy.client(), Vec::new());
    warm_up(&backend, &mut wires, &mut client);
    for step in 0..30u64 {
        client.send(&pay_request(0.06));
        let Some(mut wire) = next(&backend, &mut wires, &client) else {
            client.response().expect("an answer");
            continue;
        };
        wire.next_request();
        // From well before the proxy's last moment to well after it, across it.
        std::thread::sleep(Duration::from_millis(35 + step));
        use std::io::Write;
        let _ = wire.0.get_mut().write_all(ok_response("own").as_bytes());
        let got = client.response().expect("an answer");
        assert!(got.status() != 200 || got.body == b"own", "{got:?}");
        if got.status() == 200 {
            wires.push(wire);
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
            "a second answer, or an end"
        );
    }
}
