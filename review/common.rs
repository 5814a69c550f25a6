//! Shared parts of the cases: stand-ins for clients, backends, discovery and operators on loopback addresses, and the
//! proxy as a process of its own, started by the command of the deploy file. It uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Random bits from the standard library's hasher keys.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// An id in the form that clients use.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// The record of a run, with the seconds since its start on each line.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|e| {
            eprintln!("record.txt: {e}");
            std::process::exit(COULD_NOT_RUN)
        });
        Record(Arc::new(Mutex::new(file)), Instant::now())
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }
    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
    pub fn now(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }
}

/// A request or response. `body` is complete; chunked bodies are decoded.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
    /// Reads a message that has a length, is chunked or has no body. `None` if the connection ends before it does.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message {
            start: read_line(from)?,
            ..Message::default()
        };
        loop {
            let line = read_line(from)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            message
                .headers
                .push((name.trim().into(), value.trim().into()));
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let size = read_line(from)?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                let mut chunk = vec![0; size];
                from.read_exact(&mut chunk).ok()?;
                message.body.extend_from_slice(&chunk);
                read_line(from)?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = from.read_line(&mut line).ok()?;
    (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_string())
}

pub fn response(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| {
            eprintln!("no free port: {e}");
            std::process::exit(COULD_NOT_RUN)
        })
}

/// A backend's entry in discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, zone: &str, kind: &str) -> Entry {
        Entry {
            name: name.into(),
            address,
            zone: zone.into(),
            kind: kind.into(),
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

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

struct DiscoveryState {
    index: u64,
    /// The entries, and the version in which each changed last. Deleted ones stay here for watches.
    entries: BTreeMap<String, (Entry, u64)>,
}

/// Discovery: the whole list, and watches on changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: &[Entry]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let index = 41;
        let entries = entries
            .iter()
            .map(|e| (e.name.clone(), (e.clone(), index)))
            .collect();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((
                Mutex::new(DiscoveryState { index, entries }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(tcp));
            }
        });
        discovery
    }

    /// Changes an entry and answers the watches.
    pub fn publish(&self, entry: Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        self.record.line(format!(
            "discovery: version {index}: {} {}",
            entry.name, entry.status
        ));
        state.entries.insert(entry.name.clone(), (entry, index));
        self.state.1.notify_all();
    }

    fn serve(&self, mut tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let peer = tcp.peer_addr().map(|a| a.port()).unwrap_or(0);
        let mut reader = BufReader::new(tcp.try_clone().unwrap());
        while let Some(call) = Message::read(&mut reader) {
            let path = call.path().to_string();
            let number = |key: &str| -> Option<u64> {
                let query = path.split_once('?')?.1;
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .filter(|(k, _)| *k == key)
                    .find_map(|(_, v)| v.parse().ok())
            };
            let body = match number("after") {
                None => self.full(),
                Some(after) => self.changes(after, number("wait_ms").unwrap_or(0).min(60_000)),
            };
            if tcp.write_all(response(200, "", &body).as_bytes()).is_err() {
                return;
            }
            self.record
                .line(format!("discovery: wrote to :{peer} for {path}: {body}"));
        }
    }

    fn full(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let listed: Vec<Entry> = state
            .entries
            .values()
            .filter(|(entry, _)| entry.status != "DELETED")
            .map(|(entry, _)| entry.clone())
            .collect();
        list_json(state.index, true, &listed)
    }

    fn changes(&self, after: u64, wait_ms: u64) -> String {
        let state = self.state.0.lock().unwrap();
        if after > state.index {
            drop(state);
            return self.full();
        }
        let wait = Duration::from_millis(wait_ms);
        let (state, _) = self
            .state
            .1
            .wait_timeout_while(state, wait, |s| s.index <= after)
            .unwrap();
        let changed: Vec<Entry> = state
            .entries
            .values()
            .filter(|(_, index)| *index > after)
            .map(|(entry, _)| entry.clone())
            .collect();
        list_json(state.index, false, &changed)
    }
}

/// A request that a backend received whole.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub backend: String,
    pub id: String,
    pub path: String,
}

/// The runs at all backends.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn add(&self, run: Run) {
        self.0.lock().unwrap().push(run);
    }
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
    pub fn of(&self, id: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.id == id).collect()
    }
}

/// A connection from a proxy, as a backend sees it.
pub struct BackendConnection {
    pub reader: BufReader<TcpStream>,
    pub tcp: TcpStream,
}

/// A backend. `serve` handles a connection until it ends; the standard one is [`serve_all`].
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
}

impl Backend {
    pub fn start(name: &str, serve: impl Fn(BackendConnection) + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let serve = Arc::new(serve);

        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let serve = serve.clone();
                let _ = tcp.set_nodelay(true);
                std::thread::spawn(move || {
                    let reader = BufReader::new(tcp.try_clone().unwrap());
                    serve(BackendConnection { reader, tcp });
                });
            }
        });
        Backend {
            name: name.into(),
            address,
        }
    }

    /// A sound backend, which takes `work` for each request and answers with its id.
    pub fn sound(name: &str, record: &Record, runs: &Runs, work: Duration) -> Backend {
        let (name_of_runs, record, runs) = (name.to_string(), record.clone(), runs.clone());
        Backend::start(name, move |mut connection| {
            while let Some(request) = Message::read(&mut connection.reader) {
                note_run(&name_of_runs, &record, &runs, &request);
                std::thread::sleep(work);
                let id = request.header("x-correlation-id").unwrap_or("");
                if connection
                    .tcp
                    .write_all(response(200, "", &answer_for(id)).as_bytes())
                    .is_err()
                {
                    return;
                }
            }
        })
    }

    pub fn entry(&self, zone: &str, kind: &str) -> Entry {
        Entry::new(&self.name, self.address, zone, kind)
    }
}

/// The body that a backend makes for a request.
pub fn answer_for(id: &str) -> String {
    format!("answer for {id}\n")
}

pub fn note_run(backend: &str, record: &Record, runs: &Runs, request: &Message) {
    let id = request.header("x-correlation-id").unwrap_or("").to_string();
    let path = request.path().to_string();
    record.line(format!("backend {backend}: runs {id} {}", request.start));
    runs.add(Run {
        at: record.now(),
        backend: backend.into(),
        id,
        path,
    });
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Ends the case, and with it its proxies, with the code for a case that could not run: if it takes longer than the 120 s
/// that a script may run, or if any of its threads panics.
pub fn guard() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(COULD_NOT_RUN);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        eprintln!("could not run: took over 115 s");
        std::process::exit(COULD_NOT_RUN);
    });
}

/// What a proxy is started with.
pub struct ProxyOptions {
    pub name: String,
    pub listen: SocketAddr,
    pub control: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub tmpdir: PathBuf,
}

/// A proxy, started by the command `run` of the deploy file.
pub struct Proxy {
    pub child: Child,
    pub name: String,
    pub address: SocketAddr,
    pub control: Option<SocketAddr>,
    pub config: PathBuf,
}

/// The root of the repository: the folder in which the case was started.
pub fn root() -> PathBuf {
    std::env::var_os("REVIEW_ROOT").map_or_else(|| std::env::current_dir().unwrap(), PathBuf::from)
}

fn run_command() -> String {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    line.and_then(|line| line.rsplit_once('"'))
        .map(|(command, _)| command.to_string())
        .unwrap_or_else(|| {
            eprintln!("no command run in deploy/balancer.toml");
            std::process::exit(COULD_NOT_RUN)
        })
}

impl Proxy {
    pub fn config_json(options: &ProxyOptions) -> String {
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
            options.name,
            options.listen,
            options.discovery,
            random(),
            options.known,
            options.settings
        )
    }

    pub fn start(record: &Record, options: &ProxyOptions) -> Proxy {
        std::fs::create_dir_all(&options.tmpdir).unwrap();
        let folder = options.tmpdir.parent().unwrap();
        let config = folder.join(format!("config-{}.json", options.name));
        std::fs::write(&config, Proxy::config_json(options)).unwrap();
        let log = folder.join(format!("log-{}-{:x}.txt", options.name, random() & 0xffff));
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("ulimit -n 1024; {}", run_command())])
            .current_dir(root())
            .env("NODE_NAME", &options.name)
            .env("NODE_LISTEN", options.listen.to_string())
            .env("NODE_DISCOVERY", options.discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &options.tmpdir)
            .env_remove("NODE_CONTROL")
            .env_remove("NODE_SOCKET_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).unwrap());
        // The proxy ends with the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        if let Some(control) = options.control {
            command.env("NODE_CONTROL", control.to_string());
        }
        let child = command.spawn().unwrap_or_else(|e| {
            eprintln!("the proxy does not start: {e}");
            std::process::exit(COULD_NOT_RUN)
        });
        record.line(format!(
            "platform: proxy {} started, process {}, log {}",
            options.name,
            child.id(),
            log.display()
        ));
        Proxy {
            child,
            name: options.name.clone(),
            address: options.listen,
            control: options.control,
            config,
        }
    }

    /// Waits until the proxy answers `GET /-/ready` with 200. Returns false after 30 s or if the process ended.
    pub fn wait_until_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                return false;
            }
            let ready = exchange(
                self.address,
                "GET /-/ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n",
                Duration::from_secs(1),
            );
            if ready.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, record: &Record, which: &str) {
        record.line(format!("platform: SIG{which} to proxy {}", self.name));
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{which} {}", self.child.id())])
            .status();
    }

    /// An operators' call.
    pub fn call(&self, record: &Record, line: &str) -> Option<Message> {
        let request = format!("{line} HTTP/1.1\r\nHost: door\r\n\r\n");
        let answer = exchange(self.control.unwrap(), &request, Duration::from_secs(2));
        let text = answer.as_ref().map_or("no answer".into(), |a| {
            format!("{} {}", a.status(), a.text().trim())
        });
        record.line(format!("operator: {line} at {}: {text}", self.name));
        answer
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request on a new connection and returns the answer, if it comes whole and in time.
pub fn exchange(to: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut tcp = TcpStream::connect_timeout(&to, limit).ok()?;
    tcp.set_read_timeout(Some(limit)).ok()?;
    tcp.write_all(request.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(tcp))
}

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub enum End {
    Answered(Message),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing came until half a second after the client's time.
    Overdue,
}

impl End {
    pub fn status(&self) -> u16 {
        match self {
            End::Answered(answer) => answer.status(),
            _ => 0,
        }
    }
}

/// A client on one connection, which it keeps.
pub struct Client {
    to: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client {
            to,
            connection: None,
        }
    }

    /// Sends one request and waits for its end. `left` is the client's time.
    pub fn request(
        &mut self,
        record: &Record,
        method: &str,
        path: &str,
        id: &str,
        left: f64,
        body: &str,
    ) -> End {
        let length = if method == "POST" {
            format!("Content-Length: {}\r\n", body.len())
        } else {
            String::new()
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Account: harbourline\r\nX-Time-Left: {left:.3}\r\n{length}\r\n{body}"
        );
        let limit = Duration::from_secs_f64(left + 0.55);
        if self.connection.is_none() {
            let Ok(tcp) = TcpStream::connect_timeout(&self.to, Duration::from_secs(1)) else {
                record.line(format!("client: {id} could not connect"));
                return End::Closed;
            };
            let _ = tcp.set_nodelay(true);
            self.connection = Some(BufReader::new(tcp));
        }
        let reader = self.connection.as_mut().unwrap();
        let _ = reader.get_ref().set_read_timeout(Some(limit));
        record.line(format!("client: sends {id} {method} {path}"));
        let sent_at = Instant::now();
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            self.connection = None;
            record.line(format!("client: {id} connection closed"));
            return End::Closed;
        }
        let end = match Message::read(reader) {
            Some(answer) => {
                if answer
                    .header("connection")
                    .is_some_and(|v| v.eq_ignore_ascii_case("close"))
                {
                    self.connection = None;
                }
                End::Answered(answer)
            }
            None => {
                self.connection = None;
                if sent_at.elapsed() >= limit {
                    End::Overdue
                } else {
                    End::Closed
                }
            }
        };
        let text = match &end {
            End::Answered(answer) => format!("{} {}", answer.status(), answer.text().trim()),
            other => format!("{other:?}"),
        };
        record.line(format!(
            "client: {id} after {:.4} s: {text}",
            sent_at.elapsed().as_secs_f64()
        ));
        end
    }
}

/// A new private folder for the proxies of a run.
pub fn temporary_folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "review-{}-{:x}",
        std::process::id(),
        random() & 0xffff_ffff
    ));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Settings like those of lagos-main, as the example of the wire's page has them, for `proxies` proxies of which this
/// is `position`.
pub fn settings(proxies: u32, position: u32) -> String {
    format!(
        r#"{{"blend":{{"whole":0.5,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.1}},
"callers":{{"marks_retry":true}},
"costs":{{"connection":0.0,"cross_zone":0.03,"discovery":0.0,"handshake":0.0,"late_fail":0.041,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.03,"waste":0.056}},
"customers":[{{"name":"harbourline","quota_rps":178.0,"share":0.33}},{{"name":"okafor-bros","quota_rps":134.0,"share":0.25}},{{"name":"delta-freight","quota_rps":124.0,"share":0.23}}],
"discovery":"subscribe","family":"proxy","family_info":{{"warm_keys":true}},"granularity_us":5000,"group_size":{proxies},
"kinds":["fast-8","mid-7","slow-8"],"layer":0,
"limits":{{"cancel":true,"conn_idle_us":15000000,"cpu_us_per_request":0.0,"cpu_us_per_s":15000,"dial_timeout_us":150000,"max_attempts":5,"max_retry_after_us":2000000,"max_streams":1,"open_cap":20000,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true}},
"my_zone":"lekki","over_share_worth":0.2,"position":{position},
"profiles":[{{"aim_us":300000,"deadline_us":750000,"effect":"free","gain":3.0,"key_scope":"all","late_worth":0.3,"name":"lookup","stream":false,"window_us":5000000}},{{"aim_us":1000000,"deadline_us":3000000,"effect":"single_shot","gain":8.0,"key_scope":"all","late_worth":0.25,"name":"submit","stream":false,"window_us":5000000}}],
"report":{{"fields":[],"how":"off"}},
"rules":{{"answer_slack_us":20000,"cold_from":0.13,"fall_multiple":3.0,"must_ask_in_us":10000000,"ramp_time_us":23000000,"stop_sending_within_us":500000,"tip_after_us":3000000}},
"tiers":["decl-servers"],"value_by":"request","weight_source":"off","zones":["ikeja","lekki","apapa"]}}"#
    )
}
