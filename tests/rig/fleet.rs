//! A fleet of real proxies that share state, with faults between them: its backends, its clients, and what has to hold
//! over all that these recorded.

use super::faults::Faults;
use super::holdings::{self, Incarnation};
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
pub fn mono_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// What that clock says at a wall time in microseconds.
///
/// A pause between the two readings makes it too early, never too late.
pub fn mono_at(wall_us: u64) -> u64 {
    let mono = mono_us();
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_micros() as u64;
    (mono + wall_us).saturating_sub(wall)
}

/// What `GET /peers` answers, as far as the tests ask.
pub struct Status(pub serde_json::Value);

impl Status {
    pub fn of(proxy: &Proxy) -> Status {
        Status(
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
const AT_A_TIME: usize = 4;

static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A fleet's turn to run.
struct Turn;

impl Turn {
    fn wait() -> Turn {
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| *running >= AT_A_TIME;
        *RUNNING
            .1
            .wait_while(running, full)
            .unwrap_or_else(PoisonError::into_inner) += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}

pub struct Fleet {
    pub faults: Faults,
    pub proxies: Vec<Proxy>,
    /// When the process in that place was killed.
    killed: HashMap<usize, u64>,
    /// Killed ones that have another in their place.
    past: Vec<(usize, Proxy, u64)>,
    shape: Shape,
    /// Given back last, once all processes are gone.
    _turn: Turn,
}

/// What all its proxies are started with.
#[derive(Clone, Default)]
pub struct Shape {
    pub size: usize,
    pub seed: u64,
    pub known: Vec<String>,
    pub variables: Vec<(&'static str, String)>,
    /// Of the members, the first so many are voters; with none there are no duties.
    pub voters: usize,
    pub lease_ms: u64,
    pub floor: f64,
    /// How long facts are used, and how long a proxy that hears of no holder goes by what it last heard.
    pub max_age_s: f64,
    /// More keys of the file, each with a comma before it.
    pub more: String,
}

impl Shape {
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
            &self.known,
            &settings,
            &(peers + &duties + &self.more),
            &variables,
        );
        faults.started(n, &proxy.startup_log);
        proxy
    }
}

impl Fleet {
    pub fn new(
        size: usize,
        seed: u64,
        known: &[String],
        variables: &[(&'static str, String)],
    ) -> Fleet {
        let (known, variables) = (known.to_vec(), variables.to_vec());
        Fleet::of(Shape {
            size,
            seed,
            known,
            variables,
            ..Shape::default()
        })
    }

    pub fn of(shape: Shape) -> Fleet {
        let turn = Turn::wait();
        let faults = Faults::new(shape.size, shape.seed);
        let proxies = (0..shape.size).map(|n| shape.start(&faults, n)).collect();
        Fleet {
            faults,
            proxies,
            killed: HashMap::new(),
            past: Vec::new(),
            shape,
            _turn: turn,
        }
    }

    /// Waits until each of these sees so many others; how long that took.
    pub fn until(&self, of: &[usize], others: usize) -> Duration {
        let begun = Instant::now();
        while of
            .iter()
            .any(|n| Status::of(&self.proxies[*n]).members() != others)
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
    pub fn write_more(&mut self, more: String) {
        self.shape.more = more;
    }

    /// A new process under the name and address of number `n`, with nothing in its memory. Where its turn has come
    /// after a truncation, it is the next.
    pub fn restart(&mut self, n: usize) {
        let proxy = self.shape.start(&self.faults, n);
        if n == self.proxies.len() {
            self.proxies.push(proxy);
            return;
        }
        let before = std::mem::replace(&mut self.proxies[n], proxy);
        let killed = self.killed.remove(&n).expect("killed before");
        self.past.push((n, before, killed));
    }

    /// SIGKILL for all of these at once; their logs are kept.
    pub fn kill(&mut self, of: &[usize]) {
        of.iter().for_each(|n| drop(self.proxies[*n].child.kill()));
        of.iter().for_each(|n| drop(self.proxies[*n].child.wait()));
        self.killed.extend(of.iter().map(|n| (*n, mono_us())));
    }

    /// SIGTERM; returns once the process has ended, with the time.
    pub fn end(&mut self, n: usize) -> u64 {
        self.proxies[n].terminate();
        let _ = self.proxies[n].child.wait();
        let at = mono_us();
        self.killed.insert(n, at);
        at
    }

    /// Those whose process lives.
    pub fn live(&self) -> Vec<usize> {
        (0..self.proxies.len())
            .filter(|n| !self.killed.contains_key(n))
            .collect()
    }

    /// All that the present process of number `n` logged.
    pub fn log(&self, n: usize) -> String {
        log(&self.proxies[n])
    }

    /// Every process that ever was.
    pub fn lives(&self) -> Vec<Incarnation> {
        let past = self.past.iter().map(|(n, p, at)| Incarnation {
            proxy: *n,
            log: log(p),
            killed: Some(*at),
        });
        let now = self.proxies.iter().enumerate();
        let now = now.map(|(n, p)| Incarnation {
            proxy: n,
            log: log(p),
            killed: self.killed.get(&n).copied(),
        });
        past.chain(now).collect()
    }

    /// Waits until `done` says so.
    pub fn wait<T>(&self, what: &str, done: impl Fn(&Fleet) -> Option<T>) -> T {
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
    pub fn holder(&self, but: &[usize]) -> (usize, holdings::Token) {
        self.wait("a holder", |fleet| {
            let all = holdings::holdings(&fleet.lives());
            let now = all
                .iter()
                .rfind(|h| h.to == u64::MAX && !but.contains(&h.proxy));
            now.map(|h| (h.proxy, h.token.clone()))
        })
    }

    /// Puts a window at a proxy's door: it begins in so many seconds and lasts so many.
    pub fn put(
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
        let answer = self.call(at, &format!("PUT /windows/{id}"), &body);
        assert!(answer.status() / 100 == 2, "{answer:?}");
        let ids = ids.iter().map(ToString::to_string).collect();
        Window {
            id: id.into(),
            ids,
            begin: mono_at(begin),
            end: mono_at(end),
        }
    }

    /// What holders decided of a window, over all processes, in the order of time.
    pub fn steps(&self, window: &str) -> Vec<Decided> {
        let mut all = Vec::new();
        for life in self.lives() {
            let own = |l: &&str| holdings::field(l, "window") == Some(window);
            all.extend(
                holdings::events(&life.log, "window")
                    .filter(own)
                    .map(|line| Decided {
                        proxy: life.proxy,
                        to: holdings::field(line, "to").unwrap_or_default().into(),
                        at: holdings::number(line, "mono_us").expect("a time"),
                        token: holdings::token(line).expect("a token"),
                    }),
            );
        }
        all.sort_by_key(|d| d.at);
        all
    }

    /// Waits until a holder decided that step; which came first.
    pub fn stepped(&self, window: &str, to: &str) -> Decided {
        let what = format!("{window} to be {to}");
        self.wait(&what, |fleet| {
            fleet.steps(window).into_iter().find(|d| d.to == to)
        })
    }

    /// Waits until the list of each of these has these windows.
    pub fn know(&self, of: &[usize], windows: &[&Window]) {
        self.wait("all to know the windows", |fleet| {
            let lists =
                |n: &usize, w: &Window| fleet.json(*n, "/windows").to_string().contains(&w.id);
            of.iter()
                .all(|n| windows.iter().all(|w| lists(n, w)))
                .then_some(())
        });
    }

    /// When the present process of a proxy took a backend out, and when it took it back.
    pub fn moves(&self, n: usize, backend: &str) -> (Vec<u64>, Vec<u64>) {
        let log = self.log(n);
        let of = |event: &str| {
            let own = |l: &&str| holdings::field(l, "backend") == Some(backend);
            let lines = holdings::events(&log, event).filter(own);
            lines
                .map(|l| holdings::number(l, "mono_us").expect("a time"))
                .collect()
        };
        (of("window_out"), of("window_back"))
    }

    /// Waits until each of these has taken a window's backends out and back, and sees that each was so once, and not
    /// back before the window's end.
    pub fn out_and_back_once(&self, of: &[usize], window: &Window) {
        for (n, backend) in of
            .iter()
            .flat_map(|n| window.ids.iter().map(move |b| (*n, b)))
        {
            let what = format!("proxy {n} to take {backend} back");
            self.wait(&what, |fleet| {
                (!fleet.moves(n, backend).1.is_empty()).then_some(())
            });
            let (out, back) = self.moves(n, backend);
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
    pub fn call(&self, n: usize, line: &str, body: &str) -> Message {
        let head = format!(
            "{line} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Client::connect(self.proxies[n].control_address.expect("a door")).request(&(head + body))
    }

    /// What a call answers, as JSON.
    pub fn json(&self, n: usize, path: &str) -> serde_json::Value {
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
    pub fn shut(&self, from: u64) -> Vec<Shut> {
        self.ids
            .iter()
            .map(|b| Shut {
                backend: b.clone(),
                from,
                to: self.end,
            })
            .collect()
    }
}

/// One step of a window, as its holder logged it.
#[derive(Clone, Debug)]
pub struct Decided {
    pub proxy: usize,
    pub to: String,
    pub at: u64,
    pub token: holdings::Token,
}

fn log(proxy: &Proxy) -> String {
    proxy.startup_log.clone() + &proxy.log_lines("").join("\n")
}

/// A backend that writes down every request, with its time, and says in its answer who it is and what was asked.
pub struct Recorder {
    pub name: String,
    pub address: SocketAddr,
    /// Correlation id and time.
    pub seen: Arc<Mutex<Vec<(String, u64)>>>,
    /// The same of each answer, once it was written.
    answered: Arc<Mutex<Vec<(String, u64)>>>,
    dead: Arc<AtomicBool>,
}

impl Recorder {
    pub fn start(name: &str) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, answered, dead): (Arc<Mutex<Vec<_>>>, Arc<Mutex<Vec<_>>>, Arc<AtomicBool>) =
            Default::default();
        let (record, wrote, gone, own) = (
            seen.clone(),
            answered.clone(),
            dead.clone(),
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
                        record.lock().unwrap().push((id.clone(), mono_us()));
                        let last = gone.load(Ordering::SeqCst);
                        let close = if last { "Connection: close\r\n" } else { "" };
                        let length = body.len();
                        let head =
                            format!("HTTP/1.1 200 OK\r\n{close}Content-Length: {length}\r\n\r\n");
                        if tcp.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                        wrote.lock().unwrap().push((id, mono_us()));
                        if last {
                            return;
                        }
                    }
                });
            }
        });
        Recorder {
            name: name.into(),
            address,
            seen,
            answered,
            dead,
        }
    }

    /// A whole kind of them, `b0` and on, and the list's entries.
    pub fn several(count: usize) -> (Vec<Recorder>, Vec<String>) {
        let all: Vec<Recorder> = (0..count)
            .map(|n| Recorder::start(&format!("b{n}")))
            .collect();
        let known = all
            .iter()
            .map(|b| entry(&b.name, b.address, "SERVING"))
            .collect();
        (all, known)
    }

    /// From now on connections are refused; one that is open is closed with its next answer, so that nothing that
    /// may run once is cut off half-way.
    pub fn die(&self) {
        self.dead.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address)); // wakes the one that accepts
    }
}

/// A client's request and what came of it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub proxy: usize,
    pub id: String,
    /// Not safe to repeat.
    pub once: bool,
    pub begun: u64,
    /// Until its answer was whole, in microseconds.
    pub took: u64,
    pub status: u16,
    /// Whole and of this request.
    pub own: bool,
}

/// Steady clients, one to a proxy, each on a connection that it keeps.
pub struct Load {
    stop: Arc<AtomicBool>,
    places: Vec<Arc<Place>>,
    threads: Vec<JoinHandle<Vec<Asked>>>,
}

struct Place {
    at: Mutex<SocketAddr>,
    away: AtomicBool,
    idle: AtomicBool,
}

impl Load {
    /// Each client asks again so long after its last answer.
    pub fn start(fleet: &Fleet, pause: Duration) -> Load {
        let place = |p: &Proxy| Place {
            at: Mutex::new(p.address),
            away: false.into(),
            idle: false.into(),
        };
        let places: Vec<_> = fleet.proxies.iter().map(|p| Arc::new(place(p))).collect();
        let stop: Arc<AtomicBool> = Arc::default();
        let client = |(n, place): (usize, &Arc<Place>)| {
            let (place, stop) = (place.clone(), stop.clone());
            std::thread::spawn(move || Load::client(n, &place, &stop, pause))
        };
        let threads = places.iter().enumerate().map(client).collect();
        Load {
            stop,
            places,
            threads,
        }
    }

    fn client(proxy: usize, place: &Place, stop: &AtomicBool, pause: Duration) -> Vec<Asked> {
        let (mut asked, mut client) = (Vec::new(), None);
        while !stop.load(Ordering::SeqCst) {
            let away = place.away.load(Ordering::SeqCst);
            place.idle.store(away, Ordering::SeqCst);
            if away {
                client = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let once = asked.len() % 2 == 1;
            let request = if once {
                pay_request(3.0)
            } else {
                read_request(3.0)
            };
            let id = request
                .split("X-Correlation-Id: ")
                .nth(1)
                .and_then(|r| r.split('\r').next())
                .unwrap();
            let begun = mono_us();
            let mut at = client
                .take()
                .unwrap_or_else(|| Client::connect(*place.at.lock().unwrap()));
            let sent = at.0.get_mut().write_all(request.as_bytes()).is_ok();
            let answer = sent.then(|| at.response()).flatten();
            let took = mono_us() - begun;
            let (status, body) = answer
                .as_ref()
                .map_or((0, &[][..]), |a| (a.status(), &a.body));
            let own = std::str::from_utf8(body).is_ok_and(|b| b.split(' ').nth(1) == Some(id));
            asked.push(Asked {
                proxy,
                id: id.into(),
                once,
                begun,
                took,
                status,
                own,
            });
            client = (status != 0).then_some(at);
            std::thread::sleep(pause);
        }
        asked
    }

    /// Takes its clients away from these, as the front does before a proxy goes; returns once nothing of theirs is out.
    pub fn away(&self, of: &[usize]) {
        of.iter()
            .for_each(|n| self.places[*n].away.store(true, Ordering::SeqCst));
        let begun = Instant::now();
        while of
            .iter()
            .any(|n| !self.places[*n].idle.load(Ordering::SeqCst))
        {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "a client never had its answer"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Gives them back, wherever the proxies listen now.
    pub fn back(&self, fleet: &Fleet, of: &[usize]) {
        for n in of {
            fleet.proxies[*n].wait_until_serving();
            *self.places[*n].at.lock().unwrap() = fleet.proxies[*n].address;
            self.places[*n].away.store(false, Ordering::SeqCst);
        }
    }

    /// Ends it; all that was asked.
    pub fn end(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .flat_map(|t| t.join().unwrap())
            .collect()
    }
}

/// A span in which nothing that a client began may reach a backend.
#[derive(Clone, Debug)]
pub struct Shut {
    pub backend: String,
    pub from: u64,
    pub to: u64,
}

/// What is known of a request: when it came to which backend and was answered there, and what its proxy said of backends.
fn story(asked: &Asked, fleet: &Fleet, backends: &[Recorder]) -> String {
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
        let (came, answered) = (of(&backend.seen), of(&backend.answered));
        if !came.is_empty() {
            told.push(format!(
                "came to {} at {came:?}, answered at {answered:?}",
                backend.name
            ));
        }
    }
    let lives = fleet
        .lives()
        .into_iter()
        .filter(|life| life.proxy == asked.proxy);
    let words = [
        "ejected",
        "readmitted",
        "is back",
        "window_out",
        "window_back",
        "stopping",
        "report",
    ];
    for life in lives {
        let said = |line: &&str| words.iter().any(|word| line.contains(word));
        told.extend(
            life.log
                .lines()
                .filter(said)
                .map(|line| format!("its proxy: {line}")),
        );
    }
    told.push(format!("now {}, {:?}", mono_us(), SystemTime::now()));
    told.join("\n  ")
}

/// What must hold whatever went on: every client was answered by a backend for its own request, nothing that may run
/// once ran twice, nothing begun in a shut span reached that backend, one holder at a time. Says how many were sent.
pub fn check(name: &str, fleet: &Fleet, backends: &[Recorder], asked: &[Asked], shut: &[Shut]) {
    let failed: Vec<_> = asked.iter().filter(|a| a.status != 200 || !a.own).collect();
    let told: Vec<String> = failed
        .iter()
        .take(5)
        .map(|a| story(a, fleet, backends))
        .collect();
    assert!(
        failed.is_empty(),
        "{} clients failed: {}",
        failed.len(),
        told.join("\n")
    );
    let by_id: HashMap<&str, &Asked> = asked.iter().map(|a| (a.id.as_str(), a)).collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    let mut late = Vec::new();
    for backend in backends {
        for (id, at) in backend.seen.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
            let Some(asked) = by_id.get(id.as_str()) else {
                continue;
            };
            let hit =
                |s: &&Shut| s.backend == backend.name && s.from < asked.begun && asked.begun < s.to;
            if let Some(shut) = shut.iter().find(hit) {
                let begun = asked.begun as f64 / 1e6;
                late.push(format!(
                    "proxy {} {begun} (arrived {at}) in {shut:?}",
                    asked.proxy
                ));
            }
        }
    }
    let ran = |a: &Asked| runs.get(&a.id).copied().unwrap_or(0);
    let lost = asked.iter().filter(|a| ran(a) == 0).count();
    let doubled = asked.iter().filter(|a| a.once && ran(a) > 1).count();
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
    let wrong = holdings::contradictions(&fleet.lives());
    assert!(wrong.is_empty(), "{wrong:#?}");
}
