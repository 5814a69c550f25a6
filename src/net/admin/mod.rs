//! The operators' HTTP calls, on an address of their own.
//!
//! - [`server`]: takes calls and answers them.
//! - [`listener`]: the server's address, which a reload may change.
//! - [`routes`]: which calls there are, and how their targets are decoded.
//! - [`disabled_backends`]: backends that operators disable and enable.
//! - [`prometheus`]: the metrics in Prometheus' text form.
//!
//! What this process knows is answered at once, a change to a backend once it is on disk. Calls on maintenance windows,
//! leases and the fleet's configuration go to a [`FleetAdmin`] and are answered later.

pub mod disabled_backends;
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

/// The status and body that a call on the fleet will be answered with.
pub type AdminResponseFuture = Pin<Box<dyn Future<Output = (StatusCode, String)>>>;

/// Answers the calls on maintenance windows, leases and the fleet's configuration.
pub trait FleetAdmin {
    /// `path` is the decoded segments of a call that [`routes`] knows; `body` is at most 64 KiB of anything. The future
    /// is dropped when the caller leaves or it takes over a second.
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> AdminResponseFuture;
}

/// What calls read and change.
#[derive(Clone)]
pub struct AdminContext {
    pub host: Rc<Host>,
    pub server: Rc<Server>,
    pub disabled_backends: Rc<DisabledBackends>,
    /// Gossip with the fleet's other proxies, where state is shared.
    pub gossip: Option<Rc<GossipDriver>>,
    /// `None`: there are no maintenance windows, leases or configuration of a fleet.
    pub fleet: Option<Rc<dyn FleetAdmin>>,
    /// The metrics of this process.
    pub metrics: PrometheusRecorder,
}
