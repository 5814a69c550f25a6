//! Starts a fleet of real proxies that share state, with network faults between them, recording backends and steady
//! clients, and checks what these recorded.

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

/// Returns the time of the machine's monotonic clock in microseconds. All processes share this clock.
pub fn monotonic_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// Converts a wall time in microseconds to the monotonic clock.
///
/// If the thread is suspended between reading the two clocks, the result is too early, never too late.
pub fn monotonic_at_wall_time(wall_us: u64) -> u64 {
    let mono = monotonic_us();
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64;
    (mono + wall_us).saturating_sub(wall)
}

/// A proxy's answer to `GET /peers`.
pub struct PeersStatus(pub serde_json::Value);

impl PeersStatus {
    pub fn of(proxy: &Proxy) -> PeersStatus {
        PeersStatus(
            serde_json::from_slice(&proxy.control_request("GET /peers").body)
                .expect("JSON from the control address"),
        )
    }
    /// Returns the number of other proxies that this one knows.
    pub fn members(&self) -> usize {
        self.0["members"].as_array().unwrap().len()
    }
    /// Returns how many datagrams were rejected for this cause.
    pub fn refused(&self, cause: &str) -> u64 {
        self.0["refused"][cause].as_u64().unwrap_or(0)
    }
    /// Returns the counter of this name.
    pub fn count(&self, name: &str) -> u64 {
        self.0[name].as_u64().unwrap()
    }
}

/// Maximum number of fleets of one test program that run at a time. Nine fleets of five processes, with their backends and
/// relays as threads of the test program, stalled each other on eight cores, and a test backend that stands still for
/// seconds fails requests without a fault of the proxy.
const MAX_RUNNING_FLEETS: usize = 4;

/// Number of fleets that run.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Permission for a fleet to run, given back on drop.
struct FleetPermit;

impl FleetPermit {
    /// Waits until fewer than [`MAX_RUNNING_FLEETS`] fleets run.
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

/// Proxy processes that share state through the relays of [`Faults`].
pub struct Fleet {
    pub faults: Faults,
    pub proxies: Vec<Proxy>,
    /// When the present process of a proxy ended, by the proxy's number, on the monotonic clock in microseconds.
    ended_us: HashMap<usize, u64>,
    /// Ended processes that were replaced, with the proxy's number and the time of their end.
    replaced: Vec<(usize, Proxy, u64)>,
    options: FleetOptions,
    /// Last field, so that it is dropped after all processes are killed.
    _permit: FleetPermit,
}

/// Options with which all proxies of a fleet are started.
#[derive(Clone, Default)]
pub struct FleetOptions {
    /// Number of proxies.
    pub size: usize,
    /// Seed of the network faults.
    pub seed: u64,
    /// Entries of the endpoint list that each proxy is configured with.
    pub endpoints: Vec<String>,
    /// Environment variables.
    pub variables: Vec<(&'static str, String)>,
    /// Number of voters, which are the first proxies. With 0, the proxies have no duties.
    pub voters: usize,
    pub lease_ms: u64,
    /// Share of the capacity of a group of backends that maintenance windows must leave in use, from 0 to 1.
    pub floor: f64,
    /// Maximum age of shared facts, in seconds. A proxy that hears from no lease holder acts on its last decision for as
    /// long.
    pub max_age_s: f64,
    /// Additional keys of the configuration file, each after a comma.
    pub extra_config: String,
}

impl FleetOptions {
    /// Starts proxy number `n`. Its membership seeds are the voters, or the first proxy if there are none.
    fn start(&self, faults: &Faults, n: usize) -> Proxy {
        let group = format!(r#""position":{n},"group_size":{},"#, self.size);
        let mut settings = SETTINGS.replace(r#""position":0,"group_size":1,"#, &group);
        let relay_addresses = |count: usize| {
            (0..count)
                .map(|n| format!(r#""{}""#, faults.address(n)))
                .collect::<Vec<_>>()
        };
        let (own, seeds) = (
            faults.address(n),
            relay_addresses(self.voters.max(1)).join(","),
        );
        let (mut age, mut duties) = (String::new(), String::new());
        if self.voters > 0 {
            // A shorter slow start of readmitted backends keeps the tests short.
            settings = settings.replace(r#""ramp_time_us":9000000"#, r#""ramp_time_us":1500000"#);
            age = format!(r#","max_age_s":{:?}"#, self.max_age_s);
            let (voters, lease, floor) = (
                relay_addresses(self.voters).join(","),
                self.lease_ms,
                self.floor,
            );
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
    /// Starts a fleet without voters.
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

    /// Starts a fleet, once a permit is free.
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

    /// Waits until each of these proxies knows exactly `others` other members. Returns how long that took.
    pub fn wait_for_members(&self, proxies: &[usize], others: usize) -> Duration {
        let begun = Instant::now();
        while proxies
            .iter()
            .any(|n| PeersStatus::of(&self.proxies[*n]).members() != others)
        {
            assert!(
                begun.elapsed() < 3 * TEST_TIMEOUT,
                "not each of the proxies {proxies:?} knows {others} other members"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
        begun.elapsed()
    }

    /// Replaces the additional keys of the configuration file, for processes that start from now on.
    pub fn set_extra_config(&mut self, extra_config: String) {
        self.options.extra_config = extra_config;
    }

    /// Starts a new process with the name and address of proxy `n`, whose process was killed. If the list of proxies was
    /// truncated to length `n`, the new process is appended to it.
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

    /// Kills all of these proxies at once by SIGKILL. Their logs stay available.
    pub fn kill(&mut self, proxies: &[usize]) {
        proxies
            .iter()
            .for_each(|n| drop(self.proxies[*n].child.kill()));
        proxies
            .iter()
            .for_each(|n| drop(self.proxies[*n].child.wait()));
        self.ended_us
            .extend(proxies.iter().map(|n| (*n, monotonic_us())));
    }

    /// Sends SIGTERM to proxy `n`, waits until its process has ended, and returns that time in monotonic microseconds.
    pub fn terminate(&mut self, n: usize) -> u64 {
        self.proxies[n].terminate();
        let _ = self.proxies[n].child.wait();
        let at = monotonic_us();
        self.ended_us.insert(n, at);
        at
    }

    /// Returns the numbers of the proxies whose process runs.
    pub fn live(&self) -> Vec<usize> {
        (0..self.proxies.len())
            .filter(|n| !self.ended_us.contains_key(n))
            .collect()
    }

    /// Returns the log of the present process of proxy `n`.
    pub fn log(&self, n: usize) -> String {
        log(&self.proxies[n])
    }

    /// Returns all past and present processes of the fleet, with their logs.
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

    /// Waits until `done` returns a value, and returns it. `what` names it in the failure message.
    pub fn wait_for<T>(&self, what: &str, done: impl Fn(&Fleet) -> Option<T>) -> T {
        let begun = Instant::now();
        loop {
            if let Some(got) = done(self) {
                return got;
            }
            assert!(
                begun.elapsed() < 2 * TEST_TIMEOUT,
                "timed out waiting for {what}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a proxy other than those in `excluded` holds the duty `calendar`. Returns its number and its token.
    pub fn wait_for_holder(&self, excluded: &[usize]) -> (usize, lease_history::Token) {
        self.wait_for("a holder", |fleet| {
            let all = lease_history::calendar_holdings(&fleet.incarnations());
            let now = all
                .iter()
                .rfind(|h| h.to == u64::MAX && !excluded.contains(&h.proxy));
            now.map(|h| (h.proxy, h.token.clone()))
        })
    }

    /// Creates a maintenance window of the backends `ids` at a proxy. It begins in `begin_in` seconds and lasts `lasts`
    /// seconds.
    pub fn put_window(
        &self,
        proxy: usize,
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
        let answer = self.control_call(proxy, &format!("PUT /windows/{id}"), &body);
        assert!(answer.status() / 100 == 2, "{answer:?}");
        let ids = ids.iter().map(ToString::to_string).collect();
        Window {
            id: id.into(),
            ids,
            begin: monotonic_at_wall_time(begin),
            end: monotonic_at_wall_time(end),
        }
    }

    /// Returns all transitions of a window that the processes logged, ordered by time.
    pub fn transitions(&self, window: &str) -> Vec<Transition> {
        let mut all = Vec::new();
        for incarnation in self.incarnations() {
            let is_of_window = |l: &&str| lease_history::log_field(l, "window") == Some(window);
            all.extend(
                lease_history::event_lines(&incarnation.log, "window")
                    .filter(is_of_window)
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

    /// Waits until a window has made the transition to the state `to`, and returns the first such transition.
    pub fn wait_for_transition(&self, window: &str, to: &str) -> Transition {
        let what = format!("window {window} to be {to}");
        self.wait_for(&what, |fleet| {
            fleet.transitions(window).into_iter().find(|d| d.to == to)
        })
    }

    /// Waits until each of these proxies lists these windows.
    pub fn wait_until_listed(&self, proxies: &[usize], windows: &[&Window]) {
        self.wait_for("all proxies to list the windows", |fleet| {
            let lists = |n: &usize, w: &Window| {
                fleet
                    .control_json(*n, "/windows")
                    .to_string()
                    .contains(&w.id)
            };
            proxies
                .iter()
                .all(|n| windows.iter().all(|w| lists(n, w)))
                .then_some(())
        });
    }

    /// Returns the times at which the present process of proxy `n` took a backend out of use, and those at which it put it
    /// back into use, in monotonic microseconds.
    pub fn drain_times(&self, n: usize, backend: &str) -> (Vec<u64>, Vec<u64>) {
        let log = self.log(n);
        let times_of = |event: &str| {
            let is_of_backend = |l: &&str| lease_history::log_field(l, "backend") == Some(backend);
            let lines = lease_history::event_lines(&log, event).filter(is_of_backend);
            lines
                .map(|l| lease_history::number_field(l, "mono_us").expect("a time"))
                .collect()
        };
        (times_of("window_out"), times_of("window_back"))
    }

    /// Waits until each of these proxies has put each of the window's backends back into use. Checks that each was taken out
    /// of use and put back once, and was put back at most 20 ms before the window's end.
    pub fn check_single_maintenance(&self, proxies: &[usize], window: &Window) {
        for (n, backend) in proxies
            .iter()
            .flat_map(|n| window.ids.iter().map(move |b| (*n, b)))
        {
            let what = format!("proxy {n} to put {backend} back into use");
            self.wait_for(&what, |fleet| {
                (!fleet.drain_times(n, backend).1.is_empty()).then_some(())
            });
            let (out, back) = self.drain_times(n, backend);
            assert_eq!(
                (out.len(), back.len()),
                (1, 1),
                "proxy {n} took {backend} out of use at {out:?} and put it back at {back:?}"
            );
            let early = window.end.saturating_sub(back[0]);
            assert!(
                early < 20_000,
                "proxy {n} put {backend} back into use {early} us before the window's end"
            );
        }
    }

    /// Sends a request with a body to the control address of proxy `n`.
    pub fn control_call(&self, n: usize, line: &str, body: &str) -> Message {
        let head = format!(
            "{line} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Client::connect(self.proxies[n].control_address.expect("a control address"))
            .request(&(head + body))
    }

    /// Returns the JSON body of the answer to a GET request at the control address of proxy `n`.
    pub fn control_json(&self, n: usize, path: &str) -> serde_json::Value {
        serde_json::from_slice(&self.proxies[n].control_request(&format!("GET {path}")).body)
            .expect("JSON from the control address")
    }
}

/// A maintenance window as it was created, with its times in microseconds of the monotonic clock.
pub struct Window {
    pub id: String,
    /// Ids of its backends.
    pub ids: Vec<String>,
    pub begin: u64,
    pub end: u64,
}

impl Window {
    /// Returns the drained periods of the window's backends, from the time `from` to the window's end.
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

/// A transition of a window to the state `to`, as the lease holder logged it.
#[derive(Clone, Debug)]
pub struct Transition {
    pub proxy: usize,
    pub to: String,
    /// Microseconds of the monotonic clock.
    pub at: u64,
    pub token: lease_history::Token,
}

/// Returns all that a process logged.
fn log(proxy: &Proxy) -> String {
    proxy.startup_log.clone() + &proxy.log_lines("").join("\n")
}

/// A backend that records every request with its time. The body of its response is its name and the request's correlation
/// id.
pub struct RecordingBackend {
    pub name: String,
    pub address: SocketAddr,
    /// Correlation id of each request, and when it was received, in monotonic microseconds.
    pub received: Arc<Mutex<Vec<(String, u64)>>>,
    /// Correlation id of each request, and when its response was written, in monotonic microseconds.
    answered: Arc<Mutex<Vec<(String, u64)>>>,
    /// Connections are refused, and open ones closed after their next response.
    stopping: Arc<AtomicBool>,
}

impl RecordingBackend {
    /// Starts a backend on a port that the kernel picks.
    pub fn start(name: &str) -> RecordingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (received, answered, stopping): (
            Arc<Mutex<Vec<_>>>,
            Arc<Mutex<Vec<_>>>,
            Arc<AtomicBool>,
        ) = Default::default();
        let (requests, answers, stops, backend_name) = (
            received.clone(),
            answered.clone(),
            stopping.clone(),
            name.to_string(),
        );
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                if stops.load(Ordering::SeqCst) {
                    return;
                }
                let (requests, answers, stops, name) = (
                    requests.clone(),
                    answers.clone(),
                    stops.clone(),
                    backend_name.clone(),
                );
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let id = message
                            .header("x-correlation-id")
                            .unwrap_or_default()
                            .to_string();
                        let body = format!("{name} {id}");
                        requests.lock().unwrap().push((id.clone(), monotonic_us()));
                        let last = stops.load(Ordering::SeqCst);
                        let close = if last { "Connection: close\r\n" } else { "" };
                        let length = body.len();
                        let head =
                            format!("HTTP/1.1 200 OK\r\n{close}Content-Length: {length}\r\n\r\n");
                        if tcp.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                        answers.lock().unwrap().push((id, monotonic_us()));
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

    /// Starts `count` backends named `b0`, `b1` and so on, and returns them with their entries of the endpoint list.
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

    /// Refuses connections from now on. An open connection is closed after its next response, so that no request that must
    /// not be repeated is cut off.
    pub fn shut_down(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address)); // wakes the accepting thread
    }
}

/// A client's request and its outcome.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub proxy: usize,
    pub id: String,
    /// Whether it is a payment, which must not be repeated.
    pub is_pay: bool,
    /// When it was sent, in monotonic microseconds.
    pub started_us: u64,
    /// Time until the response was complete, in microseconds.
    pub took_us: u64,
    /// Status of the response, 0 if there was none.
    pub status: u16,
    /// Whether the response is complete and belongs to this request.
    pub valid: bool,
}

/// Steady clients, one per proxy, each on a connection that it reuses.
pub struct Load {
    stop: Arc<AtomicBool>,
    states: Vec<Arc<ClientState>>,
    threads: Vec<JoinHandle<Vec<ClientRequest>>>,
}

/// What a client thread shares with the test.
struct ClientState {
    address: Mutex<SocketAddr>,
    /// The client is to send nothing.
    paused: AtomicBool,
    /// The client is paused and waits for no response.
    idle: AtomicBool,
}

impl Load {
    /// Starts the clients. Each sends its next request `pause` after the previous response.
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

    /// Runs one client until `stop` is set, and returns its requests. Every second one is a payment.
    fn client(
        proxy: usize,
        state: &ClientState,
        stop: &AtomicBool,
        pause: Duration,
    ) -> Vec<ClientRequest> {
        let (mut requests, mut client) = (Vec::new(), None);
        while !stop.load(Ordering::SeqCst) {
            let paused = state.paused.load(Ordering::SeqCst);
            state.idle.store(paused, Ordering::SeqCst);
            if paused {
                client = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let is_pay = requests.len() % 2 == 1;
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
            let mut connection = client
                .take()
                .unwrap_or_else(|| Client::connect(*state.address.lock().unwrap()));
            let sent = connection.0.get_mut().write_all(request.as_bytes()).is_ok();
            let answer = sent.then(|| connection.response()).flatten();
            let took_us = monotonic_us() - started_us;
            let (status, body) = answer
                .as_ref()
                .map_or((0, &[][..]), |a| (a.status(), &a.body));
            let valid = std::str::from_utf8(body).is_ok_and(|b| b.split(' ').nth(1) == Some(id));
            requests.push(ClientRequest {
                proxy,
                id: id.into(),
                is_pay,
                started_us,
                took_us,
                status,
                valid,
            });
            client = (status != 0).then_some(connection);
            std::thread::sleep(pause);
        }
        requests
    }

    /// Pauses the clients of these proxies, as the layer in front of the proxies does before one is stopped. Returns once
    /// none of them waits for a response.
    pub fn pause(&self, proxies: &[usize]) {
        proxies
            .iter()
            .for_each(|n| self.states[*n].paused.store(true, Ordering::SeqCst));
        let begun = Instant::now();
        while proxies
            .iter()
            .any(|n| !self.states[*n].idle.load(Ordering::SeqCst))
        {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "a client of the proxies {proxies:?} still waits for a response"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Resumes the clients of these proxies, at the addresses on which the proxies listen now.
    pub fn resume(&self, fleet: &Fleet, proxies: &[usize]) {
        for n in proxies {
            fleet.proxies[*n].wait_until_serving();
            *self.states[*n].address.lock().unwrap() = fleet.proxies[*n].address;
            self.states[*n].paused.store(false, Ordering::SeqCst);
        }
    }

    /// Stops all clients, and returns their requests.
    pub fn stop(self) -> Vec<ClientRequest> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .flat_map(|t| t.join().unwrap())
            .collect()
    }
}

/// A period during which a client must not start a request that reaches the backend, in monotonic microseconds.
#[derive(Clone, Debug)]
pub struct DrainedPeriod {
    pub backend: String,
    pub from: u64,
    pub to: u64,
}

/// Describes a failed request: when it reached which backend and was answered there, and what its proxy logged about
/// backends.
fn describe_request(
    request: &ClientRequest,
    fleet: &Fleet,
    backends: &[RecordingBackend],
) -> String {
    let mut lines = vec![format!("{request:?}")];
    for backend in backends {
        let times_of_request = |times: &Mutex<Vec<(String, u64)>>| {
            let times = times.lock().unwrap();
            times
                .iter()
                .filter(|(id, _)| *id == request.id)
                .map(|(_, at)| *at)
                .collect::<Vec<_>>()
        };
        let (reached, answered) = (
            times_of_request(&backend.received),
            times_of_request(&backend.answered),
        );
        if !reached.is_empty() {
            lines.push(format!(
                "reached {} at {reached:?}, answered at {answered:?}",
                backend.name
            ));
        }
    }
    let incarnations = fleet
        .incarnations()
        .into_iter()
        .filter(|incarnation| incarnation.proxy == request.proxy);
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
        let is_relevant = |line: &&str| words.iter().any(|word| line.contains(word));
        lines.extend(
            incarnation
                .log
                .lines()
                .filter(is_relevant)
                .map(|line| format!("its proxy: {line}")),
        );
    }
    lines.push(format!("now {}, {:?}", monotonic_us(), SystemTime::now()));
    lines.join("\n  ")
}

/// Checks a run of a fleet, whatever faults occurred: every client got a backend's response to its own request, no payment
/// ran twice, no request that was started in a drained period reached that backend, and each duty had one holder at a time.
/// Prints how many requests were sent.
pub fn check_fleet_run(
    name: &str,
    fleet: &Fleet,
    backends: &[RecordingBackend],
    requests: &[ClientRequest],
    drained: &[DrainedPeriod],
) {
    let failed: Vec<_> = requests
        .iter()
        .filter(|a| a.status != 200 || !a.valid)
        .collect();
    let descriptions: Vec<String> = failed
        .iter()
        .take(5)
        .map(|a| describe_request(a, fleet, backends))
        .collect();
    assert!(
        failed.is_empty(),
        "{} requests failed: {}",
        failed.len(),
        descriptions.join("\n")
    );
    let by_id: HashMap<&str, &ClientRequest> =
        requests.iter().map(|a| (a.id.as_str(), a)).collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    let mut late = Vec::new();
    for backend in backends {
        for (id, at) in backend.received.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
            let Some(request) = by_id.get(id.as_str()) else {
                continue;
            };
            let covers_start = |s: &&DrainedPeriod| {
                s.backend == backend.name
                    && s.from < request.started_us
                    && request.started_us < s.to
            };
            if let Some(period) = drained.iter().find(covers_start) {
                let started_s = request.started_us as f64 / 1e6;
                late.push(format!(
                    "proxy {}, started at {started_s} s, arrived at {at} us, in {period:?}",
                    request.proxy
                ));
            }
        }
    }
    let ran = |a: &ClientRequest| runs.get(&a.id).copied().unwrap_or(0);
    let lost = requests.iter().filter(|a| ran(a) == 0).count();
    let repeated = requests.iter().filter(|a| a.is_pay && ran(a) > 1).count();
    eprintln!(
        "{name}: sent {}, failed 0, lost {lost}, repeated {repeated}, to a drained backend {}",
        requests.len(),
        late.len()
    );
    assert!(requests.len() > 100, "too few requests: {}", requests.len());
    assert_eq!((lost, repeated), (0, 0));
    assert!(
        late.is_empty(),
        "{} requests reached a drained backend: {:?}",
        late.len(),
        &late[..late.len().min(5)]
    );
    let violations = lease_history::lease_violations(&fleet.incarnations());
    assert!(violations.is_empty(), "{violations:#?}");
}
