//! Case 8: a planned restart while clients read long answers slowly.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 160;
/// An answer has so many bytes, about what the buffers on its way hold, and what its client reads in `READ_TIME_S`: so the
/// backends' last bytes reach the proxy at about the same time for all clients.
const BUFFERED_BYTES: usize = 5_000_000;
const READ_TIME_S: usize = 15;
/// A client reads this much, and then pauses: from 120 to 239 kB a second.
const MIN_READ_BYTES: usize = 12_000;
const READ_STEP_BYTES: usize = 75;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Without the disruption the clients read slowly for so long.
const SLOW_FOR: Duration = Duration::from_secs(6);
const TERM_AFTER: Duration = Duration::from_secs(1);
/// SIGKILL comes so long after SIGTERM, unless the proxy ends before.
const KILL_AFTER: Duration = Duration::from_secs(80);

struct Outcome {
    number: usize,
    status: u16,
    bytes: usize,
    expected: usize,
    end: String,
}

/// Asks for an answer of `expected` bytes and reads it, slowly until `hurry`.
fn client(
    number: usize,
    listen: std::net::SocketAddr,
    expected: usize,
    hurry: &Flag,
    record: &Record,
) -> std::io::Result<Outcome> {
    let id = new_id();
    let mut connection = Client::connect(listen)?;
    let header = format!("X-Facts: size={expected}\r\n");
    connection.send(&request(
        "POST",
        "submit",
        &id,
        3.0,
        &header,
        b"declaration",
    ))?;
    record.line(&format!(
        "client {number} asked {id}, an answer of {expected} bytes"
    ));
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(10)))?;
    let head = Message::read_head(&mut connection.reader)?.unwrap_or_default();
    let mut buffer = vec![0; MIN_READ_BYTES + READ_STEP_BYTES * number];
    let mut bytes = 0;
    let end = loop {
        match connection.reader.read(&mut buffer) {
            Ok(0) => break "end of the connection".into(),
            Ok(n) => bytes += n,
            Err(error) => break error.to_string(),
        }
        if bytes >= expected {
            break "whole".into();
        }
        if !hurry.is_set() {
            std::thread::sleep(READ_PAUSE);
        }
    };
    record.line(&format!(
        "client {number} got {} and {bytes} of {expected} bytes: {end}",
        head.status()
    ));
    Ok(Outcome {
        number,
        status: head.status(),
        bytes,
        expected,
        end,
    })
}

fn main() {
    guard(115);
    let record = Record::open();
    let backend = |name: &str| {
        let record = record.clone();
        Backend::start(name, move |x| {
            let facts = x.request.header("x-facts").unwrap_or_default();
            let size: usize = facts.trim_start_matches("size=").parse().unwrap_or(0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
            x.stream.write_all(head.as_bytes())?;
            let piece = [b'x'; 1 << 16];
            let mut left = size;
            while left > 0 {
                let n = left.min(piece.len());
                x.stream.write_all(&piece[..n])?;
                left -= n;
            }
            record.line(&format!(
                "{} has written the whole answer to {}",
                x.backend,
                x.request.id()
            ));
            Ok(Next::KeepOpen)
        })
    };
    let backends: Vec<Backend> = ["s-1", "s-2", "s-3", "s-4"].map(backend).into();
    let list: Vec<Endpoint> = backends.iter().map(Backend::endpoint).collect();
    let discovery = Discovery::start(&list, 5);
    let folder = Folder::new("8");
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
    let listen = proxy.listen;
    let hurry = Flag::default();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, outcomes, hurry) = (record.clone(), outcomes.clone(), hurry.clone());
            let bytes_per_s = (MIN_READ_BYTES + READ_STEP_BYTES * number) * 10;
            let expected = BUFFERED_BYTES + bytes_per_s * READ_TIME_S;
            std::thread::spawn(move || {
                sleep_ms(number as u64 * 5);
                match client(number, listen, expected, &hurry, &record) {
                    Ok(outcome) => outcomes.lock().unwrap().push(outcome),
                    Err(error) => record.line(&format!("client {number}: {error}")),
                }
            })
        })
        .collect();
    std::thread::sleep(TERM_AFTER.saturating_sub(started.elapsed()));
    let mut killed = false;
    if has_trouble() {
        record.say("SIGTERM");
        let term_at = Instant::now();
        proxy.signal("TERM");
        while !proxy.has_ended() && term_at.elapsed() < KILL_AFTER {
            sleep_ms(5);
        }
        let after_s = term_at.elapsed().as_secs_f64();
        killed = !proxy.has_ended();
        if killed {
            record.say(&format!("SIGKILL {after_s:.3} s after SIGTERM"));
            proxy.kill();
        } else {
            record.say(&format!(
                "the proxy ended by itself {after_s:.3} s after SIGTERM"
            ));
        }
    } else {
        std::thread::sleep(SLOW_FOR);
    }
    hurry.set();
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let answered = outcomes.iter().filter(|o| o.status == 200).count();
    let mut cut = 0;
    for o in outcomes
        .iter()
        .filter(|o| o.status == 200 && o.bytes < o.expected)
    {
        cut += 1;
        record.say(&format!(
            "client {}: {} of {} bytes, then {}",
            o.number, o.bytes, o.expected, o.end
        ));
    }
    record.say(&format!(
        "answers that began {answered} of {CLIENTS}, cut {cut}"
    ));
    record.line(&format!("the proxy's log:\n{}", proxy.log_text()));
    proxy.kill();
    if answered < CLIENTS / 2 {
        cannot_run("too few answers began");
    }
    // What SIGKILL cuts is not lost, as all requests came before SIGTERM.
    let is_broken = cut > 0 && !killed;
    record.say(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    finish(if is_broken { BROKEN } else { HELD });
}
