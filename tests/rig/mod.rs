//! Test harness for the proxy binary on loopback: starts the proxy as a child process with a generated configuration,
//! and provides backends, a discovery server and HTTP clients on blocking sockets and ports that the kernel picks.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::time::Duration;

pub mod config_changes;
pub mod crowd;
pub mod faults;
pub mod fleet;
pub mod lease_history;
pub mod scripted;
pub mod snapshot_files;

/// Longest wait for anything in these tests. It only ends a test that would otherwise hang.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP request or response as received.
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
    /// Reads a whole message. Returns `None` if the connection ends before the message is complete.
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
    /// Reads one chunk into the body. Returns whether it was not the last one.
    fn read_chunk(&mut self, from: &mut impl BufRead) -> Option<bool> {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let begin = self.body.len();
        self.body.resize(begin + length + 2, 0); // the chunk and its CRLF
        from.read_exact(&mut self.body[begin..]).ok()?;
        self.body.truncate(begin + length);
        Some(length > 0)
    }
}

/// A [`BackendServer`]'s reaction to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends a response with a status, a header line (or an empty string for none) and a body.
    Response(u16, &'static str, String),
    /// Sends a response and closes the connection without announcing it in a `Connection` header.
    ResponseAndClose(u16, String),
    /// Closes the connection after the whole request has arrived.
    CloseWithoutResponse,
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Sends nothing until the gate opens, then a response with status 200.
    Gate(Arc<Gate>),
}

/// A response with status 200 and no extra header.
pub fn ok(body: &str) -> Reply {
    Reply::Response(200, "", body.into())
}

/// Blocks threads until it is opened, which happens once and releases all of them.
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

/// What a [`BackendServer`] reports to the test.
#[derive(Debug)]
pub enum Event {
    Connected,
    Request(Message),
    /// A connection was closed by either side.
    Closed,
}

/// A backend that replies to its nth request, counted from 0 over all connections, with `reply(n)`.
pub struct BackendServer {
    pub address: SocketAddr,
    pub events: mpsc::Receiver<Event>,
    /// Number of connections accepted.
    pub connections: Arc<AtomicU32>,
    /// Number of requests received whole.
    pub requests: Arc<AtomicU32>,
}

impl BackendServer {
    pub fn start(reply: impl Fn(u32) -> Reply + Send + Sync + 'static) -> BackendServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::channel();
        let (connections, requests) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let (opened, count, reply) = (connections.clone(), requests.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                opened.fetch_add(1, Ordering::SeqCst);
                let _ = sender.send(Event::Connected);
                let (sender, count, reply) = (sender.clone(), count.clone(), reply.clone());
                std::thread::spawn(move || serve(tcp, &sender, &count, &*reply));
            }
        });
        BackendServer {
            address,
            events,
            connections,
            requests,
        }
    }

    /// Waits for the next request and discards the other events before it.
    pub fn next_request(&self) -> Message {
        loop {
            if let Event::Request(message) = self
                .events
                .recv_timeout(TEST_TIMEOUT)
                .expect("no request reached the backend in time")
            {
                return message;
            }
        }
    }

    /// Waits until a connection is closed.
    pub fn wait_for_close(&self) {
        while !matches!(
            self.events
                .recv_timeout(TEST_TIMEOUT)
                .expect("no connection to the backend was closed in time"),
            Event::Closed
        ) {}
    }

    /// Number of requests received whole.
    pub fn request_count(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Replies to the requests on a connection until it is closed.
fn serve(
    tcp: TcpStream,
    sender: &mpsc::Sender<Event>,
    count: &AtomicU32,
    reply: &dyn Fn(u32) -> Reply,
) {
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    let mut out = tcp;
    while let Some(message) = Message::read(&mut reader) {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let _ = sender.send(Event::Request(message));
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
        let keep_open = match reply(number) {
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
        if !keep_open {
            break;
        }
    }
    let _ = sender.send(Event::Closed);
}

/// A bound port without a listener: connections to it are refused until [`RefusingPort::listen`].
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
    /// Starts to listen on the port.
    pub fn listen(self) -> TcpListener {
        self.0.listen(128).unwrap();
        self.0.into()
    }
}

/// An entry of discovery's endpoint list, as JSON.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"big","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Discovery's response of version `index`, as JSON: the whole endpoint list if `snapshot`, otherwise changes to it.
pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// A discovery server that passes each call's request line to the test, which responds with a status and a body.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    /// Number of connections that the proxy closed.
    pub closed_connections: Arc<AtomicU32>,
    calls: mpsc::Receiver<(String, mpsc::Sender<(u16, String)>)>,
}

impl DiscoveryServer {
    pub fn start() -> DiscoveryServer {
        DiscoveryServer::start_on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts a discovery server on a bound listener.
    pub fn start_on(listener: TcpListener) -> DiscoveryServer {
        let address = listener.local_addr().unwrap();
        let (sender, calls) = mpsc::channel();
        let closed_connections = Arc::new(AtomicU32::new(0));
        let count = closed_connections.clone();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let (sender, count): (mpsc::Sender<_>, _) = (sender.clone(), count.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let (answer, wait) = mpsc::channel::<(u16, String)>();
                        if sender.send((message.start_line, answer)).is_err() {
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
            closed_connections,
            calls,
        }
    }

    /// The next call, if one has arrived already.
    pub fn pending_call(&self) -> Option<(String, mpsc::Sender<(u16, String)>)> {
        self.calls.try_recv().ok()
    }

    /// Waits for the next call. Returns its request line and the sender for its response.
    pub fn call(&self) -> (String, mpsc::Sender<(u16, String)>) {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("no call reached discovery in time")
    }
}

/// The `settings` object of the configuration that most tests use.
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

/// Source of the numbers in file names and correlation ids that are unique within this process.
static NUMBER: AtomicU64 = AtomicU64::new(0);

/// The log of all proxies up to the line that says that they listen, including proxies that are still starting.
pub static STARTUP_LOGS: Mutex<String> = Mutex::new(String::new());

/// A running proxy process with its own configuration file and discovery server. It is killed on drop.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: DiscoveryServer,
    /// The configuration file that the proxy reads at start and on SIGHUP.
    pub config_path: PathBuf,
    /// Address of the control listener, if the proxy has one.
    pub control_address: Option<SocketAddr>,
    /// The log up to the line that says that the proxy listens.
    pub startup_log: String,
    /// The log after that line.
    log: Arc<Mutex<String>>,
}

impl Proxy {
    /// Starts a proxy with [`SETTINGS`] whose configuration contains the endpoints `known`.
    pub fn start(known: &[String]) -> Proxy {
        Proxy::with_settings(known, 1024, SETTINGS)
    }

    /// Starts a proxy with these settings. `sockets` is the descriptor limit in its configuration.
    pub fn with_settings(known: &[String], sockets: u32, settings: &str) -> Proxy {
        Proxy::with_descriptor_limit(known, sockets, settings, 1024)
    }

    /// Starts a proxy with [`SETTINGS`] and this memory limit in its configuration.
    pub fn with_memory_mb(known: &[String], memory_mb: u64) -> Proxy {
        let discovery = DiscoveryServer::start();
        let config = config_json("127.0.0.1:0", discovery.address, 1024, known, SETTINGS);
        let limit = format!("\"memory_mb\":{memory_mb}");
        let config = config.replace("\"memory_mb\":192", &limit);
        Proxy::run(
            command_with_descriptor_limit(Some(&config), 1024),
            discovery,
        )
    }

    /// Starts a proxy whose actual descriptor limit may differ from `sockets`, the one in its configuration.
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

    /// Starts a proxy with a control listener and fewer descriptors than the 1024 in its configuration.
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

    /// Starts a proxy that listens at `listen` and calls discovery at `at`; the discovery server in [`Proxy`] stays
    /// unused.
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

    /// Starts a proxy with a control listener and additional environment variables.
    pub fn with_control(known: &[String], settings: &str, variables: &[(&str, String)]) -> Proxy {
        Proxy::with_extra_config(known, settings, "", variables)
    }

    /// Like [`Proxy::with_control`], with `more` appended to its configuration: JSON members, each with a leading
    /// comma.
    pub fn with_extra_config(
        known: &[String],
        settings: &str,
        more: &str,
        variables: &[(&str, String)],
    ) -> Proxy {
        Proxy::with_seed(0x8c1f_30d2_7a5b_e964, known, settings, more, variables)
    }

    /// Like [`Proxy::with_extra_config`], with its own seed, as the proxies of one fleet need.
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

    /// Starts a proxy with this configuration file in JSON form and additional environment variables.
    pub fn with_config(
        config: &str,
        descriptors: u32,
        discovery: DiscoveryServer,
        variables: &[(&str, String)],
    ) -> Proxy {
        let mut command = command_with_descriptor_limit(Some(config), descriptors);
        command.envs(variables.iter().map(|(name, value)| (*name, value)));
        Proxy::run(command, discovery)
    }

    /// Runs the command and waits until the proxy logs that it listens.
    fn run(mut command: Command, discovery: DiscoveryServer) -> Proxy {
        let path = command
            .get_envs()
            .find(|e| e.0 == "NODE_CONFIG")
            .and_then(|e| e.1);
        let config_path = PathBuf::from(path.unwrap());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut control_address, mut startup_log) = (None, String::new());
        let address = loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the proxy exited before it listened: {startup_log}"
            );
            startup_log += &line;
            *STARTUP_LOGS.lock().unwrap() += &line;
            if let Some(at) = line.split("control on ").nth(1) {
                control_address = Some(at.trim().parse().unwrap());
            }
            if let Some(at) = line.split("listens on ").nth(1) {
                break at.split(',').next().unwrap().parse().unwrap();
            }
        };
        let log_text = Arc::new(Mutex::new(String::new()));
        let log_writer = log_text.clone();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                eprintln!("{line}");
                *log_writer.lock().unwrap() += &(line + "\n");
            }
        });
        Proxy {
            child,
            address,
            discovery,
            config_path,
            control_address,
            startup_log,
            log: log_text,
        }
    }

    /// Lines logged since the proxy listened that contain `words`.
    pub fn log_lines(&self, words: &str) -> Vec<String> {
        self.log
            .lock()
            .unwrap()
            .lines()
            .filter(|line| line.contains(words))
            .map(String::from)
            .collect()
    }

    /// Number of lines logged since the proxy listened that contain `words`.
    pub fn log_count(&self, words: &str) -> usize {
        self.log_lines(words).len()
    }

    /// Opens a client connection to the proxy.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends one request on a new connection and returns the response.
    pub fn request(&self, request: &str) -> Message {
        self.client().request(request)
    }

    /// Sends one request to the control listener on a new connection. `line` is the method and the path.
    pub fn control_request(&self, line: &str) -> Message {
        Client::connect(
            self.control_address
                .expect("the proxy has no control listener"),
        )
        .request(&format!("{line} HTTP/1.1\r\nHost: door\r\n\r\n"))
    }

    /// Waits until `GET /status` reports that the proxy accepts clients.
    pub fn wait_until_serving(&self) {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while self.control_request("GET /status").status() != 200 {
            assert!(
                std::time::Instant::now() < end,
                "GET /status did not return 200 in time"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process and waits until it has stopped, so that everything the test does before [`Proxy::resume`]
    /// reaches the proxy in one turn of its event loop.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(
                std::time::Instant::now() < end,
                "the process did not stop in time after SIGSTOP"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Continues the process after [`Proxy::suspend`].
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends a signal. `which` is an option of `kill`, for example `-HUP`.
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

/// A proxy's configuration file in its JSON form.
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

/// Creates a new directory, for example as the `TMPDIR` of the processes of one proxy.
pub fn create_temp_dir() -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path =
        std::env::temp_dir().join(format!("meadowproxy-tmp-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The command that starts the proxy, with the configuration in a file or without a configuration.
pub fn proxy_command(config: Option<&str>) -> Command {
    command_with_descriptor_limit(config, 1024)
}

/// Like [`proxy_command`], with a limit on the process's descriptors.
fn command_with_descriptor_limit(config: Option<&str>, descriptors: u32) -> Command {
    let mut command = Command::new("sh");
    let line = format!("ulimit -n {descriptors}; exec \"$0\"");
    // `PROXY_BINARY` measures another build, such as the one before a change.
    let binary = std::env::var("PROXY_BINARY");
    let binary = binary.unwrap_or_else(|_| env!("CARGO_BIN_EXE_meadowproxy").into());
    command.args(["-c", &line, &binary]);
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

/// An HTTP client on one connection.
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
    /// Reads the next response. Returns `None` if the connection ends before the response is complete.
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    /// Sends a request and returns the response.
    pub fn request(&mut self, request: &str) -> Message {
        self.send(request);
        self.response().expect("no complete response")
    }
    /// Whether the proxy closes or resets the connection within [`TEST_TIMEOUT`].
    pub fn closed_in_time(&mut self) -> bool {
        let waited = [ErrorKind::WouldBlock, ErrorKind::TimedOut];
        self.0
            .read(&mut [0])
            .map_or_else(|e| !waited.contains(&e.kind()), |n| n == 0)
    }
    /// Whether the next read returns no data: end of stream, a reset or a timeout.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// A correlation id that is unique within this process.
fn correlation_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// A GET of the class `read`, which may be repeated. `left` is the client's remaining time in seconds.
pub fn read_request(left: f64) -> String {
    format!(
        "GET /read/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {}\r\nX-Time-Left: {left}\r\n\r\n",
        correlation_id()
    )
}

/// A POST of the class `pay`, which must not run twice. `left` is the client's remaining time in seconds.
pub fn pay_request(left: f64) -> String {
    let id = correlation_id();
    format!(
        "POST /pay/k1?q=1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\ncash"
    )
}

/// A POST of the class `vote`, which may be repeated under its idempotency key within a window. `left` is the client's
/// remaining time in seconds.
pub fn vote_request(left: f64) -> String {
    let id = correlation_id();
    format!(
        "POST /vote/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: key-{id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\nyeah"
    )
}
