//! One clock for the list of servers: a discovery that falls silent is asked again before what it missed counts as told.

mod rig;

use rig::*;
use std::time::{Duration, Instant};

/// Whether or not it arrived, what a silent call missed counts as told so long after the silence began.
const TOLD: Duration = Duration::from_secs(6);

/// For lists that are pushed and lists that are asked for: a proxy that knows the old backend, beside a new one.
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

/// From the moment the silence began: asked again in time for one more failure before the bound, and what the answer
/// tells holds at once: the drained backend gets nothing new, the new one is used.
fn mended(
    proxy: &Proxy,
    at: &DiscoveryServer,
    silent: Instant,
    old: &BackendServer,
    new: &BackendServer,
) {
    let (target, answer) = at.call();
    let took = silent.elapsed();
    assert!(took < TOLD, "asked again after {took:?}");
    let change = [
        entry("b0", old.address, "DRAINING"),
        entry("b1", new.address, "SERVING"),
    ];
    let whole = target == "GET /api/targets HTTP/1.1";
    assert!(
        whole || target.contains("&wait_ms=0 "),
        "it is to be answered at once: {target}"
    );
    let told = list(9, whole, &change).replace(',', ",\n  "); // lists may come indented
    answer.send((200, told)).unwrap();
    let (target, _hold) = at.call(); // by now the change is taken in
    assert!(
        target.contains("after=9&") && !target.contains("wait_ms=0 "),
        "{target}"
    );
    let before = old.request_count();
    (0..8).for_each(|_| {
        assert_eq!(
            proxy.request(&pay_request(3.0)).body,
            b"new",
            "nothing new for one that drains"
        );
    });
    assert_eq!(old.request_count(), before);
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_counts_as_told() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer
            .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
            .unwrap();
        let (_, _silent) = proxy.discovery.call();
        mended(proxy, &proxy.discovery, Instant::now(), old, new);
    });
}

#[test]
fn a_first_call_that_is_never_answered_is_made_again() {
    in_each_mode(|proxy, old, new| {
        let (_, _silent) = proxy.discovery.call();
        mended(proxy, &proxy.discovery, Instant::now(), old, new);
    });
}

/// After SIGHUP all that the new address has to tell counts, whether or not its first answer came.
#[test]
fn a_discovery_that_is_silent_right_after_a_reload_is_asked_again() {
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
        mended(proxy, &moved, Instant::now(), old, new);
    });
}

/// An outage of several failed calls: the first that gets through is answered at once, not held for news; where lists
/// are pushed the agent is tried without end at short pauses, as what it has counts from its return.
#[test]
fn the_first_call_after_an_outage_is_answered_at_once() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer
            .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
            .unwrap();
        let (_, answer) = proxy.discovery.call();
        drop(answer); // watches end when discovery goes down
        for _ in 0..4 {
            proxy.discovery.call().1.send((503, String::new())).unwrap();
        }
        mended(proxy, &proxy.discovery, Instant::now(), old, new);
    });
}

/// What discovery writes counts as told, also to a call that was given up: an answer that comes late is taken, while the
/// next call is still unanswered, and the watch goes on from there.
#[test]
fn an_answer_to_a_call_that_was_given_up_is_taken() {
    in_each_mode(|proxy, old, new| {
        let (_, answer) = proxy.discovery.call();
        answer
            .send((200, list(5, true, &[entry("b0", old.address, "SERVING")])))
            .unwrap();
        let (_, late) = proxy.discovery.call();
        let (_, next) = proxy.discovery.call(); // the one before was given up
        let change = [
            entry("b0", old.address, "DRAINING"),
            entry("b1", new.address, "SERVING"),
        ];
        late.send((200, list(9, false, &change))).unwrap();
        let taken = (0..200).any(|_| {
            proxy.log_count("answered a call late") > 0 || {
                std::thread::sleep(Duration::from_millis(50));
                false
            }
        });
        assert!(taken, "the late answer was dropped");
        (0..8).for_each(|_| {
            assert_eq!(
                proxy.request(&pay_request(3.0)).body,
                b"new",
                "nothing new for one that drains"
            );
        });
        next.send((503, String::new())).unwrap();
        let (target, _hold) = proxy.discovery.call();
        assert!(target.contains("after=9&"), "{target}");
    });
}

/// A discovery with more callers than it can answer refuses calls, and lets the others stand in line for up to 3 s. Another
/// call of a proxy that stands there ends both: so none is made, and the answer is heard.
#[test]
fn a_call_after_a_refusal_keeps_its_place_in_the_line() {
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
    let stands = Instant::now();
    let (_, in_line) = proxy.discovery.call();
    assert!(
        stands.elapsed() > Duration::from_secs(3),
        "called again after {:?}",
        stands.elapsed()
    );
    in_line.send((503, String::new())).unwrap();
    let (_, in_line) = proxy.discovery.call();
    let change = [
        entry("b0", old.address, "DRAINING"),
        entry("b1", new.address, "SERVING"),
    ];
    in_line.send((200, list(9, true, &change))).unwrap();
    let (target, _hold) = proxy.discovery.call(); // by now the change is taken in
    assert!(
        target.contains("after=9&") && !target.contains("wait_ms=0 "),
        "{target}"
    );
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
}
