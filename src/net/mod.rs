//! The proxy's network I/O: runs [`meadowproxy::Balancer`] on real sockets.
//!
//! A request arrives through [`downstream`], [`host`] passes it to the balancer, and [`upstream`] forwards it. The
//! endpoint list comes from [`discovery`], the configuration from [`config`], and operators' calls from [`admin`]. The
//! proxies of a fleet share state through [`cluster`]; [`state`] holds what outlives the process.

pub mod admin;
pub mod background_thread;
pub mod cluster;
pub mod config;
pub mod connection_driver;
pub mod descriptor_limits;
pub mod discovery;
pub mod downstream;
pub mod flush_pacer;
pub mod host;
pub mod memory_budget;
pub mod memory_tracker;
pub mod memory_usage;
pub mod observed_stream;
pub mod paced_body;
pub mod state;
pub mod upstream;

use meadowproxy::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum size of a buffered request or response body, in bytes. Longer bodies are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// The balancer's clock: monotonic, and aligned with Unix time when it is created, so that start times in endpoint
/// lists can be compared with it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_us: u64,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_unix_us: since_epoch.as_micros() as u64,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time(self.start_unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time of this clock into an instant; times before its start become the start.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.0.saturating_sub(self.start_unix_us))).into()
    }
}

/// Converts the balancer's microseconds into a [`Duration`].
pub fn to_duration(micros: meadowproxy::Micros) -> Duration {
    Duration::from_micros(micros.0)
}

/// Converts a [`Duration`] into the balancer's microseconds.
pub fn to_micros(duration: Duration) -> meadowproxy::Micros {
    meadowproxy::Micros(duration.as_micros() as u64)
}

/// Removes the headers that apply to one connection only: hop-by-hop headers, those that `Connection` names, and the
/// body's framing, which hyper sets anew.
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
