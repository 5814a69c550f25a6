//! Settings of different sizes: one request class or many, with and without tenants, zones and hardware kinds, and
//! endpoints with and without a zone and a kind. Proxies start with each variant, reload from one to the next, and
//! serve.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::*;
use std::time::{Duration, Instant};

/// The settings entry of a request class.
fn class(name: &str, effect: &str) -> String {
    format!(
        r#"{{"name":"{name}","aim_us":300000,"deadline_us":900000,"effect":"{effect}","key_scope":"all",
        "window_us":1500000,"gain":2.0,"late_worth":0.0}}"#
    )
}

/// Settings with these classes. The other parameters are the JSON of the tenants, kinds, zones and the proxy's own
/// zone.
fn settings(
    classes: &[(&str, &str)],
    tenants: &str,
    kinds: &str,
    zones: &str,
    my_zone: &str,
) -> String {
    let from = SETTINGS.find("\"profiles\":[").unwrap();
    let to = SETTINGS.find("\"rules\"").unwrap();
    let classes: Vec<String> = classes
        .iter()
        .map(|(name, effect)| class(name, effect))
        .collect();
    let text = format!(
        "{}\"profiles\":[{}],\n{}",
        &SETTINGS[..from],
        classes.join(","),
        &SETTINGS[to..]
    );
    text.replace(r#"[{"name":"north","quota_rps":500.0}]"#, tenants)
        .replace(r#""kinds":["big"]"#, &format!(r#""kinds":{kinds}"#))
        .replace(
            r#""my_zone":"east","zones":["east"]"#,
            &format!(r#"{my_zone}"zones":{zones}"#),
        )
}

/// A request of the class `name` that is valid for its effect, from an unknown tenant.
fn request(name: &str, effect: &str) -> String {
    let read = read_request(2.0)
        .replace("/read/", &format!("/{name}/"))
        .replace("\r\n\r\n", "\r\nX-Account: nobody\r\n\r\n");
    match effect {
        "free" => read,
        "guarded" => read.replace("GET", "POST").replace(
            "\r\n\r\n",
            "\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
        ),
        _ => read
            .replace("GET", "POST")
            .replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"),
    }
}

#[test]
fn any_number_of_classes_without_tenants_zones_or_kinds_is_served() {
    let backend = BackendServer::start(|_| ok("x"));
    let without_zone = format!(
        r#"{{"name":"b0","address":"{}","status":"SERVING"}}"#,
        backend.address
    );
    let with_zone = entry("b0", backend.address, "SERVING");
    let one: &[(&str, &str)] = &[("only", "single_shot")];
    let many: &[(&str, &str)] = &[
        ("a", "guarded"),
        ("b", "free"),
        ("c", "single_shot"),
        ("d", "guarded"),
        ("é", "free"),
        ("f", "free"),
    ];
    let variants = [
        (one, settings(one, "[]", "[]", "[]", "")),
        (many, settings(many, "[]", "[]", "[]", r#""my_zone":"","#)),
        (
            one,
            settings(
                one,
                "[]",
                r#"["x","y"]"#,
                r#"["p","q","r","s"]"#,
                r#""my_zone":"s","#,
            ),
        ),
        (
            many,
            settings(
                many,
                r#"[{"name":"t","quota_rps":1.0}]"#,
                "[]",
                "[]",
                r#""my_zone":null,"#,
            ),
        ),
    ];
    let serves = |proxy: &Proxy, classes: &[(&str, &str)]| {
        for (name, effect) in classes.iter().filter(|c| c.0.is_ascii()) {
            assert_eq!(
                proxy.request(&request(name, effect)).status(),
                200,
                "{name}"
            );
        }
    };
    for known in [&without_zone, &with_zone] {
        for (classes, settings) in &variants {
            serves(
                &Proxy::with_settings(std::slice::from_ref(known), 1024, settings),
                classes,
            );
        }
    }
    let proxy = Proxy::with_settings(&[without_zone], 1024, &variants[2].1);
    let text = std::fs::read_to_string(&proxy.config_path).unwrap();
    let reloads = [&variants[3], &variants[2], &variants[3], &variants[2]];
    for (n, (classes, settings)) in reloads.into_iter().enumerate() {
        std::fs::write(&proxy.config_path, text.replace(&variants[2].1, settings)).unwrap();
        proxy.signal("-HUP");
        let end = Instant::now() + TEST_TIMEOUT;
        while proxy.log_count("configuration taken") <= n {
            assert!(
                Instant::now() < end,
                "{:?}",
                proxy.log_lines("configuration")
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        serves(&proxy, classes);
    }
}
