//! How fast service returns after a crash: one proxy under a steady load is killed outright and starts again, cold and
//! from its snapshot, in turns. Run by `cargo bench --bench recovery`; never by the tests.

#[path = "../tests/rig/mod.rs"]
mod rig;

use rig::{create_temp_dir, entry, ok, read_request, BackendServer, Client, Proxy, SETTINGS};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const BACKENDS: usize = 6;
const CLIENTS: u64 = 60;
/// Between two requests of a client.
const EVERY: Duration = Duration::from_millis(25);
/// What a backend takes for each: sixty clients then want eight at each backend at once, twice the first hold.
const WORK: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(5);
const ROUNDS: u64 = 5;

/// Asks at a steady rate for as long as it is busy; counts answers and those that are not 200.
fn load(
    at: SocketAddr,
    asked: &Arc<AtomicU32>,
    refused: &Arc<AtomicU32>,
    busy: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let client = |n: u64| {
        let (asked, refused, busy) = (asked.clone(), refused.clone(), busy.clone());
        std::thread::spawn(move || {
            let mut client = Client::connect(at);
            let mut next = Instant::now() + EVERY.mul_f64(n as f64 / CLIENTS as f64);
            while busy.load(Ordering::SeqCst) {
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next += EVERY;
                client.send(&read_request(0.2));
                let Some(answer) = client.response() else {
                    return;
                };
                asked.fetch_add(1, Ordering::SeqCst);
                refused.fetch_add(u32::from(answer.status() != 200), Ordering::SeqCst);
            }
        })
    };
    (0..CLIENTS).map(client).collect()
}

/// The holds that the proxy told, one each quarter of a second.
fn holds(proxy: &Proxy) -> Vec<f64> {
    let of = |line: String| {
        line.split("big=")
            .nth(1)?
            .split(['"', ' '])
            .next()?
            .parse()
            .ok()
    };
    proxy
        .log_lines("event=\"holds\"")
        .into_iter()
        .filter_map(of)
        .collect()
}

/// One process under load for a while, then killed outright: requests, refused, and the holds it told.
fn life(known: &[String], dir: Option<&Path>, seed: u64, span: Duration) -> (u32, u32, Vec<f64>) {
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    // One deployment over all lives, as a snapshot is kept for one; of two keys the last counts.
    let discovery = r#","discovery":"127.0.0.1:9""#;
    let kept = dir.map(|d| {
        format!(
            r#"{discovery},"snapshot":{{"dir":"{}","every_ms":500}}"#,
            d.display()
        )
    });
    let variables = [tmp, ("NODE_LOG", "debug".to_string())];
    let proxy = Proxy::with_seed(seed, known, SETTINGS, &kept.unwrap_or_default(), &variables);
    let (asked, refused, busy) = (
        Arc::default(),
        Arc::default(),
        Arc::new(AtomicBool::new(true)),
    );
    let clients = load(proxy.address, &asked, &refused, &busy);
    std::thread::sleep(span);
    let counts = (asked.load(Ordering::SeqCst), refused.load(Ordering::SeqCst));
    busy.store(false, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    (counts.0, counts.1, holds(&proxy))
}

/// When the holds come within a tenth of where they end and stay there.
fn settled(holds: &[f64], end: f64) -> f64 {
    let off = holds.iter().rposition(|h| (h / end - 1.0).abs() > 0.1);
    off.map_or(0.25, |n| (n + 2) as f64 * 0.25)
}

fn main() {
    let backends: Vec<BackendServer> = (0..BACKENDS)
        .map(|_| {
            BackendServer::start(|_| {
                std::thread::sleep(WORK);
                ok("x")
            })
        })
        .collect();
    let known: Vec<String> = backends
        .iter()
        .enumerate()
        .map(|(n, b)| entry(&format!("b{n}"), b.address, "SERVING"))
        .collect();
    println!(
        "| round | start | requests in 5 s | refused | first hold told | hold at the end | settled after s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for round in 1..=ROUNDS {
        let dir = create_temp_dir().join("kept");
        let (.., learned) = life(&known, Some(&dir), round, 2 * SPAN);
        let end = learned.last().copied().unwrap_or(0.0);
        for (name, dir) in [("cold", None), ("warm", Some(dir.as_path()))] {
            let (asked, refused, told) = life(&known, dir, round + 100, SPAN);
            let (first, last) = (
                told.first().copied().unwrap_or(0.0),
                told.last().copied().unwrap_or(0.0),
            );
            let after = settled(&told, last);
            println!("| {round} | {name} | {asked} | {refused} | {first:.1} | {last:.1} ({end:.1} before) | {after:.2} |");
        }
    }
}
