//! The proxy on real sockets: translates between sockets and the decisions of [`meadowproxy::Balancer`].
//!
//! A request comes in through [`downstream`], is decided on by way of [`host`] and goes out through [`upstream`]. The
//! endpoint list comes from [`discovery`], the configuration from [`config`], what operators call from [`admin`]. What
//! the proxies of a fleet share goes through [`cluster`], what outlives the process through [`state`].

pub mod admin;
pub mod cluster;
pub mod config;
pub mod descriptor_limits;
pub mod discovery;
pub mod downstream;
pub mod host;
pub mod observed_stream;
pub mod state;
pub mod upstream;

use meadowproxy::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What is longer, on either side, is not held but streams.
pub const MAX_BODY: usize = 64 * 1024;

/// The module's time: the monotonic clock, set once to Unix time so that start times in lists fit it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: unix.as_micros() as u64,
        }
    }
    pub fn now(&self) -> Time {
        Time(self.unix + self.start.elapsed().as_micros() as u64)
    }
    /// When the monotonic clock shows that time.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.0.saturating_sub(self.unix))).into()
    }
}

pub fn span(of: meadowproxy::Micros) -> Duration {
    Duration::from_micros(of.0)
}

/// Headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut hyper::HeaderMap) {
    use hyper::header::{
        HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    };
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    named
        .into_iter()
        .for_each(|name| drop(headers.remove(name)));
    for name in [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
