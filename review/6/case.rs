//! Case 6: backends send some answers twice, the second copy some milliseconds after the first.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One answer of so many is sent twice.
const TWICE_EVERY: u64 = 20;
/// How long after the first copy the second one is written, in milliseconds: 4 to 8.
const SECOND_COPY_MS: [u64; 5] = [4, 5, 6, 7, 8];
const WORK_MS: u64 = 25;
const CLIENTS: u64 = 8;
/// A client's pause between an answer and its next request is up to this, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
const DURATION: Duration = Duration::from_secs(30);
/// An answer may come so long after the request's time: half a second, and the slack of 50 ms on sockets.
const LATE: f64 = 0.55;

#[derive(Default)]
struct Counts {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    foreign: u64,
    unanswered: u64,
}

fn backend(name: &str, record: Arc<Record>) -> Backend {
    let answers = AtomicU64::new(0);
    Backend::start(name, move |x| {
        let number = answers.fetch_add(1, Ordering::SeqCst);
        let id = x.request.id().to_string();
        sleep_ms(WORK_MS);
        let answer = ok_answer(&format!("answer to {id}"));
        x.stream.write_all(&answer)?;
        record.line(&format!(
            "{} connection {} answered {id}",
            x.backend, x.connection
        ));
        if has_trouble() && number * 7 % TWICE_EVERY == 3 {
            // The next request may come meanwhile: the copy is written by a thread of its own, as from a buffer.
            let mut stream = x.stream.try_clone()?;
            let (record, backend, connection) =
                (record.clone(), x.backend.to_string(), x.connection);
            let pause_ms = SECOND_COPY_MS[(number / TWICE_EVERY) as usize % SECOND_COPY_MS.len()];
            std::thread::spawn(move || {
                sleep_ms(pause_ms);
                if stream.write_all(&answer).is_ok() {
                    record.line(&format!("{backend} connection {connection} answered {id} a second time, {pause_ms} ms later"));
                }
            });
        }
        Ok(Next::KeepOpen)
    })
}

fn client(number: u64, listen: std::net::SocketAddr, record: &Record, counts: &Mutex<Counts>) {
    let mut connection = None;
    let begin = Instant::now();
    let mut n = number * 13;
    while begin.elapsed() < DURATION {
        n += 1;
        let id = new_id();
        let is_submit = number % 2 == 1;
        let (method, class, time_s) = if is_submit {
            ("POST", "submit", 3.0)
        } else {
            ("GET", "lookup", 0.75)
        };
        let mut open = match connection.take() {
            Some(open) => open,
            None => Client::connect(listen)
                .unwrap_or_else(|e| cannot_run(&format!("no connection to the proxy: {e}"))),
        };
        let body: &[u8] = if is_submit { b"declaration" } else { b"" };
        let written = open.send(&request(method, class, &id, time_s, "", body));
        let answer = written.and_then(|()| open.read(Duration::from_secs_f64(time_s + LATE)));
        let mut counts = counts.lock().unwrap();
        counts.requests += 1;
        match answer {
            Ok(answer) => {
                let is_own = answer.text() == format!("answer to {id}");
                match answer.status() {
                    200 if is_own => counts.served += 1,
                    200 => {
                        counts.foreign += 1;
                        record.line(&format!(
                            "FOREIGN: client {number} asked {class} {id}, got 200 {:?}",
                            answer.text()
                        ));
                    }
                    429 | 503 => counts.refused += 1,
                    _ => counts.failed += 1,
                }
                if answer.header("connection") != Some("close") {
                    connection = Some(open);
                }
            }
            Err(error) => {
                counts.unanswered += 1;
                record.line(&format!(
                    "UNANSWERED: client {number} asked {class} {id}: {error}"
                ));
            }
        }
        drop(counts);
        sleep_ms(n * 7919 % MAX_PAUSE_MS);
    }
}

fn main() {
    guard(110);
    let record = Record::open();
    let backends: Vec<Backend> = ["s-1", "s-2"]
        .iter()
        .map(|name| backend(name, record.clone()))
        .collect();
    let list: Vec<Endpoint> = backends.iter().map(Backend::endpoint).collect();
    let discovery = Discovery::start(&list, 5);
    let folder = Folder::new("6");
    let settings = Settings::small(vec![
        class("lookup", "free", 300, 750),
        class("submit", "single_shot", 1000, 3000),
    ]);
    let mut proxy = Proxy::start(&Start {
        settings: &settings,
        discovery: discovery.address,
        known: &list,
        index: 5,
        tmpdir: &folder.0,
        files: &folder.0,
        listen: free_address(),
        socket: None,
        tag: "1",
    });
    proxy.wait_ready();
    record.say(&format!(
        "one proxy, two backends, {CLIENTS} clients; second copies of answers: {}",
        has_trouble()
    ));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let listen = proxy.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, counts) = (record.clone(), counts.clone());
            std::thread::spawn(move || client(number, listen, &record, &counts))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(300);
    let c = counts.lock().unwrap();
    record.say(&format!(
        "requests {} served {} refused {} failed {}; foreign answers {}, unanswered {}",
        c.requests, c.served, c.refused, c.failed, c.foreign, c.unanswered
    ));
    record.line(&format!("the proxy's log:\n{}", proxy.log_text()));
    if c.served < 100 {
        cannot_run("too few requests were served");
    }
    let is_broken = c.foreign > 0;
    record.say(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    proxy.kill();
    finish(if is_broken { BROKEN } else { HELD });
}
