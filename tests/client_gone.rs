//! Clients that disconnect before their response: from then on nothing is sent to a backend for them, whatever the
//! state of their request and however they close the connection.

mod rig;

use rig::*;
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// How a client disconnects: with a reset or a FIN, and with or without a pipelined request that the proxy has not
/// read.
#[derive(Clone, Copy, Debug)]
struct Disconnect {
    reset: bool,
    pipelined: bool,
}

const DISCONNECTS: [Disconnect; 4] = [
    Disconnect {
        reset: false,
        pipelined: true,
    },
    Disconnect {
        reset: true,
        pipelined: true,
    },
    Disconnect {
        reset: false,
        pipelined: false,
    },
    Disconnect {
        reset: true,
        pipelined: false,
    },
];

impl Disconnect {
    /// Sends a request for [`PATH`] on a new connection.
    fn request(self, proxy: &Proxy, request: &str) -> Client {
        let more = if self.pipelined {
            read_request(3.0)
        } else {
            String::new()
        };
        let mut client = proxy.client();
        client.send(&(request.to_string() + &more).replace("/k1", PATH));
        client
    }

    /// Disconnects. The kernel may report that to the proxy only after the proxy has read the bytes before it.
    fn close(self, client: Client) {
        let tcp = client.0.get_ref();
        socket2::SockRef::from(tcp)
            .set_linger(self.reset.then_some(Duration::ZERO))
            .unwrap();
    }

    /// Disconnects, and waits until the proxy's side of the connection is no longer established.
    fn close_and_wait(self, client: Client) {
        let tcp = client.0.get_ref();
        let (own, proxy) = (tcp.local_addr().unwrap(), tcp.peer_addr().unwrap());
        self.close(client);
        wait_until(
            || sockets(ESTABLISHED, Some(proxy), own) == 0,
            "the disconnect did not reach the proxy's side in time",
        );
    }
}

/// The path of the requests whose clients disconnect.
const PATH: &str = "/leaver";

/// Number of requests for [`PATH`] that reached the backend whole.
fn forwarded_requests(backend: &BackendServer) -> usize {
    let count = |seen: &Event| matches!(seen, Event::Request(m) if m.start_line.contains(PATH));
    backend.events.try_iter().filter(count).count()
}

/// State of a TCP socket in /proc/net/tcp.
const ESTABLISHED: &str = "01";
/// State of a TCP socket in /proc/net/tcp whose connect is under way.
const SYN_SENT: &str = "02";

/// Number of this machine's sockets in a state, from the address `from` (any if `None`) to the address `to`.
fn sockets(state: &str, from: Option<SocketAddr>, to: SocketAddr) -> usize {
    let encode_address = |at: SocketAddr| format!("0100007F:{:04X}", at.port());
    let (from, to) = (from.map(encode_address), encode_address(to));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields
        .filter(|f| f[3] == state && f[2] == to && from.as_ref().is_none_or(|from| f[1] == *from))
        .count()
}

fn wait_until(condition: impl Fn() -> bool, message: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{message}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Waits until the proxy has read everything that was sent to it before.
fn wait_for_proxy(proxy: &Proxy) {
    assert_eq!(
        proxy
            .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
}

/// A value of the proxy's metrics.
fn metric(proxy: &Proxy, name: &str) -> u32 {
    let text = String::from_utf8(proxy.control_request("GET /metrics").body).unwrap();
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
    value.unwrap_or_else(|| panic!("no {name} in {text}")) as u32
}

/// Sends a request that is served. Whatever the proxy had sent to the backend before has reached it by then.
fn check_served(proxy: &Proxy) {
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
}

/// A POST of the class `pay` with a body of `length` bytes.
fn upload(length: usize) -> String {
    pay_request(3.0)
        .replace("Length: 4", &format!("Length: {length}"))
        .replace("cash", &"x".repeat(length))
}

/// Requests wait for a backend. The endpoint list with the first one and the disconnects arrive together, in either
/// order.
#[test]
fn a_request_that_waits_for_a_backend_is_dropped_with_its_client() {
    for list_first in [false, true] {
        let backend = BackendServer::start(|_| ok("x"));
        let proxy = Proxy::start(&[]);
        let (_, answer) = proxy.discovery.call();
        let leaving = DISCONNECTS.map(|kind| (kind, kind.request(&proxy, &read_request(3.0))));
        // Part of a body this long stays in the kernel until a backend reads it.
        let bodies = DISCONNECTS.map(|kind| (kind, kind.request(&proxy, &upload(100_000))));
        wait_for_proxy(&proxy);
        proxy.suspend();
        let update = list(5, true, &[entry("b0", backend.address, "SERVING")]);
        if list_first {
            answer.send((200, update.clone())).unwrap();
        }
        leaving
            .into_iter()
            .chain(bodies)
            .for_each(|(kind, client)| kind.close_and_wait(client));
        if !list_first {
            answer.send((200, update)).unwrap();
        }
        proxy.resume();
        check_served(&proxy);
        assert_eq!(forwarded_requests(&backend), 0, "list first: {list_first}");
    }
}

/// Requests wait because the only backend is at its concurrency limit. It becomes free just as their clients
/// disconnect.
#[test]
fn a_request_that_waits_for_capacity_is_dropped_with_its_client() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let proxy = Proxy::with_control(&[entry("b0", backend.address, "SERVING")], SETTINGS, &[]);
    let mut clients: Vec<_> = (0..20).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|c| c.send(&read_request(3.0)));
    let attempts = || metric(&proxy, "meadowproxy_attempts_total");
    wait_until(
        || {
            metric(&proxy, "meadowproxy_requests_total") == 20
                && attempts() == backend.request_count()
        },
        "not all attempts were sent in time",
    );
    assert!(backend.request_count() < 20, "no request is waiting");
    let waiting = DISCONNECTS.map(|kind| (kind, kind.request(&proxy, &read_request(3.0))));
    wait_for_proxy(&proxy);
    proxy.suspend();
    waiting
        .into_iter()
        .for_each(|(kind, client)| kind.close_and_wait(client));
    gate.open();
    proxy.resume();
    clients
        .iter_mut()
        .for_each(|c| drop(c.response().expect("no response")));
    wait_until(
        || proxy.request(&read_request(3.0)).status() == 200,
        "no request was served in time",
    );
    assert_eq!(forwarded_requests(&backend), 0);
}

/// A listener with a full backlog: connections to it are established only after [`Late::open`].
struct Late {
    listener: TcpListener,
    _backlog: Vec<socket2::Socket>,
}

impl Late {
    const BACKLOG: usize = 8;

    fn new() -> Late {
        let new =
            || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let socket = new();
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        socket.listen(Late::BACKLOG as i32 - 1).unwrap();
        let to = socket.local_addr().unwrap();
        let connected = |_| {
            let client = new();
            client.connect(&to).unwrap();
            client
        };
        Late {
            _backlog: (0..Late::BACKLOG).map(connected).collect(),
            listener: socket.into(),
        }
    }

    /// Accepts the connections that fill the backlog, so that new ones are established.
    fn open(&self) {
        (0..Late::BACKLOG).for_each(|_| drop(self.accept()));
    }

    /// Waits for the next connection.
    fn accept(&self) -> TcpStream {
        let end = Instant::now() + TEST_TIMEOUT;
        self.listener.set_nonblocking(true).unwrap();
        let tcp = loop {
            match self.listener.accept() {
                Ok((tcp, _)) => break tcp,
                Err(e) => assert!(Instant::now() < end, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        self.listener.set_nonblocking(false).unwrap();
        tcp.set_nonblocking(false).unwrap();
        tcp
    }
}

/// Connections to the backend are established just as the clients disconnect.
#[test]
fn a_connection_established_after_the_client_left_is_sent_nothing() {
    let backlog = Late::new();
    let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":9000000");
    let known = [entry(
        "b0",
        backlog.listener.local_addr().unwrap(),
        "SERVING",
    )];
    let proxy = Proxy::with_settings(&known, 1024, &settings);
    let leaving = DISCONNECTS.map(|kind| (kind, kind.request(&proxy, &read_request(9.0))));
    wait_until(
        || sockets(SYN_SENT, None, backlog.listener.local_addr().unwrap()) == 4,
        "not all connects were attempted in time",
    );
    proxy.suspend();
    backlog.open();
    let established: Vec<_> = (0..4).map(|_| backlog.accept()).collect(); // established, though the proxy has not seen it yet
    leaving
        .into_iter()
        .for_each(|(kind, client)| kind.close_and_wait(client));
    proxy.resume();
    // This client's attempt is sent after any attempt for the clients that disconnected.
    let mut staying_client = proxy.client();
    staying_client.send(&read_request(9.0));
    let (sender, received) = mpsc::channel();
    for tcp in established {
        answer_each(tcp, sender.clone());
    }
    let listener = backlog.listener.try_clone().unwrap();
    std::thread::spawn(move || {
        listener
            .incoming()
            .flatten()
            .for_each(|tcp| answer_each(tcp, sender.clone()));
    });
    assert_eq!(
        staying_client.response().expect("no response").status(),
        200
    );
    assert_eq!(received.try_iter().count(), 1);
}

/// Responds to every request on a connection and reports each one on the channel.
fn answer_each(tcp: TcpStream, sender: mpsc::Sender<()>) {
    std::thread::spawn(move || {
        let mut reader = std::io::BufReader::new(tcp.try_clone().unwrap());
        while Message::read(&mut reader).is_some() {
            sender.send(()).unwrap();
            use std::io::Write;
            let _ = (&tcp).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        }
    });
}

/// An attempt fails just as its client disconnects: it is not retried.
#[test]
fn no_retry_is_sent_for_a_client_that_left() {
    for kind in DISCONNECTS {
        let (failing, gate) = (Arc::new(AtomicBool::new(false)), Arc::new(Gate::default()));
        let start = || {
            let (failing, gate) = (failing.clone(), gate.clone());
            BackendServer::start(move |_| match failing.swap(false, SeqCst) {
                true => {
                    gate.wait();
                    Reply::ResponseAndClose(500, "x".into())
                }
                false => ok("x"),
            })
        };
        let (a, b) = (start(), start());
        let proxy = Proxy::start(&[
            entry("b0", a.address, "SERVING"),
            entry("b1", b.address, "SERVING"),
        ]);
        (0..25).for_each(|_| check_served(&proxy)); // fills the retry budget
        let (count, failed) = (Cell::new(0), Cell::new(0));
        let drain_events = || {
            for seen in a.events.try_iter().chain(b.events.try_iter()) {
                match seen {
                    Event::Request(m) if m.start_line.contains(PATH) => count.set(count.get() + 1),
                    Event::Closed => failed.set(failed.get() + 1),
                    _ => {}
                }
            }
        };
        let sent = || {
            drain_events();
            count.get()
        };
        failing.store(true, SeqCst);
        let client = kind.request(&proxy, &read_request(3.0));
        wait_until(|| sent() == 1, "the request was not sent in time");
        wait_until(
            || !failing.load(SeqCst),
            "no backend started to fail in time",
        ); // one backend fails once; all other requests are served
        proxy.suspend();
        kind.close_and_wait(client);
        let before = failed.get();
        gate.open();
        wait_until(
            || sent() == 1 && failed.get() > before,
            "the attempt did not fail in time",
        );
        proxy.resume();
        check_served(&proxy);
        assert_eq!(sent(), 1, "{kind:?}");
    }
}

/// A client disconnects before the proxy has read its requests: neither the first nor a pipelined one is sent on.
#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_sent_on() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    proxy.suspend();
    DISCONNECTS
        .iter()
        .for_each(|kind| kind.close_and_wait(kind.request(&proxy, &read_request(3.0))));
    DISCONNECTS
        .iter()
        .for_each(|kind| kind.close_and_wait(kind.request(&proxy, &upload(100_000))));
    proxy.resume();
    check_served(&proxy);
    assert_eq!(forwarded_requests(&backend), 0);
}

/// The response to the first of two pipelined requests arrives just as the client disconnects: the second is not sent
/// on.
#[test]
fn a_pipelined_request_is_not_sent_on_once_its_client_left() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| {
        if n < 4 {
            Reply::Gate(wait.clone())
        } else {
            ok("x")
        }
    });
    let proxy = Proxy::start(&[entry("b0", backend.address, "SERVING")]);
    let leaving = DISCONNECTS.map(|kind| (kind, kind.request(&proxy, &read_request(3.0))));
    wait_until(
        || backend.request_count() == 4,
        "not all first requests were sent in time",
    );
    proxy.suspend();
    leaving
        .into_iter()
        .for_each(|(kind, client)| kind.close_and_wait(client));
    gate.open();
    proxy.resume();
    check_served(&proxy);
    assert_eq!(
        forwarded_requests(&backend),
        4,
        "only the first request of each client"
    );
}
