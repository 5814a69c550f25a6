//! Generates configurations of any size, and requests that use all of their routes and tenants. The benches use it for large
//! configurations.

use crate::rig::{read_request, SETTINGS};

/// The number of routes, tenants and backends of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub routes: usize,
    pub tenants: usize,
    pub backends: usize,
}

/// JSON settings with this many routes and tenants; the first tenant has the given quota in requests per second.
pub fn settings(size: Size, first_quota: f64) -> String {
    let route = |n: usize| {
        format!(
            r#"{{"name":"route-{n:05}","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}}"#
        )
    };
    let quota = |n: usize| {
        if n == 0 {
            first_quota
        } else {
            0.5 + (n % 7) as f64
        }
    };
    let tenant = |n: usize| format!(r#"{{"name":"tenant-{n:06}","quota_rps":{}}}"#, quota(n));
    let routes: Vec<String> = (0..size.routes).map(route).collect();
    let tenants: Vec<String> = (0..size.tenants).map(tenant).collect();
    let (from, to) = (
        SETTINGS.find("\"profiles\":[").unwrap(),
        SETTINGS.find("\"rules\"").unwrap(),
    );
    let text = format!(
        "{}\"profiles\":[{}],\n{}",
        &SETTINGS[..from],
        routes.join(","),
        &SETTINGS[to..]
    );
    text.replace(
        r#"[{"name":"north","quota_rps":500.0}]"#,
        &format!("[{}]", tenants.join(",")),
    )
}

/// The n-th request. It steps through the routes and tenants with strides that reach all of them.
pub fn request(size: Size, n: usize) -> String {
    let route = (n * 7919) % size.routes;
    let text = read_request(2.0).replace("/read/", &format!("/route-{route:05}/"));
    match size.tenants {
        0 => text,
        tenants => {
            let tenant = (n * 104_729) % tenants;
            text.replace(
                "\r\n\r\n",
                &format!("\r\nX-Account: tenant-{tenant:06}\r\n\r\n"),
            )
        }
    }
}
