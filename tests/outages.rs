//! Discovery outages of different kinds and lengths: a change must be applied at most 6 s after discovery can be
//! reached again, however it failed and for however long.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How discovery fails, both for calls that are open when the outage begins and for later ones.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Refused,
    /// New connections are not established, and nothing is sent on open ones.
    Unreachable,
    Unavailable,
    Reset,
    /// Connections are accepted, but nothing is ever sent on them, not even after the outage.
    Silent,
    /// Half of a response is sent, and then nothing more.
    Truncated,
    /// The response continues in small chunks without end.
    Endless,
    /// The response is several megabytes long.
    Oversized,
    /// The response has status 200 but contains no endpoint list.
    NotAList,
}
use Fault::*;

/// The state of the discovery server, shared by its connections.
#[derive(Default)]
struct ServerState {
    fault: Option<Fault>,
    /// Version of the endpoint list.
    index: u64,
    /// Each entry with the version that introduced it.
    entries: Vec<(u64, String)>,
    /// Number of calls received.
    calls: u32,
}

/// A discovery server that implements the protocol and can be made to fail.
#[derive(Clone)]
struct FaultyDiscovery {
    address: SocketAddr,
    state: Arc<(Mutex<ServerState>, Condvar)>,
    /// Number of open connections, and the highest number so far.
    open: Arc<(AtomicI32, AtomicI32)>,
}

impl FaultyDiscovery {
    fn start(entries: Vec<String>) -> FaultyDiscovery {
        let socket = bind("127.0.0.1:0".parse().unwrap());
        socket.listen(128).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let entries = entries.into_iter().map(|e| (5, e)).collect();
        let state = Arc::new((
            Mutex::new(ServerState {
                index: 5,
                entries,
                ..ServerState::default()
            }),
            Condvar::new(),
        ));
        let discovery = FaultyDiscovery {
            address,
            state,
            open: Arc::default(),
        };
        let accepting = discovery.clone();
        std::thread::spawn(move || accepting.accept(socket));
        discovery
    }

    /// Changes the state and wakes the calls that wait for a change.
    fn change(&self, change: impl FnOnce(&mut ServerState)) {
        change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
    }

    /// Publishes a new version with these entries.
    fn publish(&self, entries: &[String]) {
        self.change(|s| {
            s.index += 1;
            let index = s.index;
            s.entries.extend(entries.iter().map(|e| (index, e.clone())));
        });
    }

    /// Waits until `count` calls have arrived.
    fn wait_for_calls(&self, count: u32) {
        let (state, changed) = &*self.state;
        let too_few = |s: &mut ServerState| s.calls < count;
        let (_state, timeout) = changed
            .wait_timeout_while(state.lock().unwrap(), TEST_TIMEOUT, too_few)
            .unwrap();
        assert!(!timeout.timed_out(), "fewer than {count} calls in time");
    }

    /// Accepts connections except during a fault that prevents that.
    fn accept(self, socket: socket2::Socket) {
        let (mut listener, mut reserved) = (Some(TcpListener::from(socket)), None::<ReservedPort>);
        loop {
            let fault = self.state.0.lock().unwrap().fault;
            if fault == Some(Refused) || fault == Some(Unreachable) {
                if listener.take().is_some() {
                    reserved = Some(ReservedPort::at(self.address, fault == Some(Unreachable)));
                }
            } else if let Some(reserved) = reserved.take() {
                listener = Some(reserved.listen());
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((tcp, _))) => {
                    let discovery = self.clone();
                    let now = self.open.0.fetch_add(1, Ordering::SeqCst) + 1;
                    self.open.1.fetch_max(now, Ordering::SeqCst);
                    std::thread::spawn(move || {
                        tcp.set_nonblocking(false).unwrap();
                        discovery.serve(tcp);
                        discovery.open.0.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Responds to the calls on a connection, or fails as the current fault says.
    fn serve(&self, mut tcp: TcpStream) {
        let mut reader = BufReader::new(tcp.try_clone().unwrap());
        while let Some(call) = Message::read(&mut reader) {
            self.change(|s| s.calls += 1);
            let number = |name: &str| {
                call.start_line
                    .split(name)
                    .nth(1)?
                    .split(['&', ' '])
                    .next()?
                    .parse()
                    .ok()
            };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
            let keep_open = match self.respond(after, wait) {
                Ok(list) => send(&mut tcp, 200, &list),
                Err(Unavailable) => send(&mut tcp, 503, ""),
                Err(NotAList) => send(&mut tcp, 200, r#"{"index":"x","snapshot":true}"#),
                Err(Oversized) => send(&mut tcp, 200, &" ".repeat(6 << 20)),
                Err(Refused | Reset) => {
                    let _ = socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO));
                    false
                }
                Err(Silent | Unreachable) => wait_until_closed(&mut tcp),
                Err(Truncated) => {
                    let _ = tcp.write_all(
                        b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{\"index\":9,\"snap",
                    );
                    wait_until_closed(&mut tcp)
                }
                Err(Endless) => {
                    let _ = tcp.write_all(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while tcp.write_all(b"1\r\n \r\n").is_ok() {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    false
                }
            };
            if !keep_open {
                return;
            }
        }
    }

    /// The response to a call: the whole list, or the changes after a version, for which it waits up to `wait` ms; or a
    /// fault.
    fn respond(&self, after: Option<u64>, wait: u64) -> Result<String, Fault> {
        let (state, changed) = &*self.state;
        let unchanged =
            |s: &mut ServerState| s.fault.is_none() && after.is_some_and(|after| s.index <= after);
        let wait = Duration::from_millis(wait);
        let (state, _) = changed
            .wait_timeout_while(state.lock().unwrap(), wait, unchanged)
            .unwrap();
        let changes = state
            .entries
            .iter()
            .filter(|e| after.is_none_or(|after| e.0 > after));
        let changes: Vec<String> = changes.map(|e| e.1.clone()).collect();
        state
            .fault
            .map_or(Ok(list(state.index, after.is_none(), &changes)), Err)
    }
}

/// Keeps the port bound during an outage, so that no other process gets it.
struct ReservedPort(socket2::Socket, Vec<TcpStream>);

impl ReservedPort {
    /// Refuses connections or, if `full`, lets them time out: a full backlog drops new ones.
    fn at(address: SocketAddr, full: bool) -> ReservedPort {
        let (socket, mut backlog) = (bind(address), Vec::new());
        if full {
            socket.listen(0).unwrap();
            let more = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
            backlog.extend(std::iter::from_fn(more).take(8));
            assert!(backlog.len() < 8, "the backlog did not fill up");
        }
        ReservedPort(socket, backlog)
    }

    /// Ends the outage: accepts connections again, without those that filled the backlog.
    fn listen(self) -> TcpListener {
        self.0.listen(128).unwrap();
        let listener = TcpListener::from(self.0);
        self.1.iter().for_each(|_| drop(listener.accept()));
        listener
    }
}

/// A non-blocking socket bound to `at`.
fn bind(at: SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&at.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

/// Sends a response. Returns whether the connection is still usable.
fn send(tcp: &mut TcpStream, status: u16, body: &str) -> bool {
    // Starts with an interim response, which any server may send.
    let head = format!(
        "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    tcp.write_all((head + body).as_bytes()).is_ok()
}

/// Sends nothing more, and returns when the other side closes the connection.
fn wait_until_closed(tcp: &mut TcpStream) -> bool {
    while tcp.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
    false
}

/// A running proxy that gets its endpoint list from a [`FaultyDiscovery`].
struct ProxyProcess {
    child: Child,
    address: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl ProxyProcess {
    fn start(
        discovery: &FaultyDiscovery,
        known: &[String],
        mode: &str,
        proxies: u32,
    ) -> ProxyProcess {
        let settings = SETTINGS.replace("\"automatic\"", &format!("{mode:?}"));
        let settings = settings.replace("\"group_size\":1,", &format!("\"group_size\":{proxies},"));
        let settings =
            settings.replace("\"must_ask_in_us\":9000000", "\"must_ask_in_us\":600000000");
        let (known, at) = (list(4, true, known), discovery.address);
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{at}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
        );
        let mut child = proxy_command(Some(&config)).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let listens = lines
            .by_ref()
            .find_map(|line| Some(line.split("listens on ").nth(1)?.to_string()));
        let address = listens
            .expect("the proxy exited before it listened")
            .split(',')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let sink = log.clone();
        std::thread::spawn(move || lines.for_each(|line| *sink.lock().unwrap() += &(line + "\n")));
        ProxyProcess {
            child,
            address,
            log,
        }
    }

    fn log_count(&self, words: &str) -> usize {
        self.log.lock().unwrap().matches(words).count()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// When a backend last got a request.
type LastRequest = Arc<Mutex<Option<Instant>>>;

/// An outage and the bound on the time until the proxy knows what it missed.
struct Case {
    fault: Fault,
    down: Duration,
    mode: &'static str,
    proxies: u32,
    /// Longest time from the end of the outage until the proxy has applied the changes.
    bound: Duration,
}

/// A case with its times in seconds.
fn case(fault: Fault, down: f64, mode: &'static str, proxies: u32, bound: f64) -> Case {
    Case {
        fault,
        down: Duration::from_secs_f64(down),
        mode,
        proxies,
        bound: Duration::from_secs_f64(bound),
    }
}

/// Runs one case with backends that drain during the outage and one that drains right after it. Returns a summary: how
/// long after the outage, and after the second drain, the draining backends still got requests, and how many
/// connections to discovery were open at most. The summary is an error if a bound is exceeded.
fn run_case(case: &Case) -> Result<String, String> {
    let backends: Vec<(BackendServer, LastRequest)> = (0..5)
        .map(|_| {
            let last = LastRequest::default();
            let mark = last.clone();
            let reply = move |_| {
                *mark.lock().unwrap() = Some(Instant::now());
                ok("served")
            };
            (BackendServer::start(reply), last)
        })
        .collect();
    let endpoint = |n: usize, status: &str| entry(&format!("b{n}"), backends[n].0.address, status);
    let all: Vec<String> = (0..3).map(|n| endpoint(n, "SERVING")).collect();
    let discovery = FaultyDiscovery::start(all.clone());
    let proxy = ProxyProcess::start(&discovery, &all, case.mode, case.proxies);
    discovery.wait_for_calls(2); // the second one waits for changes
    let stopped = Arc::new(Mutex::new(false));
    let (address, stop) = (proxy.address, stopped.clone());
    let client = std::thread::spawn(move || {
        while !*stop.lock().unwrap() {
            let _ = Client::connect(address).request(&read_request(1.0));
            std::thread::sleep(Duration::from_millis(60));
        }
    });
    std::thread::sleep(Duration::from_millis(400));
    let last = |n: usize| *backends[n].1.lock().unwrap();
    discovery.change(|s| s.fault = Some(case.fault));
    std::thread::sleep(case.down / 2);
    // All known backends drain, because the proxy may use only a subset of them.
    discovery.publish(&[
        endpoint(0, "DRAINING"),
        endpoint(1, "DRAINING"),
        endpoint(2, "DRAINING"),
        endpoint(3, "SERVING"),
    ]);
    std::thread::sleep(case.down / 2);
    let outage_end = Instant::now();
    discovery.change(|s| s.fault = None);
    std::thread::sleep(Duration::from_millis(200));
    let drained = Instant::now();
    discovery.publish(&[endpoint(3, "DRAINING"), endpoint(4, "SERVING")]);
    let quiet =
        || (0..4).all(|n| last(n).is_none_or(|at| at.elapsed() > Duration::from_millis(700)));
    while outage_end.elapsed() < Duration::from_millis(7500) && !(quiet() && last(4).is_some()) {
        std::thread::sleep(Duration::from_millis(20));
    }
    *stopped.lock().unwrap() = true;
    client.join().unwrap();
    let after =
        |n: usize, at: Instant| last(n).map_or(Duration::ZERO, |l| l.saturating_duration_since(at));
    let first = (0..3)
        .map(|n| after(n, outage_end))
        .max()
        .unwrap_or_default();
    let (second, most) = (after(3, drained), discovery.open.1.load(Ordering::SeqCst));
    let name = format!(
        "{:?} {:?} {} {}",
        case.fault, case.down, case.mode, case.proxies
    );
    let summary = format!(
        "{name}: {first:?} and {second:?}, {most} connections, {} lines",
        proxy.log_count("discovery failed")
    );
    let in_time = first < case.bound && second < case.bound;
    // One open call, and four that were given up.
    let calls_bounded = most <= 5 && proxy.log_count("discovery failed") == 1;
    let backends_used = (0..3).any(|n| last(n).is_some()) && last(4).is_some();
    if in_time && calls_bounded && backends_used {
        Ok(summary)
    } else {
        Err(summary)
    }
}

/// Runs all cases at the same time.
fn run_cases(cases: Vec<Case>) {
    let running: Vec<_> = cases
        .into_iter()
        .map(|c| std::thread::spawn(move || run_case(&c)))
        .collect();
    let results: Vec<_> = running.into_iter().map(|r| r.join().unwrap()).collect();
    let failed: Vec<&String> = results.iter().filter_map(|r| r.as_ref().err()).collect();
    results
        .iter()
        .flatten()
        .for_each(|summary| eprintln!("{summary}"));
    assert!(failed.is_empty(), "{failed:#?}");
}

/// With polled lists the bound holds regardless of the fleet's size and of the longest polling interval, here 10
/// minutes.
#[test]
fn polled_lists_are_applied_within_six_seconds_after_an_outage() {
    let faults = [Refused, Unreachable, Unavailable, Reset, Silent, Truncated];
    let lengths = [0.5, 7.0, 13.0];
    let cases = faults
        .iter()
        .flat_map(|f| lengths.iter().map(|l| case(*f, *l, "subscribe", 300, 6.0)));
    let more = [Endless, Oversized, NotAList]
        .iter()
        .map(|f| case(*f, 5.0, "subscribe", 300, 6.0));
    let small_fleets = [
        case(Refused, 13.0, "subscribe", 3, 6.0),
        case(Silent, 13.0, "subscribe", 30, 6.0),
    ];
    run_cases(cases.chain(more).chain(small_fleets).collect());
}

/// With pushed lists a change counts at once, and one that a silent connection lost counts 6 s after the silence began.
/// A call that fails at once is repeated within 0.1 s; the bound of 1 s leaves the rest of the time to busy machines.
#[test]
fn pushed_lists_are_applied_at_once_after_an_outage() {
    let failing_at_once = [Refused, Unavailable, Reset, NotAList];
    let failing_at_once = failing_at_once.iter().flat_map(|f| {
        [0.5, 4.0]
            .iter()
            .map(|l| case(*f, *l, "automatic", 300, 1.0))
    });
    let silent = [Silent, Truncated, Endless]
        .iter()
        .map(|f| case(*f, 4.0, "automatic", 300, 6.0));
    // No new connection is tried until the open watch is considered broken; from then on one each 0.35 s.
    let unreachable = [
        case(Unreachable, 0.5, "automatic", 300, 6.0),
        case(Unreachable, 8.0, "automatic", 300, 1.5),
    ];
    run_cases(failing_at_once.chain(silent).chain(unreachable).collect());
}
