//! Answers of discovery that cross: with one another, with a beginning of its anew, with a move of its address, and with
//! what the module said before. The stand-in answers when the test says, so each order is forced.

mod rig;

use rig::*;
use std::time::{Duration, Instant};

/// Where a call's answer goes.
type Answer = std::sync::mpsc::Sender<(u16, String)>;

struct Case<'a> {
    proxy: &'a Proxy,
    old: &'a BackendServer,
    new: &'a BackendServer,
}

/// For lists that are pushed and lists that are asked for: a proxy that knows the old backend, beside a new one.
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
    /// The old backend as it was, and alone.
    fn before(&self) -> Vec<String> {
        vec![entry("b0", self.old.address, "SERVING")]
    }

    /// The old backend drains, the new one serves.
    fn after(&self) -> Vec<String> {
        vec![
            entry("b0", self.old.address, "DRAINING"),
            entry("b1", self.new.address, "SERVING"),
        ]
    }

    /// Answers the first call with that version.
    fn begin(&self, index: u64) {
        self.proxy
            .discovery
            .call()
            .1
            .send((200, list(index, true, &self.before())))
            .unwrap();
    }

    /// A call after that version that is given up: its answer may come late.
    fn given_up(&self, index: u64) -> Answer {
        let (target, answer) = self.proxy.discovery.call();
        assert!(target.contains(&format!("after={index}&")), "{target}");
        answer
    }

    /// Waits until so many late answers were taken.
    fn late(&self, count: usize) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.proxy.log_count("answered a call late") < count {
            assert!(Instant::now() < end, "the late answer was dropped");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// What was sent to the proxy before these requests has been read when they are answered.
    fn only_new(&self) {
        let before = self.old.request_count();
        (0..8).for_each(|_| {
            assert_eq!(
                self.proxy.request(&pay_request(3.0)).body,
                b"new",
                "nothing new for one that drains"
            );
        });
        assert_eq!(self.old.request_count(), before);
    }

    /// SIGHUP to another address.
    fn moved(&self) -> DiscoveryServer {
        self.moved_from(&self.proxy.discovery)
    }

    fn moved_from(&self, before: &DiscoveryServer) -> DiscoveryServer {
        let moved = DiscoveryServer::start();
        let text = std::fs::read_to_string(&self.proxy.config_path).unwrap();
        let text = text.replace(&before.address.to_string(), &moved.address.to_string());
        std::fs::write(&self.proxy.config_path, text).unwrap();
        self.proxy.signal("-HUP");
        moved
    }
}

fn goes_on(at: &DiscoveryServer, index: u64) -> Answer {
    let (target, answer) = at.call();
    assert!(target.contains(&format!("after={index}&")), "{target}");
    answer
}

/// A call is given up and answered late, while the next one is out; that one's answer was made earlier and arrives last.
#[test]
fn a_whole_list_that_was_overtaken_by_a_newer_one_is_not_taken() {
    in_each_mode(|case| {
        case.begin(5);
        let late = case.given_up(5);
        let next = goes_on(&case.proxy.discovery, 5);
        late.send((200, list(9, false, &case.after()))).unwrap();
        case.late(1);
        case.only_new();
        next.send((200, list(7, true, &case.before()))).unwrap();
        let _hold = goes_on(&case.proxy.discovery, 9);
        case.only_new();
    });
}

/// Two calls were given up; the later one's answer comes first.
#[test]
fn two_late_answers_in_the_wrong_order_leave_the_newer_list() {
    in_each_mode(|case| {
        case.begin(5);
        let first = case.given_up(5);
        let second = case.given_up(5);
        let third = goes_on(&case.proxy.discovery, 5);
        second.send((200, list(9, false, &case.after()))).unwrap();
        case.late(1);
        first.send((200, list(8, true, &case.before()))).unwrap();
        case.only_new();
        // The one that is waited for has changes since 5 as well, up to more than is held: they follow on.
        third
            .send((
                200,
                list(12, false, &[entry("b2", case.new.address, "SERVING")]),
            ))
            .unwrap();
        let _hold = goes_on(&case.proxy.discovery, 12);
        case.only_new();
    });
}

/// Discovery begins anew, with lower versions; what its earlier self wrote comes later.
#[test]
fn an_answer_from_before_discovery_began_anew_is_not_taken() {
    in_each_mode(|case| {
        case.begin(50);
        let late = case.given_up(50);
        goes_on(&case.proxy.discovery, 50)
            .send((200, list(2, false, &[])))
            .unwrap();
        let (target, whole) = case.proxy.discovery.call();
        assert_eq!(
            target, "GET /api/targets HTTP/1.1",
            "changes to a list that is not held"
        );
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let next = goes_on(&case.proxy.discovery, 3);
        case.only_new();
        late.send((200, list(51, false, &case.before()))).unwrap();
        case.only_new();
        next.send((200, list(4, false, &[]))).unwrap();
        let _hold = goes_on(&case.proxy.discovery, 4);
        case.only_new();
    });
}

/// ... and its whole list, lower, is taken though a late answer has made the held version higher meanwhile.
#[test]
fn a_discovery_that_began_anew_is_believed_after_a_late_answer() {
    in_each_mode(|case| {
        case.begin(50);
        let late = case.given_up(50);
        let next = goes_on(&case.proxy.discovery, 50);
        late.send((200, list(60, false, &case.before()))).unwrap();
        case.late(1);
        next.send((503, String::new())).unwrap(); // it goes down here
        goes_on(&case.proxy.discovery, 60)
            .send((200, list(3, true, &case.after())))
            .unwrap();
        let _hold = goes_on(&case.proxy.discovery, 3);
        case.only_new();
    });
}

/// The answer of the old address, in versions of its own, comes after the new address's list.
#[test]
fn the_old_address_never_undoes_what_the_new_one_told() {
    in_each_mode(|case| {
        case.begin(5);
        let watch = case.given_up(5);
        let moved = case.moved();
        let (target, whole) = moved.call();
        assert_eq!(target, "GET /api/targets HTTP/1.1");
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let next = goes_on(&moved, 3);
        watch.send((200, list(90, false, &case.before()))).unwrap();
        case.only_new();
        next.send((200, list(4, false, &[]))).unwrap();
        let _hold = goes_on(&moved, 4);
        case.only_new();
    });
}

/// ... or before it: then both are taken, whatever their versions.
#[test]
fn the_new_address_is_believed_after_a_late_answer_of_the_old_one() {
    in_each_mode(|case| {
        case.begin(5);
        let watch = case.given_up(5);
        let moved = case.moved();
        let (_, whole) = moved.call();
        watch.send((200, list(90, false, &case.before()))).unwrap();
        case.late(1);
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let _hold = goes_on(&moved, 3);
        case.only_new();
    });
}

/// Two moves in a row: the first new address answers after the second one's list.
#[test]
fn of_two_moves_in_a_row_the_last_address_is_believed() {
    in_each_mode(|case| {
        case.begin(5);
        let _watch = case.given_up(5);
        let first = case.moved();
        let (_, late) = first.call();
        let second = case.moved_from(&first);
        let (target, whole) = second.call();
        assert_eq!(target, "GET /api/targets HTTP/1.1");
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let next = goes_on(&second, 3);
        late.send((200, list(70, true, &case.before()))).unwrap();
        case.only_new();
        next.send((200, list(4, false, &[]))).unwrap();
        let _hold = goes_on(&second, 4);
        case.only_new();
    });
}

/// What an outage grew the module's pause to is not waited for at a new address.
#[test]
fn a_move_in_an_outage_is_heard_in_time_though_the_first_call_there_fails() {
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
    let moved = case.moved();
    let signal = Instant::now();
    let (_, first) = moved.call();
    first.send((503, String::new())).unwrap();
    moved
        .call()
        .1
        .send((200, list(3, true, &case.after())))
        .unwrap();
    let _hold = goes_on(&moved, 3);
    let took = signal.elapsed();
    assert!(
        took < Duration::from_millis(1500),
        "known {took:?} after the signal"
    );
    // One of three hundred proxies takes the others to hold as much as it does, and refuses while the machine is busy.
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
        "nothing new for one that drains"
    );
    drop(last);
}

/// The module repeats a call of which it hears nothing, while that call is still out. That one is not for the next failure.
#[test]
fn a_repeated_ask_from_before_a_failure_does_not_end_the_pause_after_it() {
    let settings = SETTINGS
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("9000000,\"ramp", "2000000,\"ramp");
    let old = BackendServer::start(|_| ok("old"));
    let proxy = Proxy::with_settings(&[entry("b0", old.address, "SERVING")], 1024, &settings);
    let (_, _silent) = proxy.discovery.call(); // repeated 1 s later, given up 1.8 s later
    let (_, answer) = proxy.discovery.call();
    std::thread::sleep(Duration::from_millis(300)); // the module's next word, if one is due, comes meanwhile
    let failed = Instant::now();
    answer.send((503, String::new())).unwrap();
    let _next = proxy.discovery.call();
    let pause = failed.elapsed();
    assert!(
        pause >= Duration::from_millis(45),
        "called again after {pause:?}"
    );
}

/// A late answer that came while the next call was out has nothing to say on a failure after that.
#[test]
fn a_late_answer_from_before_a_failure_does_not_end_the_pause_after_it() {
    in_each_mode(|case| {
        case.begin(5);
        let late = case.given_up(5);
        let next = goes_on(&case.proxy.discovery, 5);
        late.send((200, list(9, false, &case.after()))).unwrap();
        case.late(1);
        next.send((200, list(10, false, &[]))).unwrap();
        let watch = goes_on(&case.proxy.discovery, 10);
        let failed = Instant::now();
        watch.send((503, String::new())).unwrap();
        let _next = goes_on(&case.proxy.discovery, 10);
        let pause = failed.elapsed();
        assert!(
            pause >= Duration::from_millis(45),
            "called again after {pause:?}"
        );
    });
}

/// A discovery that has changes only, even for a call for the whole list, is one that fails: it is not called without end.
#[test]
fn changes_to_a_call_for_the_whole_list_count_as_a_failure() {
    in_each_mode(|case| {
        case.begin(50);
        goes_on(&case.proxy.discovery, 50)
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
            "{pauses:?} for five calls"
        );
        assert_eq!(case.proxy.log_count("discovery failed: changes"), 1);
        whole.send((200, list(3, true, &case.after()))).unwrap();
        let _hold = goes_on(&case.proxy.discovery, 3);
        case.only_new();
    });
}

/// A whole list none of whose entries makes sense is no list: what is known stays in use.
#[test]
fn a_list_that_makes_no_sense_takes_nothing_out_of_use() {
    in_each_mode(|case| {
        case.begin(5);
        let lame = [
            entry("b0", case.old.address, "LAME"),
            entry("b1", case.new.address, "LAME"),
        ];
        goes_on(&case.proxy.discovery, 5)
            .send((200, list(9, true, &lame)))
            .unwrap();
        let next = goes_on(&case.proxy.discovery, 5);
        assert_eq!(case.proxy.log_count("discovery failed: no entry"), 1);
        (0..4).for_each(|_| assert_eq!(case.proxy.request(&pay_request(3.0)).body, b"old"));
        next.send((200, list(10, true, &case.after()))).unwrap();
        let _hold = goes_on(&case.proxy.discovery, 10);
        case.only_new();
    });
}

/// A backend moves to another address while a connection to the one before rests.
#[test]
fn a_backend_whose_address_changed_is_reached_there_alone() {
    in_each_mode(|case| {
        case.begin(5);
        let watch = goes_on(&case.proxy.discovery, 5);
        assert_eq!(case.proxy.request(&pay_request(3.0)).body, b"old");
        watch
            .send((
                200,
                list(6, false, &[entry("b0", case.new.address, "SERVING")]),
            ))
            .unwrap();
        let _hold = goes_on(&case.proxy.discovery, 6);
        case.only_new();
    });
}
