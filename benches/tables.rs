//! What the size of the configuration costs one proxy: how soon it is ready, its memory, how long requests stand still in
//! a reload, and the processor time of a request. Real processes on loopback, one after another. Run by
//! `cargo bench --bench tables`, with states behind `--` (`routes=2100`, `tenants=130000`, `backends=25000`, `all`) where
//! not all are wanted; never by the tests.

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

/// Requests a second of one proxy at the plan's peak.
const RATE: f64 = 117.0;
const SPAN: Duration = Duration::from_secs(8);
/// Between two requests of the client that watches a reload.
const WATCH: Duration = Duration::from_millis(2);
/// Around a reload, so that its whole stands inside.
const AROUND: Duration = Duration::from_millis(300);
/// No reload takes as long: it only ends a run that would hang.
const MOST: Duration = Duration::from_secs(180);
const SERVERS: usize = 4;
const AMENDMENTS: usize = 1000;

const LEAST: Size = Size {
    routes: 2,
    tenants: 0,
    backends: 100,
};

/// The states that the arguments name, or all.
fn states(named: &[String]) -> Vec<(String, Size)> {
    let routes =
        [2, 210, 2_100, 21_000].map(|n| (format!("routes={n}"), Size { routes: n, ..LEAST }));
    let tenants = [1_300, 13_000, 130_000].map(|n| {
        (
            format!("tenants={n}"),
            Size {
                tenants: n,
                ..LEAST
            },
        )
    });
    let backends = [25_000].map(|n| {
        (
            format!("backends={n}"),
            Size {
                backends: n,
                ..LEAST
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

/// MB that the process holds.
fn resident(proxy: &Proxy) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        / 1024.0
}

/// Milliseconds of processor time that the request loop has had.
fn used(proxy: &Proxy) -> f64 {
    let path = format!("/proc/{}/schedstat", proxy.child.id());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        / 1e6
}

/// Asks one request after another, `every` apart, until told to end; how long each took, in ms.
fn asked(
    proxy: &Proxy,
    size: Size,
    every: Duration,
    busy: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<Vec<f64>> {
    let (mut client, busy) = (proxy.client(), busy.clone());
    client.0.get_ref().set_read_timeout(Some(MOST)).unwrap();
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
            ); // late after a long standstill
            took.push(begun.elapsed().as_secs_f64() * 1e3);
        }
        took
    })
}

fn percentile(sorted: &[f64], part: f64) -> f64 {
    sorted
        .get((sorted.len() as f64 * part) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Milliseconds that the slowest request took around a reload of this file, until the file was taken, and of the step in
/// which nothing else ran, as the program tells it.
fn reload(proxy: &Proxy, size: Size, text: &str) -> Reloaded {
    let before = proxy.log_count("configuration taken");
    std::fs::write(&proxy.config_path, text).unwrap();
    let busy = Arc::new(AtomicBool::new(true));
    let watch = asked(proxy, size, WATCH, &busy);
    std::thread::sleep(AROUND);
    let begun = Instant::now();
    proxy.signal("-HUP");
    while proxy.log_count("configuration taken") == before {
        assert!(
            begun.elapsed() < MOST,
            "{:?}",
            proxy.log_lines("configuration")
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    let took = begun.elapsed().as_secs_f64() * 1e3;
    std::thread::sleep(AROUND);
    busy.store(false, SeqCst);
    let slowest = watch.join().unwrap().into_iter().fold(0.0, f64::max);
    let line = proxy
        .log_lines("configuration taken")
        .pop()
        .unwrap_or_default();
    let step = line
        .split("step_us=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next()?.parse::<f64>().ok());
    Reloaded {
        slowest,
        took,
        step: step.unwrap_or(f64::NAN) / 1e3,
    }
}

struct Reloaded {
    slowest: f64,
    took: f64,
    step: f64,
}

impl std::fmt::Display for Reloaded {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "{:.1} ({:.0}, {:.2})",
            self.slowest, self.took, self.step
        )
    }
}

/// What one amended entry costs where requests wait, in ms: the change itself, and the module's taking of it.
fn amendments(name: &str, size: Size) {
    let text: serde_json::Value = serde_json::from_str(&settings(size, 1.0)).unwrap();
    let mut tables =
        ActiveSettings::initial(&Settings::from_value(&text, ReadOptions::default())).unwrap();
    let mut balancer = Balancer::from_validated(tables.config.clone(), 1);
    let mut took = Vec::new();
    for n in 0..AMENDMENTS {
        let one = match size.tenants {
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
        } = tables.change_entries(&[one]).unwrap();
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
    let (half, most) = (percentile(&took, 0.5), percentile(&took, 0.99));
    println!(
        "| {name} | {half:.4} | {most:.4} | {:.4} |",
        percentile(&took, 1.0 - 0.5 / AMENDMENTS as f64)
    );
}

/// The slowest request of as long a watch without a reload: what the machine itself does to it.
fn quiet(proxy: &Proxy, size: Size) -> f64 {
    let busy = Arc::new(AtomicBool::new(true));
    let watch = asked(proxy, size, WATCH, &busy);
    std::thread::sleep(2 * AROUND);
    busy.store(false, SeqCst);
    watch.join().unwrap().into_iter().fold(0.0, f64::max)
}

fn run(name: &str, size: Size, servers: &[BackendServer]) {
    let known: Vec<String> = (0..size.backends)
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
        std::panic::catch_unwind(|| Proxy::with_settings(&known, 1024, &settings(size, 1.0)));
    let Ok(proxy) = started else {
        println!("| {name} | refused | | | | | | | | | |");
        return;
    };
    let ready = begun.elapsed().as_secs_f64();
    std::thread::sleep(AROUND);
    let at_start = resident(&proxy);
    let busy = Arc::new(AtomicBool::new(true));
    let (spent, clock) = (used(&proxy), Instant::now());
    let client = asked(&proxy, size, Duration::from_secs_f64(1.0 / RATE), &busy);
    std::thread::sleep(SPAN);
    busy.store(false, SeqCst);
    let mut took = client.join().unwrap();
    let each = (used(&proxy) - spent) / took.len() as f64;
    let rate = took.len() as f64 / clock.elapsed().as_secs_f64();
    took.sort_by(f64::total_cmp);
    let loaded = resident(&proxy);
    let still = quiet(&proxy, size);
    let same = std::fs::read_to_string(&proxy.config_path).unwrap();
    let with_same = reload(&proxy, size, &same);
    let other = match size.tenants {
        0 => same.replacen(r#""gain":1.0"#, r#""gain":2.0"#, 1),
        _ => same.replacen(r#""quota_rps":1"#, r#""quota_rps":2"#, 1),
    };
    assert_ne!(same, other);
    let with_other = reload(&proxy, size, &other);
    std::thread::sleep(AROUND);
    println!(
        "| {name} | {ready:.2} | {at_start:.1} | {loaded:.1} | {:.1} | {still:.1} | {with_same} | {with_other} | {rate:.0} | \
         {:.2} / {:.2} | {each:.3} |",
        resident(&proxy),
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
        .for_each(|(name, size)| amendments(name, *size));
}
