//! Case 6: a planned restart while clients write their requests slowly.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The backends' time for a request, in milliseconds: within the class's aim.
const WORK_MS: u64 = 2000;
const CLIENTS: u64 = 8;
/// The clients begin to write from 0.1 s before SIGTERM to 0.25 s after it, each on a new connection.
const FIRST_BEGIN: Duration = Duration::from_millis(100);
const BEGIN_STEP_MS: u64 = 50;
/// A request is written in so many pieces, over 1.9 s.
const PIECES: usize = 20;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// What came up to so long after SIGTERM may be cut by SIGKILL; the slack of 50 ms is added.
const EXCUSED: Duration = Duration::from_millis(750);
const DEADLINE_S: f64 = 3.0;

/// What a client saw.
struct Outcome {
    number: u64,
    /// When its last byte was written; `None` if the connection ended before.
    written_at: Option<Instant>,
    ended_at: Instant,
    /// The answer's status, or how the connection ended.
    answer: Result<u16, String>,
}

fn client(number: u64, listen: std::net::SocketAddr, record: &Record) -> Option<Outcome> {
    let id = new_id();
    let mut connection = Client::connect(listen).ok()?; // refused: another proxy gets it
    let bytes = request("POST", "submit", &id, DEADLINE_S, "", b"declaration");
    record.line(&format!("client {number} begins to write {id}"));
    for piece in 0..PIECES {
        let part = &bytes[bytes.len() * piece / PIECES..bytes.len() * (piece + 1) / PIECES];
        if let Err(error) = connection.send(part) {
            let answer = Err(format!("closed before the request was written: {error}"));
            return Some(Outcome {
                number,
                written_at: None,
                ended_at: Instant::now(),
                answer,
            });
        }
        if piece + 1 < PIECES {
            std::thread::sleep(PIECE_PAUSE);
        }
    }
    let written_at = Some(Instant::now());
    record.line(&format!("client {number} has written {id}"));
    let answer = connection.read(Duration::from_secs_f64(DEADLINE_S + 0.55));
    let answer = answer
        .map(|answer| answer.status())
        .map_err(|error| error.to_string());
    record.line(&format!("client {number} got {answer:?}"));
    Some(Outcome {
        number,
        written_at,
        ended_at: Instant::now(),
        answer,
    })
}

fn main() {
    guard(110);
    let record = Record::open();
    let backend = |name: &str| {
        let record = record.clone();
        Backend::start(name, move |x| {
            record.line(&format!("{} began {}", x.backend, x.request.id()));
            sleep_ms(WORK_MS);
            x.stream
                .write_all(&ok_answer(&format!("answer to {}", x.request.id())))?;
            record.line(&format!("{} answered {}", x.backend, x.request.id()));
            Ok(Next::KeepOpen)
        })
    };
    let backends = [backend("s-1"), backend("s-2"), backend("s-3")];
    let list: Vec<Endpoint> = backends.iter().map(Backend::endpoint).collect();
    let discovery = Discovery::start(&list, 5);
    let folder = Folder::new("6");
    let settings = Settings::small(vec![
        class("lookup", "free", 300, 750),
        class("submit", "single_shot", 2500, 3000),
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
    sleep_ms(1500); // SIGTERM comes to a proxy that is in service
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let listen = proxy.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, outcomes) = (record.clone(), outcomes.clone());
            std::thread::spawn(move || {
                sleep_ms(number * BEGIN_STEP_MS);
                let outcome = client(number, listen, &record);
                outcomes.lock().unwrap().extend(outcome);
            })
        })
        .collect();
    std::thread::sleep(FIRST_BEGIN);
    let term_at = Instant::now();
    if has_trouble() {
        record.say("SIGTERM");
        proxy.signal("TERM");
        let kill_after = settings.kill_after();
        while term_at.elapsed() < kill_after && !proxy.has_ended() {
            sleep_ms(2);
        }
        if proxy.has_ended() {
            record.say(&format!(
                "the proxy ended {:.3} s after SIGTERM",
                term_at.elapsed().as_secs_f64()
            ));
        } else {
            record.say(&format!(
                "SIGKILL {:.3} s after SIGTERM",
                term_at.elapsed().as_secs_f64()
            ));
            proxy.kill();
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let (mut taken, mut served, mut lost) = (0, 0, 0);
    for outcome in outcomes.lock().unwrap().iter() {
        let Some(written_at) = outcome.written_at else {
            record.say(&format!(
                "client {}: {:?}; not taken",
                outcome.number, outcome.answer
            ));
            continue;
        };
        taken += 1;
        let after_s = written_at.saturating_duration_since(term_at).as_secs_f64();
        let took = outcome.ended_at - written_at;
        record.say(&format!(
            "client {}: last byte {after_s:.3} s after SIGTERM, {:?} {:.3} s later",
            outcome.number,
            outcome.answer,
            took.as_secs_f64()
        ));
        match outcome.answer {
            Ok(status) => served += u32::from(status == 200),
            // Without SIGTERM nothing is excused.
            Err(_) if has_trouble() && written_at <= term_at + EXCUSED => {}
            Err(_) => lost += 1,
        }
    }
    record.say(&format!(
        "requests taken {taken}, served {served}, lost {lost}"
    ));
    record.line(&format!("the proxy's log:\n{}", proxy.log_text()));
    if !has_trouble() && served < CLIENTS as u32 {
        cannot_run("not all requests were served without the disruption");
    }
    record.say(if lost > 0 {
        "the rule was broken"
    } else {
        "the rule held"
    });
    proxy.kill();
    finish(if lost > 0 { BROKEN } else { HELD });
}
