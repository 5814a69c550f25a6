//! Discovery that fails for a while, in every way it may, before real processes: what it has counts as told 6 s after it can
//! be reached again, whatever came before.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How discovery fails, for calls that wait when it begins and for all that come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Refused,
    /// Connections never come up; what was open is silent.
    Unreachable,
    Unavailable,
    Reset,
    /// Connections come up, and nothing is ever said on them, also after its return.
    Silent,
    /// The same after half an answer.
    Half,
    /// One more piece now and then, without end.
    Endless,
    /// An answer of some megabytes.
    Giant,
    /// 200, and no list.
    Garbage,
}
use Fault::*;

#[derive(Default)]
struct World {
    fault: Option<Fault>,
    index: u64,
    /// Each entry with the version it is of.
    entries: Vec<(u64, String)>,
    calls: u32,
}

/// Discovery as the protocol has it, with faults.
#[derive(Clone)]
struct Service {
    address: SocketAddr,
    world: Arc<(Mutex<World>, Condvar)>,
    /// Connections that are open, and the most there were.
    open: Arc<(AtomicI32, AtomicI32)>,
}

impl Service {
    fn start(entries: Vec<String>) -> Service {
        let socket = bound("127.0.0.1:0".parse().unwrap());
        socket.listen(128).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let entries = entries.into_iter().map(|e| (5, e)).collect();
        let world = Arc::new((
            Mutex::new(World {
                index: 5,
                entries,
                ..World::default()
            }),
            Condvar::new(),
        ));
        let service = Service {
            address,
            world,
            open: Arc::default(),
        };
        let accepting = service.clone();
        std::thread::spawn(move || accepting.accept(socket));
        service
    }

    fn change(&self, change: impl FnOnce(&mut World)) {
        change(&mut self.world.0.lock().unwrap());
        self.world.1.notify_all();
    }

    /// A new version, with these entries in it.
    fn tell(&self, entries: &[String]) {
        self.change(|w| {
            w.index += 1;
            let index = w.index;
            w.entries.extend(entries.iter().map(|e| (index, e.clone())));
        });
    }

    /// Waits until so many calls have come.
    fn called(&self, count: u32) {
        let (world, changed) = &*self.world;
        let few = |w: &mut World| w.calls < count;
        let (_world, late) = changed
            .wait_timeout_while(world.lock().unwrap(), TEST_TIMEOUT, few)
            .unwrap();
        assert!(!late.timed_out(), "not {count} calls");
    }

    fn accept(self, socket: socket2::Socket) {
        let (mut listener, mut away) = (Some(TcpListener::from(socket)), None::<Away>);
        loop {
            let fault = self.world.0.lock().unwrap().fault;
            if fault == Some(Refused) || fault == Some(Unreachable) {
                if listener.take().is_some() {
                    away = Some(Away::at(self.address, fault == Some(Unreachable)));
                }
            } else if let Some(away) = away.take() {
                listener = Some(away.back());
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((tcp, _))) => {
                    let service = self.clone();
                    let now = self.open.0.fetch_add(1, Ordering::SeqCst) + 1;
                    self.open.1.fetch_max(now, Ordering::SeqCst);
                    std::thread::spawn(move || {
                        tcp.set_nonblocking(false).unwrap();
                        service.serve(tcp);
                        service.open.0.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut tcp: TcpStream) {
        let mut reader = BufReader::new(tcp.try_clone().unwrap());
        while let Some(call) = Message::read(&mut reader) {
            self.change(|w| w.calls += 1);
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
            let go_on = match self.answer(after, wait) {
                Ok(list) => send(&mut tcp, 200, &list),
                Err(Unavailable) => send(&mut tcp, 503, ""),
                Err(Garbage) => send(&mut tcp, 200, r#"{"index":"x","snapshot":true}"#),
                Err(Giant) => send(&mut tcp, 200, &" ".repeat(6 << 20)),
                Err(Refused | Reset) => {
                    let _ = socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO));
                    false
                }
                Err(Silent | Unreachable) => hang(&mut tcp),
                Err(Half) => {
                    let _ = tcp.write_all(
                        b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{\"index\":9,\"snap",
                    );
                    hang(&mut tcp)
                }
                Err(Endless) => {
                    let _ = tcp.write_all(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while tcp.write_all(b"1\r\n \r\n").is_ok() {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    false
                }
            };
            if !go_on {
                return;
            }
        }
    }

    /// What a call is answered: the whole list, or news within the wait; or how it fails.
    fn answer(&self, after: Option<u64>, wait: u64) -> Result<String, Fault> {
        let (world, changed) = &*self.world;
        let quiet =
            |w: &mut World| w.fault.is_none() && after.is_some_and(|after| w.index <= after);
        let wait = Duration::from_millis(wait);
        let (world, _) = changed
            .wait_timeout_while(world.lock().unwrap(), wait, quiet)
            .unwrap();
        let news = world
            .entries
            .iter()
            .filter(|e| after.is_none_or(|after| e.0 > after));
        let news: Vec<String> = news.map(|e| e.1.clone()).collect();
        world
            .fault
            .map_or(Ok(list(world.index, after.is_none(), &news)), Err)
    }
}

/// The port while nobody answers there, so that nobody else gets it.
struct Away(socket2::Socket, Vec<TcpStream>);

impl Away {
    /// Refusing connections, or letting none come up: a full queue drops what comes.
    fn at(address: SocketAddr, full: bool) -> Away {
        let (socket, mut queue) = (bound(address), Vec::new());
        if full {
            socket.listen(0).unwrap();
            let more = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
            queue.extend(std::iter::from_fn(more).take(8));
            assert!(queue.len() < 8, "the queue never fills");
        }
        Away(socket, queue)
    }

    fn back(self) -> TcpListener {
        self.0.listen(128).unwrap();
        let listener = TcpListener::from(self.0);
        self.1.iter().for_each(|_| drop(listener.accept()));
        listener
    }
}

fn bound(at: SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&at.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

fn send(tcp: &mut TcpStream, status: u16, body: &str) -> bool {
    // An interim answer first, as any server may send.
    let head = format!(
        "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    tcp.write_all((head + body).as_bytes()).is_ok()
}

/// Until the other side ends the connection.
fn hang(tcp: &mut TcpStream) -> bool {
    while tcp.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
    false
}

/// The program with its list from a service.
struct Process {
    child: Child,
    address: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl Process {
    fn start(service: &Service, known: &[String], mode: &str, proxies: u32) -> Process {
        let settings = SETTINGS.replace("\"automatic\"", &format!("{mode:?}"));
        let settings = settings.replace("\"group_size\":1,", &format!("\"group_size\":{proxies},"));
        let settings =
            settings.replace("\"must_ask_in_us\":9000000", "\"must_ask_in_us\":600000000");
        let (known, at) = (list(4, true, known), service.address);
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
            .expect("it listens")
            .split(',')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let keep = log.clone();
        std::thread::spawn(move || lines.for_each(|line| *keep.lock().unwrap() += &(line + "\n")));
        Process {
            child,
            address,
            log,
        }
    }

    fn logged(&self, words: &str) -> usize {
        self.log.lock().unwrap().matches(words).count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// When a backend last got something.
type Last = Arc<Mutex<Option<Instant>>>;

struct Case {
    fault: Fault,
    down: Duration,
    mode: &'static str,
    proxies: u32,
    /// What has to have reached the proxy so long after the return.
    told: Duration,
}

fn case(fault: Fault, down: f64, mode: &'static str, proxies: u32, told: f64) -> Case {
    Case {
        fault,
        down: Duration::from_secs_f64(down),
        mode,
        proxies,
        told: Duration::from_secs_f64(told),
    }
}

/// A drain inside the outage and one right after it. Returns how long after the return, and after the second drain, the
/// drained backends still got something, and the most connections that discovery saw at once.
fn play(case: &Case) -> Result<String, String> {
    let backends: Vec<(BackendServer, Last)> = (0..5)
        .map(|_| {
            let last = Last::default();
            let mark = last.clone();
            let reply = move |_| {
                *mark.lock().unwrap() = Some(Instant::now());
                ok("served")
            };
            (BackendServer::start(reply), last)
        })
        .collect();
    let line = |n: usize, status: &str| entry(&format!("b{n}"), backends[n].0.address, status);
    let all: Vec<String> = (0..3).map(|n| line(n, "SERVING")).collect();
    let service = Service::start(all.clone());
    let proxy = Process::start(&service, &all, case.mode, case.proxies);
    service.called(2); // the second one waits for news
    let over = Arc::new(Mutex::new(false));
    let (address, until) = (proxy.address, over.clone());
    let client = std::thread::spawn(move || {
        while !*until.lock().unwrap() {
            let _ = Client::connect(address).request(&read_request(1.0));
            std::thread::sleep(Duration::from_millis(60));
        }
    });
    std::thread::sleep(Duration::from_millis(400));
    let last = |n: usize| *backends[n].1.lock().unwrap();
    service.change(|w| w.fault = Some(case.fault));
    std::thread::sleep(case.down / 2);
    // All that it knew, as it may use only a slice of them.
    service.tell(&[
        line(0, "DRAINING"),
        line(1, "DRAINING"),
        line(2, "DRAINING"),
        line(3, "SERVING"),
    ]);
    std::thread::sleep(case.down / 2);
    let back = Instant::now();
    service.change(|w| w.fault = None);
    std::thread::sleep(Duration::from_millis(200));
    let drained = Instant::now();
    service.tell(&[line(3, "DRAINING"), line(4, "SERVING")]);
    let quiet =
        || (0..4).all(|n| last(n).is_none_or(|at| at.elapsed() > Duration::from_millis(700)));
    while back.elapsed() < Duration::from_millis(7500) && !(quiet() && last(4).is_some()) {
        std::thread::sleep(Duration::from_millis(20));
    }
    *over.lock().unwrap() = true;
    client.join().unwrap();
    let after =
        |n: usize, at: Instant| last(n).map_or(Duration::ZERO, |l| l.saturating_duration_since(at));
    let first = (0..3).map(|n| after(n, back)).max().unwrap_or_default();
    let (second, most) = (after(3, drained), service.open.1.load(Ordering::SeqCst));
    let name = format!(
        "{:?} {:?} {} {}",
        case.fault, case.down, case.mode, case.proxies
    );
    let said = format!(
        "{name}: {first:?} and {second:?}, {most} connections, {} lines",
        proxy.logged("discovery failed")
    );
    let held = first < case.told && second < case.told;
    // One call that is waited for, and four that were given up.
    let bounded = most <= 5 && proxy.logged("discovery failed") == 1;
    let used = (0..3).any(|n| last(n).is_some()) && last(4).is_some();
    if held && bounded && used {
        Ok(said)
    } else {
        Err(said)
    }
}

fn play_all(cases: Vec<Case>) {
    let running: Vec<_> = cases
        .into_iter()
        .map(|c| std::thread::spawn(move || play(&c)))
        .collect();
    let results: Vec<_> = running.into_iter().map(|r| r.join().unwrap()).collect();
    let failed: Vec<&String> = results.iter().filter_map(|r| r.as_ref().err()).collect();
    results
        .iter()
        .flatten()
        .for_each(|said| eprintln!("{said}"));
    assert!(failed.is_empty(), "{failed:#?}");
}

/// One proxy of 300, whose settings let it go without asking for ten minutes: neither counts.
#[test]
fn lists_that_are_asked_for_are_known_within_six_seconds_of_the_return() {
    let faults = [Refused, Unreachable, Unavailable, Reset, Silent, Half];
    let lengths = [0.5, 7.0, 13.0];
    let cases = faults
        .iter()
        .flat_map(|f| lengths.iter().map(|l| case(*f, *l, "subscribe", 300, 6.0)));
    let more = [Endless, Giant, Garbage]
        .iter()
        .map(|f| case(*f, 5.0, "subscribe", 300, 6.0));
    let few = [
        case(Refused, 13.0, "subscribe", 3, 6.0),
        case(Silent, 13.0, "subscribe", 30, 6.0),
    ];
    play_all(cases.chain(more).chain(few).collect());
}

/// Where lists are pushed what the agent has counts at once, and what a silence swallowed 6 s after that began. A call
/// that fails at once is made again within 0.1 s; the rest is left to busy machines.
#[test]
fn lists_that_are_pushed_are_known_at_once() {
    let quick = [Refused, Unavailable, Reset, Garbage];
    let quick = quick.iter().flat_map(|f| {
        [0.5, 4.0]
            .iter()
            .map(|l| case(*f, *l, "automatic", 300, 1.0))
    });
    let slow = [Silent, Half, Endless]
        .iter()
        .map(|f| case(*f, 4.0, "automatic", 300, 6.0));
    // Until the open watch is taken for broken no new connection is tried; from then on one each 0.35 s.
    let cut_off = [
        case(Unreachable, 0.5, "automatic", 300, 6.0),
        case(Unreachable, 8.0, "automatic", 300, 1.5),
    ];
    play_all(quick.chain(slow).chain(cut_off).collect());
}
