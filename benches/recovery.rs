//! Measures how fast a proxy recovers after a crash: a proxy under steady load is killed and started again, alternately
//! without state and from its snapshot. Run it with `cargo bench --bench recovery`; the tests don't run it.

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
/// The time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// A backend's time for a request. Sixty clients then need eight concurrent requests at each backend, twice the initial
/// concurrency limit.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long each restarted process is measured.
const SPAN: Duration = Duration::from_secs(5);
const ROUNDS: u64 = 5;

/// Starts clients that send requests at a steady rate while `busy` is set, and count the responses and those whose status
/// is not 200.
fn load(
    at: SocketAddr,
    requests: &Arc<AtomicU32>,
    refused: &Arc<AtomicU32>,
    busy: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let client = |n: u64| {
        let (requests, refused, busy) = (requests.clone(), refused.clone(), busy.clone());
        std::thread::spawn(move || {
            let mut client = Client::connect(at);
            let mut next = Instant::now() + REQUEST_INTERVAL.mul_f64(n as f64 / CLIENTS as f64);
            while busy.load(Ordering::SeqCst) {
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next += REQUEST_INTERVAL;
                client.send(&read_request(0.2));
                let Some(answer) = client.response() else {
                    return;
                };
                requests.fetch_add(1, Ordering::SeqCst);
                refused.fetch_add(u32::from(answer.status() != 200), Ordering::SeqCst);
            }
        })
    };
    (0..CLIENTS).map(client).collect()
}

/// The concurrency limits that the proxy logged, one every quarter of a second.
fn concurrency_limits(proxy: &Proxy) -> Vec<f64> {
    let parse = |line: String| {
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
        .filter_map(parse)
        .collect()
}

/// Runs a proxy process under load for a span, then kills it. Returns the number of requests, the number of refused ones,
/// and the logged concurrency limits.
fn run_process(
    endpoints: &[String],
    dir: Option<&Path>,
    seed: u64,
    span: Duration,
) -> (u32, u32, Vec<f64>) {
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    // A snapshot is valid for one deployment only, so that all processes have the same discovery address. If a key occurs
    // twice, the last one counts.
    let discovery = r#","discovery":"127.0.0.1:9""#;
    let snapshot_settings = dir.map(|d| {
        format!(
            r#"{discovery},"snapshot":{{"dir":"{}","every_ms":500}}"#,
            d.display()
        )
    });
    let variables = [tmp, ("NODE_LOG", "debug".to_string())];
    let proxy = Proxy::with_seed(
        seed,
        endpoints,
        SETTINGS,
        &snapshot_settings.unwrap_or_default(),
        &variables,
    );
    let (requests, refused, busy) = (
        Arc::default(),
        Arc::default(),
        Arc::new(AtomicBool::new(true)),
    );
    let clients = load(proxy.address, &requests, &refused, &busy);
    std::thread::sleep(span);
    let counts = (
        requests.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst),
    );
    busy.store(false, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    (counts.0, counts.1, concurrency_limits(&proxy))
}

/// The seconds after which the limits stay within a tenth of their final value.
fn settling_time(limits: &[f64], end: f64) -> f64 {
    let last_outside = limits
        .iter()
        .rposition(|limit| (limit / end - 1.0).abs() > 0.1);
    last_outside.map_or(0.25, |n| (n + 2) as f64 * 0.25)
}

fn main() {
    let backends: Vec<BackendServer> = (0..BACKENDS)
        .map(|_| {
            BackendServer::start(|_| {
                std::thread::sleep(SERVICE_TIME);
                ok("x")
            })
        })
        .collect();
    let endpoints: Vec<String> = backends
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
        let (.., limits) = run_process(&endpoints, Some(&dir), round, 2 * SPAN);
        let end = limits.last().copied().unwrap_or(0.0);
        for (name, dir) in [("cold", None), ("warm", Some(dir.as_path()))] {
            let (requests, refused, limits) = run_process(&endpoints, dir, round + 100, SPAN);
            let (first, last) = (
                limits.first().copied().unwrap_or(0.0),
                limits.last().copied().unwrap_or(0.0),
            );
            let settled_s = settling_time(&limits, last);
            println!("| {round} | {name} | {requests} | {refused} | {first:.1} | {last:.1} ({end:.1} before) | {settled_s:.2} |");
        }
    }
}
