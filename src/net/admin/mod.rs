//! The admin API: the operators' HTTP calls, on an address of its own.
//!
//! - [`server`]: accepts connections and handles calls.
//! - [`listener`]: the address of the server, which a reload may change.
//! - [`routes`]: the paths and methods of the calls, and the decoding of their targets.
//! - [`disabled_backends`]: backends that operators disable and enable.
//! - `listed_names_file`: the names of backends that were listed once, for the next process.
//! - [`prometheus`]: the metrics in Prometheus' text format.
//!
//! Calls about this process are answered at once, and calls that disable or enable a backend once the change is on
//! disk. Calls about maintenance windows, leases and the fleet's configuration are passed to a [`FleetAdmin`], which
//! answers them asynchronously.

pub mod disabled_backends;
mod listed_names_file;
pub mod listener;
pub mod prometheus;
mod routes;
pub mod server;

use crate::net::cluster::gossip::GossipDriver;
use crate::net::downstream::server::Server;
use crate::net::host::Host;
use bytes::Bytes;
use disabled_backends::DisabledBackends;
use hyper::{Method, StatusCode};
use prometheus::PrometheusRecorder;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// The future status and body of the response to a call about the fleet.
pub type AdminResponseFuture = Pin<Box<dyn Future<Output = (StatusCode, String)>>>;

/// Handles the calls about maintenance windows, leases and the fleet's configuration.
pub trait FleetAdmin {
    /// Handles a call. `path` contains the decoded segments of a path that [`routes`] allows; `body` has at most 64 KiB
    /// and is not validated. The future is dropped if the caller disconnects or one second has passed.
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> AdminResponseFuture;
}

/// The components that calls read and change.
#[derive(Clone)]
pub struct AdminContext {
    pub host: Rc<Host>,
    pub server: Rc<Server>,
    pub disabled_backends: Rc<DisabledBackends>,
    /// Gossip with the fleet's other proxies; `None` if it is not configured.
    pub gossip: Option<Rc<GossipDriver>>,
    /// The handler of calls about the fleet; `None` if maintenance windows, leases and the fleet's configuration are
    /// not configured.
    pub fleet: Option<Rc<dyn FleetAdmin>>,
    /// The metrics of this process.
    pub metrics: PrometheusRecorder,
}
