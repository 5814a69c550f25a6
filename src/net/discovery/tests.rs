//! The watch's arithmetic (docs/design.md, "One clock for the list of servers"), with the module's own pauses.

use super::client::{read_list, MAX_INLINE_READ_BYTES};
use super::endpoint_list::{AnswerError, List, ListEntry};
use super::poll_schedule::{
    AGENT_CONNECT_TIMEOUT, INITIAL_BACKOFF, MAX_QUIET_CALLS_PER_S, MIN_JITTER_FACTOR,
};
use super::*;
use bytes::Bytes;
use meadowproxy::{
    queued_discovery_poll_timeout, Action, Balancer, Config, Discovery, EndpointUpdate, Event,
    Micros, Time,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// What discovery has counts as told so long after it could be reached, s.
const TOLD: f64 = 6.0;
/// Kept of it for what a busy machine adds, s.
const SPARE: f64 = 0.25;
const SECOND: u64 = 1_000_000;

/// One of a fleet's balancers while every call to discovery fails.
struct Caller {
    balancer: Balancer,
    now: u64,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    /// When each call began.
    calls: Vec<u64>,
}

impl Caller {
    /// Its watch has just ended.
    fn new(proxies: u32, position: u32, within: f64) -> Caller {
        let discovery = Discovery::Poll {
            staleness_limit: Micros::from_secs_f64(within),
        };
        let cfg = Config {
            proxy_count: proxies,
            proxy_index: position,
            discovery,
            ..Config::example()
        };
        let balancer = Balancer::new(cfg, 11 + u64::from(position)).unwrap();
        let mut caller = Caller {
            balancer,
            now: 1_000 * SECOND,
            timers: BinaryHeap::new(),
            calls: Vec::new(),
        };
        caller.tell(Event::EndpointsUpdated {
            update: EndpointUpdate::Full,
            backends: Vec::new(),
        });
        caller.calls.clear();
        caller.pass(10 * SECOND, None);
        assert!(caller.calls.is_empty(), "nothing to ask for");
        caller.lost();
        caller
    }

    fn lost(&mut self) {
        self.tell(Event::EndpointsUpdated {
            update: EndpointUpdate::Failed,
            backends: Vec::new(),
        });
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { token, after } => {
                    self.timers.push(Reverse((self.now + after.0, token.0)));
                }
                Action::PollDiscovery => self.calls.push(self.now),
                _ => {}
            }
        }
    }

    /// Lets time pass, up to a call where none is out, and up to the end of one that is.
    fn pass(&mut self, span: u64, until: Option<usize>) {
        let end = self.now + span;
        while self.timers.peek().is_some_and(|t| t.0 .0 <= end) && until != Some(self.calls.len()) {
            let Some(Reverse((at, token))) = self.timers.pop() else {
                return;
            };
            self.now = at;
            self.tell(Event::TimerFired {
                token: meadowproxy::TimerToken(token),
            });
        }
        if until != Some(self.calls.len()) {
            self.now = end;
        }
    }

    /// Calls for so long, each of which fails after what `takes` says of its number; when each began.
    fn outage(mut self, span: u64, takes: impl Fn(usize) -> Duration) -> Vec<u64> {
        let (begin, mut begun) = (self.now, Vec::new());
        while self.now < begin + span {
            self.pass(60 * SECOND, Some(self.calls.len() + 1));
            begun.push(*self.calls.last().expect("it asks again"));
            // What the module repeats while the call is out is dropped when it fails.
            self.pass(takes(begun.len()).as_micros() as u64, None);
            self.lost();
        }
        begun.iter().map(|at| at - begin).collect()
    }
}

/// How a call may fail: refused at once, never connected, never answered, or each in turn.
const FAILURES: [fn(usize) -> Duration; 4] = [
    |_| Duration::ZERO,
    |_| ANSWER_TIMEOUT,
    |_| QUEUE_TIMEOUT,
    |n| {
        [
            Duration::ZERO,
            QUEUE_TIMEOUT,
            Duration::from_millis(300),
            ANSWER_TIMEOUT,
            QUEUE_TIMEOUT,
        ][n % 5]
    },
];

/// Whatever came before: from any moment at which discovery can be reached again the next call begins, and is heard to the
/// end of its patience, before what it tells counts as told. The call that is out at that moment may be lost.
#[test]
fn an_outage_of_any_length_and_kind_is_over_within_the_bound() {
    for proxies in [3, 30, 300] {
        for within in [0.5, 1.0, 2.0, 5.0, 9.0, 10.0, 30.0, 120.0, 3600.0] {
            for takes in FAILURES {
                for position in [0, 1, 2] {
                    let begun = Caller::new(proxies, position, within).outage(60 * SECOND, takes);
                    let gaps = begun
                        .windows(2)
                        .map(|pair| (pair[1] - pair[0]) as f64 / 1e6);
                    let most = gaps.fold(begun[0] as f64 / 1e6, f64::max);
                    let told = most + QUEUE_TIMEOUT.as_secs_f64() + SPARE;
                    assert!(
                        told < TOLD,
                        "{proxies} proxies, {within} s: {most} s between two calls"
                    );
                }
            }
        }
    }
}

/// The same where calls are refused and hang in turn: one that hangs after a refusal is waited for as if it stood in a line.
#[test]
fn a_call_that_keeps_its_place_in_a_line_leaves_the_bound_as_it_was() {
    for proxies in [2, 3, 20, 32, 60, 78, 300, 1800] {
        for within in [0.5, 2.0, 5.0, 6.3, 6.5, 9.0, 30.0, 3600.0] {
            let in_line = Duration::from_micros(
                queued_discovery_poll_timeout(proxies, Micros::from_secs_f64(within)).0,
            );
            assert!(in_line >= QUEUE_TIMEOUT, "{proxies}");
            for refused in [|n| n % 2 == 0, |n| n % 3 == 0, |n| n != 5] {
                let takes = |n| if refused(n) { Duration::ZERO } else { in_line };
                let begun = Caller::new(proxies, 1, within).outage(60 * SECOND, takes);
                let most = begun
                    .windows(2)
                    .map(|pair| (pair[1] - pair[0]) as f64 / 1e6)
                    .fold(0.0, f64::max);
                let told = most + QUEUE_TIMEOUT.as_secs_f64() + SPARE;
                assert!(
                    told < TOLD,
                    "{proxies} proxies, {within} s: {most} s between two calls"
                );
            }
        }
    }
    let line = queued_discovery_poll_timeout(32, Micros::from_secs_f64(9.0));
    assert!(
        line > Micros::from_secs_f64(3.0),
        "a few dozen proxies can wait for the end of discovery's line"
    );
}

/// What the whole fleet costs a discovery that fails: few calls in the end, at no time in step, later and later at first.
#[test]
fn a_fleet_calls_a_failing_discovery_no_faster_than_stated() {
    for (proxies, a_second, a_tenth) in [(3, 6, 3), (30, 32, 10), (300, 130, 24)] {
        for takes in FAILURES {
            let callers = (0..proxies).map(|position| Caller::new(proxies, position, 10.0));
            let each: Vec<Vec<u64>> = callers.map(|c| c.outage(40 * SECOND, takes)).collect();
            let calls = |from: u64, span: u64| {
                let all = each.iter().flatten();
                all.filter(|at| (from..from + span).contains(*at)).count()
            };
            let seconds: Vec<usize> = (15..40).map(|n| calls(n * SECOND, SECOND)).collect();
            assert!(
                seconds.iter().all(|n| *n <= a_second),
                "{proxies}: {seconds:?} calls a second"
            );
            let most = (150..400)
                .map(|n| calls(n * SECOND / 10, SECOND / 10))
                .max();
            assert!(
                most <= Some(a_tenth),
                "{proxies}: {most:?} calls in one tenth of a second: in step"
            );
            // Back-off: what each calls in the first second, and in the seven after it.
            let each = |from, span| calls(from * SECOND, span * SECOND) as f64 / f64::from(proxies);
            assert!(
                each(0, 1) <= 4.5 && each(1, 7) <= 9.0,
                "{proxies}: {} {}",
                each(0, 1),
                each(1, 7)
            );
        }
    }
}

/// For any fleet: the call that finds a silence and one more end before what was missed counts as told; a quiet
/// fleet stays within its calls, and its proxies do not fall into step.
#[test]
fn a_silence_is_found_and_mended_in_time_at_a_cost_that_the_fleet_can_afford() {
    for proxies in [1, 3, 48, 100, 200, 300] {
        let mut schedule = PollSchedule::new(Discovery::Push, proxies, 7);
        let waits: Vec<f64> = (0..200)
            .map(|_| schedule.next_long_poll().as_secs_f64())
            .collect();
        let most = waits.iter().copied().fold(0.0, f64::max);
        let first =
            |position| Caller::new(proxies, position, 10.0).outage(SECOND, |_| Duration::ZERO)[0];
        let pause = (0..proxies.min(20)).map(first).max().unwrap_or(0) as f64 / 1e6;
        let known = most + ANSWER_TIMEOUT.as_secs_f64() + pause + QUEUE_TIMEOUT.as_secs_f64();
        assert!(
            known + SPARE < f64::max(TOLD, most + 2.0),
            "{proxies}: {most} {pause}"
        );
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        assert!(
            f64::from(proxies) / mean <= MAX_QUIET_CALLS_PER_S / MIN_JITTER_FACTOR,
            "{proxies}: every {mean} s"
        );
        let distinct: BTreeSet<u64> = waits.iter().map(|w| (w * 1e3) as u64).collect();
        assert!(distinct.len() > 50, "{proxies}: in step");
    }
    assert!(
        AGENT_CONNECT_TIMEOUT + INITIAL_BACKOFF * 2 < Duration::from_millis(500),
        "an agent that is back is heard within the grace"
    );
}

/// Discovery that answers each call with a status, and hands its target on.
fn discovery(status: u16) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            let mut head = BufReader::new(tcp.try_clone().unwrap())
                .lines()
                .map_while(Result::ok);
            let first = head.next().unwrap_or_default();
            head.take_while(|line| !line.is_empty()).for_each(drop);
            let _ = tcp
                .write_all(format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n").as_bytes());
            if tell.send(first).is_err() {
                return;
            }
        }
    });
    (address, calls)
}

fn asking(discovery: Discovery) -> Rc<Host> {
    let second = Micros(SECOND);
    let network = meadowproxy::settings::NetworkSettings {
        connect_timeout: second,
        conn_idle: second,
        max_retry_after: second,
        deadlines: vec![second].into(),
    };
    let balancer = Balancer::new(
        Config {
            discovery,
            ..Config::example()
        },
        1,
    )
    .unwrap();
    let (names, clock) = (
        meadowproxy::settings::Names::default(),
        crate::net::Clock::new(),
    );
    Host::new(
        balancer,
        names,
        clock,
        Rc::new(crate::net::upstream::ConnectionPool::new(&network, 4)),
    )
}

/// SIGHUP and the end of a pause in one turn of the loop: whichever the watch hears first, its next call is for the whole
/// list. It hears either at random, so the crossing is played a dozen times.
#[tokio::test]
async fn a_move_that_crosses_the_end_of_a_pause_is_not_missed() {
    let calls = async |from: &std::sync::mpsc::Receiver<String>| loop {
        match from.try_recv() {
            Ok(first) => return first,
            Err(_) => tokio::time::sleep(Duration::from_millis(2)).await,
        }
    };
    let play = async || {
        let mode = Discovery::Poll {
            staleness_limit: Micros(10 * SECOND),
        };
        let host = asking(mode);
        let (old, failed) = discovery(503);
        let (new, asked) = discovery(503);
        let (moves, at) = watch::channel(old);
        host.update_endpoints(EndpointUpdate::Cached, &List::default()); // calls at once
        let task =
            tokio::task::spawn_local(watch(host.clone(), at, 7, PollSchedule::new(mode, 3, 1)));
        calls(&failed).await;
        tokio::time::sleep(Duration::from_millis(30)).await; // the module hears of it
        std::thread::sleep(Duration::from_millis(150)); // the pause is over, and nothing runs meanwhile
        host.update_endpoints(EndpointUpdate::Cached, &List::default()); // which has the module look
        moves.send(new).unwrap();
        let first = calls(&asked).await;
        task.abort();
        first
    };
    tokio::task::LocalSet::new()
        .run_until(async {
            for _ in 0..12 {
                assert_eq!(play().await, "GET /api/targets HTTP/1.1");
            }
        })
        .await;
}

/// Long answers are read beside the event loop and come to the same as short ones read on it.
#[tokio::test]
async fn long_and_short_answers_are_read_alike() {
    let body = |whole: bool, good: usize, bad: usize| {
        let of = |n: usize| match n < good {
            true => {
                serde_json::json!({"name": format!("b{n}"), "address": "127.0.0.1:9", "status": "SERVING"})
            }
            false => {
                serde_json::json!({"name": format!("b{n}"), "address": "nowhere", "status": "SERVING"})
            }
        };
        let endpoints: Vec<serde_json::Value> = (0..good + bad).map(of).collect();
        let list = List {
            index: 7,
            is_full: whole,
            endpoints,
        };
        Bytes::from(serde_json::to_vec(&list).unwrap())
    };
    for many in [2, 1_000] {
        assert_eq!(body(true, many, 0).len() >= MAX_INLINE_READ_BYTES, many > 2);
        let answer = read_list(body(true, many, many)).await.unwrap();
        assert_eq!(
            (answer.index, answer.is_full, answer.entries.len()),
            (7, true, 2 * many)
        );
        let named =
            |line: &ListEntry| matches!(line, ListEntry::Endpoint(e) if e.name.starts_with('b'));
        assert_eq!(
            answer.entries.iter().filter(|line| named(line)).count(),
            many
        );
        assert!(
            matches!(answer.entries.iter().last(), Some(ListEntry::Unreadable(name)) if *name == format!("b{}", 2 * many - 1))
        );
        assert!(matches!(
            read_list(body(true, 0, many)).await,
            Err(DiscoveryError::Answer(AnswerError::NoUsableEntry))
        ));
        assert_eq!(
            read_list(body(false, 0, many)).await.unwrap().entries.len(),
            many,
            "changes may be all unclear"
        );
        let cut = body(true, many, 0);
        let cut = cut.slice(..cut.len() - 2);
        assert!(matches!(
            read_list(cut).await,
            Err(DiscoveryError::Answer(AnswerError::Json(_)))
        ));
    }
    assert!(
        read_list(body(true, 0, 0)).await.unwrap().entries.len() == 0,
        "an empty list is a list"
    );
}
