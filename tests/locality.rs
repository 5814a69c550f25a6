//! Tests of zone-aware routing with real processes: a zone with failing backends is taken out of use by all proxies, and
//! returned to use once it recovers.

mod rig;

use rig::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns the settings of one of two proxies, with two zones that are taken out of use when half of their endpoints are
/// out.
fn settings(position: u32) -> String {
    let zones = r#""zones":["east","west"],"locality":{"leave_share":0.5,"ramp_us":9000000},"#;
    SETTINGS
        .replace(
            r#""position":0,"group_size":1,"#,
            &format!(r#""position":{position},"group_size":2,"#),
        )
        .replace(r#""zones":["east"],"#, zones)
}

/// Returns an endpoint entry in the zone `west`.
fn west(name: &str, address: std::net::SocketAddr) -> String {
    entry(name, address, "SERVING").replace(r#""zone":"east""#, r#""zone":"west""#)
}

/// One of a zone's two backends refuses connections: both proxies take the zone out of use. Its other backend gets no more
/// requests, and all requests are served by the other zone.
#[test]
fn both_proxies_take_a_half_dead_zone_out_of_use_and_fail_no_request() {
    let (e0, e1) = (
        BackendServer::start(|_| ok("east")),
        BackendServer::start(|_| ok("east")),
    );
    let (dead, w1) = (RefusingPort::new(), BackendServer::start(|_| ok("west")));
    let known = [
        entry("e0", e0.address, "SERVING"),
        entry("e1", e1.address, "SERVING"),
        west("w0", dead.address()),
        west("w1", w1.address),
    ];
    let proxies = [
        Proxy::with_settings(&known, 1024, &settings(0)),
        Proxy::with_settings(&known, 1024, &settings(1)),
    ];
    for proxy in &proxies {
        for _ in 0..60 {
            // Earlier requests earn the budget for retries: the first requests whose connect fails may be rejected with 503,
            // but must not fail otherwise.
            assert!(
                [200, 503].contains(&proxy.request(&read_request(3.0)).status()),
                "a status other than 200 and 503 before the zone is taken out of use"
            );
        }
    }
    // Routing shares are recomputed 100 ms later, at the next request.
    std::thread::sleep(Duration::from_millis(200));
    proxies
        .iter()
        .for_each(|p| assert!([200, 503].contains(&p.request(&read_request(3.0)).status())));
    let before = w1.request_count();
    for proxy in &proxies {
        for _ in 0..60 {
            let answer = proxy.request(&read_request(3.0));
            assert_eq!(
                (answer.status(), &answer.body[..]),
                (200, &b"east"[..]),
                "a request was not served by the zone in use"
            );
        }
    }
    assert_eq!(
        w1.request_count(),
        before,
        "the working backend of a zone out of use still got requests"
    );
}

/// Zones of the second test.
const ZONES: [&str; 3] = ["east", "west", "south"];

/// A fleet with one proxy and two backends in each zone.
struct Fleet {
    proxies: Vec<Proxy>,
    backends: Vec<BackendServer>,
    /// While set, the backends of `west` receive requests but answer only one in four.
    degraded: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts the fleet. `locality` is added to the settings after the zones.
    fn new(locality: &str) -> Fleet {
        let degraded = Arc::new(AtomicBool::new(false));
        let backend = |n: usize| {
            let degraded = degraded.clone();
            BackendServer::start(move |request| {
                let silent = n / 2 == 1 && degraded.load(Ordering::SeqCst) && request % 4 != 0;
                if silent {
                    Reply::NoResponse
                } else {
                    ok("x")
                }
            })
        };
        let backends: Vec<BackendServer> = (0..6).map(backend).collect();
        let endpoint = |(n, b): (usize, &BackendServer)| {
            let zone = format!(r#""zone":"{}""#, ZONES[n / 2]);
            entry(&format!("b{n}"), b.address, "SERVING").replace(r#""zone":"east""#, &zone)
        };
        let known: Vec<String> = backends.iter().enumerate().map(endpoint).collect();
        let proxy = |n: usize| {
            let own = format!(
                r#""my_zone":"{}","zones":["east","west","south"]{locality},"#,
                ZONES[n]
            );
            let settings = SETTINGS
                .replace(
                    r#""position":0,"group_size":1,"#,
                    &format!(r#""position":{n},"group_size":3,"#),
                )
                .replace(r#""my_zone":"east","zones":["east"],"#, &own);
            Proxy::with_seed(
                n as u64 + 1,
                &known,
                &settings,
                "",
                &[("TMPDIR", create_temp_dir().to_str().unwrap().into())],
            )
        };
        Fleet {
            proxies: (0..3).map(proxy).collect(),
            backends,
            degraded,
        }
    }

    /// Runs six clients at every proxy for `span`, each with a pause of 20 ms between requests. Returns the number of
    /// requests that each zone's backends got, and the statuses of the responses.
    fn load(&self, span: Duration) -> ([u32; 3], Vec<u16>) {
        let before: Vec<u32> = self
            .backends
            .iter()
            .map(BackendServer::request_count)
            .collect();
        let end = Instant::now() + span;
        let run_client = |at| {
            std::thread::spawn(move || {
                let (mut client, mut statuses) = (Client::connect(at), Vec::new());
                while Instant::now() < end {
                    statuses.push(client.request(&read_request(0.6)).status());
                    std::thread::sleep(Duration::from_millis(20));
                }
                statuses
            })
        };
        let all = self.proxies.iter().flat_map(|p| [p.address; 6]);
        let clients: Vec<_> = all.map(run_client).collect();
        let statuses = clients
            .into_iter()
            .flat_map(|a| a.join().unwrap())
            .collect();
        let mut zones = [0; 3];
        self.backends
            .iter()
            .zip(before)
            .enumerate()
            .for_each(|(n, (b, was))| zones[n / 2] += b.request_count() - was);
        (zones, statuses)
    }

    /// Runs clients until the proxy of `west`, which mainly uses that zone, has logged `words` at least as often as
    /// `reference`, and at least once. Returns how long that took.
    fn load_until(&self, words: &str, reference: &str) -> Duration {
        let (begun, west) = (Instant::now(), &self.proxies[1]);
        while west.log_count(words) == 0 || west.log_count(words) < west.log_count(reference) {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "the proxy of west never logged {words:?}"
            );
            let (_, statuses) = self.load(Duration::from_millis(250));
            assert!(
                statuses.iter().all(|s| [200, 503].contains(s)),
                "{statuses:?}"
            );
        }
        begun.elapsed()
    }
}

/// A zone answers only one request in four: all proxies take it out of use, no request fails, and once it recovers, its
/// traffic returns on a ramp. Without faults, traffic stays in its own zone, while without the setting it is spread over
/// all zones.
#[test]
fn a_zone_that_answers_one_in_four_is_taken_out_of_use_and_returns_on_a_ramp() {
    let (second, quarter) = (Duration::from_secs(1), Duration::from_millis(250));
    let fleet = Fleet::new(r#","locality":{"leave_share":0.5,"ramp_us":4000000}"#);
    let spread = Fleet::new("");
    let count_in_own_zone = |f: &Fleet| {
        // Only the proxy of `east` gets requests, so those at the backends of other zones have left their zone.
        let counts = || {
            f.backends
                .iter()
                .map(BackendServer::request_count)
                .collect::<Vec<_>>()
        };
        let before = counts();
        (0..60).for_each(|_| assert_eq!(f.proxies[0].request(&read_request(3.0)).status(), 200));
        let after = counts();
        after[..2].iter().sum::<u32>() - before[..2].iter().sum::<u32>()
    };
    fleet.load(second);
    let (with_locality, without_locality) = (count_in_own_zone(&fleet), count_in_own_zone(&spread));
    assert!(
        with_locality >= 57,
        "{with_locality} of 60 stayed in their zone"
    );
    assert!(
        without_locality < 40,
        "{without_locality} of 60 stayed in their zone without the setting"
    );
    fleet.degraded.store(true, Ordering::SeqCst);
    let out_of_use = fleet.load_until("zone 1 taken out of use", "zone 1 taken out of use");
    let (by_zone, statuses) = fleet.load(2 * quarter);
    let rejected = statuses.iter().filter(|s| **s != 200).count();
    assert!(
        statuses.iter().all(|s| [200, 503].contains(s)),
        "a request failed while the zone was out of use"
    );
    assert!(
        rejected * 20 < statuses.len(),
        "{rejected} of {} requests rejected although the zone was out of use",
        statuses.len()
    );
    assert!(
        by_zone[1] * 8 < by_zone[0] + by_zone[2],
        "a zone out of use kept its traffic, requests by zone: {by_zone:?}"
    );
    fleet.degraded.store(false, Ordering::SeqCst);
    let returning = fleet.load_until("zone 1 returning", "zone 1 taken out of use");
    let (early, _) = fleet.load(quarter);
    let recovered = fleet.load_until("zone 1 recovered", "zone 1 recovered");
    fleet.load(second);
    let (late, _) = fleet.load(second);
    eprintln!("out of use after {out_of_use:.1?}, returning after {returning:.1?}, recovered after {recovered:.1?}; requests by zone {early:?} early, {late:?} late");
    let share = |z: [u32; 3]| f64::from(z[1]) / f64::from(z.iter().sum::<u32>());
    assert!(
        share(early) < 0.8 * share(late),
        "no ramp: requests by zone {early:?}, later {late:?}"
    );
}
