//! Twenty real processes restarted at once, while discovery is down, slow or silent, snapshots are unfit and the old
//! processes are still there: each is ready long before it has to be.

mod rig;

use rig::snapshot_files::wait_for_first;
use rig::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FLEET: usize = 20;
/// Nine in ten have so long; here each has.
const READY: Duration = Duration::from_secs(10);

/// What a process says that finds its address in use.
const MET: &str = "is in use by another process, retrying";

/// One of the fleet: what is told to it at each start.
#[derive(Clone)]
struct Seat {
    listen: String,
    discovery: SocketAddr,
    known: Vec<String>,
    kept: PathBuf,
    settings: String,
}

impl Seat {
    fn start(&self) -> Proxy {
        let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
        let kept = ("NODE_SNAPSHOT", self.kept.to_str().unwrap().to_string());
        Proxy::with_addresses(
            &self.listen,
            self.discovery,
            &self.known,
            1024,
            &self.settings,
            &[tmp, kept],
        )
    }
}

/// All at once, and how long each took from its start to its first answer to the platform's question.
fn started(seats: &[Seat]) -> (Vec<Proxy>, Vec<Duration>) {
    let start = |seat: Seat| {
        move || {
            let begun = Instant::now();
            let proxy = seat.start();
            let ready = proxy.request("GET /-/ready HTTP/1.1\r\nHost: f\r\n\r\n");
            assert_eq!(ready.status(), 200);
            (proxy, begun.elapsed())
        }
    };
    let threads: Vec<_> = seats
        .iter()
        .cloned()
        .map(|seat| std::thread::spawn(start(seat)))
        .collect();
    threads.into_iter().map(|t| t.join().unwrap()).unzip()
}

/// Every second proxy knows no backend, as one that never had a list, beginning with the second.
fn seats(discovery: SocketAddr, backend: &BackendServer) -> Vec<Seat> {
    // Free ones, on an address of their own so that nobody else is given them meanwhile.
    let held: Vec<TcpListener> = (0..FLEET)
        .map(|_| TcpListener::bind("127.0.77.1:0").unwrap())
        .collect();
    let seat = |n: usize| Seat {
        listen: held[n].local_addr().unwrap().to_string(),
        discovery,
        known: (n % 2..1)
            .map(|_| entry("b0", backend.address, "SERVING"))
            .collect(),
        kept: create_temp_dir().join("kept"),
        settings: SETTINGS.into(),
    };
    (0..FLEET).map(seat).collect()
}

fn told(case: &str, mut took: Vec<Duration>) {
    took.sort();
    eprintln!("{case}: ready after {:?} to {:?}", took[0], took[FLEET - 1]);
    assert!(took[FLEET - 1] < READY, "{case}: {took:?}");
}

/// Until each one serves.
fn serving(proxies: &[Proxy]) {
    let end = Instant::now() + TEST_TIMEOUT;
    for proxy in proxies {
        while proxy.request(&read_request(3.0)).status() != 200 {
            assert!(Instant::now() < end, "a list that was told never counted");
        }
    }
}

fn backend() -> BackendServer {
    BackendServer::start(|_| ok("x"))
}

/// Killed outright while discovery refuses connections, with snapshots that are whole, cut, spoilt or from other
/// settings: ready at once, and serving once discovery is back in the middle of it.
#[test]
fn after_a_kill_with_discovery_down_and_unfit_snapshots_all_are_ready() {
    let (backend, down) = (backend(), RefusingPort::new());
    let mut seats = seats(down.address(), &backend);
    let (proxies, took) = started(&seats);
    told("first start", took);
    let files: Vec<PathBuf> = seats
        .iter()
        .map(|seat| wait_for_first(&seat.kept))
        .collect();
    drop(proxies); // SIGKILL
    for (n, (file, seat)) in files.iter().zip(&mut seats).enumerate() {
        let mut bytes = std::fs::read(file).unwrap();
        match n % 4 {
            0 => {}
            1 => bytes.truncate(bytes.len() / 2),
            2 => bytes.iter_mut().skip(14).for_each(|b| *b ^= 0x55),
            _ => seat.settings = SETTINGS.replace("\"quota_rps\":500.0", "\"quota_rps\":400.0"),
        }
        std::fs::write(file, bytes).unwrap();
    }
    let (proxies, took) = started(&seats);
    told("killed, discovery down", took);
    let causes = ["snapshot taken", "truncated", "checksum", "settings"];
    for (n, proxy) in proxies.iter().enumerate() {
        assert!(
            proxy.startup_log.contains(causes[n % 4]),
            "{}: {}",
            causes[n % 4],
            proxy.startup_log
        );
    }
    let served = |p: &&Proxy| p.request(&read_request(0.3)).status() == 200;
    assert_eq!(
        proxies.iter().filter(served).count(),
        FLEET / 2,
        "who knows a backend serves"
    );
    Overbooked::on(down.listen(), &backend, Duration::ZERO);
    serving(&proxies);
}

/// Discovery that takes calls in turn, each so long.
struct Overbooked;

impl Overbooked {
    fn on(listener: TcpListener, backend: &BackendServer, each: Duration) {
        let told = list(9, true, &[entry("b0", backend.address, "SERVING")]);
        let turn = Arc::new(Mutex::new(()));
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let (told, turn) = (told.clone(), turn.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(call) = Message::read(&mut reader) {
                        if call.start_line.contains("wait_ms=")
                            && !call.start_line.contains("wait_ms=0")
                        {
                            std::thread::sleep(Duration::from_secs(1)); // no news
                        }
                        let _one = turn.lock().unwrap();
                        std::thread::sleep(each);
                        let head =
                            format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n", told.len());
                        if tcp.write_all((head + &told).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
}

/// Killed outright while discovery has too many callers: ready at once, and told in the end.
#[test]
fn after_a_kill_with_discovery_overbooked_all_are_ready_and_told() {
    let backend = backend();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let seats = seats(listener.local_addr().unwrap(), &backend);
    Overbooked::on(listener, &backend, Duration::from_millis(100));
    let (proxies, _) = started(&seats);
    drop(proxies); // SIGKILL
    let (proxies, took) = started(&seats);
    told("killed, discovery overbooked", took);
    serving(&proxies);
}

/// Told to end with a request open, while discovery says nothing: each new process starts while the old one still
/// listens, is ready once that one does not, and the old one still answers.
#[test]
fn beside_old_processes_that_still_listen_all_are_ready() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let silent = DiscoveryServer::start();
    let mut seats = seats(silent.address, &backend);
    // The requests stay open for as long as the new processes may take to be ready, however slow the machine is.
    let long = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":30000000");
    seats.iter_mut().for_each(|seat| {
        (seat.known, seat.settings) = (vec![entry("b0", backend.address, "SERVING")], long.clone());
    });
    let listen: Vec<String> = seats
        .iter()
        .map(|seat| format!("{} is", seat.listen))
        .collect();
    let (mut old, _) = started(&seats);
    let mut open: Vec<Client> = old.iter().map(Proxy::client).collect();
    open.iter_mut()
        .for_each(|client| client.send(&pay_request(30.0)));
    open.iter().for_each(|_| drop(backend.next_request()));
    // Held, each listens until its new process has met it, whatever the machine does.
    old.iter().for_each(Proxy::suspend);
    old.iter().for_each(Proxy::terminate);
    let starting = std::thread::spawn(move || started(&seats));
    let own =
        |line: &&str| line.contains(MET) && listen.iter().any(|at| line.contains(at.as_str()));
    let end = Instant::now() + TEST_TIMEOUT;
    while STARTUP_LOGS.lock().unwrap().lines().filter(own).count() < FLEET {
        assert!(
            Instant::now() < end,
            "not every new process met its old one"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    old.iter().for_each(Proxy::resume);
    let (new, took) = starting.join().unwrap();
    told("told to end, discovery silent", took);
    assert!(
        new.iter().all(|p| p.startup_log.matches(MET).count() == 1),
        "it says so once"
    );
    gate.open();
    for (client, old) in open.iter_mut().zip(&mut old) {
        assert_eq!(
            client.response().expect("the answer that was owed").body,
            b"gated"
        );
        assert!(old.child.wait().unwrap().success());
    }
}

/// An address that another program keeps: one line at once, one when the start gives up, and its end told by the exit.
#[test]
fn an_address_that_stays_in_use_ends_the_start() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap().to_string();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let begun = Instant::now();
    let out = proxy_command(Some(&told_to_listen(&at, nowhere)))
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && begun.elapsed() < READY, "{text}");
    assert_eq!(text.matches("retrying").count(), 1, "{text}");
    assert!(
        text.contains(&format!("cannot listen on {at}")) && !text.contains("panicked"),
        "{text}"
    );
}

fn told_to_listen(at: &str, discovery: SocketAddr) -> String {
    rig::config_json(at, discovery, 1024, &[], SETTINGS)
}
