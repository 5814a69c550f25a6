//! A fleet whose configuration is changed at its doors, and what has to hold over all of its copies.

use super::fleet::{Fleet, FleetOptions};
use super::lease_history::{event_lines, lease_violations, log_field, number_field};
use super::{entry, BackendServer, Message};
use serde_json::{json, Value};
use std::collections::HashMap;

pub const ALL: [usize; 5] = [0, 1, 2, 3, 4];

pub fn config_status(fleet: &Fleet, n: usize) -> Value {
    fleet.control_json(n, "/config")
}

pub fn config_version(fleet: &Fleet, n: usize) -> u64 {
    config_status(fleet, n)["version"]
        .as_u64()
        .expect("a version")
}

/// A change of one tenant at a proxy's door, made from that version.
pub fn put_quota(fleet: &Fleet, n: usize, name: &str, base: u64, quota: u64) -> (u16, Value) {
    let body = json!({ "version": base, "value": { "name": name, "quota_rps": quota as f64 } });
    status_and_json(&fleet.control_call(
        n,
        &format!("PUT /config/tenants/{name}"),
        &body.to_string(),
    ))
}

pub fn status_and_json(answer: &Message) -> (u16, Value) {
    (
        answer.status(),
        serde_json::from_slice(&answer.body).unwrap_or_default(),
    )
}

/// What a call comes to, once somebody holds the duty: on a machine that is short of time a lease may end in between.
pub fn call_until_available(fleet: &Fleet, n: usize, line: &str, body: &str) -> (u16, Value) {
    fleet.wait_for("an answer", |fleet| {
        let answer = status_and_json(&fleet.control_call(n, line, body));
        (answer.0 != 503).then_some(answer)
    })
}

pub fn put_quota_until_available(
    fleet: &Fleet,
    n: usize,
    name: &str,
    base: u64,
    quota: u64,
) -> (u16, Value) {
    fleet.wait_for("an answer", |fleet| {
        Some(put_quota(fleet, n, name, base, quota)).filter(|answer| answer.0 != 503)
    })
}

/// The same until it is taken; its version.
pub fn put_quota_until_accepted(fleet: &Fleet, n: usize, name: &str, quota: u64) -> u64 {
    fleet.wait_for("a change to be taken", |fleet| {
        let (status, told) = put_quota(fleet, n, name, config_version(fleet, n), quota);
        eprintln!("proxy {n}, {name}: {status} {told}");
        (status == 200).then(|| told["version"].as_u64().expect("its version"))
    })
}

/// What a proxy has of a tenant: its quota, none where it never changed.
pub fn tenant_quota(fleet: &Fleet, n: usize, name: &str) -> Option<u64> {
    let (status, told) =
        status_and_json(&fleet.control_call(n, &format!("GET /config/tenants/{name}"), ""));
    (status == 200).then(|| told["value"]["quota_rps"].as_f64().expect("its quota") as u64)
}

/// Waits until these have one version, at least that one, in force and with one content; which.
pub fn wait_for_equal_copies(fleet: &Fleet, of: &[usize], least: u64) -> u64 {
    fleet.wait_for("equal copies", |fleet| {
        let all: Vec<Value> = of.iter().map(|n| config_status(fleet, *n)).collect();
        let version = all[0]["version"]
            .as_u64()
            .filter(|version| *version >= least)?;
        let same = |s: &Value| {
            s["version"] == version && s["in_force"] == version && s["digest"] == all[0]["digest"]
        };
        all.iter().all(same).then_some(version)
    })
}

/// Over all processes that ever were: no two states of one version, no copy that went back, one holder at a time.
pub fn check_consistency(fleet: &Fleet) {
    let incarnations = fleet.incarnations();
    let wrong = lease_violations(&incarnations);
    assert!(wrong.is_empty(), "{wrong:#?}");
    let mut digests: HashMap<u64, String> = HashMap::new();
    for incarnation in &incarnations {
        let mut last = 0;
        for line in event_lines(&incarnation.log, "config_copy") {
            let (version, digest) = (
                number_field(line, "version").unwrap(),
                log_field(line, "digest").unwrap(),
            );
            assert!(
                version > last,
                "proxy {} went from {last} to {version}",
                incarnation.proxy
            );
            last = version;
            let first_digest = digests.entry(version).or_insert(digest.into());
            assert_eq!(
                first_digest, digest,
                "proxy {}: two states have version {version}",
                incarnation.proxy
            );
        }
        assert_eq!(
            event_lines(&incarnation.log, "config_diverged").next(),
            None
        );
    }
    assert!(!digests.is_empty(), "too few versions to prove anything");
}

/// Five proxies, three of them voters.
pub fn start_fleet(seed: u64, backend: &BackendServer) -> Fleet {
    start_fleet_with_variables(seed, backend, Vec::new())
}

/// The same with these variables.
pub fn start_fleet_with_variables(
    seed: u64,
    backend: &BackendServer,
    variables: Vec<(&'static str, String)>,
) -> Fleet {
    let endpoints = vec![entry("b0", backend.address, "SERVING")];
    let lease_ms = 800;
    Fleet::with_options(FleetOptions {
        size: 5,
        seed,
        endpoints,
        variables,
        voters: 3,
        lease_ms,
        floor: 0.5,
        max_age_s: 5.0,
        ..FleetOptions::default()
    })
}
