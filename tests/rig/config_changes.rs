//! Changes a fleet's configuration through the proxies' control addresses, and checks that the proxies' copies of it agree.

use super::fleet::{Fleet, FleetOptions};
use super::lease_history::{event_lines, lease_violations, log_field, number_field};
use super::{entry, BackendServer, Message};
use serde_json::{json, Value};
use std::collections::HashMap;

/// Numbers of the fleet's proxies.
pub const ALL: [usize; 5] = [0, 1, 2, 3, 4];

/// Returns a proxy's answer to `GET /config`.
pub fn config_status(fleet: &Fleet, n: usize) -> Value {
    fleet.control_json(n, "/config")
}

/// Returns the version of a proxy's copy of the configuration.
pub fn config_version(fleet: &Fleet, n: usize) -> u64 {
    config_status(fleet, n)["version"]
        .as_u64()
        .expect("a version")
}

/// Sets a tenant's quota at a proxy, in requests per second, as a change based on the version `base`. Returns status and
/// body.
pub fn put_quota(fleet: &Fleet, n: usize, name: &str, base: u64, quota: u64) -> (u16, Value) {
    let body = json!({ "version": base, "value": { "name": name, "quota_rps": quota as f64 } });
    status_and_json(&fleet.control_call(
        n,
        &format!("PUT /config/tenants/{name}"),
        &body.to_string(),
    ))
}

/// Returns a response's status and its body as JSON, or null if it is not JSON.
pub fn status_and_json(answer: &Message) -> (u16, Value) {
    (
        answer.status(),
        serde_json::from_slice(&answer.body).unwrap_or_default(),
    )
}

/// Repeats a call until its status is not 503: on a busy machine the leader's lease may end meanwhile, and calls are
/// rejected until there is a leader again.
pub fn call_until_available(fleet: &Fleet, n: usize, line: &str, body: &str) -> (u16, Value) {
    fleet.wait_for("an answer", |fleet| {
        let answer = status_and_json(&fleet.control_call(n, line, body));
        (answer.0 != 503).then_some(answer)
    })
}

/// Repeats [`put_quota`] until its status is not 503.
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

/// Sets a tenant's quota at a proxy, each time based on the proxy's present version, until it is accepted. Returns the
/// version of the change.
pub fn put_quota_until_accepted(fleet: &Fleet, n: usize, name: &str, quota: u64) -> u64 {
    fleet.wait_for("a change to be accepted", |fleet| {
        let (status, answer) = put_quota(fleet, n, name, config_version(fleet, n), quota);
        eprintln!("proxy {n}, {name}: {status} {answer}");
        (status == 200).then(|| answer["version"].as_u64().expect("a version"))
    })
}

/// Returns a tenant's quota in a proxy's copy of the configuration, or `None` if no change ever set it.
pub fn tenant_quota(fleet: &Fleet, n: usize, name: &str) -> Option<u64> {
    let (status, answer) =
        status_and_json(&fleet.control_call(n, &format!("GET /config/tenants/{name}"), ""));
    (status == 200).then(|| answer["value"]["quota_rps"].as_f64().expect("a quota") as u64)
}

/// Waits until these proxies have the same content and the same version, at least `least`, in force. Returns that version.
pub fn wait_for_equal_copies(fleet: &Fleet, proxies: &[usize], least: u64) -> u64 {
    fleet.wait_for("equal copies", |fleet| {
        let all: Vec<Value> = proxies.iter().map(|n| config_status(fleet, *n)).collect();
        let version = all[0]["version"]
            .as_u64()
            .filter(|version| *version >= least)?;
        let is_equal = |s: &Value| {
            s["version"] == version && s["in_force"] == version && s["digest"] == all[0]["digest"]
        };
        all.iter().all(is_equal).then_some(version)
    })
}

/// Checks the logs of all past and present processes: each version has one content, no proxy's version decreased, and each
/// duty had one holder at a time.
pub fn check_consistency(fleet: &Fleet) {
    let incarnations = fleet.incarnations();
    let violations = lease_violations(&incarnations);
    assert!(violations.is_empty(), "{violations:#?}");
    let mut digests: HashMap<u64, String> = HashMap::new();
    for incarnation in &incarnations {
        let mut last_version = 0;
        for line in event_lines(&incarnation.log, "config_copy") {
            let (version, digest) = (
                number_field(line, "version").unwrap(),
                log_field(line, "digest").unwrap(),
            );
            assert!(
                version > last_version,
                "proxy {} went from {last_version} to {version}",
                incarnation.proxy
            );
            last_version = version;
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
    assert!(!digests.is_empty(), "no process logged a version");
}

/// Starts five proxies, three of them voters.
pub fn start_fleet(seed: u64, backend: &BackendServer) -> Fleet {
    start_fleet_with_variables(seed, backend, Vec::new())
}

/// Starts five proxies, three of them voters, with these environment variables.
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
