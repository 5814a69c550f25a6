//! Case 7: a crowd connects and stops in the middle of a request's head, beside ordinary clients.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The crowd: so many connections from so many threads. Each writes half a head and stays.
const CROWD: usize = 2000;
const CROWD_THREADS: usize = 20;
const HALF_A_HEAD: &[u8] =
    b"GET /lookup/5be2a07c5be2a07c HTTP/1.1\r\nHost: service.internal\r\nX-Corr";
/// Half of the 1,024 descriptors of the largest limit that the pages name.
const SOCKETS: u32 = 512;
const WORK_MS: u64 = 20;
const CLIENTS: u64 = 10;
const PAUSE_MS: u64 = 150;
/// A client waits so long for an answer, so that a late one can be told from none.
const PATIENCE: Duration = Duration::from_secs(20);
/// An answer may come so long after the request's time: half a second, and the slack of 50 ms on sockets.
const LATE_S: f64 = 0.55;

#[derive(Default)]
struct Counts {
    in_time: u32,
    late: u32,
    unanswered: u32,
    /// Not taken: the connection was refused, did not come up, or was shut before anything was answered on it.
    turned_back: u32,
}

fn client(number: u64, listen: SocketAddr, stop: &Flag, record: &Record, counts: &Mutex<Counts>) {
    sleep_ms(number * 13);
    while !stop.is_set() {
        let id = new_id();
        let (method, class, time_s) = if number % 2 == 0 {
            ("GET", "lookup", 0.75)
        } else {
            ("POST", "submit", 3.0)
        };
        let written = Client::connect(listen).and_then(|mut connection| {
            connection.send(&request(method, class, &id, time_s, "", b""))?;
            Ok(connection)
        });
        let Ok(mut connection) = written else {
            counts.lock().unwrap().turned_back += 1;
            sleep_ms(PAUSE_MS);
            continue;
        };
        let written_at = Instant::now();
        let answer = connection.read(PATIENCE);
        let took_s = written_at.elapsed().as_secs_f64();
        let mut counts = counts.lock().unwrap();
        let what = match answer {
            Ok(answer) if took_s <= time_s + LATE_S => {
                counts.in_time += 1;
                format!("{} in time", answer.status())
            }
            Ok(answer) => {
                counts.late += 1;
                format!("{} LATE", answer.status())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                counts.unanswered += 1;
                "nothing: UNANSWERED".into()
            }
            Err(error) => {
                counts.turned_back += 1;
                format!("turned back: {error}")
            }
        };
        record.line_at(written_at, &format!("client {number} wrote {class} {id} with {time_s} s left, got {what} after {took_s:.3} s"));
        drop(counts);
        sleep_ms(PAUSE_MS);
    }
}

/// Connects its part of the crowd, and holds it until `stop`.
fn crowd(listen: SocketAddr, stop: &Flag) -> usize {
    let mut held = Vec::new();
    for _ in 0..CROWD / CROWD_THREADS {
        if stop.is_set() {
            break;
        }
        if let Ok(mut connection) = TcpStream::connect_timeout(&listen, Duration::from_secs(10)) {
            let _ = connection.write_all(HALF_A_HEAD);
            held.push(connection);
        }
    }
    while !stop.is_set() {
        sleep_ms(20);
    }
    held.len()
}

fn main() {
    guard(115);
    let record = Record::open();
    let backend = |name: &str| {
        Backend::start(name, move |x| {
            sleep_ms(WORK_MS);
            x.stream
                .write_all(&ok_answer(&format!("answer to {}", x.request.id())))?;
            Ok(Next::KeepOpen)
        })
    };
    let backends = [backend("s-1"), backend("s-2")];
    let list: Vec<Endpoint> = backends.iter().map(Backend::endpoint).collect();
    let discovery = Discovery::start(&list, 5);
    let folder = Folder::new("7");
    let mut settings = Settings::small(vec![
        class("lookup", "free", 300, 750),
        class("submit", "single_shot", 1000, 3000),
    ]);
    settings.sockets = SOCKETS;
    settings.memory_mb = 96;
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
    let listen = proxy.listen;
    let (stop, counts) = (Flag::default(), Arc::new(Mutex::new(Counts::default())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, counts) = (stop.clone(), record.clone(), counts.clone());
            std::thread::spawn(move || client(number, listen, &stop, &record, &counts))
        })
        .collect();
    sleep_ms(2000);
    let leave = Flag::default();
    let members: Vec<_> = (0..if has_trouble() { CROWD_THREADS } else { 0 })
        .map(|_| {
            let leave = leave.clone();
            std::thread::spawn(move || crowd(listen, &leave))
        })
        .collect();
    record.say(&format!(
        "the crowd begins: {} connections at most",
        members.len() * CROWD / CROWD_THREADS
    ));
    sleep_ms(20_000);
    leave.set();
    let connected: usize = members
        .into_iter()
        .map(|member| member.join().unwrap_or(0))
        .sum();
    record.say(&format!(
        "the crowd leaves; {connected} connections came up"
    ));
    sleep_ms(2000);
    if has_trouble() && connected < CROWD / 2 {
        cannot_run("less than half of the crowd could connect");
    }
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    let c = counts.lock().unwrap();
    let lost = c.late + c.unanswered;
    record.say(&format!(
        "ordinary requests: answered in time {}, late {}, unanswered {}, turned back {}",
        c.in_time, c.late, c.unanswered, c.turned_back
    ));
    record.line(&format!("the proxy's log:\n{}", proxy.log_text()));
    if proxy.has_ended() {
        record.say("the proxy has ended");
        finish(BROKEN);
    }
    if c.in_time < 50 {
        cannot_run("too few requests were answered in time");
    }
    record.say(if lost > 0 {
        "the rule was broken"
    } else {
        "the rule held"
    });
    proxy.kill();
    finish(if lost > 0 { BROKEN } else { HELD });
}
