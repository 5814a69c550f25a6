//! Measures how the size of the configuration affects one proxy: the time until it is ready, its memory, how long requests
//! are delayed by a reload, and the processor time per request. It runs proxy processes on loopback, one after another. Run
//! it with `cargo bench --bench tables`, optionally with names of states after `--` (`routes=2100`, `tenants=130000`,
//! `backends=25000`, `lists`, `all`); the tests don't run it.

#[path = "common/generated.rs"]
mod generated;
#[path = "../tests/rig/mod.rs"]
mod rig;

use generated::{request, settings, Size};
use meadowproxy::settings::{ActiveSettings, EntryChange, ReadOptions, Settings, SettingsChange};
use meadowproxy::{Balancer, Event, Time};
use rig::{entry, ok, BackendServer, Proxy};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests per second of one proxy at the target deployment's peak.
const RATE: f64 = 117.0;
/// How long the steady load lasts.
const SPAN: Duration = Duration::from_secs(8);
/// The time between two requests of the client that runs during a reload.
const RELOAD_REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// How long that client runs before and after a reload, so that it covers the whole reload.
const RELOAD_MARGIN: Duration = Duration::from_millis(300);
/// The timeout for a reload, which takes less; it ends a run that hangs.
const TIMEOUT: Duration = Duration::from_secs(180);
/// The number of servers behind the backends.
const SERVERS: usize = 4;
/// The number of changed entries that are measured.
const AMENDMENTS: usize = 1000;

/// The smallest configuration.
const SMALL: Size = Size {
    routes: 2,
    tenants: 0,
    backends: 100,
};

/// The configurations to measure, with their names: those that the arguments name, or all.
fn states(named: &[String]) -> Vec<(String, Size)> {
    let routes =
        [2, 210, 2_100, 21_000].map(|n| (format!("routes={n}"), Size { routes: n, ..SMALL }));
    let tenants = [1_300, 13_000, 130_000].map(|n| {
        (
            format!("tenants={n}"),
            Size {
                tenants: n,
                ..SMALL
            },
        )
    });
    let backends = [25_000].map(|n| {
        (
            format!("backends={n}"),
            Size {
                backends: n,
                ..SMALL
            },
        )
    });
    let lists = [(
        "lists".to_string(),
        Size {
            routes: 21_000,
            tenants: 130_000,
            backends: 100,
        },
    )];
    let all = [(
        "all".to_string(),
        Size {
            routes: 21_000,
            tenants: 130_000,
            backends: 25_000,
        },
    )];
    let states = routes
        .into_iter()
        .chain(tenants)
        .chain(backends)
        .chain(lists)
        .chain(all);
    states
        .filter(|(name, _)| named.is_empty() || named.contains(name))
        .collect()
}

/// Resident memory of the process in MB.
fn resident_mb(proxy: &Proxy) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        / 1024.0
}

/// Processor time of the request loop in milliseconds.
fn cpu_ms(proxy: &Proxy) -> f64 {
    let path = format!("/proc/{}/schedstat", proxy.child.id());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        / 1e6
}

/// Sends requests at an interval of `every`, one at a time, while `busy` is set. Returns the milliseconds that each took.
fn start_client(
    proxy: &Proxy,
    size: Size,
    every: Duration,
    busy: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<Vec<f64>> {
    let (mut client, busy) = (proxy.client(), busy.clone());
    client.0.get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
    std::thread::spawn(move || {
        let (mut took, mut next) = (Vec::new(), Instant::now());
        while busy.load(SeqCst) {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            let begun = Instant::now();
            next = begun + every;
            let answer = client.request(&request(size, took.len()));
            assert!(
                [200, 503, 504].contains(&answer.status()),
                "{}",
                answer.start_line
            ); // requests may time out after a long reload
            took.push(begun.elapsed().as_secs_f64() * 1e3);
        }
        took
    })
}

/// The value at the given fraction of the sorted values.
fn percentile(sorted: &[f64], part: f64) -> f64 {
    sorted
        .get((sorted.len() as f64 * part) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Reloads the configuration from `text` and measures the reload.
fn reload(proxy: &Proxy, size: Size, text: &str) -> Reloaded {
    let before = proxy.log_count("configuration taken");
    std::fs::write(&proxy.config_path, text).unwrap();
    let busy = Arc::new(AtomicBool::new(true));
    let client = start_client(proxy, size, RELOAD_REQUEST_INTERVAL, &busy);
    std::thread::sleep(RELOAD_MARGIN);
    let begun = Instant::now();
    proxy.signal("-HUP");
    while proxy.log_count("configuration taken") == before {
        assert!(
            begun.elapsed() < TIMEOUT,
            "{:?}",
            proxy.log_lines("configuration")
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    let taken_ms = begun.elapsed().as_secs_f64() * 1e3;
    std::thread::sleep(RELOAD_MARGIN);
    busy.store(false, SeqCst);
    let slowest_ms = client.join().unwrap().into_iter().fold(0.0, f64::max);
    let line = proxy
        .log_lines("configuration taken")
        .pop()
        .unwrap_or_default();
    let step_us = line
        .split("step_us=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
    Reloaded {
        slowest_ms,
        taken_ms,
        step_ms: step_us.unwrap_or(f64::NAN) / 1e3,
    }
}

/// Measurements of a reload in milliseconds: the slowest request, the time until the configuration was active, and the
/// step that blocked the request loop, as the proxy logged it.
struct Reloaded {
    slowest_ms: f64,
    taken_ms: f64,
    step_ms: f64,
}

impl std::fmt::Display for Reloaded {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "{:.1} ({:.0}, {:.2})",
            self.slowest_ms, self.taken_ms, self.step_ms
        )
    }
}

/// Measures how long a change of one entry blocks the request loop, in milliseconds: applying it to the settings, and
/// passing the new configuration to the balancer.
fn measure_entry_changes(name: &str, size: Size) {
    let text: serde_json::Value = serde_json::from_str(&settings(size, 1.0)).unwrap();
    let mut tables =
        ActiveSettings::initial(&Settings::from_value(&text, ReadOptions::default())).unwrap();
    let mut balancer = Balancer::from_validated(tables.config.clone(), 1);
    let mut took = Vec::new();
    for n in 0..AMENDMENTS {
        let change = match size.tenants {
            0 => {
                let mut route = text["profiles"][n % size.routes].clone();
                route["gain"] = (2 + n).into();
                EntryChange::SetProfile(route)
            }
            tenants => {
                let entry = &text["customers"][(n * 104_729) % tenants];
                EntryChange::SetCustomer(
                    serde_json::json!({"name": entry["name"], "quota_rps": 3 + n}),
                )
            }
        };
        let begun = Instant::now();
        let SettingsChange {
            to,
            retired,
            reinstated,
            successors,
            ..
        } = tables.change_entries(&[change]).unwrap();
        let config = Box::new(to.config.clone());
        balancer.handle(
            Time(1),
            Event::ConfigChanged {
                config,
                retired,
                reinstated,
                successors,
            },
            &mut Vec::new(),
        );
        tables = to;
        took.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    took.sort_by(f64::total_cmp);
    let (median, p99) = (percentile(&took, 0.5), percentile(&took, 0.99));
    println!(
        "| {name} | {median:.4} | {p99:.4} | {:.4} |",
        percentile(&took, 1.0 - 0.5 / AMENDMENTS as f64)
    );
}

/// The slowest request, in milliseconds, in the same time without a reload: the machine's own influence.
fn slowest_without_reload(proxy: &Proxy, size: Size) -> f64 {
    let busy = Arc::new(AtomicBool::new(true));
    let client = start_client(proxy, size, RELOAD_REQUEST_INTERVAL, &busy);
    std::thread::sleep(2 * RELOAD_MARGIN);
    busy.store(false, SeqCst);
    client.join().unwrap().into_iter().fold(0.0, f64::max)
}

/// Measures one configuration and prints its row.
fn run(name: &str, size: Size, servers: &[BackendServer]) {
    let endpoints: Vec<String> = (0..size.backends)
        .map(|n| {
            entry(
                &format!("b{n}"),
                servers[n % servers.len()].address,
                "SERVING",
            )
        })
        .collect();
    let begun = Instant::now();
    let started =
        std::panic::catch_unwind(|| Proxy::with_settings(&endpoints, 1024, &settings(size, 1.0)));
    let Ok(proxy) = started else {
        println!("| {name} | refused | | | | | | | | | |");
        return;
    };
    let ready_s = begun.elapsed().as_secs_f64();
    std::thread::sleep(RELOAD_MARGIN);
    let at_start = resident_mb(&proxy);
    let busy = Arc::new(AtomicBool::new(true));
    let (cpu_before, clock) = (cpu_ms(&proxy), Instant::now());
    let client = start_client(&proxy, size, Duration::from_secs_f64(1.0 / RATE), &busy);
    std::thread::sleep(SPAN);
    busy.store(false, SeqCst);
    let mut took = client.join().unwrap();
    let cpu_per_request = (cpu_ms(&proxy) - cpu_before) / took.len() as f64;
    let rate = took.len() as f64 / clock.elapsed().as_secs_f64();
    took.sort_by(f64::total_cmp);
    let loaded = resident_mb(&proxy);
    let baseline = slowest_without_reload(&proxy, size);
    let same = std::fs::read_to_string(&proxy.config_path).unwrap();
    let with_same = reload(&proxy, size, &same);
    let other = match size.tenants {
        0 => same.replacen(r#""gain":1.0"#, r#""gain":2.0"#, 1),
        _ => same.replacen(r#""quota_rps":1"#, r#""quota_rps":2"#, 1),
    };
    assert_ne!(same, other);
    let with_other = reload(&proxy, size, &other);
    std::thread::sleep(RELOAD_MARGIN);
    println!(
        "| {name} | {ready_s:.2} | {at_start:.1} | {loaded:.1} | {:.1} | {baseline:.1} | {with_same} | {with_other} | {rate:.0} | \
         {:.2} / {:.2} | {cpu_per_request:.3} |",
        resident_mb(&proxy),
        percentile(&took, 0.5),
        percentile(&took, 0.99),
    );
}

fn main() {
    let named: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let servers: Vec<BackendServer> = (0..SERVERS)
        .map(|_| BackendServer::start(|_| ok("x")))
        .collect();
    println!(
        "| state | ready, s | resident, MB | after the load | after two reloads | slowest request: no reload, ms | same file (taken after, step) | \
         one entry changed (the same) | requests a second | p50 / p99, ms | processor a request, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let states = states(&named);
    states
        .iter()
        .for_each(|(name, size)| run(name, *size, &servers));
    println!("\n| state | one amended entry, ms: p50 | p99 | most of {AMENDMENTS} |");
    println!("| --- | --- | --- | --- |");
    states
        .iter()
        .for_each(|(name, size)| measure_entry_changes(name, *size));
}
