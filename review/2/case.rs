//! Two of twelve backends hang for 12 s while clients send it long bodies. Each request whose last byte its client has written has
//! to get its final answer at the latest half a second after its time.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PROXIES: u32 = 3;
const BACKENDS: usize = 12;
/// Backends that hang at a time: two of twelve, within the 17% of the page.
const HANGING: usize = 2;
/// The hang: inside the 8.8 to 26 s of the page.
const HANGS_BEGIN_S: [f64; 2] = [6.0, 24.0];
const HANG_LASTS_S: f64 = 12.0;
/// When clients send their last request.
const TRAFFIC_ENDS_S: f64 = 38.0;
/// The time of a `submit`, as the settings have it.
const SUBMIT_TIME_S: f64 = 3.0;
/// How long after its time a final answer still counts: half a second, and 50 ms for time limits on sockets.
const GRACE_S: f64 = 0.55;
/// A backend's pause between two reads of a long body.
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Lengths of bodies in bytes, all within the 32 MB of the page.
const LENGTHS: [usize; 6] = [
    5_000_000, 5_500_000, 6_000_000, 6_500_000, 7_000_000, 8_000_000,
];

/// Whether the hanging backends stand still.
#[derive(Clone, Default)]
struct Hang(Arc<(Mutex<bool>, Condvar)>);

impl Hang {
    fn set(&self, hangs: bool) {
        *self.0 .0.lock().unwrap() = hangs;
        self.0 .1.notify_all();
    }
    /// Returns once the backend does not hang.
    fn pass(&self) {
        let _unused = self
            .0
             .1
            .wait_while(self.0 .0.lock().unwrap(), |hangs| *hangs)
            .unwrap();
    }
}

/// Reads from a connection of a backend that may hang: nothing is read meanwhile.
struct HangingReader(TcpStream, Hang);

impl std::io::Read for HangingReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.1.pass();
        let limit = buffer.len().min(65_536);
        let read = self.0.read(&mut buffer[..limit])?;
        if read > 16_384 {
            std::thread::sleep(READ_PAUSE); // as fast as a network of some 260 Mbit/s
        }
        Ok(read)
    }
}

fn backend(name: &str, record: &Record, runs: &Runs, hang: &Hang) -> Backend {
    let (label, record, runs, hang) =
        (name.to_string(), record.clone(), runs.clone(), hang.clone());
    Backend::start(name, move |connection| {
        let mut tcp = connection.tcp;
        let mut reader = BufReader::with_capacity(
            65_536,
            HangingReader(tcp.try_clone().unwrap(), hang.clone()),
        );
        while let Some(request) = Message::read(&mut reader) {
            note_run(&label, &record, &runs, &request);
            std::thread::sleep(Duration::from_millis(if request.start.starts_with("GET") {
                60
            } else {
                120
            }));
            hang.pass();
            let id = request.header("x-correlation-id").unwrap_or("");
            if tcp
                .write_all(response(200, "", &answer_for(id)).as_bytes())
                .is_err()
            {
                return;
            }
        }
    })
}

/// A `submit` whose last byte was written, and how it ended.
struct Submit {
    id: String,
    length: usize,
    written_at: f64,
    /// Seconds from its last byte to its end; `None` if there was none when the run ended.
    ended_after: f64,
    end: End,
}

/// Sends one `submit` on a new connection. `None` if its last byte could not be written.
fn submit(record: &Record, to: SocketAddr, length: usize, body: &[u8]) -> Option<Submit> {
    let id = new_id();
    let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = tcp.set_nodelay(true);
    let _ = tcp.set_write_timeout(Some(Duration::from_secs(20)));
    let head = format!(
        "POST /submit/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Account: harbourline\r\nX-Time-Left: {SUBMIT_TIME_S:.3}\r\nContent-Length: {length}\r\n\r\n"
    );
    record.line(format!("client: sends {id} POST /submit, {length} bytes"));
    let written = tcp
        .write_all(head.as_bytes())
        .and_then(|()| tcp.write_all(&body[..length]));
    if let Err(error) = written {
        record.line(format!("client: {id} last byte not written: {error}"));
        return None;
    }
    let (written_at, at) = (record.now(), Instant::now());
    record.line(format!("client: {id} last byte written"));
    // It goes on waiting after its time, to see when the answer comes.
    let _ = tcp.set_read_timeout(Some(Duration::from_secs(14)));
    let answer = Message::read(&mut BufReader::new(tcp));
    let ended_after = at.elapsed().as_secs_f64();
    let end = answer.map_or(End::Closed, End::Answered);
    record.line(format!(
        "client: {id} ended {ended_after:.3} s after its last byte: status {}",
        end.status()
    ));
    Some(Submit {
        id,
        length,
        written_at,
        ended_after,
        end,
    })
}

fn main() {
    guard();
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = Record::create(&folder);
    let runs = Runs::default();
    let hangs: Vec<Hang> = HANGS_BEGIN_S.iter().map(|_| Hang::default()).collect();
    let sound = Hang::default();
    let kinds = ["fast-8", "mid-7", "slow-8"];
    let zones = ["ikeja", "lekki", "apapa"];
    let mut entries = Vec::new();
    for n in 0..BACKENDS {
        let backend = backend(
            &format!("s-{n}"),
            &record,
            &runs,
            hangs.get(n / HANGING).unwrap_or(&sound),
        );
        entries.push(backend.entry(zones[n / 4], kinds[n % 3]));
    }
    let discovery = Discovery::start(&record, &entries);
    let temporary = temporary_folder();
    let mut proxies = Vec::new();
    for n in 0..PROXIES {
        proxies.push(Proxy::start(
            &record,
            &ProxyOptions {
                name: format!("n{n}"),
                listen: free_address(),
                control: None,
                discovery: discovery.address,
                known: list_json(41, true, &entries),
                settings: settings(PROXIES, n),
                tmpdir: temporary.join(format!("tmp-{n}")),
            },
        ));
    }
    let ready = proxies.iter_mut().all(Proxy::wait_until_ready);
    if !ready {
        record.say("could not run: a proxy is not ready");
        drop(proxies);
        std::process::exit(COULD_NOT_RUN);
    }
    let begun = Instant::now();
    let elapsed = move || begun.elapsed().as_secs_f64();
    let stop = Arc::new(AtomicBool::new(false));
    let body: Arc<Vec<u8>> = Arc::new(vec![b'x'; *LENGTHS.iter().max().unwrap()]);
    let submits = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for (n, proxy) in proxies.iter().enumerate() {
        let to = proxy.address;
        for client in 0..2 {
            // Lookups, as the usual traffic beside.
            let (record, stop) = (record.clone(), stop.clone());
            threads.push(std::thread::spawn(move || {
                let mut connection = Client::new(to);
                while !stop.load(Ordering::SeqCst) {
                    connection.request(
                        &record,
                        "GET",
                        &format!("/lookup/{client}"),
                        &new_id(),
                        0.75,
                        "",
                    );
                    std::thread::sleep(Duration::from_millis(60));
                }
            }));
        }
        for client in 0..10 {
            let (record, stop, body, submits) =
                (record.clone(), stop.clone(), body.clone(), submits.clone());
            threads.push(std::thread::spawn(move || {
                let mut turn = n + client;
                while !stop.load(Ordering::SeqCst) {
                    turn += 1;
                    if let Some(done) = submit(&record, to, LENGTHS[turn % LENGTHS.len()], &body) {
                        submits.lock().unwrap().push(done);
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    let mut hung = [false; HANGS_BEGIN_S.len()];
    while elapsed() < TRAFFIC_ENDS_S {
        for (n, begins_s) in HANGS_BEGIN_S.into_iter().enumerate() {
            let stands = trouble() && (begins_s..begins_s + HANG_LASTS_S).contains(&elapsed());
            if stands != hung[n] {
                let (first, last) = (n * HANGING, n * HANGING + HANGING - 1);
                record.line(format!(
                    "backends s-{first} to s-{last}: {}",
                    if stands { "hang" } else { "go on" }
                ));
                hangs[n].set(stands);
                hung[n] = stands;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::SeqCst);
    for hang in &hangs {
        hang.set(false);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let alive = proxies
        .iter_mut()
        .all(|proxy| matches!(proxy.child.try_wait(), Ok(None)));
    drop(proxies);
    let submits = submits.lock().unwrap();
    let served = submits.iter().filter(|s| s.end.status() == 200).count();
    let lost: Vec<&Submit> = submits
        .iter()
        .filter(|s| s.ended_after > SUBMIT_TIME_S + GRACE_S)
        .collect();
    for s in &lost {
        record.say(format!(
            "lost: {} with {} bytes, last byte written at {:.3}, time {SUBMIT_TIME_S} s, ended after {:.3} s with status {}, runs {}",
            s.id, s.length, s.written_at, s.ended_after, s.end.status(), runs.of(&s.id).len()
        ));
    }
    let _ = std::fs::remove_dir_all(&temporary);
    record.say(format!(
        "{} submits written whole, {served} served, {} lost, proxies alive: {alive}",
        submits.len(),
        lost.len()
    ));
    if !alive || submits.len() < 50 || served < submits.len() / 2 {
        record.say(
            "could not run: a proxy ended, too few requests were served, or nothing was disrupted",
        );
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if lost.is_empty() { HELD } else { BROKEN });
}
