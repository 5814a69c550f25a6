//! A discovery server that stops responding: the proxy calls it again in time to learn, within 6 s, what the unanswered
//! call would have reported.

mod rig;

use rig::*;
use std::time::{Duration, Instant};

/// A change is assumed to be known to the proxy this long after discovery stopped responding.
const KNOWN_AFTER: Duration = Duration::from_secs(6);

/// Runs a case with pushed and with polled endpoint lists, on a proxy that knows `old` but not yet `new`.
fn in_each_mode(case: impl Fn(&Proxy, &BackendServer, &BackendServer)) {
    for mode in ["automatic", "subscribe"] {
        let settings = SETTINGS.replace("\"automatic\"", &format!("{mode:?}"));
        let (old, new) = (
            BackendServer::start(|_| ok("old")),
            BackendServer::start(|_| ok("new")),
        );
        let proxy = Proxy::with_settings(&[entry("b0", old.address, "SERVING")], 1024, &settings);
        case(&proxy, &old, &new);
    }
}

/// Checks that discovery is called again within the bound after `silent_since`, when it stopped responding, and that
/// its response applies at once: the draining backend gets no new requests and the new one is used.
fn check_recovery(
    proxy: &Proxy,
    at: &DiscoveryServer,
    silent_since: Instant,
    old: &BackendServer,
    new: &BackendServer,
) {
    let (target, answer) = at.call();
    let took = silent_since.elapsed();
    assert!(took < KNOWN_AFTER, "called again only after {took:?}");
    let change = [
        entry("b0", old.address, "DRAINING"),
        entry("b1", new.address, "SERVING"),
    ];
    let whole = target == "GET /api/targets HTTP/1.1";
    assert!(
        whole || target.contains("&wait_ms=0 "),
        "the call must not wait for changes: {target}"
    );
    let response = list(9, whole, &change).replace(',', ",\n  "); // lists may be indented
    answer.send((200, response)).unwrap();
    let (target, _hold) = at.call(); // by now the change is applied
    assert!(
        target.contains("after=9&") && !target.contains("wait_ms=0 "),
        "{target}"
    );
    let before = old.request_count();
    (0..8).for_each(|_| {
        assert_eq!(
            proxy.request(&pay_request(3.0)).body,
            b"new",
            "a draining backend got a new request"
        );
    });
    assert_eq!(old.request_count(), before);
}

#[test]
fn a_silent_watch_is_reopened_before_its_missed_changes_are_assumed_known() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer
            .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
            .unwrap();
        let (_, _silent) = proxy.discovery.call();
        check_recovery(proxy, &proxy.discovery, Instant::now(), old, new);
    });
}

#[test]
fn a_first_call_without_a_response_is_repeated() {
    in_each_mode(|proxy, old, new| {
        let (_, _silent) = proxy.discovery.call();
        check_recovery(proxy, &proxy.discovery, Instant::now(), old, new);
    });
}

/// A reload changes discovery's address, and the first call there gets no response.
#[test]
fn a_discovery_that_is_silent_right_after_a_reload_is_called_again() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer.send((200, list(5, true, &[]))).unwrap();
        let (_, _watch) = proxy.discovery.call();
        let moved = DiscoveryServer::start();
        let text = std::fs::read_to_string(&proxy.config_path).unwrap();
        let text = text.replace(
            &proxy.discovery.address.to_string(),
            &moved.address.to_string(),
        );
        std::fs::write(&proxy.config_path, text).unwrap();
        proxy.signal("-HUP");
        let (_, _silent) = moved.call();
        check_recovery(proxy, &moved, Instant::now(), old, new);
    });
}

/// After several failed calls the next one asks for a response at once instead of waiting for changes. Where lists are
/// pushed, discovery is called at short intervals until it responds, because its changes count from its return.
#[test]
fn the_first_call_after_an_outage_does_not_wait_for_changes() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer
            .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
            .unwrap();
        let (_, answer) = proxy.discovery.call();
        drop(answer); // the watch ends when discovery goes down
        for _ in 0..4 {
            proxy.discovery.call().1.send((503, String::new())).unwrap();
        }
        check_recovery(proxy, &proxy.discovery, Instant::now(), old, new);
    });
}

/// A late response to a call that the proxy gave up is applied while the next call is still open, because discovery
/// assumes that what it wrote is known. The watch continues from that version.
#[test]
fn a_late_response_to_a_call_that_was_given_up_is_applied() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer
            .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
            .unwrap();
        let (_, late) = proxy.discovery.call();
        let (_, next) = proxy.discovery.call(); // the previous call was given up
        let change = [
            entry("b0", old.address, "DRAINING"),
            entry("b1", new.address, "SERVING"),
        ];
        late.send((200, list(9, false, &change))).unwrap();
        let applied = (0..200).any(|_| {
            proxy.log_count("answered a call late") > 0 || {
                std::thread::sleep(Duration::from_millis(50));
                false
            }
        });
        assert!(applied, "the late response was not applied in time");
        (0..8).for_each(|_| {
            assert_eq!(
                proxy.request(&pay_request(3.0)).body,
                b"new",
                "a draining backend got a new request"
            );
        });
        next.send((503, String::new())).unwrap();
        let (target, _hold) = proxy.discovery.call();
        assert!(target.contains("after=9&"), "{target}");
    });
}

/// An overloaded discovery server rejects some calls and queues others for up to 3 s. A second call of a proxy whose
/// call is queued would end both, so the proxy waits for the response to the queued one.
#[test]
fn a_queued_call_after_a_rejection_is_not_repeated() {
    let settings = SETTINGS
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("\"group_size\":1", "\"group_size\":32");
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let proxy = Proxy::with_settings(&[entry("b0", old.address, "SERVING")], 1024, &settings);
    proxy.discovery.call().1.send((503, String::new())).unwrap();
    let (_, _hangs) = proxy.discovery.call();
    let queued_since = Instant::now();
    let (_, queued) = proxy.discovery.call();
    assert!(
        queued_since.elapsed() > Duration::from_secs(3),
        "called again already after {:?}",
        queued_since.elapsed()
    );
    queued.send((503, String::new())).unwrap();
    let (_, queued) = proxy.discovery.call();
    let change = [
        entry("b0", old.address, "DRAINING"),
        entry("b1", new.address, "SERVING"),
    ];
    queued.send((200, list(9, true, &change))).unwrap();
    let (target, _hold) = proxy.discovery.call(); // by now the change is applied
    assert!(
        target.contains("after=9&") && !target.contains("wait_ms=0 "),
        "{target}"
    );
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
}
