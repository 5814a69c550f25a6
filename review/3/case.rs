//! An operator takes a backend out at every proxy while it has crashed, so that it is not in the list just then.
//! From one second after the calls, and the grace, nothing new may go to it.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PROXIES: u32 = 3;
const BACKENDS: usize = 9;
const CLIENTS: usize = 8;
/// The page's second after a call, the grace of `rules.stop_sending_within_us`, and 50 ms for time limits on sockets.
const BOUND_S: f64 = 1.0 + 0.5 + 0.05;

/// A backend that can crash and start again at its address.
#[derive(Clone, Default)]
struct Crash {
    down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Crash {
    fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        for tcp in self.connections.lock().unwrap().drain(..) {
            let _ = tcp.shutdown(Shutdown::Both);
        }
    }

    fn start_again(&self) {
        self.down.store(false, Ordering::SeqCst);
    }

    fn backend(&self, name: &str, record: &Record, runs: &Runs) -> Backend {
        let (label, record, runs, crash) =
            (name.to_string(), record.clone(), runs.clone(), self.clone());
        Backend::start(name, move |mut connection| {
            if let Ok(tcp) = connection.tcp.try_clone() {
                crash.connections.lock().unwrap().push(tcp);
            }
            // While it is down a connection ends before anything is read.
            while !crash.down.load(Ordering::SeqCst) {
                let Some(request) = Message::read(&mut connection.reader) else {
                    return;
                };
                note_run(&label, &record, &runs, &request);
                std::thread::sleep(Duration::from_millis(40));
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
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn main() {
    guard();
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = Record::create(&folder);
    let runs = Runs::default();
    let kinds = ["fast-8", "mid-7", "slow-8"];
    let zones = ["ikeja", "lekki", "apapa"];
    let mut entries = Vec::new();
    let crash = Crash::default();
    for n in 0..BACKENDS {
        let name = format!("s-{n}");
        let backend = match n {
            0 => crash.backend(&name, &record, &runs),
            _ => Backend::sound(&name, &record, &runs, Duration::from_millis(40)),
        };
        entries.push(backend.entry(zones[n / 3], kinds[n % 3]));
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
                control: Some(free_address()),
                discovery: discovery.address,
                known: list_json(41, true, &entries),
                settings: settings(PROXIES, n),
                tmpdir: temporary.join(format!("tmp-{n}")),
            },
        ));
    }
    if !proxies.iter_mut().all(Proxy::wait_until_ready) {
        record.say("could not run: a proxy is not ready");
        drop(proxies);
        std::process::exit(COULD_NOT_RUN);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for proxy in &proxies {
        let to = proxy.address;
        for client in 0..CLIENTS {
            let (record, stop) = (record.clone(), stop.clone());
            threads.push(std::thread::spawn(move || {
                let mut connection = Client::new(to);
                while !stop.load(Ordering::SeqCst) {
                    if random() % 100 < 57 {
                        connection.request(
                            &record,
                            "GET",
                            &format!("/lookup/k{client}"),
                            &new_id(),
                            0.75,
                            "",
                        );
                    } else {
                        connection.request(
                            &record,
                            "POST",
                            &format!("/submit/k{client}"),
                            &new_id(),
                            3.0,
                            "declaration",
                        );
                    }
                    std::thread::sleep(Duration::from_millis(20 + random() % 30));
                }
            }));
        }
    }
    sleep(4.0);
    // s-0 crashes, and the list leaves it out some time later, within the `notice_s` of the site. It is back 9 s after the
    // crash, and the list says so within the `add_s` of the site.
    if trouble() {
        record.line("backend s-0: crashes");
        crash.crash();
    }
    sleep(0.6);
    if trouble() {
        discovery.publish(Entry {
            status: "DELETED",
            ..entries[0].clone()
        });
    }
    sleep(6.0);
    let called_at = record.now();
    let answers: Vec<u16> = proxies
        .iter()
        .map(|p| {
            p.call(&record, "PUT /maintenance/enter?who=s-0")
                .map_or(0, |a| a.status())
        })
        .collect();
    sleep(2.4);
    let started_ms = unix_ms();
    if trouble() {
        record.line("backend s-0: starts again");
        crash.start_again();
    }
    sleep(0.6);
    if trouble() {
        discovery.publish(Entry {
            since_ms: started_ms,
            ..entries[0].clone()
        });
    }
    sleep(12.0);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let alive = proxies
        .iter_mut()
        .all(|proxy| matches!(proxy.child.try_wait(), Ok(None)));
    drop(proxies);
    let _ = std::fs::remove_dir_all(&temporary);
    let at_backend: Vec<Run> = runs
        .all()
        .into_iter()
        .filter(|run| run.backend == "s-0")
        .collect();
    let before = at_backend.iter().filter(|run| run.at < called_at).count();
    let after: Vec<&Run> = at_backend
        .iter()
        .filter(|run| run.at > called_at + BOUND_S)
        .collect();
    for run in after.iter().take(10) {
        record.say(format!(
            "drain: {} {} ran at s-0 {:.3} s after the calls",
            run.id,
            run.path,
            run.at - called_at
        ));
    }
    record.say(format!(
        "calls answered {answers:?}; runs at s-0: {before} before the calls, {} later than {BOUND_S} s after them; {} runs in all, proxies alive: {alive}",
        after.len(),
        runs.all().len()
    ));
    if !alive || before == 0 || runs.all().len() < 500 {
        record.say(
            "could not run: a proxy ended, too few requests were served, or nothing was disrupted",
        );
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if after.is_empty() { HELD } else { BROKEN });
}
