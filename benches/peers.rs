//! What shared state costs: datagrams and bytes per proxy and second over fleets of 3 to 100 real processes on loopback,
//! in a quiet fleet and while every proxy meets dead backends. Run by `cargo bench --bench peers`, with fleet sizes behind
//! `--` where others are wanted; never by the tests.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

#[path = "../tests/rig/mod.rs"]
mod rig;

use rig::{
    create_temp_dir, entry, ok, read_request, BackendServer, Client, Proxy, RefusingPort, SETTINGS,
    TEST_TIMEOUT,
};
use std::time::{Duration, Instant};

const QUIET: Duration = Duration::from_secs(10);
const TROUBLE: Duration = Duration::from_secs(10);

/// One proxy's counts: sent datagrams and bytes, facts told and heard, members, memory in kB.
fn counts(proxy: &Proxy) -> [f64; 6] {
    let body = proxy.control_request("GET /peers").body;
    let status: serde_json::Value = serde_json::from_slice(&body).expect("JSON at the door");
    let of = |name: &str| status[name].as_f64().expect("a count");
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
        of("sent"),
        of("sent_bytes"),
        of("facts_told"),
        of("facts_heard"),
        members,
        kb.unwrap_or(0.0),
    ]
}

/// The mean growth of each count per proxy and second over a span.
fn over(proxies: &[Proxy], span: Duration, during: impl FnOnce()) -> [f64; 6] {
    let before: Vec<_> = proxies.iter().map(counts).collect();
    let begun = Instant::now();
    during();
    std::thread::sleep(span.saturating_sub(begun.elapsed()));
    let seconds = begun.elapsed().as_secs_f64();
    let after: Vec<_> = proxies.iter().map(counts).collect();
    let grown = |n: usize| {
        let sum: f64 = after.iter().zip(&before).map(|(a, b)| a[n] - b[n]).sum();
        sum / seconds / proxies.len() as f64
    };
    let mean = |n: usize| after.iter().map(|a| a[n]).sum::<f64>() / proxies.len() as f64;
    [grown(0), grown(1), grown(2), grown(3), mean(4), mean(5)]
}

fn main() {
    let live: Vec<BackendServer> = (0..6).map(|_| BackendServer::start(|_| ok("x"))).collect();
    let dead: Vec<RefusingPort> = (0..3).map(|_| RefusingPort::new()).collect();
    let at = live
        .iter()
        .map(|b| b.address)
        .chain(dead.iter().map(RefusingPort::address));
    let known: Vec<String> = at
        .enumerate()
        .map(|(n, at)| entry(&format!("b{n}"), at, "SERVING"))
        .collect();
    println!(
        "| proxies | load | datagrams | bytes | facts told | facts heard | members | kB each | joined in s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let asked: Vec<usize> = std::env::args()
        .filter_map(|size| size.parse().ok())
        .collect();
    for size in if asked.is_empty() {
        vec![3, 10, 30, 100]
    } else {
        asked
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
            Proxy::with_seed(n as u64 + 1, &known, &settings, &peers, &[tmp])
        };
        let mut proxies = Vec::new();
        for n in 0..size {
            let proxy = start(n, &seed);
            if n == 0 {
                let line = proxy
                    .startup_log
                    .lines()
                    .find(|l| l.contains("peers_start"))
                    .expect("it shares state");
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
        let joined = begun.elapsed().as_secs_f64();
        std::thread::sleep(Duration::from_secs(5)); // the news of the join dies down
        let quiet = over(&proxies, QUIET, || {});
        let trouble = over(&proxies, TROUBLE, || {
            let end = Instant::now() + TROUBLE;
            let at: Vec<_> = proxies.iter().map(|p| p.address).collect();
            let asking: Vec<_> = at
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
            asking.into_iter().for_each(|a| drop(a.join()));
        });
        for (name, [sent, bytes, told, heard, members, kb]) in
            [("quiet", quiet), ("3 of 9 dead", trouble)]
        {
            println!(
                "| {size} | {name} | {sent:.1} | {bytes:.0} | {told:.2} | {heard:.2} | {members:.1} | {kb:.0} | {joined:.1} |"
            );
        }
    }
}
