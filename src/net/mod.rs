//! The proxy on real sockets: drives the decisions of [`meadowproxy::Balancer`].
//!
//! A request arrives through [`downstream`], is decided on by [`host`] and forwarded through [`upstream`]. The endpoint
//! list comes from [`discovery`], the configuration from [`config`], operators' calls from [`admin`]. What the proxies
//! of a fleet share goes through [`cluster`], what outlives the process through [`state`].

pub mod admin;
pub mod background_thread;
pub mod cluster;
pub mod config;
pub mod connection_driver;
pub mod descriptor_limits;
pub mod discovery;
pub mod downstream;
pub mod host;
pub mod observed_stream;
pub mod state;
pub mod upstream;

use meadowproxy::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longer bodies, in bytes and in either direction, are streamed instead of buffered.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// The balancer's time: the monotonic clock, set once to Unix time so that start times in endpoint lists are comparable.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_us: u64,
}

impl Clock {
    /// Starts at the wall clock's time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_unix_us: since_epoch.as_micros() as u64,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time(self.start_unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// The moment at which the clock shows that time.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.0.saturating_sub(self.start_unix_us))).into()
    }
}

/// A span of the balancer's time as a [`Duration`].
pub fn to_duration(micros: meadowproxy::Micros) -> Duration {
    Duration::from_micros(micros.0)
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut hyper::HeaderMap) {
    use hyper::header::{
        HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    };
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named_by_connection {
        headers.remove(name);
    }
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
