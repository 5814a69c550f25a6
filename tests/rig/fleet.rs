//! A fleet of real proxies that share state, with faults between them: its backends, its clients, and what has to hold
//! over all that these recorded.

use super::faults::Faults;
use super::lease_history::{self, Incarnation};
use super::{
    create_temp_dir, entry, pay_request, read_request, Arc, BufReader, Client, Duration, Message,
    Mutex, Ordering, Proxy, SocketAddr, TcpListener, TcpStream, Write, SETTINGS, TEST_TIMEOUT,
};
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Condvar, PoisonError};
use std::thread::JoinHandle;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The machine's monotonic clock, which its processes share, in microseconds.
pub fn monotonic_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// What that clock says at a wall time in microseconds.
///
/// A pause between the two readings makes it too early, never too late.
pub fn monotonic_at_wall_time(wall_us: u64) -> u64 {
    let mono = monotonic_us();
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64;
    (mono + wall_us).saturating_sub(wall)
}

/// What `GET /peers` answers, as far as the tests ask.
pub struct PeersStatus(pub serde_json::Value);

impl PeersStatus {
    pub fn of(proxy: &Proxy) -> PeersStatus {
        PeersStatus(
            serde_json::from_slice(&proxy.control_request("GET /peers").body)
                .expect("JSON at the door"),
        )
    }
    pub fn members(&self) -> usize {
        self.0["members"].as_array().unwrap().len()
    }
    pub fn refused(&self, cause: &str) -> u64 {
        self.0["refused"][cause].as_u64().unwrap_or(0)
    }
    pub fn count(&self, what: &str) -> u64 {
        self.0[what].as_u64().unwrap()
    }
}

/// So many fleets of one test program run at a time: nine of five processes each, with their backends and relays as threads
/// of that program, stall each other on eight cores, and a backend of the test's own that stands still for seconds is no
/// fault of the proxy's.
const MAX_RUNNING_FLEETS: usize = 4;

static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A fleet's turn to run.
struct FleetPermit;

impl FleetPermit {
    fn acquire() -> FleetPermit {
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| *running >= MAX_RUNNING_FLEETS;
        *RUNNING
            .1
            .wait_while(running, full)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}

pub struct Fleet {
    pub faults: Faults,
    pub proxies: Vec<Proxy>,
    /// When the process in that place was killed.
    ended_us: HashMap<usize, u64>,
    /// Killed ones that have another in their place.
    replaced: Vec<(usize, Proxy, u64)>,
    options: FleetOptions,
    /// Given back last, once all processes are gone.
    _permit: FleetPermit,
}

/// What all its proxies are started with.
#[derive(Clone, Default)]
pub struct FleetOptions {
    pub size: usize,
    pub seed: u64,
    pub endpoints: Vec<String>,
    pub variables: Vec<(&'static str, String)>,
    /// Of the members, the first so many are voters; with none there are no duties.
    pub voters: usize,
    pub lease_ms: u64,
    pub floor: f64,
    /// How long facts are used, and how long a proxy that hears of no holder goes by what it last heard.
    pub max_age_s: f64,
    /// More keys of the file, each with a comma before it.
    pub extra_config: String,
}

impl FleetOptions {
    /// Proxy number `n`; all start from the first one as their seed, or from the voters where there are any.
    fn start(&self, faults: &Faults, n: usize) -> Proxy {
        let group = format!(r#""position":{n},"group_size":{},"#, self.size);
        let mut settings = SETTINGS.replace(r#""position":0,"group_size":1,"#, &group);
        let of = |count: usize| {
            (0..count)
                .map(|n| format!(r#""{}""#, faults.address(n)))
                .collect::<Vec<_>>()
        };
        let (own, seeds) = (faults.address(n), of(self.voters.max(1)).join(","));
        let (mut age, mut duties) = (String::new(), String::new());
        if self.voters > 0 {
            // Backends that come back are cold for no longer than a test wants to wait.
            settings = settings.replace(r#""ramp_time_us":9000000"#, r#""ramp_time_us":1500000"#);
            age = format!(r#","max_age_s":{:?}"#, self.max_age_s);
            let (voters, lease, floor) = (of(self.voters).join(","), self.lease_ms, self.floor);
            duties = format!(
                r#","duties":{{"voters":[{voters}],"lease_ms":{lease},"drift":0.01,"floor":{floor}}}"#
            );
        }
        let peers = format!(
            r#","peers":{{"listen":"127.0.0.1:0","advertise":"{own}","cluster":"test","seeds":[{seeds}]{age}}}"#
        );
        let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
        let variables = [&self.variables[..], &[tmp]].concat();
        let proxy = Proxy::with_seed(
            n as u64 + 1,
            &self.endpoints,
            &settings,
            &(peers + &duties + &self.extra_config),
            &variables,
        );
        faults.register(n, &proxy.startup_log);
        proxy
    }
}

impl Fleet {
    pub fn new(
        size: usize,
        seed: u64,
        endpoints: &[String],
        variables: &[(&'static str, String)],
    ) -> Fleet {
        let (endpoints, variables) = (endpoints.to_vec(), variables.to_vec());
        Fleet::with_options(FleetOptions {
            size,
            seed,
            endpoints,
            variables,
            ..FleetOptions::default()
        })
    }

    pub fn with_options(options: FleetOptions) -> Fleet {
        let permit = FleetPermit::acquire();
        let faults = Faults::new(options.size, options.seed);
        let proxies = (0..options.size)
            .map(|n| options.start(&faults, n))
            .collect();
        Fleet {
            faults,
            proxies,
            ended_us: HashMap::new(),
            replaced: Vec::new(),
            options,
            _permit: permit,
        }
    }

    /// Waits until each of these sees so many others; how long that took.
    pub fn wait_for_members(&self, of: &[usize], others: usize) -> Duration {
        let begun = Instant::now();
        while of
            .iter()
            .any(|n| PeersStatus::of(&self.proxies[*n]).members() != others)
        {
            assert!(
                begun.elapsed() < 3 * TEST_TIMEOUT,
                "not {others} others at each of {of:?}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        begun.elapsed()
    }

    /// More keys of the file for the processes that start from now on.
    pub fn set_extra_config(&mut self, extra_config: String) {
        self.options.extra_config = extra_config;
    }

    /// A new process under the name and address of number `n`, with nothing in its memory. Where its turn has come
    /// after a truncation, it is the next.
    pub fn restart(&mut self, n: usize) {
        let proxy = self.options.start(&self.faults, n);
        if n == self.proxies.len() {
            self.proxies.push(proxy);
            return;
        }
        let before = std::mem::replace(&mut self.proxies[n], proxy);
        let ended_us = self.ended_us.remove(&n).expect("killed before");
        self.replaced.push((n, before, ended_us));
    }

    /// SIGKILL for all of these at once; their logs are kept.
    pub fn kill(&mut self, of: &[usize]) {
        of.iter().for_each(|n| drop(self.proxies[*n].child.kill()));
        of.iter().for_each(|n| drop(self.proxies[*n].child.wait()));
        self.ended_us
            .extend(of.iter().map(|n| (*n, monotonic_us())));
    }

    /// SIGTERM; returns once the process has ended, with the time.
    pub fn terminate(&mut self, n: usize) -> u64 {
        self.proxies[n].terminate();
        let _ = self.proxies[n].child.wait();
        let at = monotonic_us();
        self.ended_us.insert(n, at);
        at
    }

    /// Those whose process lives.
    pub fn live(&self) -> Vec<usize> {
        (0..self.proxies.len())
            .filter(|n| !self.ended_us.contains_key(n))
            .collect()
    }

    /// All that the present process of number `n` logged.
    pub fn log(&self, n: usize) -> String {
        log(&self.proxies[n])
    }

    /// Every process that ever was.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        let replaced = self.replaced.iter().map(|(n, p, at)| Incarnation {
            proxy: *n,
            log: log(p),
            ended_us: Some(*at),
        });
        let now = self.proxies.iter().enumerate();
        let now = now.map(|(n, p)| Incarnation {
            proxy: n,
            log: log(p),
            ended_us: self.ended_us.get(&n).copied(),
        });
        replaced.chain(now).collect()
    }

    /// Waits until `done` says so.
    pub fn wait_for<T>(&self, what: &str, done: impl Fn(&Fleet) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(got) = done(self) {
                return got;
            }
            assert!(begun.elapsed() < 2 * TEST_TIMEOUT, "waited in vain: {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until one proxy holds the duty, not counting those named; which, and its token.
    pub fn wait_for_holder(&self, but: &[usize]) -> (usize, lease_history::Token) {
        self.wait_for("a holder", |fleet| {
            let all = lease_history::calendar_holdings(&fleet.incarnations());
            let now = all
                .iter()
                .rfind(|h| h.to == u64::MAX && !but.contains(&h.proxy));
            now.map(|h| (h.proxy, h.token.clone()))
        })
    }

    /// Puts a window at a proxy's door: it begins in so many seconds and lasts so many.
    pub fn put_window(
        &self,
        at: usize,
        id: &str,
        ids: &[&str],
        begin_in: f64,
        lasts: f64,
        lead_s: u32,
    ) -> Window {
        let us = |secs: f64| (secs * 1e6) as u64;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_micros() as u64;
        let (begin, end) = (now + us(begin_in), now + us(begin_in + lasts));
        let text = |us: u64| {
            jiff::Timestamp::from_microsecond(us as i64)
                .unwrap()
                .to_string()
        };
        let (from, to) = (text(begin), text(end));
        let body = format!(
            r#"{{"ids":{ids:?},"begin":"{from}","end":"{to}","lead_s":{lead_s},"overrun_s":5,"by":"ops"}}"#
        );
        let answer = self.control_call(at, &format!("PUT /windows/{id}"), &body);
        assert!(answer.status() / 100 == 2, "{answer:?}");
        let ids = ids.iter().map(ToString::to_string).collect();
        Window {
            id: id.into(),
            ids,
            begin: monotonic_at_wall_time(begin),
            end: monotonic_at_wall_time(end),
        }
    }

    /// What holders decided of a window, over all processes, in the order of time.
    pub fn transitions(&self, window: &str) -> Vec<Transition> {
        let mut all = Vec::new();
        for incarnation in self.incarnations() {
            let own = |l: &&str| lease_history::log_field(l, "window") == Some(window);
            all.extend(
                lease_history::event_lines(&incarnation.log, "window")
                    .filter(own)
                    .map(|line| Transition {
                        proxy: incarnation.proxy,
                        to: lease_history::log_field(line, "to")
                            .unwrap_or_default()
                            .into(),
                        at: lease_history::number_field(line, "mono_us").expect("a time"),
                        token: lease_history::token_field(line).expect("a token"),
                    }),
            );
        }
        all.sort_by_key(|d| d.at);
        all
    }

    /// Waits until a holder decided that step; which came first.
    pub fn wait_for_transition(&self, window: &str, to: &str) -> Transition {
        let what = format!("{window} to be {to}");
        self.wait_for(&what, |fleet| {
            fleet.transitions(window).into_iter().find(|d| d.to == to)
        })
    }

    /// Waits until the list of each of these has these windows.
    pub fn wait_until_listed(&self, of: &[usize], windows: &[&Window]) {
        self.wait_for("all to know the windows", |fleet| {
            let lists = |n: &usize, w: &Window| {
                fleet
                    .control_json(*n, "/windows")
                    .to_string()
                    .contains(&w.id)
            };
            of.iter()
                .all(|n| windows.iter().all(|w| lists(n, w)))
                .then_some(())
        });
    }

    /// When the present process of a proxy took a backend out, and when it took it back.
    pub fn drain_times(&self, n: usize, backend: &str) -> (Vec<u64>, Vec<u64>) {
        let log = self.log(n);
        let of = |event: &str| {
            let own = |l: &&str| lease_history::log_field(l, "backend") == Some(backend);
            let lines = lease_history::event_lines(&log, event).filter(own);
            lines
                .map(|l| lease_history::number_field(l, "mono_us").expect("a time"))
                .collect()
        };
        (of("window_out"), of("window_back"))
    }

    /// Waits until each of these has taken a window's backends out and back, and sees that each was so once, and not
    /// back before the window's end.
    pub fn check_single_maintenance(&self, of: &[usize], window: &Window) {
        for (n, backend) in of
            .iter()
            .flat_map(|n| window.ids.iter().map(move |b| (*n, b)))
        {
            let what = format!("proxy {n} to take {backend} back");
            self.wait_for(&what, |fleet| {
                (!fleet.drain_times(n, backend).1.is_empty()).then_some(())
            });
            let (out, back) = self.drain_times(n, backend);
            assert_eq!(
                (out.len(), back.len()),
                (1, 1),
                "proxy {n}, {backend}: {out:?}, {back:?}"
            );
            let early = window.end.saturating_sub(back[0]);
            assert!(
                early < 20_000,
                "proxy {n} took {backend} back {early} us before the end"
            );
        }
    }

    /// A call with a body at a proxy's door.
    pub fn control_call(&self, n: usize, line: &str, body: &str) -> Message {
        let head = format!(
            "{line} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Client::connect(self.proxies[n].control_address.expect("a door")).request(&(head + body))
    }

    /// What a call answers, as JSON.
    pub fn control_json(&self, n: usize, path: &str) -> serde_json::Value {
        serde_json::from_slice(&self.proxies[n].control_request(&format!("GET {path}")).body)
            .expect("JSON at the door")
    }
}

/// A window as it was put, with its times on the monotonic clock.
pub struct Window {
    pub id: String,
    pub ids: Vec<String>,
    pub begin: u64,
    pub end: u64,
}

impl Window {
    /// Where nothing may reach its backends: from that time to its end.
    pub fn drained_periods(&self, from: u64) -> Vec<DrainedPeriod> {
        self.ids
            .iter()
            .map(|b| DrainedPeriod {
                backend: b.clone(),
                from,
                to: self.end,
            })
            .collect()
    }
}

/// One step of a window, as its holder logged it.
#[derive(Clone, Debug)]
pub struct Transition {
    pub proxy: usize,
    pub to: String,
    pub at: u64,
    pub token: lease_history::Token,
}

fn log(proxy: &Proxy) -> String {
    proxy.startup_log.clone() + &proxy.log_lines("").join("\n")
}

/// A backend that writes down every request, with its time, and says in its answer who it is and what was asked.
pub struct RecordingBackend {
    pub name: String,
    pub address: SocketAddr,
    /// Correlation id and time.
    pub received: Arc<Mutex<Vec<(String, u64)>>>,
    /// The same of each answer, once it was written.
    answered: Arc<Mutex<Vec<(String, u64)>>>,
    stopping: Arc<AtomicBool>,
}

impl RecordingBackend {
    pub fn start(name: &str) -> RecordingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (received, answered, stopping): (
            Arc<Mutex<Vec<_>>>,
            Arc<Mutex<Vec<_>>>,
            Arc<AtomicBool>,
        ) = Default::default();
        let (record, wrote, gone, own) = (
            received.clone(),
            answered.clone(),
            stopping.clone(),
            name.to_string(),
        );
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                if gone.load(Ordering::SeqCst) {
                    return;
                }
                let (record, wrote, gone, own) =
                    (record.clone(), wrote.clone(), gone.clone(), own.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let id = message
                            .header("x-correlation-id")
                            .unwrap_or_default()
                            .to_string();
                        let body = format!("{own} {id}");
                        record.lock().unwrap().push((id.clone(), monotonic_us()));
                        let last = gone.load(Ordering::SeqCst);
                        let close = if last { "Connection: close\r\n" } else { "" };
                        let length = body.len();
                        let head =
                            format!("HTTP/1.1 200 OK\r\n{close}Content-Length: {length}\r\n\r\n");
                        if tcp.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                        wrote.lock().unwrap().push((id, monotonic_us()));
                        if last {
                            return;
                        }
                    }
                });
            }
        });
        RecordingBackend {
            name: name.into(),
            address,
            received,
            answered,
            stopping,
        }
    }

    /// A whole kind of them, `b0` and on, and the list's entries.
    pub fn start_many(count: usize) -> (Vec<RecordingBackend>, Vec<String>) {
        let all: Vec<RecordingBackend> = (0..count)
            .map(|n| RecordingBackend::start(&format!("b{n}")))
            .collect();
        let endpoints = all
            .iter()
            .map(|b| entry(&b.name, b.address, "SERVING"))
            .collect();
        (all, endpoints)
    }

    /// From now on connections are refused; one that is open is closed with its next answer, so that nothing that
    /// may run once is cut off half-way.
    pub fn shut_down(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address)); // wakes the one that accepts
    }
}

/// A client's request and what came of it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub proxy: usize,
    pub id: String,
    /// Not safe to repeat.
    pub is_pay: bool,
    pub started_us: u64,
    /// Until its answer was whole, in microseconds.
    pub took_us: u64,
    pub status: u16,
    /// Whole and of this request.
    pub valid: bool,
}

/// Steady clients, one to a proxy, each on a connection that it keeps.
pub struct Load {
    stop: Arc<AtomicBool>,
    states: Vec<Arc<ClientState>>,
    threads: Vec<JoinHandle<Vec<ClientRequest>>>,
}

struct ClientState {
    address: Mutex<SocketAddr>,
    paused: AtomicBool,
    idle: AtomicBool,
}

impl Load {
    /// Each client asks again so long after its last answer.
    pub fn start(fleet: &Fleet, pause: Duration) -> Load {
        let state = |p: &Proxy| ClientState {
            address: Mutex::new(p.address),
            paused: false.into(),
            idle: false.into(),
        };
        let states: Vec<_> = fleet.proxies.iter().map(|p| Arc::new(state(p))).collect();
        let stop: Arc<AtomicBool> = Arc::default();
        let client = |(n, state): (usize, &Arc<ClientState>)| {
            let (state, stop) = (state.clone(), stop.clone());
            std::thread::spawn(move || Load::client(n, &state, &stop, pause))
        };
        let threads = states.iter().enumerate().map(client).collect();
        Load {
            stop,
            states,
            threads,
        }
    }

    fn client(
        proxy: usize,
        state: &ClientState,
        stop: &AtomicBool,
        pause: Duration,
    ) -> Vec<ClientRequest> {
        let (mut asked, mut client) = (Vec::new(), None);
        while !stop.load(Ordering::SeqCst) {
            let paused = state.paused.load(Ordering::SeqCst);
            state.idle.store(paused, Ordering::SeqCst);
            if paused {
                client = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let is_pay = asked.len() % 2 == 1;
            let request = if is_pay {
                pay_request(3.0)
            } else {
                read_request(3.0)
            };
            let id = request
                .split("X-Correlation-Id: ")
                .nth(1)
                .and_then(|r| r.split('\r').next())
                .unwrap();
            let started_us = monotonic_us();
            let mut at = client
                .take()
                .unwrap_or_else(|| Client::connect(*state.address.lock().unwrap()));
            let sent = at.0.get_mut().write_all(request.as_bytes()).is_ok();
            let answer = sent.then(|| at.response()).flatten();
            let took_us = monotonic_us() - started_us;
            let (status, body) = answer
                .as_ref()
                .map_or((0, &[][..]), |a| (a.status(), &a.body));
            let valid = std::str::from_utf8(body).is_ok_and(|b| b.split(' ').nth(1) == Some(id));
            asked.push(ClientRequest {
                proxy,
                id: id.into(),
                is_pay,
                started_us,
                took_us,
                status,
                valid,
            });
            client = (status != 0).then_some(at);
            std::thread::sleep(pause);
        }
        asked
    }

    /// Takes its clients away from these, as the front does before a proxy goes; returns once nothing of theirs is out.
    pub fn pause(&self, of: &[usize]) {
        of.iter()
            .for_each(|n| self.states[*n].paused.store(true, Ordering::SeqCst));
        let begun = Instant::now();
        while of
            .iter()
            .any(|n| !self.states[*n].idle.load(Ordering::SeqCst))
        {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "a client never had its answer"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Gives them back, wherever the proxies listen now.
    pub fn resume(&self, fleet: &Fleet, of: &[usize]) {
        for n in of {
            fleet.proxies[*n].wait_until_serving();
            *self.states[*n].address.lock().unwrap() = fleet.proxies[*n].address;
            self.states[*n].paused.store(false, Ordering::SeqCst);
        }
    }

    /// Ends it; all that was asked.
    pub fn stop(self) -> Vec<ClientRequest> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .flat_map(|t| t.join().unwrap())
            .collect()
    }
}

/// A span in which nothing that a client began may reach a backend.
#[derive(Clone, Debug)]
pub struct DrainedPeriod {
    pub backend: String,
    pub from: u64,
    pub to: u64,
}

/// What is known of a request: when it came to which backend and was answered there, and what its proxy said of backends.
fn describe_request(asked: &ClientRequest, fleet: &Fleet, backends: &[RecordingBackend]) -> String {
    let mut told = vec![format!("{asked:?}")];
    for backend in backends {
        let of = |times: &Mutex<Vec<(String, u64)>>| {
            let times = times.lock().unwrap();
            times
                .iter()
                .filter(|(id, _)| *id == asked.id)
                .map(|(_, at)| *at)
                .collect::<Vec<_>>()
        };
        let (came, answered) = (of(&backend.received), of(&backend.answered));
        if !came.is_empty() {
            told.push(format!(
                "came to {} at {came:?}, answered at {answered:?}",
                backend.name
            ));
        }
    }
    let incarnations = fleet
        .incarnations()
        .into_iter()
        .filter(|incarnation| incarnation.proxy == asked.proxy);
    let words = [
        "ejected",
        "readmitted",
        "is back",
        "window_out",
        "window_back",
        "stopping",
        "report",
    ];
    for incarnation in incarnations {
        let said = |line: &&str| words.iter().any(|word| line.contains(word));
        told.extend(
            incarnation
                .log
                .lines()
                .filter(said)
                .map(|line| format!("its proxy: {line}")),
        );
    }
    told.push(format!("now {}, {:?}", monotonic_us(), SystemTime::now()));
    told.join("\n  ")
}

/// What must hold whatever went on: every client was answered by a backend for its own request, nothing that may run
/// once ran twice, nothing begun in a shut span reached that backend, one holder at a time. Says how many were sent.
pub fn check_fleet_run(
    name: &str,
    fleet: &Fleet,
    backends: &[RecordingBackend],
    asked: &[ClientRequest],
    shut: &[DrainedPeriod],
) {
    let failed: Vec<_> = asked
        .iter()
        .filter(|a| a.status != 200 || !a.valid)
        .collect();
    let told: Vec<String> = failed
        .iter()
        .take(5)
        .map(|a| describe_request(a, fleet, backends))
        .collect();
    assert!(
        failed.is_empty(),
        "{} clients failed: {}",
        failed.len(),
        told.join("\n")
    );
    let by_id: HashMap<&str, &ClientRequest> = asked.iter().map(|a| (a.id.as_str(), a)).collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    let mut late = Vec::new();
    for backend in backends {
        for (id, at) in backend.received.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
            let Some(asked) = by_id.get(id.as_str()) else {
                continue;
            };
            let hit = |s: &&DrainedPeriod| {
                s.backend == backend.name && s.from < asked.started_us && asked.started_us < s.to
            };
            if let Some(shut) = shut.iter().find(hit) {
                let begun = asked.started_us as f64 / 1e6;
                late.push(format!(
                    "proxy {} {begun} (arrived {at}) in {shut:?}",
                    asked.proxy
                ));
            }
        }
    }
    let ran = |a: &ClientRequest| runs.get(&a.id).copied().unwrap_or(0);
    let lost = asked.iter().filter(|a| ran(a) == 0).count();
    let doubled = asked.iter().filter(|a| a.is_pay && ran(a) > 1).count();
    eprintln!(
        "{name}: sent {}, failed 0, lost {lost}, doubled {doubled}, to a drained backend {}",
        asked.len(),
        late.len()
    );
    assert!(
        asked.len() > 100,
        "too few to prove anything: {}",
        asked.len()
    );
    assert_eq!((lost, doubled), (0, 0));
    assert!(
        late.is_empty(),
        "{} reached a drained backend: {:?}",
        late.len(),
        &late[..late.len().min(5)]
    );
    let wrong = lease_history::lease_violations(&fleet.incarnations());
    assert!(wrong.is_empty(), "{wrong:#?}");
}
