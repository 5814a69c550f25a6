//! What a real process holds for each backend and each tenant, from its own account of memory that is backed by no file.

mod rig;

use rig::*;
use std::time::{Duration, Instant};

const BACKENDS: usize = 25_000;
const TENANTS: usize = 130_000;
const FEW: usize = 100;
const MOST: Duration = Duration::from_secs(60);

/// Bytes of the process that no file backs.
fn held(proxy: &Proxy) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("RssAnon:"))
        .unwrap();
    line.split_whitespace()
        .next()
        .unwrap()
        .parse::<f64>()
        .unwrap()
        * 1024.0
}

/// A proxy that has taken a whole list of so many from discovery.
fn with_backends(count: usize) -> Proxy {
    let proxy = Proxy::start(&[]);
    let address = "127.0.0.1:9".parse().unwrap();
    let lines: Vec<String> = (0..count)
        .map(|n| entry(&format!("backend-{n:05}.east"), address, "SERVING"))
        .collect();
    proxy
        .discovery
        .call()
        .1
        .send((200, list(5, true, &lines)))
        .unwrap();
    let (next, _) = proxy.discovery.call();
    assert!(next.contains("after=5"), "the list was taken: {next}");
    proxy
}

fn with_tenants(count: usize) -> Proxy {
    let tenant = |n: usize| format!(r#"{{"name":"tenant-{n:06}","quota_rps":{}}}"#, 1 + n % 7);
    let tenants: Vec<String> = (0..count).map(tenant).collect();
    let one = r#"[{"name":"north","quota_rps":500.0}]"#;
    assert!(SETTINGS.contains(one));
    Proxy::with_settings(
        &[],
        1024,
        &SETTINGS.replace(one, &format!("[{}]", tenants.join(","))),
    )
}

/// Reads the file again; until it is taken.
fn reload(proxy: &Proxy) {
    let before = proxy.log_count("configuration taken");
    proxy.signal("-HUP");
    let begun = Instant::now();
    while proxy.log_count("configuration taken") == before {
        assert!(
            begun.elapsed() < MOST,
            "{:?}",
            proxy.log_lines("configuration")
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A fleet of the coming size is held by each proxy, and so is what it left behind on its way in.
#[test]
fn a_backend_takes_little_memory() {
    let each =
        (held(&with_backends(BACKENDS)) - held(&with_backends(FEW))) / (BACKENDS - FEW) as f64;
    println!("{each:.0} bytes a backend");
    assert!(each < 800.0, "{each:.0} bytes a backend");
}

/// The same settings read again stay the ones that are there: no second copy of them stays in memory.
#[test]
fn a_tenant_takes_little_memory_and_a_reload_next_to_none() {
    let (many, few) = (with_tenants(TENANTS), with_tenants(FEW));
    let each = |more: f64| more / (TENANTS - FEW) as f64;
    let start = each(held(&many) - held(&few));
    for _ in 0..3 {
        reload(&many);
        reload(&few);
    }
    let after = each(held(&many) - held(&few));
    println!("{start:.0} bytes a tenant, {after:.0} after three reloads");
    assert!(start < 100.0, "{start:.0} bytes a tenant");
    assert!(
        after < 120.0,
        "{after:.0} bytes a tenant after reloads, {start:.0} before"
    );
}
