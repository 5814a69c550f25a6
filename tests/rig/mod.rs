//! What stands around the program in its tests, on loopback: backends, discovery and a client, all on
//! blocking sockets and ports that the kernel picks.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::time::Duration;

pub mod config_changes;
pub mod faults;
pub mod fleet;
pub mod lease_history;
pub mod scripted;
pub mod snapshot_files;

/// No wait in these tests is meant to last as long: it only ends a test that would hang.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or an answer as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
    /// `None` when the other side ended the connection first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = from.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_string())
        };
        let mut message = Message {
            start_line: line()?,
            ..Message::default()
        };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else {
                break;
            };
            message.headers.push((name.into(), value.trim().into()));
        }
        if message
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
        {
            while message.read_chunk(from)? {}
            return Some(message);
        }
        let length = message
            .header("content-length")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
    /// Takes one chunk; whether more come.
    fn read_chunk(&mut self, from: &mut impl BufRead) -> Option<bool> {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let begin = self.body.len();
        self.body.resize(begin + length + 2, 0); // with the line's end
        from.read_exact(&mut self.body[begin..]).ok()?;
        self.body.truncate(begin + length);
        Some(length > 0)
    }
}

/// What a backend does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A status, a header line or none, a body.
    Response(u16, &'static str, String),
    /// The same, and the connection is closed without a word of it.
    ResponseAndClose(u16, String),
    /// The connection ends after the whole request.
    CloseWithoutResponse,
    /// Nothing, until the proxy gives up.
    NoResponse,
    /// Nothing until the gate opens, then 200.
    Gate(Arc<Gate>),
}

pub fn ok(body: &str) -> Reply {
    Reply::Response(200, "", body.into())
}

/// Opened once, for all that wait.
#[derive(Debug, Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    pub fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
    pub fn wait(&self) {
        let _ = self
            .1
            .wait_timeout_while(self.0.lock().unwrap(), TEST_TIMEOUT, |open| !*open)
            .unwrap();
    }
}

#[derive(Debug)]
pub enum Event {
    Connected,
    Request(Message),
    /// A connection ended, from either side.
    Closed,
}

pub struct BackendServer {
    pub address: SocketAddr,
    pub events: mpsc::Receiver<Event>,
    pub connections: Arc<AtomicU32>,
    pub requests: Arc<AtomicU32>,
}

impl BackendServer {
    pub fn start(reply: impl Fn(u32) -> Reply + Send + Sync + 'static) -> BackendServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, seen) = mpsc::channel();
        let (connections, requests) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let (opened, count, reply) = (connections.clone(), requests.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                opened.fetch_add(1, Ordering::SeqCst);
                let _ = tell.send(Event::Connected);
                let (tell, count, reply) = (tell.clone(), count.clone(), reply.clone());
                std::thread::spawn(move || serve(tcp, &tell, &count, &*reply));
            }
        });
        BackendServer {
            address,
            events: seen,
            connections,
            requests,
        }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> Message {
        loop {
            if let Event::Request(message) = self
                .events
                .recv_timeout(TEST_TIMEOUT)
                .expect("a request at the backend")
            {
                return message;
            }
        }
    }

    /// Waits until a connection ends.
    pub fn wait_for_close(&self) {
        while !matches!(
            self.events
                .recv_timeout(TEST_TIMEOUT)
                .expect("a closed connection"),
            Event::Closed
        ) {}
    }

    pub fn request_count(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(
    tcp: TcpStream,
    tell: &mpsc::Sender<Event>,
    count: &AtomicU32,
    reply: &dyn Fn(u32) -> Reply,
) {
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    let mut out = tcp;
    while let Some(message) = Message::read(&mut reader) {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let _ = tell.send(Event::Request(message));
        let mut send = |status: u16, header: &str, body: &str| {
            let line = if header.is_empty() {
                String::new()
            } else {
                format!("{header}\r\n")
            };
            let length = body.len();
            let text =
                format!("HTTP/1.1 {status} X\r\n{line}Content-Length: {length}\r\n\r\n{body}");
            out.write_all(text.as_bytes()).is_ok()
        };
        let go_on = match reply(number) {
            Reply::Response(status, header, body) => send(status, header, &body),
            Reply::ResponseAndClose(status, body) => {
                send(status, "", &body);
                let _ = out.shutdown(std::net::Shutdown::Both);
                false
            }
            Reply::CloseWithoutResponse => false,
            Reply::NoResponse => true,
            Reply::Gate(gate) => {
                gate.wait();
                send(200, "", "gated")
            }
        };
        if !go_on {
            break;
        }
    }
    let _ = tell.send(Event::Closed);
}

/// A port on which nobody listens: connections to it are refused for as long as it is held.
pub struct RefusingPort(socket2::Socket);

impl RefusingPort {
    pub fn new() -> RefusingPort {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        RefusingPort(socket)
    }
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
    /// From now on somebody listens there.
    pub fn listen(self) -> TcpListener {
        self.0.listen(128).unwrap();
        self.0.into()
    }
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"big","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// Discovery: hands each call's target to the test, which answers it with a status and a body.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    /// Connections that the proxy ended.
    pub closed_connections: Arc<AtomicU32>,
    calls: mpsc::Receiver<(String, mpsc::Sender<(u16, String)>)>,
}

impl DiscoveryServer {
    pub fn start() -> DiscoveryServer {
        DiscoveryServer::start_on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn start_on(listener: TcpListener) -> DiscoveryServer {
        let address = listener.local_addr().unwrap();
        let (tell, calls) = mpsc::channel();
        let ended = Arc::new(AtomicU32::new(0));
        let count = ended.clone();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let (tell, count): (mpsc::Sender<_>, _) = (tell.clone(), count.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let (answer, wait) = mpsc::channel::<(u16, String)>();
                        if tell.send((message.start_line, answer)).is_err() {
                            return;
                        }
                        let Ok((status, body)) = wait.recv() else {
                            return;
                        };
                        let length = body.len();
                        let head =
                            format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
                        if tcp.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                    count.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        DiscoveryServer {
            address,
            closed_connections: ended,
            calls,
        }
    }

    /// The call that waits, if one does.
    pub fn pending_call(&self) -> Option<(String, mpsc::Sender<(u16, String)>)> {
        self.calls.try_recv().ok()
    }

    /// The next call, and where its answer goes.
    pub fn call(&self) -> (String, mpsc::Sender<(u16, String)>) {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a call to discovery")
    }
}

pub const SETTINGS: &str = r#"{"blend":{"whole":0.6,"worst_class":0.2},"costs":{"cross_zone":0.0},
"customers":[{"name":"north","quota_rps":500.0}],"discovery":"automatic","position":0,"group_size":1,
"granularity_us":5000,"kinds":["big"],"my_zone":"east","zones":["east"],
"limits":{"cancel":true,"max_attempts":4,"parallel_tries":true,"dial_timeout_us":300000,
"conn_idle_us":60000000,"max_retry_after_us":2000000},"over_share_worth":0.1,
"profiles":[{"name":"read","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5},
{"name":"pay","aim_us":900000,"deadline_us":3000000,"effect":"single_shot","gain":4.0,"late_worth":0.5},
{"name":"vote","aim_us":900000,"deadline_us":3000000,"effect":"guarded","key_scope":"cell","window_us":500000,
"gain":4.0,"late_worth":0.5}],
"rules":{"cold_from":0.3,"fall_multiple":2.5,"must_ask_in_us":9000000,"ramp_time_us":9000000,"tip_after_us":2000000}}"#;

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// What all programs logged until they listened, also those that do not yet.
pub static STARTUP_LOGS: Mutex<String> = Mutex::new(String::new());

/// The program, with a configuration of its own.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: DiscoveryServer,
    /// The file that it was told to read.
    pub config_path: PathBuf,
    /// The operators' door, where it has one.
    pub control_address: Option<SocketAddr>,
    /// What it logged until it listened.
    pub startup_log: String,
    /// All that it logged since.
    log: Arc<Mutex<String>>,
}

impl Proxy {
    pub fn start(known: &[String]) -> Proxy {
        Proxy::with_settings(known, 1024, SETTINGS)
    }

    pub fn with_settings(known: &[String], sockets: u32, settings: &str) -> Proxy {
        Proxy::with_descriptor_limit(known, sockets, settings, 1024)
    }

    /// With a limit on descriptors that need not be the one it is told.
    pub fn with_descriptor_limit(
        known: &[String],
        sockets: u32,
        settings: &str,
        descriptors: u32,
    ) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config_json("127.0.0.1:0", discovery.address, sockets, known, settings);
        Proxy::run(
            command_with_descriptor_limit(Some(&config), descriptors),
            discovery,
        )
    }

    /// With an operators' door and fewer descriptors than it is told.
    pub fn with_control_and_descriptor_limit(descriptors: u32) -> Proxy {
        let discovery = DiscoveryServer::start();
        let mut command = command_with_descriptor_limit(
            Some(&config_json(
                "127.0.0.1:0",
                discovery.address,
                1024,
                &[],
                SETTINGS,
            )),
            descriptors,
        );
        command.env("NODE_CONTROL", "127.0.0.1:0");
        Proxy::run(command, discovery)
    }

    /// Told to listen there and to ask there; the discovery that it has by itself stands idle.
    pub fn with_addresses(
        listen: &str,
        at: SocketAddr,
        known: &[String],
        sockets: u32,
        settings: &str,
        more: &[(&str, String)],
    ) -> Proxy {
        let mut command = command_with_descriptor_limit(
            Some(&config_json(listen, at, sockets, known, settings)),
            sockets,
        );
        command.envs(more.iter().map(|(name, value)| (*name, value)));
        Proxy::run(command, DiscoveryServer::start())
    }

    /// With an operators' door and further variables in its environment.
    pub fn with_control(known: &[String], settings: &str, variables: &[(&str, String)]) -> Proxy {
        Proxy::with_extra_config(known, settings, "", variables)
    }

    /// The same with `more` keys at the end of its configuration, each written with its leading comma.
    pub fn with_extra_config(
        known: &[String],
        settings: &str,
        more: &str,
        variables: &[(&str, String)],
    ) -> Proxy {
        Proxy::with_seed(0x8c1f_30d2_7a5b_e964, known, settings, more, variables)
    }

    /// The same with a seed of its own, as proxies of one fleet have.
    pub fn with_seed(
        seed: u64,
        known: &[String],
        settings: &str,
        more: &str,
        variables: &[(&str, String)],
    ) -> Proxy {
        let discovery = DiscoveryServer::start();
        let (at, known) = (discovery.address, list(4, true, known));
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{at}","seed":"{seed:016x}",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}{more}}}"#
        );
        let mut command = command_with_descriptor_limit(Some(&config), 1024);
        command.env("NODE_CONTROL", "127.0.0.1:0");
        command.envs(variables.iter().map(|(name, value)| (*name, value)));
        Proxy::run(command, discovery)
    }

    fn run(mut command: Command, discovery: DiscoveryServer) -> Proxy {
        let path = command
            .get_envs()
            .find(|e| e.0 == "NODE_CONFIG")
            .and_then(|e| e.1);
        let config = PathBuf::from(path.unwrap());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut control, mut said) = (None, String::new());
        let address = loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the program ended before it listened: {said}"
            );
            said += &line;
            *STARTUP_LOGS.lock().unwrap() += &line;
            if let Some(at) = line.split("control on ").nth(1) {
                control = Some(at.trim().parse().unwrap());
            }
            if let Some(at) = line.split("listens on ").nth(1) {
                break at.split(',').next().unwrap().parse().unwrap();
            }
        };
        let kept = Arc::new(Mutex::new(String::new()));
        let keep = kept.clone();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                eprintln!("{line}");
                *keep.lock().unwrap() += &(line + "\n");
            }
        });
        Proxy {
            child,
            address,
            discovery,
            config_path: config,
            control_address: control,
            startup_log: said,
            log: kept,
        }
    }

    /// Lines logged since it listened that hold these words.
    pub fn log_lines(&self, words: &str) -> Vec<String> {
        self.log
            .lock()
            .unwrap()
            .lines()
            .filter(|line| line.contains(words))
            .map(String::from)
            .collect()
    }

    /// How many.
    pub fn log_count(&self, words: &str) -> usize {
        self.log_lines(words).len()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// One request on a connection of its own.
    pub fn request(&self, request: &str) -> Message {
        self.client().request(request)
    }

    /// One call at the operators' door.
    pub fn control_request(&self, line: &str) -> Message {
        Client::connect(self.control_address.expect("a door"))
            .request(&format!("{line} HTTP/1.1\r\nHost: door\r\n\r\n"))
    }

    /// Waits until it says that it takes clients.
    pub fn wait_until_serving(&self) {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while self.control_request("GET /status").status() != 200 {
            assert!(std::time::Instant::now() < end, "it never took clients");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Whatever the test does until `go_on` meets the program at once.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(std::time::Instant::now() < end, "it never stood still");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn signal(&self, which: &str) {
        let done = Command::new("kill")
            .args([which, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(done.success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration as the platform writes it.
pub fn config_json(
    listen: &str,
    at: SocketAddr,
    sockets: u32,
    known: &[String],
    settings: &str,
) -> String {
    let known = list(4, true, known);
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{at}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// A folder of its own, as `TMPDIR` for the processes of one proxy.
pub fn create_temp_dir() -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path =
        std::env::temp_dir().join(format!("meadowproxy-tmp-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The program's command, with a configuration or without any.
pub fn proxy_command(config: Option<&str>) -> Command {
    command_with_descriptor_limit(config, 1024)
}

fn command_with_descriptor_limit(config: Option<&str>, descriptors: u32) -> Command {
    let mut command = Command::new("sh");
    let line = format!("ulimit -n {descriptors}; exec \"$0\"");
    command.args(["-c", &line, env!("CARGO_BIN_EXE_meadowproxy")]);
    for name in [
        "NODE_CONFIG",
        "NODE_CONTROL",
        "NODE_SOCKET_FD",
        "NODE_SNAPSHOT",
    ] {
        command.env_remove(name);
    }
    command.stderr(Stdio::piped()).stdout(Stdio::null());
    if let Some(config) = config {
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("meadowproxy-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        command.env("NODE_CONFIG", path);
    }
    command
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn connect(to: SocketAddr) -> Client {
        let tcp = TcpStream::connect(to).unwrap();
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client(BufReader::new(tcp))
    }
    pub fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).unwrap();
    }
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    pub fn request(&mut self, request: &str) -> Message {
        self.send(request);
        self.response().expect("a whole answer")
    }
    /// The proxy ended the connection before this side lost its patience.
    pub fn closed_in_time(&mut self) -> bool {
        let waited = [ErrorKind::WouldBlock, ErrorKind::TimedOut];
        self.0
            .read(&mut [0])
            .map_or_else(|e| !waited.contains(&e.kind()), |n| n == 0)
    }
    /// The proxy ended the connection, with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

fn correlation_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

pub fn read_request(left: f64) -> String {
    format!(
        "GET /read/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {}\r\nX-Time-Left: {left}\r\n\r\n",
        correlation_id()
    )
}

pub fn pay_request(left: f64) -> String {
    let id = correlation_id();
    format!(
        "POST /pay/k1?q=1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\ncash"
    )
}

pub fn vote_request(left: f64) -> String {
    let id = correlation_id();
    format!(
        "POST /vote/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: key-{id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\nyeah"
    )
}
