//! Memory that a proxy process uses for each backend and each tenant, measured as anonymous resident memory
//! (`RssAnon`).

mod rig;

use rig::*;
use std::time::{Duration, Instant};

const BACKENDS: usize = 25_000;
const TENANTS: usize = 130_000;
const BASELINE: usize = 100;
/// Longest wait for a reload.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Anonymous resident memory of the process, in bytes.
fn anonymous_memory(proxy: &Proxy) -> f64 {
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

/// Starts a proxy that has applied an endpoint list of `count` endpoints from discovery.
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
    assert!(next.contains("after=5"), "the list was not applied: {next}");
    proxy
}

/// Starts a proxy with `count` tenants in its configuration.
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

/// Sends SIGHUP and waits until the configuration is applied.
fn reload(proxy: &Proxy) {
    let before = proxy.log_count("configuration taken");
    proxy.signal("-HUP");
    let begun = Instant::now();
    while proxy.log_count("configuration taken") == before {
        assert!(
            begun.elapsed() < RELOAD_TIMEOUT,
            "{:?}",
            proxy.log_lines("configuration")
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Each proxy stores the whole fleet. The bound includes memory that was used to read the list and not returned since.
#[test]
fn a_backend_uses_less_than_800_bytes() {
    let each = (anonymous_memory(&with_backends(BACKENDS))
        - anonymous_memory(&with_backends(BASELINE)))
        / (BACKENDS - BASELINE) as f64;
    println!("{each:.0} bytes a backend");
    assert!(each < 800.0, "{each:.0} bytes a backend");
}

/// A reload of unchanged settings must not leave a second copy of them in memory.
#[test]
fn a_tenant_uses_less_than_100_bytes_and_less_than_120_after_reloads() {
    let (many, few) = (with_tenants(TENANTS), with_tenants(BASELINE));
    let each = |more: f64| more / (TENANTS - BASELINE) as f64;
    let start = each(anonymous_memory(&many) - anonymous_memory(&few));
    for _ in 0..3 {
        reload(&many);
        reload(&few);
    }
    let after = each(anonymous_memory(&many) - anonymous_memory(&few));
    println!("{start:.0} bytes a tenant, {after:.0} after three reloads");
    assert!(start < 100.0, "{start:.0} bytes a tenant");
    assert!(
        after < 120.0,
        "{after:.0} bytes a tenant after reloads, {start:.0} before"
    );
}
