//! Zones with real processes: two proxies, backends in two zones on loopback, one zone half dead.

mod rig;

use rig::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The rig's settings with two zones, two proxies and zones that are left at half out.
fn settings(position: u32) -> String {
    let zones = r#""zones":["east","west"],"locality":{"leave_share":0.5,"ramp_us":9000000},"#;
    SETTINGS
        .replace(
            r#""position":0,"group_size":1,"#,
            &format!(r#""position":{position},"group_size":2,"#),
        )
        .replace(r#""zones":["east"],"#, zones)
}

fn west(name: &str, address: std::net::SocketAddr) -> String {
    entry(name, address, "SERVING").replace(r#""zone":"east""#, r#""zone":"west""#)
}

/// A zone whose connections are refused at one of its two backends is left by both proxies: its other backend gets
/// nothing more, and every client is served by the other zone.
#[test]
fn both_proxies_leave_a_zone_that_is_half_dead_and_lose_no_request() {
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
            // A retry is paid for by earlier requests: the first failed connects may be refused, never failed.
            assert!(
                [200, 503].contains(&proxy.request(&read_request(3.0)).status()),
                "an answer while the zone is found out"
            );
        }
    }
    // Shares are solved again a tenth of a second on, at the next request.
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
                "left zone in use"
            );
        }
    }
    assert_eq!(
        w1.request_count(),
        before,
        "the half that lives in a left zone still got requests"
    );
}

const ZONES: [&str; 3] = ["east", "west", "south"];

/// One proxy a zone, and two backends a zone.
struct Fleet {
    proxies: Vec<Proxy>,
    backends: Vec<BackendServer>,
    /// The backends of west hear, but answer one request in four.
    cut: Arc<AtomicBool>,
}

impl Fleet {
    fn new(locality: &str) -> Fleet {
        let cut = Arc::new(AtomicBool::new(false));
        let backend = |n: usize| {
            let cut = cut.clone();
            BackendServer::start(move |request| {
                let silent = n / 2 == 1 && cut.load(Ordering::SeqCst) && request % 4 != 0;
                if silent {
                    Reply::NoResponse
                } else {
                    ok("x")
                }
            })
        };
        let backends: Vec<BackendServer> = (0..6).map(backend).collect();
        let row = |(n, b): (usize, &BackendServer)| {
            let zone = format!(r#""zone":"{}""#, ZONES[n / 2]);
            entry(&format!("b{n}"), b.address, "SERVING").replace(r#""zone":"east""#, &zone)
        };
        let known: Vec<String> = backends.iter().enumerate().map(row).collect();
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
            cut,
        }
    }

    /// Six clients at every proxy for so long, one request every 20 ms each: how many each zone got, and the statuses.
    fn load(&self, span: Duration) -> ([u32; 3], Vec<u16>) {
        let before: Vec<u32> = self
            .backends
            .iter()
            .map(BackendServer::request_count)
            .collect();
        let end = Instant::now() + span;
        let ask = |at| {
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
        let asking: Vec<_> = all.map(ask).collect();
        let statuses = asking.into_iter().flat_map(|a| a.join().unwrap()).collect();
        let mut zones = [0; 3];
        self.backends
            .iter()
            .zip(before)
            .enumerate()
            .for_each(|(n, (b, was))| zones[n / 2] += b.request_count() - was);
        (zones, statuses)
    }

    /// Loads on until the proxy of west, the one that sends there, has said these words as often as those.
    fn until(&self, words: &str, those: &str) -> Duration {
        let (begun, west) = (Instant::now(), &self.proxies[1]);
        while west.log_count(words) == 0 || west.log_count(words) < west.log_count(those) {
            assert!(begun.elapsed() < TEST_TIMEOUT, "it never said {words:?}");
            let (_, statuses) = self.load(Duration::from_millis(250));
            assert!(
                statuses.iter().all(|s| [200, 503].contains(s)),
                "{statuses:?}"
            );
        }
        begun.elapsed()
    }
}

/// A zone is cut off and still answers some: all leave it, nobody is failed, and it comes back on a ramp. In calm traffic
/// stays in its zone, where without the setting it went everywhere.
#[test]
fn a_zone_that_answers_one_in_four_is_left_and_comes_back_on_a_ramp() {
    let (second, quarter) = (Duration::from_secs(1), Duration::from_millis(250));
    let fleet = Fleet::new(r#","locality":{"leave_share":0.5,"ramp_us":4000000}"#);
    let spread = Fleet::new("");
    let near = |f: &Fleet| {
        // Only east's proxy is asked, so what the other zones' backends get has crossed.
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
    let (kept, strayed) = (near(&fleet), near(&spread));
    assert!(kept >= 57, "{kept} of 60 stayed in their zone");
    assert!(strayed < 40, "{strayed} of 60 without the setting");
    fleet.cut.store(true, Ordering::SeqCst);
    let left = fleet.until("zone 1 taken out of use", "zone 1 taken out of use");
    let (away, statuses) = fleet.load(2 * quarter);
    let refused = statuses.iter().filter(|s| **s != 200).count();
    assert!(
        statuses.iter().all(|s| [200, 503].contains(s)),
        "failed while its zone was left"
    );
    assert!(
        refused * 20 < statuses.len(),
        "left, and yet {refused} of {} refused",
        statuses.len()
    );
    assert!(
        away[1] * 8 < away[0] + away[2],
        "a left zone kept its traffic: {away:?}"
    );
    fleet.cut.store(false, Ordering::SeqCst);
    let returned = fleet.until("zone 1 returning", "zone 1 taken out of use");
    let (early, _) = fleet.load(quarter);
    let back = fleet.until("zone 1 recovered", "zone 1 recovered");
    fleet.load(second);
    let (late, _) = fleet.load(second);
    eprintln!("left after {left:.1?}, returning after {returned:.1?}, back after {back:.1?}; {early:?} early, {late:?} late");
    let share = |z: [u32; 3]| f64::from(z[1]) / f64::from(z.iter().sum::<u32>());
    assert!(
        share(early) < 0.8 * share(late),
        "no ramp: {early:?} then {late:?}"
    );
}
