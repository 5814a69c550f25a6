//! Test helpers: a host with the example configuration, and example requests.

use super::{Host, PendingRequest};
use crate::net::observed_stream::PeerMonitor;
use crate::net::upstream::{ConnectionPool, ForwardedRequest, RequestBody};
use crate::net::Clock;
use meadowproxy::settings::{Names, NetworkSettings};
use meadowproxy::{Balancer, ClassId, Config, Idempotency, Micros, RequestArrival, RequestId};
use std::rc::Rc;

impl Host {
    /// Creates a host with the example configuration and no backends.
    pub fn example() -> Rc<Host> {
        let second = Micros(1_000_000);
        let network = NetworkSettings {
            connect_timeout: second,
            conn_idle: second,
            max_retry_after: second,
            deadlines: vec![second].into(),
        };
        let balancer = Balancer::new(Config::example(), 1).unwrap();
        let pool = Rc::new(ConnectionPool::new(&network, 4));
        Host::new(balancer, Names::default(), Clock::new(), pool)
    }

    /// Submits a `GET` request of the first example class with a time limit of one minute.
    pub fn example_request(self: &Rc<Self>) -> PendingRequest {
        self.example_request_from(None)
    }

    /// Submits the same request for a client whose disconnect is observed.
    pub fn example_request_from(self: &Rc<Self>, client: Option<PeerMonitor>) -> PendingRequest {
        let forwarded = ForwardedRequest {
            method: hyper::Method::GET,
            uri: hyper::Uri::from_static("/read/k"),
            headers: hyper::HeaderMap::new(),
            body: RequestBody::Buffered(bytes::Bytes::new()),
            head_bytes: 0,
            client,
        };
        let arrival = RequestArrival {
            request: RequestId(0),
            class: ClassId(0),
            tenant: None,
            time_left: Micros(60_000_000),
            work_hint: None,
            client_retry: false,
        };
        self.accept_request(arrival, &Rc::new(forwarded), Idempotency::Idempotent)
    }
}
