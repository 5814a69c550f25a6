//! Stand-ins and helpers for the cases of the second review: clients, backends, discovery and the platform, on loopback
//! addresses and the real clock. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status if the rule held, if it was broken, and if the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the case plays its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a case: a line for each thing that was sent, answered or run, with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the file that the environment variable `RECORD` names.
    pub fn open() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file =
            File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }
    pub fn line_at(&self, at: Instant, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", self.seconds(at));
    }
    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// The processes that the case started and that have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The temporary folders of the case.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends all processes that the case started, removes its folders, and exits.
pub fn finish(status: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .stderr(Stdio::null())
            .status();
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(status);
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    finish(CANNOT_RUN);
}

/// Ends the case with status 2 if it runs for longer than `seconds`, or if one of its threads panics.
pub fn guard(seconds: u64) {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}");
        finish(CANNOT_RUN);
    }));
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        cannot_run(&format!("it takes longer than {seconds} s"));
    });
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Returns an address that nothing listens at just now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")));
    listener.local_addr().unwrap()
}

/// A new 16-digit correlation id.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "{:016x}",
        n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995_1234_5678
    )
}

/// A message as received.
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
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
    pub fn id(&self) -> &str {
        self.header("x-correlation-id").unwrap_or("-")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
    /// Reads the head only. `None` at the connection's end.
    pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.start_line = line.trim_end().into();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
                None => return Ok(Some(message)),
            }
        }
    }
    /// Reads a whole message. `is_response` tells whether a body without a length lasts until the connection's end.
    pub fn read(from: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = Message::read_head(from)? else {
            return Ok(None);
        };
        if message
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
        {
            loop {
                let mut line = String::new();
                if from.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = line.trim_end().split(';').next().unwrap_or("");
                let length = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let begin = message.body.len();
                message.body.resize(begin + length + 2, 0);
                from.read_exact(&mut message.body[begin..])?;
                message.body.truncate(begin + length);
                if length == 0 {
                    return Ok(Some(message));
                }
            }
        }
        match message
            .header("content-length")
            .and_then(|n| n.parse().ok())
        {
            Some(length) => {
                message.body = vec![0; length];
                from.read_exact(&mut message.body)?;
            }
            None if is_response => {
                from.read_to_end(&mut message.body)?;
            }
            None => {}
        }
        Ok(Some(message))
    }
}

/// A class of requests in the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    pub key_scope: &'static str,
    pub window_ms: u64,
}

pub fn class(name: &'static str, effect: &'static str, aim_ms: u64, deadline_ms: u64) -> Class {
    Class {
        name,
        aim_ms,
        deadline_ms,
        effect,
        key_scope: "all",
        window_ms: 5000,
    }
}

/// The settings of a small deployment, as in the wire page's example.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub classes: Vec<Class>,
    /// `subscribe` or `automatic`.
    pub discovery: &'static str,
    pub group_size: u32,
    pub max_attempts: u32,
    pub conn_idle_ms: u64,
    pub dial_timeout_ms: u64,
    pub parallel_tries: bool,
    pub must_ask_ms: u64,
    pub cold_from: f64,
    pub ramp_ms: u64,
    pub fall_multiple: f64,
    pub tip_after_ms: u64,
    pub memory_mb: u32,
    pub sockets: u32,
    pub extra: String,
    pub control: Option<SocketAddr>,
}

impl Settings {
    pub fn small(classes: Vec<Class>) -> Settings {
        Settings {
            name: "n1".into(),
            classes,
            discovery: "subscribe",
            group_size: 1,
            max_attempts: 5,
            conn_idle_ms: 15_000,
            dial_timeout_ms: 150,
            parallel_tries: true,
            must_ask_ms: 10_000,
            cold_from: 0.13,
            ramp_ms: 23_000,
            fall_multiple: 3.0,
            tip_after_ms: 3000,
            memory_mb: 192,
            sockets: 1024,
            extra: String::new(),
            control: None,
        }
    }

    fn longest_deadline_ms(&self) -> u64 {
        self.classes
            .iter()
            .map(|class| class.deadline_ms)
            .max()
            .unwrap_or(0)
    }

    /// The time after SIGTERM at which SIGKILL comes at the earliest: the longest deadline, 3 s at most, and 0.7 s.
    pub fn kill_after(&self) -> Duration {
        Duration::from_millis(self.longest_deadline_ms().min(3000) + 700)
    }

    pub fn json(
        &self,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &[Endpoint],
        index: u64,
    ) -> String {
        let classes: Vec<String> = self.classes.iter().map(|c| {
            format!(
                r#"{{"aim_us":{},"deadline_us":{},"effect":"{}","gain":3.0,"key_scope":"{}","late_worth":0.3,"name":"{}","stream":false,"window_us":{}}}"#,
                c.aim_ms * 1000, c.deadline_ms * 1000, c.effect, c.key_scope, c.name, c.window_ms * 1000
            )
        }).collect();
        let known: Vec<String> = known.iter().map(Endpoint::json).collect();
        let control = self
            .control
            .map_or(String::new(), |c| format!(r#""control":"{c}","#));
        format!(
            r#"{{"name":"{name}","listen":"{listen}",{control}"discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{mem},"sockets":{sockets}}},
"known":{{"index":{index},"snapshot":true,"endpoints":[{known}]}},
"settings":{{"blend":{{"whole":0.5,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.1}},"callers":{{"marks_retry":true}},
"costs":{{"connection":0.0,"cross_zone":0.03,"discovery":0.0,"handshake":0.0,"late_fail":0.041,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.03,"waste":0.056}},
"customers":[{{"name":"harbourline","quota_rps":2000.0,"share":1.0}}],
"discovery":"{mode}","family":"proxy","family_info":{{"warm_keys":true}},"granularity_us":5000,"group_size":{group},
"kinds":["fast-8","mid-7","slow-8"],"layer":0,
"limits":{{"cancel":true,"conn_idle_us":{idle},"cpu_us_per_request":0.0,"cpu_us_per_s":15000,"dial_timeout_us":{dial},"max_attempts":{attempts},"max_retry_after_us":2000000,"max_streams":1,"open_cap":20000,"parallel_tries":{par},"peers":false,"probes":false,"retry_after":true}},
"my_zone":"lekki","over_share_worth":0.2,"position":0,
"profiles":[{classes}],
"report":{{"fields":[],"how":"off"}},
"rules":{{"answer_slack_us":20000,"cold_from":{cold},"fall_multiple":{mult:?},"must_ask_in_us":{ask},"ramp_time_us":{ramp},"stop_sending_within_us":500000,"tip_after_us":{tip}}},
"tiers":["decl-servers"],"value_by":"request","weight_source":"off","zones":["ikeja","lekki","apapa"]{extra}}}}}"#,
            name = self.name,
            mem = self.memory_mb,
            sockets = self.sockets,
            known = known.join(","),
            mode = self.discovery,
            group = self.group_size,
            idle = self.conn_idle_ms * 1000,
            dial = self.dial_timeout_ms * 1000,
            attempts = self.max_attempts,
            par = self.parallel_tries,
            classes = classes.join(","),
            cold = self.cold_from,
            mult = self.fall_multiple,
            ask = self.must_ask_ms * 1000,
            ramp = self.ramp_ms * 1000,
            tip = self.tip_after_ms * 1000,
            extra = self.extra,
        )
    }
}

/// An entry of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Endpoint {
    pub fn serving(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint {
            name: name.into(),
            address,
            zone: "lekki",
            kind: "mid-7",
            group: 1,
            status: "SERVING",
            since_ms: 0,
        }
    }
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.kind, self.group, self.status, self.since_ms
        )
    }
}

/// A temporary folder; [`finish`] removes it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!(
            "review-2-{name}-{}-{}",
            std::process::id(),
            unix_ms()
        ));
        std::fs::create_dir_all(&path)
            .unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        FOLDERS.lock().unwrap().push(path.clone());
        Folder(path)
    }
}

/// The root of the repository: `ROOT` or the current folder.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// The deploy file's command `run`.
pub fn run_command() -> String {
    let file = root().join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&file)
        .unwrap_or_else(|e| cannot_run(&format!("{}: {e}", file.display())));
    let line = text.lines().find(|line| line.starts_with("run = "));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .unwrap_or_else(|| cannot_run("no run in the deploy file"))
        .into()
}

/// A proxy, started as the platform starts it.
pub struct Proxy {
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    pub settings: Settings,
    pub log: PathBuf,
}

pub struct Start<'a> {
    pub settings: &'a Settings,
    pub discovery: SocketAddr,
    pub known: &'a [Endpoint],
    pub index: u64,
    /// The folder that becomes `TMPDIR`.
    pub tmpdir: &'a Path,
    /// Where configuration and log are kept.
    pub files: &'a Path,
    pub listen: SocketAddr,
    /// The platform's listening socket, passed as descriptor 3.
    pub socket: Option<&'a TcpListener>,
    pub tag: &'a str,
}

impl Proxy {
    pub fn start(start: &Start) -> Proxy {
        let config = start.files.join(format!("config-{}.json", start.tag));
        let text = start
            .settings
            .json(start.listen, start.discovery, start.known, start.index);
        std::fs::write(&config, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = start.files.join(format!("log-{}.txt", start.tag));
        let log_file = File::create(&log).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        let mut text = run_command();
        if let Some(socket) = start.socket {
            text = format!("exec 3<&0 </dev/null; {text}");
            command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap())));
            command.env("NODE_SOCKET_FD", "3");
        } else {
            command.stdin(Stdio::null());
            command.env_remove("NODE_SOCKET_FD");
        }
        command
            .args(["-c", &text])
            .current_dir(root())
            .env("NODE_NAME", &start.settings.name)
            .env("NODE_LISTEN", start.listen.to_string())
            .env("NODE_DISCOVERY", start.discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", start.tmpdir)
            .env_remove("NODE_CONTROL")
            .env_remove("NODE_SNAPSHOT")
            .stdout(Stdio::from(log_file.try_clone().unwrap()))
            .stderr(Stdio::from(log_file));
        if let Some(control) = start.settings.control {
            command.env("NODE_CONTROL", control.to_string());
        }
        let child = command
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the proxy does not start: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        Proxy {
            child,
            listen: start.listen,
            config,
            settings: start.settings.clone(),
            log,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `GET /-/ready` answers 200.
    pub fn wait_ready(&mut self) {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&format!(
                    "the proxy ended at its start: {status}; {}",
                    self.log_text()
                ));
            }
            if let Ok(mut client) = Client::connect(self.listen) {
                let _ = client.send(
                    b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n",
                );
                if client
                    .read(Duration::from_secs(2))
                    .is_ok_and(|answer| answer.status() == 200)
                {
                    return;
                }
            }
            sleep_ms(20);
        }
        cannot_run("the proxy is not ready after 30 s");
    }

    /// Sends a signal. A case whose signal does not arrive could not run.
    pub fn signal(&self, signal: &str) {
        let arguments = [format!("-{signal}"), self.pid().to_string()];
        let sent = Command::new("kill").args(arguments).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run(&format!("SIG{signal} could not be sent"));
        }
    }

    /// Replaces the configuration file as a whole, and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let part = self.config.with_extension("part");
        std::fs::write(&part, text).unwrap();
        std::fs::rename(&part, &self.config).unwrap();
        self.signal("HUP");
    }

    pub fn has_ended(&mut self) -> bool {
        let has_ended = self.child.try_wait().ok().flatten().is_some();
        if has_ended {
            self.forget();
        }
        has_ended
    }

    /// Sends SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }

    fn forget(&self) {
        CHILDREN
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> f64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1024.0
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        Ok(Client {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
    /// Reads an answer; an error if it isn't whole after `limit`.
    pub fn read(&mut self, limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        match Message::read(&mut self.reader, true)? {
            Some(message) => Ok(message),
            None => Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "closed without an answer",
            )),
        }
    }
}

/// A request in the form of the protocol page.
pub fn request(
    method: &str,
    class: &str,
    id: &str,
    time_left_s: f64,
    extra: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Account: harbourline\r\nX-Time-Left: {time_left_s:.3}\r\n{extra}"
    );
    if method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How a backend's connection ends or goes on after a request.
pub enum Next {
    KeepOpen,
    Close,
}

/// What a backend has for a request: the connection, the request as it was read, and the number of the connection.
pub struct Exchange<'a> {
    pub request: &'a Message,
    pub stream: &'a mut TcpStream,
    pub connection: u64,
    pub backend: &'a str,
}

pub fn ok_answer(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request as a backend noted it: when its head came, and when its last byte came.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub head_at: Instant,
    pub at: Instant,
    pub id: String,
    pub target: String,
    pub backend: String,
    pub time_left_s: f64,
}

/// A backend that handles each request on its connection's thread.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Backend {
    pub fn start(
        name: &str,
        handle: impl Fn(&mut Exchange) -> io::Result<Next> + Send + Sync + 'static,
    ) -> Backend {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (noted, name_) = (arrivals.clone(), name.to_string());
        let handle = Arc::new(handle);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                let (noted, name, handle) = (noted.clone(), name_.clone(), handle.clone());
                std::thread::spawn(move || {
                    let _ = serve_backend(stream, number as u64, &name, &noted, &*handle);
                });
            }
        });
        Backend {
            name: name.into(),
            address,
            arrivals,
        }
    }
    pub fn endpoint(&self) -> Endpoint {
        Endpoint::serving(&self.name, self.address)
    }
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

fn serve_backend(
    mut stream: TcpStream,
    connection: u64,
    name: &str,
    noted: &Mutex<Vec<Arrival>>,
    handle: &(impl Fn(&mut Exchange) -> io::Result<Next> + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        // The head's time is that of the first byte.
        if reader.fill_buf()?.is_empty() {
            return Ok(());
        }
        let head_at = Instant::now();
        let Some(request) = Message::read(&mut reader, false)? else {
            return Ok(());
        };
        noted.lock().unwrap().push(Arrival {
            head_at,
            at: Instant::now(),
            id: request.id().into(),
            target: request.target().into(),
            backend: name.into(),
            time_left_s: request
                .header("x-time-left")
                .and_then(|t| t.parse().ok())
                .unwrap_or(0.0),
        });
        let mut exchange = Exchange {
            request: &request,
            stream: &mut stream,
            connection,
            backend: name,
        };
        if matches!(handle(&mut exchange)?, Next::Close) {
            let _ = stream.shutdown(Shutdown::Both);
            return Ok(());
        }
    }
}

/// How discovery handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// Answers each call with 503.
    Busy,
    /// Holds calls without an answer.
    Silent,
    /// Resets connections and refuses calls: closes each connection at once.
    Down,
}

struct DiscoveryState {
    index: u64,
    /// The list, and for each name the index of its last change.
    endpoints: BTreeMap<String, (Endpoint, u64)>,
    mode: Mode,
    /// Changes with each change of the mode: calls that began before are dropped when it goes down.
    generation: u64,
    closes_after_answer: bool,
    calls: Vec<(Instant, String, String)>,
    answer_delay: Duration,
    closed: bool,
}

/// A discovery server by the protocol page.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// When the answer with each index was first written to a caller.
    pub written: Arc<Mutex<Vec<(u64, Instant)>>>,
}

impl Discovery {
    pub fn start(endpoints: &[Endpoint], index: u64) -> Discovery {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let list = endpoints
            .iter()
            .map(|e| (e.name.clone(), (e.clone(), index)))
            .collect();
        let state = Arc::new((
            Mutex::new(DiscoveryState {
                index,
                endpoints: list,
                mode: Mode::Up,
                generation: 0,
                closes_after_answer: false,
                calls: Vec::new(),
                answer_delay: Duration::ZERO,
                closed: false,
            }),
            Condvar::new(),
        ));
        let written: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::default();
        let (shared, noted) = (state.clone(), written.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (shared, noted) = (shared.clone(), noted.clone());
                std::thread::spawn(move || {
                    let _ = serve_discovery(stream, &shared, &noted);
                });
            }
        });
        Discovery {
            address,
            state,
            written,
        }
    }

    pub fn set_mode(&self, mode: Mode) {
        let mut s = self.state.0.lock().unwrap();
        s.mode = mode;
        s.generation += 1;
        self.state.1.notify_all();
    }
    pub fn close_after_answers(&self, closes: bool) {
        self.state.0.lock().unwrap().closes_after_answer = closes;
    }
    pub fn set_answer_delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().answer_delay = delay;
    }
    /// Changes an entry, or adds it. Returns the new index.
    pub fn change(&self, endpoint: Endpoint) -> u64 {
        let mut s = self.state.0.lock().unwrap();
        s.index += 1;
        let index = s.index;
        s.endpoints.insert(endpoint.name.clone(), (endpoint, index));
        self.state.1.notify_all();
        index
    }
    pub fn calls(&self) -> Vec<(Instant, String, String)> {
        self.state.0.lock().unwrap().calls.clone()
    }
    /// When an answer with this or a later index was first written to a caller.
    pub fn told_at(&self, index: u64) -> Option<Instant> {
        self.written
            .lock()
            .unwrap()
            .iter()
            .filter(|(i, _)| *i >= index)
            .map(|(_, at)| *at)
            .min()
    }
}

fn serve_discovery(
    mut stream: TcpStream,
    shared: &(Mutex<DiscoveryState>, Condvar),
    noted: &Mutex<Vec<(u64, Instant)>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (lock, changed) = shared;
    if lock.lock().unwrap().mode == Mode::Down {
        return Ok(());
    }
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(call) = Message::read(&mut reader, false)? {
        let target = call.target().to_string();
        let query = |name: &str| {
            let pairs = target.split_once('?')?.1.split('&');
            pairs
                .filter_map(|p| p.split_once('='))
                .find(|p| p.0 == name)?
                .1
                .parse::<u64>()
                .ok()
        };
        let after = query("after");
        let end = Instant::now() + Duration::from_millis(query("wait_ms").unwrap_or(0));
        let mut s = lock.lock().unwrap();
        let generation = s.generation;
        let mode = s.mode;
        s.calls
            .push((Instant::now(), target.clone(), format!("{mode:?}")));
        let delay = s.answer_delay;
        match mode {
            Mode::Down => return Ok(()),
            Mode::Busy => {
                drop(s);
                stream
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            Mode::Silent => {
                drop(s);
                // Silent for good: the caller ends the connection.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            }
            Mode::Up => {}
        }
        drop(s);
        std::thread::sleep(delay);
        let mut s = lock.lock().unwrap();
        if let Some(after) = after {
            while s.index <= after && Instant::now() < end && s.generation == generation {
                let left = end.saturating_duration_since(Instant::now());
                s = changed.wait_timeout(s, left).unwrap().0;
            }
        }
        if s.generation != generation {
            match s.mode {
                Mode::Down => return Ok(()),
                Mode::Silent => {
                    drop(s);
                    let mut rest = Vec::new();
                    let _ = reader.read_to_end(&mut rest);
                    return Ok(());
                }
                _ => {}
            }
        }
        let is_full = after.is_none();
        let entries: Vec<String> = s
            .endpoints
            .values()
            .filter(|(e, changed_at)| match after {
                Some(after) => *changed_at > after,
                None => e.status != "DELETED",
            })
            .map(|(e, _)| e.json())
            .collect();
        let body = format!(
            r#"{{"index":{},"snapshot":{is_full},"endpoints":[{}]}}"#,
            s.index,
            entries.join(",")
        );
        let (index, closes) = (s.index, s.closes_after_answer);
        drop(s);
        let close = if closes { "Connection: close\r\n" } else { "" };
        let text = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{close}Content-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes())?;
        noted.lock().unwrap().push((index, Instant::now()));
        if closes {
            let _ = stream.shutdown(Shutdown::Write);
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            return Ok(());
        }
    }
    Ok(())
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
