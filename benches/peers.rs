//! Measures the cost of shared state: datagrams and bytes per proxy and second in fleets of 3 to 100 proxy processes on
//! loopback, idle and while every proxy sends requests to dead backends. Run it with `cargo bench --bench peers`, optionally
//! with fleet sizes after `--`; the tests don't run it.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

#[path = "../tests/rig/mod.rs"]
mod rig;

use rig::{
    create_temp_dir, entry, ok, read_request, BackendServer, Client, Proxy, RefusingPort, SETTINGS,
    TEST_TIMEOUT,
};
use std::time::{Duration, Instant};

/// How long the idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// How long the fleet is measured under load with dead backends.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// A proxy's counters: datagrams and bytes sent, verdicts sent and received, known members, resident memory in kB.
fn counts(proxy: &Proxy) -> [f64; 6] {
    let body = proxy.control_request("GET /peers").body;
    let status: serde_json::Value =
        serde_json::from_slice(&body).expect("JSON from the control address");
    let count = |name: &str| status[name].as_f64().expect("a number in the peers status");
    let resident =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap_or_default();
    let kb = resident.lines().find_map(|l| {
        l.strip_prefix("VmRSS:")?
            .split_whitespace()
            .next()?
            .parse()
            .ok()
    });
    let members = status["members"].as_array().map_or(0, Vec::len) as f64;
    [
        count("sent"),
        count("sent_bytes"),
        count("facts_told"),
        count("facts_heard"),
        members,
        kb.unwrap_or(0.0),
    ]
}

/// Measures a span: the mean increase per proxy and second of the first four counters, and the mean of the others at the
/// end.
fn measure(proxies: &[Proxy], span: Duration, during: impl FnOnce()) -> [f64; 6] {
    let before: Vec<_> = proxies.iter().map(counts).collect();
    let begun = Instant::now();
    during();
    std::thread::sleep(span.saturating_sub(begun.elapsed()));
    let seconds = begun.elapsed().as_secs_f64();
    let after: Vec<_> = proxies.iter().map(counts).collect();
    let increase = |n: usize| {
        let sum: f64 = after.iter().zip(&before).map(|(a, b)| a[n] - b[n]).sum();
        sum / seconds / proxies.len() as f64
    };
    let mean = |n: usize| after.iter().map(|a| a[n]).sum::<f64>() / proxies.len() as f64;
    [
        increase(0),
        increase(1),
        increase(2),
        increase(3),
        mean(4),
        mean(5),
    ]
}

fn main() {
    let live: Vec<BackendServer> = (0..6).map(|_| BackendServer::start(|_| ok("x"))).collect();
    let dead: Vec<RefusingPort> = (0..3).map(|_| RefusingPort::new()).collect();
    let addresses = live
        .iter()
        .map(|b| b.address)
        .chain(dead.iter().map(RefusingPort::address));
    let endpoints: Vec<String> = addresses
        .enumerate()
        .map(|(n, at)| entry(&format!("b{n}"), at, "SERVING"))
        .collect();
    println!(
        "| proxies | load | datagrams | bytes | facts told | facts heard | members | kB each | joined in s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let sizes: Vec<usize> = std::env::args()
        .filter_map(|size| size.parse().ok())
        .collect();
    for size in if sizes.is_empty() {
        vec![3, 10, 30, 100]
    } else {
        sizes
    } {
        let mut seed = String::new();
        let begun = Instant::now();
        let start = |n: usize, seed: &str| {
            let group = format!(r#""position":{n},"group_size":{size},"#);
            let settings = SETTINGS.replace(r#""position":0,"group_size":1,"#, &group);
            let peers = format!(
                r#","peers":{{"listen":"127.0.0.1:0","cluster":"bench","seeds":[{seed}]}}"#
            );
            let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
            Proxy::with_seed(n as u64 + 1, &endpoints, &settings, &peers, &[tmp])
        };
        let mut proxies = Vec::new();
        for n in 0..size {
            let proxy = start(n, &seed);
            if n == 0 {
                let line = proxy
                    .startup_log
                    .lines()
                    .find(|l| l.contains("peers_start"))
                    .expect("a peers_start line in the startup log");
                let at = line
                    .split("advertise=")
                    .nth(1)
                    .and_then(|a| a.split(' ').next())
                    .unwrap();
                seed = format!("\"{at}\"");
            }
            proxies.push(proxy);
        }
        while proxies.iter().any(|p| counts(p)[4] < (size - 1) as f64)
            && begun.elapsed() < 6 * TEST_TIMEOUT
        {
            std::thread::sleep(Duration::from_millis(200));
        }
        let join_s = begun.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_secs(5)); // until the updates of the joins no longer circulate
        let idle_rates = measure(&proxies, IDLE_TIME, || {});
        let load_rates = measure(&proxies, LOAD_TIME, || {
            let end = Instant::now() + LOAD_TIME;
            let addresses: Vec<_> = proxies.iter().map(|p| p.address).collect();
            let clients: Vec<_> = addresses
                .into_iter()
                .map(|at| {
                    std::thread::spawn(move || {
                        let mut client = Client::connect(at);
                        while Instant::now() < end {
                            client.request(&read_request(3.0));
                            std::thread::sleep(Duration::from_millis(250));
                        }
                    })
                })
                .collect();
            clients.into_iter().for_each(|client| drop(client.join()));
        });
        for (name, [sent, bytes, verdicts_sent, verdicts_received, members, kb]) in
            [("quiet", idle_rates), ("3 of 9 dead", load_rates)]
        {
            println!(
                "| {size} | {name} | {sent:.1} | {bytes:.0} | {verdicts_sent:.2} | {verdicts_received:.2} | {members:.1} | {kb:.0} | {join_s:.1} |"
            );
        }
    }
}
