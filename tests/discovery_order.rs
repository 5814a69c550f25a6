//! Responses of discovery that arrive out of order: late ones, ones from before discovery restarted with lower versions
//! or changed its address, and ones that cross a failure. The test decides when each call gets its response.

mod rig;

use rig::*;
use std::time::{Duration, Instant};

/// Where the response to a call goes.
type ResponseSender = std::sync::mpsc::Sender<(u16, String)>;

/// A proxy, the backend that it knows at start and the one that replaces it.
struct Case<'a> {
    proxy: &'a Proxy,
    old: &'a BackendServer,
    new: &'a BackendServer,
}

/// Runs a case with pushed and with polled endpoint lists, on a proxy that knows the old backend but not yet the new
/// one.
fn in_each_mode(case: impl Fn(Case)) {
    for mode in ["automatic", "subscribe"] {
        let settings = SETTINGS.replace("\"automatic\"", &format!("{mode:?}"));
        let (old, new) = (
            BackendServer::start(|_| ok("old")),
            BackendServer::start(|_| ok("new")),
        );
        let proxy = Proxy::with_settings(&[entry("b0", old.address, "SERVING")], 1024, &settings);
        case(Case {
            proxy: &proxy,
            old: &old,
            new: &new,
        });
    }
}

impl Case<'_> {
    /// The endpoints before the change: only the old backend.
    fn before(&self) -> Vec<String> {
        vec![entry("b0", self.old.address, "SERVING")]
    }

    /// The endpoints after the change: the old backend drains, the new one serves.
    fn after(&self) -> Vec<String> {
        vec![
            entry("b0", self.old.address, "DRAINING"),
            entry("b1", self.new.address, "SERVING"),
        ]
    }

    /// Responds to the first call with the whole list, as version `index`.
    fn respond_to_first_call(&self, index: u64) {
        self.proxy
            .discovery
            .call()
            .1
            .send((200, list(index, true, &self.before())))
            .unwrap();
    }

    /// Waits for a call after version `index` that the test leaves open until the proxy gives it up.
    fn unanswered_call(&self, index: u64) -> ResponseSender {
        let (target, answer) = self.proxy.discovery.call();
        assert!(target.contains(&format!("after={index}&")), "{target}");
        answer
    }

    /// Waits until the proxy has logged `count` late responses.
    fn wait_for_late_responses(&self, count: usize) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.proxy.log_count("answered a call late") < count {
            assert!(
                Instant::now() < end,
                "the late response was not logged in time"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Checks that only the new backend gets requests. The proxy has read what was sent to it before these requests.
    fn check_only_new_is_used(&self) {
        let before = self.old.request_count();
        (0..8).for_each(|_| {
            assert_eq!(
                self.proxy.request(&pay_request(3.0)).body,
                b"new",
                "a draining backend got a new request"
            );
        });
        assert_eq!(self.old.request_count(), before);
    }

    /// Starts a discovery server at another address and reloads the proxy with it.
    fn move_discovery(&self) -> DiscoveryServer {
        self.move_discovery_from(&self.proxy.discovery)
    }

    /// Like [`Case::move_discovery`], for a proxy that already moved to `before`.
    fn move_discovery_from(&self, before: &DiscoveryServer) -> DiscoveryServer {
        let moved = DiscoveryServer::start();
        let text = std::fs::read_to_string(&self.proxy.config_path).unwrap();
        let text = text.replace(&before.address.to_string(), &moved.address.to_string());
        std::fs::write(&self.proxy.config_path, text).unwrap();
        self.proxy.signal("-HUP");
        moved
    }
}

/// Waits for the proxy's call after version `index`.
fn next_call_after(at: &DiscoveryServer, index: u64) -> ResponseSender {
    let (target, answer) = at.call();
    assert!(target.contains(&format!("after={index}&")), "{target}");
    answer
}

/// A late response arrives while the next call is open. The response to that call was written earlier and arrives last.
#[test]
fn a_whole_list_older_than_the_applied_one_is_ignored() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let late = case.unanswered_call(5);
        let next = next_call_after(&case.proxy.discovery, 5);
        late.send((200, list(9, false, &case.after()))).unwrap();
        case.wait_for_late_responses(1);
        case.check_only_new_is_used();
        next.send((200, list(7, true, &case.before()))).unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 9);
        case.check_only_new_is_used();
    });
}

/// Two calls were given up, and the response to the later one arrives first.
#[test]
fn two_late_responses_in_reverse_order_keep_the_newer_list() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let first = case.unanswered_call(5);
        let second = case.unanswered_call(5);
        let third = next_call_after(&case.proxy.discovery, 5);
        second.send((200, list(9, false, &case.after()))).unwrap();
        case.wait_for_late_responses(1);
        first.send((200, list(8, true, &case.before()))).unwrap();
        case.check_only_new_is_used();
        // The open call also gets changes since 5, up to a version above the applied one: they are applied.
        third
            .send((
                200,
                list(12, false, &[entry("b2", case.new.address, "SERVING")]),
            ))
            .unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 12);
        case.check_only_new_is_used();
    });
}

/// Discovery restarts with lower versions, and a response from before the restart arrives afterwards.
#[test]
fn a_response_from_before_discovery_restarted_is_ignored() {
    in_each_mode(|case| {
        case.respond_to_first_call(50);
        let late = case.unanswered_call(50);
        next_call_after(&case.proxy.discovery, 50)
            .send((200, list(2, false, &[])))
            .unwrap();
        let (target, whole) = case.proxy.discovery.call();
        assert_eq!(
            target, "GET /api/targets HTTP/1.1",
            "changes to an unknown list must be followed by a call for the whole list"
        );
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let next = next_call_after(&case.proxy.discovery, 3);
        case.check_only_new_is_used();
        late.send((200, list(51, false, &case.before()))).unwrap();
        case.check_only_new_is_used();
        next.send((200, list(4, false, &[]))).unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 4);
        case.check_only_new_is_used();
    });
}

/// Discovery restarts, and its whole list is applied despite its lower version, even after a late response with a
/// higher one.
#[test]
fn a_restarted_discoverys_list_is_applied_after_a_late_response() {
    in_each_mode(|case| {
        case.respond_to_first_call(50);
        let late = case.unanswered_call(50);
        let next = next_call_after(&case.proxy.discovery, 50);
        late.send((200, list(60, false, &case.before()))).unwrap();
        case.wait_for_late_responses(1);
        next.send((503, String::new())).unwrap(); // discovery goes down here
        next_call_after(&case.proxy.discovery, 60)
            .send((200, list(3, true, &case.after())))
            .unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 3);
        case.check_only_new_is_used();
    });
}

/// A response from the old address, whose versions are unrelated, arrives after the new address's list.
#[test]
fn the_old_address_never_overrides_the_new_ones_list() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let watch = case.unanswered_call(5);
        let moved = case.move_discovery();
        let (target, whole) = moved.call();
        assert_eq!(target, "GET /api/targets HTTP/1.1");
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let next = next_call_after(&moved, 3);
        watch.send((200, list(90, false, &case.before()))).unwrap();
        case.check_only_new_is_used();
        next.send((200, list(4, false, &[]))).unwrap();
        let _hold = next_call_after(&moved, 4);
        case.check_only_new_is_used();
    });
}

/// A response from the old address arrives before the new address's list: both are applied, whatever their versions.
#[test]
fn the_new_addresss_list_is_applied_after_a_late_response_from_the_old_one() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let watch = case.unanswered_call(5);
        let moved = case.move_discovery();
        let (_, whole) = moved.call();
        watch.send((200, list(90, false, &case.before()))).unwrap();
        case.wait_for_late_responses(1);
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let _hold = next_call_after(&moved, 3);
        case.check_only_new_is_used();
    });
}

/// Discovery's address changes twice, and the first new address responds after the list of the second one.
#[test]
fn after_two_moves_in_a_row_the_last_address_is_used() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let _watch = case.unanswered_call(5);
        let first = case.move_discovery();
        let (_, late) = first.call();
        let second = case.move_discovery_from(&first);
        let (target, whole) = second.call();
        assert_eq!(target, "GET /api/targets HTTP/1.1");
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let next = next_call_after(&second, 3);
        late.send((200, list(70, true, &case.before()))).unwrap();
        case.check_only_new_is_used();
        next.send((200, list(4, false, &[]))).unwrap();
        let _hold = next_call_after(&second, 4);
        case.check_only_new_is_used();
    });
}

/// An outage has increased the delay between calls: a new address is not called with that delay.
#[test]
fn a_move_during_an_outage_is_applied_in_time_even_if_the_first_call_fails() {
    let settings = SETTINGS.replace("\"automatic\"", "\"subscribe\"");
    let settings = settings
        .replace("\"group_size\":1,", "\"group_size\":300,")
        .replace("9000000,\"ramp", "600000000,\"ramp");
    let (old, new) = (
        BackendServer::start(|_| ok("old")),
        BackendServer::start(|_| ok("new")),
    );
    let proxy = Proxy::with_settings(&[entry("b0", old.address, "SERVING")], 1024, &settings);
    let case = Case {
        proxy: &proxy,
        old: &old,
        new: &new,
    };
    (0..6).for_each(|_| proxy.discovery.call().1.send((503, String::new())).unwrap());
    let (_, last) = proxy.discovery.call();
    let moved = case.move_discovery();
    let signal = Instant::now();
    let (_, first) = moved.call();
    first.send((503, String::new())).unwrap();
    moved
        .call()
        .1
        .send((200, list(3, true, &case.after())))
        .unwrap();
    let _hold = next_call_after(&moved, 3);
    let took = signal.elapsed();
    assert!(
        took < Duration::from_millis(1500),
        "the list was applied only {took:?} after the signal"
    );
    // The proxy assumes that the other 299 proxies have as many open requests, so it may reject some on a busy machine.
    let before = old.request_count();
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    (0..8)
        .map(|_| proxy.request(&pay_request(3.0)))
        .for_each(|got| {
            assert!(got.body == b"new" || got.status() == 503, "{got:?}");
        });
    assert_eq!(
        old.request_count(),
        before,
        "a draining backend got a new request"
    );
    drop(last);
}

/// The balancer asks again while a call is open. That request must not shorten the delay after the call's later
/// failure.
#[test]
fn a_repeated_request_for_a_call_before_a_failure_does_not_shorten_the_delay_after_it() {
    let settings = SETTINGS
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("9000000,\"ramp", "2000000,\"ramp");
    let old = BackendServer::start(|_| ok("old"));
    let proxy = Proxy::with_settings(&[entry("b0", old.address, "SERVING")], 1024, &settings);
    let (_, _silent) = proxy.discovery.call(); // asked for again after 1 s, given up after 1.8 s
    let (_, answer) = proxy.discovery.call();
    std::thread::sleep(Duration::from_millis(300)); // the balancer's next request for a call, if one is due, comes meanwhile
    let failed = Instant::now();
    answer.send((503, String::new())).unwrap();
    let _next = proxy.discovery.call();
    let pause = failed.elapsed();
    assert!(
        pause >= Duration::from_millis(45),
        "called again already after {pause:?}"
    );
}

/// A late response that arrived during the next call must not shorten the delay after a later failure.
#[test]
fn a_late_response_before_a_failure_does_not_shorten_the_delay_after_it() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let late = case.unanswered_call(5);
        let next = next_call_after(&case.proxy.discovery, 5);
        late.send((200, list(9, false, &case.after()))).unwrap();
        case.wait_for_late_responses(1);
        next.send((200, list(10, false, &[]))).unwrap();
        let watch = next_call_after(&case.proxy.discovery, 10);
        let failed = Instant::now();
        watch.send((503, String::new())).unwrap();
        let _next = next_call_after(&case.proxy.discovery, 10);
        let pause = failed.elapsed();
        assert!(
            pause >= Duration::from_millis(45),
            "called again already after {pause:?}"
        );
    });
}

/// Discovery sends only changes, even to calls for the whole list: that counts as a failure, so the calls are spaced
/// out.
#[test]
fn changes_in_response_to_a_call_for_the_whole_list_count_as_a_failure() {
    in_each_mode(|case| {
        case.respond_to_first_call(50);
        next_call_after(&case.proxy.discovery, 50)
            .send((200, list(2, false, &[])))
            .unwrap();
        let begun = Instant::now();
        for _ in 0..5 {
            let (target, whole) = case.proxy.discovery.call();
            assert_eq!(target, "GET /api/targets HTTP/1.1");
            whole.send((200, list(2, false, &case.after()))).unwrap();
        }
        let (target, whole) = case.proxy.discovery.call();
        assert_eq!(target, "GET /api/targets HTTP/1.1");
        let pauses = begun.elapsed();
        assert!(
            pauses >= Duration::from_millis(250),
            "five calls in only {pauses:?}"
        );
        assert_eq!(case.proxy.log_count("discovery failed: changes"), 1);
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 3);
        case.check_only_new_is_used();
    });
}

/// A whole list without any valid entry is rejected, and the known endpoints stay in use.
#[test]
fn a_list_without_valid_entries_takes_nothing_out_of_use() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let invalid = [
            entry("b0", case.old.address, "LAME"),
            entry("b1", case.new.address, "LAME"),
        ];
        next_call_after(&case.proxy.discovery, 5)
            .send((200, list(9, true, &invalid)))
            .unwrap();
        let next = next_call_after(&case.proxy.discovery, 5);
        assert_eq!(case.proxy.log_count("discovery failed: no entry"), 1);
        (0..4).for_each(|_| assert_eq!(case.proxy.request(&pay_request(3.0)).body, b"old"));
        next.send((200, list(10, true, &case.after()))).unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 10);
        case.check_only_new_is_used();
    });
}

/// A backend changes its address while a connection to the old one is idle.
#[test]
fn a_backend_whose_address_changed_gets_requests_only_there() {
    in_each_mode(|case| {
        case.respond_to_first_call(5);
        let watch = next_call_after(&case.proxy.discovery, 5);
        assert_eq!(case.proxy.request(&pay_request(3.0)).body, b"old");
        watch
            .send((
                200,
                list(6, false, &[entry("b0", case.new.address, "SERVING")]),
            ))
            .unwrap();
        let _hold = next_call_after(&case.proxy.discovery, 6);
        case.check_only_new_is_used();
    });
}
