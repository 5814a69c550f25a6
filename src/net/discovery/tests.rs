//! Timing of discovery calls together with the balancer's own backoff (docs/design.md, "One clock for the list of
//! servers"), changes of address, and parsing of answers.

use super::client::{parse_answer, MIN_OFFLOADED_PARSE_BYTES};
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

/// A proxy must have the list this long after discovery can be reached, in seconds.
const MAX_STALENESS_S: f64 = 6.0;
/// Part of it reserved for delays on a busy machine, in seconds.
const TIMING_MARGIN_S: f64 = 0.25;
const SECOND: u64 = 1_000_000;

/// Simulates the calls of one balancer of a fleet while every call to discovery fails.
struct SimulatedPoller {
    balancer: Balancer,
    now: u64,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    /// When each call began, in microseconds.
    calls: Vec<u64>,
}

impl SimulatedPoller {
    /// Creates a balancer that has a list, and whose call to discovery has just failed.
    fn new(proxies: u32, position: u32, staleness_limit_s: f64) -> SimulatedPoller {
        let discovery = Discovery::Poll {
            staleness_limit: Micros::from_secs_f64(staleness_limit_s),
        };
        let cfg = Config {
            proxy_count: proxies,
            proxy_index: position,
            discovery,
            ..Config::example()
        };
        let balancer = Balancer::new(cfg, 11 + u64::from(position)).unwrap();
        let mut poller = SimulatedPoller {
            balancer,
            now: 1_000 * SECOND,
            timers: BinaryHeap::new(),
            calls: Vec::new(),
        };
        poller.handle(Event::EndpointsUpdated {
            update: EndpointUpdate::Full,
            backends: Vec::new(),
        });
        poller.calls.clear();
        poller.advance(10 * SECOND, None);
        assert!(
            poller.calls.is_empty(),
            "it polls although no call has failed"
        );
        poller.call_failed();
        poller
    }

    fn call_failed(&mut self) {
        self.handle(Event::EndpointsUpdated {
            update: EndpointUpdate::Failed,
            backends: Vec::new(),
        });
    }

    fn handle(&mut self, event: Event) {
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

    /// Advances time by `span` microseconds and fires timers, or stops early once `until` calls were made.
    fn advance(&mut self, span: u64, until: Option<usize>) {
        let end = self.now + span;
        while self.timers.peek().is_some_and(|t| t.0 .0 <= end) && until != Some(self.calls.len()) {
            let Some(Reverse((at, token))) = self.timers.pop() else {
                return;
            };
            self.now = at;
            self.handle(Event::TimerFired {
                token: meadowproxy::TimerToken(token),
            });
        }
        if until != Some(self.calls.len()) {
            self.now = end;
        }
    }

    /// Simulates an outage of `span` microseconds in which the n-th call fails after `call_duration(n)`. Returns when
    /// each call began, in microseconds since the outage began.
    fn outage(mut self, span: u64, call_duration: impl Fn(usize) -> Duration) -> Vec<u64> {
        let (begin, mut call_times) = (self.now, Vec::new());
        while self.now < begin + span {
            self.advance(60 * SECOND, Some(self.calls.len() + 1));
            call_times.push(*self.calls.last().expect("the balancer does not poll again"));
            // Polls that the balancer requests while a call is in progress are discarded when the call fails.
            self.advance(call_duration(call_times.len()).as_micros() as u64, None);
            self.call_failed();
        }
        call_times.iter().map(|at| at - begin).collect()
    }
}

/// How long failing calls take: refused at once, no connection, no answer, or a mixture.
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

/// Whenever discovery becomes reachable during an outage, the next call begins and reaches its timeout within the time
/// limit for having the list. The call in progress at that moment may be lost.
#[test]
fn the_list_is_up_to_date_in_time_after_an_outage_of_any_length_and_kind() {
    for proxies in [3, 30, 300] {
        for staleness_limit_s in [0.5, 1.0, 2.0, 5.0, 9.0, 10.0, 30.0, 120.0, 3600.0] {
            for call_duration in FAILURES {
                for position in [0, 1, 2] {
                    let call_times = SimulatedPoller::new(proxies, position, staleness_limit_s)
                        .outage(60 * SECOND, call_duration);
                    let gaps = call_times
                        .windows(2)
                        .map(|pair| (pair[1] - pair[0]) as f64 / 1e6);
                    let longest = gaps.fold(call_times[0] as f64 / 1e6, f64::max);
                    let up_to_date_s = longest + QUEUE_TIMEOUT.as_secs_f64() + TIMING_MARGIN_S;
                    assert!(
                        up_to_date_s < MAX_STALENESS_S,
                        "{proxies} proxies, {staleness_limit_s} s: {longest} s between two calls"
                    );
                }
            }
        }
    }
}

/// The limit also holds where refused and hanging calls alternate: a call after a refused one has the longer timeout of
/// a call that may be in a full queue.
#[test]
fn the_longer_timeout_of_queued_calls_keeps_the_limit() {
    for proxies in [2, 3, 20, 32, 60, 78, 300, 1800] {
        for staleness_limit_s in [0.5, 2.0, 5.0, 6.3, 6.5, 9.0, 30.0, 3600.0] {
            let queued = Duration::from_micros(
                queued_discovery_poll_timeout(proxies, Micros::from_secs_f64(staleness_limit_s)).0,
            );
            assert!(queued >= QUEUE_TIMEOUT, "{proxies} proxies: {queued:?}");
            for refused in [|n| n % 2 == 0, |n| n % 3 == 0, |n| n != 5] {
                let call_duration = |n| if refused(n) { Duration::ZERO } else { queued };
                let call_times = SimulatedPoller::new(proxies, 1, staleness_limit_s)
                    .outage(60 * SECOND, call_duration);
                let longest = call_times
                    .windows(2)
                    .map(|pair| (pair[1] - pair[0]) as f64 / 1e6)
                    .fold(0.0, f64::max);
                let up_to_date_s = longest + QUEUE_TIMEOUT.as_secs_f64() + TIMING_MARGIN_S;
                assert!(
                    up_to_date_s < MAX_STALENESS_S,
                    "{proxies} proxies, {staleness_limit_s} s: {longest} s between two calls"
                );
            }
        }
    }
    let timeout = queued_discovery_poll_timeout(32, Micros::from_secs_f64(9.0));
    assert!(
        timeout > Micros::from_secs_f64(3.0),
        "the timeout is too short for the queue that a few dozen proxies cause"
    );
}

/// Bounds the calls of a whole fleet to a failing discovery: their rate after the initial backoff, their rate in any
/// tenth of a second, as proxies must not synchronise, and each proxy's calls during the initial backoff.
#[test]
fn a_fleet_calls_a_failing_discovery_no_faster_than_stated() {
    for (proxies, a_second, a_tenth) in [(3, 6, 3), (30, 32, 10), (300, 130, 24)] {
        for call_duration in FAILURES {
            let pollers =
                (0..proxies).map(|position| SimulatedPoller::new(proxies, position, 10.0));
            let each: Vec<Vec<u64>> = pollers
                .map(|c| c.outage(40 * SECOND, call_duration))
                .collect();
            let calls = |from: u64, span: u64| {
                let all = each.iter().flatten();
                all.filter(|at| (from..from + span).contains(*at)).count()
            };
            let seconds: Vec<usize> = (15..40).map(|n| calls(n * SECOND, SECOND)).collect();
            assert!(
                seconds.iter().all(|n| *n <= a_second),
                "{proxies} proxies: {seconds:?} calls per second"
            );
            let busiest = (150..400)
                .map(|n| calls(n * SECOND / 10, SECOND / 10))
                .max();
            assert!(
                busiest <= Some(a_tenth),
                "{proxies} proxies are synchronised: {busiest:?} calls in a tenth of a second"
            );
            // Backoff: calls per proxy in the first second, and in the seven seconds after it.
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

/// For any size of fleet, a call that stays unanswered and the one that repeats it end within the time limit for having
/// the list, a fleet without changes stays within its rate of calls, and its proxies do not synchronise.
#[test]
fn an_unanswered_call_is_repeated_in_time_within_the_fleets_rate_of_calls() {
    for proxies in [1, 3, 48, 100, 200, 300] {
        let mut schedule = PollSchedule::new(Discovery::Push, proxies, 7);
        let waits: Vec<f64> = (0..200)
            .map(|_| schedule.next_long_poll().as_secs_f64())
            .collect();
        let longest = waits.iter().copied().fold(0.0, f64::max);
        let first = |position| {
            SimulatedPoller::new(proxies, position, 10.0).outage(SECOND, |_| Duration::ZERO)[0]
        };
        let pause = (0..proxies.min(20)).map(first).max().unwrap_or(0) as f64 / 1e6;
        let recovered_s =
            longest + ANSWER_TIMEOUT.as_secs_f64() + pause + QUEUE_TIMEOUT.as_secs_f64();
        assert!(
            recovered_s + TIMING_MARGIN_S < f64::max(MAX_STALENESS_S, longest + 2.0),
            "{proxies} proxies: wait of {longest} s, backoff of {pause} s"
        );
        let mean = waits.iter().sum::<f64>() / waits.len() as f64;
        assert!(
            f64::from(proxies) / mean <= MAX_QUIET_CALLS_PER_S / MIN_JITTER_FACTOR,
            "{proxies} proxies call every {mean} s each"
        );
        let distinct: BTreeSet<u64> = waits.iter().map(|w| (w * 1e3) as u64).collect();
        assert!(
            distinct.len() > 50,
            "{proxies} proxies: waits are not spread"
        );
    }
    assert!(
        AGENT_CONNECT_TIMEOUT + INITIAL_BACKOFF * 2 < Duration::from_millis(500),
        "an agent that is back is not polled within half a second"
    );
}

/// Starts a discovery server that answers each call with `status`, and sends each request line to the returned channel.
fn discovery(status: u16) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            let mut head = BufReader::new(tcp.try_clone().unwrap())
                .lines()
                .map_while(Result::ok);
            let first = head.next().unwrap_or_default();
            head.take_while(|line| !line.is_empty()).for_each(drop);
            let _ = tcp
                .write_all(format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n").as_bytes());
            if sender.send(first).is_err() {
                return;
            }
        }
    });
    (address, calls)
}

fn host_with_discovery(discovery: Discovery) -> Rc<Host> {
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

/// A change of address and the end of a backoff fall into one turn of the event loop. Whichever the task sees first,
/// its next call goes to the new address and requests the full list. Which one it sees first is random, so the test
/// repeats the race a dozen times.
#[tokio::test]
async fn a_change_of_address_at_the_end_of_a_backoff_is_not_missed() {
    let calls = async |from: &std::sync::mpsc::Receiver<String>| loop {
        match from.try_recv() {
            Ok(first) => return first,
            Err(_) => tokio::time::sleep(Duration::from_millis(2)).await,
        }
    };
    let run_race = async || {
        let mode = Discovery::Poll {
            staleness_limit: Micros(10 * SECOND),
        };
        let host = host_with_discovery(mode);
        let (old, failed) = discovery(503);
        let (new, asked) = discovery(503);
        let (moves, at) = watch::channel(old);
        host.update_endpoints(EndpointUpdate::Cached, &List::default()); // the balancer requests a poll at once
        let task =
            tokio::task::spawn_local(watch(host.clone(), at, 7, PollSchedule::new(mode, 3, 1)));
        calls(&failed).await;
        tokio::time::sleep(Duration::from_millis(30)).await; // the balancer handles the failure
        std::thread::sleep(Duration::from_millis(150)); // the backoff ends while the event loop is blocked
        host.update_endpoints(EndpointUpdate::Cached, &List::default()); // the balancer sees that the backoff is over
        moves.send(new).unwrap();
        let first = calls(&asked).await;
        task.abort();
        first
    };
    tokio::task::LocalSet::new()
        .run_until(async {
            for _ in 0..12 {
                assert_eq!(run_race().await, "GET /api/targets HTTP/1.1");
            }
        })
        .await;
}

/// Long answers, which are parsed off the event loop, give the same results as short ones.
#[tokio::test]
async fn long_and_short_answers_are_parsed_alike() {
    let body = |is_full: bool, valid: usize, malformed: usize| {
        let of = |n: usize| match n < valid {
            true => {
                serde_json::json!({"name": format!("b{n}"), "address": "127.0.0.1:9", "status": "SERVING"})
            }
            false => {
                serde_json::json!({"name": format!("b{n}"), "address": "nowhere", "status": "SERVING"})
            }
        };
        let endpoints: Vec<serde_json::Value> = (0..valid + malformed).map(of).collect();
        let list = List {
            index: 7,
            is_full,
            endpoints,
        };
        Bytes::from(serde_json::to_vec(&list).unwrap())
    };
    for count in [2, 1_000] {
        assert_eq!(
            body(true, count, 0).len() >= MIN_OFFLOADED_PARSE_BYTES,
            count > 2
        );
        let answer = parse_answer(body(true, count, count)).await.unwrap();
        assert_eq!(
            (answer.index, answer.is_full, answer.entries.len()),
            (7, true, 2 * count)
        );
        let named =
            |line: &ListEntry| matches!(line, ListEntry::Endpoint(e) if e.name.starts_with('b'));
        assert_eq!(
            answer.entries.iter().filter(|line| named(line)).count(),
            count
        );
        assert!(
            matches!(answer.entries.iter().last(), Some(ListEntry::Unreadable(name)) if *name == format!("b{}", 2 * count - 1))
        );
        assert!(matches!(
            parse_answer(body(true, 0, count)).await,
            Err(DiscoveryError::Answer(AnswerError::NoUsableEntry))
        ));
        assert_eq!(
            parse_answer(body(false, 0, count))
                .await
                .unwrap()
                .entries
                .len(),
            count,
            "changes may consist of malformed entries only"
        );
        let cut = body(true, count, 0);
        let cut = cut.slice(..cut.len() - 2);
        assert!(matches!(
            parse_answer(cut).await,
            Err(DiscoveryError::Answer(AnswerError::Json(_)))
        ));
    }
    assert!(
        parse_answer(body(true, 0, 0)).await.unwrap().entries.len() == 0,
        "an empty full list is not accepted"
    );
}
